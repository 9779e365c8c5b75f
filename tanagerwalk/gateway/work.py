"""The attempts at one request, until one of them gives the answer."""

from dataclasses import dataclass
from functools import partial

import structlog
from expression import Error, Ok

from ..decisions.attempts import BUDGET_SHARES, AttemptHistory, Step, decide_next
from ..decisions.placements import plan_placement
from ..decisions.selection import ServerPool
from ..decisions.sizing import is_enough, plan_sizes
from ..decisions.uses import weigh_work
from ..manifest import Repeatability
from ..outcomes import Refusal, RefusalReason, RunState
from .attempts import Attempt, Outcome
from .exchange import AttemptPlan, Exchange, Patience, Progress
from .metrics import GatewayMetrics
from .quarantine import QuarantineFilter
from .rollouts import RolloutController

log = structlog.get_logger(__name__)

NO_SERVER_RETRY_S = 0.5
FIRST_SILENCE_SHARE = 0.3
MIN_FIRST_SILENCE_S = 0.5
MAX_FIRST_SILENCE_S = 2.0
STREAM_SILENCE_S = 2.0
MIN_HOPELESS_S = 2.0
HOPELESS_SHARE = 0.7
PAUSING_OUTCOMES = frozenset(
    {Outcome.NOT_SENT, Outcome.LOST, Outcome.SILENT, Outcome.MISDIRECTED}
)


@dataclass(frozen=True, slots=True)
class Parts:
    """What the attempts at a request need of the instance.

    Parameters
    ----------
    exchange : Exchange
        Runs one attempt.
    servers : ServerPool
        Chooses servers.
    rollouts : RolloutController
        Says which releases a request may go to.
    quarantine : QuarantineFilter
        Learns which requests crash servers.
    metrics : GatewayMetrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    """

    exchange: Exchange
    servers: ServerPool
    rollouts: RolloutController
    quarantine: QuarantineFilter
    metrics: GatewayMetrics
    clock: object


class RequestWork:
    """The attempts at one request.

    Parameters
    ----------
    parts : Parts
        Parts of the instance.
    request : GatewayRequest
        The request, with its route.
    service : ServiceName
        The service that serves it.
    budget : ArrivalBudget
        The service's budget of repeats.
    """

    def __init__(self, parts, request, service, budget):
        self._parts = parts
        self._request = request
        self._service = service
        self._budget = budget
        self._clock = parts.clock
        route = request.route
        self._models = self._plan_models(route)
        self._step = 0
        self._placement = self._plan_placement()
        self._allows_server = parts.rollouts.choose(request, self._service)
        self._history = AttemptHistory(route.repeatable, route.max_attempts)
        self._progress = Progress(last_event=request.last_event)
        self._kept = None
        self._tried = set()
        self._trace = []
        self._running = None

    @property
    def _left(self):
        return self._request.deadline - self._clock()

    async def run(self):
        """Run attempts until the request is answered or given up."""
        while True:
            if self._is_hopeless():
                return self._end(self._give_up(RefusalReason.QUEUE_FULL))
            server = self._choose_server()
            if server is None:
                return self._end(self._give_up(RefusalReason.NO_BACKEND_SERVER))
            end = await self._attempt(server)
            if end.outcome is Outcome.DELIVERED:
                if end.head is not None:
                    self._deliver(end)
                return self._end(Ok(None))
            step = self._decide(end)
            if step is not Step.ANOTHER:
                return self._end(self._finish(step))

    def _is_hopeless(self):
        """Return whether no server would get to the request before its deadline."""
        if self._history.sent > 0 or not self._models:
            return False
        wait = self._estimate_wait()
        return wait > MIN_HOPELESS_S and wait > HOPELESS_SHARE * self._left

    def _choose_server(self):
        now = self._clock()
        service = self._service
        choose = partial(self._parts.servers.choose, placement=self._placement)
        halted = self._parts.rollouts.is_halted(service)
        # A request keeps to its side of a roll-out while that side has a server.
        for tried in (self._tried, frozenset()):
            server = choose(service, now, tried, self._allows_server)
            if server is not None:
                return server
        return choose(
            service, now, frozenset(), lambda server: server.release != halted
        )

    async def _attempt(self, server):
        now = self._clock()
        if self._history.sent == 0:
            self._budget.note_request(now)
        else:
            self._budget.note_repeat(now)
        model = self._models[self._step] if self._models else None
        attempt = Attempt(
            server=server,
            left=self._left,
            model=None if model is None else model.name,
            last_event=self._progress.last_event,
            work=self._weigh(model),
        )
        self._running = server.id
        wait = self._estimate_wait()
        plan = AttemptPlan(
            self._request, attempt, self._find_patience(), self._accepts, self._progress
        )
        end = await self._parts.exchange.run(plan)
        self._parts.rollouts.note_attempt(self._request, attempt, end)
        self._parts.quarantine.note_attempt(self._request, attempt, end)
        self._parts.metrics.attempts.labels(end.outcome.value).inc()
        self._trace.append(_describe_attempt(attempt, end, self._clock() - now, wait))
        return end

    def _estimate_wait(self):
        """Return the seconds that a request of this service waits for a server."""
        servers = self._parts.servers
        return servers.estimate_wait(self._service, self._clock(), self._allows_server)

    def _weigh(self, model):
        """Return what an attempt costs an engine, or None at a plain service."""
        service = self._request.manifest.services.get(self._service)
        if service is None or not service.runs_models:
            return None
        weight = 1.0 if model is None else model.weight
        return weigh_work(
            self._request.prompt_info.prompt_tokens, weight, self._clock()
        )

    def _plan_placement(self):
        """Return what speaks for one server or another, or None."""
        if not self._models:
            return None
        model = self._models[self._step]
        return plan_placement(self._request.prompt_info, model.weight)

    def _plan_models(self, route):
        service = self._request.manifest.services.get(self._service)
        if service is None or not route.models:
            return ()
        choices = [service.describe_model(name) for name in route.models]
        return plan_sizes(choices, route.max_attempts)

    def _find_patience(self):
        """Return how long an attempt may be silent."""
        left = self._left
        if not self._request.route.repeatable:
            return Patience(left, left, left)
        attempts_left = self._history.max_attempts - self._history.sent
        if attempts_left <= 1:
            return Patience(left, left, left)
        first = max(MIN_FIRST_SILENCE_S, left * FIRST_SILENCE_SHARE)
        first = min(MAX_FIRST_SILENCE_S, first)
        between = left
        if self._request.route.repeatability is Repeatability.STREAM:
            between = STREAM_SILENCE_S
        return Patience(min(left, first), min(left, between), left)

    def _accepts(self, head):
        """Return whether the answer of the model that was asked is taken."""
        if self._progress.started or self._step + 1 >= len(self._models):
            return True
        if is_enough(head.confidence, self._estimate_wait()):
            return True
        if self._history.sent + 1 >= self._history.max_attempts:
            return True
        share = BUDGET_SHARES[Outcome.DECLINED]
        return not self._budget.allows(self._clock(), share)

    def _decide(self, end):
        outcome = end.outcome
        history = self._history
        history.record(outcome)
        history.started = self._progress.started
        if outcome is Outcome.FAILED:
            self._kept = end
            history.kept_answer = True
        if outcome is Outcome.DECLINED:
            self._step += 1
            self._placement = self._plan_placement()
        else:
            self._tried.add(self._trace[-1]["server"])
            self._blame(end)
        if self._parts.quarantine.is_quarantined(self._request):
            history.repeatable = False
        share = BUDGET_SHARES.get(outcome, 1.0)
        allows = self._budget.allows(self._clock(), share)
        return decide_next(history, outcome, self._left, allows)

    def _blame(self, end):
        server = self._parts.servers.find(self._trace[-1]["server"])
        if server is None:
            return
        if end.outcome is Outcome.MISDIRECTED:
            self._parts.servers.note_gone(server.server)
        if end.outcome in PAUSING_OUTCOMES:
            self._parts.servers.note_failure(server.server, self._clock())

    def _finish(self, step):
        if step is Step.DELIVER_KEPT:
            self._deliver(self._kept)
            return Ok(None)
        if step is Step.BREAK_OFF:
            return Error(_refuse(RefusalReason.BACKEND_FAILED, RunState.RAN))
        if self._left <= 0.0:
            return self._give_up(RefusalReason.DEADLINE_EXCEEDED)
        return self._give_up(RefusalReason.BACKEND_FAILED)

    def _give_up(self, reason):
        if self._kept is not None and not self._progress.started:
            self._deliver(self._kept)
            return Ok(None)
        ran = self._history.may_have_run
        state = RunState.UNKNOWN if ran else RunState.NOT_RUN
        return Error(_refuse(reason, state))

    def _deliver(self, end):
        headers = end.head.headers
        self._request.responder.send(end.status, end.reason, headers, end.body)

    def note_left(self):
        """Log that the client left before the end of its answer."""
        self._log_end("left", running=self._running)

    def _end(self, result):
        if result.is_ok():
            self._log_end("answered")
            return result
        refusal = result.error
        self._log_end(refusal.reason.value, run_state=refusal.run_state.value)
        return result

    def _measure_first(self):
        """Return the milliseconds until the client had its first event, or None."""
        first_at = self._progress.first_at
        if first_at is None:
            return None
        return round((first_at - self._request.raw.received_at) * 1000.0)

    def _log_end(self, end, **inputs):
        request = self._request
        metrics = self._parts.metrics
        metrics.requests.labels(end).inc()
        spent = self._clock() - request.raw.received_at
        metrics.latency.labels(request.route.name).observe(spent)
        log.info(
            "request",
            id=request.id.decode("latin-1"),
            route=request.route.name,
            account=request.account,
            session=None
            if request.session is None
            else request.session.decode("latin-1"),
            manifest=request.manifest.revision,
            end=end,
            ms=round(spent * 1000.0),
            first_ms=self._measure_first(),
            max_gap_ms=round(self._progress.gap * 1000.0),
            prompt=request.prompt_info.prompt_tokens,
            attempts=self._trace,
            **inputs,
        )


def _refuse(reason, state):
    if state is not RunState.NOT_RUN:
        return Refusal(reason, f"no complete answer: {reason.value}", state)
    return Refusal(
        reason, f"not run: {reason.value}", state, retry_after=NO_SERVER_RETRY_S
    )


def _describe_attempt(attempt, end, seconds, wait):
    """Return what the log says of an attempt; times in milliseconds."""
    return {
        "server": attempt.server.id,
        "release": attempt.server.release,
        "model": attempt.model,
        "outcome": end.outcome.value,
        "detail": end.detail,
        "ms": round(seconds * 1000.0),
        "first_ms": round(end.pace.first * 1000.0) if end.pace else None,
        "gap_ms": round(end.pace.gap * 1000.0) if end.pace else None,
        "load": end.load,
        "wait_ms": round(wait * 1000.0),
    }
