"""Authenticated frames on a connection between two entry instances.

Each side sends a random nonce in its hello. One key per direction is derived from
both nonces and the shared secret. The MAC of a frame also covers the frame's sequence
number, so a recorded frame can't be replayed on another connection, in the other
direction or at another position.

A frame is the payload's length (4 bytes), the kind (1 byte), the MAC and the payload.
"""

import hashlib
import hmac
import os
import struct
from enum import Enum

from expression import Error, Ok

from ..ids import InstanceId
from .codec import decode, encode
from .gen.exchange.ttypes import Hello

MAX_PAYLOAD_BYTES = 2 * 1024 * 1024
MAX_HELLO_BYTES = 512
NONCE_BYTES = 16
MAC_BYTES = 16

_HEADER = struct.Struct("!IB")
_MAC_PREFIX = struct.Struct("!QB")
_HELLO_KIND = 0


class FrameFault(Enum):
    """Why a connection is closed."""

    CLOSED = "closed"
    TOO_LARGE = "too_large"
    NOT_AUTHENTIC = "not_authentic"
    MALFORMED = "malformed"


class Channel:
    """One end of an authenticated connection.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    secret : str
        Secret that all instances share; it authenticates the hellos.
    """

    def __init__(self, reader, writer, secret):
        self.reader = reader
        self.writer = writer
        self._secret = secret.encode()
        self._sending_key = self._secret
        self._receiving_key = self._secret
        self._sent_count = 0
        self._received_count = 0

    async def handshake_as_client(self, own_id):
        """Exchange hellos as the connecting side; return the peer's id.

        Returns
        -------
        Result of InstanceId, or of FrameFault
            The peer's id, empty if its hello has none.
        """
        nonce = os.urandom(NONCE_BYTES)
        self._write_hello(own_id, nonce)
        result = await self._read_hello()
        if result.is_error():
            return result
        self._derive_keys(nonce, result.ok.nonce, b"connect", b"accept")
        return Ok(InstanceId(result.ok.instance))

    async def handshake_as_server(self, own_id=""):
        """Exchange hellos as the accepting side; return the peer's id.

        Returns
        -------
        Result of InstanceId, or of FrameFault
            The peer's id, empty if its hello has none.
        """
        result = await self._read_hello()
        if result.is_error():
            return result
        nonce = os.urandom(NONCE_BYTES)
        self._write_hello(own_id, nonce)
        self._derive_keys(result.ok.nonce, nonce, b"accept", b"connect")
        return Ok(InstanceId(result.ok.instance))

    def _write_hello(self, own_id, nonce):
        self.write(_HELLO_KIND, encode(Hello(own_id, nonce)))

    async def _read_hello(self):
        frame = await self.read(MAX_HELLO_BYTES)
        if frame.is_error():
            return frame
        kind, payload = frame.ok
        hello = decode(Hello, payload)
        if kind != _HELLO_KIND or hello.is_error():
            return Error(FrameFault.MALFORMED)
        if not hello.ok.instance and not hello.ok.nonce:
            return Error(FrameFault.MALFORMED)
        return hello

    def _derive_keys(
        self, connecting_nonce, accepting_nonce, sending_label, receiving_label
    ):
        nonces = connecting_nonce + accepting_nonce
        self._sending_key = _compute_hmac(self._secret, nonces + sending_label)
        self._receiving_key = _compute_hmac(self._secret, nonces + receiving_label)

    def write(self, kind, payload):
        """Write one frame to the connection's send buffer.

        On a connection that was lost it is dropped, and the reader reports the loss:
        a frame may be lost on its way in any case.

        Parameters
        ----------
        kind : int
            Kind of the frame, 0 to 255.
        payload : bytes or memoryview
            At most `MAX_PAYLOAD_BYTES`.
        """
        if self.is_closing:
            # uvloop would raise RuntimeError.
            return
        authenticated = _MAC_PREFIX.pack(self._sent_count, kind) + payload
        mac = _compute_hmac(self._sending_key, authenticated)[:MAC_BYTES]
        self._sent_count += 1
        self.writer.write(_HEADER.pack(len(payload), kind) + mac + payload)

    async def read(self, limit=MAX_PAYLOAD_BYTES, wait_for_room=None):
        """Read one frame.

        Parameters
        ----------
        limit : int
            Maximum payload size in bytes.
        wait_for_room : callable or None
            Coroutine function that takes the size of the payload, and returns once
            there is memory for it.

        Returns
        -------
        Result of tuple of int and bytes, or of FrameFault
            Kind and payload.
        """
        try:
            header = await self.reader.readexactly(_HEADER.size)
            size, kind = _HEADER.unpack(header)
            if size > limit:
                return Error(FrameFault.TOO_LARGE)
            if wait_for_room is not None:
                await wait_for_room(size)
            mac = await self.reader.readexactly(MAC_BYTES)
            payload = await self.reader.readexactly(size)
        except (EOFError, OSError):
            return Error(FrameFault.CLOSED)
        authenticated = _MAC_PREFIX.pack(self._received_count, kind) + payload
        expected = _compute_hmac(self._receiving_key, authenticated)[:MAC_BYTES]
        if not hmac.compare_digest(mac, expected):
            return Error(FrameFault.NOT_AUTHENTIC)
        self._received_count += 1
        return Ok((kind, payload))

    @property
    def is_closing(self):
        """Whether the connection is closed or was lost."""
        return self.writer.transport.is_closing()

    def close(self):
        """Close the connection without waiting for the peer."""
        self.writer.close()

    def abort(self):
        """Close the connection, and drop what the peer has not taken."""
        if self.writer.transport.get_write_buffer_size() > 0:
            self.writer.transport.abort()
        else:
            self.writer.close()


def _compute_hmac(key, content):
    return hmac.digest(key, content, hashlib.sha256)
