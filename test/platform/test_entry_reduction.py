"""What is kept of the entries in the store, whoever has written them."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from odd_servers import SERVER, list_odd_entries

from tanagerwalk.entry_reduction import ReducedChanges
from tanagerwalk.ids import Revision
from tanagerwalk.platform.entries import EntryReduction
from tanagerwalk.platform.servers import parse_rollout_order, parse_server
from tanagerwalk.writes import Entry

REDUCTION = EntryReduction()
MAX_KEPT_BYTES = 8192
LONG = "x" * 1_000_000
ORDER = {"service": "desk", "target": "v2", "duration_s": 9}
PREFIXES = [
    "servers/",
    "op/rollout/",
    "op/evacuate/",
    "tanagerwalk/instance/",
    "tanagerwalk/rollout/",
    "tanagerwalk/fleet-key",
]


def reduce(key, value):
    return REDUCTION.reduce(Entry(key, value, Revision(5)))


# Guards against a value of a megabyte that each instance keeps.
@pytest.mark.parametrize("prefix", PREFIXES)
@given(value=st.binary(max_size=64))
def test_any_large_value_is_reduced_or_left_out(prefix, value):
    reduced = reduce(prefix + "a", value + LONG.encode())
    assert reduced is None or len(reduced.value) <= MAX_KEPT_BYTES


@pytest.mark.parametrize("name", [*SERVER, "note", "models", "stage"])
def test_server_with_a_long_field_is_reduced_or_left_out(name):
    reduced = reduce("servers/a", json.dumps(SERVER | {name: LONG}).encode())
    assert reduced is None or len(reduced.value) <= MAX_KEPT_BYTES


def test_server_is_the_same_without_what_is_not_read():
    value = json.dumps(SERVER | {"note": LONG}).encode()
    before = parse_server("servers/a", value, Revision(5)).ok
    reduced = reduce("servers/a", value)
    assert parse_server("servers/a", reduced.value, Revision(5)).ok == before
    assert reduced.revision == 5


def test_order_is_the_same_without_what_is_not_read():
    value = json.dumps(ORDER | {"note": LONG}).encode()
    before = parse_rollout_order("op/rollout/desk", value, 5).ok
    reduced = reduce("op/rollout/desk", value)
    assert parse_rollout_order("op/rollout/desk", reduced.value, 5).ok == before


@pytest.mark.parametrize(("key", "value"), list_odd_entries())
def test_entry_that_names_no_server_is_left_out(key, value):
    assert reduce(key, value) is None


def test_manifest_and_ordinary_entries_stay_as_they_are():
    for key, value in [
        ("op/config", LONG.encode()),
        ("servers/a", json.dumps(SERVER).encode()),
        ("tanagerwalk/instance/a.1", b"{}"),
    ]:
        assert reduce(key, value).value == value


@pytest.mark.parametrize(
    "key", ["", "other/a", "op/other", "status/rollout/desk", "servers/" + "a" * 300]
)
def test_keys_that_nobody_reads_are_counted_alone(key):
    changes = ReducedChanges(REDUCTION)
    assert not changes.is_read(key)
    built = changes.build(Revision(7))
    assert (built.written, built.deleted) == ((), ())
    assert not built.is_empty
    assert not built.has_effect


# Guards against a server that goes on being used after its entry was overwritten.
def test_entry_that_is_overwritten_with_unreadable_bytes_counts_as_deleted():
    changes = ReducedChanges(REDUCTION)
    server = Entry("servers/a", json.dumps(SERVER).encode(), Revision(5))
    changes.add_written(server)
    changes.add_written(Entry("servers/a", b"x", Revision(6)))
    built = changes.build(Revision(7))
    assert built.deleted == (("servers/a", Revision(6)),)


def test_last_write_of_a_key_counts():
    changes = ReducedChanges(REDUCTION)
    for revision in range(3, 9):
        value = LONG.encode() + b"%d" % revision
        changes.add_written(Entry("op/config", value, Revision(revision)))
    assert [entry.revision for entry in changes.written] == [8]
    assert changes.size < 2 * len(LONG)
