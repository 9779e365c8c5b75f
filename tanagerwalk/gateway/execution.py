"""Runs the attempts of one request until one delivers a response."""

import asyncio
import dataclasses
import math
from functools import partial

import structlog
from expression import Error, Ok

from ..decisions.attempts import (
    BUDGET_SHARES,
    UNSENT_OUTCOMES,
    AttemptHistory,
    NextAction,
    decide_next_action,
    find_retry_after,
)
from ..decisions.model_selection import is_confident_enough
from ..decisions.server_usage_table import hash_life
from ..outcomes import Refusal, RefusalReason, RunState
from .attempt_plan import AttemptPlan
from .attempt_resources import AttemptResources
from .attempt_timeouts import choose_timeouts
from .attempts import Attempt, AttemptResult, Outcome
from .connect_faults import ConnectFault
from .model_sequence import ModelSequence
from .permit_wait import PermitWait
from .place_contest import PlaceContest
from .place_wait import PlaceWait
from .request_log import describe_attempt, log_request_end
from .request_servers import RequestServers
from .request_tokens import RequestTokens
from .stream_progress import StreamProgress
from .succession import Succession

log = structlog.get_logger(__name__)

MIN_QUEUE_FULL_WAIT_S = 2.0
QUEUE_FULL_WAIT_SHARE = 0.7
# Between the starts of two attempts that are to replace one at a silent server.
CHALLENGE_INTERVAL_S = 1.0
# Before the next attempt of a request that may have run, if no descriptor is left.
FAULT_PAUSE_S = 0.1
STOPPING_RETRY_AFTER_S = 0.05
PAUSING_OUTCOMES = frozenset(
    {
        Outcome.NOT_SENT,
        Outcome.CLOSED,
        Outcome.LOST,
        Outcome.SILENT,
        Outcome.MISDIRECTED,
    }
)


class RequestExecution:
    """Runs one request: selects servers, repeats attempts and delivers the response.

    Parameters
    ----------
    context : ExecutionContext
        Shared components of the instance.
    request : GatewayRequest
        The request, with its route and manifest set.
    service : ServiceName
        The service that runs the request.
    budget : SlidingRetryBudget
        The retry budget of the service.
    """

    def __init__(self, context, request, service, budget):
        self._context = context
        self._request = request
        self._service = service
        self._budget = budget
        self._clock = context.clock
        route = request.route
        self._models = ModelSequence(request, service)
        self._tokens = RequestTokens(context.servers, request, service, context.clock)
        self._assignment = None
        self._regions = context.region_rules.begin(request)
        self._servers = RequestServers(
            context, request, service, self._models, self._tokens, self._regions
        )
        self._place_wait = None
        self._permit_wait = PermitWait(
            context.permits, context.servers, request, service, context.clock
        )
        self._place_contest = None
        self._resources = None
        self._history = AttemptHistory(route.repeatable, route.max_attempts)
        self._progress = StreamProgress(last_event=request.last_event)
        self._kept_answer = None
        self._rejected_by = set()
        self._attempt_log = []
        self._current_server_id = None
        self._last_release = None
        self._is_accepted = False
        # Claims of the attempts that run.
        self._under_way = set()
        self._next_challenge_at = float("-inf")
        self._succession = Succession()

    @property
    def _time_left(self):
        return self._request.deadline - self._clock()

    @property
    def _kind(self):
        return self._request.route.name, self._service

    async def run(self):
        """Run attempts until the request is answered or has to be refused.

        Returns
        -------
        Result of None, or of Refusal
        """
        await self._assign()
        try:
            return await self._run_attempts()
        finally:
            self._context.assigner.end(self._assignment, self._last_release)
            await self._succession.close()

    async def _assign(self):
        """Choose the releases that the request may use."""
        context = self._context
        self._assignment = await context.assigner.assign(self._request, self._service)
        # Predicates that refer to this object would keep the body of the request until
        # the next garbage collection.
        allows_server = self._regions.restrict(self._assignment.allows_server)
        self._place_contest = PlaceContest(
            context.contention_monitor, self._request, self._service, allows_server
        )
        self._place_wait = PlaceWait(
            context.servers,
            context.limit_slots,
            self._request,
            self._service,
            allows_server,
            self._clock,
        )
        self._servers.assignment = self._assignment
        self._servers.place_wait = self._place_wait
        self._resources = AttemptResources(
            self._budget,
            self._tokens,
            self._permit_wait,
            self._place_contest,
            self._clock,
        )

    async def _run_attempts(self):
        while True:
            reason = self._find_refusal()
            if reason is not None:
                return self._log_result(self._give_up(reason))
            self._is_accepted = True
            server, hold = self._servers.choose(), None
            if server is not None and self._permit_wait.is_needed:
                acquired = await self._acquire_permit(server, self._history)
                if acquired.is_error():
                    return self._log_result(self._give_up(RefusalReason.QUEUE_FULL))
                server, hold = acquired.ok
                if server is None:
                    continue
            if server is None and self._servers.needs_kept:
                reason = RefusalReason.DESCRIPTORS_FULL
                return self._log_result(self._give_up(reason))
            if server is None:
                reason = self._find_region_refusal()
                if reason is not None:
                    return self._log_result(self._give_up(reason))
            if server is None and await self._wait_for_place():
                continue
            if server is None:
                return self._log_result(self._give_up(self._place_wait.find_reason()))
            result = await self._attempt(server, hold, self._succession.begin())
            result = await self._follow_successors(result)
            if result.outcome is Outcome.DELIVERED:
                if result.head is not None:
                    self._deliver(result)
                return self._log_result(Ok(None))
            await self._bear_fault(result.fault)
            action = self._find_next_action(self._history, result.outcome)
            if action is not NextAction.ANOTHER:
                return self._log_result(self._finish_without_answer(action))

    async def _follow_successors(self, result):
        """Return the AttemptResult of the last attempt that ran on beside others."""
        while result.outcome is not Outcome.DELIVERED:
            successor = self._succession.take_successor()
            if successor is None:
                break
            result = await successor or result
        return result

    async def _wait_for_place(self):
        """Wait for a server; see `PlaceWait.wait`."""
        # A slot is no permit: with it alone, a brittle server may be asked too often.
        if self._permit_wait.is_needed:
            return await self._place_wait.wait(self._history)
        return await self._place_wait.wait(self._history, self._servers.list_askable)

    def _find_refusal(self):
        """Return the reason why no more attempt is made, or None."""
        if self._context.quarantine.is_quarantined(self._request):
            return RefusalReason.QUARANTINED
        if not self._context.stop_control.has_time(self._request, self._kind):
            return RefusalReason.STOPPING
        if self._regions.has_spent_connect_time(self._history.may_have_run):
            return RefusalReason.ALLOWED_REGIONS_UNREACHABLE
        reason = self._find_early_refusal()
        if reason is not None or self._place_contest.is_crowded_out:
            return reason
        return RefusalReason.QUEUE_FULL if self._would_miss_deadline() else None

    def _find_early_refusal(self):
        """Return why the request isn't sent while others compete for places."""
        if self._history.sent > 0 or self._permit_wait.is_needed:
            return None
        work = self._models.estimate_work(self._clock())
        return self._place_contest.find_refusal(work)

    def _find_region_refusal(self):
        may_have_run = self._history.may_have_run
        return self._regions.find_refusal(self._service, may_have_run)

    async def _acquire_permit(self, server, history, longest=math.inf):
        """Wait for a permit for a server; see `PermitWait.acquire`."""
        candidates = self._servers.list_candidates(server)
        return await self._permit_wait.acquire(
            candidates, history, self._regions.allows_server, longest
        )

    async def _bear_fault(self, fault):
        """Go on after an attempt for which this instance couldn't connect.

        A request that has not run is refused, unless a connection to another server is
        open; one that may have run waits.
        """
        is_unconnected = fault is ConnectFault.DESCRIPTORS_FULL
        may_have_run = self._history.may_have_run
        self._servers.needs_kept = is_unconnected and not may_have_run
        if is_unconnected and may_have_run:
            await asyncio.sleep(min(FAULT_PAUSE_S, max(0.0, self._time_left)))

    def _would_miss_deadline(self):
        """Return whether the queues leave too little time before the deadline.

        Only checked for routes with models, before the first attempt is sent. Once the
        request has been accepted, only if the queues leave no time at all.
        """
        if self._history.sent > 0 or self._models.current is None:
            return False
        wait = self._servers.estimate_wait()
        share = 1.0 if self._is_accepted else QUEUE_FULL_WAIT_SHARE
        return wait > MIN_QUEUE_FULL_WAIT_S and wait > share * self._time_left

    async def _attempt(self, server, hold, claim):
        now = self._clock()
        others_sent = self._history.sent + self._count_sent_beside(claim)
        slot = self._place_wait.take_slot(server)
        self._regions.record_attempt(server)
        work = self._models.estimate_work(now)
        attempt = Attempt(
            server=server,
            time_left=self._time_left,
            model=self._models.current_name,
            last_event=self._progress.last_event,
            priority=self._place_contest.choose_priority(work),
            work=work,
            was_silent=self._context.servers.is_silent(server, now),
            was_rejected=server.id in self._rejected_by,
        )
        if claim.is_holder:
            self._record_holder(attempt)
        wait = self._context.servers.estimate_server_wait(server, now)
        plan = AttemptPlan(
            self._request,
            attempt,
            choose_timeouts(
                self._request.route,
                self._history.max_attempts - others_sent,
                self._time_left,
            ),
            partial(self._accepts_head, claim, attempt),
            self._progress,
            partial(self._context.recorder.record_latency, self._request, attempt),
            partial(self._context.quarantine.suspect, self._request, attempt),
            claim,
            self._regions.find_peer_filter(),
            partial(self._may_send, server, slot),
            partial(self._outlast_silence, claim, attempt),
        )
        held = self._resources.begin(attempt, others_sent > 0, hold)
        result = None
        try:
            result = await self._run_attempt(plan)
        finally:
            is_sent = _was_sent(claim, result)
            self._resources.end(held, result, is_sent)
            if result is None:
                self._record_abort(claim)
        self._context.recorder.record_attempt(self._request, attempt, result)
        self._context.quarantine.record_attempt(self._request, attempt, result)
        self._regions.record_result(server, result)
        await self._check_for_crash(server, result)
        self._context.metrics.count_attempt(
            result.outcome, self._context.servers.find_distance(server)
        )
        self._attempt_log.append(
            describe_attempt(attempt, result, self._clock() - now, wait)
        )
        self._under_way.discard(claim)
        self._record_outcome(attempt, result)
        return result

    def _record_abort(self, claim):
        """Record that an attempt was aborted, and what it counts for."""
        if claim.is_sent:
            self._history.record(Outcome.SILENT)
        if claim.is_sent or claim.is_lost:
            self._under_way.discard(claim)

    def _count_sent_beside(self, claim):
        """Return the number of other attempts that were sent and have not ended."""
        return sum(each.is_sent for each in self._under_way if each is not claim)

    def _record_holder(self, attempt):
        """Record the server that gives the client's answer, as things stand."""
        self._current_server_id = attempt.server.id
        self._last_release = attempt.server.release

    def _may_send(self, server, slot, via):
        """Return whether a request may still be sent, now that it is connected."""
        regions = self._regions
        if not regions.allows_server(server):
            return False
        if via is not None and not regions.allows_peer(via):
            return False
        return self._context.servers.admit(server, slot, self._clock())

    def _outlast_silence(self, claim, attempt, via):
        """Return whether an attempt goes on though its server is silent.

        That of the holder does, and if another one can begin, a challenger is started.
        """
        if not claim.is_holder:
            return False
        is_direct = via is None and self._context.region_rules.is_direct(attempt.server)
        life = hash_life(attempt.server) if is_direct else None
        if not self._succession.has_challenger and self._may_challenge(claim, life):
            self._next_challenge_at = self._clock() + CHALLENGE_INTERVAL_S
            self._servers.tried.add(attempt.server.id)
            log.info(
                "server silent",
                id=self._request.id.decode("latin-1"),
                server=attempt.server.id,
                **self._context.stop_control.describe(self._request, self._kind),
            )
            self._succession.challenge(partial(self._pursue, Outcome.SILENT, life))
        return True

    def _may_challenge(self, claim, silent_life):
        """Return whether another attempt can begin beside that at a silent server.

        Asking the same one again may help only if the path to it is in doubt.

        Parameters
        ----------
        claim : AnswerClaim
            That of the attempt.
        silent_life : int or None
            `hash_life` of the server; None if the path to it is in doubt.
        """
        # The two answers would wait for the same memory.
        if self._request.raw.memory.is_tight:
            return False
        if self._clock() < self._next_challenge_at:
            return False
        if not self._can_begin_after(Outcome.SILENT, claim):
            return False
        return any(
            hash_life(other) != silent_life for other in self._servers.list_usable()
        )

    async def _pursue(self, outcome, silent_life, claim):
        """Run attempts until one is sent; return the AttemptResult of the last.

        Parameters
        ----------
        outcome : Outcome
            How the attempt of the holder ends if it is replaced.
        silent_life : int or None
            `hash_life` of a server that isn't asked.
        claim : AnswerClaim
            The challenger's.
        """
        holder, result = self._succession.holder, None
        while self._can_begin_after(outcome, holder):
            server, hold = await self._find_successor(outcome, silent_life)
            if server is None:
                break
            result = await self._attempt(server, hold, claim)
            if result.outcome not in UNSENT_OUTCOMES or result.fault is not None:
                break
        return result

    async def _find_successor(self, outcome, silent_life):
        """Return a server for another attempt, and the Hold of its permit or None."""
        server = self._servers.choose()
        if server is None or hash_life(server) == silent_life:
            return None, None
        if not self._permit_wait.is_needed:
            return server, None
        # A declined answer is there, and its own place comes free only afterwards.
        patience = 0.0 if outcome is Outcome.DECLINED else math.inf
        history = self._foresee(outcome)
        acquired = await self._acquire_permit(server, history, patience)
        return (None, None) if acquired.is_error() else acquired.ok

    def _foresee(self, outcome, sent_beside=0):
        """Return the history as it is if the present attempt ends so."""
        history = dataclasses.replace(self._history)
        history.record(outcome)
        history.sent += sent_beside
        return history

    def _can_begin_after(self, outcome, claim):
        """Return whether another attempt may begin if that of a claim ends so."""
        history = self._foresee(outcome, self._count_sent_beside(claim))
        if self._find_next_action(history, outcome) is not NextAction.ANOTHER:
            return False
        return self._context.stop_control.has_time(self._request, self._kind)

    async def _run_attempt(self, plan):
        """Return the AttemptResult; record how long the answer took."""
        durations = self._context.stop_control.durations
        token = durations.begin(self._kind, self._clock())
        self._under_way.add(plan.claim)
        result = AttemptResult(Outcome.LOST, "part quarantined")
        try:
            async with self._context.quarantine.guard(self._request, self._progress):
                result = await self._context.attempt_runner.run(plan)
        finally:
            durations.end(self._kind, token, self._clock(), result.has_lasted)
        return result

    async def _check_for_crash(self, server, result):
        """Find out whether a server that broke off the connection has crashed.

        A request that may be the cause goes on to no other server before.
        """
        if not result.broke_off or result.via is not None:
            return
        check = self._context.crash_check.start(server)
        if self._context.quarantine.may_be_guilty(self._request):
            # However the check ends, the request goes on.
            await asyncio.wait([check])

    async def _accepts_head(self, claim, attempt, head):
        """Return whether to deliver this response; if not, a larger model is asked."""
        self._record_holder(attempt)
        if self._progress.head_sent or not self._models.has_larger:
            return True
        if is_confident_enough(head.confidence, self._servers.estimate_wait()):
            return True
        can_begin = self._can_begin_after(Outcome.DECLINED, claim)
        if not can_begin or not self._servers.list_usable():
            return True
        return not await self._ask_larger_model()

    async def _ask_larger_model(self):
        """Return whether the request has been sent to a larger model."""
        self._models.advance()
        pursue = partial(self._pursue, Outcome.DECLINED, None)
        is_sent = await self._succession.replace_holder(pursue)
        if not is_sent:
            self._models.retreat()
        return is_sent

    def _record_outcome(self, attempt, result):
        """Record in the history how an attempt ended that has not delivered."""
        outcome = result.outcome
        if outcome is Outcome.DELIVERED:
            self._record_holder(attempt)
            return
        history = self._history
        history.record(outcome)
        history.started = self._progress.head_sent
        if outcome is Outcome.FAILED:
            self._kept_answer = result
            history.has_kept_answer = True
        if outcome in (Outcome.DECLINED, Outcome.WITHHELD):
            return
        self._servers.tried.add(attempt.server.id)
        if outcome is Outcome.REJECTED:
            self._rejected_by.add(attempt.server.id)
        self._report_server_failure(attempt, result)

    def _find_next_action(self, history, outcome):
        """Return the NextAction after an outcome that the history contains."""
        is_quarantined = self._context.quarantine.is_quarantined(self._request)
        is_fixed = not self._progress.can_resume
        if is_quarantined or is_fixed or self._request.is_trial:
            history.repeatable = False
        share = BUDGET_SHARES.get(outcome, 1.0)
        allows = self._budget.allows(self._clock(), share)
        return decide_next_action(history, outcome, self._time_left, allows)

    def _report_server_failure(self, attempt, result):
        server = self._context.servers.find(attempt.server.id)
        if server is None or result.fault is not None:
            return
        if result.outcome is Outcome.MISDIRECTED:
            self._context.servers.mark_address_reused(server.server)
        if result.outcome in PAUSING_OUTCOMES:
            self._context.servers.record_failure(server.server, self._clock())

    def _finish_without_answer(self, action):
        if action is NextAction.DELIVER_KEPT:
            self._deliver(self._kept_answer)
            return Ok(None)
        if action is NextAction.BREAK_OFF:
            return Error(_refuse(RefusalReason.BACKEND_FAILED, RunState.RAN))
        if self._time_left <= 0.0:
            return self._give_up(RefusalReason.DEADLINE_EXCEEDED)
        return self._give_up(RefusalReason.BACKEND_FAILED)

    def _give_up(self, reason):
        if self._kept_answer is not None and not self._progress.head_sent:
            self._deliver(self._kept_answer)
            return Ok(None)
        ran = self._history.may_have_run
        state = RunState.UNKNOWN if ran else RunState.NOT_RUN
        if reason is RefusalReason.QUARANTINED:
            return Error(_refuse(reason, state))
        if reason is RefusalReason.STOPPING:
            return Error(_refuse(reason, state, STOPPING_RETRY_AFTER_S))
        hold = max(
            self._place_wait.find_hold(),
            self._permit_wait.denied_wait,
            self._place_contest.retry_delay,
        )
        retry_after = find_retry_after(self._time_left, self._context.random, hold)
        message = self._regions.describe_refusal(reason)
        return Error(_refuse(reason, state, retry_after, message))

    def _deliver(self, result):
        headers = result.head.headers
        self._request.responder.send(result.status, result.reason, headers, result.body)

    def end_by_stop(self):
        """Return the Result for a request that still runs when the instance stops."""
        if self._request.responder.finished:
            return Ok(None)
        self._history.may_have_run = self._history.may_have_run or bool(self._under_way)
        return self._log_result(self._give_up(RefusalReason.STOPPING))

    def log_client_disconnect(self):
        """Log that the client disconnected before the end of its response."""
        self._log_end("left", running=self._current_server_id)

    def _log_result(self, result):
        if result.is_ok():
            self._log_end("answered")
            return result
        refusal = result.error
        self._log_end(refusal.reason.value, run_state=refusal.run_state.value)
        return result

    def _log_end(self, end, **inputs):
        request = self._request
        metrics = self._context.metrics
        metrics.requests.labels(end).inc()
        elapsed = self._clock() - request.raw.received_at
        metrics.latency.labels(request.route.name).observe(elapsed)
        # None if the request ends while it waits for its assignment.
        if self._assignment is not None:
            inputs |= self._assignment.describe() | self._place_contest.describe()
        inputs |= self._regions.describe()
        log_request_end(
            request, end, elapsed, self._progress, self._attempt_log, **inputs
        )


def _was_sent(claim, result):
    """Return whether an attempt was sent; `result` is None if it was aborted."""
    if result is None:
        return claim.is_sent
    return result.outcome not in UNSENT_OUTCOMES


def _refuse(reason, state, retry_after=None, message=None):
    message = message or reason.value
    if state is not RunState.NOT_RUN:
        return Refusal(reason, f"no complete answer: {message}", state)
    return Refusal(reason, f"not run: {message}", state, retry_after=retry_after)
