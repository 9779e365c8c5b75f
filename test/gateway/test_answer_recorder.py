"""What slow machines prove about the release that they run: nothing."""

import random
from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.engine_load import EngineLoad
from tanagerwalk.decisions.latency_baselines import LatencyBaselines, LatencySample
from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.release_evidence import is_bad_release, is_proved_fast
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable, hash_server
from tanagerwalk.decisions.tallies import SideCount, TallyBook
from tanagerwalk.gateway.answer_recorder import AnswerRecorder, _remove_slowdown
from tanagerwalk.gateway.attempts import Attempt, AttemptResult, Outcome
from tanagerwalk.registry import RegisteredServer, ServerState

SERVICE = "drafts"
ORDER = SimpleNamespace(service=SERVICE, revision=7, target="v2")
ROUTE = SimpleNamespace(name="letters", objective=1.0, gap_objective=0.8)
EVENTS = 20
PAUSE_S = 0.04
ROUND_TRIP_S = 0.035


def build_server(release, number=0, domain="a-1"):
    return RegisteredServer(
        f"server-{release}-{number}",
        SERVICE,
        ("10.0.0.1", 80),
        domain,
        release,
        8,
        ServerState.READY,
    )


def build_request():
    return SimpleNamespace(route=ROUTE, counted_answers={}, has_failed=False)


def build_recorder(book):
    cluster_state = SimpleNamespace(orders={SERVICE: ORDER})
    return AnswerRecorder(cluster_state, lambda key: book, build_pool(), lambda: 0.0)


def build_pool():
    home = Home("a-1", "a", {"a-1": "a", "b-1": "b"})
    return ServerPool(home, SharedLoadTable(), PathTable(), random.Random(1))


def record_answers(machine, release, told, answers=400, seed=1):
    """Record the answers of two releases, and return their Tally.

    The machines of the target are slower by `machine` and report `told`; the target
    itself is slower by `release`.
    """
    source = random.Random(seed)
    book = TallyBook("a-1")
    recorder = build_recorder(book)
    for number in range(answers):
        is_target = number % 8 == 7
        slowdown = machine * release if is_target else 1.0
        load = EngineLoad(4, 0, 8, told if is_target else 1.0)
        pause = PAUSE_S * slowdown * source.lognormvariate(0.0, 0.3)
        sample = LatencySample(pause, pause, EVENTS, 500)
        attempt = Attempt(build_server("v2" if is_target else "v1"), 10.0)
        request = build_request()
        recorder.record_latency(request, attempt, sample, load)
        result = AttemptResult(Outcome.DELIVERED, latency_sample=sample, load=load)
        recorder.record_attempt(request, attempt, result)
    return book.own


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("machine", [1.7, 2.5, 4.0])
def test_good_release_on_slow_machines_is_not_halted(machine, seed):
    tally = record_answers(machine, release=1.0, told=machine, seed=seed)
    assert not is_bad_release(tally)
    assert is_proved_fast(tally)


@pytest.mark.parametrize("machine", [2.5, 4.0])
def test_slowness_that_the_machine_does_not_report_is_the_release_s(machine):
    assert is_bad_release(record_answers(machine, release=1.0, told=None))


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("machine", [0.7, 1.0, 1.7, 4.0])
def test_slow_release_is_found_whatever_its_machines(machine, seed):
    tally = record_answers(machine, release=2.5, told=machine, seed=seed)
    assert is_bad_release(tally)


def test_server_that_fails_at_once_does_not_count_as_fast():
    """Requests would go to it the more, the more of them it fails."""
    pool = build_pool()
    servers = [build_server("v1"), build_server("v2")]
    pool.replace_servers(servers)
    now = 0.0
    recorder = AnswerRecorder(SimpleNamespace(orders={}), None, pool, lambda: now)
    for number in range(200):
        now = number * 0.02
        pool.record_answer(servers[1], EngineLoad(1, 0, 6, 1.0), now)
        failing = number % 2
        outcome = Outcome.FAILED if failing else Outcome.DELIVERED
        status = 500 if failing else 200
        sample = LatencySample(0.002 if failing else 0.05)
        result = AttemptResult(outcome, status=status, latency_sample=sample)
        attempt = Attempt(servers[failing], 10.0)
        request = build_request()
        recorder.record_latency(request, attempt, sample, None)
        recorder.record_attempt(request, attempt, result)
    lives = [hash_life(server) for server in servers]
    assert pool.speeds.list_own(now).keys() == set(lives)
    assert [pool.speeds.estimate(life, now) for life in lives] == [1.0, 1.0]


def test_release_excuses_itself_only_within_bounds():
    assert is_bad_release(record_answers(1.0, release=12.0, told=100.0))


def record_heads(domains, factor):
    """Record answers without events, and return their Tally.

    The servers of the target are in the given failure domains. Those outside of the
    region of the instance take a round trip longer; the target takes `factor` longer.
    """
    book = TallyBook("a-1")
    recorder = build_recorder(book)
    for number in range(60):
        recorder.record_latency(
            build_request(),
            Attempt(build_server("v1"), 1.0),
            LatencySample(0.002),
            None,
        )
        domain = domains[number % len(domains)]
        latency = 0.002 * factor + (0.0 if domain == "a-1" else ROUND_TRIP_S)
        attempt = Attempt(build_server("v2", domain=domain), 1.0)
        recorder.record_latency(build_request(), attempt, LatencySample(latency), None)
    return book.own


def test_good_release_is_not_halted_for_servers_in_another_region():
    """Guards against round trips that count as slowness of a release."""
    assert not is_bad_release(record_heads(["b-1"], factor=1.0))
    assert not is_bad_release(record_heads(["a-1", "b-1"], factor=1.0))
    assert is_proved_fast(record_heads(["a-1", "b-1"], factor=1.0))


def test_slow_release_is_found_by_its_near_servers():
    assert is_bad_release(record_heads(["a-1", "b-1"], factor=3.0))


def record_requests(requests):
    """Record the outcomes of some requests, and return their Tally.

    Each request is a sequence of (release, Outcome), one for each of its attempts.
    """
    book = TallyBook("a-1")
    recorder = build_recorder(book)
    for attempts in requests:
        request = build_request()
        for release, outcome in attempts:
            attempt = Attempt(build_server(release), 10.0)
            recorder.record_attempt(request, attempt, AttemptResult(outcome))
    return book.own


def test_good_release_is_not_halted_for_two_requests_that_failed_twice():
    """Guards against attempts of one request that count as separate bad answers."""
    failed_twice = [("v2", Outcome.FAILED), ("v2", Outcome.SILENT)]
    answered = [[("v1", Outcome.DELIVERED)]] * 50
    assert not is_bad_release(record_requests(answered + [failed_twice] * 2))
    assert is_bad_release(record_requests(answered + [failed_twice] * 3))


def test_request_counts_as_bad_once_for_each_release_that_failed_it():
    tally = record_requests(
        [
            [("v2", Outcome.DECLINED), ("v2", Outcome.FAILED)],
            [("v2", Outcome.FAILED), ("v2", Outcome.DELIVERED)],
            [("v2", Outcome.LOST), ("v2", Outcome.DELIVERED)],
            [("v2", Outcome.FAILED), ("v1", Outcome.FAILED), ("v1", Outcome.SILENT)],
        ]
    )
    assert tally.target == {"letters": SideCount(4, 3)}
    assert tally.base == {"letters": SideCount(1, 1)}


def test_answers_are_counted_by_server():
    """Guards against a halt of a release for failures of one of its servers."""
    book = TallyBook("a-1")
    recorder = build_recorder(book)
    for number in range(90):
        outcome = Outcome.SILENT if number % 6 == 3 else Outcome.DELIVERED
        attempt = Attempt(build_server("v2", number % 3), 10.0)
        recorder.record_attempt(build_request(), attempt, AttemptResult(outcome))
    for _ in range(300):
        attempt = Attempt(build_server("v1"), 10.0)
        result = AttemptResult(Outcome.DELIVERED)
        recorder.record_attempt(build_request(), attempt, result)
    assert book.own.target == {"letters": SideCount(90, 15)}
    assert not is_bad_release(book.own)


def record_results(*results, servers=2):
    """Record the results of requests, each in turn at all servers; return the pool."""
    pool = build_pool()
    entries = [build_server("v1", number) for number in range(servers)]
    pool.replace_servers(entries)
    recorder = AnswerRecorder(
        SimpleNamespace(orders={}), lambda key: None, pool, lambda: 0.0
    )
    for result in results:
        request = build_request()
        for entry in entries:
            recorder.record_attempt(request, Attempt(entry, 10.0), result)
    return pool


FAILED = AttemptResult(Outcome.FAILED)


def test_request_that_fails_everywhere_is_charged_to_its_first_server():
    """Each server that was tried with a bad request counted its error."""
    pool = record_results(FAILED, FAILED, servers=3)
    usages = pool.list_usages(SERVICE)
    assert [usage.errors for usage in usages] == [2, 0, 0]


@pytest.mark.parametrize("status", [200, 301, 404, 422])
def test_any_answer_below_500_ends_a_row_of_errors(status):
    answered = AttemptResult(Outcome.DELIVERED, status=status)
    pool = record_results(FAILED, answered, FAILED, servers=1)
    assert [usage.errors for usage in pool.list_usages(SERVICE)] == [1]


def test_errors_of_a_server_pause_it_and_other_answers_do_not():
    pool = build_pool()
    server = build_server("v1")
    pool.replace_servers([server])
    recorder = AnswerRecorder(
        SimpleNamespace(orders={}), lambda key: None, pool, lambda: 0.0
    )
    failed, declined = (
        AttemptResult(outcome) for outcome in (Outcome.FAILED, Outcome.DECLINED)
    )
    for result in (failed, declined, failed):
        recorder.record_attempt(build_request(), Attempt(server, 10.0), result)
    assert pool.find(server.id).paused_until <= 0.0
    recorder.record_attempt(build_request(), Attempt(server, 10.0), failed)
    assert pool.find(server.id).paused_until > 0.0


def test_failure_on_a_second_server_counts_as_an_answer_of_it():
    """Guards against a server with more bad answers than answers."""
    book = TallyBook("a-1")
    recorder = build_recorder(book)
    request = build_request()
    servers = [build_server("v2", number) for number in range(2)]
    for server, outcome in zip(
        servers, (Outcome.DECLINED, Outcome.FAILED), strict=True
    ):
        recorder.record_attempt(request, Attempt(server, 10.0), AttemptResult(outcome))
    assert book.own.target == {"letters": SideCount(1, 1)}
    counts = [book.own.target_servers[hash_server(server.id)] for server in servers]
    assert counts == [SideCount(1, 0), SideCount(1, 1)]


def test_report_of_a_fast_machine_makes_no_answer_slow():
    baselines = LatencyBaselines()
    sample = LatencySample(0.05, 0.033, 29, 800)
    for _ in range(50):
        baselines.record("k", sample)
    fast = _remove_slowdown(sample, EngineLoad(1, 0, 16, 0.01))
    assert not baselines.is_slow("k", fast, 1.0, 0.8)
