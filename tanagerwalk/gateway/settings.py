"""Settings of a gateway instance, independent of the settings file format."""

from dataclasses import dataclass, field

from ..ids import FailureDomain, InstanceId, Region


@dataclass(frozen=True, slots=True)
class Listeners:
    """Listen addresses of an instance, each an (IP, port) tuple.

    Parameters
    ----------
    clients, readiness, metrics : tuple of (str, int)
        The addresses.
    peers : tuple of (str, int)
        Address for other instances, with the first port that may be used.
    last_peer_port : int
        Last port that may be used for other instances; 0 for the first one only.
    """

    clients: tuple[str, int]
    readiness: tuple[str, int]
    metrics: tuple[str, int]
    peers: tuple[str, int]
    last_peer_port: int = 0

    @property
    def peer_ports(self):
        """The ports that may be used for other instances, in order."""
        first = self.peers[1]
        return range(first, max(first, self.last_peer_port) + 1)


@dataclass(frozen=True, slots=True)
class StoreAddress:
    """Address of the metadata store and the maximum size of a value in bytes."""

    address: tuple[str, int]
    max_value_size: int = 1048576


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits and deadlines set by the deployment; times are in seconds.

    Parameters
    ----------
    drain_timeout : float
        Time after which a draining backend server must receive no more requests.
    change_delay : float
        Time after which a change of the manifest must be in force.
    shutdown_grace : float
        Time between SIGTERM and SIGKILL.
    strict_revocation : bool
        Whether revocation is enforced even by an instance that has lost its
        connection to the store.
    revocation_delay : float
        Time after which a revoked key must be refused.
    retry_ratio, retry_window, retry_slack : float
        Retry budget: per window of `retry_window`, all instances together may send
        `retry_ratio` retries per request, plus `retry_slack` retries.
    canary_share, canary_slack : float
        Fraction of a service's requests, plus a fixed number of requests, that a bad
        release may receive before it is rolled back.
    rollback_delay : float
        Time after which a release detected as bad must receive no more requests.
    session_gap : float
        Requests of a session that are less than this apart stay on the same release.
    contact_delay : float
        Time without disruption after which an instance counts as connected.
    evacuation_delay : float
        Time after which an evacuated failure domain must receive no more requests.
    cold_overrun, cold_slack : float
        A cold server may receive `cold_overrun` times the requests that it bears in a
        second, plus `cold_slack` requests, summed over all instances.
    """

    drain_timeout: float = 2.5
    change_delay: float = 2.5
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
    evacuation_delay: float = 5.0
    cold_overrun: float = 1.5
    cold_slack: float = 5.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway instance.

    `memory_limit` is the most resident memory of the process in bytes, None without a
    limit; `max_descriptors` the most file descriptors. `link_rate` is what the
    machine's link carries in Mbit/s, 0 if that is not known. `prefers_own_domain`
    states whether requests stay in the own failure domain while its servers have room.
    """

    instance: InstanceId
    failure_domain: FailureDomain
    region: Region
    listeners: Listeners
    store: StoreAddress
    bounds: Bounds = Bounds()
    regions: dict[FailureDomain, Region] = field(default_factory=dict)
    max_descriptors: int = 1024
    memory_limit: int | None = None
    link_rate: float = 0.0
    prefers_own_domain: bool = True
