"""Requests that compete for some servers of a service only, and those that wait."""

import random
from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.contention import Places
from tanagerwalk.decisions.demands import Demand
from tanagerwalk.decisions.server_usage import estimate_work
from tanagerwalk.gateway.contention_monitor import ContentionMonitor
from tanagerwalk.gateway.metrics import GatewayMetrics
from tanagerwalk.gateway.place_contest import PlaceContest
from tanagerwalk.outcomes import RefusalReason
from tanagerwalk.registry import RegisteredServer, ServerState

FULL = Places(1, slots=16, taken=36, waiting=20, in_use=16)
CALM = Places(1, slots=16, taken=1, waiting=0, in_use=1)
DOMAINS = ("a-1", "b-1", "c-1", "d-1", "e-1", "f-1")
TIMEOUT_S = 10.0
# Fifty requests done in each second.
DEMAND = Demand(done=(2e5,) + (0.0,) * 9, waiting=(2e4,) * 10)


class Service:
    """A service with a server in each failure domain, of which some are full."""

    def __init__(self, *full):
        self.full = full
        self.now = 100.0
        self.demand = DEMAND
        self.monitor = ContentionMonitor(
            SimpleNamespace(mean_work=1000.0, list_places=self.list_places),
            SimpleNamespace(find_others=lambda service, now: self.demand),
            GatewayMetrics(),
            lambda: self.now,
            random.Random(1),
        )
        route = SimpleNamespace(
            priority=1,
            objective=1.0,
            timeout=TIMEOUT_S,
            shares=(SimpleNamespace(service="llm"),),
        )
        self.route = route
        patient = SimpleNamespace(priority=7, objective=1.0, timeout=TIMEOUT_S)
        patient.shares = route.shares
        self.manifest = SimpleNamespace(
            list_routes=lambda: (route, patient),
            account_priorities={},
            accounts={},
            needs_keys=False,
        )

    def list_places(self, service, now):
        del service, now
        return [
            (
                RegisteredServer(
                    name, "llm", ("", 1), name, "v1", 16, ServerState.READY, 1
                ),
                FULL if name in self.full else CALM,
            )
            for name in DOMAINS
        ]

    def begin(self, *domains):
        """Return the PlaceContest of a request that may use some failure domains."""
        request = SimpleNamespace(
            manifest=self.manifest,
            route=self.route,
            account=None,
            last_event=None,
            deadline=self.now + TIMEOUT_S,
        )

        def allows_server(server):
            return server.failure_domain in domains

        return PlaceContest(self.monitor, request, "llm", allows_server)

    def run(self, *domains):
        """Send requests for some seconds, so that the service is observed."""
        for _ in range(20):
            self.now += 0.25
            self.begin(*domains).find_refusal(work())

    def find_refused_share(self, *domains):
        contests = [self.begin(*domains) for _ in range(100)]
        return sum(contest.find_refusal(work()) is not None for contest in contests)


def work():
    return estimate_work(700, 1.0)


def choose_priority(contest):
    contest.find_refusal(work())
    return contest.choose_priority(work())


# Load: one failure domain of six is full, the others are calm.
def test_priority_and_refusal_hold_where_only_allowed_servers_are_full():
    service = Service("a-1")
    service.run("a-1")
    assert choose_priority(service.begin("a-1")) is not None
    assert choose_priority(service.begin(*DOMAINS)) is None
    assert choose_priority(service.begin("b-1")) is None
    service.demand = Demand(done=DEMAND.done, waiting=(2e6,) + (0.0,) * 9)
    service.run("a-1")
    assert service.find_refused_share("a-1") == 100
    assert service.find_refused_share("b-1") == 0


# Load: all failure domains but one are full.
def test_requests_for_calm_servers_of_a_full_service_are_sent_as_in_calm():
    service = Service(*DOMAINS[1:])
    service.run(*DOMAINS)
    assert choose_priority(service.begin(*DOMAINS)) is not None
    assert choose_priority(service.begin("a-1")) is None


# Load: the queue grows while an accepted request waits for a server.
@pytest.mark.parametrize(("wait", "refused"), [(9.0, False), (30.0, True)])
def test_accepted_request_is_refused_only_if_it_misses_its_deadline(wait, refused):
    service = Service(*DOMAINS)
    service.run(*DOMAINS)
    waiting = [service.begin(*DOMAINS) for _ in range(50)]
    assert {contest.find_refusal(work()) for contest in waiting} == {None}
    service.demand = Demand(
        done=DEMAND.done, waiting=(wait * sum(DEMAND.done) / 4.0,) + (0.0,) * 9
    )
    service.now += 0.5
    later = {contest.find_refusal(work()) for contest in waiting}
    assert later == {RefusalReason.QUEUE_FULL if refused else None}
    assert service.find_refused_share(*DOMAINS) > 50
