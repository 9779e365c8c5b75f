"""Selection of the backend server for a request."""

from functools import cached_property, partial

from .brittleness import BrittleServices
from .cold_servers import ColdReason
from .local_choice import build_chooser
from .locations import Distance
from .paths import PathState
from .server_choice import (
    LOCAL_WAIT_SHARE,
    SAMPLING_THRESHOLD,
    UNKNOWN_TRAITS,
    ChoiceInputs,
)
from .server_limits import LimitQueue, ServerLimits
from .server_usage_table import ServerUsageTable, hash_life
from .shared_loads import SharedLoad, hash_server
from .token_room import TokenRoom
from .uncomputable import rank_last_if_uncomputable, replace_if_uncomputable
from .unseen_requests import UnseenRequests


class ServerPool(ServerUsageTable):
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

    Attributes
    ----------
    limits : ServerLimits
        Limits of the servers: those that they name, and those of cold ones.
    brittle : BrittleServices
        Which services fall over under rejections.
    local_wait_share : float
        Part of its latency objective that a request may wait in the own failure domain.
    token_room : TokenRoom
        Tokens that the servers hold.
    """

    def __init__(self, home, shared, paths, random):
        super().__init__()
        self._home = home
        self._shared = shared
        self._paths = paths
        self._random = random
        self.limits = ServerLimits(random)
        self.brittle = BrittleServices()
        self.local_wait_share = LOCAL_WAIT_SHARE
        self.token_room = TokenRoom()
        self._possibly_leaving = frozenset()
        self._unseen = UnseenRequests(shared, random)

    @cached_property
    def chooser(self):
        """The ServerChooser among the servers that a request may use."""
        return build_chooser(self._home, self._random)

    def mark_cold(self, failure_domains, now):
        """Take the servers of failure domains for cold, as after a start.

        Parameters
        ----------
        failure_domains : collection of FailureDomain
            The failure domains.
        now : float
            Monotonic time in seconds.
        """
        for server in self.list_servers():
            if server.failure_domain in failure_domains:
                reason = ColdReason.EVACUATION_ENDED
                self.limits.cold.record_start(server, now, reason)

    @property
    def prefers_local(self):
        """Whether servers of the own failure domain are preferred."""
        return self._home.prefers_local

    def set_possibly_leaving(self, server_ids):
        """Set the servers that may be leaving; they are used only as a last resort.

        Parameters
        ----------
        server_ids : collection of BackendServerId
            Ids of all such servers.
        """
        self._possibly_leaving = frozenset(server_ids)

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
            self._estimate_load(usage, now, self._find_slowdown(usage, now))
            for usage in self.list_usages(service)
            if usage.accepts_requests
            and usage.paused_until <= now
            and self._find_block(usage, now) <= 0.0
            and not self._paths.is_unreachable(usage.server.id)
            and (is_allowed is None or is_allowed(usage.server))
        ]
        return min(loads, default=0.0)

    def estimate_server_wait(self, server, now):
        """Return the estimated wait at a server in seconds; 0 if it isn't known."""
        usage = self._usages.get(server.id)
        if usage is None:
            return 0.0
        return self._estimate_load(usage, now, self._find_slowdown(usage, now))

    def list_places(self, service, now):
        """Return the Places at each server of a service that may be used now.

        A pause for errors takes away no places: the server is reachable, and is used
        if the others are paused.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of (RegisteredServer, Places)
        """
        others = self._shared.count_requests(now)
        return [
            (
                usage.server,
                usage.count_places(now, others.get(hash_server(usage.server.id), 0)),
            )
            for usage in self._list_ready(service, now, frozenset(), None)
            if usage.failure_paused_until <= now
            and usage.server.id not in self._possibly_leaving
        ]

    def choose(
        self,
        service,
        now,
        tried=frozenset(),
        is_allowed=None,
        affinity=None,
        traits=UNKNOWN_TRAITS,
    ):
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
        traits : RequestTraits
            Properties of the request that decide how far it is sent.

        Returns
        -------
        RegisteredServer or None
        """
        ready = self._list_ready(service, now, tried, is_allowed)
        if not ready:
            return None
        ready = [
            usage for usage in ready if usage.server.id not in self._possibly_leaving
        ] or ready
        ready = [usage for usage in ready if usage.has_room(now)] or ready
        inputs = ChoiceInputs(
            service,
            now,
            partial(self._estimate_cost_load, now=now),
            self._build_draw(ready, service, now),
            affinity,
            traits,
            self.local_wait_share * traits.objective,
            partial(self._has_local_server, service, now),
            partial(self._find_slowdown, now=now),
            partial(self._estimate_answering_load, now=now),
        )
        return self.chooser.choose(ready, inputs).server

    def _build_draw(self, ready, service, now):
        """Return the callable that tells the load of a server in one choice."""
        if len(ready) > SAMPLING_THRESHOLD:
            # The sample already keeps instances from sending to one server.
            return partial(self._estimate_cost_load, now=now)
        self._unseen.refresh(service, self.list_usages(service), now)
        return partial(self._draw_cost_load, now=now)

    @rank_last_if_uncomputable
    def _draw_cost_load(self, usage, now):
        shared = self._shared.sum(usage.server.id, now)
        reported = usage.count_others(now, shared.in_flight)
        slowdown = self._find_slowdown(usage, now)
        unseen = self._unseen.draw(usage, reported, slowdown, now)
        return self._add_costs(usage, now, shared, slowdown, unseen)

    def _has_local_server(self, service, now):
        return any(
            self.find_distance(usage.server) is Distance.SAME_DOMAIN
            for usage in self._list_ready(service, now, frozenset(), None)
        )

    def find_distance(self, server):
        """Return the Distance to a server."""
        return self._home.find_distance(server.failure_domain)

    def is_near(self, server):
        """Return whether a server is in the region of this instance.

        The time to the head of an answer contains the round trip to another region;
        pauses between events do not.
        """
        return self._home.is_same_region(server.failure_domain)

    def has_token_room(self, server, tokens, capacity, now):
        """Return whether a server has memory for a request; see `TokenRoom.fits`."""
        others = self._shared.sum(server.id, now).in_flight
        return self.token_room.fits(server.id, others, tokens, capacity)

    def _list_ready(self, service, now, tried, is_allowed):
        return [
            usage
            for usage in self.list_usages(service)
            if usage.accepts_requests
            and self._find_block(usage, now) <= 0.0
            and not self._paths.is_unreachable(usage.server.id)
            and usage.server.id not in tried
            and (is_allowed is None or is_allowed(usage.server))
        ]

    def list_usable(self, service, now, is_allowed):
        """Return the servers among which `choose` chooses, in no order.

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
        list of RegisteredServer
        """
        ready = self._list_ready(service, now, frozenset(), is_allowed)
        return [usage.server for usage in ready]

    def list_candidates(self, service, now, tried, is_allowed):
        """Return the servers that a request may be sent to, the best first.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : float
            Monotonic time in seconds.
        tried : set of BackendServerId
            Servers that have failed the request; left out unless there are no others.
        is_allowed : callable
            Takes a RegisteredServer and returns whether it may be used.

        Returns
        -------
        list of RegisteredServer
        """
        ready = self._list_ready(service, now, tried, is_allowed)
        if not ready:
            ready = self._list_ready(service, now, frozenset(), is_allowed)
        ready = [
            usage for usage in ready if usage.server.id not in self._possibly_leaving
        ] or ready
        unpaused = [usage for usage in ready if usage.paused_until <= now] or ready
        estimate_load = partial(self._estimate_cost_load, now=now)
        inputs = ChoiceInputs(service, now, estimate_load, estimate_load)
        ordered = sorted(unpaused, key=lambda usage: self.chooser.score(usage, inputs))
        return [usage.server for usage in ordered]

    def find_bearable(self, service, now):
        """Return the rejections per second that each server of a service bears.

        Returns
        -------
        float or None
            None if the service isn't brittle.
        """
        if self.brittle.is_empty:
            return None
        return self.brittle.find_bearable(service, self.list_lives(service), now)

    def _keep_missing(self, usage):
        forgotten = super()._keep_missing(usage)
        for life in forgotten:
            self.limits.forget(life)
            self.brittle.statements.forget(life)
        return forgotten

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
        usages = self._list_allowed(service, is_allowed)
        return min((self._find_block(usage, now) for usage in usages), default=0.0)

    def find_limit_queue(self, service, now, is_allowed):
        """Return how the servers that are kept back only by their limits take requests.

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
        LimitQueue or None
            None if there is no such server.
        """
        limited = self.list_limited(service, now, is_allowed)
        if not limited:
            return None
        lives = [hash_life(server) for server in limited]
        wait = min(self.limits.find_wait(life, now) for life in lives)
        rate = sum(self.limits.find_rate(life, now) for life in lives)
        return LimitQueue(wait, rate)

    def list_limited(self, service, now, is_allowed):
        """Return the RegisteredServers that only their limits keep back.

        See `find_limit_queue`.
        """
        if self.limits.is_empty:
            return []
        return [
            usage.server
            for usage in self._list_allowed(service, is_allowed)
            if usage.held_until <= now
            and self.limits.has_limit(hash_life(usage.server), now)
        ]

    def is_reachable(self, server):
        """Return whether this instance has a path to a server, as far as it knows."""
        return not self._paths.is_unreachable(server.id)

    def _list_allowed(self, service, is_allowed):
        return [
            usage
            for usage in self.list_usages(service)
            if usage.accepts_requests
            and not self._is_crashed(usage)
            and is_allowed(usage.server)
        ]

    def _is_crashed(self, usage):
        """Return whether a server that would be cold once it is back is away."""
        is_away = self._paths.is_unreachable(usage.server.id)
        return is_away and not self.limits.cold.is_empty

    def is_free(self, usage, now):
        """Return whether no hold or limit keeps this instance off a server."""
        return self._find_block(usage, now) <= 0.0

    def _find_block(self, usage, now):
        """Return the seconds for which a server takes no request of this instance."""
        held = max(0.0, usage.held_until - now)
        if self.limits.is_empty:
            return held
        return max(held, self.limits.find_wait(hash_life(usage.server), now))

    def record_limit(self, server, rate, now):
        """Record the limit in an answer of a server; return whether it was not known.

        See `ServerLimits.record`.
        """
        if rate is None and self.limits.is_empty:
            return False
        return self.limits.record(hash_life(server), rate, now)

    def record_brittleness(self, server, bearable, now):
        """Record the rejections per second that a server says it bears, or None.

        Returns
        -------
        bool
            Whether this was not known.
        """
        statements = self.brittle.statements
        if bearable is None and statements.is_empty:
            return False
        return statements.record(hash_life(server), bearable, now)

    def record_ended(self, server, work=None, seconds=None):
        """Record the end of a request, and the seconds that it took, if known."""
        super().record_ended(server, work)
        if seconds is not None:
            self._unseen.record_duration(server.service, seconds)

    def record_duration(self, server, kind, sample, load, now):
        """Learn the speed of a server from how long an answer took.

        See `ServerSpeeds.record_duration`.
        """
        key = (kind, self.is_near(server) or sample.has_events)
        self.speeds.record_duration(hash_life(server), key, sample, load, now)

    def take_slot(self, server, now):
        """Return a SendSlot for a request to a server, or None if it has no limit."""
        if self.limits.is_empty:
            return None
        return self.limits.take_slot(hash_life(server), now)

    def admit(self, server, slot, now):
        """Return whether a request may still be sent to a server that was chosen.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        slot : SendSlot or None
            What was taken of its limit for the request.
        now : float
            Monotonic time in seconds.
        """
        usage = self._usages.get(server.id)
        if usage is not None and not usage.accepts_requests:
            return False
        return self.limits.is_empty or self.limits.admit(hash_life(server), slot, now)

    @rank_last_if_uncomputable
    def _estimate_cost_load(self, usage, now):
        slowdown = self._find_slowdown(usage, now)
        shared = self._shared.sum(usage.server.id, now)
        return self._add_costs(usage, now, shared, slowdown)

    def _add_costs(self, usage, now, shared, slowdown, unseen=0.0):
        """Return the load of a server, plus what errors, slowness or a start add."""
        load = usage.estimate_load(now, shared, self.mean_work, slowdown, unseen)
        load += usage.estimate_error_load(now, shared.errors)
        load += usage.estimate_extra_load(self.mean_work, slowdown)
        cold = self.limits.cold
        if cold.is_empty:
            return load
        return load + cold.find_load(hash_life(usage.server), now)

    @replace_if_uncomputable(0.0)
    def _estimate_answering_load(self, usage, now):
        shared = self._shared.sum(usage.server.id, now)
        return usage.estimate_answering_load(now, shared, self.mean_decode)

    @rank_last_if_uncomputable
    def _estimate_load(self, usage, now, slowdown):
        shared = self._shared.sum(usage.server.id, now)
        return usage.estimate_load(now, shared, self.mean_work, slowdown)

    def _find_slowdown(self, usage, now):
        if self.speeds.is_uniform(now):
            return 1.0
        return self.speeds.estimate(hash_life(usage.server), now)

    def list_own_loads(self, now):
        """Return the SharedLoad that this instance causes on each server, by id."""
        return {
            server_id: SharedLoad(
                usage.in_flight,
                usage.sum_tokens(),
                usage.measure_silence(now),
                now - usage.last_activity_at,
                int(usage.has_recent_error(now)),
            )
            for server_id, usage in self._usages.items()
            if usage.in_flight
            or usage.has_recent_error(now)
            or now - usage.last_activity_at <= self._shared.period
        }

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
