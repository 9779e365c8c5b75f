"""The ReleaseChoosers of all services of an instance."""

from .release_choice import ReleaseChooser


class ReleaseChoosers:
    """Creates a ReleaseChooser for each service, with the current bounds.

    Parameters
    ----------
    bounds : Bounds
        Configured limits of the deployment.
    """

    def __init__(self, bounds):
        self._bounds = bounds
        self._choosers = {}

    def get(self, service):
        """Return the ReleaseChooser of a service."""
        chooser = self._choosers.get(service)
        if chooser is None:
            chooser = ReleaseChooser(service, *self._list_limits())
            self._choosers[service] = chooser
        return chooser

    def apply_bounds(self, bounds):
        """Apply changed Bounds to new sessions."""
        self._bounds = bounds
        for chooser in self._choosers.values():
            chooser.set_bounds(*self._list_limits())

    def _list_limits(self):
        bounds = self._bounds
        return bounds.canary_share, bounds.session_gap, bounds.canary_slack

    def count_contradictions(self):
        """Return how often owners knew different releases of one session."""
        return sum(chooser.contradictions for chooser in self._choosers.values())

    def list_side_overrides(self, now):
        """Return the sides to tell instances of an earlier version, by service."""
        return {
            service: chooser.list_side_overrides(now)
            for service, chooser in self._choosers.items()
        }
