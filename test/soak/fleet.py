"""The soak's fleet: gateway processes, stand-ins and the links between them."""

import asyncio
import contextlib
import json
import math
import signal
import socket
import sys
import time
from dataclasses import dataclass, field

from loopback import choose_network

from soak.exits import LIMITS_SETTINGS, Exit, limit_descriptors, read_peak_mb
from soak.links import FaultyLink
from soak.manifest import COLD_START_S, MAX_COLD_PER_S, encode_manifest
from soak.records import (
    ArrivalRecorder,
    BrittleTime,
    ColdTime,
    EvacuationTime,
    SlowTime,
)
from soak.servers import find_failure_domain, find_work_time
from tanagerwalk.standins.backend import BackendStandIn
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.metadata import MetadataStandIn
from tanagerwalk.standins.places import Places

GATEWAY_COUNT = 3
SERVER_COUNTS = {"drafts": 3, "desk": 3}
SERVER_SLOTS = 8
SERVER_QUEUE = 8
FALL_S = 1.0
# The same limits as revoke_ms, drain_ms, evacuate_ms and grace_s in SETTINGS_TEMPLATE.
REVOCATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.5
EVACUATION_LIMIT_S = 2.5
GRACE_S = 3.0
# Until the platform starts a process again that has ended.
RESTART_PAUSE_S = 0.3
MEMORY_INTERVAL_S = 0.2
SETTINGS_TEMPLATE = """
node_name = "{name}"
ip = "{ip}"
zone = "a-1"
region = "a"
port_range = [{peers}, {peers}]
[zones]
a-1 = "a"
a-2 = "a"
b-1 = "b"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[bounds]
strict_revoke = true
revoke_ms = 5000
drain_ms = 2500
evacuate_ms = 2500
grace_s = 3
retry_ratio = 0.9
retry_slack = 50
canary_share = 0.15
canary_slack = 30
"""


@dataclass
class GatewayProcess:
    """A gateway process, its addresses and its link to the store."""

    name: str
    ip: str
    folder: object
    link: FaultyLink
    client_port: int = 0
    health_port: int = 0
    process: asyncio.subprocess.Process | None = None
    start_times: list[float] = field(default_factory=list)
    # The signal that was sent to each process to stop it, and its monotonic time.
    stop_signals: dict[int, tuple[int, float]] = field(default_factory=dict)
    # Monotonic times between which a planned stop may not be in time for a pause.
    pauses: list[tuple[float, float]] = field(default_factory=list)
    is_closed: bool = False
    exits: list[Exit] = field(default_factory=list)
    peaks_mb: dict[str, float] = field(default_factory=dict)
    watches: set[asyncio.Task] = field(default_factory=set)
    # Restarts may overlap, and two processes can't listen on the same ports.
    restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def start_count(self):
        """Number of processes that were started so far."""
        return len(self.start_times)

    async def start(self):
        """Start the process; every start writes a log file of its own."""
        self.start_times.append(time.monotonic())
        if not self.client_port:
            self._write_settings()
        log = self.folder / f"{self.name}.{self.start_count}.log"
        with log.open("wb") as file:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tanagerwalk", "gateway"),
                *("--settings", str(self.folder / f"{self.name}.toml")),
                stdout=file,
                stderr=file,
                preexec_fn=limit_descriptors,
            )
        watch = asyncio.create_task(self._watch(self.process))
        self.watches.add(watch)
        watch.add_done_callback(self.watches.discard)

    async def _watch(self, process):
        """Record how a process ends, and start another if nothing stopped it."""
        name = f"{self.name}.{self.start_count}"
        started_at = time.monotonic()
        while process.returncode is None:
            self._read_memory(name, process)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MEMORY_INTERVAL_S):
                    await process.wait()
        sent, sent_at = self.stop_signals.get(process.pid, (None, math.inf))
        has_logged = (self.folder / f"{name}.log").stat().st_size > 0
        age = sent_at - started_at
        self.exits.append(Exit(name, process.returncode, sent, age, has_logged))
        if sent is not None:
            return
        await asyncio.sleep(RESTART_PAUSE_S)
        async with self.restart_lock:
            if process is self.process and not self.is_closed:
                await self.start()

    def _read_memory(self, name, process):
        peak = max(self.peaks_mb.get(name, 0.0), read_peak_mb(process.pid))
        self.peaks_mb[name] = peak

    def _write_settings(self):
        self.client_port, self.health_port, peer_port = (
            find_free_port(self.ip) for _ in range(3)
        )
        identity = {"name": self.name, "ip": self.ip, "store": self.link.address}
        ports = {
            "front": self.client_port,
            "ready": self.health_port,
            "peers": peer_port,
        }
        path = self.folder / f"{self.name}.toml"
        path.write_text(SETTINGS_TEMPLATE.format(**identity, **ports) + LIMITS_SETTINGS)

    def send_signal(self, signal_number):
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def restart(self, signal_number):
        """Stop the process with the given signal and start a new one."""
        async with self.restart_lock:
            await self.stop(signal_number)
            await self.start()

    async def stop(self, signal_number):
        """Send a signal to the process and wait until it has exited."""
        self.send_signal(signal.SIGCONT)
        if self.process.returncode is None:
            self._read_memory(f"{self.name}.{self.start_count}", self.process)
            self.stop_signals[self.process.pid] = (signal_number, time.monotonic())
        self.send_signal(signal_number)
        await self.process.wait()


@dataclass
class Fleet:
    """Everything that a soak starts, except the clients.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    """

    folder: object
    network: str = field(default_factory=choose_network)
    store: MetadataStandIn = field(default_factory=MetadataStandIn)
    gateways: list[GatewayProcess] = field(default_factory=list)
    servers: dict[str, BackendStandIn] = field(default_factory=dict)
    links: dict[str, FaultyLink] = field(default_factory=dict)
    arrivals: list[ArrivalRecorder] = field(default_factory=list)
    manifest_version: int = 0
    revoked_at: float | None = None
    drain_times: dict[str, float] = field(default_factory=dict)
    brittle_times: list[BrittleTime] = field(default_factory=list)
    evacuated: set[str] = field(default_factory=set)
    evacuation_times: list[EvacuationTime] = field(default_factory=list)
    cold_times: list[ColdTime] = field(default_factory=list)
    slow_times: list[SlowTime] = field(default_factory=list)
    falls: dict[str, list[float]] = field(default_factory=dict)
    restart_tasks: set[asyncio.Task] = field(default_factory=set)

    @property
    def standin_ip(self):
        """Address of the servers and links.

        Other test runs may still call a port of 127.0.0.1 that one of their
        stand-ins has left.
        """
        return f"{self.network}.{GATEWAY_COUNT + 1}"

    async def start(self):
        """Start the store, the backend servers and the gateways."""
        await self.store.start()
        await self.write_manifest()
        for service, count in SERVER_COUNTS.items():
            for _ in range(count):
                await self.add_server(service)
        for index in range(GATEWAY_COUNT):
            link = FaultyLink(self.store.address, self.standin_ip)
            await link.start()
            name, ip = f"gateway-{index}", f"{self.network}.{index + 1}"
            self.gateways.append(GatewayProcess(name, ip, self.folder, link))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def write_manifest(self, revoke=False):
        """Write the next manifest version; `revoke` removes the second key for good."""
        self.manifest_version += 1
        await self._put_manifest(revoke or self.revoked_at is not None)
        if revoke and self.revoked_at is None:
            self.revoked_at = time.monotonic()

    async def _put_manifest(self, is_revoked):
        manifest = encode_manifest(self.manifest_version, is_revoked)
        await self.store.put("op/config", manifest)

    async def write_again(self):
        """Write what the operators and the servers had written before a restore."""
        await self._put_manifest(self.revoked_at is not None)
        for server in list(self.servers.values()):
            await self._register_again(server)
        for domain in sorted(self.evacuated):
            await self._put_evacuation(domain)
        current = {f"servers/{each}" for each in self.servers}
        current |= {f"op/evacuate/{each}" for each in self.evacuated}
        for key in self.store.items.keys() - current:
            if key.startswith(("servers/", "op/evacuate/")):
                await self.store.remove(key)

    async def evacuate(self, domain, seconds):
        """Evacuate a failure domain for some time."""
        self.evacuated.add(domain)
        await self._put_evacuation(domain)
        begin = time.monotonic()
        await asyncio.sleep(seconds)
        self.evacuation_times.append(EvacuationTime(domain, begin, time.monotonic()))
        if f"op/evacuate/{domain}" not in self.store.items:
            # A restored store lacks it, and the gateways keep it for a while.
            await self._put_evacuation(domain)
            await asyncio.sleep(EVACUATION_LIMIT_S)
        self.evacuated.remove(domain)
        await self.store.remove(f"op/evacuate/{domain}")

    async def _put_evacuation(self, domain):
        await self.store.put(f"op/evacuate/{domain}", b"{}")

    async def add_server(self, service):
        """Start a backend server behind a link and register it as ready."""
        server_id = f"{service}-{len(self.arrivals)}"
        places = Places(SERVER_SLOTS, SERVER_QUEUE)
        server = BackendStandIn(server_id, self.standin_ip, places)
        server.behaviour = Behaviour(delay=find_work_time(server_id), slowdown=1.0)
        self.falls[server_id] = []
        places.on_fall = lambda: self._start_fall(server)
        server.coldness.start_time = COLD_START_S
        server.coldness.bears = 2.0 * MAX_COLD_PER_S
        server.coldness.on_overload = lambda: self._start_restart(server)
        server.requests = ArrivalRecorder(server_id)
        await server.start()
        begin = time.monotonic()
        if self.gateways:
            server.coldness.begin_start()
        link = FaultyLink(server.address, self.standin_ip)
        await link.start()
        self.arrivals.append(server.requests)
        self.servers[server_id] = server
        self.links[server_id] = link
        await self._register(server_id, "ready")
        if self.gateways:
            self._record_cold_start(server, begin)

    async def _register(self, server_id, state):
        service = server_id.partition("-")[0]
        domain = find_failure_domain(server_id)
        key, value = self.servers[server_id].build_entry(service, domain, state=state)
        entry = json.loads(value) | {"address": self.links[server_id].address}
        await self.store.put(key, json.dumps(entry).encode())

    def _record_cold_start(self, server, begin):
        cold = ColdTime(server.id, begin, begin + COLD_START_S, time.monotonic())
        self.cold_times.append(cold)

    async def become_cold(self, server, seconds):
        """Let a running server become cold for some time, and say so in its entry."""
        server.coldness.begin(seconds)
        begin = time.monotonic()
        await self._register_again(server)
        cold = ColdTime(server.id, begin, begin + seconds, time.monotonic(), False)
        self.cold_times.append(cold)

    def _start_fall(self, server):
        self._start_task(self._fall(server))

    async def _fall(self, server):
        """Let a server crash since it had to reject too many requests."""
        if not server.is_down:
            self.falls[server.id].append(time.monotonic())
            await self.restart_server(server)

    def _start_restart(self, server):
        self._start_task(self.restart_server(server))

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.restart_tasks.add(task)
        task.add_done_callback(self.restart_tasks.discard)

    async def restart_server(self, server, entry_delay=0.0):
        """Let a server crash and come back cold.

        Parameters
        ----------
        server : BackendStandIn
            The server.
        entry_delay : float
            Seconds from its start until its new entry is in the store.
        """
        if server.is_down or server.id not in self.servers:
            return
        link = self.links[server.id]
        link.stop()
        await server.fall(FALL_S)
        if server.id not in self.servers:
            await server.stop()
            return
        begin = time.monotonic()
        await link.start()
        await asyncio.sleep(entry_delay)
        await self._register_again(server)
        self._record_cold_start(server, begin)

    async def _register_again(self, server):
        if server.id in self.servers:
            is_draining = server.id in self.drain_times
            await self._register(server.id, "draining" if is_draining else "ready")

    async def drain_server(self, server_id):
        """Register a backend server as draining."""
        await self._register(server_id, "draining")
        self.drain_times[server_id] = time.monotonic()

    async def remove_server(self, server_id):
        """Stop a backend server and remove its entry from the store."""
        await self.store.remove(f"servers/{server_id}")
        server = self.servers.pop(server_id)
        self.links.pop(server_id).stop()
        await server.stop()

    async def stop(self):
        """Kill the gateway processes and stop the stand-ins and links."""
        for gateway in self.gateways:
            gateway.is_closed = True
            async with gateway.restart_lock:
                if gateway.process is not None and gateway.process.returncode is None:
                    await gateway.stop(signal.SIGKILL)
            await asyncio.gather(*gateway.watches)
            gateway.link.stop()
        for task in self.restart_tasks:
            task.cancel()
        await asyncio.gather(*self.restart_tasks, return_exceptions=True)
        for server_id, server in self.servers.items():
            self.links[server_id].stop()
            await server.stop()
        await self.store.stop()


def find_free_port(ip):
    """Return a free port, chosen by the kernel."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]
