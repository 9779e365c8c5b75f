"""Leader lease: its holder alone sends orders to a failure domain's engines."""

import hashlib
from dataclasses import dataclass
from enum import Enum

from ..ids import FailureDomain, FencingToken, Incarnation

LEASE_PREFIX = "tanagerwalk/leases/"
RENEWALS_PER_TTL = 3
RETRIES_PER_TTL = 8
MAX_LOOK_INTERVAL_S = 60.0
MAX_RANK_DELAYS = 8
UNLISTED_RANKS = 32


class LeasePhase(Enum):
    """State of an instance with respect to the lease; selects its next call."""

    SEEKING = "seeking"
    GRANTING = "granting"
    CREATING = "creating"
    IN_DOUBT = "in_doubt"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Lease durations, equal on all instances of a failure domain, in seconds.

    Parameters
    ----------
    ttl : float
        Time after the last renewal at which the store drops the lease.
    margin : float
        How long before expiry the holder stops sending orders. It covers clock drift
        over `ttl` and the delay between the last check of an order and its first
        byte.
    look_interval : float
        Polling interval of the instance with rank 0.
    """

    ttl: float
    margin: float
    look_interval: float


class DomainLease:
    """One instance's view of the lease of its failure domain.

    The holder creates a key that is attached to a lease of the store. The revision of
    that creation is the fencing token, so each holder's token is greater than those
    of earlier holders. The holder never writes the key again.

    Parameters
    ----------
    failure_domain : FailureDomain
        The failure domain whose engines the holder controls.
    incarnation : Incarnation
        This instance.
    times : LeaseTimes
        Durations.

    Attributes
    ----------
    phase : LeasePhase
        Current state, which determines the next call to the store.
    due : float
        Monotonic time of that call.
    lease : int
        Id of the store's lease; 0 if there is none.
    token : FencingToken
        Token of the last lease that this instance held.
    holder : str
        Incarnation of the last known holder; empty if there is none.
    resigned : bool
        Whether this instance permanently gave up the lease. Responses to calls sent
        before that change nothing.
    """

    def __init__(self, failure_domain: FailureDomain, incarnation: Incarnation, times):
        if times.margin * 2 >= times.ttl:
            raise AssertionError(
                f"lease margin {times.margin} s must be less than half of {times.ttl} s"
            )
        self.key = LEASE_PREFIX + failure_domain
        self.phase = LeasePhase.SEEKING
        self.due = float("-inf")
        self.lease = 0
        self.token = FencingToken(0)
        self.holder = ""
        self.resigned = False
        self._absence_seen = False
        self._incarnation = incarnation
        self._times = times
        self._valid_until = float("-inf")
        self._exclusive_from = float("inf")

    @property
    def value(self):
        """Value that this instance writes to the key; unique for each attempt."""
        return f"{self._incarnation} {self.lease}".encode()

    def may_order(self, now, checks_fencing):
        """Return whether an order may be sent now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds, read right before the order is sent.
        checks_fencing : bool
            Whether the engine rejects orders with an old token. An engine that does not
            gets orders only once every earlier holder must have stopped.
        """
        if self.resigned or self.phase is not LeasePhase.HELD:
            return False
        if now >= self._valid_until:
            return False
        return checks_fencing or now >= self._exclusive_from

    def record_entry(self, entry, now, rank):
        """Process the key's entry as read at time `now`.

        Parameters
        ----------
        entry : Entry or None
            The entry; None if nobody holds the lease.
        now : float
            Monotonic time in seconds.
        rank : int
            Rank of this instance among the candidates; 0 tries first.
        """
        if self.resigned:
            return
        if entry is None:
            self.holder = ""
            self._record_absence(now, rank)
            return
        self._absence_seen = False
        self.holder = entry.value.decode("utf-8", "replace").partition(" ")[0]
        if self.phase is LeasePhase.IN_DOUBT and entry.value == self.value:
            self._acquire(entry.revision, now)
            return
        self._start_seeking(now + choose_look_interval(self._times.look_interval, rank))

    def _record_absence(self, now, rank):
        """Wait once in proportion to the rank, so that lower ranks try first."""
        if self.phase is LeasePhase.SEEKING and rank > 0 and not self._absence_seen:
            self._absence_seen = True
            self.due = now + min(rank, MAX_RANK_DELAYS) * self._times.look_interval
            return
        self._absence_seen = False
        self._set_phase(LeasePhase.GRANTING, now)

    def record_read_failure(self, now):
        """Schedule another attempt after the key could not be read."""
        if self.resigned:
            return
        is_in_doubt = self.phase is LeasePhase.IN_DOUBT
        pause = self._retry_interval if is_in_doubt else self._times.look_interval
        self.due = now + pause

    def record_grant(self, result, sent_at, now):
        """Process the response to the lease grant request sent at `sent_at`."""
        if self.resigned:
            return
        if result.is_error():
            self._start_seeking(now + self._times.look_interval)
            return
        self.lease = result.ok
        self._extend_validity(sent_at)
        self._set_phase(LeasePhase.CREATING, now)

    def record_create(self, result, now):
        """Process the response to the creation of the key."""
        if self.resigned:
            return
        if result.is_error():
            self._set_phase(LeasePhase.IN_DOUBT, now + self._retry_interval)
            return
        if result.ok.applied:
            self._acquire(result.ok.revision, now)
            return
        self._start_seeking(now + self._times.look_interval)

    def record_renewal(self, result, sent_at, now):
        """Process the response to the renewal sent at `sent_at`.

        A renewal without a response does not extend the lease. If a later renewal
        succeeds after the holder had to stop, it resumes with the same token, because
        the key existed all the time.
        """
        if self.resigned:
            return
        if result.is_error():
            self.due = now + self._retry_interval
            return
        if not result.ok:
            self._start_seeking(now + self._times.look_interval)
            return
        self._extend_validity(sent_at)
        self.due = now + self._times.ttl / RENEWALS_PER_TTL

    def record_fenced(self, token, now):
        """Give up the lease if an engine rejected the current token as outdated."""
        if self.phase is LeasePhase.HELD and token == self.token:
            self._start_seeking(now + self._times.look_interval)

    def resign(self):
        """Give up the lease permanently; return the id of the store's lease or 0."""
        lease = self.lease
        self.resigned = True
        self._start_seeking(float("inf"))
        return lease

    @property
    def _retry_interval(self):
        return self._times.ttl / RETRIES_PER_TTL

    def _set_phase(self, phase, due):
        self.phase = phase
        self.due = due

    def _start_seeking(self, due):
        self.lease = 0
        self._valid_until = float("-inf")
        self._set_phase(LeasePhase.SEEKING, due)

    def _acquire(self, revision, now):
        self.token = FencingToken(revision)
        self.holder = self._incarnation
        self._exclusive_from = now + self._times.ttl + self._times.margin
        self._set_phase(LeasePhase.HELD, now)

    def _extend_validity(self, sent_at):
        # The store starts the TTL when the request arrives, never before `sent_at`.
        ends = sent_at + self._times.ttl - self._times.margin
        self._valid_until = max(self._valid_until, ends)


def choose_look_interval(shortest, rank):
    """Return the polling interval, in seconds, of a lease held by another instance.

    Parameters
    ----------
    shortest : float
        Interval for rank 0, in seconds.
    rank : int
        Rank of the instance. Each rank doubles the interval, up to one minute, so
        that the load on the store hardly grows with the number of instances.
    """
    return min(MAX_LOOK_INTERVAL_S, shortest * 2.0 ** min(rank, 16))


def rank_instance(failure_domain, incarnation, live):
    """Return the rank of an instance among candidates for a failure domain's lease.

    Parameters
    ----------
    failure_domain : FailureDomain
        The failure domain.
    incarnation : Incarnation
        The instance.
    live : iterable of Incarnation
        Instances of the failure domain that the platform lists as live.

    Returns
    -------
    int
        0 for the first. An unlisted instance ranks after all listed ones, at a
        pseudo-random rank so that unlisted instances spread out even if the list is
        empty.
    """
    listed = set(live)
    own = _hash_rank(failure_domain, incarnation)
    if incarnation not in listed:
        return len(listed) + own[0] % UNLISTED_RANKS
    return sum(1 for other in listed if _hash_rank(failure_domain, other) < own)


def _hash_rank(failure_domain, incarnation):
    return hashlib.sha256(f"{failure_domain} {incarnation}".encode()).digest()
