"""The part of one request in the competition for places at the servers."""

from functools import partial

from ..decisions.demands import PRIORITY_COUNT, hash_account, make_plain_work
from ..decisions.early_refusal import (
    Prospect,
    choose_retry_delay,
    find_early_refusal,
    find_late_refusal,
)
from ..decisions.fair_shares import Standing, find_standing
from ..decisions.request_priorities import (
    DEFAULT_PRIORITY,
    PriorityInputs,
    find_priority,
)
from .attempts import Outcome

MS_PER_S = 1000.0


class PlaceContest:
    """Decides whether a request is refused early, and on its priority at an engine.

    Parameters
    ----------
    monitor : ContentionMonitor
        Knows for which servers requests compete.
    request : GatewayRequest
        The request.
    service : ServiceName
        The service that runs it.
    allows_server : callable
        Takes a RegisteredServer and returns whether the request may use it, by its
        failure domain and release alone.

    Attributes
    ----------
    retry_delay : float
        Seconds after which the client of a refused request should retry.
    """

    def __init__(self, monitor, request, service, allows_server):
        self._monitor = monitor
        self._request = request
        self._service = service
        self._allows_server = allows_server
        self._account = None
        self._contention = None
        self._fields = {}
        # Drawn once, so that each attempt has the same priority.
        self._move_up_draw = monitor.random.random()
        self._refusal_draw = monitor.random.random()
        self.retry_delay = 0.0
        self._policy = monitor.find_service_policy(request.manifest, service)
        if request.account is not None and self._policy.account_count > 1:
            self._account = hash_account(request.account)

    def find_refusal(self, work):
        """Return why the request is refused before it is sent, or None.

        The first call decides whether it is accepted. Later ones, after waits for a
        server, refuse it only if it would miss its deadline.

        Parameters
        ----------
        work : Work or None
            Cost of the request for an engine; None for a service without models.

        Returns
        -------
        RefusalReason or None
        """
        if not self._policy.has_differences:
            return None
        is_first = self._contention is None
        self._contention = self._monitor.refresh(self._service)
        now = self._monitor.clock()
        if is_first:
            offered = work or make_plain_work()
            self._contention.meter.record_offered(self._account, offered, now)
        subset = self._contention.find_subset(self._allows_server, now)
        # The rest of a stream that has begun is not refused.
        is_resumed = self._request.last_event is not None
        if is_resumed or not (subset.is_contended and subset.places.are_scarce):
            return None
        prospect = self._find_prospect(subset, work, now)
        if is_first:
            reason = find_early_refusal(prospect, self._refusal_draw)
        else:
            reason = find_late_refusal(prospect)
        if reason is not None:
            draw = self._monitor.random.random()
            self.retry_delay = choose_retry_delay(prospect, draw)
        return reason

    @property
    def is_crowded_out(self):
        """Whether the request's account keeps to its share, and another doesn't."""
        if self._contention is None:
            return False
        subset = self._find_subset(self._monitor.clock())
        return subset.is_contended and self._find_standing().is_crowded_out

    def _find_subset(self, now):
        """Return the ServerSubset of the request; in calm, all servers will do."""
        if not self._contention.is_contended:
            return self._contention.whole
        return self._contention.find_subset(self._allows_server, now)

    def _find_prospect(self, subset, work, now):
        """Return the Prospect of the request at the servers that it may use."""
        contention = self._contention
        priority = self._find_priority(subset, work, now)
        prospect = Prospect(
            wait=contention.estimate_wait(subset, priority),
            prefill_time=contention.estimate_prefill_time(work or make_plain_work()),
            last_wait=contention.estimate_wait(subset, PRIORITY_COUNT - 1),
            standing=self._find_standing(),
            time_left=self._request.deadline - now,
            objective=self._request.route.objective,
            longest_objective=self._policy.longest_objective,
            longest_timeout=self._policy.longest_timeout,
        )
        self._fields |= {
            "expected_wait_ms": round(prospect.wait * MS_PER_S),
            "over_share": round(prospect.standing.excess, 2),
        }
        return prospect

    def _find_standing(self):
        if self._account is None:
            return Standing()
        demand = self._contention.demand
        return find_standing(demand, self._account, self._policy.account_count)

    def choose_priority(self, work):
        """Return the priority of the next attempt; None for the engine's default.

        Parameters
        ----------
        work : Work or None
            Cost of the request for an engine; None for a service without models.
        """
        if work is None or self._contention is None:
            return None
        now = self._monitor.clock()
        subset = self._find_subset(now)
        if not subset.is_contended:
            return None
        priority = self._find_priority(subset, work, now)
        self._fields["priority"] = priority
        self._monitor.metrics.priorities.labels(priority).inc()
        return priority

    def _find_priority(self, subset, work, now):
        """Return the priority that the request has under contention."""
        if work is None:
            return DEFAULT_PRIORITY
        request = self._request
        inputs = PriorityInputs(
            self._policy.find_request_rank(request),
            self._policy.ranks,
            work.total,
            self._monitor.servers.mean_work,
            self._find_standing().excess > 0.0,
            request.deadline - now,
            request.route.timeout,
            request.route.objective,
        )
        estimate_wait = partial(self._contention.estimate_wait, subset)
        return find_priority(inputs, estimate_wait, self._move_up_draw)

    def begin(self, attempt):
        """Record that the request is sent; return a SentRequest for `end`, or None."""
        if self._contention is None:
            return None
        priority = attempt.priority
        if priority is None:
            now = self._monitor.clock()
            priority = self._find_priority(self._find_subset(now), attempt.work, now)
        return self._contention.meter.begin(priority, attempt.work or make_plain_work())

    def end(self, sent, result):
        """Record how an attempt ended; `result` is None if it was aborted."""
        if sent is None:
            return
        is_answered = result is not None and result.outcome is Outcome.DELIVERED
        self._contention.meter.end(sent, is_answered, self._monitor.clock())

    def describe(self):
        """Return the log fields of a request that competed for a place."""
        return self._fields
