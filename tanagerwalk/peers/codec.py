"""Thrift encoding of the messages between entry instances, with compression."""

import zlib

from expression import Error, Ok
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

# Protects against payloads that decompress to an excessive size.
MAX_DECODED_BYTES = 8 * 1024 * 1024
MIN_COMPRESSED_BYTES = 150
COMPRESSION_LEVEL = 1

# First byte of a payload.
_UNCOMPRESSED = b"\0"
_COMPRESSED = b"\1"
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()


def encode(message):
    """Encode a generated thrift struct, compressed if that makes it shorter."""
    content = serialize(message, _PROTOCOL_FACTORY)
    if len(content) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(content, COMPRESSION_LEVEL)
        if len(compressed) < len(content):
            return _COMPRESSED + compressed
    return _UNCOMPRESSED + content


def decode(kind, payload):
    """Decode a payload into a thrift struct.

    Parameters
    ----------
    kind : type
        Generated thrift class to decode into.
    payload : bytes
        Output of `encode`.

    Returns
    -------
    Result of the struct, or of str
        The error is one line for the log.
    """
    try:
        return Ok(deserialize(kind(), _decompress(payload), _PROTOCOL_FACTORY))
    except Exception as error:
        # thrift raises exceptions of many kinds, some only in its accelerated parts.
        return Error(f"malformed {kind.__name__}: {type(error).__name__}")


def _decompress(payload):
    flag, content = payload[:1], payload[1:]
    if flag == _UNCOMPRESSED:
        return content
    if flag != _COMPRESSED:
        raise ValueError(f"unknown compression flag {flag!r}")
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(content, MAX_DECODED_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed content is truncated or too large")
    return content
