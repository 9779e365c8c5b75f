"""Encoding of messages between entry instances, and rejection of malformed payloads."""

import zlib

import pytest

from tanagerwalk.peers.codec import MAX_DECODED_BYTES, decode, encode
from tanagerwalk.peers.gen.exchange.ttypes import DeclarationNews, Delta, FactItem


def make_delta(count):
    items = [FactItem(4, f"plan/heron:{n}", b"v", n, 1000) for n in range(count)]
    return Delta(7, "entry-1.a", count, items)


@pytest.mark.parametrize("count", [0, 1, 200])
def test_messages_round_trip_and_large_ones_are_compressed(count):
    payload = encode(make_delta(count))
    assert decode(Delta, payload).ok == make_delta(count)
    assert len(payload) < 100 + 20 * count


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x02abc",
        b"\x01abc",
        b"\x00\x16",
        b"\x01" + zlib.compress(b"x" * 100)[:-3],
        b"\x01" + zlib.compress(b"\x00" * (MAX_DECODED_BYTES + 1)),
    ],
)
def test_malformed_bytes_are_errors(payload):
    assert decode(DeclarationNews, payload).is_error()
