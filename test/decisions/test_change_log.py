"""The log of store changes gives every reader the entries of the store."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.changes import Changes
from tanagerwalk.decisions import change_log as change_log_module
from tanagerwalk.decisions.change_log import ChangeLog
from tanagerwalk.ids import Revision
from tanagerwalk.writes import Entry

KEYS = ["servers/1", "servers/2", "op/config", "instance/1"]
STEPS = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=40)


def build_change(key, is_written, revision):
    if is_written:
        entry = Entry(key, b"%d" % revision, Revision(revision))
        return Changes((entry,), (), Revision(revision))
    return Changes((), ((key, Revision(revision)),), Revision(revision))


def apply(entries, changes):
    for entry in changes.written:
        entries[entry.key] = entry
    for key, revision in changes.deleted:
        if key in entries and entries[key].revision <= revision:
            del entries[key]


@given(STEPS, st.integers(0, 40))
def test_reader_ends_with_the_same_entries_from_any_revision(steps, read_until):
    log = ChangeLog()
    log.start(Revision(0))
    store, reader = {}, {}
    for revision, (key, is_written) in enumerate(steps, start=1):
        change = build_change(key, is_written, revision)
        apply(store, change)
        log.record(change)
        if revision <= read_until:
            apply(reader, change)
    missing = log.list_since(Revision(min(read_until, len(steps))))
    apply(reader, missing)
    assert reader == store
    assert missing.revision == len(steps)


def test_reader_from_before_the_first_revision_has_to_list_the_store():
    log = ChangeLog()
    assert log.list_since(Revision(5)).compacted
    log.start(Revision(7))
    assert log.list_since(Revision(6)).compacted
    assert not log.list_since(Revision(7)).compacted


@given(STEPS)
def test_trimmed_log_never_misses_a_change(steps):
    """A reader whose changes were dropped is told so."""
    limit, change_log_module.MAX_CHANGES = change_log_module.MAX_CHANGES, 2
    try:
        log = ChangeLog()
        log.start(Revision(0))
        copies = [{}]
        for revision, (key, is_written) in enumerate(steps, start=1):
            change = build_change(key, is_written, revision)
            copies.append(dict(copies[-1]))
            apply(copies[-1], change)
            log.record(change)
        for revision, copy in enumerate(copies):
            missing = log.list_since(Revision(revision))
            if not missing.compacted:
                apply(copy, missing)
                assert copy == copies[-1]
    finally:
        change_log_module.MAX_CHANGES = limit


# Guards against a key that other instances lack for good: it was deleted and written
# again between two reads of the store, and they were told of the deletion alone.
def test_key_that_is_written_again_in_the_same_read_is_passed_on():
    log = ChangeLog()
    log.start(Revision(0))
    again = Entry("op/evacuate/a-1", b"", Revision(7))
    deleted = ((again.key, Revision(6)),)
    log.record(Changes((again,), deleted, Revision(7)))
    assert log.list_since(Revision(5)).written == (again,)


# Guards against large entries that the log keeps for other instances, beyond what the
# copy of the store itself keeps.
def test_log_has_a_bound_of_bytes_and_the_last_change():
    log = ChangeLog()
    log.start(Revision(0))
    for revision in range(1, 100):
        entry = Entry(f"instance/{revision}", b"x" * 1_000_000, Revision(revision))
        log.record(Changes((entry,), (), Revision(revision)))
    assert log.list_since(Revision(50)).compacted
    assert [e.revision for e in log.list_since(Revision(98)).written] == [99]
    assert len(log._written) < 10
