"""A fleet whose requests compete for engines, in virtual time and without sockets.

Each instance has its real servers, messages and decisions. The network, the engines and
the clients are played here.
"""

import asyncio
import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace

from virtual_time import run_in_virtual_time

from tanagerwalk.decisions.engine_load import EngineLoad
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.relays import RelaySelection
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_usage import estimate_work
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.attempts import Outcome
from tanagerwalk.gateway.contention_monitor import ContentionMonitor
from tanagerwalk.gateway.metrics import GatewayMetrics
from tanagerwalk.gateway.place_contest import PlaceContest
from tanagerwalk.gateway.sharing import LoadSharing
from tanagerwalk.registry import RegisteredServer, ServerState

SERVICE = "llm"
DOMAINS = ("a-1", "b-1", "c-1")
TOKENS_PER_S = 125_000.0
SLOTS = 16
QUEUE = 33
EVENT_S = 0.033
MAX_ATTEMPTS = 3
DEFAULT_PRIORITY = 5
WARM_UP_S = 5.0
STEP_S = 0.25


@dataclass(frozen=True)
class Kind:
    """A kind of request: tokens, events, objective and time limit in seconds.

    `usual` is the number of requests per second and engine.
    """

    name: str
    rank: int
    tokens: int
    events: int
    objective: float
    timeout: float
    usual: float


CHAT = Kind("chat", 1, 850, 29, 1.02, 15.3, 6.0)
LONG = Kind("long", 3, 12_000, 38, 4.05, 20.2, 4.0)
KINDS = (CHAT, LONG)


@dataclass(frozen=True)
class Burst:
    """A time in which a kind, or an account, sends many times its usual."""

    begin: float
    end: float
    factor: float
    kind: str = ""
    account: str = ""

    def find_factor(self, kind, account, now):
        is_meant = self.kind == kind.name or self.account == account
        return self.factor if is_meant and self.begin <= now < self.end else 1.0


@dataclass(frozen=True)
class Scenario:
    """What the fleet bears; `decides` tells whether it does more than choose servers.

    `queue` is the most requests that wait at an engine, `repeats` is how often clients
    come back, `waits` whether they heed Retry-After. `preempts` tells whether an engine
    puts off a running request for a more urgent one, and reads its prompt again later.
    """

    instances: int = 9
    engines: int = 6
    load: float = 1.0
    bursts: tuple[Burst, ...] = ()
    accounts: int = 8
    queue: int = QUEUE
    repeats: int = 1
    waits: bool = True
    loss: float = 0.0
    kill_at: float = float("inf")
    length: float = 20.0
    decides: bool = True
    preempts: bool = False


@dataclass
class Result:
    """What was seen: requests by (kind, account, end) and what engines were told.

    The ends are those of what a client wanted, after all that it repeated. `decided`
    and `refused` count the requests that came, and those refused, by step of
    `STEP_S`.
    """

    ends: Counter = field(default_factory=Counter)
    reasons: Counter = field(default_factory=Counter)
    priorities: Counter = field(default_factory=Counter)
    refused_idle: int = 0
    put_off: int = 0
    decided: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)

    def count_decided(self, begin, end):
        """Return (decided, refused) for each step of a time in seconds."""
        steps = range(int(begin / STEP_S), int(end / STEP_S))
        return [(self.decided[step], self.refused[step]) for step in steps]

    def find_share(self, *ends, **wanted):
        """Return the part of the requests of a kind or account with some ends."""
        total = good = 0
        for (kind, account, end), count in self.ends.items():
            if {"kind": kind, "account": account}.items() >= wanted.items():
                total += count
                good += count * (end in ends)
        return good / total


class Engine:
    """Runs requests in slots, by priority; reads one prompt at a time."""

    def __init__(self, number, capacity, preempts):
        self.capacity = capacity
        self.server = RegisteredServer(
            f"engine-{number}",
            SERVICE,
            ("10.0.0.1", number),
            DOMAINS[number % len(DOMAINS)],
            "v1",
            SLOTS,
            ServerState.READY,
        )
        self.running = 0
        self.queue = []
        self.put_off = 0
        self._preempts = preempts
        self._steps = {}
        self._numbers = itertools.count()
        self._reading = asyncio.Lock()

    @property
    def load(self):
        return EngineLoad(self.running, len(self.queue), SLOTS)

    async def run(self, kind, priority, on_head):
        """Run a request; return whether there was room for it."""
        if len(self.queue) >= self.capacity:
            return False
        entry = (priority, next(self._numbers))
        left = SimpleNamespace(events=kind.events)
        while True:
            if self.running < SLOTS:
                self.running += 1
            else:
                self._put_off_for(priority)
                await self._wait(entry)
            if await self._process(entry, kind, left, on_head):
                return True

    async def _process(self, entry, kind, left, on_head):
        """Return whether a request has ended; otherwise it was put off."""
        step = asyncio.create_task(self._produce(kind, left, on_head))
        self._steps[entry] = step
        try:
            await asyncio.wait({step})
            return not step.cancelled()
        finally:
            step.cancel()
            del self._steps[entry]
            self._leave()

    async def _produce(self, kind, left, on_head):
        async with self._reading:
            await asyncio.sleep(kind.tokens / TOKENS_PER_S)
        on_head()
        begin = asyncio.get_running_loop().time()
        events = left.events
        try:
            await asyncio.sleep(events * EVENT_S)
        finally:
            elapsed = asyncio.get_running_loop().time() - begin
            left.events = max(0.0, events - elapsed / EVENT_S)

    def _put_off_for(self, priority):
        """Take the slot of the least urgent request that is less urgent than others."""
        if not self._preempts:
            return
        last = max((e for e, step in self._steps.items() if not step.cancelling()))
        if last[0] > priority:
            self.put_off += 1
            self._steps[last].cancel()

    async def _wait(self, entry):
        future = asyncio.get_running_loop().create_future()
        queued = (*entry, future)
        heapq.heappush(self.queue, queued)
        try:
            await future
        except asyncio.CancelledError:
            if queued in self.queue:
                self.queue.remove(queued)
                heapq.heapify(self.queue)
            elif not future.cancelled():
                self._leave()
            raise

    def _leave(self):
        while self.queue:
            *_, future = heapq.heappop(self.queue)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1


class ContentionFleet:
    """Plays a Scenario."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.result = Result()
        self.engines = {
            f"engine-{n}": Engine(n, scenario.queue, scenario.preempts)
            for n in range(scenario.engines)
        }
        self.accounts = [f"account-{n}" for n in range(scenario.accounts)]
        self._tasks = set()
        self._build_manifest()
        peers = {
            f"gateway-{n}": Peer(("10.0.0.2", n), DOMAINS[n % len(DOMAINS)])
            for n in range(scenario.instances)
        }
        self.instances = [self._build_instance(name, peers) for name in peers]

    def _build_manifest(self):
        share = SimpleNamespace(service=SERVICE)
        self.routes = {
            kind.name: SimpleNamespace(
                priority=kind.rank,
                shares=(share,),
                objective=kind.objective,
                timeout=kind.timeout,
            )
            for kind in KINDS
        }
        self.manifest = SimpleNamespace(
            list_routes=self.routes.values,
            account_priorities={},
            accounts={name: name for name in self.accounts},
            needs_keys=True,
        )

    def _build_instance(self, name, peers):
        domain = peers[name].failure_domain
        others = {each: peer for each, peer in peers.items() if each != name}
        relays = RelaySelection(name, domain)
        relays.set_peers(others)
        shared = SharedLoadTable()
        home = Home(domain, "region", dict.fromkeys(DOMAINS, "region"))
        servers = ServerPool(home, shared, PathTable(), self.random)
        servers.replace_servers([engine.server for engine in self.engines.values()])
        sharing = LoadSharing(
            name,
            domain,
            servers,
            shared,
            relays,
            SimpleNamespace(choose_news=dict, merge_records=lambda *records: None),
            SimpleNamespace(
                set_role=lambda role: None,
                list_own_tallies=dict,
                list_domain_tallies=dict,
                list_fleet_tallies=dict,
            ),
            SimpleNamespace(list_side_overrides=dict),
            lambda: others,
            self.clock,
            self.random,
        )
        sharing.authenticate("key of the fleet")
        sharing.connection_made(SimpleNamespace(sendto=self._send))
        monitor = ContentionMonitor(
            servers, sharing.demands, GatewayMetrics(), self.clock, self.random
        )
        sharing.demands.list_own = monitor.refresh_all
        return SimpleNamespace(sharing=sharing, servers=servers, monitor=monitor)

    def _send(self, datagram, address):
        if self.random.random() >= self.scenario.loss:
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, self._receive, datagram, address[1])

    def _receive(self, datagram, number):
        if self.instances[number] is not None:
            self.instances[number].sharing.datagram_received(datagram, ("", 0))

    async def play(self):
        """Return the Result."""
        loop = asyncio.get_running_loop()
        runs = [asyncio.create_task(each.sharing.run()) for each in self.instances]
        if self.scenario.kill_at < self.scenario.length:
            loop.call_at(self.scenario.kill_at, self._kill, runs[0])
        clients = [self._send_requests(k, a) for k in KINDS for a in self.accounts]
        await asyncio.gather(*clients)
        await asyncio.gather(*self._tasks)
        for run in runs:
            run.cancel()
        self.result.put_off = sum(each.put_off for each in self.engines.values())
        return self.result

    def _kill(self, run):
        run.cancel()
        self.instances[0] = None

    async def _send_requests(self, kind, account):
        scenario = self.scenario
        weight = 1.0 / scenario.accounts
        usual = kind.usual * scenario.engines * scenario.load * weight
        while (now := self.clock()) < scenario.length:
            rate = usual
            for burst in scenario.bursts:
                rate *= burst.find_factor(kind, account, now)
            # Short steps, since the rate changes.
            await asyncio.sleep(0.05)
            for _ in range(self._draw_count(rate * 0.05)):
                task = asyncio.create_task(self._run_client(kind, account))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _draw_count(self, mean):
        return sum(self.random.random() < mean / 8.0 for _ in range(8))

    async def _run_client(self, kind, account):
        began = self.clock()
        end = "refused"
        for _ in range(1 + self.scenario.repeats):
            left = began + kind.timeout - self.clock()
            running = [each for each in self.instances if each is not None]
            instance = self.random.choice(running)
            end, pause = await self._run_request(instance, kind, account, left)
            if end != "refused" and end != "full":
                break
            left = began + kind.timeout - self.clock()
            await asyncio.sleep(min(pause, left / 3.0) if self.scenario.waits else 0.01)
        is_late = end == "served" and self.head_at[asyncio.current_task()] > (
            began + kind.objective
        )
        if began >= WARM_UP_S:
            self.result.ends[kind.name, account, "late" if is_late else end] += 1

    head_at = defaultdict(float)

    async def _run_request(self, instance, kind, account, left):
        """Return the end of one request, and the seconds after which to come back."""
        now = self.clock()
        request = SimpleNamespace(
            manifest=self.manifest,
            route=self.routes[kind.name],
            account=account,
            last_event=None,
            deadline=now + left,
        )
        self.result.decided[int(now / STEP_S)] += 1
        contest = PlaceContest(instance.monitor, request, SERVICE, lambda server: True)
        if self.scenario.decides:
            work = estimate_work(kind.tokens, 1.0, now)
            reason = contest.find_refusal(work)
            if reason is not None:
                return self._record_refusal(reason, contest)
        tried = set()
        for _ in range(MAX_ATTEMPTS):
            server = instance.servers.choose(SERVICE, self.clock(), tried)
            if server is None:
                break
            tried.add(server.id)
            end = await self._attempt(instance, contest, server, kind, request)
            if end != "full":
                return end, 0.0
        return "full", 0.5 * (0.5 + self.random.random())

    def _record_refusal(self, reason, contest):
        self.result.reasons[reason.value] += 1
        self.result.refused[int(self.clock() / STEP_S)] += 1
        taken = sum(e.running + len(e.queue) for e in self.engines.values())
        waiting = sum(len(e.queue) for e in self.engines.values())
        if not waiting and taken < 0.5 * SLOTS * len(self.engines):
            self.result.refused_idle += 1
        return "refused", contest.retry_delay

    async def _attempt(self, instance, contest, server, kind, request):
        work = estimate_work(kind.tokens, 1.0, self.clock())
        priority = contest.choose_priority(work) if self.scenario.decides else None
        self.result.priorities[priority] += 1
        sent = contest.begin(SimpleNamespace(priority=priority, work=work))
        instance.servers.record_sent(server, work)
        engine = self.engines[server.id]
        task = asyncio.current_task()

        def on_head():
            work.prefill = 0.0
            self.head_at[task] = self.clock()
            instance.servers.record_answer(server, engine.load, self.clock())

        outcome = Outcome.REJECTED
        try:
            async with asyncio.timeout(request.deadline - self.clock()):
                order = DEFAULT_PRIORITY if priority is None else priority
                if not await engine.run(kind, order, on_head):
                    return "full"
            outcome = Outcome.DELIVERED
        except TimeoutError:
            return "expired"
        finally:
            instance.servers.record_ended(server, work)
            contest.end(sent, SimpleNamespace(outcome=outcome))
        return "served"


def play(seed=1, **changes):
    """Play a Scenario and return its Result."""

    async def run():
        return await ContentionFleet(Scenario(**changes), seed).play()

    return run_in_virtual_time(run())
