"""Which changes of the share that leaves are logged, and how often."""

import structlog
from test_spillover import build_pool, choose_many

from tanagerwalk.decisions.spillover_log import SpilloverLog
from tanagerwalk.logs import configure_logs

LEAVE = "requests leave failure domain"
CHANGE = "share that leaves failure domain changed"
STAY = "requests stay in failure domain"


def log_shares(*shares, period=0.2):
    """Return the events and shares that are logged."""
    configure_logs("info")
    spillover_log = SpilloverLog()
    with structlog.testing.capture_logs() as logs:
        for n, share in enumerate(shares):
            spillover_log.note("drafts", share, 0.5, period * n)
    return [(entry["event"], entry["share"]) for entry in logs]


def test_lasting_change_is_logged():
    shares = [0.1] * 30 + [0.6] * 60 + [0.0] * 30
    assert log_shares(*shares) == [(LEAVE, 0.1), (CHANGE, 0.6), (STAY, 0.0)]


def test_swinging_share_is_logged_once():
    assert log_shares(*[0.0, 1.0] * 150) == [(LEAVE, 1.0)]
    assert log_shares(*[0.1, 0.1, 0.9] * 100) == [(LEAVE, 0.1)]


def test_small_changes_are_not_logged():
    assert log_shares(*[0.1, 0.3] * 50) == [(LEAVE, 0.1)]


def test_domain_without_servers_is_logged_once():
    configure_logs("info")
    pool = build_pool("a-2", "b-1")
    with structlog.testing.capture_logs() as logs:
        choose_many(pool, 20)
    assert [(entry["event"], entry["own_load"]) for entry in logs] == [(LEAVE, None)]
