"""Opens the ports of an instance, each as soon as it is free."""

import asyncio
from functools import partial

from ..bound_sockets import bind_pair, bind_stream
from .port_wait import PortWait


class InstancePorts:
    """Ports for clients, readiness checks, metrics and other instances.

    Parameters
    ----------
    addresses : Listeners
        Their addresses.
    clients : Listener
        Serves clients.
    readiness, metrics : ProbeListener
        Serve the readiness check and the metrics.
    peer_server : PeerServer
        Serves connections of other instances.
    sharing : LoadSharing
        Receives datagrams of other instances.
    """

    def __init__(self, addresses, clients, readiness, metrics, peer_server, sharing):
        self._addresses = addresses
        self._clients = clients
        self._readiness = readiness
        self._metrics = metrics
        self._peer_server = peer_server
        self._sharing = sharing
        self._wait = PortWait()
        self._has_peer_ports = asyncio.Event()

    async def open(self):
        """Open the ports that are free, and wait for the others in the background."""
        addresses = self._addresses
        for name, address, listener in (
            ("readiness", addresses.readiness, self._readiness),
            ("metrics", addresses.metrics, self._metrics),
            ("clients", addresses.clients, self._clients),
        ):
            await self._wait.open(name, partial(bind_stream, address), listener.serve)
        bind_peers = partial(bind_pair, addresses.peers[0], addresses.peer_ports)
        await self._wait.open("peers", bind_peers, self._serve_peers)

    async def _serve_peers(self, sockets):
        await self._peer_server.serve(sockets.stream)
        await self._sharing.serve(sockets.datagram)
        self._has_peer_ports.set()

    async def wait_for_peer_ports(self):
        """Wait until this instance has an address for the others."""
        await self._has_peer_ports.wait()

    def stop_waiting(self):
        """Wait for no port any more."""
        self._wait.close()

    async def close(self):
        """Close all ports, and every connection that came through them."""
        self._wait.close()
        self._clients.stop_accepting()
        self._clients.abort()
        self._readiness.stop()
        self._metrics.stop()
        self._sharing.stop()
        await self._peer_server.stop()
