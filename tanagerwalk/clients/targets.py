"""Client of the platform's list of instances, as Prometheus HTTP discovery JSON."""

from dataclasses import dataclass

import aiohttp
import msgspec
from expression import Error, Ok

from ..decisions.servers import ServerRecord, ServerRole
from ..ids import (
    BackendServerId,
    FailureDomain,
    Incarnation,
    InstanceId,
    Region,
    ServiceName,
)

ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"
OK_STATUS = 200
NOT_MODIFIED_STATUS = 304
FENCING_CHECKED = "checked"


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """One entry instance as the platform lists it; `address` is of its peer port."""

    id: InstanceId
    address: str
    region: Region
    failure_domain: FailureDomain
    incarnation: Incarnation
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The platform's list: backend servers and entry instances."""

    servers: tuple[ServerRecord, ...]
    peers: tuple[PeerRecord, ...]


class _TargetGroup(msgspec.Struct, frozen=True):
    targets: list[str]
    labels: dict[str, str]


class TargetsClient:
    """Reads the list of live and leaving instances.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session to call with.
    url : str
        Address of the list.
    timeout : float
        Time limit in seconds.
    """

    def __init__(self, http, url, timeout):
        self._http = http
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._last_list = None
        self._last_etag = None

    async def read(self):
        """Read the list.

        A list that has not changed since the last reading is not sent again, if
        the platform supports entity tags.

        Returns
        -------
        Result of InstanceList, or of str
            The error is one line for the log.
        """
        headers = {"If-None-Match": self._last_etag} if self._last_etag else {}
        try:
            async with self._http.get(
                self._url, headers=headers, timeout=self._timeout
            ) as response:
                if (
                    response.status == NOT_MODIFIED_STATUS
                    and self._last_list is not None
                ):
                    return Ok(self._last_list)
                content = await response.read()
                if response.status != OK_STATUS:
                    return Error(f"instance list answered {response.status}")
                groups = msgspec.json.decode(content, type=list[_TargetGroup])
                self._last_list = _build_list(groups)
                self._last_etag = response.headers.get("ETag")
                return Ok(self._last_list)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Error(f"instance list: {type(error).__name__}")
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return Error(f"instance list is malformed: {error}")


def _build_list(groups):
    servers = []
    peers = []
    for group in groups:
        for address in group.targets:
            if group.labels["role"] == ENTRY_ROLE:
                peers.append(_read_peer(address, group.labels))
            else:
                servers.append(_read_server(address, group.labels))
    return InstanceList(tuple(servers), tuple(peers))


def _read_peer(address, labels):
    return PeerRecord(
        id=InstanceId(labels["id"]),
        address=address,
        region=Region(labels["region"]),
        failure_domain=FailureDomain(labels["failure_domain"]),
        incarnation=Incarnation(labels["incarnation"]),
        leaving=labels.get("state") == LEAVING_STATE,
    )


def _read_server(address, labels):
    service = labels.get("service")
    return ServerRecord(
        id=BackendServerId(labels["id"]),
        address=address,
        role=ServerRole(labels["role"]),
        region=Region(labels["region"]),
        failure_domain=FailureDomain(labels["failure_domain"]),
        incarnation=Incarnation(labels["incarnation"]),
        service=ServiceName(service) if service else None,
        leaving=labels.get("state") == LEAVING_STATE,
        checks_fencing=labels.get("fencing") == FENCING_CHECKED,
    )
