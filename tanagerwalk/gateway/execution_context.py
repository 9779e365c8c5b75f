"""Components of a gateway instance that the executions of requests share."""

from dataclasses import dataclass
from random import Random

from ..decisions.selection import ServerPool
from .answer_recorder import AnswerRecorder
from .contention_monitor import ContentionMonitor
from .crash_check import CrashCheck
from .exchange import AttemptRunner
from .limit_slots import LimitSlots
from .metrics import GatewayMetrics
from .permits import ServerPermits
from .pool import ConnectionPool
from .quarantine import QuarantineFilter
from .release_assignment import ReleaseAssigner
from .release_rollouts import ReleaseRolloutController
from .request_regions import RegionRules
from .stop_control import StopControl


@dataclass(frozen=True, slots=True)
class ExecutionContext:
    """Components of the instance that request executions share.

    Parameters
    ----------
    attempt_runner : AttemptRunner
        Runs single attempts.
    pool : ConnectionPool
        Tells to which servers a connection is kept.
    servers : ServerPool
        Selects servers and tracks their health.
    rollouts : ReleaseRolloutController
        Knows releases that were rolled back.
    assigner : ReleaseAssigner
        Restricts a request to the releases of its side of a roll-out.
    recorder : AnswerRecorder
        Counts the answers of releases that are rolled out.
    quarantine : QuarantineFilter
        Records which requests crash servers.
    crash_check : CrashCheck
        Finds out which servers have crashed.
    permits : ServerPermits
        Permits to send requests to brittle servers.
    limit_slots : LimitSlots
        Slots of limits that other instances grant.
    region_rules : RegionRules
        Restricts requests to the regions in which they may be processed.
    contention_monitor : ContentionMonitor
        Knows for which services requests compete for places.
    stop_control : StopControl
        Knows which attempts can still end before a planned stop.
    metrics : GatewayMetrics
        Metrics of the instance.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Spreads the times at which refused clients come back.
    """

    attempt_runner: AttemptRunner
    pool: ConnectionPool
    servers: ServerPool
    rollouts: ReleaseRolloutController
    assigner: ReleaseAssigner
    recorder: AnswerRecorder
    quarantine: QuarantineFilter
    crash_check: CrashCheck
    permits: ServerPermits
    limit_slots: LimitSlots
    region_rules: RegionRules
    contention_monitor: ContentionMonitor
    stop_control: StopControl
    metrics: GatewayMetrics
    clock: object
    random: Random
