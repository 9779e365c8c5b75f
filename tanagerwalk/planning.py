"""Collects the inputs for planning a request."""

from .decisions.versions import PlanInputs


class PlanInputCollector:
    """Gathers instance state for plan and admission decisions.

    Parameters
    ----------
    configuration : ConfigurationState
        Provides the current declaration.
    table : ServerTable
        Provides the versions loaded on backend servers.
    durations : DurationEstimates
        Expected duration of attempts.
    rollout_tracker : RolloutTracker
        Provides evidence, halts and exposure of versions.
    rating_gate : RatingGate
        Tells whether answers can currently be rated.
    settings : Settings
        Provides the cost of a rating and `long_factor`.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Selects the requests that candidates answer.
    """

    def __init__(
        self,
        configuration,
        table,
        durations,
        rollout_tracker,
        rating_gate,
        settings,
        clock,
        random,
    ):
        self._configuration = configuration
        self._table = table
        self._durations = durations
        self._rollout_tracker = rollout_tracker
        self._rating_gate = rating_gate
        self._settings = settings
        self._clock = clock
        self._random = random

    def estimate_duration(self, ticket):
        """Return the expected duration of a ticket's attempt, in seconds."""
        work_class = self._configuration.declaration.classes.get(ticket.work_class)
        lateness = work_class.lateness if work_class else 0.0
        return self._durations.estimate(ticket.work_class, ticket.version, lateness)

    def is_long(self, work_class):
        """Return whether a class is long compared with the shortest class."""
        classes = self._configuration.declaration.classes.values()
        shortest = min(other.lateness for other in classes)
        return work_class.lateness > shortest * self._settings.limits.long_factor

    def collect_inputs(self, context, excluded):
        """Return the PlanInputs of a request.

        Parameters
        ----------
        context : RequestContext
            The request.
        excluded : frozenset of VersionName
            Versions that have already failed the request.
        """
        work_class = context.work_class
        name = work_class.name
        now = self._clock()
        self._rollout_tracker.configure(self._configuration.declaration)
        exposed = {}
        if not self._configuration.is_stale(now):
            exposed = self._rollout_tracker.find_candidate_shares(name, now)
        return PlanInputs(
            available=self._list_available(),
            durations=lambda version: self._durations.estimate(
                name, version, work_class.lateness
            ),
            evidence=lambda version: self._rollout_tracker.sum_evidence(name, version),
            halted=self._rollout_tracker.list_halted(name, context.account.versions),
            exposed=exposed,
            # A session would pin its caller to a version under roll-out. A draw of 1.0
            # selects a candidate only if no released version is usable.
            draw=1.0 if context.wants_session else self._random.random(),
            time_left=context.arrived + work_class.lateness - now,
            rating_cost=self._settings.rollouts.rating_cost,
            rating_time=self._rating_gate.time,
            # A session is pinned to one version, so it can't use a cascade.
            cascades=self._rating_gate.is_available(now) and not context.wants_session,
            excluded=excluded,
        )

    def _list_available(self):
        """Return the versions loaded on at least one server that is not leaving."""
        available = set()
        for server in self._table.servers.values():
            if not server.leaving:
                available |= server.versions
        return frozenset(available)
