"""Decodes the settings file of a gateway instance, in the platform's TOML format."""

import math
import tomllib

import msgspec
from expression import Error, Ok

from ..addresses import MAX_PORT, parse_address
from ..gateway.settings import Bounds, GatewaySettings, Listeners, StoreAddress
from ..ids import FailureDomain, InstanceId, Region

MS_PER_S = 1000.0
BYTES_PER_MB = 1000000
# Must match the port of `metrics` in deploy/system.toml.
METRICS_PORT = 9464
# Larger numbers count as this one: eleven days in ms, and no limit of a process.
MAX_NUMBER = 10**9
NUMBER_SECTIONS = ("limits", "bounds", "platform")


class _Listen(msgspec.Struct, frozen=True):
    front: str
    # Address of the readiness check: whether this instance accepts connections.
    ready: str


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float = 128.0
    # File descriptors of the process, 200 of them reserved for files.
    max_fds: int = 1024
    link_mbps: float = 0.0


class _Bounds(msgspec.Struct, frozen=True):
    contact_ms: float = 3000.0
    drain_ms: float = 2500.0
    grace_s: float = 8.0
    apply_ms: float = 2500.0
    strict_revoke: bool = False
    revoke_ms: float = 5000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    canary_share: float = 0.0
    canary_slack: float = 0.0
    rollback_ms: float = 5000.0
    session_s: float = 5.0
    evacuate_ms: float = 5000.0
    cold_overrun: float = 1.5
    cold_slack: float = 5.0


class _Platform(msgspec.Struct, frozen=True):
    address: str
    value_bytes: int = 1048576
    min_ttl_ms: int = 1000


class _Routing(msgspec.Struct, frozen=True):
    # Whether requests stay in the own zone while its servers have room.
    prefer_own_zone: bool = True


class _Settings(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    platform: _Platform
    # First and last port of the range for traffic between instances.
    port_range: list[int]
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    routing: _Routing = _Routing()
    zones: dict[str, str] = {}


def parse_settings(text):
    """Decode the settings file of one instance.

    Parameters
    ----------
    text : str
        Content of the settings file, TOML.

    Returns
    -------
    Result of GatewaySettings, or of str
        The error is one line for the log.
    """
    try:
        wire = msgspec.convert(tomllib.loads(text), _Settings, strict=False)
    except (ValueError, OverflowError, msgspec.MsgspecError) as error:
        return Error(f"settings: {error}")
    except RecursionError:
        return Error("settings: values are nested too deeply")
    problem = _find_odd_number(wire)
    if problem is not None:
        return Error(f"settings: {problem}")
    limits = _bound_numbers(wire.limits)
    first_port = wire.port_range[0] if wire.port_range else None
    addresses = {}
    for name, raw in (
        ("listen.front", wire.listen.front),
        ("listen.ready", wire.listen.ready),
        ("platform.address", wire.platform.address),
        ("port_range", f"{wire.ip}:{first_port}"),
    ):
        address = parse_address(raw)
        if address is None:
            return Error(f"settings: {name} = {raw!r} is not IP:PORT")
        addresses[name] = address
    settings = GatewaySettings(
        instance=InstanceId(wire.node_name),
        failure_domain=FailureDomain(wire.zone),
        region=Region(wire.region),
        regions={FailureDomain(k): Region(v) for k, v in wire.zones.items()},
        listeners=Listeners(
            clients=addresses["listen.front"],
            readiness=addresses["listen.ready"],
            metrics=(wire.ip, METRICS_PORT),
            peers=addresses["port_range"],
            last_peer_port=min(wire.port_range[-1], MAX_PORT),
        ),
        store=StoreAddress(
            addresses["platform.address"], _bound_numbers(wire.platform).value_bytes
        ),
        bounds=_convert_bounds(_bound_numbers(wire.bounds)),
        max_descriptors=limits.max_fds,
        memory_limit=int(limits.memory_mb * BYTES_PER_MB),
        link_rate=limits.link_mbps,
        prefers_own_domain=wire.routing.prefer_own_zone,
    )
    return Ok(settings)


def _find_odd_number(wire):
    """Return the name and value of a number that is negative or not finite, or None."""
    for section in NUMBER_SECTIONS:
        for name, value in _list_numbers(getattr(wire, section)):
            # Also false for NaN.
            if not 0 <= value < math.inf:
                return f"{section}.{name} = {value}"
    return None


def _bound_numbers(section):
    """Return a copy of a section whose numbers are at most MAX_NUMBER."""
    bounded = {name: min(value, MAX_NUMBER) for name, value in _list_numbers(section)}
    return msgspec.structs.replace(section, **bounded)


def _list_numbers(section):
    fields = ((name, getattr(section, name)) for name in section.__struct_fields__)
    return [
        (name, value)
        for name, value in fields
        if isinstance(value, int | float) and not isinstance(value, bool)
    ]


def _convert_bounds(wire):
    return Bounds(
        drain_timeout=wire.drain_ms / MS_PER_S,
        change_delay=wire.apply_ms / MS_PER_S,
        shutdown_grace=wire.grace_s,
        strict_revocation=wire.strict_revoke,
        revocation_delay=wire.revoke_ms / MS_PER_S,
        retry_ratio=wire.retry_ratio,
        retry_window=wire.retry_window_s,
        retry_slack=wire.retry_slack,
        canary_share=wire.canary_share,
        canary_slack=wire.canary_slack,
        rollback_delay=wire.rollback_ms / MS_PER_S,
        session_gap=wire.session_s,
        contact_delay=wire.contact_ms / MS_PER_S,
        evacuation_delay=wire.evacuate_ms / MS_PER_S,
        cold_overrun=wire.cold_overrun,
        cold_slack=wire.cold_slack,
    )
