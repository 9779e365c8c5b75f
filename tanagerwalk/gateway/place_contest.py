"""The part of one request in the competition for places at the servers."""

from ..decisions.demands import PRIORITY_COUNT, hash_account, make_plain_work
from ..decisions.early_refusal import (
    Prospect,
    choose_retry_delay,
    find_early_refusal,
)
from ..decisions.fair_shares import Standing, find_standing
from ..decisions.request_order import (
    DEFAULT_PRIORITY,
    OrderInput,
    find_priority,
    find_rank,
)
from .attempts import Outcome

MS_PER_S = 1000.0


class PlaceContest:
    """Decides whether a request is refused early, and on its priority at an engine.

    Parameters
    ----------
    control : ContentionControl
        Knows for which services requests compete.
    request : GatewayRequest
        The request.
    service : ServiceName
        The service that runs it.

    Attributes
    ----------
    retry_delay : float
        Seconds after which the client of a refused request should retry.
    """

    def __init__(self, control, request, service):
        self._control = control
        self._request = request
        self._service = service
        self._account = None
        self._contention = None
        self._work = None
        self._fields = {}
        # Drawn once, so that each further look for a server decides alike.
        self._turn_draw = control.random.random()
        self._share_draw = control.random.random()
        self.retry_delay = 0.0
        self._order = control.find_order(request.manifest, service)
        if not self._order.is_needed:
            return
        if request.account is not None and self._order.accounts > 1:
            self._account = hash_account(request.account)

    def find_refusal(self, work, allows_server):
        """Return why the request is refused before it is sent, or None.

        Parameters
        ----------
        work : Work or None
            Cost of the request for an engine; None for a service without models.
        allows_server : callable
            Takes a RegisteredServer and returns whether the request may use it.

        Returns
        -------
        RefusalReason or None
        """
        if not self._order.is_needed:
            return None
        is_first = self._contention is None
        self._contention = self._control.find_service(self._service)
        self._work = work or make_plain_work()
        now = self._control.clock()
        if is_first:
            self._contention.meter.record_offered(self._account, self._work, now)
        # The rest of a stream that has begun is not refused.
        if not self.is_contended or self._request.last_event is not None:
            return None
        places = self._contention.count_places(allows_server)
        if not places.are_scarce:
            return None
        prospect = self._find_prospect(places, self._find_priority(work), now)
        reason = find_early_refusal(prospect, self._share_draw)
        if reason is not None:
            draw = self._control.random.random()
            self.retry_delay = choose_retry_delay(prospect, draw)
        return reason

    @property
    def is_contended(self):
        """Whether the request competes with others, as far as is known."""
        return self._contention is not None and self._contention.state.is_contended

    @property
    def is_crowded_out(self):
        """Whether the request's account keeps to its share, and another doesn't."""
        return self.is_contended and self._find_standing().is_crowded_out

    def _find_prospect(self, places, priority, now):
        """Return the Prospect of the request at the servers that it may use."""
        everywhere = self._contention.places
        rate = self._contention.demand.done_rate
        queue_ratio = places.compare_queues(everywhere)
        prefill_time = self._work.prefill * everywhere.servers / rate if rate else 0.0
        prospect = Prospect(
            wait=queue_ratio * self._estimate_wait(priority),
            prefill_time=prefill_time,
            last_wait=queue_ratio * self._estimate_wait(PRIORITY_COUNT - 1),
            standing=self._find_standing(),
            time_left=self._request.deadline - now,
            objective=self._request.route.objective,
            longest_objective=self._order.longest_objective,
        )
        self._fields |= {
            "expected_wait_ms": round(prospect.wait * MS_PER_S),
            "over_share": round(prospect.standing.excess, 2),
        }
        return prospect

    def _estimate_wait(self, priority):
        return self._contention.demand.estimate_wait(priority)

    def _find_standing(self):
        if self._account is None:
            return Standing()
        demand = self._contention.demand
        return find_standing(demand, self._account, self._order.accounts)

    def choose_priority(self, work):
        """Return the priority of the next attempt; None for the engine's default.

        Parameters
        ----------
        work : Work or None
            Cost of the request for an engine; None for a service without models.
        """
        if work is None or not self.is_contended:
            return None
        priority = self._find_priority(work)
        self._fields["priority"] = priority
        self._control.metrics.priorities.labels(priority).inc()
        return priority

    def _find_priority(self, work):
        """Return the priority by the order of requests, as under contention."""
        if work is None:
            return DEFAULT_PRIORITY
        request = self._request
        order = OrderInput(
            find_rank(request.manifest, request.route, request.account),
            self._order.ranks,
            work.total,
            self._control.servers.mean_work,
            self._find_standing().excess > 0.0,
            request.deadline - self._control.clock(),
            request.route.timeout,
            request.route.objective,
        )
        return find_priority(order, self._estimate_wait, self._turn_draw)

    def begin(self, attempt):
        """Record that the request is sent; return a SentRequest for `end`, or None."""
        if self._contention is None:
            return None
        priority = attempt.priority
        if priority is None:
            priority = self._find_priority(attempt.work)
        return self._contention.meter.begin(priority, attempt.work or make_plain_work())

    def end(self, sent, result):
        """Record how an attempt ended; `result` is None if it was aborted."""
        if sent is None:
            return
        is_answered = result is not None and result.outcome is Outcome.DELIVERED
        self._contention.meter.end(sent, is_answered, self._control.clock())

    def describe(self):
        """Return the log fields of a request that competed for a place."""
        return self._fields
