"""Typed, validated settings of one process, read from INI."""

import configparser
import math
from dataclasses import dataclass, fields
from importlib import resources

from expression import Error, Ok

from .ids import FailureDomain, InstanceId, Region


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Identity, listen address, ports and drain times of the instance."""

    id: InstanceId
    region: Region
    failure_domain: FailureDomain
    address: str
    callers_port: int
    admin_port: int
    peers_port: int
    drain_notice: float
    drain_limit: float


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services."""

    keyvalue: str
    instances: str
    ratings: str
    timeout: float
    instances_interval: float


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """How the declaration is watched and polled, and when it counts as stale."""

    watch_limit: float
    poll_interval: float
    stale_after: float


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Exchange of facts between entry instances."""

    secret: str
    interval: float
    cross_domain: float
    timeout: float
    slow_rate: float


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Signing secret and lifetime of session tokens."""

    secret: str
    lifetime: float


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Retention of the outcomes of non-idempotent requests."""

    retention: float


@dataclass(frozen=True, slots=True)
class BillSettings:
    """Write interval of bills, and the age at which a peer's bills are adopted."""

    flush_interval: float
    adopt_after: float


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Queue and concurrency limits, and those of the process."""

    queue_length: int
    request_size: int
    initial_concurrency: int
    max_concurrency: int
    short_reserve: float
    long_factor: float
    memory: int
    descriptors: int
    receive_timeout: float
    read_timeout: float


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits on attempts, retry and hedge budgets, and timeouts."""

    max_attempts: int
    budget_ratio: float
    budget_burst: float
    hedge_ratio: float
    hedge_burst: float
    connect_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """How the load of backend servers is scraped."""

    interval: float
    idle_interval: float
    models_interval: float
    scrapes_per_second: float
    timeout: float
    stale_after: float


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Limits of the quarantine for requests that crash servers."""

    crashes: int
    lifetime: float
    capacity: int


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Rating and halting of versions."""

    rating_share: float
    rating_queue: int
    rating_rate: float
    rating_burst: float
    rating_cost: float
    false_alarm: float
    epoch: float
    share_interval: float
    halts_interval: float
    exposure_interval: float


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Lease for sending orders to engines, and limits of those orders."""

    lease_ttl: float
    lease_margin: float
    look_interval: float
    interval: float
    loads_at_once: int
    timeout: float
    connect_timeout: float
    report_lag: float
    unload_delay: float
    weights: str


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one process."""

    instance: InstanceSettings
    platform: PlatformSettings
    configuration: ConfigurationSettings
    peers: PeerSettings
    sessions: SessionSettings
    claims: ClaimSettings
    bills: BillSettings
    limits: LimitSettings
    retries: RetrySettings
    load: LoadSettings
    quarantine: QuarantineSettings
    rollouts: RolloutSettings
    orders: OrderSettings


def parse_settings(text=""):
    """Parse settings on top of the packaged defaults.

    Parameters
    ----------
    text : str
        The operator's INI text.

    Returns
    -------
    Result of Settings, or of a tuple of str
        The settings, or one message per problem.
    """
    parser = configparser.ConfigParser(interpolation=None)
    defaults = resources.files(__package__).joinpath("config_default.ini")
    parser.read_string(defaults.read_text())
    known = {name: set(parser[name]) for name in parser.sections()}
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Error((f"settings are not INI: {error.message}",))
    problems = _find_unknown(parser, known)
    sections = {}
    for section in fields(Settings):
        sections[section.name] = _read_section(
            section.type, parser[section.name], problems
        )
    if problems:
        return Error(tuple(problems))
    return Ok(Settings(**sections))


def _find_unknown(parser, known):
    problems = []
    for name in parser.sections():
        if name not in known:
            problems.append(f"unknown section [{name}]")
            continue
        for key in sorted(set(parser[name]) - known[name]):
            problems.append(f'section [{name}] has unknown key "{key}"')
    return problems


def _read_section(kind, section, problems):
    values = {}
    for field in fields(kind):
        raw = section[field.name]
        if field.type not in (int, float):
            values[field.name] = raw
            continue
        try:
            number = field.type(raw)
            # isfinite raises OverflowError for integers beyond the floats.
            is_finite = math.isfinite(number)
        except (ValueError, OverflowError):
            problems.append(f'[{section.name}] {field.name} = "{raw}" is not a number')
            continue
        if number < 0:
            problems.append(f"[{section.name}] {field.name} = {raw} is negative")
        elif not is_finite:
            problems.append(f"[{section.name}] {field.name} = {raw} is not finite")
        values[field.name] = number
    return kind(**values) if len(values) == len(fields(kind)) else None
