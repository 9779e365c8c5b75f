"""Decoding of JSON documents and texts that other programs have written.

`msgspec` reports most defects of a document by an exception of its own, but deeply
nested values exhaust the interpreter's stack, and some texts raise a plain ValueError.
No document may end the task that reads it, so all of these become values here.
"""

import functools

import msgspec
from expression import Error, Ok


def decode_json(data, kind):
    """Decode a JSON document.

    Parameters
    ----------
    data : bytes
        The document.
    kind : type
        Type to decode it into, such as a subclass of `msgspec.Struct`.

    Returns
    -------
    Result of `kind`, or of str
        The error is one line for the log.
    """
    try:
        return Ok(_get_decoder(kind).decode(data))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Error(f"{type(error).__name__}: {error}")


def decode_text(data):
    """Decode a text that should be UTF-8.

    Parameters
    ----------
    data : bytes
        The text.

    Returns
    -------
    Result of str, or of str
        The text, or the problem in one line for the log.
    """
    try:
        return Ok(data.decode())
    except UnicodeDecodeError:
        return Error("not UTF-8")


@functools.cache
def _get_decoder(kind):
    return msgspec.json.Decoder(kind)
