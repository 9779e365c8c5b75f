"""Which backend server a request is sent to."""

from dataclasses import dataclass, field

from ..ids import BackendServerId, FailureDomain, Region
from ..registry import ServerState
from .sharing import SharedLoad
from .uses import ServerUse

FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 4.0
REMOTE_DOMAIN_COST = 0.02
REMOTE_REGION_COST = 0.15
USUAL_WORK_TOKENS = 800.0
WORK_SMOOTHING = 0.05
# A short wait delays nobody beyond an objective; a long one does.
LIGHT_LOAD_WEIGHT = 1.0
MANY_SERVERS = 12
DRAWN_SERVERS = 3


@dataclass(frozen=True, slots=True)
class Home:
    """Where this instance stands, and which region each failure domain is in."""

    failure_domain: FailureDomain
    region: Region
    regions: dict[FailureDomain, Region] = field(default_factory=dict)

    def is_near(self, failure_domain):
        """Return whether a failure domain is in this instance's region."""
        return self.regions.get(failure_domain) == self.region

    def rate_distance(self, failure_domain):
        """Return what it costs to send to a failure domain, as load for each slot."""
        if failure_domain == self.failure_domain:
            return 0.0
        if self.is_near(failure_domain):
            return REMOTE_DOMAIN_COST
        return REMOTE_REGION_COST


class ServerPool:
    """All backend servers with their use by this instance.

    Parameters
    ----------
    home : Home
        Where this instance stands.
    shared : SharedLoads
        Loads of the other instances.
    random : random.Random
        Breaks ties.
    """

    def __init__(self, home, shared, random):
        self._home = home
        self._shared = shared
        self._random = random
        self._uses: dict[BackendServerId, ServerUse] = {}
        self._usual_work = USUAL_WORK_TOKENS
        self._doubtful = frozenset()

    def replace_all(self, servers):
        """Take a new list of the registered servers.

        Parameters
        ----------
        servers : iterable of RegisteredServer
            All of them.

        Returns
        -------
        list of RegisteredServer
            Those that are no longer there or were started anew.
        """
        listed = {server.id: server for server in servers}
        gone = []
        for server_id, use in list(self._uses.items()):
            entry = listed.get(server_id)
            if entry is None or not _is_same_start(entry, use.server):
                gone.append(use.server)
                del self._uses[server_id]
        for server in listed.values():
            use = self._uses.get(server.id)
            if use is None:
                self._uses[server.id] = ServerUse(server)
            else:
                use.server = server
        return gone

    def take_doubtful(self, server_ids):
        """Note the servers that may have left; they are used only for want of others.

        Parameters
        ----------
        server_ids : collection of BackendServerId
            All of them.
        """
        self._doubtful = frozenset(server_ids)

    def find(self, server_id):
        """Return the ServerUse of a server, or None."""
        return self._uses.get(server_id)

    def list_uses(self, service):
        """Return the ServerUse of each server of a service."""
        return [use for use in self._uses.values() if use.server.service == service]

    def list_releases(self, service):
        """Return the releases that the servers of a service run."""
        return frozenset(use.server.release for use in self.list_uses(service))

    def has_server(self, service, is_allowed):
        """Return whether a service has a server that takes requests.

        Parameters
        ----------
        service : ServiceName
            The service.
        is_allowed : callable
            Takes a RegisteredServer and returns whether it may be used.
        """
        return any(
            use.server.state is ServerState.READY and is_allowed(use.server)
            for use in self.list_uses(service)
        )

    def estimate_wait(self, service, now, is_allowed=None):
        """Return the seconds that a request waits for the best server's engine.

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
            self._find_load(use, now)
            for use in self.list_uses(service)
            if use.server.state is ServerState.READY
            and use.paused_until <= now
            and (is_allowed is None or is_allowed(use.server))
        ]
        return min(loads, default=0.0)

    def choose(self, service, now, tried=frozenset(), is_allowed=None, placement=None):
        """Return the server that is best for one more request, or None.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Monotonic time in seconds.
        tried : set of BackendServerId
            Servers that have failed this request; taken only if no other is left.
        is_allowed : callable or None
            Takes a RegisteredServer and returns whether it may be used.
        placement : Placement or None
            What speaks for one engine or another.

        Returns
        -------
        RegisteredServer or None
        """
        ready = [
            use
            for use in self.list_uses(service)
            if use.server.state is ServerState.READY
            and not use.seen_leaving
            and use.server.id not in tried
            and (is_allowed is None or is_allowed(use.server))
        ]
        if not ready:
            return None
        ready = [u for u in ready if u.server.id not in self._doubtful] or ready
        if len(ready) > MANY_SERVERS:
            ready = self._draw(ready, placement)
        # With every server paused, the one that is due first is worth a try.
        calm = [use for use in ready if use.paused_until <= now]
        if not calm:
            return min(ready, key=lambda use: use.paused_until).server
        if placement is None:
            return min(calm, key=lambda use: self._rate(use, now)).server
        preferred = _find_preferred(ready, placement)
        return min(
            calm, key=lambda use: self._rate_placement(use, now, placement, preferred)
        ).server

    def _draw(self, uses, placement):
        """Return a few servers by chance, and the one that a shared part prefers.

        What instances know of a large fleet is a second old; if all took the best
        server, they would meet there.
        """
        drawn = self._random.sample(uses, DRAWN_SERVERS)
        near = [u for u in uses if self._home.is_near(u.server.failure_domain)]
        drawn += self._random.sample(near, min(len(near), DRAWN_SERVERS))
        if placement is not None:
            preferred = _find_preferred(near or uses, placement)
            if preferred is not None:
                drawn.append(preferred)
        return drawn

    def _rate(self, use, now):
        distance = self._home.rate_distance(use.server.failure_domain)
        return self._find_load(use, now) + distance, self._random.random()

    def _rate_placement(self, use, now, placement, preferred):
        load = self._find_load(use, now)
        cost = LIGHT_LOAD_WEIGHT * load + load * load
        if use is not preferred:
            cost += placement.reread_cost
        if not self._home.is_near(use.server.failure_domain):
            cost += placement.remote_cost
        return cost, self._random.random()

    def _find_load(self, use, now):
        shared = self._shared.sum(use.server.id, now)
        return use.estimate_load(now, shared, self._usual_work)

    def list_own_loads(self, now):
        """Return the SharedLoad that this instance puts on each server, by its id."""
        return {
            server_id: SharedLoad(
                use.in_flight,
                sum(work.total for work in use.work),
                use.measure_silence(now),
                now - use.answered_at,
            )
            for server_id, use in self._uses.items()
            if use.in_flight or now - use.answered_at <= self._shared.period
        }

    def note_sent(self, server, work=None):
        """Count a request that is sent to a server.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        work : Work or None
            What the request costs an engine; its owner updates it.
        """
        use = self._uses.get(server.id)
        if use is None:
            return
        use.in_flight += 1
        if work is not None:
            use.runs_models = True
            use.work.append(work)
            usual = 0.5 * work.reading + work.decoding
            self._usual_work += WORK_SMOOTHING * (usual - self._usual_work)

    def note_ended(self, server, work=None):
        """Count the end of a request."""
        use = self._uses.get(server.id)
        if use is None:
            return
        use.in_flight = max(0, use.in_flight - 1)
        use.work = [other for other in use.work if other is not work]

    def note_answer(self, server, load, now):
        """Note that a server answers, and the load that it tells.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        load : tuple of (int, int, int) or None
            Running and waiting requests, and slots.
        now : float
            Monotonic time in seconds.
        """
        use = self._uses.get(server.id)
        if use is None:
            return
        use.failures = 0
        use.answered_at = now
        if load is not None:
            use.others = max(0, load[0] + load[1] - use.in_flight)
            use.reported_at = now

    def note_heard(self, server, now):
        """Note that a server sends something."""
        use = self._uses.get(server.id)
        if use is not None:
            use.answered_at = now

    def is_heard(self, server, since):
        """Return whether a server has sent anything, to any instance, since a time.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        since : float
            Monotonic time in seconds. What others heard is told a little later.
        """
        use = self._uses.get(server.id)
        if use is None:
            return False
        told_since = since - self._shared.period
        return use.answered_at >= since or (
            self._shared.find_heard(server.id) >= told_since
        )

    def note_failure(self, server, now):
        """Keep away for a while from a server that failed."""
        use = self._uses.get(server.id)
        if use is None:
            return
        use.failures += 1
        pause = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2 ** (use.failures - 1))
        use.paused_until = now + pause

    def note_gone(self, server):
        """Note that another server answers at this server's address."""
        use = self._uses.get(server.id)
        if use is not None:
            use.seen_leaving = True


def _find_preferred(uses, placement):
    """Return the server that all instances prefer for a shared part, or None."""
    if not placement.key:
        return None
    return max(uses, key=lambda use: placement.rate_server(use.server.id))


def _is_same_start(entry, known):
    return entry.born == known.born and entry.address == known.address
