"""Selection of the backend server for a request."""

import zlib

from ..ids import BackendServerId
from .paths import PathState
from .server_usage import ServerUsage
from .shared_loads import SharedLoad

FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 4.0
# Reaches MAX_FAILURE_PAUSE_S; an unbounded exponent would overflow.
MAX_PAUSE_DOUBLINGS = 8
INITIAL_MEAN_WORK_TOKENS = 800.0
WORK_SMOOTHING = 0.05
# The cost of load is linear plus quadratic: a short wait does not exceed a latency
# objective, a long one does.
LINEAR_LOAD_WEIGHT = 1.0
SAMPLING_THRESHOLD = 12
SAMPLE_SIZE = 3


class ServerPool:
    """All backend servers and what this instance knows about their usage.

    Parameters
    ----------
    home : Home
        Location of this instance.
    shared : SharedLoadTable
        Loads reported by the other instances.
    paths : PathTable
        Tells which servers can't be reached at present.
    random : random.Random
        Breaks ties and samples the candidates in a large fleet.
    """

    def __init__(self, home, shared, paths, random):
        self._home = home
        self._shared = shared
        self._paths = paths
        self._random = random
        self._usages: dict[BackendServerId, ServerUsage] = {}
        self._mean_work = INITIAL_MEAN_WORK_TOKENS
        self._possibly_leaving = frozenset()

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
        for server in listed.values():
            usage = self._usages.get(server.id)
            if usage is None:
                self._usages[server.id] = ServerUsage(server)
            else:
                usage.server = server
        return gone

    def set_possibly_leaving(self, server_ids):
        """Set the servers that may be leaving; they are used only as a last resort.

        Parameters
        ----------
        server_ids : collection of BackendServerId
            Ids of all such servers.
        """
        self._possibly_leaving = frozenset(server_ids)

    def find(self, server_id):
        """Return the ServerUsage of a server, or None if it is unknown."""
        return self._usages.get(server_id)

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

    def find_hold(self, service, now, is_allowed):
        """Return the seconds until a server of a service takes requests again.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Monotonic time in seconds.
        is_allowed : callable
            Takes a RegisteredServer and returns whether it may be used.

        Returns
        -------
        float
            0 if a server takes requests, or if none exists that will.
        """
        holds = [
            max(0.0, usage.held_until - now)
            for usage in self.list_usages(service)
            if usage.accepts_requests and is_allowed(usage.server)
        ]
        return min(holds, default=0.0)

    def estimate_wait(self, service, now, is_allowed=None):
        """Return the estimated wait at the least loaded server, in seconds.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Monotonic time in seconds.
        is_allowed : callable or None
            Takes a RegisteredServer and returns whether it may be used.
        """
        loads = [
            self._estimate_load(usage, now)
            for usage in self.list_usages(service)
            if usage.accepts_requests
            and usage.paused_until <= now
            and usage.held_until <= now
            and not self._paths.is_unreachable(usage.server.id)
            and (is_allowed is None or is_allowed(usage.server))
        ]
        return min(loads, default=0.0)

    def choose(self, service, now, tried=frozenset(), is_allowed=None, affinity=None):
        """Select the best server for a request, or None if there is none.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Monotonic time in seconds.
        tried : set of BackendServerId
            Servers that have already failed this request; they are not selected.
        is_allowed : callable or None
            Takes a RegisteredServer and returns whether it may be used.
        affinity : PromptAffinity or None
            Costs of the request that depend on the server.

        Returns
        -------
        RegisteredServer or None
        """
        ready = [
            usage
            for usage in self.list_usages(service)
            if usage.accepts_requests
            and usage.held_until <= now
            and not self._paths.is_unreachable(usage.server.id)
            and usage.server.id not in tried
            and (is_allowed is None or is_allowed(usage.server))
        ]
        if not ready:
            return None
        ready = [
            usage for usage in ready if usage.server.id not in self._possibly_leaving
        ] or ready
        ready = [usage for usage in ready if usage.has_room(now)] or ready
        if len(ready) > SAMPLING_THRESHOLD:
            ready = self._sample_candidates(ready, affinity)
        # If all servers are paused, try the one whose pause ends first.
        unpaused = [usage for usage in ready if usage.paused_until <= now]
        if not unpaused:
            return min(ready, key=lambda usage: usage.paused_until).server
        if affinity is None:
            return min(unpaused, key=lambda usage: self._score(usage, now)).server
        preferred = _find_preferred(ready, affinity)
        return min(
            unpaused,
            key=lambda usage: self._score_with_affinity(
                usage, now, affinity, preferred
            ),
        ).server

    def _sample_candidates(self, usages, affinity):
        """Return a random sample of servers plus the one preferred by affinity.

        In a large fleet, load data is about a second old. If all instances selected
        the server that looks best, they would overload it together.
        """
        candidates = self._random.sample(usages, SAMPLE_SIZE)
        near = [
            usage
            for usage in usages
            if self._home.is_same_region(usage.server.failure_domain)
        ]
        candidates += self._random.sample(near, min(len(near), SAMPLE_SIZE))
        if affinity is not None:
            preferred = _find_preferred(near or usages, affinity)
            if preferred is not None:
                candidates.append(preferred)
        return candidates

    def _score(self, usage, now):
        distance = self._home.estimate_distance_cost(usage.server.failure_domain)
        return self._estimate_load(usage, now) + distance, self._random.random()

    def _score_with_affinity(self, usage, now, affinity, preferred):
        load = self._estimate_load(usage, now)
        cost = LINEAR_LOAD_WEIGHT * load + load * load
        if usage is not preferred:
            cost += affinity.cache_miss_cost
        if not self._home.is_same_region(usage.server.failure_domain):
            cost += affinity.remote_cost
        return cost, self._random.random()

    def _estimate_load(self, usage, now):
        shared = self._shared.sum(usage.server.id, now)
        return usage.estimate_load(now, shared, self._mean_work)

    def list_own_loads(self, now):
        """Return the SharedLoad that this instance causes on each server, by id."""
        return {
            server_id: SharedLoad(
                usage.in_flight,
                sum(work.total for work in usage.work),
                usage.measure_silence(now),
                now - usage.last_activity_at,
            )
            for server_id, usage in self._usages.items()
            if usage.in_flight or now - usage.last_activity_at <= self._shared.period
        }

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
            self._mean_work += WORK_SMOOTHING * (weighted_work - self._mean_work)

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
        load : tuple of (int, int, int) or None
            Running requests, waiting requests and slots.
        now : float
            Monotonic time in seconds.
        """
        usage = self._usages.get(server.id)
        if usage is None:
            return
        usage.failures = 0
        usage.last_activity_at = now
        if load is not None:
            usage.other_requests = max(0, load[0] + load[1] - usage.in_flight)
            usage.reported_queue = load[1]
            usage.reported_at = now

    def record_activity(self, server, now):
        """Record that a server has sent data."""
        usage = self._usages.get(server.id)
        if usage is not None:
            usage.last_activity_at = now

    def has_sent_since(self, server, since):
        """Return whether a server has sent data to any instance since a time.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        since : float
            Monotonic time in seconds. Reports of other instances arrive later, so
            they are compared to an earlier time.
        """
        usage = self._usages.get(server.id)
        if usage is None:
            return False
        reported_since = since - self._shared.delay
        return usage.last_activity_at >= since or (
            self._shared.find_last_activity(server.id) >= reported_since
        )

    def is_worth_waiting_for(self, server, since, now, is_direct=True):
        """Return whether an answer that is overdue may still come.

        A server that sends to others while it has a queue answers later. One without
        a queue has dropped the request. Over a direct path that is lost, nothing comes
        whatever the server does.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        since, now : float
            Monotonic times in seconds: from when to look for data, and the present.
        is_direct : bool
            Whether the request was sent over a direct connection.
        """
        is_lost = self._paths.get_state(server.id) is not PathState.DIRECT
        if is_direct and is_lost:
            return False
        usage = self._usages.get(server.id)
        if usage is None or not self.has_sent_since(server, since):
            return False
        return usage.may_have_queue(now, self._shared.sum(server.id, now))

    def record_failure(self, server, now):
        """Pause a server that failed; the pause doubles with each failure in a row."""
        usage = self._usages.get(server.id)
        if usage is None:
            return
        usage.failures += 1
        usage.paused_until = now + compute_failure_pause(usage.failures)

    def end_pause(self, server):
        """Use a server again whose failures were those of the path to it."""
        usage = self._usages.get(server.id)
        if usage is not None:
            usage.failures = 0
            usage.paused_until = float("-inf")

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
        usage = self._usages.get(server_id)
        if usage is None:
            return False
        if notice.hold > 0.0:
            usage.held_until = max(usage.held_until, now + notice.hold)
        is_new = notice.is_leaving and not usage.is_leaving
        usage.is_leaving = usage.is_leaving or notice.is_leaving
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
        found = [
            usage
            for usage in self._usages.values()
            if not usage.is_leaving and hash_life(usage.server) in lives
        ]
        for usage in found:
            usage.is_leaving = True
        return [usage.server.id for usage in found]

    def mark_address_reused(self, server):
        """Record that another server answers at the address of this one."""
        usage = self._usages.get(server.id)
        if usage is not None:
            usage.address_reused = True


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


def _find_preferred(usages, affinity):
    """Return the server that all instances prefer for a shared part, or None."""
    if not affinity.key:
        return None
    return max(usages, key=lambda usage: affinity.rank_server(usage.server.id))


def _is_same_start(entry, known):
    return entry.born == known.born and entry.address == known.address
