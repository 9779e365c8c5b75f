"""Clients for external systems: platform services, backend servers and peers."""

from .clients.engines import EngineClient
from .clients.http import build_session
from .clients.keyvalue import KeyValueClient
from .clients.orders import OrderClient
from .clients.ratings import RatingsClient
from .clients.services import ServiceClient
from .clients.targets import TargetsClient
from .peers.rpc import PeerClient
from .peers.server import PeerServer


class ExternalClients:
    """Owns the clients for external systems and the HTTP sessions that they share.

    Parameters
    ----------
    settings : Settings
        Addresses and timeouts.
    memory : Memory
        Counts the answers of backend servers.

    Attributes
    ----------
    store : KeyValueClient
    targets : TargetsClient
    ratings : RatingsClient
    engines : EngineClient
    services : ServiceClient
    orders : OrderClient
    peer_client : PeerClient
    peer_server : PeerServer
    """

    def __init__(self, settings, memory):
        self._http = build_session()
        self._unpooled_http = build_session(keep_connections=False)
        platform = settings.platform
        timeout = platform.timeout
        self.store = KeyValueClient(self._http, platform.keyvalue, timeout)
        self.targets = TargetsClient(self._http, platform.instances, timeout)
        self.ratings = RatingsClient(self._http, platform.ratings, timeout)
        self.engines = EngineClient(self._http, settings.retries, memory)
        self.services = ServiceClient(
            self._http, self._unpooled_http, settings.retries, memory
        )
        self.orders = OrderClient(self._unpooled_http, settings.orders)
        peers = settings.peers
        self.peer_server = PeerServer(peers.secret)
        self.peer_client = PeerClient(peers.secret, settings.instance.id, peers.timeout)

    def count_peer_bytes(self):
        """Return the total number of bytes sent to and received from peers."""
        client, server = self.peer_client, self.peer_server
        sent = client.bytes_sent + server.bytes_sent
        return sent + client.bytes_received + server.bytes_received

    async def close(self):
        """Close all connections."""
        await self.peer_client.close()
        await self.peer_server.stop()
        await self._http.close()
        await self._unpooled_http.close()
