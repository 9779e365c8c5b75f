"""What an instance tells of its load survives the way to the others."""

import pytest

from tanagerwalk.decisions.release_rollouts import SideCount, Tally
from tanagerwalk.decisions.sharing import SharedLoad
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
def test_load_comes_as_it_was_told(load):
    message = LoadMessage("sender", 1, [encode_load("s0", load)])
    (told,) = decode(LoadMessage, encode(message)).ok.loads
    assert decode_load(told) == load


def test_evidence_comes_as_it_was_told():
    tally = Tally(
        {"plans": SideCount(9, 2)},
        {"plans": SideCount(90, 1), "notes": SideCount(30, 0)},
    )
    message = LoadMessage("sender", 1, [], tallies=[encode_tally("drafts", 7, tally)])
    (told,) = decode(LoadMessage, encode(message)).ok.tallies
    assert (told.service_name, told.order) == ("drafts", 7)
    pooled = decode_tally(told)
    assert pooled.base == tally.base
    assert pooled.target == tally.target | {"notes": SideCount()}
