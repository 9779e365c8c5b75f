"""Loads and tallies are unchanged after encoding and decoding as load messages."""

import pytest

from tanagerwalk.decisions.release_rollouts import SideCount, Tally
from tanagerwalk.decisions.shared_loads import SharedLoad
from tanagerwalk.gateway.sharing import (
    decode_load,
    decode_tally,
    encode_load,
    encode_tally,
)
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.loads.ttypes import LoadMessage


@pytest.mark.parametrize(
    "load",
    [
        SharedLoad(3, 4000.0),
        SharedLoad(3, 4000.0, silence=1.25, heard_ago=0.5),
        SharedLoad(0, 0.0, heard_ago=0.0),
    ],
)
def test_load_survives_encoding(load):
    message = LoadMessage("sender", 1, [encode_load("s0", load)])
    (encoded,) = decode(LoadMessage, encode(message)).ok.loads
    assert decode_load(encoded) == load


def test_tally_survives_encoding():
    tally = Tally(
        {"plans": SideCount(9, 2)},
        {"plans": SideCount(90, 1), "notes": SideCount(30, 0)},
    )
    message = LoadMessage("sender", 1, [], tallies=[encode_tally("drafts", 7, tally)])
    (encoded,) = decode(LoadMessage, encode(message)).ok.tallies
    assert (encoded.service_name, encoded.order) == ("drafts", 7)
    merged = decode_tally(encoded)
    assert merged.base == tally.base
    assert merged.target == tally.target | {"notes": SideCount()}
