"""Decodes the manifest, which operators write to the metadata store as JSON."""

from collections import Counter

import msgspec
from expression import Error, Ok

from ..documents import decode_json
from ..ids import (
    ClientAccountId,
    ModelName,
    Region,
    Revision,
    RouteName,
    ServiceName,
)
from ..manifest import (
    ClientLimits,
    Manifest,
    ModelOffer,
    Repeatability,
    Repetitions,
    Route,
    Service,
    SplitShare,
    sort_routes,
)
from ..number_ranges import NumberRange

MS_PER_S = 1000.0
# Larger times and rates count as this one.
MAX_NUMBER = 1e9
# Numbers up to here are exact in JSON. Whether one makes sense, such as a time of 0, is
# told by the check of a manifest.
MAX_INTEGER = 2**53
NUMBER_RANGE = NumberRange(
    "number of a manifest", "of its field", -MAX_INTEGER, MAX_INTEGER
)
REPEATABILITY_BY_KIND = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.NON_IDEMPOTENT,
    "streaming": Repeatability.STREAM,
}


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    # A key of REPEATABILITY_BY_KIND: whether a request may run more than once.
    kind: str
    timeout_ms: float = 60000.0
    # Latency objective: until the complete response, for a stream until its first
    # event.
    slo_ms: float = 1000.0
    priority: int = 5
    sizes: list[str] = []
    split: list[_Share] = []
    service: str = ""
    max_attempts: int = 1
    public: bool = False
    can_resume: bool = False
    target_gap_ms: float = 0.0
    # Names of regions; empty for all.
    allowed_regions: list[str] = []


class _Model(msgspec.Struct, frozen=True):
    name: str
    cost: float = 0.0


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    # In tokens, not bytes.
    kv_capacity: int = 0
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: int = 100
    # Present if the servers of the service run models.
    engine: _Engine | None = None
    # Time for which a server is cold after its start.
    cold_start_s: float = 0.0
    # Requests per second that a cold server bears, from all instances together.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # Names of regions; empty for all.
    allowed_regions: list[str] = []


class _Manifest(msgspec.Struct, frozen=True):
    routes: list[_Route]
    services: list[_Service]
    version: int | str = 0
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


def parse_manifest(data, revision):
    """Decode a manifest.

    Parameters
    ----------
    data : bytes
        The value of the manifest key, JSON.
    revision : int
        Store revision at which it was written.

    Returns
    -------
    Result of Manifest, or of str
        The error is one line for the log.
    """
    decoded = decode_json(data, _Manifest)
    if decoded.is_error():
        return Error(f"manifest at revision {revision}: {decoded.error}")
    wire = decoded.ok
    unknown = [
        route.name for route in wire.routes if route.kind not in REPEATABILITY_BY_KIND
    ]
    if unknown:
        return Error(
            f"manifest at revision {revision}: unknown kind of routes {unknown}"
        )
    tenants = list(map(_drop_odd_numbers, wire.tenants or []))
    manifest = Manifest(
        revision=Revision(revision),
        routes=sort_routes(map(_convert_route, wire.routes)),
        services={ServiceName(s.name): _convert_service(s) for s in wire.services},
        accounts={
            key: ClientAccountId(tenant.name)
            for tenant in tenants
            for key in tenant.api_keys
        },
        needs_keys=wire.tenants is not None,
        limits=_convert_limits(wire.limits),
        account_priorities={
            ClientAccountId(tenant.name): tenant.priority
            for tenant in tenants
            if tenant.priority is not None
        },
        account_regions={
            ClientAccountId(tenant.name): frozenset(map(Region, tenant.allowed_regions))
            for tenant in tenants
            if tenant.allowed_regions
        },
        version=wire.version if isinstance(wire.version, int) else None,
    )
    return Ok(manifest)


def find_repetitions(data):
    """Return the entries that a manifest holds more than once.

    Parameters
    ----------
    data : bytes
        The manifest, JSON.

    Returns
    -------
    Result of Repetitions, or of str
    """
    return decode_json(data, _Manifest).map(
        lambda wire: Repetitions(
            services=_find_repeated_services(wire.services),
            overridden_accounts=_find_overridden_accounts(wire.tenants or []),
        )
    )


def _drop_odd_numbers(wire):
    """Return a copy of a struct with the defaults for numbers that are out of range."""
    optional = wire.__struct_fields__[-len(wire.__struct_defaults__) :]
    defaults = dict(zip(optional, wire.__struct_defaults__, strict=True))
    odd = {
        name: default
        for name, default in defaults.items()
        if isinstance(getattr(wire, name), int | float)
        and NUMBER_RANGE.take(getattr(wire, name)) is None
    }
    return msgspec.structs.replace(wire, **odd) if odd else wire


def _find_repeated_services(services):
    counts = Counter(service.name for service in services)
    return tuple(ServiceName(name) for name, count in counts.items() if count > 1)


def _find_overridden_accounts(tenants):
    owners = {key: tenant.name for tenant in tenants for key in tenant.api_keys}
    pairs = dict.fromkeys(
        (ClientAccountId(tenant.name), ClientAccountId(owners[key]))
        for tenant in tenants
        for key in tenant.api_keys
    )
    return tuple((account, owner) for account, owner in pairs if account != owner)


def _convert_route(wire):
    wire = _drop_odd_numbers(wire)
    split = map(_drop_odd_numbers, wire.split)
    shares = [SplitShare(ServiceName(s.service), s.weight) for s in split]
    if not shares:
        shares = [SplitShare(ServiceName(wire.service), 1.0)]
    return Route(
        name=RouteName(wire.name),
        host=wire.host.lower(),
        prefix=wire.prefix,
        repeatability=REPEATABILITY_BY_KIND[wire.kind],
        timeout=wire.timeout_ms / MS_PER_S,
        objective=wire.slo_ms / MS_PER_S,
        priority=wire.priority,
        shares=tuple(shares),
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.can_resume,
        models=tuple(map(ModelName, wire.sizes)),
        gap_objective=wire.target_gap_ms / MS_PER_S,
        allowed_regions=frozenset(map(Region, wire.allowed_regions)),
    )


def _convert_service(wire):
    wire = _drop_odd_numbers(wire)
    engine = _drop_odd_numbers(wire.engine or _Engine(slots=0))
    models = map(_drop_odd_numbers, engine.models)
    return Service(
        name=ServiceName(wire.name),
        max_connections=wire.max_conns,
        slots=engine.slots,
        kv_capacity=engine.kv_capacity,
        models=tuple(ModelOffer(ModelName(m.name), m.cost) for m in models),
        cold_start=min(max(0.0, wire.cold_start_s), MAX_NUMBER),
        cold_rate=min(max(0.0, wire.cold_per_s), MAX_NUMBER),
    )


def _convert_limits(wire):
    wire = _drop_odd_numbers(wire)
    return ClientLimits(
        header_size=wire.max_header_bytes,
        body_size=wire.max_body_bytes,
        header_timeout=wire.header_timeout_ms / MS_PER_S,
        idle_timeout=wire.idle_timeout_ms / MS_PER_S,
    )
