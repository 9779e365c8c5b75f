"""Settings of a gateway instance, in its own terms."""

from dataclasses import dataclass, field

from ..ids import FailureDomain, InstanceId, Region


@dataclass(frozen=True, slots=True)
class Listeners:
    """Addresses that an instance listens at, each an (IP, port) tuple."""

    clients: tuple[str, int]
    readiness: tuple[str, int]
    metrics: tuple[str, int]
    peers: tuple[str, int]


@dataclass(frozen=True, slots=True)
class StoreAddress:
    """Where the store is, and how many bytes one value may have."""

    address: tuple[str, int]
    max_value_size: int = 1048576


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment sets; times in seconds.

    Parameters
    ----------
    drain_timeout : float
        After this, a leaving backend server gets no more requests.
    shutdown_grace : float
        Time between SIGTERM and SIGKILL.
    strict_revocation : bool
        Whether a revoked key may not be served, even by an instance that is cut off.
    revocation_delay : float
        After this, a revoked key is refused.
    retry_ratio, retry_window, retry_slack : float
        In each window, all instances together may send `retry_ratio` more attempts
        than there are requests, and `retry_slack` on top.
    canary_share, canary_slack : float
        Share of a service's requests, and requests on top, that a bad release may
        get before it is rolled back.
    rollback_delay : float
        After this, a release that has shown to be bad gets no more requests.
    session_gap : float
        Requests of a session that follow each other sooner belong together.
    contact_delay : float
        After this without disruption, an instance counts as connected.
    """

    drain_timeout: float = 2.5
    shutdown_grace: float = 8.0
    strict_revocation: bool = False
    revocation_delay: float = 5.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 0.0
    canary_share: float = 0.0
    canary_slack: float = 0.0
    rollback_delay: float = 5.0
    session_gap: float = 5.0
    contact_delay: float = 3.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What one instance is told at its start."""

    instance: InstanceId
    failure_domain: FailureDomain
    region: Region
    listeners: Listeners
    store: StoreAddress
    bounds: Bounds = Bounds()
    regions: dict[FailureDomain, Region] = field(default_factory=dict)
    max_descriptors: int = 1024
