"""Phases of the roll-out of a release.

All instances reach the same decision from the same evidence. A phase is changed by
a conditional write, so only one of several concurrent changes takes effect.
"""

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
# A phase is written by the instances that watch the store, which are the first to know
# of an order. The others write it if they have not seen it after LATE_WRITE_S.
WRITE_JITTER_S = 0.3
LATE_WRITE_S = 1.5
LATE_WRITES_SPREAD_S = 3.0


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


def find_next_phase(rollout, duration, elapsed, tally, recent=None, is_bad=None):
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
    is_bad : bool or None
        What `is_bad_in_phase` returned; None to call it without a history of failures.

    Returns
    -------
    RolloutPhase or None
    """
    if rollout.phase.is_final:
        return None
    if is_bad is None:
        is_bad = is_bad_in_phase(rollout.phase, tally, recent)
    if is_bad:
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


def is_bad_in_phase(phase, tally, recent=None, history=None):
    """Return whether answers prove in a phase that the target release is bad.

    Parameters
    ----------
    phase : RolloutPhase
        The current phase; in the full phase the base gets no more requests.
    tally : Tally
        Answers of both releases.
    recent : Tally or None
        Latencies of the last seconds.
    history : FailureHistory or None
        The answers by period.
    """
    is_alone = phase is RolloutPhase.FULL
    ratio = SLOW_RATIO_ALONE if is_alone else SLOW_RATIO
    if is_bad_release(tally, ratio, history):
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
