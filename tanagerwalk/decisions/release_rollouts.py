"""Roll-out of a release: its phases, its evidence and who gets it.

Every instance decides alike from the same evidence. A phase is changed by a
conditional write, so that one change wins whoever makes it.
"""

import hashlib
import math
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ReleaseName, RouteName, ServiceName

CANARY_SHARE = 0.65
RAMP_FACTOR = 3.5
EVALUATION_SHARE = 0.5
EVALUATION_MARGIN_S = 0.4
RAMP_S = 2.5
SETTLE_S = 4.2
FULL_MARGIN_S = 0.8
FINISH_MARGIN_S = 2.0
MIN_BAD_ANSWERS = 3
SIGNIFICANCE_LEVEL = 0.002
MIN_BASE_RATE = 0.02
HASH_RANGE = 1 << 63
# A session that is just over its gap at one place may be within it at another.
PIN_FACTOR = 1.2
MAX_PINS = 4096
LOCAL_SLACK = 2.0
MIN_PROGRESS = 0.1
# Where the servers in use have a queue and those on trial have none, more sessions
# start there, as long as this part of the whole roll-out's exposure is not used up.
OVERFLOW_WAIT_S = 0.5
OVERFLOW_FACTOR = 5.0
OVERFLOW_EXPOSURE = 0.6


class Phase(Enum):
    """Where a roll-out stands."""

    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self):
        """Whether the roll-out is over."""
        return self in (Phase.COMPLETE, Phase.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The agreed state of one roll-out.

    Parameters
    ----------
    service : ServiceName
        The service.
    target : ReleaseName
        The release that it moves to.
    order : int
        Revision of the operators' order.
    phase : Phase
        Where it stands.
    elapsed : float
        Seconds from the order to the start of the phase.
    """

    service: ServiceName
    target: ReleaseName
    order: int
    phase: Phase
    elapsed: float = 0.0


@dataclass(slots=True)
class SideCount:
    """Answers of one side of a roll-out on one route, and the bad ones of them."""

    answers: int = 0
    bad: int = 0

    def add(self, other):
        """Add another count."""
        self.answers += other.answers
        self.bad += other.bad


@dataclass(slots=True)
class Tally:
    """Evidence on both releases by route.

    Parameters
    ----------
    target : dict of RouteName to SideCount
        Answers of the release on trial.
    base : dict of RouteName to SideCount
        Answers of the release in use.
    """

    target: dict[RouteName, SideCount] = field(default_factory=dict)
    base: dict[RouteName, SideCount] = field(default_factory=dict)

    def record(self, route, is_target, is_bad):
        """Count one answer."""
        side = self.target if is_target else self.base
        count = side.setdefault(route, SideCount())
        count.answers += 1
        count.bad += is_bad

    def add(self, other):
        """Add another instance's tally."""
        for mine, theirs in ((self.target, other.target), (self.base, other.base)):
            for route, count in theirs.items():
                mine.setdefault(route, SideCount()).add(count)


def is_significantly_worse(target, base):
    """Return whether a release fails more often than the one in use.

    Parameters
    ----------
    target, base : SideCount
        Answers of both.
    """
    if target.bad < MIN_BAD_ANSWERS:
        return False
    rate = max(MIN_BASE_RATE, (base.bad + 0.5) / (base.answers + 1.0))
    return (
        compute_binomial_tail(target.bad, target.answers, min(rate, 0.99))
        < SIGNIFICANCE_LEVEL
    )


def compute_binomial_tail(bad, answers, rate):
    """Return the chance of `bad` or more failures among `answers` at a rate."""
    total = 0.0
    for count in range(bad, answers + 1):
        total += math.exp(
            math.lgamma(answers + 1)
            - math.lgamma(count + 1)
            - math.lgamma(answers - count + 1)
            + count * math.log(rate)
            + (answers - count) * math.log1p(-rate)
        )
    return total


def is_bad_release(tally):
    """Return whether the evidence speaks against the release on trial.

    A release may be bad on one route only, so that each route is judged, and all of
    them together.
    """
    totals = SideCount(), SideCount()
    for route, target in tally.target.items():
        base = tally.base.get(route, SideCount())
        if is_significantly_worse(target, base):
            return True
        totals[0].add(target)
        totals[1].add(base)
    return is_significantly_worse(*totals)


def find_next_phase(rollout, duration, elapsed, tally):
    """Return the phase that a roll-out is to move to, or None to stay.

    Parameters
    ----------
    rollout : RolloutState
        Where it stands.
    duration : float
        Seconds after the order by which it is due.
    elapsed : float
        Seconds since the order.
    tally : Tally
        All instances' evidence.

    Returns
    -------
    Phase or None
    """
    if rollout.phase.is_final:
        return None
    if is_bad_release(tally):
        return Phase.ROLLED_BACK
    if rollout.phase is Phase.CANARY:
        # Before this, a session may not move on to the new release.
        ends = duration * EVALUATION_SHARE + EVALUATION_MARGIN_S
        return Phase.RAMP if elapsed >= ends else None
    if rollout.phase is Phase.RAMP:
        # Until then both releases' servers share the load.
        latest = duration - FINISH_MARGIN_S - SETTLE_S - FULL_MARGIN_S
        ends = max(rollout.elapsed + RAMP_S, latest)
        return Phase.FULL if elapsed >= ends else None
    # The old servers stop at once. By then every instance has to know the phase, and
    # what still runs there should have ended.
    ready_at = max(rollout.elapsed + SETTLE_S, duration - FINISH_MARGIN_S)
    return Phase.COMPLETE if elapsed >= ready_at else None


@dataclass(frozen=True, slots=True)
class RoutingConditions:
    """What an instance knows when a session starts.

    Parameters
    ----------
    has_recent_state : bool
        Whether it would know if the roll-out had been stopped.
    has_target : bool
        Whether the release on trial has a server.
    base_wait, target_wait : float
        Seconds that a request waits for a server of either release.
    progress : float
        Part of the roll-out's time that has passed.
    """

    has_recent_state: bool = True
    has_target: bool = True
    base_wait: float = 0.0
    target_wait: float = 0.0
    progress: float = 1.0

    @property
    def is_base_overloaded(self):
        """Whether only the release in use has a queue."""
        is_waiting = self.base_wait > OVERFLOW_WAIT_S
        return is_waiting and self.target_wait < self.base_wait / 2.0


class ReleaseChooser:
    """Says which side of a roll-out a request goes to.

    All instances choose alike by a hash of the session. Where one has to depart from
    that, for want of servers or of room, it tells the others, since a session may go
    on at another instance.

    Parameters
    ----------
    service : ServiceName
        The service.
    canary_share : float
        Share of the service's requests that a bad release may get.
    session_gap : float
        Requests of a session that follow each other sooner stay together.
    """

    def __init__(self, service, canary_share, session_gap):
        self._service = service
        self.update_bounds(canary_share, session_gap)
        self._pins = {}
        self._peer_pins = {}
        self._requests = 0
        self._target_requests = 0
        self._order = None

    def update_bounds(self, canary_share, session_gap):
        """Put changed bounds in force; sessions stay on their sides.

        Parameters
        ----------
        canary_share : float
            Share of the service's requests that a bad release may get.
        session_gap : float
            Requests of a session that follow each other sooner stay together.
        """
        self._canary_share = canary_share
        self._share = canary_share * CANARY_SHARE
        self._gap = session_gap * PIN_FACTOR

    def choose(self, rollout, session, now, conditions):
        """Return whether a request goes to the release on trial.

        Parameters
        ----------
        rollout : RolloutState
            The roll-out.
        session : bytes
            Session of the request, or its id if it has none.
        now : float
            Monotonic time in seconds.
        conditions : RoutingConditions
            What else speaks for one side or the other.
        """
        if rollout.phase is Phase.ROLLED_BACK:
            return False
        if rollout.phase in (Phase.FULL, Phase.COMPLETE):
            return True
        self._reset_counters(rollout)
        key = hash_session(self._service, session)
        pinned = self._find_pin(key, now)
        self._requests += 1
        if rollout.phase is Phase.RAMP and pinned is False:
            # In the second half a session may move on to the new release.
            pinned = None
        chosen = (
            self._assign_side(rollout, key, conditions) if pinned is None else pinned
        )
        self._target_requests += chosen
        self._pin(key, chosen, now)
        return chosen

    def _assign_side(self, rollout, key, conditions):
        """Choose the side of a session that is free to go to either."""
        if not conditions.has_recent_state or not conditions.has_target:
            return False
        share = self._share
        room = self._canary_share * self._requests
        if rollout.phase is Phase.RAMP:
            share = min(1.0, share * RAMP_FACTOR)
            room = share * self._requests
        elif conditions.is_base_overloaded:
            share = min(1.0, share * OVERFLOW_FACTOR)
            expected = self._requests / max(conditions.progress, MIN_PROGRESS)
            room = max(room, OVERFLOW_EXPOSURE * self._canary_share * expected)
        return key < share * HASH_RANGE and self._target_requests < room + LOCAL_SLACK

    def record_session(self, session, now):
        """Remember a session while nothing is rolled out."""
        self._pin(hash_session(self._service, session), False, now)

    def list_side_overrides(self, now):
        """Return what other instances would not expect of the sessions here.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of int to bool
            Whether a session is on the release on trial, by hash of the session.
        """
        self._expire(now)
        usual = self._share * HASH_RANGE
        return {
            key: side
            for key, (side, _) in self._pins.items()
            if side is not (key < usual)
        }

    def add_side_overrides(self, overrides, now):
        """Take what another instance tells of its sessions."""
        for key, side in overrides.items():
            self._peer_pins[key] = (side, now)

    def _reset_counters(self, rollout):
        if self._order == rollout.order:
            return
        self._order = rollout.order
        self._requests = 0
        self._target_requests = 0
        self._pins = {key: (False, at) for key, (_, at) in self._pins.items()}

    def _find_pin(self, key, now):
        for pins in (self._pins, self._peer_pins):
            pin = pins.get(key)
            if pin is not None and now - pin[1] <= self._gap:
                return pin[0]
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


def hash_session(service, session):
    """Return a number below HASH_RANGE that all instances find for a session.

    Parameters
    ----------
    service : ServiceName
        The service that the session's requests go to.
    session : bytes
        The session.
    """
    digest = hashlib.blake2b(session, digest_size=8, key=service.encode()[:64])
    return int.from_bytes(digest.digest(), "big") >> 1
