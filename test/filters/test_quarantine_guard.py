"""The check of the quarantine state after admission."""

import pytest
from expression import Ok
from fleets import SETTINGS

from tanagerwalk.decisions.admission import Grant, Ticket
from tanagerwalk.decisions.quarantine import Quarantine
from tanagerwalk.filters.quarantine import QuarantineGuardFilter
from tanagerwalk.messages import RequestContext
from tanagerwalk.outcomes import RefusalReason, RetryReason


async def proceed(context):
    return Ok(None)


@pytest.mark.parametrize(
    ("crashes", "suspect", "reason"),
    [
        ((), False, None),
        (("s1.1",), True, None),
        (("s1.1",), False, RetryReason.SUSPECTED),
        (("s1.1", "s2.1"), True, RefusalReason.QUARANTINED),
    ],
)
async def test_crash_reported_during_the_wait_is_respected(crashes, suspect, reason):
    quarantine = Quarantine(SETTINGS.quarantine)
    if crashes:
        quarantine.add_crashes("f", crashes, 0.0)
    context = RequestContext("r1", {}, "", "label", fingerprint="f")
    ticket = Ticket("a", "label", 10.0, suspect=suspect)
    context.grant = Grant(ticket, "s3", "s3:1", "s3.1")
    step = QuarantineGuardFilter(quarantine, lambda: 0.0)
    result = await step.handle(context, proceed)
    if reason is None:
        assert result.is_ok()
        return
    assert result.error.reason is reason
