"""Which attempts the gateway counts as crashes of their servers."""

import random
from types import SimpleNamespace

import pytest
from expression import Ok

from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.quarantine import CrashRecord
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.server_usage_table import hash_life
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.attempts import Attempt, AttemptResult, Outcome
from tanagerwalk.gateway.quarantine import LIMITS, QuarantineFilter
from tanagerwalk.gateway.requests import PromptInfo
from tanagerwalk.registry import RegisteredServer, ServerState

REQUEST = SimpleNamespace(
    fingerprint="crashing", shared_parts=(), is_trial=False, id=b"try-1"
)
LOST = AttemptResult(Outcome.LOST, broke_off=True)
SILENT = AttemptResult(Outcome.SILENT)


def build_server(name, state=ServerState.READY):
    address = ("10.0.0.1", 80)
    return RegisteredServer(name, "desk", address, "a-1", "v1", 8, state, born=1)


SERVERS = [build_server(f"s{number}") for number in range(LIMITS.crashes)]


@pytest.fixture
def servers():
    pool = ServerPool(None, SharedLoadTable(), PathTable(), random.Random(1))
    pool.replace_servers(SERVERS)
    return pool


@pytest.fixture
def quarantine(servers):
    return QuarantineFilter(servers, lambda: 10.0, random.Random(1))


def record_all(quarantine, result, **attempt):
    for server in SERVERS:
        quarantine.record_attempt(REQUEST, Attempt(server, 1.0, **attempt), result)


@pytest.mark.parametrize(
    ("result", "before_ends", "after_ends"),
    [
        (LOST, True, True),
        (SILENT, False, True),
        (AttemptResult(Outcome.LOST, "connection malformed"), False, True),
        (AttemptResult(Outcome.LOST, broke_off=True, via="gateway-2"), False, True),
        (AttemptResult(Outcome.REJECTED), False, False),
        (AttemptResult(Outcome.NOT_SENT), False, False),
        (AttemptResult(Outcome.FAILED), False, False),
    ],
)
def test_attempt_counts_at_once_or_when_its_server_ends(
    quarantine, result, before_ends, after_ends
):
    record_all(quarantine, result)
    assert quarantine.is_quarantined(REQUEST) is before_ends
    for server in SERVERS:
        quarantine.record_end(server)
    assert quarantine.is_quarantined(REQUEST) is after_ends


# Guards against BUDGET: an error answer that clears the record of a crash.
async def test_error_answer_after_a_crash_clears_nothing(quarantine):
    raw = SimpleNamespace(method=b"GET", target=b"/jobs/7", body=b"")
    request = SimpleNamespace(
        raw=raw, key="k", id=b"try-1", prompt_info=PromptInfo(), is_trial=False
    )

    async def proceed(request):
        server = SERVERS[len(sent)]
        sent.append(server)
        attempt = Attempt(server, 1.0)
        quarantine.record_attempt(request, attempt, LOST)
        quarantine.record_attempt(request, attempt, AttemptResult(Outcome.FAILED))
        return Ok(None)

    sent = []
    for _ in SERVERS:
        assert (await quarantine.handle(request, proceed)).is_ok()
    assert (await quarantine.handle(request, proceed)).is_error()


def test_attempt_that_a_client_abandoned_counts_when_its_server_ends(quarantine):
    for server in SERVERS:
        quarantine.suspect(REQUEST, Attempt(server, 1.0))
        quarantine.record_end(server)
    assert quarantine.is_quarantined(REQUEST)


def test_silence_of_a_server_that_left_as_planned_does_not_count(servers, quarantine):
    record_all(quarantine, SILENT)
    for server in SERVERS:
        quarantine.record_end(build_server(server.id, ServerState.DRAINING))
    assert not quarantine.is_quarantined(REQUEST)
    servers.find("s0").is_leaving = True
    record_all(quarantine, SILENT)
    for server in SERVERS:
        quarantine.record_end(server)
    assert not quarantine.is_quarantined(REQUEST)


# Guards against the refusal of a request that was sent on from one dark server to
# others, which had gone dark at the same time.
def test_silence_that_began_before_the_request_does_not_count(quarantine):
    record_all(quarantine, SILENT, was_silent=True)
    for server in SERVERS:
        quarantine.record_end(server)
    assert not quarantine.is_quarantined(REQUEST)


# Guards against BUDGET: a crash that isn't counted, since the server had been busy with
# a long prompt when the request came.
def test_server_that_was_silent_but_broke_off_an_answer_has_crashed(quarantine):
    request = SimpleNamespace(
        fingerprint="new", shared_parts=("dead",), is_trial=False, id=b"try-1"
    )
    broken = AttemptResult(Outcome.LOST, broke_off=True, written_for=0.05)
    for server in SERVERS[:2]:
        attempt = Attempt(server, 1.0, was_silent=True)
        quarantine.record_attempt(request, attempt, broken)
        quarantine.record_end(server)
    assert quarantine.is_quarantined(request)


# Guards against BUDGET: an answer that is declined once its head is there, after which
# its server crashes.
def test_declined_answer_counts_if_its_server_crashes_soon(quarantine):
    request = SimpleNamespace(
        fingerprint="new", shared_parts=("dead",), is_trial=False, id=b"try-1"
    )
    for server in SERVERS[:2]:
        declined = AttemptResult(Outcome.DECLINED, written_for=0.0)
        quarantine.record_attempt(request, Attempt(server, 1.0), declined)
        quarantine.record_end(server)
    assert quarantine.is_quarantined(request)


# Guards against LOST: broken answers of servers that live, which another instance tells
# of by the requests, are taken for crashes and blamed on the parts.
def test_broken_answers_that_others_tell_of_are_no_crashes(quarantine):
    request = SimpleNamespace(
        fingerprint="new", shared_parts=("sound",), is_trial=False, id=b"try-1"
    )
    broken = AttemptResult(Outcome.LOST, broke_off=True, written_for=0.05)
    for server in SERVERS[:2]:
        quarantine.record_attempt(request, Attempt(server, 1.0), broken)
        life = f"{hash_life(server):08x}"
        told = {"other": CrashRecord(frozenset({life}), 60.0)}
        quarantine.merge_records(told, False)
    assert not quarantine.is_quarantined(request)


# Guards against LOST: a request that its server had been answering for a while is no
# cause of the crash.
def test_answer_under_way_does_not_count_against_its_parts(quarantine):
    request = SimpleNamespace(
        fingerprint="new", shared_parts=("sound",), is_trial=False, id=b"try-1"
    )
    broken = AttemptResult(Outcome.LOST, broke_off=True, written_for=2.0)
    for server in SERVERS[:2]:
        quarantine.record_attempt(request, Attempt(server, 1.0), broken)
        quarantine.record_end(server)
    assert not quarantine.is_quarantined(request)


def test_server_with_requests_that_sends_nothing_is_silent(servers):
    usage = servers.find("s0")
    assert not servers.is_silent(usage.server, 10.0)
    servers.record_sent(usage.server)
    servers.record_activity(usage.server, 9.5)
    assert not servers.is_silent(usage.server, 10.0)
    assert servers.is_silent(usage.server, 10.6)
