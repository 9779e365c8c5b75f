"""Sessions keep their release in a roll-out, in fleets of any size."""

import pytest
from rollout_fleet import (
    CANARY_SHARE,
    CANARY_SLACK,
    Order,
    Scenario,
    play,
)

from tanagerwalk.decisions.release_rollouts import RolloutPhase

# Time after the last tolerated bad answer within which a rollback reaches everybody.
ROLLBACK_S = 5.0
TOLERATED_BAD_ANSWERS = 50

SUCCESSIVE_ORDERS = (
    Order(3.0),
    Order(4.0, "notes"),
    Order(23.0, "drafts", "v3", "v2"),
)
SCENARIOS = {
    "small": Scenario(),
    "queue": Scenario(queue=(5.0, 11.0)),
    "long-requests": Scenario(durations=(0.05, 15.0)),
    "quick-sessions-and-late-news": Scenario(69, 30.0, spread=1.0),
    "lost-messages": Scenario(69, 30.0, spread=1.0, loss=0.03),
    "successive": Scenario(orders=SUCCESSIVE_ORDERS, length=42.0),
    "successive-with-queues": Scenario(
        orders=SUCCESSIVE_ORDERS,
        length=42.0,
        queue=(5.0, 30.0),
        durations=(0.05, 10.0),
    ),
    "old-copies": Scenario(69, 30.0, stale_share=0.2, unseen_target=1.5),
    "restarts": Scenario(restarts=(2.0, 4.0, 6.0, 8.0, 10.0, 12.0, 14.0, 16.0)),
    "restarts-of-many": Scenario(
        69, 30.0, spread=0.9, restarts=tuple(2.0 + n for n in range(16))
    ),
}
LARGE_SCENARIOS = {
    "75": Scenario(75, 40.0, spread=0.9, queue=(5.0, 11.0), durations=(0.05, 5.0)),
    "195": Scenario(195, 60.0, spread=0.9, queue=(5.0, 11.0), durations=(0.05, 5.0)),
    "340": Scenario(340, 80.0, spread=0.9),
}


def check_sessions(scenario, seed):
    result = play(scenario, seed)
    assert (result.early, result.back) == ([], [])
    for order in scenario.orders[-1:]:
        phase = result.phases[(order.service, order.target)]
        assert phase is RolloutPhase.COMPLETE


# Guards against PINNED: a session's release was chosen by what one instance saw of
# queues, shares, servers and the store, and the next instance saw something else.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", SCENARIOS)
def test_session_keeps_its_release_wherever_it_goes_on(name, seed):
    check_sessions(SCENARIOS[name], seed)


# Guards against PINNED in fleets whose messages are summed up by relays.
@pytest.mark.parametrize("size", LARGE_SCENARIOS)
def test_session_keeps_its_release_in_a_large_fleet(size):
    check_sessions(LARGE_SCENARIOS[size], 3)


# Guards against EXPOSURE beside the rule for sessions.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("instances", [9, 69])
@pytest.mark.parametrize("queue", [(0.0, 0.0), (4.0, 11.0)])
def test_bad_release_gets_few_requests_and_is_rolled_back(instances, queue, seed):
    scenario = Scenario(
        instances,
        rate=12.0 if instances < 20 else 40.0,
        orders=(Order(3.0, is_bad=True),),
        queue=queue,
        spread=0.9,
        length=24.0,
    )
    result = play(scenario, seed)
    assert result.phases[("drafts", "v2")] is RolloutPhase.ROLLED_BACK
    assert result.early == []
    since_order = [s for s in result.served if 3.0 <= s.started <= 21.0]
    exposed = [s for s in since_order if s.release == "v2"]
    assert len(exposed) <= CANARY_SHARE * len(since_order) + CANARY_SLACK
    # Every second answer is bad.
    tolerated = exposed[: 2 * TOLERATED_BAD_ANSWERS]
    assert exposed[-1].started <= tolerated[-1].started + ROLLBACK_S


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_good_release_that_nobody_doubts_gets_sessions_in_the_first_half(seed):
    """Keeping sessions where they are must not starve the release of evidence."""
    result = play(Scenario(), seed)
    first_half = [s for s in result.served if 5.0 <= s.started < 12.0]
    on_target = sum(s.release == "v2" for s in first_half)
    assert on_target >= 0.25 * CANARY_SHARE * len(first_half)
