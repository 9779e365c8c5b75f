"""The load that other instances put on backend servers, as they last told it."""

import zlib
from dataclasses import dataclass

from ..ids import BackendServerId

MIN_LIFETIME_S = 2.0
LIFETIME_PERIODS = 2.5
BASE_PERIOD_S = 0.3
PEERS_PER_PERIOD = 14


@dataclass(frozen=True, slots=True)
class SharedLoad:
    """Load of one instance, or of several, on one backend server.

    Parameters
    ----------
    in_flight : int
        Requests.
    tokens : float
        Tokens that its engine has still to work off for them.
    silence : float
        Seconds for which the oldest unanswered one has waited.
    heard_ago : float
        Seconds since the server last sent anything.
    """

    in_flight: int
    tokens: float
    silence: float = 0.0
    heard_ago: float = float("inf")


@dataclass(slots=True)
class _Peer:
    sequence: int
    received_at: float
    loads: dict[int, SharedLoad]


class SharedLoadTable:
    """Sums up what the other instances tell."""

    def __init__(self):
        self._peers = {}

    def update(self, sender, sequence, loads, now):
        """Take an instance's newest loads.

        Parameters
        ----------
        sender : str
            The instance's incarnation.
        sequence : int
            Number of the message; datagrams may overtake each other.
        loads : dict of int to SharedLoad
            Loads by hash of the server's id.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the message is newer than those before.
        """
        known = self._peers.get(sender)
        if known is not None and known.sequence >= sequence:
            return False
        self._peers[sender] = _Peer(sequence, now, loads)
        return True

    def sum(self, server, now):
        """Return the SharedLoad of all other instances on a server.

        Parameters
        ----------
        server : BackendServerId
            The server.
        now : float
            Monotonic time in seconds.
        """
        key = hash_server(server)
        in_flight = 0
        tokens = 0.0
        silence = 0.0
        lifetime = self.lifetime
        for peer in self._peers.values():
            load = peer.loads.get(key)
            if load is not None and now - peer.received_at <= lifetime:
                in_flight += load.in_flight
                tokens += load.tokens
                silence = max(silence, load.silence)
        return SharedLoad(in_flight, tokens, silence)

    def find_last_activity(self, server):
        """Return when another instance last heard from a server, in monotonic time.

        Parameters
        ----------
        server : BackendServerId
            The server.
        """
        key = hash_server(server)
        heard = float("-inf")
        for peer in self._peers.values():
            load = peer.loads.get(key)
            if load is not None:
                heard = max(heard, peer.received_at - load.heard_ago)
        return heard

    @property
    def period(self):
        """Seconds between two messages of an instance."""
        return compute_period(len(self._peers))

    @property
    def lifetime(self):
        """Seconds after which the word of an instance that fell silent is void."""
        return max(MIN_LIFETIME_S, LIFETIME_PERIODS * self.period)

    def expire_peers(self, now):
        """Forget the instances that were not heard for long."""
        lifetime = self.lifetime
        silent = [s for s, t in self._peers.items() if now - t.received_at > lifetime]
        for sender in silent:
            del self._peers[sender]


def hash_server(server: BackendServerId):
    """Return the short name of a server in messages between instances."""
    return zlib.crc32(server.encode())


def compute_period(peers):
    """Return the seconds between two messages to all peers.

    The messages of a large fleet would take more than the loads are worth.

    Parameters
    ----------
    peers : int
        Other instances.
    """
    return BASE_PERIOD_S * max(1.0, peers / PEERS_PER_PERIOD)
