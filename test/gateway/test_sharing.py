"""What an instance tells of its load survives the way to the others."""

import pytest

from tanagerwalk.decisions.sharing import SharedLoad
from tanagerwalk.gateway.sharing import _decode_load, _encode_load
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
    message = LoadMessage("sender", 1, [_encode_load("s0", load)])
    (told,) = decode(LoadMessage, encode(message)).ok.loads
    assert _decode_load(told) == load
