"""What an instance keeps of a running roll-out, and of earlier ones."""

import random
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

from tanagerwalk.decisions.failure_bursts import FailureHistory
from tanagerwalk.decisions.relays import Scope
from tanagerwalk.decisions.release_rollouts import RolloutPhase, RolloutState
from tanagerwalk.decisions.tallies import SideCount, Tally
from tanagerwalk.gateway.release_rollouts import (
    ROLLOUT_PREFIX,
    ReleaseRolloutController,
)
from tanagerwalk.gateway.rollout_records import encode_state
from tanagerwalk.registry import RolloutOrder
from tanagerwalk.writes import Entry

FIRST = RolloutOrder("desk", "v2", 20.0, 7)
SECOND = RolloutOrder("desk", "v3", 20.0, 9)


class Mirror:
    """Holds what other instances have written to the store."""

    is_loaded = True

    def __init__(self):
        self.entries = {}
        self._callback = None

    def subscribe(self, callback):
        self._callback = callback

    def load(self, order, revision, phase=RolloutPhase.CANARY):
        key = ROLLOUT_PREFIX + order.service
        state = RolloutState(order.service, order.target, order.revision, phase)
        self.entries[key] = Entry(key, encode_state(state), revision)
        self._callback()


def build_controller():
    mirror = Mirror()
    cluster_state = SimpleNamespace(orders={"desk": FIRST})
    controller = ReleaseRolloutController(
        None,
        mirror,
        cluster_state,
        None,
        "a-1",
        lambda: True,
        lambda: 10.0,
        random.Random(1),
    )
    return controller, mirror, cluster_state


async def follow(controller, mirror, cluster_state):
    """Take part in the first roll-out, then in one that others have started."""
    mirror.load(FIRST, 8)
    controller.record_start(FIRST, True)
    await controller._advance(FIRST)
    controller._rolled_back.add(("desk", FIRST.revision))
    cluster_state.orders = {"desk": SECOND}
    mirror.load(SECOND, 10)
    controller.record_start(SECOND, True)
    await controller._advance(SECOND)


# Guards against memory that grows with each order that another instance started.
async def test_earlier_orders_are_forgotten():
    controller, mirror, cluster_state = build_controller()
    await follow(controller, mirror, cluster_state)
    assert controller._tallies.keys() == {("desk", SECOND.revision)}
    assert controller._recent_latencies.keys() == {("desk", SECOND.revision)}
    assert controller._started_at.keys() == {("desk", SECOND.revision)}
    assert controller._rolled_back == set()


async def test_late_tally_of_an_earlier_order_is_forgotten():
    controller, mirror, cluster_state = build_controller()
    await follow(controller, mirror, cluster_state)
    late = Tally({"plans": SideCount(9, 2)}, {})
    key = ("desk", FIRST.revision)
    controller.record_peer_tally(key, Scope.INSTANCE, "a-1", "other", late)
    mirror.load(SECOND, 11, RolloutPhase.COMPLETE)
    await controller._advance(SECOND)
    assert controller._tallies.keys() == {("desk", SECOND.revision)}


async def test_earlier_order_goes_on_after_a_restore_of_the_store():
    controller, mirror, cluster_state = build_controller()
    mirror.load(FIRST, 8)
    cluster_state.orders = {"desk": SECOND}
    controller._forget_earlier_orders(SECOND)
    cluster_state.orders = {"desk": FIRST}
    await controller._advance(FIRST)
    assert controller.find_progress(FIRST, 12.0) == 0.1


async def test_history_of_a_finished_rollout_is_forgotten():
    controller, mirror, _ = build_controller()
    mirror.load(FIRST, 8)
    await controller._advance(FIRST)
    assert controller._failure_histories
    mirror.load(FIRST, 9, RolloutPhase.COMPLETE)
    await controller._advance(FIRST)
    assert not controller._failure_histories


async def test_bursts_are_looked_for_once_a_step(monkeypatch):
    controller, mirror, _ = build_controller()
    mirror.load(FIRST, 8)
    tally = Tally({"plans": SideCount(99, 50)}, {"plans": SideCount(99, 0)})
    key = ("desk", FIRST.revision)
    controller.record_peer_tally(key, Scope.INSTANCE, "a-1", "other", tally)
    remove_bursts = Mock(side_effect=lambda tally: tally)
    monkeypatch.setattr(FailureHistory, "remove_bursts", remove_bursts)
    monkeypatch.setattr(controller, "_write_phase", AsyncMock())
    await controller._advance(FIRST)
    assert controller.get_state(FIRST).phase is RolloutPhase.ROLLED_BACK
    remove_bursts.assert_called_once()


async def test_earlier_orders_are_looked_for_only_after_a_change(monkeypatch):
    """Guards against a search through all orders for each order in each step."""
    controller, mirror, cluster_state = build_controller()
    forget = Mock()
    monkeypatch.setattr(controller, "_forget_earlier_orders", forget)
    await follow(controller, mirror, cluster_state)
    for _ in range(5):
        await controller._advance(SECOND)
    assert [call.args[0] for call in forget.call_args_list] == [FIRST, SECOND]


async def advance_with_bad_answers(controller, mirror):
    """Advance a running roll-out whose target failed often by another's counts."""
    mirror.load(FIRST, 8)
    tally = Tally({"plans": SideCount(99, 50)}, {"plans": SideCount(99, 0)})
    key = ("desk", FIRST.revision)
    controller.record_peer_tally(key, Scope.INSTANCE, "a-1", "other", tally)
    await controller._advance(FIRST)
    return controller.get_state(FIRST).phase


async def test_instance_that_starts_late_leaves_earlier_answers_to_others(monkeypatch):
    late, mirror, _ = build_controller()
    monkeypatch.setattr(late, "_write_phase", AsyncMock())
    phase = await advance_with_bad_answers(late, mirror)
    assert phase is RolloutPhase.CANARY


async def test_instance_that_saw_the_order_counts_all_answers(monkeypatch):
    controller, mirror, _ = build_controller()
    monkeypatch.setattr(controller, "_write_phase", AsyncMock())
    await controller._advance(FIRST)
    phase = await advance_with_bad_answers(controller, mirror)
    assert phase is RolloutPhase.ROLLED_BACK
