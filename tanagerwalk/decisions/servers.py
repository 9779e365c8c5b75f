"""The table of backend servers and the selection of one for each attempt."""

import hashlib
from dataclasses import dataclass
from random import Random

from ..ids import BackendServerId, FailureDomain, Region
from .backends import (
    MIN_INITIAL_LIMIT,
    BackendServer,
    CapacityShare,
    FailureKind,
    LoadReport,
    ServerRecord,
    ServerRole,
)
from .leaving import LeavingTracker

__all__ = [
    "BackendServer",
    "FailureKind",
    "Home",
    "LoadReport",
    "ServerRecord",
    "ServerRole",
    "ServerTable",
]

REMOTE_DOMAIN_PENALTY = 0.1
REMOTE_REGION_PENALTY = 1.5
MAX_SERVERS_IN_USE = 32
MAX_SERVERS_WATCHED = 64


@dataclass(frozen=True, slots=True)
class Home:
    """Location and name of the instance that selects servers."""

    region: Region
    failure_domain: FailureDomain
    instance: str = ""


class ServerTable:
    """Tracks the backend servers and selects one for each attempt.

    Parameters
    ----------
    home : Home
        Location of this instance; nearer servers are preferred.
    limits : LimitSettings
        Concurrency bounds.
    load_stale_after : float
        Age in seconds above which a load report is ignored.
    """

    def __init__(self, home, limits, load_stale_after):
        self.home = home
        self.limits = limits
        self.load_stale_after = load_stale_after
        self.servers: dict[BackendServerId, BackendServer] = {}
        self.instance_count = 1
        self.leaving_tracker = LeavingTracker()
        self._listed: frozenset[BackendServerId] = frozenset()
        self._tiers = {}
        self._watched = None
        self._random = Random(home.instance)

    def update_records(self, records):
        """Replace the list of backend servers by the platform's current one.

        An incarnation that was once reported as leaving stays marked as leaving,
        even if an outdated list shows it as live again.

        Parameters
        ----------
        records : iterable of ServerRecord
            The complete list.
        """
        listed = {record.id: record for record in records}
        self._listed = frozenset(listed)
        for gone in self.servers.keys() - listed.keys():
            self._set_leaving(self.servers[gone], True)
            if self.servers[gone].in_flight == 0:
                del self.servers[gone]
                self._invalidate_tiers()
        for record in listed.values():
            self._update_record(record)

    def _update_record(self, record):
        server = self.servers.get(record.id)
        if server is None or server.record.incarnation != record.incarnation:
            server = BackendServer(record, self._make_initial_limit())
            self.servers[record.id] = server
            self._invalidate_tiers()
        if server.record != record:
            server.record = record
            self._invalidate_tiers()
        if record.leaving:
            self.leaving_tracker.record_confirmed(record.incarnation)
        self._set_leaving(server, self.leaving_tracker.is_leaving(record.incarnation))

    def _set_leaving(self, server, leaving):
        if server.leaving == leaving:
            return
        server.leaving = leaving
        self._invalidate_tiers()

    def _invalidate_tiers(self):
        self._tiers.clear()
        self._watched = None

    def mark_incarnation_leaving(self, incarnation):
        """Mark a server as leaving because a peer relayed it from the platform."""
        self.leaving_tracker.record_confirmed(incarnation)
        self._apply_leaving(incarnation)

    def infer_leaving(self, incarnation, until):
        """Treat a server as leaving until a monotonic time in seconds."""
        self.leaving_tracker.infer(incarnation, until)
        self._apply_leaving(incarnation)

    def suspect_leaving(self, incarnation, suspicion, now):
        """Record a suspicion; return whether the server now counts as leaving."""
        is_leaving = self.leaving_tracker.suspect(incarnation, suspicion, now)
        self._apply_leaving(incarnation)
        return is_leaving

    def expire_leaving(self, now):
        """Use a server again once the inference that it is leaving has expired."""
        self.leaving_tracker.expire(now)
        for server in self.servers.values():
            if server.record.id in self._listed:
                leaving = self.leaving_tracker.is_leaving(server.record.incarnation)
                self._set_leaving(server, leaving)

    def _apply_leaving(self, incarnation):
        if not self.leaving_tracker.is_leaving(incarnation):
            return
        for server in self.servers.values():
            if server.record.incarnation == incarnation:
                self._set_leaving(server, True)

    def list_leaving(self):
        """Return the incarnations that are confirmed or inferred to be leaving."""
        return self.leaving_tracker.list_leaving()

    def _make_initial_limit(self):
        # All instances discover a new server at the same time, so each starts with
        # its share of the initial limit.
        share = self.limits.initial_concurrency / self.instance_count
        return max(MIN_INITIAL_LIMIT, share)

    def update_load(self, server_id, report, now):
        """Apply a load report to the server's concurrency limits."""
        server = self.servers.get(server_id)
        if server is None:
            return
        if report.versions is not None and server.versions != report.versions:
            self._tiers.clear()
        reserve = self.limits.short_reserve
        share = CapacityShare(self.instance_count, reserve, self._random.random())
        server.apply_load_report(report, now, share)

    def forget_version(self, server_id, version):
        """Remove a version from a server until a report lists it as loaded again."""
        server = self.servers.get(server_id)
        if server is not None:
            server.versions -= {version}
            self._invalidate_tiers()

    def start(self, server_id, long, suspect=False):
        """Count an attempt that is about to be sent to a server."""
        server = self.servers[server_id]
        server.in_flight += 1
        server.long_in_flight += long
        server.suspects_in_flight += suspect

    def finish(self, server_id, incarnation, long, suspect=False):
        """Count the end of an attempt, whatever its outcome."""
        server = self.servers.get(server_id)
        if server is None or server.record.incarnation != incarnation:
            return
        server.in_flight -= 1
        server.long_in_flight -= long
        server.suspects_in_flight -= suspect
        if min(server.in_flight, server.long_in_flight, server.suspects_in_flight) < 0:
            raise AssertionError(
                f"server {server_id} finished more attempts than it started"
            )

    def _find(self, server_id, incarnation):
        """Return a server, or None if it is gone or runs another incarnation."""
        server = self.servers.get(server_id)
        if server is None or incarnation in (None, server.record.incarnation):
            return server
        return None

    def record_success(self, server_id, now=0.0, ratio=1.0, incarnation=None):
        """Record a successful attempt and raise the limit of a well-used server.

        Parameters
        ----------
        server_id : BackendServerId
            The server.
        now : float
            Monotonic time in seconds.
        ratio : float
            Actual duration of the attempt divided by the expected one.
        incarnation : Incarnation or None
            The incarnation that answered; None for the current one.
        """
        server = self._find(server_id, incarnation)
        if server is None:
            return
        self.leaving_tracker.clear_suspicion(server.record.incarnation)
        server.record_success(now, ratio)
        server.raise_limit(float(self.limits.max_concurrency))

    def record_failure(self, server_id, now, kind, retry_after=None, incarnation=None):
        """Record a failed attempt; see `BackendServer.record_failure`.

        A late failure of an earlier `incarnation` is ignored: it says nothing about
        the one that replaced it.
        """
        server = self._find(server_id, incarnation)
        if server is not None:
            server.record_failure(now, kind, retry_after)

    def list_serving(self, version=None, service=None):
        """Return the candidate servers of a version or service, local region first."""
        tiers = self._list_tiers(version, service)
        return [server for tier in tiers for server in tier if not server.leaving]

    def _list_tiers(self, version, service):
        """Return the candidate servers in the local region and in other regions.

        An instance uses a bounded number of servers for each version or service.
        Rendezvous hashing spreads the selection over the instances, so that every
        server is used and a change of the list moves few assignments.
        """
        tiers = self._tiers.get((version, service))
        if tiers is not None:
            return tiers
        eligible = [
            server
            for server in self.servers.values()
            if not server.leaving and server.serves(version, service)
        ]
        eligible.sort(key=self._rank)
        local = [s for s in eligible if s.record.region == self.home.region]
        remote = [s for s in eligible if s.record.region != self.home.region]
        tiers = (local[:MAX_SERVERS_IN_USE], remote[:MAX_SERVERS_IN_USE])
        self._tiers[(version, service)] = tiers
        return tiers

    def list_watched(self):
        """Return the ids of the servers whose load this instance scrapes frequently.

        Servers are grouped by role, service and whether they are in the local region.
        Of each group, these are the first `MAX_SERVERS_WATCHED` in the order in which
        this instance prefers them.
        """
        if self._watched is None:
            groups = {}
            for server in sorted(self.servers.values(), key=self._rank):
                is_remote = server.record.region != self.home.region
                group = (server.record.role, server.record.service, is_remote)
                groups.setdefault(group, []).append(server.record.id)
            watched = (ids[:MAX_SERVERS_WATCHED] for ids in groups.values())
            self._watched = frozenset(name for ids in watched for name in ids)
        return self._watched

    def _rank(self, server):
        is_other_domain = server.record.failure_domain != self.home.failure_domain
        name = f"{self.home.instance}/{server.record.id}".encode()
        return is_other_domain, hashlib.blake2b(name, digest_size=8).digest()

    def choose(
        self,
        now,
        *,
        version=None,
        service=None,
        long=False,
        exclude=(),
        suspect=False,
        allow_remote=True,
    ):
        """Select the server for the next attempt.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        version : VersionName or None
            The version that must be loaded.
        service : ServiceName or None
            The service that the server must offer.
        long : bool
            Whether the attempt belongs to a long class, which leaves reserved
            capacity to short classes.
        exclude : collection of BackendServerId
            Servers that must not be selected.
        suspect : bool
            Whether the request was in flight during a server crash. A server runs
            at most one such request at a time.
        allow_remote : bool
            Whether other regions may be used while the local one is only busy.

        Returns
        -------
        BackendServer or None
            None if no eligible server has free capacity.
        """
        local, remote = self._list_tiers(version, service)
        usable = [s for s in local if _is_usable(s, now, exclude)]
        best, score = self._choose_best(usable, now, long, suspect)
        if score < REMOTE_REGION_PENALTY:
            return best
        if best is None and usable and not allow_remote:
            return None
        usable = [s for s in remote if _is_usable(s, now, exclude)]
        other, other_score = self._choose_best(usable, now, long, suspect)
        return other if other_score + REMOTE_REGION_PENALTY < score else best

    def _choose_best(self, servers, now, long, suspect):
        best = None
        best_score = float("inf")
        reserve = self.limits.short_reserve
        for server in servers:
            if suspect and server.suspects_in_flight:
                continue
            if not server.has_capacity(now, long, reserve, self.load_stale_after):
                continue
            score = server.score(now, self.load_stale_after)
            if server.record.failure_domain != self.home.failure_domain:
                score += REMOTE_DOMAIN_PENALTY
            if score < best_score:
                best, best_score = server, score
        return best, best_score


def _is_usable(server, now, exclude):
    if server.leaving or server.paused_until > now:
        return False
    return server.record.id not in exclude
