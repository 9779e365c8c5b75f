"""Runs gateway processes with the command of the deploy file, beside stand-ins.

The stand-ins run in this process. Everything listens on loopback addresses that are
chosen by the id of this process, and every gateway gets a private folder.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
HOST = "desk.example"
API_KEY = "key-of-the-desk"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{peers}, {peers}]
bootstrap = true
[zones]
bergen-a = "vestland"
trondheim-a = "trondelag"
tromso-a = "nordnorge"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
apply_ms = 2500
rollback_slack_ms = 250
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.9
retry_window_s = 10
retry_slack = 58
canary_share = 0.15
canary_slack = 30
rollback_ms = 5000
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
ZONES = [
    ("bergen-a", "vestland"),
    ("trondheim-a", "trondelag"),
    ("tromso-a", "nordnorge"),
]


def choose_network():
    """Return the first three bytes of loopback addresses for this process alone."""
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{pid // 200 % 250}"


def find_free_port(ip):
    """Return a free port of an address, chosen by the kernel."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text):
        """Write a line, with the seconds since the start."""
        elapsed = time.monotonic() - self._started_at
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()


def read_run_command():
    """Return the words of the gateway's command in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["gateway"]["run"].split()


class GatewayProcess:
    """A gateway process.

    Parameters
    ----------
    name, ip : str
        Name and loopback address of the machine.
    place : tuple of (str, str)
        Zone and region.
    store : str
        Address of the metadata store.
    folder : Path
        Folder for settings and logs.
    """

    def __init__(self, name, ip, place, store, folder):
        self.name = name
        self.ip = ip
        self.zone = place[0]
        self.front = find_free_port(ip)
        self.ready = find_free_port(ip)
        self.process = None
        self.starts = 0
        self.own_ends = 0
        self._settings = folder / f"{name}.toml"
        self._log_base = folder / name
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=place[0],
                region=place[1],
                front=self.front,
                ready=self.ready,
                peers=find_free_port(ip),
                store=store,
            )
        )

    @property
    def log_path(self):
        """Log of the latest start."""
        return Path(f"{self._log_base}.{self.starts}.log")

    async def start(self):
        """Start the process as the platform does."""
        self.starts += 1
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["TANAGERWALK_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *read_run_command(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        """Ask the readiness address as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self):
        """Wait until it is ready; return whether it is."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self, number=signal.SIGKILL):
        """Send a signal and wait for the end."""
        if self.is_running:
            self.process.send_signal(number)
            await self.process.wait()


class Fleet:
    """A metadata store and gateway processes.

    An async context manager that ends all processes.
    """

    def __init__(self, store):
        self.store = store
        self.network = choose_network()
        self.gateways = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        for gateway in self.gateways:
            await gateway.stop()
        if not os.environ.get("KEEP_LOGS"):
            self._folder.cleanup()

    @property
    def standin_ip(self):
        """Loopback address of the stand-ins."""
        return f"{self.network}.250"

    async def add_gateways(self, count, store_address):
        """Start gateways in turn over the zones; return whether all are ready."""
        for _ in range(count):
            index = len(self.gateways)
            self.gateways.append(
                GatewayProcess(
                    f"front-{index}",
                    f"{self.network}.{index + 1}",
                    ZONES[index % len(ZONES)],
                    store_address,
                    self.folder,
                )
            )
        for gateway in self.gateways:
            if gateway.process is None:
                await gateway.start()
        ready = await asyncio.gather(*(g.wait_until_ready() for g in self.gateways))
        return all(ready)

    def grep_logs(self, text):
        """Return the lines of all logs that hold a text, after the name of the log."""
        found = []
        for path in sorted(self.folder.glob("*.log")):
            content = path.read_text(errors="replace").replace(str(ROOT), ".")
            lines = (f"{path.name}: {line}" for line in content.splitlines())
            found += [line for line in lines if text in line]
        return found


def build_route(name, prefix, kind, service, **changes):
    """Return a route of the manifest."""
    route = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 1500,
        "slo_ms": 200,
        "priority": 2,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
    }
    return route | changes


def build_manifest(version=1, routes=(), **changes):
    """Return an encoded manifest with a streaming, a booking and a lookup route."""
    models = [
        {"name": "m0", "cost": 0.02},
        {"name": "m1", "cost": 0.15},
        {"name": "m2", "cost": 0.3},
    ]
    manifest = {
        "version": version,
        "routes": [
            build_route(
                "review",
                "/review/",
                "streaming",
                "writing",
                timeout_ms=25000,
                slo_ms=3000,
                priority=0,
                max_attempts=3,
                can_resume=True,
                target_gap_ms=800,
                sticky=True,
                sizes=["m0", "m1", "m2"],
            ),
            build_route("booking", "/booking/", "non_idempotent", "portal"),
            build_route("status", "/status/", "idempotent", "portal"),
            *routes,
        ],
        "services": [
            {
                "name": "writing",
                "health_path": "/health",
                "max_conns": 370,
                "engine": {"slots": 64, "kv_capacity": 552879, "models": models},
            },
            {"name": "portal", "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "archive", "api_keys": [API_KEY], "priority": 1}],
    }
    return json.dumps(manifest | changes).encode()


_attempt_count = 0


def encode_request(method, path, body=b"", deadline_ms=3000, **headers):
    """Return the attempt id and the bytes of a client's request."""
    global _attempt_count
    _attempt_count += 1
    attempt_id = f"try{os.getpid():x}x{_attempt_count:06d}"
    fields = {
        "Host": HOST,
        "X-Tanagerwalk-Attempt-Id": attempt_id,
        "X-Tanagerwalk-Deadline-Ms": str(deadline_ms),
        "X-Tanagerwalk-Key": API_KEY,
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return attempt_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_stream_request(number, deadline_ms=25000, **headers):
    """Return the attempt id and the bytes of a request for a stream."""
    prompt = {
        "X_Tanagerwalk_Model": "*",
        "X_Tanagerwalk_Token_Count": "900,80",
        "X_Tanagerwalk_Prompt_Prefix": f"aa:512,bb{number % 50}:300,cc{number}:88",
    }
    return encode_request(
        "POST", "/review/7", b"statement", deadline_ms, **(prompt | headers)
    )


def finish(main):
    """Run a case, and exit with its verdict; SIGTERM ends it, and what it started."""
    try:
        verdict = asyncio.run(_run_until_stopped(main))
    except asyncio.CancelledError:
        verdict = NOT_RUN
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        verdict = NOT_RUN
    sys.exit(verdict)


async def _run_until_stopped(main):
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await main()
