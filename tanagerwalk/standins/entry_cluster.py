"""Entry instances and the stand-ins they depend on, in one process."""

from importlib import resources

import aiohttp

from ..app import EntryInstance
from ..clients.keyvalue import KeyValueClient
from ..controllers.configuration import DECLARATION_KEY
from ..controllers.loop import poll_until
from ..settings import parse_settings
from ..ui.apply import put_declaration
from .addresses import find_address
from .engine import EngineStandIn
from .keyvalue import KeyValueStandIn
from .platform import PlatformStandIn
from .service import ServiceStandIn

DEMO_API_KEY = "desk-key"
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.01
SETTINGS_TEMPLATE = """
[instance]
id = {name}
address = {address}
region = {region}
failure_domain = {failure_domain}
drain_notice = 0
[platform]
keyvalue = http://{keyvalue}
instances = http://{platform}/targets
ratings = http://{platform}
instances_interval = 0.1
[bills]
flush_interval = 0.2
adopt_after = 1
[load]
interval = 0.1
idle_interval = 0.1
models_interval = 0.1
scrapes_per_second = 200
[orders]
lease_ttl = 2
lease_margin = 0.5
look_interval = 0.2
interval = 0.1
report_lag = 0.5
unload_delay = 0.5
[sessions]
secret = demo
[rollouts]
share_interval = 0.05
halts_interval = 0.1
exposure_interval = 0.1
[peers]
secret = demo
interval = 0.05
"""


class EntryCluster:
    """Entry instances, and stand-ins for all external systems.

    An async context manager: starts the key-value service and the platform on
    entry, stops everything on exit.

    Attributes
    ----------
    keyvalue : KeyValueStandIn
    platform : PlatformStandIn
    engines : dict of str to EngineStandIn
    services : dict of str to ServiceStandIn
    instances : dict of str to EntryInstance
    """

    def __init__(self):
        self.keyvalue = KeyValueStandIn()
        self.platform = PlatformStandIn()
        self.engines = {}
        self.services = {}
        self.instances = {}
        self.http = None

    async def __aenter__(self):
        self.http = aiohttp.ClientSession()
        await self.keyvalue.start()
        await self.platform.start()
        return self

    async def __aexit__(self, *_error):
        for instance in self.instances.values():
            await instance.close()
        for standin in (*self.engines.values(), *self.services.values()):
            await standin.stop()
        await self.keyvalue.stop()
        await self.platform.stop()
        await self.http.close()

    async def add_engine(
        self, name, versions, region="r1", domain="r1-a", capacity=8, **order_options
    ):
        """Start an engine stand-in and register it with the platform.

        `order_options` are the arguments of `EngineStandIn` for load and unload orders.
        """
        engine = EngineStandIn(versions, capacity, **order_options)
        await engine.start()
        self.engines[name] = engine
        fencing = "checked" if engine.checks_fencing else "ignored"
        self._register(engine, name, region, domain, role="engine", fencing=fencing)
        return engine

    async def add_service(self, name, service, region="r1", domain="r1-a"):
        """Start a stand-in for a plain service and register it with the platform."""
        standin = ServiceStandIn()
        await standin.start()
        self.services[name] = standin
        self._register(standin, name, region, domain, role="service", service=service)
        return standin

    def _register(self, standin, name, region, domain, **labels):
        self.register_server(standin.address, name, region, domain, **labels)

    def register_server(self, address, name, region="r1", domain="r1-a", **labels):
        """Register a backend server at any address with the platform."""
        self.platform.add(
            address,
            id=name,
            region=region,
            failure_domain=domain,
            incarnation=f"{name}.1",
            state="live",
            **labels,
        )

    def make_settings(
        self,
        name,
        region="r1",
        domain="r1-a",
        extra="",
        keyvalue=None,
        platform=None,
    ):
        """Return the settings text of an entry instance.

        `keyvalue` and `platform` override the addresses of the stand-ins.
        """
        text = SETTINGS_TEMPLATE.format(
            name=name,
            address=find_address(),
            region=region,
            failure_domain=domain,
            keyvalue=keyvalue or self.keyvalue.address,
            platform=platform or self.platform.address,
        )
        return text + extra

    async def add_instance(
        self, name, region="r1", domain="r1-a", seed=1, **settings_options
    ):
        """Start an entry instance and register it with the platform.

        `settings_options` are passed on to `make_settings`.
        """
        text = self.make_settings(name, region, domain, **settings_options)
        settings = parse_settings(text).ok
        instance = EntryInstance(settings, seed=seed)
        await instance.start()
        self.instances[name] = instance
        self.platform.add(
            f"{find_address()}:{instance.peers_port}",
            id=name,
            role="entry",
            region=region,
            failure_domain=domain,
            incarnation=instance.incarnation,
            state="live",
        )
        return instance

    async def apply(self, text=None):
        """Put a declaration in force, by default that of the demo."""
        if text is None:
            text = resources.files(__package__).joinpath("demo.ini").read_text()
        store = KeyValueClient(self.http, f"http://{self.keyvalue.address}", 2.0)
        current = await store.get(DECLARATION_KEY)
        current_revision = current.ok.revision if current.ok else 0
        result = await put_declaration(store, text, current_revision)
        if result.is_error():
            raise AssertionError(result.error)
        return result.ok

    async def wait_until(self, condition):
        """Wait until `condition()` is true.

        Raises
        ------
        TimeoutError
            If it is not true within `READY_TIMEOUT_S` seconds.
        """
        if not await poll_until(condition, READY_POLL_S, READY_TIMEOUT_S):
            raise TimeoutError("the condition was not met in time")

    async def post(self, instance, path, body, key=DEMO_API_KEY, **headers):
        """Send a POST request to an entry instance as a client does.

        Returns
        -------
        tuple of int, bytes and mapping
            Status, body and headers.
        """
        url = f"http://{find_address()}:{instance.callers.listener.port}{path}"
        headers = {"Authorization": f"Bearer {key}", **headers}
        async with self.http.post(url, json=body, headers=headers) as response:
            return response.status, await response.read(), response.headers

    async def chat(self, instance, work_class, *texts, **headers):
        """Request one chat completion of a work class, for a chat with these texts."""
        messages = [{"role": "user", "content": text} for text in texts]
        body = {"model": work_class, "messages": messages}
        return await self.post(instance, "/v1/chat/completions", body, **headers)

    async def call(self, instance, work_class, body, **headers):
        """Call a plain service through an entry instance."""
        return await self.post(instance, f"/v1/classes/{work_class}", body, **headers)


async def build_demo(cluster, instances=2):
    """Start the engines, services and entry instances of the demo.

    Returns once every instance is ready and knows the load of every server.

    Parameters
    ----------
    cluster : EntryCluster
        Where they are started; already entered as a context manager.
    instances : int
        Number of entry instances.
    """
    await cluster.add_engine("engine-1", ["wren:1", "heron:1"])
    await cluster.add_engine("engine-2", ["wren:1", "heron:1", "heron:2"])
    await cluster.add_service("booking-1", "booking")
    cluster.platform.quality = {"wren:1": 0.8, "heron:1": 0.95, "heron:2": 0.94}
    await cluster.apply()
    for number in range(1, instances + 1):
        await cluster.add_instance(f"entry-{number}", seed=number)
    await cluster.wait_until(
        lambda: all(map(_is_warmed_up, cluster.instances.values()))
    )


def _is_warmed_up(instance):
    servers = instance.table.servers.values()
    loaded = sum(1 for server in servers if server.load_reported_at > 0)
    if not instance.is_ready() or not loaded or loaded < len(servers):
        return False
    # The rollout tracker is updated one step after the declaration.
    return bool(instance.rollout_tracker.list_states())
