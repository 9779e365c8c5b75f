"""The fleet-wide budget of unrated answers of candidates, cut into grants.

The platform's store holds one ledger for each arm. An instance takes units of the
budget out of it by compare-and-swap, and gives an answer of the candidate only
while it holds a free unit. No view of the membership is needed for the sum to hold.
"""

from dataclasses import dataclass, field

import msgspec

from ..ids import Incarnation

GRANT_LIFETIME_S = 60.0
GRANT_RENEWAL_S = 30.0
# An answer that is not rated by then counts as lost and its unit returns.
RECOVERY_S = 600.0
# Delay of a renewal's effect, and of clocks that run at different speeds.
CLOCK_MARGIN_S = 30.0
BUDGET_PARTS = 8


class Grant(msgspec.Struct, frozen=True):
    """Units of the budget that one instance holds.

    Parameters
    ----------
    units : int
        Unrated answers that the instance may give.
    serial : int
        Grows with each write of the holder.
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
        """Return the ledger with another size of one holder's grant.

        Parameters
        ----------
        holder : Incarnation
            The holder.
        units : int
            Its new size; 0 removes it.
        """
        grants = dict(self.grants)
        before = grants.pop(holder, Grant(0, 0))
        if units > 0:
            grants[holder] = Grant(units, before.serial + 1)
        return Ledger(grants)

    def drop(self, holders):
        """Return the ledger without the grants of some holders."""
        kept = {name: g for name, g in self.grants.items() if name not in holders}
        return Ledger(kept)


def encode_ledger(ledger):
    """Return the bytes of a ledger."""
    return msgspec.json.encode(ledger)


def decode_ledger(value):
    """Read what `encode_ledger` wrote; None if it is malformed."""
    try:
        return msgspec.json.decode(value, type=Ledger)
    except msgspec.DecodeError:
        return None


class AbandonedGrantDetector:
    """Finds the grants whose holders have stopped to renew them.

    It watches for how long a grant stays the same, by its own monotonic clock:
    no two clocks are compared.
    """

    def __init__(self):
        self._seen = {}

    def find(self, ledger, longest_answer, now):
        """Return the holders whose units are free again.

        Parameters
        ----------
        ledger : Ledger
            The ledger as just read.
        longest_answer : float
            Seconds after which a request of the class is given up.
        now : float
            Monotonic time in seconds.
        """
        self._seen = {
            (name, grant): self._seen.get((name, grant), now)
            for name, grant in ledger.grants.items()
        }
        limit = GRANT_LIFETIME_S + longest_answer + RECOVERY_S + CLOCK_MARGIN_S
        return frozenset(
            name for (name, _), since in self._seen.items() if now - since > limit
        )


@dataclass(slots=True)
class HeldUnits:
    """The units of one arm that this instance holds.

    Parameters
    ----------
    units : int
        Size of the grant.
    expires : float
        Monotonic time after which no unit is spent, in seconds.
    running : int
        Answers that are being generated or wait for their rating.
    lost : list of float
        Times at which answers were given whose rating will not come.
    last_requested : float
        Monotonic time at which a unit was wanted last.
    """

    units: int = 0
    expires: float = float("-inf")
    running: int = 0
    lost: list[float] = field(default_factory=list)
    last_requested: float = float("-inf")

    @property
    def occupied(self):
        """Units that can't be given back yet."""
        return self.running + len(self.lost)

    def was_requested_recently(self, now):
        """Return whether a unit was asked for of late."""
        return now - self.last_requested <= GRANT_RENEWAL_S

    def has_free(self, now):
        """Return whether one more answer may be started."""
        self.last_requested = now
        return now < self.expires and self.occupied < self.units

    def start(self, now):
        """Take a unit for an answer; return whether there was one."""
        if not self.has_free(now):
            return False
        self.running += 1
        return True

    def end(self):
        """Return the unit of an answer that was rated, or never given."""
        if self.running < 1:
            raise AssertionError("an exposure ended twice")
        self.running -= 1

    def mark_lost(self, now):
        """Keep the unit of an answer whose rating will not come, for a while."""
        self.end()
        self.lost.append(now)

    def reclaim_lost(self, now):
        """Return how many lost units came back, by writing their answers off."""
        kept = [lost for lost in self.lost if now - lost <= RECOVERY_S]
        recovered = len(self.lost) - len(kept)
        self.lost = kept
        return recovered

    def compute_grant_size(self, ledger, holder, budget, now):
        """Return the size that the grant should have in the ledger.

        Parameters
        ----------
        ledger : Ledger
            The ledger without abandoned grants.
        holder : Incarnation
            This instance.
        budget : int
            The candidate's budget on the whole fleet.
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
        """Return whether the ledger should be written.

        Parameters
        ----------
        wanted, recorded : int
            Size that the grant should have, and has in the ledger.
        now : float
            Monotonic time in seconds.
        """
        if wanted != self.units or wanted != recorded:
            return True
        return wanted > 0 and self.expires - now < GRANT_RENEWAL_S

    def begin_write(self, wanted):
        """Stop spending what the write under way may give back."""
        self.units = min(self.units, wanted)

    def finish_write(self, wanted, sent):
        """Note that the ledger holds `wanted` units since a write sent at `sent`."""
        self.units = wanted
        self.expires = sent + GRANT_LIFETIME_S


class Exposure:
    """One answer of a candidate, which holds a unit until it is rated.

    Parameters
    ----------
    units : HeldUnits
        A slice from which a unit was just taken.
    """

    def __init__(self, units):
        self._units = units
        self.settled = False

    def is_valid(self, now):
        """Return whether the answer may still be started."""
        return not self.settled and now < self._units.expires

    def end(self):
        """Return the unit: the answer was rated, or never given."""
        if not self.settled:
            self.settled = True
            self._units.end()

    def mark_lost(self, now):
        """Keep the unit for a while: the answer was given and won't be rated."""
        if not self.settled:
            self.settled = True
            self._units.mark_lost(now)
