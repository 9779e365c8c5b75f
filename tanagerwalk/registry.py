"""Backend servers and roll-out orders as registered in the platform's store."""

from dataclasses import dataclass, field
from enum import Enum

from .ids import BackendServerId, FailureDomain, ReleaseName, Revision, ServiceName

# Longest time for which the entry of a server that has left stays listed: more than
# three heartbeats. One that has started anew has replaced its entry by then.
ENTRY_LIFETIME_S = 4.0


class ServerState(Enum):
    """Whether a registered backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RegisteredServer:
    """The entry that a backend server registers for itself.

    Parameters
    ----------
    id : BackendServerId
        Usually identifies one start of the server; an id may be reused.
    service : ServiceName
        The service that the server belongs to.
    address : tuple of (str, int)
        IP address and port.
    failure_domain : FailureDomain
        The failure domain that the server runs in.
    release : ReleaseName
        Software release of the server, which roll-outs change.
    slots : int
        Number of requests that the server processes concurrently.
    state : ServerState
        Whether the server accepts new requests.
    born : int
        Start time as Unix time in milliseconds; 0 if not reported.
    cold_left : float
        Seconds for which the server stays cold after it has written the entry.
    revision : Revision
        Revision of the store at which the server has written the entry.
    """

    id: BackendServerId
    service: ServiceName
    address: tuple[str, int]
    failure_domain: FailureDomain
    release: ReleaseName
    slots: int
    state: ServerState
    born: int = 0
    cold_left: float = 0.0
    revision: Revision = field(default=Revision(0), compare=False)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to roll a service out to another release.

    Parameters
    ----------
    service : ServiceName
        The service.
    target : ReleaseName
        The release to roll out.
    duration : float
        Time allowed for the roll-out, in seconds from the order.
    revision : int
        Store revision at which the order was written.
    """

    service: ServiceName
    target: ReleaseName
    duration: float
    revision: int
