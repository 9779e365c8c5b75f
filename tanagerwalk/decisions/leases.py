"""The lease that picks who gives orders to the engines of one failure domain."""

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
    """What an instance has to do next about the lease."""

    SEEKING = "seeking"
    GRANTING = "granting"
    CREATING = "creating"
    IN_DOUBT = "in_doubt"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations that all instances of a failure domain share, in seconds.

    Parameters
    ----------
    ttl : float
        Time after the last renewal at which the store drops the lease.
    margin : float
        How much earlier its holder stops. It covers the difference in clock rate
        over `ttl` and the time from the last check of an order to its first byte.
    look_interval : float
        Time between two looks at the lease of the instance that is first in line.
    """

    ttl: float
    margin: float
    look_interval: float


class DomainLease:
    """One instance's view of the lease of its failure domain.

    The lease is a key that its holder creates, bound to a lease of the store. The
    revision of that creation is the fencing token: it grows from holder to holder.
    The holder never writes the key again.

    Parameters
    ----------
    failure_domain : FailureDomain
        The failure domain whose engines are ordered.
    incarnation : Incarnation
        This instance.
    times : LeaseTimes
        Durations.

    Attributes
    ----------
    phase : LeasePhase
        What to do next.
    due : float
        Monotonic time at which to do it.
    lease : int
        Number of the store's lease; 0 for none.
    token : FencingToken
        Of the last time that this instance held the lease.
    holder : str
        Incarnation of the holder that was seen last; empty for none.
    resigned : bool
        Whether this instance gave the lease up for good.
    """

    def __init__(self, failure_domain: FailureDomain, incarnation: Incarnation, times):
        if times.margin * 2 >= times.ttl:
            raise AssertionError(
                f"lease margin {times.margin} s is not below half of {times.ttl} s"
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
        """What this instance writes to the key; unique for each attempt."""
        return f"{self._incarnation} {self.lease}".encode()

    def may_order(self, now, checks_fencing):
        """Return whether an order may be sent now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds, read right before the order is sent.
        checks_fencing : bool
            Whether the engine refuses orders with an old token. One that does not
            gets orders only after every earlier holder must have stopped.
        """
        if self.resigned or self.phase is not LeasePhase.HELD:
            return False
        if now >= self._valid_until:
            return False
        return checks_fencing or now >= self._exclusive_from

    def record_entry(self, entry, now, rank):
        """Take the key's entry as it was read at time `now`.

        Parameters
        ----------
        entry : Entry or None
            The entry; None if nobody holds the lease.
        now : float
            Monotonic time in seconds.
        rank : int
            Place of this instance in the line of those that try; 0 is the first.
        """
        if entry is None:
            self.holder = ""
            self._record_absence(now, rank)
            return
        self._absence_seen = False
        self.holder = entry.value.decode().partition(" ")[0]
        if self.phase is LeasePhase.IN_DOUBT and entry.value == self.value:
            self._acquire(entry.revision, now)
            return
        self._start_seeking(now + choose_look_interval(self._times.look_interval, rank))

    def _record_absence(self, now, rank):
        """Let those in front go first: all the rest look again before they write."""
        if self.phase is LeasePhase.SEEKING and rank > 0 and not self._absence_seen:
            self._absence_seen = True
            self.due = now + min(rank, MAX_RANK_DELAYS) * self._times.look_interval
            return
        self._absence_seen = False
        self._set_phase(LeasePhase.GRANTING, now)

    def record_read_failure(self, now):
        """Note that the key could not be read."""
        is_in_doubt = self.phase is LeasePhase.IN_DOUBT
        pause = self._retry_interval if is_in_doubt else self._times.look_interval
        self.due = now + pause

    def record_grant(self, result, sent_at, now):
        """Take the answer to the request for a lease that was sent at `sent_at`."""
        if result.is_error():
            self._start_seeking(now + self._times.look_interval)
            return
        self.lease = result.ok
        self._extend_validity(sent_at)
        self._set_phase(LeasePhase.CREATING, now)

    def record_create(self, result, now):
        """Take the answer to the creation of the key."""
        if result.is_error():
            self._set_phase(LeasePhase.IN_DOUBT, now + self._retry_interval)
            return
        if result.ok.applied:
            self._acquire(result.ok.revision, now)
            return
        self._start_seeking(now + self._times.look_interval)

    def record_renewal(self, result, sent_at, now):
        """Take the answer to a renewal that was sent at `sent_at`.

        A renewal in doubt extends nothing. One that succeeds after the holder had to
        stop lets it go on with its old token: the key was there all the time.
        """
        if result.is_error():
            self.due = now + self._retry_interval
            return
        if not result.ok:
            self._start_seeking(now + self._times.look_interval)
            return
        self._extend_validity(sent_at)
        self.due = now + self._times.ttl / RENEWALS_PER_TTL

    def record_fenced(self, token, now):
        """Note that an engine refused `token`, since it has met a newer one."""
        if self.phase is LeasePhase.HELD and token == self.token:
            self._start_seeking(now + self._times.look_interval)

    def resign(self):
        """Stop holding or seeking the lease for good; return its number or 0."""
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
        # The store counts from when the request came, which is not before `sent_at`.
        ends = sent_at + self._times.ttl - self._times.margin
        self._valid_until = max(self._valid_until, ends)


def choose_look_interval(shortest, rank):
    """Return the seconds between two looks at a lease that another instance holds.

    Parameters
    ----------
    shortest : float
        Interval of the first in line, in seconds.
    rank : int
        Place in the line. Each place doubles the interval, up to a minute, so that
        the calls to the store hardly grow with the number of instances.
    """
    return min(MAX_LOOK_INTERVAL_S, shortest * 2.0 ** min(rank, 16))


def rank_instance(failure_domain, incarnation, live):
    """Return the place of an instance in the line for a failure domain's lease.

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
        0 for the first. An instance that is not listed comes after all that are, at
        a place of its own even if the list is empty.
    """
    listed = set(live)
    own = _hash_rank(failure_domain, incarnation)
    if incarnation not in listed:
        return len(listed) + own[0] % UNLISTED_RANKS
    return sum(1 for other in listed if _hash_rank(failure_domain, other) < own)


def _hash_rank(failure_domain, incarnation):
    return hashlib.sha256(f"{failure_domain} {incarnation}".encode()).digest()
