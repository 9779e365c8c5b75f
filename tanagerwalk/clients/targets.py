"""Client for the platform's instance list, in Prometheus HTTP discovery format."""

from dataclasses import dataclass

import aiohttp
import msgspec
import structlog
from expression import Error, Ok

from ..addresses import is_connectable, parse_address
from ..decisions.servers import ServerRecord, ServerRole
from ..documents import decode_json
from ..ids import (
    BackendServerId,
    FailureDomain,
    Incarnation,
    InstanceId,
    Region,
    ServiceName,
)
from .http import read_body

log = structlog.get_logger(__name__)

# Characters of a foreign text that go into a log line.
MAX_LOGGED = 80
ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"
OK_STATUS = 200
NOT_MODIFIED_STATUS = 304
FENCING_CHECKED = "checked"


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Entry instance in the platform's list; `address` has its peer port."""

    id: InstanceId
    address: str
    region: Region
    failure_domain: FailureDomain
    incarnation: Incarnation
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class InstanceList:
    """Backend servers and entry instances that the platform lists."""

    servers: tuple[ServerRecord, ...]
    peers: tuple[PeerRecord, ...]


class _TargetGroup(msgspec.Struct, frozen=True):
    targets: list[str]
    labels: dict[str, str]


class TargetsClient:
    """Reads the list of running and leaving instances.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session used for all calls.
    url : str
        URL of the list.
    timeout : float
        Timeout in seconds.
    """

    def __init__(self, http, url, timeout):
        self._http = http
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._last_list = None
        self._last_etag = None

    async def read(self):
        """Read the list.

        If the platform supports entity tags, an unchanged list is not transferred
        again.

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
                content = await read_body(response)
                if response.status != OK_STATUS:
                    return Error(
                        f"instance list returned HTTP status {response.status}"
                    )
                groups = decode_json(content, list[_TargetGroup])
                if groups.is_error():
                    return Error(f"instance list is malformed: {groups.error}")
                self._last_list = _build_list(groups.ok)
                self._last_etag = response.headers.get("ETag")
                return Ok(self._last_list)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Error(f"instance list request failed: {type(error).__name__}")
        except (KeyError, ValueError) as error:
            return Error(f"instance list is malformed: {error}")


def _build_list(groups):
    servers = []
    peers = []
    for group in groups:
        for address in filter(_is_usable, group.targets):
            if group.labels["role"] == ENTRY_ROLE:
                peers.append(_read_peer(address, group.labels))
            else:
                servers.append(_read_server(address, group.labels))
    return InstanceList(tuple(servers), tuple(peers))


def _is_usable(address):
    parsed = parse_address(address)
    if parsed is not None and is_connectable(parsed):
        return True
    log.warning("target without an address", address=address[:MAX_LOGGED])
    return False


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
