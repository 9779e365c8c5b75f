"""The table of backend servers, and which of them takes an attempt."""

from dataclasses import dataclass
from enum import Enum

from ..ids import (
    BackendServerId,
    FailureDomain,
    Incarnation,
    Region,
    ServiceName,
    VersionName,
)
from .leaving import LeavingBook

LIMIT_DECREASE = 0.8
MIN_LIMIT = 1.0
FAILURE_PAUSE_S = 1.0
MAX_FAILURE_PAUSE_S = 30.0
DISTANT_DOMAIN_PENALTY = 0.1
DISTANT_REGION_PENALTY = 1.0


class ServerRole(Enum):
    """What a backend server is."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One backend server as the platform lists it."""

    id: BackendServerId
    address: str
    role: ServerRole
    region: Region
    failure_domain: FailureDomain
    incarnation: Incarnation
    service: ServiceName | None = None
    leaving: bool = False
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server published of itself."""

    running: int = 0
    waiting: int = 0
    versions: frozenset[VersionName] = frozenset()
    slots: int = 0


@dataclass(slots=True)
class BackendServer:
    """A backend server with what this instance has learned of it."""

    record: ServerRecord
    limit: float
    in_flight: int = 0
    long_in_flight: int = 0
    load: LoadReport = LoadReport()
    load_at: float = float("-inf")
    own_at_load: int = 0
    leaving: bool = False
    paused_until: float = float("-inf")
    failures: int = 0
    versions: frozenset[VersionName] = frozenset()


@dataclass(frozen=True, slots=True)
class Home:
    """Where the choosing instance stands."""

    region: Region
    failure_domain: FailureDomain


class ServerTable:
    """Knows the backend servers and chooses one for each attempt.

    Parameters
    ----------
    home : Home
        Where this instance stands; nearer servers are preferred.
    limits : LimitSettings
        Concurrency bounds.
    load_stale_after : float
        Seconds after which a load report counts for nothing.
    """

    def __init__(self, home, limits, load_stale_after):
        self.home = home
        self.limits = limits
        self.load_stale_after = load_stale_after
        self.servers: dict[BackendServerId, BackendServer] = {}
        self.departures = LeavingBook()
        self._listed: frozenset[BackendServerId] = frozenset()

    def update_records(self, records):
        """Take the platform's list of backend servers.

        A server that was seen leaving stays so for its incarnation, whatever a
        lagging list says.

        Parameters
        ----------
        records : iterable of ServerRecord
            The whole list.
        """
        listed = {record.id: record for record in records}
        self._listed = frozenset(listed)
        for gone in self.servers.keys() - listed.keys():
            self.servers[gone].leaving = True
            if self.servers[gone].in_flight == 0:
                del self.servers[gone]
        for record in listed.values():
            self._update_record(record)

    def _update_record(self, record):
        server = self.servers.get(record.id)
        if server is None or server.record.incarnation != record.incarnation:
            server = BackendServer(record, float(self.limits.initial_concurrency))
            self.servers[record.id] = server
        server.record = record
        if record.leaving:
            self.departures.note_listed(record.incarnation)
        server.leaving = self.departures.is_leaving(record.incarnation)

    def mark_incarnation_leaving(self, incarnation):
        """Note the platform's word, through a peer, that a server is leaving."""
        self.departures.note_listed(incarnation)
        self._follow_departure(incarnation)

    def infer_leaving(self, incarnation, until):
        """Take a server for leaving until a monotonic time in seconds."""
        self.departures.infer(incarnation, until)
        self._follow_departure(incarnation)

    def suspect_leaving(self, incarnation, suspicion, now):
        """Weigh a suspicion; return whether the server is taken for leaving."""
        is_leaving = self.departures.suspect(incarnation, suspicion, now)
        self._follow_departure(incarnation)
        return is_leaving

    def expire_leaving(self, now):
        """Give a server that was only taken for leaving another chance in time."""
        self.departures.expire(now)
        for server in self.servers.values():
            if server.record.id in self._listed:
                server.leaving = self.departures.is_leaving(server.record.incarnation)

    def _follow_departure(self, incarnation):
        if not self.departures.is_leaving(incarnation):
            return
        for server in self.servers.values():
            if server.record.incarnation == incarnation:
                server.leaving = True

    def list_leaving(self):
        """Return the incarnations that are known to be leaving."""
        return self.departures.list_leaving()

    def update_load(self, server_id, report, now):
        """Take a load report and adapt the server's concurrency limit."""
        server = self.servers.get(server_id)
        if server is None:
            return
        server.load = report
        server.load_at = now
        server.own_at_load = server.in_flight
        server.versions = report.versions
        if report.waiting > 0 and server.in_flight > 0:
            self._lower_limit(server)

    def start(self, server_id, long):
        """Count an attempt that is about to go to a server."""
        server = self.servers[server_id]
        server.in_flight += 1
        server.long_in_flight += long

    def finish(self, server_id, incarnation, long):
        """Count the end of an attempt, whatever its outcome."""
        server = self.servers.get(server_id)
        if server is None or server.record.incarnation != incarnation:
            return
        server.in_flight -= 1
        server.long_in_flight -= long
        if server.in_flight < 0 or server.long_in_flight < 0:
            raise AssertionError(f"server {server_id} finished more than it started")

    def record_success(self, server_id):
        """Raise the limit of a server that answered while it was well used."""
        server = self.servers.get(server_id)
        if server is None:
            return
        server.failures = 0
        self.departures.clear_suspicion(server.record.incarnation)
        if server.in_flight * 2 >= server.limit:
            grown = server.limit + 1.0 / server.limit
            server.limit = min(grown, float(self.limits.max_concurrency))

    def record_failure(self, server_id, now, overloaded, retry_after=None):
        """Lower the limit of a server that failed, and leave it alone for a while.

        Parameters
        ----------
        server_id : BackendServerId
            The server.
        now : float
            Monotonic time in seconds.
        overloaded : bool
            Whether the server refused for want of room, rather than failed.
        retry_after : float or None
            Seconds that the server asked to wait.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        self._lower_limit(server)
        if not overloaded:
            server.failures += 1
        pause = FAILURE_PAUSE_S * 2 ** max(0, server.failures - 1)
        pause = max(min(pause, MAX_FAILURE_PAUSE_S), retry_after or 0.0)
        server.paused_until = now + pause

    def forget_version(self, server_id, version):
        """Note that a server refused a version that it reported earlier."""
        server = self.servers.get(server_id)
        if server is not None:
            server.versions -= {version}

    def _lower_limit(self, server):
        server.limit = max(MIN_LIMIT, server.limit * LIMIT_DECREASE)

    def list_serving(self, version=None, service=None):
        """Return the servers that are not leaving and serve a version or service."""
        return [
            server
            for server in self.servers.values()
            if not server.leaving and _serves(server, version, service)
        ]

    def choose(self, now, *, version=None, service=None, long=False, exclude=()):
        """Choose the server for the next attempt.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        version : VersionName or None
            The version that must be loaded.
        service : ServiceName or None
            The plain service that must be offered.
        long : bool
            Whether the attempt belongs to a long class, which leaves room to others.
        exclude : collection of BackendServerId
            Servers that may not be chosen.

        Returns
        -------
        BackendServer or None
            None if no eligible server has room now.
        """
        best = None
        best_score = float("inf")
        for server in self.list_serving(version, service):
            if server.record.id in exclude or server.paused_until > now:
                continue
            if not self._has_room(server, long):
                continue
            score = self._score(server, now)
            if score < best_score:
                best, best_score = server, score
        return best

    def _has_room(self, server, long):
        if server.in_flight >= max(MIN_LIMIT, int(server.limit)):
            return False
        if not long:
            return True
        room = int(server.limit * (1.0 - self.limits.short_reserve))
        return server.long_in_flight < max(1, room)

    def _score(self, server, now):
        others = 0
        if now - server.load_at <= self.load_stale_after:
            reported = server.load.running + server.load.waiting
            others = max(0, reported - server.own_at_load)
        busy = (server.in_flight + others) / max(MIN_LIMIT, server.limit)
        return busy + self._penalize_distance(server.record)

    def _penalize_distance(self, record):
        if record.region != self.home.region:
            return DISTANT_REGION_PENALTY
        if record.failure_domain != self.home.failure_domain:
            return DISTANT_DOMAIN_PENALTY
        return 0.0


def _serves(server, version, service):
    if service is not None:
        return server.record.service == service
    return version in server.versions
