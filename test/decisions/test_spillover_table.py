"""Which shares an instance keeps, takes over and forgets."""

from dataclasses import replace

from test_spillover import build_pool, choose_many, load_server

from tanagerwalk.decisions.server_choice import RequestTraits
from tanagerwalk.decisions.server_usage import estimate_work


def load_for(pool, seconds, begin=0.0, tokens=40000, **more):
    """Send requests each 0.1 s while the own server has a load."""
    load_server(pool, "s0", tokens=tokens)
    for n in range(int(10 * seconds)):
        choose_many(pool, 1, now=begin + 0.1 * n, **more)
    pool.find("s0").work.clear()
    pool.find("s0").in_flight = 0
    return begin + seconds


def find_share(pool, now):
    return pool.chooser.spillovers.find_shares(now).get("drafts", 0.0)


def allow_release(release):
    return lambda server: server.release == release


def test_share_of_an_earlier_time_is_forgotten():
    pool = build_pool("a-1", "a-2", "b-1")
    now = load_for(pool, 3.0)
    assert find_share(pool, now) == 1.0
    load_server(pool, "s0", tokens=6000)
    assert set(choose_many(pool, now=now + 60.0)) == {"a-1"}
    assert find_share(pool, now + 60.0) == 0.0


def test_share_before_other_servers_came_and_went_is_not_used_again():
    pool = build_pool("a-1", "a-2", "b-1")
    now = load_for(pool, 3.0)
    pool.set_evacuated(frozenset({"b-1"}))
    now = load_for(pool, 4.0, now, tokens=1000)
    pool.set_evacuated(frozenset())
    load_server(pool, "s0", tokens=6000)
    assert set(choose_many(pool, now=now)) == {"a-1"}


def test_share_goes_on_when_other_servers_come_or_go():
    pool = build_pool("a-1", "a-2", "b-1")
    load_for(pool, 3.0)
    load_server(pool, "s0", tokens=40000)
    pool.set_evacuated(frozenset({"b-1"}))
    choose_many(pool, 1, now=3.0)
    assert find_share(pool, 3.0) == 1.0


def test_share_is_not_taken_over_from_other_own_servers():
    """The servers of a release on trial have room while those of the base are full."""
    pool = build_pool("a-1", "a-2", "a-1", "a-2")
    entries = [pool.find(f"s{n}").server for n in range(4)]
    entries[2:] = [replace(entry, release="v2") for entry in entries[2:]]
    pool.replace_servers(entries)
    now = load_for(pool, 3.0, is_allowed=allow_release("v1"))
    load_server(pool, "s2", tokens=6000)
    chosen = choose_many(pool, now=now, is_allowed=allow_release("v2"))
    assert set(chosen) == {"a-1"}


def test_servers_that_leave_and_arrive_count_at_once():
    pool = build_pool("a-1", "a-1", "a-2", "b-1")
    entries = pool.list_servers()
    load_server(pool, "s0", tokens=40000)
    assert set(choose_many(pool, now=0.0)) == {"a-1"}
    pool.replace_servers(entry for entry in entries if entry.id != "s1")
    assert set(choose_many(pool, now=0.01)) == {"a-2"}
    pool.replace_servers(entries)
    assert set(choose_many(pool, now=0.02)) == {"a-1"}


def test_neighbor_whose_idle_servers_leave_gets_no_more_at_once():
    pool = build_pool("a-1", "a-2", "a-2", "b-1")
    entries = pool.list_servers()
    load_server(pool, "s0", tokens=40000)
    load_server(pool, "s1", tokens=60000)
    assert set(choose_many(pool, now=0.0)) == {"a-2"}
    pool.replace_servers(entry for entry in entries if entry.id != "s2")
    assert set(choose_many(pool, now=0.01)) == {"b-1"}


# Guards against a slow domain that keeps its requests, as what it answers takes long.
def test_requests_leave_servers_that_answer_slowly():
    pool = build_pool("a-1", "a-2", "b-1", slots=64)
    for name, requests in {"s0": 40, "s1": 10, "s2": 10}.items():
        for _ in range(requests):
            work = replace(estimate_work(50, 1.0), prefill=0.0)
            pool.record_sent(pool.find(name).server, work)
    slowdowns = {"s0": 5.0}
    pool._find_slowdown = lambda usage, now: slowdowns.get(usage.server.id, 1.0)
    traits = RequestTraits(1.0)
    chosen = [choose_many(pool, 5, now=0.2 * n, traits=traits) for n in range(100)]
    assert sum(chosen, []).count("a-1") < 400


# Guards against a small model's requests that count as if they were those of a large.
def test_requests_of_a_small_model_count_by_their_own_work():
    pool = build_pool("a-1", "a-2", slots=64)
    for _ in range(60):
        pool.record_sent(pool.find("s0").server, estimate_work(800, 0.05))
    # As after requests of another service.
    pool.mean_decode = 250.0
    usage = pool.find("s0")
    load = pool._estimate_cost_load(usage, 0.0)
    assert pool._estimate_answering_load(usage, 0.0) <= load
