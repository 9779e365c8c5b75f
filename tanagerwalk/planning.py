"""What an instance knows when it plans a request."""

from .decisions.versions import PlanInputs


class Planning:
    """Collects what the decisions on plans and room need to know.

    Parameters
    ----------
    configuration : ConfigurationState
        The declaration in force.
    table : ServerTable
        Loaded versions.
    durations : DurationEstimates
        Expected duration of attempts.
    rollout_tracker : RolloutTracker
        Evidence, halts and exposure.
    rating_gate : RatingGate
        Whether answers can be rated now.
    settings : Settings
        Cost of a rating, and what makes a class long.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Draws the requests that candidates answer.
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
        """Return whether a class of work is long compared with the shortest one."""
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
            Versions that have failed it.
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
            # A session would hold its caller to a version on trial.
            draw=1.0 if context.wants_session else self._random.random(),
            time_left=context.arrived + work_class.lateness - now,
            rating_cost=self._settings.rollouts.rating_cost,
            rating_time=self._rating_gate.time,
            # A session has one version, so it can't go through a cascade.
            cascades=self._rating_gate.is_available(now) and not context.wants_session,
            excluded=excluded,
        )

    def _list_available(self):
        """Return the versions that some server that stays has loaded."""
        available = set()
        for server in self._table.servers.values():
            if not server.leaving:
                available |= server.versions
        return frozenset(available)
