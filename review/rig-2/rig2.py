"""Rig of the second review: gateway processes, a store and servers, on loopback.

The gateways are processes of their own, started with the command of the deploy file.
The store and the servers are the project's stand-ins, or small ones of a case.
"""

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from tanagerwalk.standins.backend import BackendStandIn  # noqa: E402
from tanagerwalk.standins.metadata import MetadataStandIn  # noqa: E402

HOST = "desk.example"
API_KEY = "key-of-the-desk"
BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000
READY_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 110.0
# Until the platform starts a process again that has ended.
RESTART_PAUSE_S = 0.5
MEMORY_POLL_S = 0.01
ZONES = ("piedmont-a", "coastal-a", "mountain-a")
# As on the site gbro-mend.
SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{peers}, {peers}]
seeds = []
bootstrap = true
count_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
piedmont-a = "piedmont"
coastal-a = "coastal"
mountain-a = "mountain"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
apply_ms = 2500
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.9
retry_window_s = 10
retry_slack = 52
canary_share = 0.15
canary_slack = 30
rollback_ms = 5000
recovery_s = 12
pass_ms = 200
retry_after_s = 9.6
session_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""
# As in the examples of the users' pages.
CLIENT_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CannotRunError(Exception):
    """The case couldn't run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with times."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text):
        """Write one line, also to standard output."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Gateway:
    """A gateway process on a machine of its own; the platform's part is played here.

    A process that exceeds the memory of its machine is killed, and one that has ended
    is started again after a short delay, as the users' deploy page says.
    """

    def __init__(self, rig, name, ip, zone, memory_mb):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.memory_mb = memory_mb
        self.ports = {port: find_free_port(ip) for port in ("front", "ready", "peers")}
        self.ends = []
        self.peak_mb = 0.0
        self.starts = 0
        self.process = None
        self._rig = rig
        self._watch = None

    async def start(self):
        """Start the process, and play the platform for it from now on."""
        settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            region=self.zone.removesuffix("-a"),
            memory_mb=self.memory_mb,
            store=self._rig.store.address,
            **self.ports,
        )
        self._settings_path.write_text(settings)
        self._spawn()
        self._watch = asyncio.create_task(self._play_platform())

    @property
    def _settings_path(self):
        return self._rig.folder / f"{self.name}.toml"

    def _spawn(self):
        self.starts += 1
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["TANAGERWALK_CONFIG"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = self._rig.folder / f"{self.name}.{self.starts}.log"
        with log.open("wb") as file:
            self.process = subprocess.Popen(
                read_command(), stdout=file, stderr=file, cwd=ROOT, env=environment
            )

    async def _play_platform(self):
        while True:
            memory = self.read_memory_mb()
            self.peak_mb = max(self.peak_mb, memory)
            how = "by itself"
            if memory > self.memory_mb:
                how = f"killed at {memory:.0f} MB of {self.memory_mb}"
                self.process.kill()
                self.process.wait()
            if self.process.poll() is not None:
                self.ends.append(how)
                self._rig.record.write(f"platform: {self.name} has ended: {how}")
                await asyncio.sleep(RESTART_PAUSE_S)
                self._spawn()
            await asyncio.sleep(MEMORY_POLL_S)

    def read_memory_mb(self):
        """Return the resident memory of the process in MB, 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        sizes = [int(line.split()[1]) for line in lines if line.startswith("VmRSS:")]
        return sum(sizes) * BYTES_PER_KB / BYTES_PER_MB

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the readiness check gets a 200 within a second."""
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports["ready"]
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()
        return line.startswith(b"HTTP/1.1 200")

    async def wait_until_ready(self):
        """Wait until the process is ready."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() >= ends_at:
                raise CannotRunError(f"{self.name} is not ready in time")
            await asyncio.sleep(0.05)

    async def connect(self):
        """Open a connection to the listener of clients."""
        return await asyncio.open_connection(self.ip, self.ports["front"])

    async def stop(self):
        """End the process for good."""
        if self._watch is not None:
            self._watch.cancel()
            await asyncio.gather(self._watch, return_exceptions=True)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Rig:
    """A temporary folder, the store, the servers and the gateways of a case."""

    def __init__(self, case_folder, create_store):
        self.record = Record(case_folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = choose_network()
        self.store = create_store()
        self.servers = []
        self.gateways = []

    async def start_server(self, server_id, service, zone=ZONES[0], version="v1"):
        """Start a server of the project's stand-ins, register it and return it."""
        server = BackendStandIn(server_id, f"{self.network}.250")
        await server.start()
        self.servers.append(server)
        await self.store.put(*server.build_entry(service, zone, version))
        return server

    async def start_gateways(self, count, memory_mb=150):
        """Start gateways, zone by zone, and wait until they are ready."""
        for number in range(count):
            ip = f"{self.network}.{number + 1}"
            zone = ZONES[number % len(ZONES)]
            gateway = Gateway(self, f"front-{number}", ip, zone, memory_mb)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()

    async def stop(self):
        """End everything that was started."""
        for gateway in self.gateways:
            await gateway.stop()
        for server in self.servers:
            with contextlib.suppress(Exception):
                await server.stop()
        with contextlib.suppress(Exception):
            await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Reply:
    """An answer as a client received it; `headers` has its names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_reply(reader):
    """Read one answer that has a length or chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return Reply(status, headers, body)
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return Reply(status, headers, body)


def encode_head(method, path, attempt_id, *fields, deadline_ms=4000):
    """Return the head of a client's request, with further header lines."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Tanagerwalk-Attempt-Id: {attempt_id}",
        f"X-Tanagerwalk-Deadline-Ms: {deadline_ms}",
        f"X-Tanagerwalk-Key: {API_KEY}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def choose_network():
    """Return the first three bytes of loopback addresses for this process."""
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{pid // 200 % 250}"


def find_free_port(ip):
    """Return a free port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def read_command():
    """Return the command of the gateway in the deploy file, as a list."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    program, *arguments = deploy["roles"]["gateway"]["run"].split()
    return [shutil.which(program) or program, *arguments]


def run_case(case_folder, play, create_store=MetadataStandIn):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if neither.

    Parameters
    ----------
    case_folder : Path
        Folder of the case, which gets `record.txt`.
    play : callable
        Coroutine function that takes the Rig and returns whether the rule was broken.
    create_store : callable
        Returns the stand-in of the store.
    """
    sys.exit(asyncio.run(_run(case_folder, play, create_store)))


async def _run(case_folder, play, create_store):
    rig = Rig(case_folder, create_store)
    asyncio.get_running_loop().set_exception_handler(_ignore_closed_connections)
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    rig.record.write(f"disruption: {'yes' if rig.has_trouble else 'no'}")
    try:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            await rig.store.start()
            is_broken = await play(rig)
    except (Exception, asyncio.CancelledError) as error:
        rig.record.write(f"could not run: {error!r}")
        return 2
    finally:
        await rig.stop()
    rig.record.write("result: rule broken" if is_broken else "result: rule held")
    return 1 if is_broken else 0


def _ignore_closed_connections(loop, context):
    """Report no connection that a gateway has closed."""
    if not isinstance(context.get("exception"), OSError):
        loop.default_exception_handler(context)
