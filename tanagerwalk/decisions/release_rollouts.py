"""Roll-out of a release: phases, evidence and the choice of a release per session.

All instances reach the same decision from the same evidence. A phase is changed by
a conditional write, so only one of several concurrent changes takes effect.
"""

import hashlib
from dataclasses import dataclass
from enum import Enum

from ..ids import ReleaseName, ServiceName
from .release_evidence import (
    SLOW_RATIO,
    SLOW_RATIO_ALONE,
    is_bad_release,
    is_proved_fast,
    is_slow_release,
)

# Part of the allowed canary share that the session hash assigns to the target in the
# canary phase; in the ramp phase, RAMP_FACTOR times as much.
HASHED_SHARE = 0.9
RAMP_FACTOR = 2.5
# The canary phase lasts for this share of the roll-out's duration and the margin.
EVALUATION_SHARE = 0.5
EVALUATION_MARGIN_S = 0.4
# Usual time of the ramp, that of one in a hurry, and shortest time of the full phase.
RAMP_S = 2.5
MIN_RAMP_S = 1.5
SETTLE_S = 4.2
# The full phase starts this much earlier than SETTLE_S requires.
FULL_MARGIN_S = 0.8
# The roll-out completes this long before the end of its duration.
FINISH_MARGIN_S = 2.0
HASH_RANGE = 1 << 63
# A phase is written by the instances that watch the store, which are the first to know
# of an order. The others write it if they have not seen it after LATE_WRITE_S.
WRITE_JITTER_S = 0.3
LATE_WRITE_S = 1.5
LATE_WRITES_SPREAD_S = 3.0
# A session whose gap has just expired on one instance may still be within it on
# another.
PIN_FACTOR = 1.2
MAX_PINS = 4096
# Requests beyond its share that one instance may send to the target, and the part of
# the whole fleet's slack that all instances together use for that.
MAX_LOCAL_SLACK = 2.0
SHARED_SLACK = 0.5
# The requests of the whole roll-out are extrapolated from this progress at least.
MIN_PROGRESS = 0.1
# If the servers of the base release have a queue and those of the target have none,
# more sessions start on the target, up to this part of the exposure that is allowed
# over the whole roll-out.
OVERFLOW_WAIT_S = 0.5
OVERFLOW_FACTOR = 5.0
OVERFLOW_EXPOSURE = 0.6


class RolloutPhase(Enum):
    """Phase of a roll-out."""

    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self):
        """Whether the roll-out is over."""
        return self in (RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The state of one roll-out that all instances share.

    Parameters
    ----------
    service : ServiceName
        The service.
    target : ReleaseName
        The release that is rolled out.
    order : int
        Revision of the operators' order that started the roll-out.
    phase : RolloutPhase
        The current phase.
    elapsed : float
        Seconds from the order to the start of the current phase.
    """

    service: ServiceName
    target: ReleaseName
    order: int
    phase: RolloutPhase
    elapsed: float = 0.0


def find_next_phase(rollout, duration, elapsed, tally, recent=None):
    """Return the phase that a roll-out should change to, or None for no change.

    Parameters
    ----------
    rollout : RolloutState
        The current state.
    duration : float
        Seconds after the order within which the roll-out has to be complete.
    elapsed : float
        Seconds since the order.
    tally : Tally
        Answer counts of all instances.
    recent : Tally or None
        Latencies of the last seconds.

    Returns
    -------
    RolloutPhase or None
    """
    if rollout.phase.is_final:
        return None
    if is_bad_in_phase(rollout.phase, tally, recent):
        return RolloutPhase.ROLLED_BACK
    if rollout.phase is RolloutPhase.CANARY:
        # Until then no running session may move to the target release.
        ends = duration * EVALUATION_SHARE + EVALUATION_MARGIN_S
        if elapsed >= ends and is_proved_fast(tally):
            return RolloutPhase.RAMP
        # Users should not go on paying for a release that does not prove itself.
        return RolloutPhase.ROLLED_BACK if elapsed >= duration else None
    if rollout.phase is RolloutPhase.RAMP:
        # Until then the servers of both releases share the load.
        latest = duration - SETTLE_S - FULL_MARGIN_S
        ramp = min(RAMP_S, max(MIN_RAMP_S, latest - rollout.elapsed))
        ends = max(rollout.elapsed + ramp, latest - FINISH_MARGIN_S)
        return RolloutPhase.FULL if elapsed >= ends else None
    # The old servers stop as soon as the roll-out is complete. By then every instance
    # must know the phase, and the requests still running there should have ended.
    ready_at = max(rollout.elapsed + SETTLE_S, duration - FINISH_MARGIN_S)
    return RolloutPhase.COMPLETE if elapsed >= ready_at else None


def is_bad_in_phase(phase, tally, recent=None):
    """Return whether answers prove in a phase that the target release is bad.

    Parameters
    ----------
    phase : RolloutPhase
        The current phase; in the full phase the base gets no more requests.
    tally : Tally
        Answers of both releases.
    recent : Tally or None
        Latencies of the last seconds.
    """
    is_alone = phase is RolloutPhase.FULL
    ratio = SLOW_RATIO_ALONE if is_alone else SLOW_RATIO
    if is_bad_release(tally, ratio):
        return True
    return recent is not None and is_slow_release(recent, ratio)


def find_write_delay(is_watcher, random):
    """Return the seconds that an instance waits before it writes a new phase.

    Parameters
    ----------
    is_watcher : bool
        Whether the instance watches the store itself.
    random : random.Random
        Spreads the writes of several instances.
    """
    if is_watcher:
        return WRITE_JITTER_S * random.random()
    return LATE_WRITE_S + LATE_WRITES_SPREAD_S * random.random()


class SideReason(Enum):
    """Why a request goes to the base or to the target release.

    PHASE: all requests go there. SERVED_HERE: this instance served the session before.
    TOLD: another instance has told the session's release. HASH: the hash of the
    session. NO_SHARE: the hash says the target, whose share is used up. QUEUE: the
    servers of the base have a queue. STALE: the state of the roll-out is too old.
    NO_TARGET: no server of the target is known.
    """

    PHASE = "phase"
    SERVED_HERE = "served_here"
    TOLD = "told"
    HASH = "hash"
    NO_SHARE = "no_share"
    QUEUE = "queue"
    STALE = "stale"
    NO_TARGET = "no_target"


@dataclass(frozen=True, slots=True)
class SideChoice:
    """Whether a request goes to the target release, and why."""

    is_target: bool
    reason: SideReason


@dataclass(frozen=True, slots=True)
class RoutingConditions:
    """What an instance knows about a roll-out when a session starts.

    Parameters
    ----------
    has_recent_state : bool
        Whether its state of the roll-out is recent enough to include a rollback.
    has_target : bool
        Whether the target release has a server.
    base_wait, target_wait : float
        Seconds that a request waits for a server of the base and the target release.
    progress : float
        Part of the roll-out's duration that has passed, from 0 to 1.
    """

    has_recent_state: bool = True
    has_target: bool = True
    base_wait: float = 0.0
    target_wait: float = 0.0
    progress: float = 1.0

    @property
    def is_base_overloaded(self):
        """Whether requests queue for the base release but far less for the target."""
        is_waiting = self.base_wait > OVERFLOW_WAIT_S
        return is_waiting and self.target_wait < self.base_wait / 2.0


class ReleaseChooser:
    """Chooses the base or the target release for each request.

    All instances make the same choice from a hash of the session. An instance that
    has to deviate from it, because the target has no server or its share is used
    up, tells the others: the session may continue on another instance.

    Parameters
    ----------
    service : ServiceName
        The service.
    canary_share : float
        Share of the service's requests that may go to a release that proves bad.
    session_gap : float
        Seconds between two requests of a session within which both go to the same
        release.
    local_slack : float
        Requests beyond the share that this instance may send to the target.

    Attributes
    ----------
    contradictions : int
        How often another instance told another release of a session served here.
    """

    def __init__(self, service, canary_share, session_gap, local_slack=MAX_LOCAL_SLACK):
        self._service = service
        self.set_bounds(canary_share, session_gap, local_slack)
        self._pins = {}
        self._peer_pins = {}
        self._requests = 0
        self._target_requests = 0
        self._order = None
        self.contradictions = 0

    def set_bounds(self, canary_share, session_gap, local_slack=MAX_LOCAL_SLACK):
        """Apply changed bounds; running sessions keep their release.

        Parameters
        ----------
        canary_share : float
            Share of the service's requests that may go to a release that proves bad.
        session_gap : float
            Seconds between two requests of a session within which both go to the same
            release.
        local_slack : float
            Requests beyond the share that this instance may send to the target.
        """
        self._local_slack = local_slack
        self._canary_share = canary_share
        self._share = canary_share * HASHED_SHARE
        self._gap = session_gap * PIN_FACTOR

    def choose(self, rollout, session, now, conditions):
        """Return whether a request goes to the target release, like `decide`."""
        return self.decide(rollout, session, now, conditions).is_target

    def decide(self, rollout, session, now, conditions):
        """Return the SideChoice of a request.

        Parameters
        ----------
        rollout : RolloutState
            The current state of the roll-out.
        session : bytes
            The request's session, or the request's id if it has no session.
        now : float
            Monotonic time in seconds.
        conditions : RoutingConditions
            Load of the releases and age of this instance's state.
        """
        if rollout.phase is RolloutPhase.ROLLED_BACK:
            return SideChoice(False, SideReason.PHASE)
        if rollout.phase in (RolloutPhase.FULL, RolloutPhase.COMPLETE):
            return SideChoice(True, SideReason.PHASE)
        self._reset_counters(rollout)
        key = hash_session(self._service, session)
        pinned = self._find_pin(key, now)
        self._requests += 1
        if pinned is None or not self._keeps(pinned, rollout):
            chosen = self._assign_side(rollout, key, conditions)
        else:
            chosen = pinned
        self._target_requests += chosen.is_target
        self._pin(key, chosen.is_target, now)
        return chosen

    def _keeps(self, pinned, rollout):
        """Return whether a running session may not move to the target release."""
        return pinned.is_target or rollout.phase is not RolloutPhase.RAMP

    def _assign_side(self, rollout, key, conditions):
        """Return the SideChoice of a session without a pin."""
        if not conditions.has_recent_state:
            return SideChoice(False, SideReason.STALE)
        if not conditions.has_target:
            return SideChoice(False, SideReason.NO_TARGET)
        reason = SideReason.HASH
        share = self._share
        max_target_requests = self._canary_share * self._requests
        if rollout.phase is RolloutPhase.RAMP:
            share = min(1.0, share * RAMP_FACTOR)
            max_target_requests = share * self._requests
        elif conditions.is_base_overloaded:
            reason = SideReason.QUEUE
            share = min(1.0, share * OVERFLOW_FACTOR)
            expected = self._requests / max(conditions.progress, MIN_PROGRESS)
            max_target_requests = max(
                max_target_requests, OVERFLOW_EXPOSURE * self._canary_share * expected
            )
        if key >= share * HASH_RANGE:
            return SideChoice(False, SideReason.HASH)
        if self._target_requests + 1.0 > max_target_requests + self._local_slack:
            return SideChoice(False, SideReason.NO_SHARE)
        return SideChoice(True, reason)

    def record_session(self, session, now):
        """Pin a session to the current release while no roll-out runs."""
        self._pin(hash_session(self._service, session), False, now)

    def list_side_overrides(self, now):
        """Return the sessions here that others might send to another release.

        These are the sessions on the target release, as another instance may have no
        share left, and those that are not on it though their hash says so.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of int to bool
            Whether the session is on the target release, by hash of the session.
        """
        self._expire(now)
        threshold = self._share * HASH_RANGE
        return {
            key: side
            for key, (side, _) in self._pins.items()
            if side or key < threshold
        }

    def add_side_overrides(self, overrides, now):
        """Add the sessions whose release another instance reports to differ."""
        for key, side in overrides.items():
            known = self._pins.get(key)
            if known is not None and now - known[1] <= self._gap:
                self.contradictions += known[0] is not side
            self._peer_pins[key] = (side, now)

    def _reset_counters(self, rollout):
        if self._order == rollout.order:
            return
        self._order = rollout.order
        self._requests = 0
        self._target_requests = 0
        self._pins = {key: (False, at) for key, (_, at) in self._pins.items()}

    def _find_pin(self, key, now):
        for pins, reason in (
            (self._pins, SideReason.SERVED_HERE),
            (self._peer_pins, SideReason.TOLD),
        ):
            pin = pins.get(key)
            if pin is not None and now - pin[1] <= self._gap:
                return SideChoice(pin[0], reason)
        return None

    def _pin(self, key, side, now):
        self._pins[key] = (side, now)
        if len(self._pins) > MAX_PINS:
            self._expire(now)

    def _expire(self, now):
        for pins in (self._pins, self._peer_pins):
            old = [key for key, (_, at) in pins.items() if now - at > self._gap]
            for key in old:
                del pins[key]


def find_local_slack(canary_slack, instances):
    """Return the requests beyond its share that one instance may send to a target.

    Parameters
    ----------
    canary_slack : float
        Requests beyond the share that the whole fleet may send.
    instances : int
        Number of instances of the fleet.
    """
    return min(MAX_LOCAL_SLACK, SHARED_SLACK * canary_slack / max(1, instances))


def hash_session(service, session):
    """Hash a session to a number below HASH_RANGE, the same on every instance.

    Parameters
    ----------
    service : ServiceName
        The service that the session's requests go to.
    session : bytes
        The session.
    """
    digest = hashlib.blake2b(session, digest_size=8, key=service.encode()[:64])
    return int.from_bytes(digest.digest(), "big") >> 1
