"""What an instance knows about a roll-out when it chooses a release."""

from ..decisions.release_choice import RoutingConditions

MAX_STATE_AGE_S = 2.5


class ReleaseConditions:
    """Reads the RoutingConditions of roll-outs.

    Parameters
    ----------
    rollouts : ReleaseRolloutController
        Provides the progress of the roll-outs and the counts of requests.
    servers : ServerPool
        Provides the releases and the waiting times of the servers.
    freshness : Freshness
        Tells how old the copy of the store is.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, rollouts, servers, freshness, clock):
        self._rollouts = rollouts
        self._servers = servers
        self._freshness = freshness
        self._clock = clock
        self._target_known_at = {}

    @property
    def state_age(self):
        """Seconds since the copy of the store was confirmed."""
        return self._freshness.age

    def read(self, order, target_known_for=0.0):
        """Return the RoutingConditions of the roll-out of an order.

        Parameters
        ----------
        order : RolloutOrder
            The order.
        target_known_for : float
            Seconds since which a server of the target has to be known.
        """

        def is_target(server):
            return server.release == order.target

        def is_base(server):
            return server.release != order.target

        now = self._clock()
        service = order.service
        has_target = self._servers.has_server(service, is_target)
        known_for = self._find_target_age(order, has_target, now)
        return RoutingConditions(
            has_recent_state=self.state_age < MAX_STATE_AGE_S,
            has_target=has_target
            and known_for >= target_known_for
            and not self._is_blocked(service, now, is_target, is_base),
            base_wait=self._servers.estimate_wait(service, now, is_base),
            target_wait=self._servers.estimate_wait(service, now, is_target),
            progress=self._rollouts.find_progress(order, now),
            starts=self._rollouts.count_starts(order),
        )

    def _is_blocked(self, service, now, is_target, is_base):
        """Return whether holds or limits keep only the target from taking a request."""
        if self._servers.find_hold(service, now, is_target) <= 0.0:
            return False
        has_base = self._servers.has_server(service, is_base)
        return has_base and self._servers.find_hold(service, now, is_base) <= 0.0

    def _find_target_age(self, order, has_target, now):
        """Return the seconds since a server of the target was first known."""
        key = (order.service, order.revision)
        if has_target:
            self._target_known_at.setdefault(key, now)
        return now - self._target_known_at.get(key, now)
