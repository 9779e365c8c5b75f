"""Seeded traffic and simulated model engines for `bench.lateness`."""

import heapq
from dataclasses import dataclass, field
from itertools import count

from tanagerwalk.decisions.servers import LoadReport, ServerRecord, ServerRole
from tanagerwalk.declarations import WorkClass
from tanagerwalk.ids import BackendServerId, ClassName
from tanagerwalk.outcomes import Interface, RetryReason

VERSION = "wren:1"
REGIONS = ("r0", "r1", "r2")
ENGINE_SLOTS = 8
CROSS_REGION_S = 0.008
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 10.0
ERROR_S = 0.005
WARM_UP_S = 3.0


def _make_class(name, lateness, patience):
    return WorkClass(ClassName(name), Interface.CHAT, 0.0, lateness, patience, 0, True)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of work, its share of the requests and its mean service time."""

    work_class: WorkClass
    share: float
    mean_s: float


REQUEST_KINDS = (
    RequestKind(_make_class("label", 2.0, 6.0), 0.5, 0.4),
    RequestKind(_make_class("note", 6.0, 18.0), 0.3, 1.5),
    RequestKind(_make_class("draft", 60.0, 180.0), 0.2, 15.0),
)
MEAN_SERVICE_TIME_S = sum(kind.share * kind.mean_s for kind in REQUEST_KINDS)


@dataclass(slots=True, eq=False)
class Request:
    """A simulated request and its result.

    `service_time` is in seconds; `arrived`, `ended` and `refused` are points in virtual
    time, and `refusal` is the reason for a refusal.
    """

    kind: RequestKind
    account: str
    arrived: float
    service_time: float
    poison: bool = False
    tried: set[BackendServerId] = field(default_factory=set)
    attempts: int = 0
    ended: float | None = None
    refused: float | None = None
    refusal: str | None = None


class Clock:
    """Virtual time with a queue of scheduled events."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = count()

    def call_at(self, when, action, *arguments):
        """Schedule `action(*arguments)` at virtual time `when`."""
        heapq.heappush(self._events, (when, next(self._order), action, arguments))

    def run(self, until):
        """Run the scheduled events up to and including time `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


class Engine:
    """A model engine with a fixed number of slots and a queue of waiting requests.

    Parameters
    ----------
    clock : Clock
        Virtual time.
    number : int
        Index of the engine; regions are assigned round-robin.
    priorities : bool
        Whether waiting requests are ordered by the lateness limit of their class
        instead of first in, first out.
    """

    def __init__(self, clock, number, priorities):
        self.clock = clock
        self.on_crash = None
        self.region = REGIONS[number % len(REGIONS)]
        self.name = f"engine-{number}"
        self.incarnation = 1
        self.priorities = priorities
        self.factor = 1.0
        self.up = True
        self.erring = False
        self.crashes = 0
        self.peak_waiting = 0
        self.cut = False
        self.running = {}
        self.waiting = []
        self._order = count()

    def make_record(self):
        """Return the record of the engine in the platform's list."""
        return ServerRecord(
            BackendServerId(self.name),
            self.name,
            ServerRole.ENGINE,
            self.region,
            f"{self.region}-a",
            f"{self.name}.{self.incarnation}",
        )

    def report(self):
        """Return the load that the engine publishes."""
        return LoadReport(len(self.running), len(self.waiting), frozenset({VERSION}))

    def is_reachable_from(self, region):
        """Return whether instances of a region can reach the engine."""
        return not self.cut or region == self.region

    def send(self, request, region, done):
        """Run a request and call `done` with None, or the RetryReason if it failed."""
        now = self.clock.now
        delay = 0.0 if region == self.region else CROSS_REGION_S
        if not self.is_reachable_from(region):
            failure = RetryReason.CONNECT_FAILED
            self.clock.call_at(now + CONNECT_TIMEOUT_S, done, failure)
        elif not self.up:
            self.clock.call_at(now + delay, done, RetryReason.CONNECT_FAILED)
        elif self.erring:
            self.clock.call_at(now + delay + ERROR_S, done, RetryReason.SERVER_ERROR)
        elif request.poison:
            self.crash()
            self.clock.call_at(now + delay, done, RetryReason.CONNECTION_LOST)
        else:
            self.clock.call_at(now + delay, self._enqueue, request, region, done)

    def _enqueue(self, request, region, done):
        if not self.up:
            done(RetryReason.CONNECTION_LOST)
            return
        priority = request.kind.work_class.lateness if self.priorities else 0.0
        item = (priority, next(self._order), request, region, done)
        heapq.heappush(self.waiting, item)
        self._start_waiting()
        self.peak_waiting = max(self.peak_waiting, len(self.waiting))

    def _start_waiting(self):
        while self.waiting and len(self.running) < ENGINE_SLOTS:
            _, number, request, region, done = heapq.heappop(self.waiting)
            self.running[number] = (region, done)
            ends = self.clock.now + request.service_time * self.factor
            self.clock.call_at(ends, self._finish, number, self.incarnation)

    def _finish(self, number, incarnation):
        if incarnation != self.incarnation or number not in self.running:
            return
        region, done = self.running.pop(number)
        if self.is_reachable_from(region):
            done(None)
        else:
            late = self.clock.now + IDLE_TIMEOUT_S
            self.clock.call_at(late, done, RetryReason.ATTEMPT_TIMEOUT)
        self._start_waiting()

    def crash(self):
        """Stop and fail all running and waiting requests."""
        self.crashes += 1
        self.up = False
        lost = list(self.running.values())
        lost += [(region, done) for *_, region, done in self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.on_crash(self)
        for _, done in lost:
            done(RetryReason.CONNECTION_LOST)

    def restart(self):
        """Start again with a new incarnation."""
        self.incarnation += 1
        self.up = True


def make_traffic(random, load, engine_count, ends, flood):
    """Return randomly drawn requests in order of arrival.

    Parameters
    ----------
    random : random.Random
        Random number generator.
    load : float
        Offered load as a share of the engines' slots.
    engine_count : int
        Number of engines.
    ends : float
        Virtual time of the last arrival, in seconds.
    flood : float
        Load of the drafts added by account `flooder`, as a share of the engines' slots.
    """
    slots = engine_count * ENGINE_SLOTS
    requests = []
    rate = load * slots / MEAN_SERVICE_TIME_S
    shares = [kind.share for kind in REQUEST_KINDS]
    now = WARM_UP_S + random.expovariate(rate)
    while now < ends:
        kind = random.choices(REQUEST_KINDS, shares)[0]
        account = f"account-{min(random.randrange(10), random.randrange(10))}"
        requests.append(_draw_request(random, kind, account, now))
        now += random.expovariate(rate)
    if flood:
        now = random.expovariate(flood * slots / REQUEST_KINDS[-1].mean_s)
        while now < ends:
            requests.append(_draw_request(random, REQUEST_KINDS[-1], "flooder", now))
            now += random.expovariate(flood * slots / REQUEST_KINDS[-1].mean_s)
    return sorted(requests, key=lambda request: request.arrived)


def _draw_request(random, kind, account, now):
    service_time = kind.mean_s * random.choice((0.5, 0.75, 1.0, 1.25, 1.5))
    return Request(kind, account, now, service_time)
