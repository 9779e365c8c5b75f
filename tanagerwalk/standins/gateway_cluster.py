"""Gateway instances, their metadata store and backend servers, in one process."""

import asyncio
import json
from dataclasses import dataclass
from types import MappingProxyType

from ..controllers.loop import poll_until
from ..gateway.instance import GatewayInstance
from ..gateway.settings import Bounds, GatewaySettings, Listeners, StoreAddress
from ..ids import FailureDomain, InstanceId, Region
from ..platform.codec import PlatformCodec
from ..platform.store import MetadataStore
from .addresses import find_address
from .backend import BackendStandIn
from .metadata import MetadataStandIn

READY_TIMEOUT_S = 10.0
API_KEY = "key-of-the-desk"
HOST = "desk.example"
BOUNDS = Bounds(
    shutdown_grace=3.0,
    strict_revocation=True,
    retry_ratio=0.9,
    retry_slack=50.0,
    canary_share=0.15,
    canary_slack=30.0,
)
REGIONS = MappingProxyType({"a-1": "a", "b-1": "b", "c-1": "c"})
SMALL_MODEL = "model-s"
LARGE_MODEL = "model-l"


def build_manifest(version=1, **changes):
    """Return an encoded manifest with a route of each kind.

    `changes` replace top-level fields.
    """
    routes = [
        _build_route("plans", "/plans/", "streaming", "drafts", can_resume=True)
        | {
            "sizes": [SMALL_MODEL, "model-m", LARGE_MODEL],
            "target_gap_ms": 800,
            "sticky": True,
        },
        _build_route("bookings", "/bookings/", "non_idempotent", "desk"),
        _build_route("jobs", "/jobs/", "idempotent", "desk"),
        _build_route("open", "/open/", "idempotent", "desk", public=True),
    ]
    models = [
        {"name": SMALL_MODEL, "cost": 0.02},
        {"name": "model-m", "cost": 0.15},
        {"name": LARGE_MODEL, "cost": 0.3},
    ]
    manifest = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "drafts",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {"slots": 8, "kv_capacity": 90000, "models": models},
            },
            {"name": "desk", "health_path": "/health", "max_conns": 100},
        ],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536},
        "tenants": [{"name": "archive", "api_keys": [API_KEY], "priority": 1}],
    }
    return json.dumps(manifest | changes).encode()


def build_regional_manifest(version, of_routes=None, of_account=(), **changes):
    """Return an encoded manifest that names allowed regions.

    Parameters
    ----------
    version : int
        Version of the manifest.
    of_routes : dict of str to list of str or None
        Regions by name of the route.
    of_account : list of str
        Regions of the only account.
    **changes
        Replace top-level fields.
    """
    manifest = json.loads(build_manifest(version, **changes))
    for route in manifest["routes"]:
        route["allowed_regions"] = (of_routes or {}).get(route["name"], [])
    manifest["tenants"][0]["allowed_regions"] = list(of_account)
    return json.dumps(manifest).encode()


def _build_route(name, prefix, kind, service, **changes):
    route = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 5000,
        "slo_ms": 1000,
        "priority": 1,
        "max_attempts": 3,
    }
    return route | changes


@dataclass(slots=True)
class Reply:
    """A response as a client received it.

    `complete` is False if the connection ended before the last chunk.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class GatewayCluster:
    """Gateway instances, and stand-ins for the store and the backend servers.

    An async context manager: starts the store on entry, stops everything on exit.

    Parameters
    ----------
    regions : dict of str to str
        Region of each failure domain.
    """

    def __init__(self, regions=REGIONS):
        self._regions = {FailureDomain(k): Region(v) for k, v in regions.items()}
        self.store = MetadataStandIn()
        self.servers = {}
        self.instances = []
        self._request_count = 0

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *exc):
        for instance in self.instances:
            await instance.close()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()

    async def build(self, drafts=2, desks=2, instances=1):
        """Write the manifest, then start the backend servers and the instances."""
        await self.store.put("op/config", build_manifest())
        for number in range(drafts):
            await self.add_server(f"draft-{number}", "drafts")
        for number in range(desks):
            await self.add_server(f"desk-{number}", "desk")
        for number in range(instances):
            await self.add_instance(f"gateway-{number}")

    async def add_server(
        self, server_id, service, version="v1", domain="a-1", places=None
    ):
        """Start a backend server and register it in the store."""
        server = BackendStandIn(server_id, places=places)
        await server.start()
        self.servers[server_id] = server
        await self.store.put(*server.build_entry(service, domain, version))
        return server

    async def add_instance(self, name, bounds=BOUNDS, domain="a-1"):
        """Start a gateway instance and wait until it is ready."""
        instance = self.build_instance(name, bounds, domain)
        await instance.start()
        self.instances.append(instance)
        await poll_until(instance.is_ready, 0.01, READY_TIMEOUT_S)
        return instance

    async def evacuate(self, *domains):
        """Request that nothing more is sent to failure domains, as operators do."""
        for domain in domains:
            await self.store.put(f"op/evacuate/{domain}", b"{}")

    async def end_evacuation(self, domain):
        """Take the evacuation of a failure domain back."""
        await self.store.remove(f"op/evacuate/{domain}")

    async def wait_until_connected(self):
        """Wait until the instances know each other and the key of the fleet.

        Returns
        -------
        bool
            Whether they do.
        """
        return await poll_until(self._is_connected, 0.02, READY_TIMEOUT_S)

    def _is_connected(self):
        others = len(self.instances) - 1
        return all(
            len(instance.membership.peers) == others and instance.sharing.has_key
            for instance in self.instances
        )

    def build_instance(self, name, bounds=BOUNDS, domain="a-1"):
        """Return a gateway instance that is not started."""
        host, _, port = self.store.address.rpartition(":")
        address = (host, int(port))
        any_port = (find_address(), 0)
        settings = GatewaySettings(
            instance=InstanceId(name),
            failure_domain=FailureDomain(domain),
            region=self._regions[FailureDomain(domain)],
            regions=self._regions,
            listeners=Listeners(any_port, any_port, any_port, any_port),
            store=StoreAddress(address),
            bounds=bounds,
        )
        codec = PlatformCodec()
        store = MetadataStore(address, codec.entry_reduction)
        return GatewayInstance(settings, store, codec, seed=1)

    def encode(self, method, path, body=b"", **headers):
        """Return the bytes of a request.

        Header names are given with underscores for hyphens; an empty value removes
        a default header.
        """
        self._request_count += 1
        fields = {
            "Host": HOST,
            "X-Tanagerwalk-Attempt-Id": f"try-{self._request_count}",
            "X-Tanagerwalk-Deadline-Ms": "4000",
            "X-Tanagerwalk-Key": API_KEY,
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in fields.items() if value)
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def encode_plan(self, **headers):
        """Return the bytes of a request for a plan, from any model."""
        prompt = {
            "X_Tanagerwalk_Model": "*",
            "X_Tanagerwalk_Token_Count": "900,80",
            "X_Tanagerwalk_Prompt_Prefix": "aa:500,bb:300,cc:100",
        }
        return self.encode("POST", "/plans/7", b"deed book", **(prompt | headers))

    async def connect(self, instance=None):
        """Open a connection to an instance, by default the first one."""
        instance = instance or self.instances[0]
        port = instance.client_listener.port
        return await asyncio.open_connection(find_address(), port)

    async def send(self, data, instance=None):
        """Send a request on a new connection and return the `Reply`."""
        reader, writer = await self.connect(instance)
        writer.write(data)
        try:
            return await read_reply(reader)
        finally:
            writer.close()


async def read_reply(reader):
    """Read a response whose body has a length or is chunked.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Connection to the gateway.

    Returns
    -------
    Reply
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return Reply(status, headers, body, True)
    body = b""
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(status, headers, body, False)
    return Reply(status, headers, body, True)
