"""What servers said is kept while their entries are gone, and no longer than that."""

import random
from dataclasses import replace

import pytest

from tanagerwalk.decisions.missing_servers import MAX_MISSING
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_notices import ServerNotice
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.registry import RegisteredServer, ServerState

SERVER = RegisteredServer(
    "s1", "desk", ("10.0.0.1", 80), "a-1", "v1", 8, ServerState.READY, born=1
)
REST = ServerNotice(hold=5.0)
LEAVING = ServerNotice(is_leaving=True)


@pytest.fixture
def pool():
    pool = ServerPool(None, SharedLoadTable(), PathTable(), random.Random(1))
    pool.replace_servers([SERVER])
    return pool


def takes_requests(pool, now):
    usage = pool.find("s1")
    return usage.accepts_requests and usage.held_until <= now


@pytest.mark.parametrize("notice", [REST, LEAVING])
@pytest.mark.parametrize("is_told_meanwhile", [False, True])
def test_notice_holds_while_the_entry_is_gone(pool, notice, is_told_meanwhile):
    if is_told_meanwhile:
        pool.replace_servers([])
    pool.record_notice("s1", notice, 10.0)
    pool.replace_servers([])
    pool.replace_servers([SERVER])
    assert not takes_requests(pool, 14.0)


def test_others_may_report_a_missing_server_as_leaving(pool):
    pool.replace_servers([])
    pool.mark_leaving([hash_life(SERVER)])
    pool.replace_servers([SERVER])
    assert not takes_requests(pool, 0.0)


@pytest.mark.parametrize("changes", [{"born": 2}, {"born": 0, "address": ("b", 1)}])
def test_next_start_of_a_server_is_not_bound_by_the_word_of_the_last(pool, changes):
    pool.replace_servers([replace(SERVER, born=changes["born"] and 1)])
    pool.record_notice("s1", LEAVING, 10.0)
    pool.replace_servers([])
    pool.replace_servers([replace(SERVER, **changes)])
    assert takes_requests(pool, 11.0)


def test_limit_holds_while_the_entry_is_gone(pool):
    pool.record_limit(SERVER, 0.5, 0.0)
    pool.replace_servers([])
    assert pool.limits.has_limit(hash_life(SERVER), 0.0)


def test_number_of_missing_servers_is_bounded(pool):
    for born in range(2, MAX_MISSING + 10):
        pool.record_limit(pool.find("s1").server, 0.5, 0.0)
        pool.replace_servers([replace(SERVER, born=born)])
    assert not pool.limits.has_limit(hash_life(SERVER), 0.0)
