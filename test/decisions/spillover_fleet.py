"""A fleet in six failure domains that sends to engines, in virtual time.

Each instance has its real ServerPool. The engines, the clients and the messages in
which instances tell their loads are played here; a load is told 0.3 to 1.1 s late,
unless a scenario delays the messages more.
"""

import heapq
import itertools
import math
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from tanagerwalk.decisions.cold_servers import ColdPolicy
from tanagerwalk.decisions.engine_load import EngineLoad
from tanagerwalk.decisions.locations import Distance, Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.prompt_affinity import compute_affinity
from tanagerwalk.decisions.relays import Scope
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_choice import RequestTraits, ServerChooser
from tanagerwalk.decisions.server_usage import estimate_work
from tanagerwalk.decisions.shared_loads import (
    ReportSource,
    SharedLoad,
    SharedLoadTable,
    hash_server,
)
from tanagerwalk.gateway.requests import PromptInfo
from tanagerwalk.registry import RegisteredServer, ServerState

SERVICE = "drafts"
REGIONS = {f"{region}-{n}": region for region in "abc" for n in (1, 2)}
DELAYS_S = {
    Distance.SAME_DOMAIN: 0.0001,
    Distance.SAME_REGION: 0.0014,
    Distance.OTHER_REGION: 0.008,
}
REPORT_PERIOD_S = 0.4
OBSERVATION_PERIOD_S = 0.5
TOKENS_PER_S = 20000.0


@dataclass(frozen=True)
class Scenario:
    """What the fleet bears.

    Parameters
    ----------
    load : callable
        Takes a failure domain and a time; returns the load that the clients there
        cause, as a share of the capacity of its servers.
    servers, instances : int
        Servers and instances of each failure domain; one instance less in each second.
    slots : int
        Requests that a server runs at a time.
    tokens : float
        Mean tokens of a prompt; 0 for a plain service.
    work : float
        Seconds that a request takes in a slot.
    objective : float
        Latency objective in seconds.
    prefers_local : bool
        Whether instances prefer their own failure domain.
    is_slow : callable
        Takes a server's name and a time; returns whether it is ten times slower.
    fails : callable
        Takes a server's name and a time; returns whether it answers errors at once.
    lost : dict of str to float
        Servers that are gone, and from when.
    evacuated : dict of FailureDomain to (float, float)
        Failure domains that get no requests, and from when until when.
    is_told : bool
        Whether instances tell each other their loads.
    report_delay : float
        Seconds until a message has arrived.
    is_cut : callable
        Takes a failure domain and a time; returns whether its instances exchange no
        messages with those of the others.
    cold : ColdPolicy or None
        How servers are treated after an evacuation, if they are cold then.
    length : float
        Seconds of traffic.
    """

    load: object
    servers: int = 10
    instances: int = 12
    slots: int = 16
    tokens: float = 2000.0
    work: float = 0.5
    objective: float = 1.0
    prefers_local: bool = True
    is_slow: object = lambda name, now: False
    fails: object = lambda name, now: False
    lost: dict = field(default_factory=dict)
    evacuated: dict = field(default_factory=dict)
    is_told: bool = True
    report_delay: float = 0.3
    is_cut: object = lambda domain, now: False
    cold: ColdPolicy | None = None
    length: float = 20.0


@dataclass
class Server:
    """A server that reads prompts one by one and answers in its slots."""

    entry: RegisteredServer
    running: int = 0
    queue: deque = field(default_factory=deque)
    read_until: float = 0.0


@dataclass
class Trial:
    """What was seen.

    Attributes
    ----------
    attempts : dict of (int, FailureDomain) to Counter of Distance
        Attempts by the second and the failure domain of the instance.
    chosen : dict of int to Counter of str
        Attempts by the second and the server.
    errors : Counter of int
        Attempts that failed, by the second.
    waits : list of (float, float)
        When each request was sent, and how long it waited until its answer began.
    departures : Counter of Departure
        Servers chosen in other failure domains.
    shares : list of (float, FailureDomain, float)
        Mean of the instances' shares at times.
    """

    attempts: dict = field(default_factory=lambda: defaultdict(Counter))
    chosen: dict = field(default_factory=lambda: defaultdict(Counter))
    errors: Counter = field(default_factory=Counter)
    waits: list = field(default_factory=list)
    departures: Counter = field(default_factory=Counter)
    shares: list = field(default_factory=list)

    def find_share(self, begin=0, end=math.inf, domain=None, distance=None):
        """Return the share of attempts that left, or went a distance."""
        total = Counter()
        for (second, origin), counts in self.attempts.items():
            if begin <= second < end and domain in (None, origin):
                total += counts
        if distance is not None:
            return total[distance] / total.total()
        return 1.0 - total[Distance.SAME_DOMAIN] / total.total()

    def list_shares(self, domain, begin, end=math.inf):
        """Return the mean shares of a failure domain's instances in a time."""
        return [s for at, of, s in self.shares if of == domain and begin <= at < end]

    def count_turns(self, domain, swing):
        """Return how often the mean share of a failure domain turns back by a swing."""
        turns, direction, extreme = 0, 1, 0.0
        for share in self.list_shares(domain, 0.0):
            if (extreme - share) * direction > swing:
                turns, direction, extreme = turns + 1, -direction, share
            elif (share - extreme) * direction > 0.0:
                extreme = share
        return turns

    def find_part(self, domain, begin, end):
        """Return the attempts at a failure domain, as a part of all."""
        total = self._sum_chosen(begin, end)
        names = [name for name in total if name.startswith(domain)]
        return sum(total[name] for name in names) / total.total()

    def find_busiest(self, begin, end, but=()):
        """Return the attempts at the busiest server, as a multiple of the mean."""
        total = self._sum_chosen(begin, end)
        counts = [count for name, count in total.items() if name not in but]
        return max(counts) * len(counts) / sum(counts)

    def find_error_share(self, begin, end):
        """Return the share of the attempts in some seconds that failed."""
        errors = sum(self.errors[second] for second in range(begin, end))
        return errors / self._sum_chosen(begin, end).total()

    def _sum_chosen(self, begin, end):
        return sum((self.chosen[second] for second in range(begin, end)), Counter())

    def find_wait(self, quantile=0.95, begin=0.0, end=math.inf):
        """Return a quantile of the seconds until the prompt was read or a slot free."""
        waits = sorted(wait for at, wait in self.waits if begin <= at < end)
        return waits[int(quantile * (len(waits) - 1))]


class Fleet:
    """Plays a scenario."""

    def __init__(self, scenario, seed=1):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now = 0.0
        self.trial = Trial()
        self._events = []
        self._numbers = itertools.count()
        self._servers = {}
        self._told = {}
        for domain in REGIONS:
            for n in range(scenario.servers):
                name = f"{domain}.{n}"
                address = ("10.0.0.1", 80)
                entry = RegisteredServer(
                    name,
                    SERVICE,
                    address,
                    domain,
                    "v1",
                    scenario.slots,
                    ServerState.READY,
                    1,
                )
                self._servers[name] = Server(entry)
        self._pools = {
            domain: [
                self._build_pool(domain) for _ in range(scenario.instances - i % 2)
            ]
            for i, domain in enumerate(REGIONS)
        }

    def _build_pool(self, domain):
        home = Home(domain, REGIONS[domain], REGIONS)
        pool = ServerPool(home, SharedLoadTable(), PathTable(), self.random)
        pool.limits.cold.find_policy = lambda service: self.scenario.cold
        if not self.scenario.prefers_local:
            pool.chooser = ServerChooser(home, self.random)
        pool.replace_servers([server.entry for server in self._servers.values()])
        return pool

    def run(self):
        """Return the Trial."""
        for domain, pools in self._pools.items():
            self._after(0.0, self._arrive, domain)
            for pool in pools if self.scenario.is_told else ():
                self._after(self.random.random() * REPORT_PERIOD_S, self._tell, pool, 1)
        if self.scenario.prefers_local:
            self._after(0.0, self._observe)
        for name, at in self.scenario.lost.items():
            self._after(at, self._lose, name)
        for domain, (begin, end) in self.scenario.evacuated.items():
            self._after(begin, self._evacuate, {domain})
            self._after(end, self._evacuate, set())
        while self._events and self.now < self.scenario.length:
            self.now, _, call, parameters = heapq.heappop(self._events)
            call(*parameters)
        for pool in itertools.chain(*self._pools.values()):
            if self.scenario.prefers_local:
                self.trial.departures += pool.chooser.departures
        return self.trial

    def _after(self, seconds, call, *parameters):
        entry = (self.now + seconds, next(self._numbers), call, parameters)
        heapq.heappush(self._events, entry)

    def _find_rate(self, domain):
        """Return the requests per second of the clients of a failure domain."""
        scenario = self.scenario
        bound = scenario.slots / scenario.work
        if scenario.tokens:
            bound = min(bound, TOKENS_PER_S / scenario.tokens)
        return max(0.01, scenario.load(domain, self.now) * bound * scenario.servers)

    def _arrive(self, domain):
        self._after(
            self.random.expovariate(self._find_rate(domain)), self._arrive, domain
        )
        self._send(domain, self.random.choice(self._pools[domain]))

    def _send(self, domain, pool):
        work, affinity = self._draw_work()
        traits = RequestTraits(self.scenario.objective, 600)
        entry = pool.choose(SERVICE, self.now, affinity=affinity, traits=traits)
        pool.record_sent(entry, work)
        pool.take_slot(entry, self.now)
        distance = pool.find_distance(entry)
        self.trial.attempts[int(self.now), domain][distance] += 1
        self.trial.chosen[int(self.now)][entry.id] += 1
        request = pool, work, self.now, DELAYS_S[distance]
        self._after(request[3], self._receive, self._servers[entry.id], request)

    def _draw_work(self):
        if not self.scenario.tokens:
            return None, None
        tokens = int(min(30000.0, self.random.expovariate(1 / self.scenario.tokens)))
        parts = (f"p{self.random.randrange(2000)}", tokens // 3), ("own", tokens)
        info = PromptInfo(tokens, 200, parts)
        return estimate_work(tokens, 1.0, self.now), compute_affinity(info, 1.0)

    def _receive(self, server, request):
        if self.scenario.fails(server.entry.id, self.now):
            self._fail(server, request)
            return
        if server.running >= server.entry.slots:
            server.queue.append(request)
            return
        server.running += 1
        pool, work, sent_at, delay = request
        speed = 0.1 if self.scenario.is_slow(server.entry.id, self.now) else 1.0
        tokens = 0.0 if work is None else work.prefill
        server.read_until = max(self.now, server.read_until)
        server.read_until += tokens / TOKENS_PER_S / speed
        wait = server.read_until - self.now
        self._after(wait, self._report, server, request)
        duration = self.scenario.work / speed * self.random.uniform(0.5, 1.5)
        self._after(wait + duration, self._end, server, request)

    def _report(self, server, request):
        """Send the head of an answer."""
        pool, work, sent_at, delay = request
        self.trial.waits.append((sent_at, self.now + delay - sent_at))
        if work is not None:
            work.prefill = 0.0
            self._record_answer(server, pool)

    def _end(self, server, request):
        pool, work = request[:2]
        server.running -= 1
        pool.record_ended(server.entry, work)
        pool.record_success(server.entry)
        self._record_answer(server, pool)
        if server.queue:
            self._receive(server, server.queue.popleft())

    def _fail(self, server, request):
        """Answer an error; the request comes once more as another one."""
        pool, work = request[:2]
        self.trial.errors[int(self.now)] += 1
        pool.record_ended(server.entry, work)
        self._record_answer(server, pool)
        pool.record_error(server.entry, self.now)
        domain = pool._home.failure_domain
        self._after(request[3], self._send, domain, pool)

    def _record_answer(self, server, pool):
        load = EngineLoad(server.running, len(server.queue), server.entry.slots)
        pool.record_answer(server.entry, load, self.now)

    def _observe(self):
        self._after(OBSERVATION_PERIOD_S, self._observe)
        for domain, pools in self._pools.items():
            shares = [
                pool.chooser.spillovers.find_shares(self.now).get(SERVICE, 0.0)
                for pool in pools
            ]
            mean = sum(shares) / len(shares)
            self.trial.shares.append((self.now, domain, mean))

    def _lose(self, name):
        """Take a server away; what it runs goes on to its end."""
        del self._servers[name]
        entries = [server.entry for server in self._servers.values()]
        for pool in itertools.chain(*self._pools.values()):
            pool.replace_servers(entries)

    def _evacuate(self, domains):
        for pool in itertools.chain(*self._pools.values()):
            ended = pool.evacuated - domains
            pool.set_evacuated(frozenset(domains))
            pool.mark_cold(ended, self.now)

    def _tell(self, pool, number):
        self._after(REPORT_PERIOD_S, self._tell, pool, number + 1)
        own = {hash_server(k): v for k, v in pool.list_own_loads(self.now).items()}
        self._after(self.scenario.report_delay, self._told.__setitem__, pool, own)
        in_flight, tokens, errors = Counter(), Counter(), Counter()
        for sender, loads in self._told.items():
            for server, load in loads.items() if self._hears(pool, sender) else ():
                in_flight[server] += load.in_flight
                tokens[server] += load.tokens
                errors[server] += load.errors
        total = {
            key: SharedLoad(in_flight[key], tokens[key], errors=errors[key])
            for key in in_flight
        }
        source = ReportSource(Scope.INSTANCE, "others")
        pool._shared.update(source, "others", number, total, self.now)

    def _hears(self, pool, sender):
        """Return whether messages of another instance reach one."""
        domains = {other._home.failure_domain for other in (pool, sender)}
        is_cut = any(self.scenario.is_cut(domain, self.now) for domain in domains)
        return sender is not pool and (len(domains) == 1 or not is_cut)
