"""Memory of the entries that an instance keeps of the store."""

from tanagerwalk.gateway.entry_table import EntryMemory, EntryTable
from tanagerwalk.ids import Revision
from tanagerwalk.writes import Entry

CAPACITY_BYTES = 100_000


def build_table():
    memory = EntryMemory("servers/", CAPACITY_BYTES)
    return EntryTable(memory), memory


def build_entry(key, size=100, revision=1):
    return Entry(key, b"x" * size, Revision(revision))


def fill(table):
    count = 0
    while table.put(build_entry(f"servers/{count}")):
        count += 1
    return count


def test_memory_is_counted_until_the_entries_are_gone():
    table, memory = build_table()
    held = []
    memory.hold = held.append
    for revision, size in enumerate((100, 5000, 10)):
        table.put(build_entry("op/config", size, revision))
    assert memory.used == sum(held) > 0
    table.discard("op/config")
    table.discard("op/config")
    assert memory.used == sum(held) == 0


# Guards against entries without end, whatever their size, that fill the memory.
def test_new_servers_are_left_out_once_there_is_no_room():
    table, memory = build_table()
    assert 10 < fill(table) < CAPACITY_BYTES // 1000
    assert memory.has_left_out
    assert memory.used < CAPACITY_BYTES


def test_operators_and_instances_have_room_beside_any_number_of_servers():
    table, _ = build_table()
    fill(table)
    assert table.put(build_entry("op/config", 5000))
    assert table.put(build_entry("tanagerwalk/instance/a.1"))


def test_known_entry_may_grow_in_a_full_table():
    table, _ = build_table()
    fill(table)
    table.put(build_entry("op/config", 10))
    assert table.put(build_entry("op/config", CAPACITY_BYTES))
    assert len(table["op/config"].value) == CAPACITY_BYTES


def test_store_is_listed_again_once_there_is_room():
    table, memory = build_table()
    count = fill(table)
    assert not memory.may_list_again
    for number in range(count):
        table.discard(f"servers/{number}")
    assert memory.may_list_again
