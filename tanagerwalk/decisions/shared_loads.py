"""Load on backend servers caused by other instances, as last reported by them."""

import zlib
from dataclasses import dataclass

from ..ids import BackendServerId

MIN_LIFETIME_S = 2.0
LIFETIME_PERIODS = 2.5
BASE_PERIOD_S = 0.3
PEERS_PER_PERIOD = 14


@dataclass(frozen=True, slots=True)
class SharedLoad:
    """Load on one backend server caused by one or several instances.

    Parameters
    ----------
    in_flight : int
        Number of requests.
    tokens : float
        Tokens that the engine still has to process for these requests.
    silence : float
        Waiting time of the oldest request without a response head, in seconds.
    heard_ago : float
        Seconds since the server last sent data.
    """

    in_flight: int
    tokens: float
    silence: float = 0.0
    heard_ago: float = float("inf")


@dataclass(slots=True)
class _PeerReport:
    sequence: int
    received_at: float
    loads: dict[int, SharedLoad]


class SharedLoadTable:
    """Aggregates the loads reported by the other instances."""

    def __init__(self):
        self._peers = {}

    def update(self, sender, sequence, loads, now):
        """Store the latest loads of an instance.

        Parameters
        ----------
        sender : str
            Incarnation of the instance.
        sequence : int
            Sequence number of the message; datagrams may arrive out of order.
        loads : dict of int to SharedLoad
            Loads by `hash_server` of the server's id.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the message is newer than all previous ones of the sender.
        """
        known = self._peers.get(sender)
        if known is not None and known.sequence >= sequence:
            return False
        self._peers[sender] = _PeerReport(sequence, now, loads)
        return True

    def sum(self, server, now):
        """Return the total SharedLoad of all other instances on a server.

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
        """Return the monotonic time at which a server last sent data to a peer.

        Parameters
        ----------
        server : BackendServerId
            The server.
        """
        key = hash_server(server)
        last_activity = float("-inf")
        for peer in self._peers.values():
            load = peer.loads.get(key)
            if load is not None:
                last_activity = max(last_activity, peer.received_at - load.heard_ago)
        return last_activity

    @property
    def period(self):
        """Seconds between messages of an instance."""
        return compute_period(len(self._peers))

    @property
    def lifetime(self):
        """Seconds after which the last report of an instance expires."""
        return max(MIN_LIFETIME_S, LIFETIME_PERIODS * self.period)

    def expire_peers(self, now):
        """Remove the instances whose last report has expired."""
        lifetime = self.lifetime
        expired = [
            sender
            for sender, report in self._peers.items()
            if now - report.received_at > lifetime
        ]
        for sender in expired:
            del self._peers[sender]


def hash_server(server: BackendServerId):
    """Return the 32-bit key of a server in messages between instances."""
    return zlib.crc32(server.encode())


def compute_period(peers):
    """Return the seconds between two messages to all peers.

    The period grows with the number of peers, to limit the cost of the messages in
    a large fleet.

    Parameters
    ----------
    peers : int
        Number of other instances.
    """
    return BASE_PERIOD_S * max(1.0, peers / PEERS_PER_PERIOD)
