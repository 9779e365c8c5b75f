"""Records what answers say about the releases of a roll-out."""

from http import HTTPStatus

from ..decisions.engine_load import find_slowdown
from ..decisions.latency_baselines import LatencyBaselines
from ..decisions.load_curve import LoadCurve
from ..decisions.shared_loads import hash_server
from ..decisions.tallies import AnswerKind, CountedAnswer, RolloutSide
from .attempts import Outcome

OUTCOMES_WITH_RESPONSE = frozenset(
    {Outcome.DELIVERED, Outcome.DECLINED, Outcome.FAILED}
)


class AnswerRecorder:
    """Counts answers for the active roll-outs, and learns what is usual.

    Parameters
    ----------
    cluster_state : ClusterState
        Provides the operators' roll-out orders.
    get_tallies : callable
        Takes the service and the revision of an order, and returns its TallyBook.
    servers : ServerPool
        Learns from the answers how fast the servers are.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, cluster_state, get_tallies, servers, clock):
        self._cluster_state = cluster_state
        self._get_tallies = get_tallies
        self._servers = servers
        self._clock = clock
        self._latency_baselines = LatencyBaselines()
        self._load_curve = LoadCurve()

    def record_attempt(self, request, attempt, result):
        """Update the latency baselines and count the result for a roll-out.

        A request counts once for each release, and as bad if any answer was: its
        attempts are no independent evidence. A fault of this instance says nothing
        about the release.
        """
        if result.fault is not None:
            return
        self._record_health(request, attempt.server, result)
        order = self._cluster_state.orders.get(attempt.server.service)
        is_target = order is not None and attempt.server.release == order.target
        route = request.route
        key = (route.name, attempt.model)
        is_bad = result.outcome in (Outcome.FAILED, Outcome.SILENT)
        if (
            result.latency_sample is not None
            and result.outcome in OUTCOMES_WITH_RESPONSE
        ):
            sample = _remove_slowdown(result.latency_sample, result.load)
            if result.is_success and not result.latency_sample.has_events:
                kind = AnswerKind(route.name, attempt.model)
                self._learn_speed(
                    attempt.server, kind, result.latency_sample, result.load
                )
            is_bad = is_bad or self._latency_baselines.is_slow(
                key, sample, route.objective, route.gap_objective
            )
            if not is_target:
                self._latency_baselines.record(key, sample)
        if order is None or (
            result.outcome not in OUTCOMES_WITH_RESPONSE and not is_bad
        ):
            return
        self._count_answer(order, request, attempt.server, is_bad)

    def _count_answer(self, order, request, server, is_bad):
        is_target = server.release == order.target
        tally = self._get_tallies((order.service, order.revision)).own
        key = hash_server(server.id)
        side = RolloutSide(order.revision, is_target)
        counted = request.counted_answers.get(side)
        if counted is None:
            request.counted_answers[side] = CountedAnswer(key, is_bad)
            tally.record(request.route.name, is_target, is_bad, key)
        elif is_bad and not counted.is_bad:
            request.counted_answers[side] = CountedAnswer(key, is_bad)
            is_other = key != counted.server
            tally.mark_bad(request.route.name, is_target, key, is_other)

    def _record_health(self, request, server, result):
        """Tell the servers' usage of an error response, or of an answer without one.

        Only the first error of a request counts: one that fails at several servers is
        likely to be the cause itself.
        """
        if result.outcome is Outcome.FAILED:
            if not request.has_failed:
                self._servers.record_error(server, self._clock())
            request.has_failed = True
            return
        is_delivered = result.outcome is Outcome.DELIVERED
        is_sound = is_delivered and result.status < HTTPStatus.INTERNAL_SERVER_ERROR
        if is_sound or result.outcome is Outcome.DECLINED:
            self._servers.record_success(server)

    def _learn_speed(self, server, kind, sample, load):
        """Learn how fast a server is from a successful answer; errors come sooner."""
        now = self._clock()
        self._servers.record_duration(server, kind, sample, load, now)

    def record_latency(self, request, attempt, sample, load):
        """Count the latency of an answer for a roll-out, maybe before the answer ends.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        attempt : Attempt
            The attempt that is being answered.
        sample : LatencySample
            What was measured so far.
        load : EngineLoad or None
            Load that the server reported.
        """
        kind = AnswerKind(request.route.name, attempt.model)
        if sample.has_events:
            self._learn_speed(attempt.server, kind, sample, load)
        # A slow machine says nothing about the release that it runs.
        seconds = _remove_slowdown(sample, load).comparable_latency
        if seconds is None:
            return
        order = self._cluster_state.orders.get(attempt.server.service)
        is_target = order is not None and attempt.server.release == order.target
        if sample.has_events and load is not None:
            if not is_target:
                self._load_curve.record(load.running, seconds)
            seconds = self._load_curve.normalize(load.running, seconds)
        if order is None:
            return
        if not sample.has_events and not self._servers.is_near(attempt.server):
            # Without events the latency contains the round trip, and the few servers of
            # a new release may be farther away than those of the base.
            return
        book = self._get_tallies((order.service, order.revision))
        book.own.record_latency(kind, is_target, seconds)


def _remove_slowdown(sample, load):
    """Return a LatencySample without what the server's machine adds to it."""
    slowdown = max(1.0, find_slowdown(load))
    return sample if slowdown == 1.0 else sample.without_slowdown(slowdown)
