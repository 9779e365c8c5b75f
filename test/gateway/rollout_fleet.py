"""A fleet that rolls releases out, in virtual time and without sockets.

Each instance has its real roll-out controller and its real exchange of messages. The
store, the network, the backend servers and the clients are played here.
"""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace

from virtual_time import run_in_virtual_time

from tanagerwalk.decisions.brittleness import BrittleServices
from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.relays import RelaySelection
from tanagerwalk.decisions.server_speeds import ServerSpeeds
from tanagerwalk.decisions.shared_loads import SharedLoad, SharedLoadTable
from tanagerwalk.gateway.release_assignment import ReleaseAssigner
from tanagerwalk.gateway.release_rollouts import ReleaseRolloutController
from tanagerwalk.gateway.rollout_records import decode_state
from tanagerwalk.gateway.sharing import LoadSharing
from tanagerwalk.registry import RolloutOrder
from tanagerwalk.writes import Entry

FLEET_KEY = "key of the fleet"
DOMAINS = ("a-1", "b-1", "c-1", "d-1", "e-1", "f-1")
CANARY_SHARE = 0.12
CANARY_SLACK = 30.0
SESSION_GAP_S = 5.0
CLIENT_TIMEOUT_S = 25.0
MAX_LATENCY_S = 0.016


@dataclass(frozen=True)
class Order:
    """An order to roll a release out; a bad one fails on every second request."""

    at: float
    service: str = "drafts"
    target: str = "v2"
    base: str = "v1"
    duration: float = 18.0
    is_bad: bool = False


@dataclass(frozen=True)
class Scenario:
    """What happens to the fleet.

    Parameters
    ----------
    instances : int
        Number of instances.
    rate : float
        New sessions per second of each service.
    orders : tuple of Order
        What the operators order.
    durations : tuple of (float, float)
        Shortest and longest request in seconds; most are short.
    queue : tuple of (float, float)
        Seconds between which instances may see a queue at the servers of the base.
    queue_share : float
        Part of the instances and moments that see it.
    loss : float
        Part of the datagrams that are lost.
    spread : float
        Seconds after which the last instance sees a change of the store.
    restarts : tuple of float
        Times at which an instance is replaced by a new one.
    unseen_target : float
        Seconds for which an instance does not know the servers of the target, at most.
    stale_share : float
        Part of the instances whose copy of the store is too old at some moments.
    length : float
        Seconds of traffic.
    """

    instances: int = 9
    rate: float = 12.0
    orders: tuple[Order, ...] = (Order(3.0),)
    durations: tuple[float, float] = (0.05, 0.3)
    queue: tuple[float, float] = (0.0, 0.0)
    queue_share: float = 0.7
    loss: float = 0.0
    spread: float = 0.2
    restarts: tuple[float, ...] = ()
    unseen_target: float = 0.5
    stale_share: float = 0.0
    length: float = 22.0


@dataclass
class Served:
    """A request that was sent on."""

    session: str | None
    service: str
    release: str
    started: float
    ended: float = float("inf")
    instance: str = ""
    reason: str = ""


@dataclass
class FleetResult:
    """What the clients saw.

    Parameters
    ----------
    served : list of Served
        All requests, in the order of their start.
    phases : dict of (str, str) to RolloutPhase
        Last phase by service and target.
    early : list of tuple of Served
        Sessions that moved to the target in the first half of its roll-out.
    back : list of tuple of Served
        Sessions that moved back to the base.
    datagrams : int
        Number of datagrams that were sent.
    """

    served: list[Served]
    phases: dict
    early: list = field(default_factory=list)
    back: list = field(default_factory=list)
    datagrams: int = 0
    bytes: int = 0

    @property
    def violations(self):
        """Number of requests on another release than the rule allows."""
        return len(self.early) + len(self.back)


class _Store:
    """Conditional writes, which each instance sees after a delay of its own."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._revision = 100
        self.entries = {}

    def next_revision(self):
        self._revision += 1
        return self._revision

    async def write(self, write):
        await asyncio.sleep(0.005)
        known = self.entries.get(write.key)
        if (0 if known is None else known.revision) != write.revision:
            return SimpleNamespace(
                is_error=lambda: False, ok=SimpleNamespace(applied=False)
            )
        entry = Entry(write.key, write.value, self.next_revision())
        self.entries[write.key] = entry
        self._fleet.publish(lambda instance: instance.see_entry(entry))
        return SimpleNamespace(is_error=lambda: False, ok=SimpleNamespace(applied=True))


class _Mirror:
    def __init__(self):
        self.entries = {}
        self.is_loaded = True
        self._subscribers = []

    def subscribe(self, subscriber):
        self._subscribers.append(subscriber)

    def write(self, entry):
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self.entries[entry.key] = entry
        for subscriber in self._subscribers:
            subscriber()


class _ClusterState:
    def __init__(self):
        self.orders = {}
        self.seen_at = {}
        self._subscribers = []

    def subscribe(self, subscriber):
        self._subscribers.append(subscriber)

    def see_order(self, order):
        self.seen_at[(order.service, order.target)] = asyncio.get_running_loop().time()
        self.orders = self.orders | {order.service: order}
        for subscriber in self._subscribers:
            subscriber()


class _Servers:
    """What an instance knows of the backend servers of both releases."""

    def __init__(self, instance, fleet):
        self._instance = instance
        self._fleet = fleet
        no_news = SimpleNamespace(list_news=lambda now: {})
        self.limits = SimpleNamespace(list_news=lambda now: {}, cold=no_news)
        self.brittle = BrittleServices()
        self.speeds = ServerSpeeds()

    def list_known(self, service):
        now = self._fleet.loop.time()
        for release, started_at in self._fleet.list_releases(service):
            # Changes of the store are seen in their order.
            order_seen_at = self._instance.cluster_state.seen_at.get(
                (service, release), now
            )
            known_at = max(started_at, order_seen_at) + self._instance.target_delay
            if release == "v1" or now >= known_at:
                yield SimpleNamespace(release=release)

    def has_server(self, service, is_allowed):
        return any(map(is_allowed, self.list_known(service)))

    def list_releases(self, service):
        return {server.release for server in self.list_known(service)}

    def find_hold(self, service, now, is_allowed):
        return 0.0

    def estimate_wait(self, service, now, is_allowed):
        start, end = self._fleet.scenario.queue
        is_base = not is_allowed(SimpleNamespace(release=self._fleet.get_newest()))
        if not is_base or not start <= now < end:
            return 0.0
        seed = f"{self._instance.name}.{int(now * 2.0)}"
        has_queue = random.Random(seed).random() < self._fleet.scenario.queue_share
        return 2.0 if has_queue else 0.0

    def list_own_loads(self, now):
        return {"server": SharedLoad(1, 100.0)}

    def list_leaving(self):
        return []


class _Instance:
    def __init__(self, fleet, number, generation):
        self.fleet = fleet
        self.number = number
        self.name = f"{number}.{generation}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.random = random.Random(f"{fleet.seed}.{self.name}")
        scenario = fleet.scenario
        self.store_delay = self.random.uniform(0.0, scenario.spread)
        self.target_delay = self.random.uniform(0.0, scenario.unseen_target)
        self.peers = {}
        self.mirror = _Mirror()
        self.cluster_state = _ClusterState()
        self.servers = servers = _Servers(self, fleet)
        clock = fleet.loop.time
        bounds = SimpleNamespace(
            canary_share=CANARY_SHARE,
            canary_slack=CANARY_SLACK,
            session_gap=SESSION_GAP_S,
        )
        codec = SimpleNamespace(encode_rollout_status=lambda *status: status)
        self.rollouts = ReleaseRolloutController(
            fleet.store,
            self.mirror,
            self.cluster_state,
            codec,
            self.domain,
            lambda: number < 2 * len(DOMAINS),
            clock,
            self.random,
        )
        self.assigner = ReleaseAssigner(
            self.name,
            self.cluster_state,
            self.rollouts,
            servers,
            self,
            bounds,
            clock,
            self.random,
        )
        self.relays = RelaySelection(self.name, self.domain)
        quarantine = SimpleNamespace(
            choose_news=dict, merge_records=lambda records, passes_on: None
        )
        self.sharing = LoadSharing(
            self.name,
            self.domain,
            servers,
            SharedLoadTable(),
            self.relays,
            quarantine,
            self.rollouts,
            self.assigner,
            lambda: self.peers,
            clock,
            self.random,
        )
        self.sharing.authenticate(FLEET_KEY)
        self.sharing.connection_made(self)
        self.assigner.send_notes = self.sharing.send_notes
        self.tasks = []

    @property
    def age(self):
        """Age of the copy of the store, as a Freshness tells it."""
        seed = f"{self.name}.{int(self.fleet.loop.time())}"
        is_stale = random.Random(seed).random() < self.fleet.scenario.stale_share
        return 2.6 if is_stale else 0.5

    def sendto(self, data, address):
        self.fleet.deliver(data, address)

    def start(self):
        for run in (self.rollouts.run, self.sharing.run):
            self.tasks.append(self.fleet.loop.create_task(run()))

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def see_entry(self, entry):
        self.mirror.write(entry)

    def see_order(self, order):
        self.cluster_state.see_order(order)

    def see_peers(self, peers):
        self.peers = {name: peer for name, peer in peers.items() if name != self.name}
        self.relays.set_peers(self.peers)
        self.assigner.set_peers(self.peers)

    def _pick_release(self, service, is_allowed):
        """Return the newest allowed release, or the newest one of the other side."""
        known = list(self.servers.list_known(service))
        allowed = [server for server in known if is_allowed(server)]
        return (allowed or known)[-1].release

    async def serve(self, session, service, duration):
        """Serve a request and return it as Served."""
        fleet = self.fleet
        now = fleet.loop.time()
        fleet.request_count += 1
        request = SimpleNamespace(
            session=None if session is None else session.encode(),
            id=b"%d" % fleet.request_count,
            deadline=now + CLIENT_TIMEOUT_S,
        )
        assignment = await self.assigner.assign(request, service)
        release = self._pick_release(service, assignment.allows_server)
        served = Served(session, service, release, fleet.loop.time())
        served.instance = self.name
        served.reason = str(assignment.describe())
        fleet.served.append(served)
        fleet.record_answer(self, service, release)
        await asyncio.sleep(duration)
        served.ended = fleet.loop.time()
        self.assigner.end(assignment, release)


class RolloutFleet:
    """Plays a Scenario with one seed."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.seed = seed
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.store = _Store(self)
        self.instances = []
        self.served = []
        self.request_count = 0
        self.datagrams = 0
        self.bytes = 0
        self._orders = []

    async def run(self):
        """Play the scenario and return its FleetResult."""
        for number in range(self.scenario.instances):
            self.instances.append(_Instance(self, number, 0))
        self._publish_peers(0.0)
        for instance in self.instances:
            instance.start()
        for order in self.scenario.orders:
            self.loop.call_at(order.at, self._give_order, order)
        for number, at in enumerate(self.scenario.restarts):
            self.loop.call_at(at, self._restart, number)
        for service in sorted({order.service for order in self.scenario.orders}):
            self.loop.create_task(self._start_sessions(service))
        await asyncio.sleep(self.scenario.length)
        for instance in self.instances:
            instance.stop()
        await asyncio.sleep(0)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        return self._judge()

    # The outside of the instances.

    def publish(self, tell):
        """Call `tell` with each instance once it sees a change of the store."""
        for instance in self.instances:
            delay = instance.store_delay + instance.random.uniform(0.0, 0.1)
            self.loop.call_later(delay, tell, instance)

    def deliver(self, data, address):
        """Deliver a datagram, unless it is lost."""
        self.datagrams += 1
        self.bytes += len(data)
        if self.random.random() < self.scenario.loss:
            return
        name = address[0]
        receiver = next((i for i in self.instances if i.name == name), None)
        if receiver is None:
            return
        delay = self.random.uniform(0.0005, MAX_LATENCY_S)
        self.loop.call_later(delay, receiver.sharing.datagram_received, data, address)

    def _publish_peers(self, delay):
        peers = self._list_peers()
        for instance in self.instances:
            self.loop.call_later(
                delay and instance.store_delay, instance.see_peers, peers
            )

    def _list_peers(self):
        return {
            instance.name: Peer((instance.name, 0), instance.domain, owns_sessions=True)
            for instance in self.instances
        }

    def _give_order(self, order):
        revision = self.store.next_revision()
        given = RolloutOrder(order.service, order.target, order.duration, revision)
        self._orders.append((order, given))
        self.publish(lambda instance: instance.see_order(given))

    def _restart(self, number):
        place = self.random.randrange(len(self.instances))
        old = self.instances[place]
        old.stop()
        new = _Instance(self, old.number, number + 1)
        # It begins to serve with a copy of the whole store.
        new.target_delay = 0.0
        for _, given in self._orders:
            new.see_order(given)
        new.mirror.entries = dict(self.store.entries)
        self.instances[place] = new
        new.rollouts._load_states()
        new.see_peers(self._list_peers())
        new.start()
        self._publish_peers(1.0)

    def list_releases(self, service):
        """Return the releases of a service, each with the time of its first server."""
        releases = [("v1", 0.0)]
        for order, _ in self._orders:
            if order.service == service:
                releases.append((order.target, order.at + 0.3))
        return releases

    def get_newest(self):
        """Return the release that was ordered last."""
        return self._orders[-1][0].target if self._orders else "v1"

    def record_answer(self, instance, service, release):
        """Count an answer, every second one of a bad release as bad."""
        order = next(
            (pair for pair in self._orders[::-1] if pair[0].service == service), None
        )
        if order is None:
            return
        is_target = release == order[0].target
        is_bad = is_target and order[0].is_bad and self.random.random() < 0.5
        book = instance.rollouts.get_tallies((service, order[1].revision))
        book.own.record("route", is_target, is_bad)

    # Clients.

    async def _start_sessions(self, service):
        number = 0
        while True:
            await asyncio.sleep(self.random.expovariate(self.scenario.rate))
            number += 1
            session = f"{self.seed}.{service}.{number}"
            if self.random.random() < 0.1:
                session = None
            self.loop.create_task(self._play_session(session, service))

    async def _play_session(self, session, service):
        instance = self.random.choice(self.instances)
        while True:
            await instance.serve(session, service, self._draw_duration())
            if session is None or self.random.random() < 0.25:
                return
            await asyncio.sleep(self._draw_pause())
            if self.random.random() < 0.9 or instance not in self.instances:
                instance = self.random.choice(self.instances)

    def _draw_duration(self):
        shortest, longest = self.scenario.durations
        return shortest + (longest - shortest) * self.random.random() ** 2

    def _draw_pause(self):
        if self.random.random() < 0.3:
            return self.random.uniform(0.02, 0.5)
        return self.random.uniform(0.5, 0.98 * SESSION_GAP_S)

    # What the rule says.

    def _judge(self):
        result = FleetResult(
            self.served, self._read_phases(), datagrams=self.datagrams, bytes=self.bytes
        )
        sessions = defaultdict(list)
        for served in self.served:
            if served.session is not None:
                sessions[served.session].append(served)
        for requests in sessions.values():
            for before, after in zip(requests, requests[1:], strict=False):
                if after.started - before.ended < SESSION_GAP_S:
                    self._compare(result, before, after)
        return result

    def _compare(self, result, before, after):
        if before.release == after.release:
            return
        for order, _ in self._orders:
            if order.service != after.service:
                continue
            if after.release == order.target:
                if after.started < order.at + order.duration / 2.0:
                    result.early.append((before, after))
                continue
            is_back = before.release == order.target and after.release == order.base
            if is_back and not order.is_bad:
                result.back.append((before, after))

    def _read_phases(self):
        phases = {}
        for key, entry in self.store.entries.items():
            state = decode_state(key.rpartition("/")[2], entry.value).ok
            phases[(state.service, state.target)] = state.phase
        return phases


def play(scenario, seed):
    """Play a Scenario and return its FleetResult."""

    async def run():
        return await RolloutFleet(scenario, seed).run()

    return run_in_virtual_time(run())
