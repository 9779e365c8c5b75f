"""Encoding of the messages between entry instances."""

from expression import Error, Ok
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.TSerialization import deserialize, serialize

_FACTORY = TCompactProtocolAcceleratedFactory()


def encode(message):
    """Return the bytes of a generated thrift struct."""
    return serialize(message, _FACTORY)


def decode(kind, payload):
    """Read a struct.

    Parameters
    ----------
    kind : type
        The generated class.
    payload : bytes
        Its encoding.

    Returns
    -------
    Result of the struct, or of str
        The error is one line for the log.
    """
    try:
        return Ok(deserialize(kind(), payload, _FACTORY))
    except (EOFError, TProtocolException, ValueError, TypeError) as error:
        return Error(f"malformed {kind.__name__}: {type(error).__name__}")
