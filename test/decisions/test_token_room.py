"""Load: long prompts that exceed a server's memory before they exceed its slots."""

from types import SimpleNamespace

from tanagerwalk.decisions.token_room import (
    MAX_PASSED_OVER,
    TokenRoom,
    choose_with_room,
    estimate_held_tokens,
)
from tanagerwalk.gateway.requests import PromptInfo
from tanagerwalk.ids import BackendServerId

CAPACITY = 100_000
LONG_TOKENS = 12_000
SERVERS = [SimpleNamespace(id=BackendServerId(f"engine-{n}")) for n in range(6)]
FIRST, SECOND = SERVERS[0].id, SERVERS[1].id


def choose_first(left_out):
    return next((server for server in SERVERS if server.id not in left_out), None)


def fill(room, server_id):
    """Send long prompts to a server until it has no room; return their number."""
    count = 0
    while room.fits(server_id, 0, LONG_TOKENS, CAPACITY):
        room.record_sent(server_id, LONG_TOKENS)
        count += 1
    return count


def test_sum_of_tokens_stays_under_the_capacity():
    room = TokenRoom()
    assert fill(room, FIRST) == CAPACITY // LONG_TOKENS
    assert room.fits(SECOND, 0, LONG_TOKENS, CAPACITY)
    room.record_ended(FIRST, LONG_TOKENS)
    assert room.fits(FIRST, 0, LONG_TOKENS, CAPACITY)


def test_requests_of_other_instances_count_as_the_mean_of_the_own_ones():
    room = TokenRoom()
    for _ in range(200):
        room.record_sent(SECOND, LONG_TOKENS)
    assert room.fits(FIRST, 7, LONG_TOKENS, CAPACITY)
    assert not room.fits(FIRST, 8, LONG_TOKENS, CAPACITY)


def test_server_of_unknown_memory_always_has_room():
    room = TokenRoom()
    room.record_sent(FIRST, 10 * CAPACITY)
    assert room.fits(FIRST, 100, LONG_TOKENS, 0)


def test_full_server_is_passed_over_while_another_has_room():
    room = TokenRoom()
    fill(room, FIRST)

    def has_room(server):
        return room.fits(server.id, 0, LONG_TOKENS, CAPACITY)

    assert choose_with_room(choose_first, has_room, frozenset()) is SERVERS[1]
    left_out = frozenset({SECOND})
    assert choose_with_room(choose_first, has_room, left_out) is SERVERS[2]


def test_best_server_is_chosen_if_none_has_room():
    asked = []

    def has_room(server):
        asked.append(server.id)
        return False

    assert choose_with_room(choose_first, has_room, frozenset()) is SERVERS[0]
    assert len(asked) == MAX_PASSED_OVER + 1
    others = frozenset(server.id for server in SERVERS[1:])
    assert choose_with_room(choose_first, has_room, others) is SERVERS[0]


def test_expected_output_counts_as_far_as_it_may_come():
    assert estimate_held_tokens(PromptInfo(1000, 400)) == 1200
    assert estimate_held_tokens(PromptInfo(1000, 400, (), 380)) == 1380
    assert estimate_held_tokens(PromptInfo(1000, 400, (), 9000)) == 1400
