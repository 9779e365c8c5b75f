"""Tests that halt a version, and the choice of a halted version that still serves.

A halted version gets no more requests of the class of work. If all versions that an
account may use are halted, the best of them is spared: it serves nevertheless.
"""

import hashlib
import math
from dataclasses import dataclass

import msgspec

from ..documents import decode_json
from ..ids import SectionHash
from ..outcomes import HaltCause, VersionState
from .evidence import EPOCHS_KEPT, Arm, Counts
from .quality import is_tolerable
from .sequential import INITIAL_LOG_WEALTH, add_wealths, bet_on_events, reaches_limit
from .versions import serves

EVALUATION_SLACK = 0.05
ERROR_CEILING = 0.05
LATE_CEILING = 0.1
RELATIVE_CEILING = 2.0
MIN_COMPARED_ATTEMPTS = 20
# Upper bound of the ceilings: a rate that was measured in few attempts can be far off.
CEILING_LIMIT = 0.5


class Halt(msgspec.Struct, frozen=True):
    """Record that a version was halted for a class; it is never withdrawn.

    Parameters
    ----------
    cause : HaltCause
        The test that failed.
    mean : float
        Mean rating at the time of the halt; 1 if the ratings were not the cause.
    """

    cause: HaltCause
    mean: float


def encode_halt(halt):
    """Encode a halt as JSON bytes."""
    return msgspec.json.encode(halt)


def decode_halt(value):
    """Decode what `encode_halt` wrote; None if it is malformed."""
    return decode_json(value, Halt).default_value(None)


def hash_section(version):
    """Return the hash of a version's section, the same on every instance."""
    parts = (
        version.name,
        version.state.value,
        version.cost,
        sorted(version.evaluated.items()),
        version.exposure,
        version.replaces,
    )
    return SectionHash(hashlib.sha256(repr(parts).encode()).hexdigest()[:16])


def compute_quality_floor(declaration, version, work_class):
    """Return the mean rating below which a version counts as bad for a class.

    That is the class's target, unless less is expected of the version: a candidate
    need not be better than the version it replaces, and the cheap first step of a
    cascade need not be better than its operators' evaluation.

    Parameters
    ----------
    declaration : Declaration
        The declaration in force.
    version : Version
        The version.
    work_class : WorkClass
        The class.
    """
    expected = version.evaluated.get(work_class.name, work_class.quality)
    replaced = declaration.versions.get(version.replaces)
    if version.state is VersionState.CANDIDATE and replaced is not None:
        expected = replaced.evaluated.get(work_class.name, expected)
    else:
        expected -= EVALUATION_SLACK
    return max(0.0, min(work_class.quality, expected))


@dataclass(frozen=True, slots=True)
class ArmEvidence:
    """Evidence that the tests of one arm use.

    Parameters
    ----------
    epochs : list of Counts
        Evidence of the arm, newest first.
    others : Counts
        Newest evidence about the other versions of the class.
    released : bool
        Whether the version is released. Its failures are only compared with those
        of other versions, since an outage affects all of them.
    """

    epochs: list[Counts]
    others: Counts
    released: bool


def evaluate_arm(arm_evidence, false_alarm):
    """Return the Halt that the evidence about an arm calls for, or None.

    The tests run on the newest epoch, the two newest epochs and so on, so a version
    that turns bad after a long good time is detected quickly.

    Parameters
    ----------
    arm_evidence : ArmEvidence
        The evidence.
    false_alarm : float
        Probability that a good version is halted during one epoch's tests.
    """
    limit = math.log(len(HaltCause) * EPOCHS_KEPT / false_alarm)
    error_ceiling = _find_ceiling(arm_evidence, ERROR_CEILING, "errors", "attempts")
    late_ceiling = _find_ceiling(arm_evidence, LATE_CEILING, "late", "answers")
    wealth = INITIAL_LOG_WEALTH
    errors = attempts = late = answers = count = 0
    total = 0.0
    for counts in arm_evidence.epochs:
        wealth = add_wealths(wealth, counts.wealth)
        count += counts.count
        total += counts.total
        errors += counts.errors
        attempts += counts.attempts
        late += counts.late
        answers += counts.answers
        if reaches_limit(wealth, limit):
            return Halt(HaltCause.RATINGS, total / count)
        if _exceeds(errors, attempts, error_ceiling, limit):
            return Halt(HaltCause.ERRORS, 1.0)
        if _exceeds(late, answers, late_ceiling, limit):
            return Halt(HaltCause.LATENESS, 1.0)
    return None


def _exceeds(events, trials, ceiling, limit):
    if ceiling is None or events <= ceiling * trials:
        return False
    return reaches_limit(bet_on_events(events, trials, ceiling), limit)


def _find_ceiling(arm_evidence, min_ceiling, events, trials):
    size = getattr(arm_evidence.others, trials)
    if size < MIN_COMPARED_ATTEMPTS:
        return None if arm_evidence.released else min_ceiling
    rate = getattr(arm_evidence.others, events) / size
    return min(CEILING_LIMIT, max(min_ceiling, RELATIVE_CEILING * rate))


def find_spared(declaration, arms, halts, work_class, allowed):
    """Return the halted version that keeps serving a class, or None.

    There is one only if every released version that an account may use was halted:
    the one with the best mean rating, if its answers are still better than refusals.
    The result depends only on declaration and halts, so all instances choose the
    same version.

    Parameters
    ----------
    declaration : Declaration
        The declaration in force.
    arms : mapping of (ClassName, VersionName) to Arm
        The arms of the declaration.
    halts : mapping of Arm to Halt
        All known halts.
    work_class : WorkClass
        The class.
    allowed : frozenset of VersionName
        Versions that the account may use.

    Returns
    -------
    VersionName or None
    """
    found = []
    for version in declaration.versions.values():
        if version.state is not VersionState.RELEASED:
            continue
        if version.name not in allowed or not serves(version, work_class.name):
            continue
        halt = halts.get(arms[(work_class.name, version.name)])
        if halt is None:
            return None
        if is_tolerable(halt.mean, work_class):
            found.append((halt.mean, version.name))
    return max(found)[1] if found else None


def list_arms(declaration):
    """Return the Arm of each (class, version) pair of a declaration."""
    return {
        (work_class, version.name): Arm(hash_section(version), work_class, version.name)
        for version in declaration.versions.values()
        for work_class in declaration.classes
    }
