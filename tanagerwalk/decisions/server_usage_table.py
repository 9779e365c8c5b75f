"""The backend servers that an instance knows, and what it records about each."""

import zlib

from ..ids import BackendServerId
from ..registry import ServerState
from .missing_servers import MissingServers
from .server_speeds import ServerSpeeds
from .server_usage import DECODE_TOKENS, ERROR_LIFETIME_S, PAUSING_ERRORS, ServerUsage

FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 4.0
# Reaches MAX_FAILURE_PAUSE_S; an unbounded exponent would overflow.
MAX_PAUSE_DOUBLINGS = 8
INITIAL_MEAN_WORK_TOKENS = 800.0
WORK_SMOOTHING = 0.05


class ServerUsageTable:
    """The registered backend servers and this instance's usage of each.

    Attributes
    ----------
    speeds : ServerSpeeds
        Learns how long work takes on each server.
    mean_work : float
        Mean cost of a request for an engine, in tokens.
    mean_decode : float
        The part of it that token generation causes, in tokens.
    on_kept_off : callable
        Takes the id of a server that gets no more requests, for a while or for good.
    evacuated : frozenset of FailureDomain
        Failure domains whose servers get no requests; see `set_evacuated`.
    on_evacuation_end : callable
        Takes the frozenset of failure domains whose evacuation has just ended.
    """

    def __init__(self):
        self.speeds = ServerSpeeds()
        self.on_kept_off = _ignore
        self.evacuated = frozenset()
        self.on_evacuation_end = _ignore
        self._usages: dict[BackendServerId, ServerUsage] = {}
        self._usages_by_life = {}
        self._missing = MissingServers()
        self.mean_work = INITIAL_MEAN_WORK_TOKENS
        self.mean_decode = DECODE_TOKENS

    def replace_servers(self, servers):
        """Replace the list of registered servers.

        Parameters
        ----------
        servers : iterable of RegisteredServer
            The complete list.

        Returns
        -------
        list of RegisteredServer
            Servers that were removed or have been restarted.
        """
        listed = {server.id: server for server in servers}
        gone = []
        for server_id, usage in list(self._usages.items()):
            entry = listed.get(server_id)
            if entry is None or not _is_same_start(entry, usage.server):
                gone.append(usage.server)
                del self._usages[server_id]
                self._keep_missing(usage)
        for server in listed.values():
            usage = self._usages.get(server.id)
            if usage is None:
                usage = self._missing.restore(hash_life(server), server)
                self._usages[server.id] = usage
                continue
            # An older copy of the store may list it as ready again.
            was_draining = usage.server.state is ServerState.DRAINING
            usage.is_leaving = usage.is_leaving or was_draining
            usage.server = server
            if server.state is ServerState.DRAINING and not was_draining:
                self.on_kept_off(server.id)
        self._usages_by_life = {
            hash_life(usage.server): usage for usage in self._usages.values()
        }
        self._mark_evacuated()
        self._update_speeds()
        return gone

    def set_evacuated(self, failure_domains):
        """Set the failure domains whose servers get no requests.

        Parameters
        ----------
        failure_domains : frozenset of FailureDomain
            All of them; ones without servers may be among them.
        """
        ended = self.evacuated - failure_domains
        self.evacuated = failure_domains
        self._mark_evacuated()
        if ended:
            self.on_evacuation_end(ended)

    def _mark_evacuated(self):
        for usage in self._usages.values():
            was_evacuated = usage.is_evacuated
            usage.is_evacuated = usage.server.failure_domain in self.evacuated
            if usage.is_evacuated and not was_evacuated:
                self.on_kept_off(usage.server.id)

    def _update_speeds(self):
        lives_by_service = {}
        for life, usage in self._usages_by_life.items():
            lives_by_service.setdefault(usage.server.service, []).append(life)
        self.speeds.set_servers(lives_by_service)

    def _keep_missing(self, usage):
        """Remember what a server said whose entry is gone.

        Returns
        -------
        list of int
            The `hash_life` of servers that are forgotten for it.
        """
        was_draining = usage.server.state is ServerState.DRAINING
        usage.is_leaving = usage.is_leaving or was_draining
        return self._missing.keep(hash_life(usage.server), usage)

    def find(self, server_id):
        """Return the ServerUsage of a server, or None if it is unknown."""
        return self._usages.get(server_id)

    def find_life(self, life):
        """Return the ServerUsage of a server by its `hash_life`, or None."""
        return self._usages_by_life.get(life)

    def list_services(self):
        """Return the services that have servers."""
        return {usage.server.service for usage in self._usages.values()}

    def list_servers(self):
        """Return all servers that are registered."""
        return [usage.server for usage in self._usages.values()]

    def list_lives(self, service):
        """Return the `hash_life` of each server of a service."""
        return [
            life
            for life, usage in self._usages_by_life.items()
            if usage.server.service == service
        ]

    def list_usages(self, service):
        """Return the ServerUsage of each server of a service."""
        return [
            usage for usage in self._usages.values() if usage.server.service == service
        ]

    def list_releases(self, service):
        """Return the releases that the servers of a service run."""
        return frozenset(usage.server.release for usage in self.list_usages(service))

    def has_server(self, service, is_allowed):
        """Return whether a service has a server that accepts requests.

        Parameters
        ----------
        service : ServiceName
            The service.
        is_allowed : callable
            Takes a RegisteredServer and returns whether it may be used.
        """
        return any(
            usage.accepts_requests and is_allowed(usage.server)
            for usage in self.list_usages(service)
        )

    def is_evacuated(self, service, is_allowed):
        """Return whether only evacuations keep a service without servers.

        Parameters
        ----------
        service : ServiceName
            The service.
        is_allowed : callable
            Takes a RegisteredServer and returns whether it may be used.
        """
        in_service = [
            usage
            for usage in self.list_usages(service)
            if usage.is_in_service and is_allowed(usage.server)
        ]
        return bool(in_service) and all(usage.is_evacuated for usage in in_service)

    def record_sent(self, server, work=None):
        """Record a request that is sent to a server.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        work : Work or None
            Cost of the request for an engine; the caller updates it later.
        """
        usage = self._usages.get(server.id)
        if usage is None:
            return
        usage.in_flight += 1
        if work is not None:
            usage.runs_models = True
            usage.work.append(work)
            weighted_work = 0.5 * work.prefill + work.decode
            self.mean_work += WORK_SMOOTHING * (weighted_work - self.mean_work)
            self.mean_decode += WORK_SMOOTHING * (work.decode - self.mean_decode)

    def record_ended(self, server, work=None):
        """Record the end of a request."""
        usage = self._usages.get(server.id)
        if usage is None:
            return
        usage.in_flight = max(0, usage.in_flight - 1)
        usage.work = [other for other in usage.work if other is not work]

    def record_answer(self, server, load, now):
        """Record an answer of a server and the load that it reports.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        load : EngineLoad or None
            Load that the server reports.
        now : float
            Monotonic time in seconds.
        """
        usage = self._usages.get(server.id)
        if usage is None:
            return
        usage.failures = 0
        usage.last_activity_at = now
        if load is not None:
            usage.other_requests = max(0, load.running + load.waiting - usage.in_flight)
            usage.reported_queue = load.waiting
            usage.reported_at = now
            self.speeds.record_report(hash_life(usage.server), load, now)

    def record_activity(self, server, now):
        """Record that a server has sent data."""
        usage = self._usages.get(server.id)
        if usage is not None:
            usage.last_activity_at = now

    def is_silent(self, server, now):
        """Return whether a server has requests, but has sent nothing for a while."""
        usage = self._usages.get(server.id)
        if usage is None:
            return False
        return usage.is_silent(now, self.find_reported_slowdown(server, now))

    def find_reported_slowdown(self, server, now):
        """Return how long work takes on a server by its own reports; 1.0 is usual."""
        return self.speeds.estimate_reported(hash_life(server), now)

    def record_failure(self, server, now):
        """Pause a server that failed; the pause doubles with each failure in a row."""
        usage = self._usages.get(server.id)
        if usage is None:
            return
        usage.failures += 1
        usage.failure_paused_until = now + compute_failure_pause(usage.failures)

    def record_error(self, server, now):
        """Record an error response; several in a row pause the server."""
        usage = self._usages.get(server.id)
        if usage is None:
            return
        if now - usage.last_error_at > ERROR_LIFETIME_S:
            usage.errors = 0
        usage.errors += 1
        usage.last_error_at = now
        if usage.errors >= PAUSING_ERRORS:
            pause = compute_failure_pause(usage.errors - PAUSING_ERRORS + 1)
            usage.error_paused_until = now + pause

    def record_success(self, server):
        """Record an answer that is no error."""
        usage = self._usages.get(server.id)
        if usage is not None:
            usage.errors = 0

    def end_pause(self, server):
        """Use a server again whose failures were those of the path to it."""
        usage = self._usages.get(server.id)
        if usage is not None:
            usage.failures = 0
            usage.failure_paused_until = float("-inf")

    def record_notice(self, server_id, notice, now):
        """Record what a server says about itself; it holds for its present life.

        Parameters
        ----------
        server_id : BackendServerId
            The server.
        notice : ServerNotice
            The notice.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the server is now known to leave, and was not before.
        """
        usage = self._usages.get(server_id) or self._missing.find(server_id)
        if usage is None:
            return False
        if notice.hold > 0.0:
            usage.held_until = max(usage.held_until, now + notice.hold)
        is_new = notice.is_leaving and not usage.is_leaving
        usage.is_leaving = usage.is_leaving or notice.is_leaving
        if is_new or notice.hold > 0.0:
            self.on_kept_off(server_id)
        return is_new

    def list_leaving(self):
        """Return the `hash_life` of each server that has said that it leaves."""
        return [
            hash_life(usage.server)
            for usage in self._usages.values()
            if usage.is_leaving
        ]

    def mark_leaving(self, lives):
        """Record servers that other instances report as leaving.

        Parameters
        ----------
        lives : collection of int
            The `hash_life` of each.

        Returns
        -------
        list of BackendServerId
            Servers that were not known to leave.
        """
        self._missing.mark_leaving(lives)
        found = [
            usage
            for usage in self._usages.values()
            if not usage.is_leaving and hash_life(usage.server) in lives
        ]
        for usage in found:
            usage.is_leaving = True
            self.on_kept_off(usage.server.id)
        return [usage.server.id for usage in found]

    def mark_address_reused(self, server):
        """Record that another server answers at the address of this one."""
        usage = self._usages.get(server.id)
        if usage is not None:
            usage.reused_at = usage.server.revision


def _ignore(what):
    del what


def hash_life(server):
    """Return a 32-bit key of one start of a server, for messages between instances."""
    return zlib.crc32(f"{server.id}|{server.born}".encode())


def compute_failure_pause(failures):
    """Return the seconds for which a server is paused after failures in a row.

    Parameters
    ----------
    failures : int
        Number of failures without an answer in between, at least 1.
    """
    doublings = min(failures - 1, MAX_PAUSE_DOUBLINGS)
    return min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2**doublings)


def _is_same_start(entry, known):
    return entry.born == known.born and entry.address == known.address
