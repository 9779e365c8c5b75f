"""Log lines on the share of a service's requests that leaves the failure domain."""

from dataclasses import dataclass

import structlog

log = structlog.get_logger(__name__)

# Requests of a service are logged as leaving from this share, until it has been below
# it for SPILLING_S.
SPILLING_SHARE = 0.05
SPILLING_S = 5.0
# A share that has differed by this much from the one logged last for LASTING_S is
# logged again.
LOGGED_CHANGE = 0.25
LASTING_S = 5.0


@dataclass(slots=True)
class _LeavingService:
    left_at: float
    logged_share: float
    changed_at: float | None = None

    def record_change(self, share, now):
        """Record a share; return whether it differs lastingly from the logged one."""
        is_changed = abs(share - self.logged_share) >= LOGGED_CHANGE
        if not is_changed or share < SPILLING_SHARE:
            self.changed_at = None
            return False
        if self.changed_at is None:
            self.changed_at = now
        return now - self.changed_at > LASTING_S


class SpilloverLog:
    """Logs when requests of a service begin or cease to leave, and lasting changes."""

    def __init__(self):
        self._leaving = {}

    def note(self, service, share, own_load, now):
        """Take over the present share of a service.

        Parameters
        ----------
        service : ServiceName
            The service.
        share : float
            The largest share of its kinds of requests, 0 to 1.
        own_load : float or None
            Load of the own servers; None if none takes requests.
        now : float
            Monotonic time in seconds.
        """
        leaving = self._leaving.get(service)
        if leaving is None:
            self._note_begin(service, share, own_load, now)
            return
        if share >= SPILLING_SHARE:
            leaving.left_at = now
        if now - leaving.left_at > SPILLING_S:
            del self._leaving[service]
            _log("requests stay in failure domain", service, share, own_load)
            return
        if leaving.record_change(share, now):
            self._leaving[service] = _LeavingService(now, share)
            _log("share that leaves failure domain changed", service, share, own_load)

    def _note_begin(self, service, share, own_load, now):
        if share < SPILLING_SHARE:
            return
        self._leaving[service] = _LeavingService(now, share)
        _log("requests leave failure domain", service, share, own_load)


def _log(event, service, share, own_load):
    load = None if own_load is None else round(own_load, 2)
    log.info(event, service=service, share=round(share, 2), own_load=load)
