"""The competition for the servers of one service, and for parts of them.

A request may use only some servers, by its allowed regions and by the release chosen
for it. These may be full while others are calm, or the reverse.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from ..ids import FailureDomain, ReleaseName
from .contention import ENTER_TAKEN_SHARE, ContentionState, Places, sum_places
from .demands import Demand, DemandMeter
from .recent_sums import RecentSum

REFRESH_INTERVAL_S = 0.25
# While less than this part of the places is in use, for which no request waits.
CALM_USE = 0.5
CALM_REFRESH_INTERVAL_S = 0.5
# Longest time that one observation of the places stands for; the servers are observed
# with each round of messages.
MAX_INTERVAL_S = 1.0
# Use below which the work done shows too little of what the servers can do.
MIN_MEASURED_USE = 0.1
# A subset of the servers that no request was restricted to for longer is forgotten.
SUBSET_LIFETIME_S = 10.0


@dataclass(frozen=True, slots=True)
class ServerGroup:
    """Servers of one failure domain and release; a request may use all or none."""

    failure_domain: FailureDomain
    release: ReleaseName


@dataclass(slots=True)
class ServerSubset:
    """The servers that some requests may use, in one or several groups.

    Parameters
    ----------
    groups : frozenset of ServerGroup
        The groups.
    places : Places
        Places at them.
    state : ContentionState
        Whether requests compete for them.
    used_at : float
        Monotonic time at which a request that is restricted to them was seen.
    """

    groups: frozenset
    places: Places = Places()
    state: ContentionState = field(default_factory=ContentionState)
    used_at: float = float("-inf")

    @property
    def is_contended(self):
        """Whether requests compete for places at these servers."""
        return self.state.is_contended

    @property
    def failure_domains(self):
        """Names of the failure domains, in order."""
        return sorted({group.failure_domain for group in self.groups})

    def update(self, places_by_group, now):
        """Take over the present Places; return whether contention begins or ends."""
        self.places = sum_places(
            [
                places_by_group[group]
                for group in self.groups
                if group in places_by_group
            ]
        )
        return self.state.update(self.places, now)


class ServiceContention:
    """The competition for one service, as this instance sees it.

    Parameters
    ----------
    service : ServiceName
        The service.

    Attributes
    ----------
    meter : DemandMeter
        Demand at this instance.
    demand : Demand
        Demand of the fleet; empty while no servers of the service are contended.
    whole : ServerSubset
        All servers of the service.
    """

    def __init__(self, service):
        self.service = service
        self.meter = DemandMeter()
        self.demand = Demand()
        self.whole = ServerSubset(frozenset())
        self._subsets = {}
        # One server of each group, to ask whether a request may use the group.
        self._examples = {}
        self._places_by_group = {}
        self._busy_time = RecentSum()
        self._measured_time = RecentSum()
        self._refreshed_at = float("-inf")

    @property
    def is_contended(self):
        """Whether requests compete for any servers."""
        return self.whole.is_contended or any(
            subset.is_contended for subset in self._subsets.values()
        )

    @property
    def needs_demand(self):
        """Whether requests compete for places, or are about to.

        The instances then tell each other the demand: once requests compete, what one
        of them has seen alone is too little to go by.
        """
        return self.whole.places.use >= ENTER_TAKEN_SHARE or self.is_contended

    def is_due(self, now):
        """Return whether to look at the servers again."""
        is_calm = self.whole.places.use < CALM_USE and not self.is_contended
        interval = CALM_REFRESH_INTERVAL_S if is_calm else REFRESH_INTERVAL_S
        return now - self._refreshed_at >= interval

    def update_places(self, places_by_server, now):
        """Take over the present Places.

        Parameters
        ----------
        places_by_server : list of (RegisteredServer, Places)
            The places at each server that may be used.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of ServerSubset
            Those for which contention begins or ends.
        """
        self._record_use(now)
        self._group(places_by_server)
        self.whole.groups = frozenset(self._places_by_group)
        self._subsets = {
            groups: subset
            for groups, subset in self._subsets.items()
            if subset.is_contended or now - subset.used_at <= SUBSET_LIFETIME_S
        }
        return [
            subset
            for subset in (self.whole, *self._subsets.values())
            if subset.update(self._places_by_group, now)
        ]

    def _record_use(self, now):
        elapsed = min(now - self._refreshed_at, MAX_INTERVAL_S)
        use = self.whole.places.use
        self._busy_time.add(use * elapsed, now)
        if use >= MIN_MEASURED_USE:
            self._measured_time.add(elapsed, now)
        self._refreshed_at = now

    def _group(self, places_by_server):
        grouped = defaultdict(list)
        self._examples = {}
        for server, places in places_by_server:
            group = ServerGroup(server.failure_domain, server.release)
            self._examples[group] = server
            grouped[group].append(places)
        self._places_by_group = {
            group: sum_places(places) for group, places in grouped.items()
        }

    def find_subset(self, allows_server, now):
        """Return the ServerSubset that a request may use; a new one isn't contended.

        Parameters
        ----------
        allows_server : callable
            Takes a RegisteredServer and returns whether the request may use it, by its
            failure domain and release alone.
        now : float
            Monotonic time in seconds.
        """
        groups = frozenset(
            group for group, server in self._examples.items() if allows_server(server)
        )
        if groups == self.whole.groups:
            return self.whole
        if groups not in self._subsets:
            self._subsets[groups] = ServerSubset(groups)
        subset = self._subsets[groups]
        subset.used_at = now
        return subset

    def update_demand(self, others, now):
        """Take over the Demand of the other instances."""
        if not self.is_contended:
            self.demand = Demand()
            return
        self.demand = (
            self.meter.measure(now)
            .add(others)
            .scale_done(
                self._busy_time.measure(now),
                self._measured_time.measure(now),
                self.meter.mean_work,
            )
        )

    def estimate_wait(self, subset, priority):
        """Return the seconds until a new request of a priority is begun at a subset.

        0 if that is unknown.
        """
        queue_ratio = subset.places.compare_queues(self.whole.places)
        return queue_ratio * self.demand.estimate_wait(priority)

    def estimate_prefill_time(self, work):
        """Return the seconds that a server takes for the prompt of a request."""
        rate = self.demand.done_rate
        return work.prefill * self.whole.places.servers / rate if rate else 0.0
