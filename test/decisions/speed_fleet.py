"""Instances that choose among servers of different speeds, in virtual time."""

import heapq
import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from tanagerwalk.decisions.engine_load import EngineLoad
from tanagerwalk.decisions.latency_baselines import LatencySample
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.relays import Role, Scope
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_speed_samples import NO_SAMPLES
from tanagerwalk.decisions.server_speeds import ServerSpeeds
from tanagerwalk.decisions.server_usage import estimate_work
from tanagerwalk.decisions.shared_loads import (
    NO_LOAD,
    ReportSource,
    SharedLoadTable,
    hash_server,
)
from tanagerwalk.registry import RegisteredServer, ServerState

SERVICE = "drafts"
HOME = Home("a-1", "a", {"a-1": "a"})
FLEET = ReportSource(Scope.FLEET, "")
EVENTS = 20
# How much a pause of a stream grows with the requests that the engine runs.
PAUSE_GROWTH = 0.05
PROMPT_TOKENS = 600


@dataclass(frozen=True)
class Scenario:
    """Servers, requests and instances.

    `load` is relative to what the servers can do at their speeds, and `work` the usual
    seconds of a request. A neighbour on the machine of a server slows it by
    `neighbour_slowdown` in `neighbour_share` of the time. `report` returns the fourth
    figure for the present and the lasting slowdown of a server, or None. `changes` are
    tuples of a time and the slowdowns from then on. The first server always reports
    `false_word`, if there is one.
    """

    slowdowns: tuple[float, ...]
    load: float
    instances: int = 9
    slots: int = 6
    work: float = 0.1
    runs_models: bool = False
    neighbour_share: float = 0.15
    neighbour_slowdown: float = 2.5
    neighbour_s: float = 0.6
    report: object = None
    changes: tuple = ()
    false_word: float | None = None
    uses_speeds: bool = True
    seconds: float = 16.0
    measured_from: float = 6.0


@dataclass
class Server:
    """A backend server with slots and a queue."""

    entry: RegisteredServer
    slowdown: float
    has_neighbour: bool = False
    running: int = 0
    waiting: list = field(default_factory=list)


class UniformSpeeds(ServerSpeeds):
    """Takes all servers as equally fast."""

    def is_uniform(self, now):
        del now
        return True


class SpeedFleet:
    """Plays a Scenario; each request goes to the server that an instance chooses.

    Attributes
    ----------
    ended : list of SimpleNamespace
        The answered requests.
    """

    def __init__(self, scenario, seed=1):
        self.scenario = scenario
        # Of their own, so that a choice changes nothing but the servers' queues.
        self._arrivals = random.Random(seed)
        self._neighbours = random.Random(seed + 1)
        self._works = random.Random(seed + 2)
        self.now = 0.0
        self.ended = []
        self._events = []
        self._numbers = itertools.count()
        self._sequence = 0
        self.servers = [
            Server(self._build_entry(number), slowdown)
            for number, slowdown in enumerate(scenario.slowdowns)
        ]
        self._by_id = {server.entry.id: server for server in self.servers}
        self.pools = [self._build_pool(n) for n in range(scenario.instances)]

    def _build_entry(self, number):
        return RegisteredServer(
            f"s{number}",
            SERVICE,
            ("10.0.0.1", 80),
            "a-1",
            "v1",
            self.scenario.slots,
            ServerState.READY,
            1,
        )

    def _build_pool(self, number):
        pool = ServerPool(HOME, SharedLoadTable(), PathTable(), random.Random(number))
        if not self.scenario.uses_speeds:
            pool.speeds = UniformSpeeds()
        pool.replace_servers([server.entry for server in self.servers])
        pool.shared = pool._shared
        pool.shared.set_role(Role.MEMBER, self.scenario.instances - 1)
        pool.speeds.shared.set_role(Role.MEMBER, self.scenario.instances - 1)
        return pool

    def play(self):
        """Play the scenario to its end, and return the fleet."""
        scenario = self.scenario
        self._at(0.0, self._arrive)
        self._at(0.0, self._tell_loads)
        self._at(0.5, self._tell_speeds)
        for server in self.servers:
            self._at(0.0, self._toggle_neighbour, server)
        for at, slowdowns in scenario.changes:
            self._at(at, self._set_slowdowns, slowdowns)
        while self._events and self._events[0][0] < scenario.seconds:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        return self

    def _at(self, time, act, *args):
        heapq.heappush(self._events, (time, next(self._numbers), act, args))

    def _set_slowdowns(self, slowdowns):
        for server, slowdown in zip(self.servers, slowdowns, strict=True):
            server.slowdown = slowdown

    def _toggle_neighbour(self, server):
        scenario = self.scenario
        if scenario.neighbour_share == 0.0:
            return
        share = scenario.neighbour_share
        is_first = self.now == 0.0
        server.has_neighbour = not server.has_neighbour and not is_first
        mean = scenario.neighbour_s
        if not server.has_neighbour:
            mean *= (1.0 - share) / share
        self._at(
            self.now + self._neighbours.expovariate(1.0 / mean),
            self._toggle_neighbour,
            server,
        )

    def _arrive(self):
        scenario = self.scenario
        capacity = sum(scenario.slots / slow for slow in scenario.slowdowns)
        share = scenario.neighbour_share
        capacity /= 1.0 + share * (scenario.neighbour_slowdown - 1.0)
        if scenario.runs_models:
            capacity /= 1.0 + PAUSE_GROWTH * scenario.slots
        rate = scenario.load * capacity / scenario.work
        self._at(self.now + self._arrivals.expovariate(rate), self._arrive)
        pool = self._arrivals.choice(self.pools)
        work = estimate_work(PROMPT_TOKENS, 1.0) if scenario.runs_models else None
        server = self._by_id[pool.choose(SERVICE, self.now).id]
        pool.record_sent(server.entry, work)
        request = SimpleNamespace(
            pool=pool, server=server, work=work, sent_at=self.now, waited=0.0
        )
        if server.running >= scenario.slots:
            server.waiting.append(request)
            return
        self._start(request)

    def _start(self, request):
        server = request.server
        server.running += 1
        request.waited = self.now - request.sent_at
        request.running = server.running
        seconds = self.scenario.work * self._find_present_slowdown(server)
        seconds *= self._works.lognormvariate(0.0, 0.2)
        if self.scenario.runs_models:
            seconds *= 1.0 + PAUSE_GROWTH * server.running
        request.seconds = seconds
        self._at(self.now + seconds, self._end, request)

    def _find_present_slowdown(self, server):
        neighbour = self.scenario.neighbour_slowdown if server.has_neighbour else 1.0
        return neighbour * server.slowdown

    def _end(self, request):
        server = request.server
        load = self._build_load(server)
        server.running -= 1
        if server.waiting:
            self._start(server.waiting.pop(0))
        pool = request.pool
        if request.work is not None:
            request.work.prefill = 0.0
        pool.record_answer(server.entry, load, self.now)
        pool.record_ended(server.entry, request.work, self.now - request.sent_at)
        sample = LatencySample(self.now - request.sent_at)
        if request.work is not None:
            pause = request.seconds / EVENTS
            sample = LatencySample(pause, pause, EVENTS, PROMPT_TOKENS)
        pool.record_duration(server.entry, SERVICE, sample, load, self.now)
        request.ended_at = self.now
        self.ended.append(request)

    def _build_load(self, server):
        slowdown = self.scenario.false_word if server is self.servers[0] else None
        if self.scenario.report is not None:
            present = self._find_present_slowdown(server)
            slowdown = self.scenario.report(present, server.slowdown)
        counts = server.running, len(server.waiting), self.scenario.slots
        return EngineLoad(*counts, slowdown)

    def _tell_loads(self):
        """Give each instance the sum of all, as a relay does."""
        self._at(self.now + 0.4, self._tell_loads)
        own = [
            {hash_server(key): load for key, load in each.items()}
            for each in (pool.list_own_loads(self.now) for pool in self.pools)
        ]
        self._at(self.now + 0.3, self._receive, "shared", own, NO_LOAD)

    def _tell_speeds(self):
        self._at(self.now + 1.0, self._tell_speeds)
        own = [pool.speeds.list_own(self.now) for pool in self.pools]
        self._at(self.now + 0.3, self._receive, "speeds", own, NO_SAMPLES)

    def _receive(self, kind, own, empty):
        totals = {}
        for values in own:
            for key, value in values.items():
                totals[key] = totals.get(key, empty).add(value)
        self._sequence += 1
        for pool, values in zip(self.pools, own, strict=True):
            table = pool.shared if kind == "shared" else pool.speeds.shared
            table.update(FLEET, "relay", self._sequence, totals, self.now)
            table.set_own_reported(values)

    def list_measured(self, since=None, until=float("inf")):
        """Return the requests that ended in a part of the time."""
        since = self.scenario.measured_from if since is None else since
        return [each for each in self.ended if since <= each.ended_at < until]

    def find_shares(self, since=None, until=float("inf")):
        """Return the part of the answers that each server gave."""
        ended = self.list_measured(since, until)
        ids = [each.server.entry.id for each in ended]
        return [ids.count(server.entry.id) / len(ids) for server in self.servers]

    def find_quantile(self, quantile):
        """Return a quantile of the times until the end, in seconds."""
        times = sorted(each.ended_at - each.sent_at for each in self.list_measured())
        return times[int(quantile * len(times))]

    def find_mean_wait(self):
        """Return the mean seconds for which requests waited for a slot."""
        waits = [each.waited for each in self.list_measured()]
        return sum(waits) / len(waits)


def ideal_shares(slowdowns):
    """Return shares in proportion to speed."""
    total = sum(1.0 / slowdown for slowdown in slowdowns)
    return [1.0 / slowdown / total for slowdown in slowdowns]
