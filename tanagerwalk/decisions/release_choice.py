"""Choice of the base or the target release for the requests of a roll-out.

The release of a session is decided in one place, by the owners of the session, and
recorded there: whoever serves the session asks them. A session that is on the target
stays there until a rollback; one that is on the base may move in the ramp phase.
"""

import hashlib
from dataclasses import dataclass, field
from enum import Enum

from .release_rollouts import RolloutPhase
from .session_records import SessionRecords
from .tallies import StartCount

# Part of the allowed canary share that the session hash assigns to the target in the
# canary phase; in the ramp phase, RAMP_FACTOR times as much.
HASHED_SHARE = 0.9
RAMP_FACTOR = 2.5
# The part of the slack that is used; the counts of other instances come late.
SLACK_SHARE = 0.5
HASH_RANGE = 1 << 63
# A session whose gap has just expired by one clock may still be within it by another.
GAP_FACTOR = 1.2
# The requests of the whole roll-out are extrapolated from this progress at least.
MIN_PROGRESS = 0.1
# If the servers of the base release have a queue and those of the target have none,
# more sessions start on the target, up to this part of the exposure that is allowed
# over the whole roll-out.
OVERFLOW_WAIT_S = 0.5
OVERFLOW_FACTOR = 5.0
OVERFLOW_EXPOSURE = 0.6
# Until then all instances know the order and have told the owners of their sessions.
HANDOVER_S = 1.5
# An instance that was started during a roll-out proposes a release for a session that
# it does not know only after the gap of a session, or this part of the roll-out.
MAX_LEARNING_SHARE = 0.35


class SideReason(Enum):
    """Why a request goes to the base or to the target release.

    PHASE: all requests go there. SERVED_HERE: this instance served the session before.
    TOLD: an instance of an earlier version has told the session's release. OWNER: an
    owner knows the session. PROPOSED: an owner proposes it for a new session.
    NO_OWNER: no owner can tell. HASH: the hash of the session. NO_SHARE: the hash says
    the target, whose share is used up. QUEUE: the servers of the base have a queue.
    STALE: the state of the roll-out is too old. NO_TARGET: no server of the target is
    known.
    """

    PHASE = "phase"
    SERVED_HERE = "served_here"
    TOLD = "told"
    OWNER = "owner"
    PROPOSED = "proposed"
    NO_OWNER = "no_owner"
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
class OwnerAnswer:
    """What an owner says about the release of a session.

    Parameters
    ----------
    is_target : bool or None
        Whether the session is on the target; None if the owner cannot tell.
    is_known : bool
        Whether it knows the session, rather than proposing a release for it.
    """

    is_target: bool | None = None
    is_known: bool = False


@dataclass(frozen=True, slots=True)
class RoutingConditions:
    """What an instance knows about a roll-out when a session starts.

    Parameters
    ----------
    has_recent_state : bool
        Whether its state of the roll-out is recent enough to include a rollback.
    has_target : bool
        Whether the target release has a server that takes requests, or none does.
    base_wait, target_wait : float
        Seconds that a request waits for a server of the base and the target release.
    progress : float
        Part of the roll-out's duration that has passed, from 0 to 1.
    starts : StartCount
        Requests of the fleet since the order.
    """

    has_recent_state: bool = True
    has_target: bool = True
    base_wait: float = 0.0
    target_wait: float = 0.0
    progress: float = 1.0
    starts: StartCount = field(default_factory=StartCount)

    def find_obstacle(self):
        """Return the SideReason that keeps new sessions off the target, or None."""
        if not self.has_recent_state:
            return SideReason.STALE
        if not self.has_target:
            return SideReason.NO_TARGET
        return None

    @property
    def is_base_overloaded(self):
        """Whether requests queue for the base release but far less for the target."""
        is_waiting = self.base_wait > OVERFLOW_WAIT_S
        return is_waiting and self.target_wait < self.base_wait / 2.0


class ReleaseChooser:
    """Chooses releases for the requests of one service.

    Parameters
    ----------
    service : ServiceName
        The service.
    canary_share : float
        Share of the service's requests that may go to a release that proves bad.
    session_gap : float
        Seconds between two requests of a session within which both go to the same
        release.
    canary_slack : float
        Requests beyond the share that the fleet may send to the target.

    Attributes
    ----------
    served : SessionRecords
        Sessions with requests that this instance has served.
    owned : SessionRecords
        Sessions of which this instance was told as an owner.
    told : SessionRecords
        Sessions of which instances of an earlier version have told.
    contradictions : int
        How often owners knew different releases of one session.
    """

    def __init__(self, service, canary_share, session_gap, canary_slack):
        self._service = service
        self.served = SessionRecords(0.0)
        self.owned = SessionRecords(0.0)
        self.told = SessionRecords(0.0)
        self.contradictions = 0
        self.set_bounds(canary_share, session_gap, canary_slack)

    def set_bounds(self, canary_share, session_gap, canary_slack):
        """Apply changed bounds; running sessions keep their release.

        Parameters
        ----------
        canary_share : float
            Share of the service's requests that may go to a release that proves bad.
        session_gap : float
            Seconds between two requests of a session within which both go to the same
            release.
        canary_slack : float
            Requests beyond the share that the fleet may send to the target.
        """
        self._canary_share = canary_share
        self._share = canary_share * HASHED_SHARE
        self._slack = SLACK_SHARE * canary_slack
        self.gap = session_gap * GAP_FACTOR
        for records in (self.served, self.owned, self.told):
            records.gap = self.gap

    def begin_order(self, order):
        """Begin the roll-out of an order that this instance has learned of."""
        for records in (self.served, self.owned, self.told):
            records.begin_order(order)

    def is_shared(self, phase, key):
        """Return whether the owners of a session decide on its release in a phase.

        In the canary phase the other sessions stay on the base.
        """
        if phase is RolloutPhase.CANARY:
            return self.may_be_canary(key)
        return not phase.is_final

    def may_be_canary(self, key):
        """Return whether a session may go to the target in the canary phase."""
        return key < min(1.0, self._share * OVERFLOW_FACTOR) * HASH_RANGE

    def choose_new(self, phase, key, read_conditions):
        """Return the SideChoice of a new session, or of a request without a session.

        Parameters
        ----------
        phase : RolloutPhase
            The phase of the roll-out.
        key : int
            Hash of the session or the request.
        read_conditions : callable
            Returns the RoutingConditions, if they matter.
        """
        if phase is RolloutPhase.ROLLED_BACK:
            return SideChoice(False, SideReason.PHASE)
        if phase in (RolloutPhase.FULL, RolloutPhase.COMPLETE):
            return SideChoice(True, SideReason.PHASE)
        conditions = read_conditions()
        obstacle = conditions.find_obstacle()
        if obstacle is not None:
            return SideChoice(False, obstacle)
        reason = SideReason.HASH
        share = self._share
        starts = conditions.starts.total
        max_target_starts = self._canary_share * starts
        if phase is RolloutPhase.RAMP:
            share = min(1.0, share * RAMP_FACTOR)
            max_target_starts = share * starts
        elif conditions.is_base_overloaded:
            reason = SideReason.QUEUE
            share = min(1.0, share * OVERFLOW_FACTOR)
            expected = starts / max(conditions.progress, MIN_PROGRESS)
            max_target_starts = max(
                max_target_starts, OVERFLOW_EXPOSURE * self._canary_share * expected
            )
        if key >= share * HASH_RANGE:
            return SideChoice(False, SideReason.HASH)
        if conditions.starts.target + 1.0 > max_target_starts + self._slack:
            return SideChoice(False, SideReason.NO_SHARE)
        return SideChoice(True, reason)

    def answer(self, phase, key, now, read_conditions, has_learned):
        """Return the OwnerAnswer of this instance as an owner of a session.

        Parameters
        ----------
        phase : RolloutPhase
            The phase of the roll-out.
        key : int
            Hash of the session.
        now : float
            Monotonic time in seconds.
        read_conditions : callable
            Returns the RoutingConditions, if they matter.
        has_learned : bool
            Whether all running sessions have been told to this owner.
        """
        known = self.owned.find(key, now)
        if known and phase is not RolloutPhase.ROLLED_BACK:
            return OwnerAnswer(True, is_known=True)
        if phase is RolloutPhase.CANARY and known is not None:
            return OwnerAnswer(False, is_known=True)
        if phase is RolloutPhase.CANARY and not has_learned:
            return OwnerAnswer()
        choice = self.choose_new(phase, key, read_conditions)
        return OwnerAnswer(choice.is_target, is_known=known is not None)

    def decide(self, phase, key, answers, now, read_conditions):
        """Return the SideChoice of a request of a session.

        Parameters
        ----------
        phase : RolloutPhase
            The phase of the roll-out.
        key : int
            Hash of the session.
        answers : list of OwnerAnswer
            What the owners say, in their order; OwnerAnswer() for one that is silent.
        now : float
            Monotonic time in seconds.
        read_conditions : callable
            Returns the RoutingConditions, if they matter.
        """
        if phase is RolloutPhase.ROLLED_BACK or phase is RolloutPhase.COMPLETE:
            return self.choose_new(phase, key, read_conditions)
        known = self._list_known(key, answers, now)
        if phase is RolloutPhase.CANARY:
            self.contradictions += len({is_target for _, is_target in known}) > 1
        for reason, is_target in known:
            if is_target:
                return SideChoice(True, reason)
        if phase is RolloutPhase.FULL:
            return SideChoice(True, SideReason.PHASE)
        if known:
            return SideChoice(False, known[0][0])
        proposals = [a.is_target for a in answers if a.is_target is not None]
        if not proposals and phase is RolloutPhase.CANARY:
            is_open = self.may_be_canary(key)
            reason = SideReason.NO_OWNER if is_open else SideReason.HASH
            return SideChoice(False, reason)
        if proposals and not proposals[0]:
            return SideChoice(False, SideReason.PROPOSED)
        if not proposals:
            return self.choose_new(phase, key, read_conditions)
        obstacle = read_conditions().find_obstacle()
        if obstacle is not None:
            return SideChoice(False, obstacle)
        return SideChoice(True, SideReason.PROPOSED)

    def _list_known(self, key, answers, now):
        """Return what is known of a session, as (SideReason, bool) tuples.

        Owners may have learned of a rollback, so that they go before other records.
        """
        owners = [(SideReason.OWNER, a.is_target) for a in answers if a.is_known]
        if owners:
            return owners
        records = (
            (SideReason.SERVED_HERE, self.served.find(key, now)),
            (SideReason.TOLD, self.told.find(key, now)),
        )
        return [(reason, side) for reason, side in records if side is not None]

    def list_side_overrides(self, now):
        """Return the sessions that instances of an earlier version have to be told.

        Returns
        -------
        dict of int to bool
            Whether the session is on the target release, by hash of the session.
        """
        threshold = self._share * HASH_RANGE
        return {
            key: record.is_target
            for key, record in self.served.list(now).items()
            if record.is_target or key < threshold
        }


def has_learned_sessions(now, started_at, order_known_at, gap, duration):
    """Return whether an owner knows the sessions that began before an order.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    started_at : float
        When the instance was started.
    order_known_at : float
        When it learned of the order.
    gap : float
        Seconds until a session expires.
    duration : float
        Seconds that the roll-out may take.
    """
    if now - order_known_at < HANDOVER_S:
        return False
    if order_known_at - started_at >= HANDOVER_S:
        return True
    return now - started_at >= min(gap, MAX_LEARNING_SHARE * duration)


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
