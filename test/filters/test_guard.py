"""The last check before an attempt is sent: what its refusals tell the caller."""

from types import SimpleNamespace

import pytest
from expression import Ok

from tanagerwalk.declarations import parse_declaration
from tanagerwalk.filters.guard import DispatchGuardFilter
from tanagerwalk.messages import Answer, RequestContext
from tanagerwalk.outcomes import Interface, RefusalReason, RunState

DECLARATION = parse_declaration("""
[class label]
lateness = 300 ms
[account desk]
key_sha256 = ab
classes = label
versions = m1 m2
[version m1]
state = released
cost = 0.1
evaluated = label:0.9
[version m2]
state = candidate
cost = 0.1
evaluated = label:0.9
exposure = 5
replaces = m1
""").ok


def build_guard(has_exposure, is_halted):
    rollouts = SimpleNamespace(
        is_halted=lambda key, allowed: is_halted,
        holds_required_exposure=lambda context: has_exposure,
        record_answer=lambda key, tokens, seconds: None,
    )
    server = SimpleNamespace(leaving=False)
    table = SimpleNamespace(servers={"s1": server})
    configuration = SimpleNamespace(declaration=DECLARATION)
    return DispatchGuardFilter(configuration, rollouts, table, lambda: 0.0)


def build_context(version="m2"):
    context = RequestContext("r1", {}, "", "label", Interface.CHAT)
    context.work_class = DECLARATION.classes["label"]
    context.account = DECLARATION.client_accounts["desk"]
    context.version = version
    context.grant = SimpleNamespace(server="s1")
    return context


async def answer(context):
    del context
    return Ok(Answer(200, b"x"))


# Guards against a caller that is told that a version is gone while it is only full.
@pytest.mark.parametrize(
    ("has_exposure", "is_halted", "reason"),
    [
        (True, False, None),
        (False, False, RefusalReason.EXPOSURE_SPENT),
        (True, True, RefusalReason.VERSION_WITHDRAWN),
        (False, True, RefusalReason.VERSION_WITHDRAWN),
    ],
)
async def test_missing_exposure_is_no_withdrawn_version(
    has_exposure, is_halted, reason
):
    guard = build_guard(has_exposure, is_halted)
    result = await guard.handle(build_context(), answer)
    if reason is None:
        assert result.is_ok()
        return
    assert result.error.reason is reason
    assert result.error.run_state is RunState.NOT_RUN
    if reason is RefusalReason.EXPOSURE_SPENT:
        assert result.error.retry_after > 0.0
