"""Servers that were out of reach, and whose entries show that they ran on."""

from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.cold_servers import ColdServers
from tanagerwalk.decisions.paths import Outage
from tanagerwalk.gateway import cold_watch
from tanagerwalk.gateway.cold_watch import ColdWatch
from tanagerwalk.gateway.settings import Bounds
from tanagerwalk.registry import ENTRY_LIFETIME_S, RegisteredServer, ServerState

SERVER = RegisteredServer(
    "desk-0", "desk", ("10.0.0.1", 80), "a-1", "v1", 8, ServerState.READY, born=1
)
COLD_START_S = 60.0
RETURNED_AT = 10.0


@pytest.mark.parametrize(
    ("confirmed_at", "reconnected_at", "is_cold"),
    [
        (RETURNED_AT + ENTRY_LIFETIME_S, 0.0, False),
        # An old copy, and one of a store that has just been regained.
        (RETURNED_AT, 0.0, True),
        (RETURNED_AT + ENTRY_LIFETIME_S, RETURNED_AT + 1.0, True),
    ],
)
def test_confirmed_entries_end_the_limits_of_servers_that_ran_on(
    monkeypatch, confirmed_at, reconnected_at, is_cold
):
    now = RETURNED_AT
    # The machine was suspended for 100 s since its boot.
    monkeypatch.setattr(cold_watch, "read_boot_clock", lambda: now + 100.0)
    cold = ColdServers()
    service = SimpleNamespace(cold_start=COLD_START_S, cold_rate=8.0)
    watch = ColdWatch(
        SimpleNamespace(
            limits=SimpleNamespace(cold=cold), list_servers=lambda: [SERVER]
        ),
        SimpleNamespace(manifest=SimpleNamespace(services={"desk": service})),
        Bounds,
        lambda: reconnected_at + 100.0,
        lambda: now,
    )
    watch.update()
    watch.record_return(SERVER, Outage.CUT_OFF)
    now = RETURNED_AT + ENTRY_LIFETIME_S + 1.0
    watch.confirm_starts(confirmed_at + 100.0)
    assert cold.count(now) == is_cold
