"""Sends datagrams to other instances."""

import structlog

log = structlog.get_logger(__name__)


class DatagramSender:
    """Sends datagrams to some instances, and goes on with the rest if one fails.

    Parameters
    ----------
    get_peers : callable
        Returns the Peer of each other instance, by incarnation.

    Attributes
    ----------
    transport : asyncio.DatagramTransport or None
        The socket; without one, nothing is sent.
    """

    def __init__(self, get_peers):
        self._get_peers = get_peers
        self._unsendable = set()
        self.transport = None

    def send(self, datagrams, receiver_ids):
        """Send each of the datagrams to each of the receivers that are known."""
        if self.transport is None:
            return
        peers = self._get_peers()
        addresses = [peers[i].address for i in receiver_ids if i in peers]
        for datagram in datagrams:
            for address in addresses:
                self._send_datagram(datagram, address)

    def _send_datagram(self, datagram, address):
        try:
            self.transport.sendto(datagram, address)
        except (OSError, ValueError) as error:
            # The address may be of another family; the other receivers get theirs.
            if address not in self._unsendable:
                log.warning("cannot send", receiver=address[0], problem=str(error))
            self._unsendable.add(address)

    def close(self):
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
