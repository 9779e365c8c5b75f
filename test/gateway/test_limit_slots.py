"""Slots of limits that instances grant each other."""

import asyncio
import itertools
import random
from types import SimpleNamespace

import earlier_load_types as earlier
import pytest
from virtual_time import run_in_virtual_time

from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.send_slots import SEND_WINDOW_S
from tanagerwalk.decisions.server_limits import ServerLimits
from tanagerwalk.gateway.limit_slots import ANSWER_TIMEOUT_S, LimitSlots
from tanagerwalk.gateway.metrics import GatewayMetrics
from tanagerwalk.gateway.permit_notes import (
    SLOT_KINDS,
    PermitNote,
    PermitNoteKind,
    decode_permit_note,
    encode_permit_note,
)
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.loads.ttypes import LoadMessage

LIFE = 7
# Of a server whose limit has the same holder.
OTHER_LIFE = 8
# One instance of two has a part, and may send once in ten seconds.
RATE_PER_S = 0.1
NAMES = ("gateway-0", "gateway-1")
PEER = Peer(("127.0.0.1", 1), grants_slots=True)
ASK = PermitNote(PermitNoteKind.ASK_SLOT, "desk", (5,), (LIFE, OTHER_LIFE), 0.25)


class Pair:
    """Two instances, of which one has the only part of a limit."""

    def __init__(self, delay):
        self.clock = asyncio.get_running_loop().time
        self.delay = delay
        self.sent = []
        self.limits = {}
        self.slots = {}
        for name, other in zip(NAMES, reversed(NAMES), strict=True):
            self._add(name, other)
        has_part = [n for n in NAMES if self.limits[n].find_rate(LIFE, 0.0) > 0.0]
        [self.holder] = has_part
        [self.asker] = set(NAMES) - set(has_part)

    def _add(self, name, other):
        limits = self.limits[name] = ServerLimits(random.Random(1))
        limits.set_members(name, [other])
        limits.record(LIFE, RATE_PER_S, self.clock())
        limits.record(OTHER_LIFE, RATE_PER_S, self.clock())
        servers = SimpleNamespace(limits=limits)
        slots = LimitSlots(
            name, servers, GatewayMetrics(), self.clock, random.Random(2)
        )
        slots.set_peers({other: PEER})
        slots.send_notes = lambda receiver, notes: self._send(name, receiver, notes)
        self.slots[name] = slots

    def _send(self, sender, receiver, notes):
        for note in notes:
            self.sent.append(note.kind)
            receive = self.slots[receiver].receive
            asyncio.get_running_loop().call_later(self.delay, receive, sender, note)

    async def wait_for_slot(self):
        await asyncio.sleep(self.limits[self.holder].find_wait(LIFE, self.clock()))

    async def acquire(self):
        return await self.slots[self.asker].acquire("desk", [LIFE], 0.25)


def run(play, delay=0.01):
    async def play_pair():
        await play(Pair(delay))

    run_in_virtual_time(play_pair())


def test_granted_slot_is_not_used_by_its_holder():
    async def play(pair):
        await pair.wait_for_slot()
        asked_at = pair.clock()
        slot = await pair.acquire()
        assert slot.begins_at == pytest.approx(asked_at + 2 * pair.delay)
        assert slot.ends_at == pytest.approx(asked_at + SEND_WINDOW_S)
        assert pair.limits[pair.holder].find_wait(LIFE, pair.clock()) > 1.0
        assert pair.limits[pair.asker].admit(LIFE, slot, pair.clock())

    run(play)


def test_slot_that_begins_soon_is_waited_for():
    async def play(pair):
        await pair.wait_for_slot()
        await asyncio.sleep(1.0)
        wait = pair.limits[pair.holder].find_wait(LIFE, pair.clock())
        await asyncio.sleep(wait - 0.2)
        slot = await pair.acquire()
        assert slot.begins_at - pair.clock() == pytest.approx(0.19)
        assert not pair.limits[pair.asker].admit(LIFE, slot, pair.clock())

    run(play)


# Guards against a grant that is used in a time which its holder doesn't count.
@pytest.mark.parametrize("delay", [0.035, 0.06, 1.0])
def test_grant_that_comes_late_is_not_used_after_its_window(delay):
    async def play(pair):
        await pair.wait_for_slot()
        asked_at = pair.clock()
        slot = await pair.acquire()
        assert (slot is None) == (2 * delay > ANSWER_TIMEOUT_S)
        await asyncio.sleep(3.0)
        late = pair.clock()
        assert late > asked_at + SEND_WINDOW_S
        assert not pair.limits[pair.asker].admit(LIFE, slot, late)

    run(play, delay)


def test_instance_that_has_no_slot_is_not_asked_again_at_once():
    async def play(pair):
        await pair.wait_for_slot()
        assert await pair.acquire() is not None
        for _ in range(5):
            assert await pair.acquire() is None
        assert pair.sent.count(PermitNoteKind.ASK_SLOT) == 2

    run(play)


@pytest.mark.parametrize("delay", [ANSWER_TIMEOUT_S, 1000.0])
def test_holder_without_an_answer_in_time_is_asked_less_and_less(delay):
    async def play(pair):
        await pair.wait_for_slot()
        asked_at = []
        for _ in range(2000):
            asked = pair.sent.count(PermitNoteKind.ASK_SLOT)
            began = pair.clock()
            assert await pair.acquire() is None
            if pair.sent.count(PermitNoteKind.ASK_SLOT) > asked:
                asked_at.append(began)
            await asyncio.sleep(0.02)
        pauses = [later - at for at, later in itertools.pairwise(asked_at)]
        assert pauses[:5] == pytest.approx([1.1, 2.1, 4.1, 8.1, 8.1], abs=0.05)
        pair.delay = 0.01
        await asyncio.sleep(10.0)
        await pair.wait_for_slot()
        assert await pair.acquire() is not None
        pair.delay = 1000.0
        await asyncio.sleep(10.0)
        assert await pair.acquire() is None
        asked = pair.sent.count(PermitNoteKind.ASK_SLOT)
        await asyncio.sleep(1.1)
        assert await pair.acquire() is None
        assert pair.sent.count(PermitNoteKind.ASK_SLOT) == asked + 1

    run(play, delay)


def test_questions_at_the_same_time_count_once_if_they_are_not_answered():
    async def play(pair):
        await asyncio.gather(*[pair.acquire() for _ in range(9)])
        asked = pair.sent.count(PermitNoteKind.ASK_SLOT)
        await asyncio.sleep(1.1)
        await pair.acquire()
        assert pair.sent.count(PermitNoteKind.ASK_SLOT) == asked + 1

    run(play, 1000.0)


def test_denial_for_some_servers_leaves_questions_for_others():
    async def play(pair):
        slots, limits = pair.slots[pair.asker], pair.limits[pair.holder]
        await pair.wait_for_slot()
        assert await pair.acquire() is not None
        await asyncio.sleep(limits.find_wait(OTHER_LIFE, pair.clock()))
        assert await pair.acquire() is None
        slot = await slots.acquire("desk", [LIFE, OTHER_LIFE], 0.25)
        assert slot.life == OTHER_LIFE
        assert await pair.acquire() is None
        assert pair.sent.count(PermitNoteKind.ASK_SLOT) == 3

    run(play)


def test_slot_for_which_an_own_request_waits_is_not_granted():
    async def play(pair):
        limits = pair.limits[pair.holder]
        await asyncio.sleep(limits.find_wait(LIFE, pair.clock()) - 0.1)
        limits.waiting["desk"] = 1
        assert await pair.acquire() is None
        assert limits.find_wait(LIFE, pair.clock()) < 0.1

    run(play)


@pytest.mark.parametrize(
    "note",
    [
        ASK,
        PermitNote(PermitNoteKind.SLOT_GRANTED, "desk", (5,), (LIFE,), 0.125),
        PermitNote(PermitNoteKind.SLOT_DENIED, "desk", (5,), wait=0.5),
    ],
)
def test_note_survives_encoding(note):
    assert note.kind in SLOT_KINDS
    message = LoadMessage(
        "a", 1, permits=[encode_permit_note(note)], scope=0, domain=""
    )
    [received] = decode(LoadMessage, encode(message)).ok.permits
    assert decode_permit_note(received) == note


def test_earlier_build_reads_a_message_of_slots_as_one_without_sections():
    message = LoadMessage("a", 1, permits=[encode_permit_note(ASK)], scope=0, domain="")
    received = decode(earlier.LoadMessage, encode(message)).ok
    assert not any((received.loads, received.blames, received.tallies))


def test_note_of_a_kind_that_is_not_known_is_ignored():
    encoded = encode_permit_note(ASK)
    encoded.kind = max(kind.value for kind in PermitNoteKind) + 1
    assert decode_permit_note(encoded) is None
