"""The fleet of a soak: gateway processes between stand-ins, links and clients."""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from dataclasses import dataclass, field

from soak.links import HarmedLink
from tanagerwalk.standins.backend import BackendStandIn
from tanagerwalk.standins.gateway_cluster import build_manifest
from tanagerwalk.standins.metadata import MetadataStandIn

GATEWAYS = 3
SERVERS = {"drafts": 3, "desk": 3}
REVOCATION_S = 5.0
DRAIN_S = 2.5
GRACE_S = 3.0
KEYS = ("key-that-stays", "key-that-goes")
SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "a-1"
region = "a"
port_range = [{peers}, {peers}]
[zones]
a-1 = "a"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[bounds]
strict_revoke = true
revoke_ms = 5000
drain_ms = 2500
grace_s = 3
retry_ratio = 0.9
retry_slack = 50
canary_share = 0.15
canary_slack = 30
"""


@dataclass
class Arrival:
    """A request that reached a backend server, and when."""

    at: float
    server: str
    seen: object


class ArrivalList(list):
    """Takes what a stand-in appends, with the time and the server's id."""

    def __init__(self, server):
        super().__init__()
        self.server = server

    def append(self, seen):
        """Keep a request as an Arrival."""
        super().append(Arrival(time.monotonic(), self.server, seen))


@dataclass
class Gateway:
    """One gateway process, its place and its link to the store."""

    name: str
    ip: str
    folder: object
    link: HarmedLink
    front: int = 0
    ready: int = 0
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    # Restarts may overlap; two processes at once would fight for the ports.
    restarting: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def start(self):
        """Start the process; its log goes to a file of its own."""
        self.starts += 1
        if not self.front:
            self._write_settings()
        log = self.folder / f"{self.name}.{self.starts}.log"
        with log.open("wb") as file:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tanagerwalk", "gateway"),
                *("--settings", str(self.folder / f"{self.name}.toml")),
                stdout=file,
                stderr=file,
            )

    def _write_settings(self):
        self.front, self.ready, peers = (find_port(self.ip) for _ in range(3))
        values = {"name": self.name, "ip": self.ip, "store": self.link.address}
        ports = {"front": self.front, "ready": self.ready, "peers": peers}
        path = self.folder / f"{self.name}.toml"
        path.write_text(SETTINGS.format(**values, **ports))

    def send(self, number):
        """Signal the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number):
        """Signal the process, wait until it is gone, and start the next one."""
        async with self.restarting:
            await self.end(number)
            await self.start()

    async def end(self, number):
        """Signal the process and wait until it is gone."""
        self.send(signal.SIGCONT)
        self.send(number)
        await self.process.wait()


@dataclass
class Fleet:
    """Everything that a soak starts.

    Parameters
    ----------
    folder : Path
        Where settings and logs go.
    """

    folder: object
    store: MetadataStandIn = field(default_factory=MetadataStandIn)
    gateways: list[Gateway] = field(default_factory=list)
    servers: dict[str, BackendStandIn] = field(default_factory=dict)
    links: dict[str, HarmedLink] = field(default_factory=dict)
    arrivals: list[ArrivalList] = field(default_factory=list)
    version: int = 0
    revoked_at: float | None = None
    drained: dict[str, float] = field(default_factory=dict)

    async def start(self):
        """Start all parts."""
        await self.store.start()
        await self.write_manifest()
        for service, count in SERVERS.items():
            for _ in range(count):
                await self.add_server(service)
        block = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        for number in range(GATEWAYS):
            link = HarmedLink(self.store.address)
            await link.start()
            name, ip = f"gateway-{number}", f"{block}.{number + 1}"
            self.gateways.append(Gateway(name, ip, self.folder, link))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def write_manifest(self, revoke=False):
        """Write the next manifest, without the second key from `revoke` on."""
        self.version += 1
        gone = revoke or self.revoked_at is not None
        keys = list(KEYS[:1] if gone else KEYS)
        accounts = [{"name": "archive", "api_keys": keys}]
        manifest = build_manifest(self.version, tenants=accounts)
        await self.store.put("op/config", manifest)
        if revoke and self.revoked_at is None:
            self.revoked_at = time.monotonic()

    async def add_server(self, service):
        """Start a backend server behind a link and register it."""
        server_id = f"{service}-{len(self.arrivals)}"
        server = BackendStandIn(server_id)
        server.requests = ArrivalList(server_id)
        await server.start()
        link = HarmedLink(server.address)
        await link.start()
        self.arrivals.append(server.requests)
        self.servers[server_id] = server
        self.links[server_id] = link
        await self._register(server_id, "ready")

    async def _register(self, server_id, state):
        service = server_id.partition("-")[0]
        key, value = self.servers[server_id].build_entry(service, "a-1", state=state)
        entry = json.loads(value) | {"address": self.links[server_id].address}
        await self.store.put(key, json.dumps(entry).encode())

    async def drain(self, server_id):
        """Let a backend server announce that it leaves."""
        await self._register(server_id, "draining")
        self.drained[server_id] = time.monotonic()

    async def remove(self, server_id):
        """Take a backend server away, with its entry."""
        await self.store.remove(f"servers/{server_id}")
        server = self.servers.pop(server_id)
        self.links.pop(server_id).stop()
        await server.stop()

    async def stop(self):
        """End every process that was started here, and the stand-ins."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                await gateway.end(signal.SIGKILL)
            gateway.link.stop()
        for server_id, server in self.servers.items():
            self.links[server_id].stop()
            await server.stop()
        await self.store.stop()


def find_port(ip):
    """Return a port that the kernel chooses."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]
