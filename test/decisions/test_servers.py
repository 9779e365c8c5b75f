"""Server selection with shared, slow, failing, remote and new servers."""

import pytest
from fleets import VERSION, make_record, make_table, report_load

from tanagerwalk.decisions.backends import FailureKind

INSTANCES = 9
CAPACITY = 32


def choose(table, now=0.0, **more):
    return table.choose(now, version=VERSION, **more)


def fill(table, now, long=False):
    """Start attempts until no server has free capacity."""
    while (server := choose(table, now, long=long)) is not None:
        table.start(server.record.id, long)


def test_engine_shared_by_nine_instances_is_not_overrun_for_long():
    """With delayed reports, the attempts in flight converge to the capacity."""
    tables = [
        make_table(make_record("s1"), instance=f"entry-{n}", instance_count=INSTANCES)
        for n in range(INSTANCES)
    ]
    lagging = 0
    for second in range(60):
        for table in tables:
            fill(table, float(second))
        total = sum(table.servers["s1"].in_flight for table in tables)
        for table in tables:
            server = table.servers["s1"]
            running = min(CAPACITY, lagging)
            report_load(table, "s1", running, lagging - running, float(second))
            for _ in range((server.in_flight + 1) // 2):
                table.finish("s1", "s1.1", False)
                table.record_success("s1", float(second), 1.0)
        lagging = total
        if second > 20:
            # A delay of one report lets each instance probe with one extra attempt,
            # and a short class always has one slot.
            assert total <= CAPACITY + 2 * INSTANCES


@pytest.mark.parametrize(
    "degrade",
    [
        lambda table: [table.record_success("s1", 0.0, 10.0) for _ in range(5)],
        lambda table: [
            table.record_failure("s1", 0.0, FailureKind.TIMEOUT) for _ in range(2)
        ],
        # An immediate error is faster than any answer.
        lambda table: table.record_failure("s1", 0.0, FailureKind.ERROR),
    ],
    ids=["slow", "timeouts", "errors"],
)
def test_degraded_server_loses_traffic_and_is_tried_again(degrade):
    table = make_table(make_record("s1"), make_record("s2"))
    degrade(table)
    selected = []
    for _ in range(4):
        selected.append(choose(table).record.id)
        table.start(selected[-1], False)
    assert selected.count("s1") <= 1
    fill(table, 1000.0)
    assert table.servers["s1"].in_flight > 0


def test_one_error_pauses_no_server_but_three_in_a_row_do():
    table = make_table(make_record("s1"))
    for _ in range(2):
        table.record_failure("s1", 0.0, FailureKind.ERROR)
        assert choose(table) is not None
    table.record_failure("s1", 0.0, FailureKind.ERROR)
    assert choose(table) is None


@pytest.mark.parametrize(
    ("kind", "retry_after", "still_paused_s", "resumed_s"),
    [
        (FailureKind.UNREACHABLE, None, 0.9, 1.1),
        (FailureKind.OVERLOAD, None, 0.9, 1.1),
        (FailureKind.OVERLOAD, 5.0, 4.9, 5.1),
        (FailureKind.OVERLOAD, 9999.0, 29.9, 30.1),
        (FailureKind.ERROR, 5.0, 4.9, 5.1),
    ],
)
def test_pause_follows_failure_kind_and_retry_after(
    kind, retry_after, still_paused_s, resumed_s
):
    table = make_table(make_record("s1"))
    table.record_failure("s1", 0.0, kind, retry_after)
    assert choose(table, still_paused_s) is None
    assert choose(table, resumed_s) is not None


def test_long_class_is_served_when_reports_stop_at_a_full_server():
    table = make_table(make_record("s1"))
    report_load(table, "s1", 8, 8, 0.0)
    assert choose(table, 1.0, long=True) is None
    assert choose(table, 100.0, long=True) is not None


def test_pause_after_long_outage_is_bounded():
    table = make_table(make_record("s1"))
    for second in range(2000):
        table.record_failure("s1", float(second), FailureKind.UNREACHABLE)
    assert choose(table, 2031.0) is not None


def test_other_region_is_used_only_when_local_servers_are_busy():
    records = [
        make_record("near"),
        make_record("side", "r1-b"),
        make_record("far", "r2-a"),
    ]
    table = make_table(*records)
    assert choose(table).record.id == "near"
    while (server := choose(table, allow_remote=False)) is not None:
        assert server.record.id != "far"
        table.start(server.record.id, False)
    assert choose(table, allow_remote=True).record.id == "far"


def test_other_region_is_used_at_once_when_the_local_one_is_down():
    table = make_table(make_record("near"), make_record("far", "r2-a"))
    table.record_failure("near", 0.0, FailureKind.UNREACHABLE)
    assert choose(table, allow_remote=False).record.id == "far"


def test_new_server_starts_with_a_share_of_the_initial_limit():
    table = make_table(make_record("s1"), instance_count=INSTANCES)
    fill(table, 0.0)
    assert table.servers["s1"].in_flight == 2
    for _ in range(2):
        table.finish("s1", "s1.1", False)
        table.record_success("s1", 0.0, 1.0)
    fill(table, 0.0)
    assert table.servers["s1"].in_flight > 2


def test_servers_used_in_a_large_fleet_are_bounded_and_spread():
    records = [make_record(f"s{n}") for n in range(200)]
    used = set()
    for instance in range(40):
        table = make_table(*records, instance=f"entry-{instance}")
        serving = [server.record.id for server in table.list_serving(VERSION)]
        assert len(serving) == 32
        used.update(serving)
    assert len(used) == len(records)


def test_slow_local_server_loses_to_another_region():
    table = make_table(make_record("near"), make_record("far", "r2-a"))
    for _ in range(3):
        table.record_success("near", 0.0, 20.0)
    assert choose(table).record.id == "far"


@pytest.mark.parametrize(
    ("incarnation", "is_paused"), [("s1.1", False), ("s1.2", True)]
)
def test_late_failure_counts_only_against_its_own_incarnation(incarnation, is_paused):
    table = make_table(make_record("s1"))
    table.update_records([make_record("s1", incarnation=2)])
    report_load(table, "s1", 0, 0, 0.0)
    table.record_failure("s1", 0.0, FailureKind.UNREACHABLE, incarnation=incarnation)
    assert (choose(table) is None) is is_paused
