"""Which ends of processes count as violations."""

import signal

import pytest

from soak.exits import Exit, find_exit_violations
from soak.fleet import Fleet
from tanagerwalk.controllers.loop import poll_until


@pytest.mark.parametrize(
    ("status", "sent", "expected"),
    [
        (0, signal.SIGTERM, None),
        (-signal.SIGKILL, signal.SIGKILL, None),
        (1, signal.SIGTERM, "status 1 after SIGTERM, inf s old"),
        (-signal.SIGTERM, signal.SIGTERM, "status -15 after SIGTERM, inf s old"),
        (-signal.SIGSEGV, signal.SIGKILL, "status -11 after SIGKILL, inf s old"),
        (0, None, "status 0: by itself"),
        (1, None, "status 1: by itself"),
        (-signal.SIGKILL, None, "status -9: by itself"),
        (-signal.SIGHUP, None, "by the signal to reload"),
    ],
)
def test_each_odd_end_is_found(status, sent, expected):
    violations = find_exit_violations([Exit("gateway-0.1", status, sent)], {})
    assert len(violations) == bool(expected)
    assert not expected or violations[0].endswith(expected)


# The interpreter has no handler for SIGTERM before it runs the first line.
@pytest.mark.parametrize(
    ("status", "age", "has_logged", "is_allowed"),
    [
        (-signal.SIGTERM, 0.09, False, True),
        (-signal.SIGTERM, 0.09, True, False),
        (-signal.SIGTERM, 0.11, False, False),
        (1, 0.09, False, False),
    ],
)
def test_only_a_process_that_ran_no_line_may_end_by_sigterm(
    status, age, has_logged, is_allowed
):
    ended = Exit("gateway-0.1", status, signal.SIGTERM, age, has_logged)
    assert (find_exit_violations([ended], {}) == []) == is_allowed


def test_memory_over_the_limit_is_found():
    peaks = {"gateway-0.1": 150.0, "gateway-0.2": 150.6}
    assert find_exit_violations([], peaks) == ["gateway-0.2 used 151 MB of 150"]


def has_started(gateway):
    return "listening" in (gateway.folder / f"{gateway.name}.2.log").read_text()


async def test_process_that_ends_by_itself_is_recorded_and_started_again(tmp_path):
    """Guards against a soak that can't tell an end from a fault of its own."""
    fleet = Fleet(tmp_path)
    await fleet.start()
    gateway = fleet.gateways[0]
    first = gateway.process
    # Not by `stop`, as if it had ended by itself.
    first.kill()
    assert await poll_until(lambda: gateway.start_count == 2, 0.05, 10.0)
    # Past the start, in which SIGTERM has no handler yet.
    assert await poll_until(lambda: has_started(gateway), 0.05, 10.0)
    await gateway.restart(signal.SIGTERM)
    await fleet.stop()
    (ended, *others) = gateway.exits
    assert (ended.status, ended.sent) == (-signal.SIGKILL, None)
    assert [each.sent for each in others] == [signal.SIGTERM, signal.SIGKILL]
    assert 20.0 < gateway.peaks_mb["gateway-0.2"] < 100.0
