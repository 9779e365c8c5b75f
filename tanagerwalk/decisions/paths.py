"""Network paths from this instance to the backend servers."""

from dataclasses import dataclass

from ..ids import BackendServerId


@dataclass(slots=True)
class _Path:
    lost_at: float


class PathTable:
    """Tracks which backend servers this instance can't connect to.

    An instance may lose its own path to a server that others still reach, so nothing
    that another instance reports counts here.
    """

    def __init__(self):
        self._lost: dict[BackendServerId, _Path] = {}

    def is_lost(self, server_id):
        """Return whether the last connection attempt to a server failed."""
        return server_id in self._lost

    def record_failure(self, server_id, now):
        """Record that a connection could not be opened.

        Parameters
        ----------
        server_id : BackendServerId
            The server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the path was not known to be lost.
        """
        if server_id in self._lost:
            return False
        self._lost[server_id] = _Path(now)
        return True

    def record_opened(self, server_id, now):
        """Record that a connection was opened.

        Returns
        -------
        float or None
            Seconds for which the path was lost; None if it was not.
        """
        path = self._lost.pop(server_id, None)
        return None if path is None else now - path.lost_at

    def forget(self, server_id):
        """Drop what is known about a server that is gone."""
        self._lost.pop(server_id, None)
