"""Network paths from this instance to the backend servers.

An instance may lose its own path to servers that other instances still reach. It then
connects through one of them. What others report about a server proves that the server
is alive, but nothing about the path of this instance, so only own connection attempts
count here.
"""

from dataclasses import dataclass
from enum import Enum

from ..ids import BackendServerId

# A connection attempt that takes longer is joined by one through another instance.
TUNNEL_DELAY_S = 0.12
# The same, soon after another server could only be reached through an instance.
SUSPICIOUS_TUNNEL_DELAY_S = 0.03
SUSPICION_S = 3.0


class PathState(Enum):
    """How this instance reaches a server.

    DIRECT: by itself, also if nothing is known. INDIRECT: only through another
    instance. UNREACHABLE: neither way worked.
    """

    DIRECT = "direct"
    INDIRECT = "indirect"
    UNREACHABLE = "unreachable"


class Outage(Enum):
    """What kept a server from being reached before it was reached again.

    DOWN: it refused connections, so it is taken to have ended and started anew.
    CUT_OFF: no path worked; it may have run all the while.
    """

    DOWN = "down"
    CUT_OFF = "cut_off"


@dataclass(slots=True)
class _LostPath:
    state: PathState
    lost_at: float


class PathTable:
    """Tracks how this instance reaches each backend server."""

    def __init__(self):
        self._lost: dict[BackendServerId, _LostPath] = {}
        self._refused: set[BackendServerId] = set()
        # Servers whose last outage was reported as DOWN.
        self._reported: set[BackendServerId] = set()
        self._indirect_at = float("-inf")

    def get_state(self, server_id):
        """Return the PathState of a server."""
        path = self._lost.get(server_id)
        return PathState.DIRECT if path is None else path.state

    def is_unreachable(self, server_id):
        """Return whether no path to a server worked when last tried."""
        return self.get_state(server_id) is PathState.UNREACHABLE

    def record_lost(self, server_id, state, now):
        """Record that the direct path failed.

        Parameters
        ----------
        server_id : BackendServerId
            The server.
        state : PathState
            INDIRECT or UNREACHABLE.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the state has changed.
        """
        if state is PathState.INDIRECT:
            self._indirect_at = now
        path = self._lost.get(server_id)
        if path is None:
            self._lost[server_id] = _LostPath(state, now)
            return True
        changed = path.state is not state
        path.state = state
        return changed

    def record_direct(self, server_id, now):
        """Record that a direct connection was opened.

        Returns
        -------
        float or None
            Seconds for which the direct path was lost; None if it was not.
        """
        self._reported.discard(server_id)
        path = self._lost.pop(server_id, None)
        return None if path is None else now - path.lost_at

    def record_refused(self, server_id):
        """Record that a connection to a server was refused; it is taken to be down.

        A path that rejects connections looks the same. While other paths reach the
        server, such refusals count only once.
        """
        is_indirect = self.get_state(server_id) is PathState.INDIRECT
        if is_indirect and server_id in self._reported:
            return
        self._refused.add(server_id)

    def is_down(self, server_id):
        """Return whether a server has refused a connection and wasn't reached since."""
        return server_id in self._refused

    def record_reached(self, server_id):
        """Record that a connection was opened, by whatever path.

        To be called before the path is recorded.

        Returns
        -------
        Outage or None
            None if the server was in reach before.
        """
        if self.is_down(server_id):
            self._refused.discard(server_id)
            self._reported.add(server_id)
            return Outage.DOWN
        if self.get_state(server_id) is PathState.DIRECT:
            self._reported.discard(server_id)
        return Outage.CUT_OFF if self.is_unreachable(server_id) else None

    def forget(self, server_id):
        """Drop what is known about a server that is gone."""
        self._lost.pop(server_id, None)
        self._refused.discard(server_id)
        self._reported.discard(server_id)

    def is_doubtful(self, last_used_at):
        """Return whether a kept direct connection may be as dead as new ones.

        Parameters
        ----------
        last_used_at : float
            Monotonic time of the last answer on the connection, in seconds.
        """
        return last_used_at < self._indirect_at

    def find_tunnel_delay(self, now):
        """Return the seconds after which a tunnel is tried beside a direct connection.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        is_suspicious = now - self._indirect_at <= SUSPICION_S
        return SUSPICIOUS_TUNNEL_DELAY_S if is_suspicious else TUNNEL_DELAY_S
