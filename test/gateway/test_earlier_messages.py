"""Messages between this build and the one that it replaces, 3adb429, both ways.

earlier_load_types.py holds the types that were generated there.
"""

import earlier_load_types as earlier
import pytest

from tanagerwalk.decisions.demands import Demand
from tanagerwalk.decisions.part_records import CrashWeight, PartRecord
from tanagerwalk.decisions.quarantine import CrashRecord
from tanagerwalk.gateway.demand_messages import decode_demand, encode_demand
from tanagerwalk.gateway.load_messages import decode_blame, encode_blame
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.loads.ttypes import CrashBlame, LoadMessage, ServiceDemand

PART = "part-0123456789abcdef"
LIFETIME_S = 30.0
CRASHES = {"s1": CrashWeight.BEGUN, "s2": CrashWeight.PRESENT}
REQUEST_RECORD = CrashRecord(frozenset({"s1", "s2"}), LIFETIME_S)


def convert(blame, sent_type, received_type):
    """Send a blame in a message of one build and return what the other one reads."""
    message = sent_type("sender", 1, blames=[blame], scope=0, domain="a-1")
    (received,) = decode(received_type, encode(message)).ok.blames
    return received


@pytest.mark.parametrize(
    ("key", "record"),
    [
        ("0123456789abcdef01234567", REQUEST_RECORD),
        (PART, PartRecord(CRASHES, 2, LIFETIME_S, answered_ago=1.5)),
        (PART, PartRecord(CRASHES, 2, LIFETIME_S)),
        (PART, PartRecord({}, 2, LIFETIME_S, answered_ago=0.0)),
    ],
)
def test_record_survives_encoding(key, record):
    blame = convert(encode_blame(record, key), LoadMessage, LoadMessage)
    assert decode_blame(blame) == (key, record)


@pytest.mark.parametrize(
    ("key", "record"),
    [
        ("0123456789abcdef01234567", REQUEST_RECORD),
        (PART, PartRecord(CRASHES, 2, LIFETIME_S, answered_ago=1.5)),
    ],
)
def test_earlier_build_reads_the_servers_and_the_lifetime(key, record):
    blame = convert(encode_blame(record, key), LoadMessage, earlier.LoadMessage)
    assert blame.fingerprint == key
    assert blame.servers == ["s1", "s2"]
    assert blame.lifetime_ms == LIFETIME_S * 1000


def test_record_of_a_request_from_an_earlier_build_is_read_as_before():
    blame = earlier.CrashBlame("0123456789abcdef01234567", ["s1", "s2"], 30_000)
    received = convert(blame, earlier.LoadMessage, LoadMessage)
    assert decode_blame(received) == ("0123456789abcdef01234567", REQUEST_RECORD)


def test_part_that_an_earlier_relay_passes_on_counts_in_full():
    blame = earlier.CrashBlame(PART, ["s1", "s2"], 30_000)
    received = convert(blame, earlier.LoadMessage, LoadMessage)
    begun = dict.fromkeys(("s1", "s2"), CrashWeight.BEGUN)
    assert decode_blame(received) == (PART, PartRecord(begun, 0, LIFETIME_S))


def test_values_out_of_range_are_bounded():
    blame = CrashBlame(PART, ["s1"], -5, ["s9"], -7, -1)
    crashes = {"s1": CrashWeight.PRESENT}
    assert decode_blame(blame) == (PART, PartRecord(crashes, 0, 0.0, 0.0))


DEMAND = Demand(70.0, tuple(range(10)), tuple(range(9, -1, -1)), {2**55: 60.0})


def send_demand(encoded, received_type):
    message = LoadMessage("sender", 1, demands=[encoded], scope=0, domain="a-1")
    return decode(received_type, encode(message)).ok


def test_demand_survives_encoding():
    (received,) = send_demand(encode_demand("llm", DEMAND), LoadMessage).demands
    assert decode_demand(received) == ("llm", DEMAND)


def test_earlier_build_reads_a_message_of_demands_as_one_without_sections():
    received = send_demand(encode_demand("llm", DEMAND), earlier.LoadMessage)
    assert (received.sender, received.sequence) == ("sender", 1)
    assert not any((received.loads, received.blames, received.tallies))


def test_message_of_an_earlier_build_tells_of_no_demand():
    message = earlier.LoadMessage("sender", 1, [], scope=0, domain="a-1")
    assert decode(LoadMessage, encode(message)).ok.demands is None


def test_demand_out_of_range_is_bounded():
    _, demand = decode_demand(ServiceDemand("llm", -5, [-1, 7], [1] * 99, []))
    assert demand == Demand(0.0, (0.0, 7.0) + (0.0,) * 8, (1.0,) * 10)
