"""Order, fair shares and early refusal of requests that compete for places."""

import itertools
from dataclasses import replace

import pytest

from tanagerwalk.decisions.contention import MIN_STAY_S, ContentionState, Places
from tanagerwalk.decisions.demands import Demand, DemandMeter
from tanagerwalk.decisions.early_refusal import (
    Prospect,
    choose_retry_delay,
    find_early_refusal,
    find_late_refusal,
)
from tanagerwalk.decisions.fair_shares import Standing, find_standing
from tanagerwalk.decisions.recent_sums import WINDOW_S, RecentSum
from tanagerwalk.decisions.relays import Role, Scope
from tanagerwalk.decisions.request_priorities import PriorityInputs, find_priority
from tanagerwalk.decisions.server_usage import estimate_work
from tanagerwalk.decisions.service_contention import ServiceContention
from tanagerwalk.decisions.shared_demands import DemandSource, SharedDemandTable
from tanagerwalk.outcomes import RefusalReason
from tanagerwalk.registry import RegisteredServer, ServerState

INPUTS = PriorityInputs(
    rank=1,
    ranks=(1, 3),
    work=1000.0,
    mean_work=1000.0,
    is_over_share=False,
    time_left=15.0,
    timeout=15.0,
    objective=1.0,
)
NOT_MOVED_UP = 0.9
MOVED_UP = 0.1
PROSPECT = Prospect(
    wait=0.0,
    prefill_time=0.1,
    last_wait=0.0,
    standing=Standing(),
    time_left=15.0,
    objective=1.0,
    longest_objective=4.0,
    longest_timeout=20.0,
)
QUEUED = Places(servers=10, slots=160, taken=200, waiting=40)


def place(draw=NOT_MOVED_UP, wait=0.0, **changes):
    return find_priority(replace(INPUTS, **changes), lambda priority: wait, draw)


def build_demand(done, **accounts):
    numbers = {int(name[1:]): work for name, work in accounts.items()}
    done_by_priority = (done,) + (0.0,) * 9
    return Demand(sum(numbers.values()), done_by_priority, accounts=numbers)


def test_requests_over_share_or_long_go_behind_but_stay_ahead_of_the_next_rank():
    behind = place(is_over_share=True, work=9000.0)
    assert place() < place(is_over_share=True) < behind < place(rank=3)


def test_small_request_of_an_account_over_its_share_does_not_pass_a_higher_rank():
    assert place(rank=3, work=10.0, is_over_share=True) > place(work=9000.0)


def test_request_with_little_time_left_moves_up_behind_the_next_rank():
    aged = place(rank=3, time_left=1.5)
    assert place(is_over_share=True, work=9000.0) < aged < place(rank=3)


@pytest.mark.parametrize("ranks", [(3,), (0, 3), tuple(range(5)), tuple(range(40))])
def test_every_rank_has_a_priority_that_engines_know(ranks):
    places = [place(rank=rank, ranks=ranks) for rank in ranks]
    assert places == sorted(places)
    assert set(places) <= set(range(10))


def test_part_of_the_least_urgent_go_first_only_if_they_wait_too_long():
    assert place(MOVED_UP, rank=3) == place(rank=3)
    assert place(MOVED_UP, wait=2.0, rank=3) < place(wait=2.0, rank=3)


def test_part_of_the_least_urgent_go_among_the_first_if_all_wait_too_long():
    def find(behind_first):
        waits = [0.0, 0.0, 0.0, 0.0, behind_first, 9.0, 9.0, 9.0, 9.0, 9.0]
        inputs = replace(INPUTS, rank=3)
        return find_priority(inputs, waits.__getitem__, MOVED_UP)

    assert find(behind_first=0.5) == 4
    assert find(behind_first=2.0) == place() == 0


def test_account_under_its_share_is_crowded_out_by_the_one_beyond():
    demand = build_demand(100.0, a1=300.0, a2=20.0, a3=10.0)
    assert find_standing(demand, 1, 3).excess == pytest.approx(1.0 - 70.0 / 300.0)
    assert find_standing(demand, 2, 3) == Standing(is_crowded_out=True)


def test_no_account_is_over_its_share_of_what_suffices():
    demand = build_demand(100.0, a1=90.0, a2=10.0)
    assert find_standing(demand, 1, 2) == Standing()
    assert find_standing(build_demand(0.0, a1=90.0), 1, 2) == Standing()


def test_account_keeps_an_equal_share_whatever_those_untold_ask_for():
    demand = replace(build_demand(100.0, a1=90.0), offered=500.0)
    assert find_standing(demand, 1, 4).excess == pytest.approx(1.0 - 25.0 / 90.0)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"standing": Standing(0.9)}, None),
        ({"wait": 2.0, "last_wait": 2.0}, None),
        ({"wait": 14.0, "last_wait": 14.0}, RefusalReason.QUEUE_FULL),
        (
            {"wait": 2.0, "last_wait": 2.0, "standing": Standing(0.9)},
            RefusalReason.ACCOUNT_OVER_SHARE,
        ),
        ({"last_wait": 6.0, "standing": Standing(0.9)}, "account_over_share"),
        ({"last_wait": 6.0, "standing": Standing(0.4)}, None),
        (
            {
                "wait": 14.0,
                "last_wait": 14.0,
                "standing": Standing(is_crowded_out=True),
            },
            None,
        ),
    ],
)
def test_refusal_before_a_wait_in_vain(changes, reason):
    refused = find_early_refusal(replace(PROSPECT, **changes), 0.5)
    assert refused is (None if reason is None else RefusalReason(reason))


def test_clients_come_back_spread_around_the_time_when_the_queue_has_drained():
    prospect = replace(PROSPECT, wait=4.0, last_wait=4.0)
    times = [choose_retry_delay(prospect, draw / 10.0) for draw in range(11)]
    assert times == sorted(times)
    assert times[0] < times[5] == 4.0 < times[-1]


@pytest.mark.parametrize("longest", [4.0, 20.0])
def test_no_client_is_told_to_wait_longer_than_any_request_that_waits(longest):
    prospect = replace(PROSPECT, wait=300.0, last_wait=300.0, longest_timeout=longest)
    times = [choose_retry_delay(prospect, draw / 10.0) for draw in range(11)]
    assert 0.5 * longest < times[0] < times[-1] <= longest


def test_part_refused_grows_with_the_wait_until_the_deadline_is_missed():
    refused = [
        sum(
            find_early_refusal(
                replace(PROSPECT, wait=float(wait), last_wait=float(wait)), draw / 100.0
            )
            is not None
            for draw in range(100)
        )
        for wait in range(16)
    ]
    steps = [after - before for before, after in itertools.pairwise(refused)]
    assert (refused[8], refused[15]) == (0, 100)
    assert min(steps) >= 0
    assert max(steps) <= 20


def test_accepted_request_is_refused_only_if_it_would_miss_its_deadline():
    assert find_late_refusal(replace(PROSPECT, wait=14.0, last_wait=14.0)) is None
    prospect = replace(PROSPECT, wait=15.0, last_wait=15.0)
    assert find_late_refusal(prospect) is RefusalReason.QUEUE_FULL


def test_contention_begins_with_a_queue_and_changes_seldom():
    state = ContentionState()
    assert not state.update(replace(QUEUED, waiting=0), 0.0)
    assert state.update(QUEUED, 1.0)
    assert not state.update(Places(10, 160, 10), 1.1)
    assert state.update(Places(10, 160, 10), 1.0 + MIN_STAY_S)
    assert not state.is_contended


def test_queue_at_one_server_of_an_idle_fleet_is_no_contention():
    assert not ContentionState().update(Places(10, 160, 50, 30), 0.0)


def test_sum_forgets_what_is_older_than_the_window():
    recent = RecentSum()
    recent.add(3.0, 0.2)
    recent.add(4.0, WINDOW_S - 0.5)
    assert recent.measure(WINDOW_S - 0.1) == 7.0
    assert recent.measure(WINDOW_S + 0.6) == 4.0


def test_wait_counts_what_goes_before_and_the_rate_that_is_left():
    demand = Demand(done=(3.0,) + (0.0,) * 8 + (1.0,), waiting=(2.0,) * 10)
    assert demand.estimate_wait(0) == pytest.approx(0.5 * WINDOW_S)
    assert demand.estimate_wait(9) == pytest.approx(20.0 * WINDOW_S)


def test_few_answers_tell_no_wait_and_no_share():
    demand = replace(build_demand(19_000.0, a1=90_000.0), waiting=(9e6,) * 10)
    unknown = demand.scale_done(WINDOW_S, WINDOW_S, 1000.0)
    assert unknown.estimate_wait(9) == 0.0
    assert find_standing(unknown, 1, 2) == Standing()
    known = replace(demand, done=demand.done[:9] + (1000.0,))
    assert known.scale_done(WINDOW_S, WINDOW_S, 1000.0).estimate_wait(9) > 1000.0


def test_mean_work_follows_the_requests_of_late():
    meter = DemandMeter()
    for tokens in (700, 1700):
        meter.record_offered(None, estimate_work(tokens, 1.0), 0.0)
    assert 1000.0 < meter.mean_work < 1500.0


def test_request_waits_until_its_answer_begins_and_is_done_at_its_end():
    meter = DemandMeter()
    work = estimate_work(700, 1.0)
    meter.record_offered(7, work, 1.0)
    sent = meter.begin(3, work)
    assert meter.measure(1.0).waiting[3] == 1000.0
    work.prefill = 0.0
    assert sum(meter.measure(1.1).waiting) == 0.0
    meter.end(sent, True, 2.0)
    demand = meter.measure(2.0)
    assert (demand.done[3], demand.accounts) == (1000.0, {7: 1000.0})
    assert meter.measure(2.0 + 2.0 * WINDOW_S) == Demand()


def test_member_counts_its_own_demand_once():
    table = SharedDemandTable()
    table.set_role(Role.MEMBER)
    own = build_demand(4.0, a1=10.0)
    table.list_own = lambda: {"llm": own}
    table.list_told(Scope.INSTANCE, 0.0)
    others = build_demand(6.0, a1=20.0, a2=5.0)
    for sender in ("relay-1", "relay-2"):
        source = DemandSource(Scope.FLEET, "", "llm")
        table.update(source, sender, 1, own.add(others), 0.5)
    assert table.find_others("llm", 1.0) == others
    assert table.find_others("llm", 9.0).offered == 0.0


def observe_servers(waiting):
    """Return the ServiceContention of eighty servers, of which four have a queue."""
    contention = ServiceContention("llm")
    places = []
    for number in range(80):
        domain = "a-1" if number < 60 else "b-1"
        entry = RegisteredServer(
            f"s{number}", "llm", ("", 1), domain, "v1", 16, ServerState.READY, 1
        )
        queue = waiting if number % 20 == 0 else 0
        places.append((entry, Places(1, 16, 16 + queue, queue, 16)))
    for now in (0.0, MIN_STAY_S):
        contention.update_places(places, now)
        contention.find_subset(lambda server: server.failure_domain == "a-1", now)
    return contention


def test_servers_are_counted_one_by_one_in_their_groups():
    """A group of servers counted as one, so that one waiting request was too much."""
    contention = observe_servers(waiting=1)
    assert not contention.is_contended
    subset = contention.find_subset(lambda s: s.failure_domain == "a-1", MIN_STAY_S)
    assert subset.places.compare_queues(contention.whole.places) == pytest.approx(1.0)
    contention.demand = build_demand(160.0 * WINDOW_S)
    prefill_time = contention.estimate_prefill_time(estimate_work(2.0, 1.0))
    assert prefill_time == pytest.approx(1.0)
    assert observe_servers(waiting=10).is_contended
