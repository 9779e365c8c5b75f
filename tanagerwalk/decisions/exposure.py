"""Fleet-wide budget of unrated answers of candidates, divided into grants.

The platform's store holds one ledger for each arm. An instance takes units of the
budget from it by compare-and-swap, and gives an answer of the candidate only while
it holds a free unit. The fleet stays within the budget whatever the instances know
about the membership.
"""

from dataclasses import dataclass, field

import msgspec

from ..documents import decode_json
from ..ids import Incarnation

GRANT_LIFETIME_S = 60.0
GRANT_RENEWAL_S = 30.0
# The unit of an answer that has not been rated after this time becomes free again.
RECLAIM_AFTER_S = 600.0
# Allows for renewals that take effect late and clocks that run at different speeds.
CLOCK_MARGIN_S = 30.0
# An instance requests 1 / BUDGET_PARTS of the budget at a time.
BUDGET_PARTS = 8


class Grant(msgspec.Struct, frozen=True):
    """Units of an arm's budget granted to one instance.

    Parameters
    ----------
    units : int
        Answers that the instance may have unrated at a time.
    serial : int
        Incremented by each write of the holder, which thereby renews the grant.
    """

    units: int
    serial: int


class Ledger(msgspec.Struct, frozen=True):
    """The store's record of the grants of one arm."""

    grants: dict[Incarnation, Grant] = {}

    def count_free(self, budget, holder):
        """Return the units of the budget that no other instance holds."""
        others = sum(g.units for name, g in self.grants.items() if name != holder)
        return budget - others

    def resize(self, holder, units):
        """Return the ledger with one holder's grant resized.

        Parameters
        ----------
        holder : Incarnation
            The instance that holds the grant.
        units : int
            The new size; 0 removes the grant.
        """
        grants = dict(self.grants)
        before = grants.pop(holder, Grant(0, 0))
        if units > 0:
            grants[holder] = Grant(units, before.serial + 1)
        return Ledger(grants)

    def drop(self, holders):
        """Return the ledger without the grants of the given holders."""
        kept = {name: g for name, g in self.grants.items() if name not in holders}
        return Ledger(kept)


def encode_ledger(ledger):
    """Encode a ledger as JSON bytes."""
    return msgspec.json.encode(ledger)


def decode_ledger(value):
    """Decode what `encode_ledger` wrote; None if it is malformed."""
    return decode_json(value, Ledger).default_value(None)


class AbandonedGrantDetector:
    """Finds grants that their holders no longer renew.

    It measures for how long a grant stays unchanged on this instance's own monotonic
    clock, so clocks of different instances are never compared.
    """

    def __init__(self):
        self._seen = {}

    def find(self, ledger, longest_answer, now):
        """Return the holders whose grants may be dropped.

        Parameters
        ----------
        ledger : Ledger
            The ledger, freshly read.
        longest_answer : float
            Seconds after which a request of the class is given up.
        now : float
            Monotonic time in seconds.
        """
        self._seen = {
            (name, grant): self._seen.get((name, grant), now)
            for name, grant in ledger.grants.items()
        }
        limit = GRANT_LIFETIME_S + longest_answer + RECLAIM_AFTER_S + CLOCK_MARGIN_S
        return frozenset(
            name for (name, _), since in self._seen.items() if now - since > limit
        )


@dataclass(slots=True)
class HeldUnits:
    """Units of one arm's budget that this instance holds.

    Parameters
    ----------
    units : int
        Size of the grant.
    expires : float
        Monotonic time in seconds after which no unit may be used.
    running : int
        Answers that are being generated or wait for their rating.
    lost : list of float
        Monotonic times at which answers were given that won't be rated.
    last_requested : float
        Monotonic time of the last request for a unit, in seconds.
    """

    units: int = 0
    expires: float = float("-inf")
    running: int = 0
    lost: list[float] = field(default_factory=list)
    last_requested: float = float("-inf")

    @property
    def occupied(self):
        """Units that can't be returned to the budget yet."""
        return self.running + len(self.lost)

    def was_requested_recently(self, now):
        """Return whether a unit was requested recently."""
        return now - self.last_requested <= GRANT_RENEWAL_S

    def has_free(self, now):
        """Return whether one more answer may be started; counts as a request."""
        self.last_requested = now
        return now < self.expires and self.occupied < self.units

    def start(self, now):
        """Take a unit for an answer; return whether one was free."""
        if not self.has_free(now):
            return False
        self.running += 1
        return True

    def end(self):
        """Free the unit of an answer that was rated or never given."""
        if self.running < 1:
            raise AssertionError("exposure ended twice: no answer is running")
        self.running -= 1

    def mark_lost(self, now):
        """Keep the unit of an answer that won't be rated for RECLAIM_AFTER_S."""
        self.end()
        self.lost.append(now)

    def reclaim_lost(self, now):
        """Free the units of old unrated answers; return the number of freed units."""
        kept = [lost for lost in self.lost if now - lost <= RECLAIM_AFTER_S]
        recovered = len(self.lost) - len(kept)
        self.lost = kept
        return recovered

    def compute_grant_size(self, ledger, holder, budget, now):
        """Return the number of units to request for the grant in the ledger.

        Parameters
        ----------
        ledger : Ledger
            The ledger without abandoned grants.
        holder : Incarnation
            This instance.
        budget : int
            The candidate's budget for the whole fleet.
        now : float
            Monotonic time in seconds.
        """
        if budget <= 0 or not self.was_requested_recently(now):
            return self.occupied
        share = max(1, budget // BUDGET_PARTS)
        wanted = max(self.units, self.occupied + share) if self.occupied else share
        wanted = min(wanted, 2 * share + len(self.lost))
        free = max(0, ledger.count_free(budget, holder))
        return max(self.occupied, min(wanted, free))

    def needs_write(self, wanted, recorded, now):
        """Return whether the ledger has to be written.

        Parameters
        ----------
        wanted, recorded : int
            Size that the grant should have and size that it has in the ledger.
        now : float
            Monotonic time in seconds.
        """
        if wanted != self.units or wanted != recorded:
            return True
        return wanted > 0 and self.expires - now < GRANT_RENEWAL_S

    def begin_write(self, wanted):
        """Stop using the units that a write to the ledger is about to return."""
        self.units = min(self.units, wanted)

    def finish_write(self, wanted, sent_at):
        """Record that a write sent at `sent_at` has set the grant to `wanted` units."""
        self.units = wanted
        self.expires = sent_at + GRANT_LIFETIME_S


class Exposure:
    """One answer of a candidate; it holds a unit until it is rated.

    Parameters
    ----------
    units : HeldUnits
        The units of which one was taken for this answer.
    """

    def __init__(self, units):
        self._units = units
        self.settled = False

    def is_valid(self, now):
        """Return whether the answer may still be started."""
        return not self.settled and now < self._units.expires

    def end(self):
        """Free the unit: the answer was rated or never given."""
        if not self.settled:
            self.settled = True
            self._units.end()

    def mark_lost(self, now):
        """Keep the unit for RECLAIM_AFTER_S: the answer won't be rated."""
        if not self.settled:
            self.settled = True
            self._units.mark_lost(now)
