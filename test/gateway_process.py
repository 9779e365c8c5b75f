"""A real gateway process, as the deploy file starts it, between stand-ins."""

import asyncio
import signal
import sys
from pathlib import Path

from loopback import choose_network
from soak.fleet import SETTINGS_TEMPLATE, find_free_port

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.platform.settings import METRICS_PORT
from tanagerwalk.standins.backend import BackendStandIn
from tanagerwalk.standins.gateway_cluster import build_manifest
from tanagerwalk.standins.metadata import MetadataStandIn

# The system counts in units of 1,024 bytes, settings in units of 1,000,000.
KB_PER_MB = 1000000.0 / 1024.0
READY_TIMEOUT_S = 15.0
# Last byte of the address of a rig.
RIG_HOST = 201
LIMITS_TEMPLATE = """
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
"""


class GatewayProcessRig:
    """A gateway process with its store and backend servers, started on entry.

    Parameters
    ----------
    folder : Path
        Folder for the settings and the log of the process.
    memory_mb : int
        Memory limit that the settings name, in MB.
    max_fds : int
        Descriptor limit that the settings name.
    manifest : dict
        Fields of the manifest that differ from the stand-in's.
    server_count : int
        Number of backend servers of each service.
    """

    def __init__(
        self, folder, memory_mb=150, max_fds=4200, manifest=None, server_count=2
    ):
        self.folder = Path(folder)
        self.ip = f"{choose_network()}.{RIG_HOST}"
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.manifest = manifest or {}
        self.server_count = server_count
        self.store = MetadataStandIn()
        self.servers = []
        self.process = None
        self.ports = {}
        self.preexec = None

    async def __aenter__(self):
        await self.store.start()
        await self.store.put("op/config", build_manifest(**self.manifest))
        for service in ("drafts", "desk"):
            for number in range(self.server_count):
                server = BackendStandIn(f"{service}-{number}", self.ip)
                await server.start()
                self.servers.append(server)
                await self.store.put(*server.build_entry(service, "a-1"))
        self.write_settings()
        await self.start()
        return self

    async def __aexit__(self, *exc):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    @property
    def settings_path(self):
        """Settings file of the process."""
        return self.folder / "gateway.toml"

    @property
    def log(self):
        """What the process has written to its two standard streams."""
        return (self.folder / "gateway.log").read_text()

    def write_settings(self):
        """Choose free ports and write the settings file."""
        self.ports = {
            name: find_free_port(self.ip) for name in ("front", "ready", "peers")
        }
        identity = {"name": "gateway-0", "ip": self.ip, "store": self.store.address}
        text = SETTINGS_TEMPLATE.format(**identity, **self.ports)
        limits = {"memory_mb": self.memory_mb, "max_fds": self.max_fds}
        self.settings_path.write_text(text + LIMITS_TEMPLATE.format(**limits))

    async def start(self):
        """Start the process and wait until it is ready."""
        with (self.folder / "gateway.log").open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tanagerwalk", "gateway"),
                *("--settings", str(self.settings_path)),
                stdout=file,
                stderr=file,
                preexec_fn=self.preexec,
            )
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Wait until the readiness check gets a 200; fail if the process ends."""
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            assert self.process.returncode is None, f"ended: {self.log}"
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"not ready in time: {self.log}")

    async def is_ready(self):
        """Return whether the readiness check gets a 200 within a second."""
        page = await self.fetch(self.ports["ready"], "/api/ready")
        return page.startswith("HTTP/1.1 200")

    async def fetch_metrics(self):
        """Return the page of metrics."""
        return await self.fetch(METRICS_PORT, "/metrics")

    async def fetch(self, port, path):
        """Return the response to a GET as text, empty without one in a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, port)
                head = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                writer.write(head.encode())
                page = await reader.read(-1)
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return page.decode("latin-1")

    async def connect(self):
        """Open a connection to the listener of clients."""
        return await asyncio.open_connection(self.ip, self.ports["front"])

    def read_memory_mb(self, field="VmRSS"):
        """Return a memory figure of the process: VmRSS, VmHWM, VmSize or VmPeak."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / KB_PER_MB
        raise AssertionError(f"no {field}")

    def count_descriptors(self):
        """Return the number of open descriptors of the process."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def stop(self, signal_number=signal.SIGTERM):
        """Send a signal, wait for the end and return the exit status."""
        self.process.send_signal(signal_number)
        return await self.process.wait()

    async def wait_for_log(self, text, seconds=5.0):
        """Return whether the log contains a text in time."""
        return await poll_until(lambda: text in self.log, 0.02, seconds)
