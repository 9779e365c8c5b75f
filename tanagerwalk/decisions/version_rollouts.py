"""What one instance knows about all versions: evidence, halts and exposure."""

from dataclasses import dataclass

from ..outcomes import Interface, VersionState
from .evidence import Arm, Counts, EvidenceReport, EvidenceTable
from .exposure import Exposure, HeldUnits
from .halts import (
    ArmEvidence,
    Halt,
    compute_quality_floor,
    evaluate_arm,
    find_spared,
    list_arms,
)
from .sequential import INITIAL_LOG_WEALTH, add_wealths, reaches_limit
from .versions import serves

SUFFICIENT_RATINGS = 200
INITIAL_SHARE = 0.05
MAX_SHARE = 0.5
# Ratings after which the share of a candidate doubles.
RAMP_RATINGS = 20
# From this log wealth of the sequential test against it on, a candidate keeps its
# initial share.
SUSPICION_LOG_WEALTH = 1.0
RATINGS_PER_EPOCH = 10


@dataclass(frozen=True, slots=True)
class ArmState:
    """State of one arm that is halted or under roll-out, shown to operators.

    Parameters
    ----------
    arm : Arm
        The version and its class of work.
    halt : Halt or None
        Why it was halted; None if it was not.
    spared : bool
        Whether it serves although it was halted.
    ratings : int
        Ratings from the whole fleet that its tests use.
    share : float
        Share of the class's traffic that it may get.
    units : int
        Answers that this instance may have unrated at a time.
    """

    arm: Arm
    halt: Halt | None
    spared: bool
    ratings: int
    share: float
    units: int


class RolloutTracker:
    """Tracks evidence, halts and exposure of the declared versions on one instance.

    Parameters
    ----------
    origin : Incarnation
        This instance.
    false_alarm : float
        Probability that the tests halt a good version.
    """

    def __init__(self, origin, false_alarm):
        self.origin = origin
        self.evidence = EvidenceTable()
        self.halts = {}
        self.held_units = {}
        self._false_alarm = false_alarm
        self._declaration = None
        self._arms = {}
        self._floors = {}
        self._spared = {}
        self._changed = set()

    def configure(self, declaration):
        """Apply the declaration in force; a changed section's tests start anew."""
        if declaration is self._declaration:
            return
        self._declaration = declaration
        self._arms = list_arms(declaration)
        self._floors = {
            (work_class.name, version.name): compute_quality_floor(
                declaration, version, work_class
            )
            for version in declaration.versions.values()
            for work_class in declaration.classes.values()
        }
        self.evidence.retain(lambda arm: (arm.work_class, arm.version) in self._arms)
        current = set(self._arms.values())
        self.held_units = {
            arm: held
            for arm, held in self.held_units.items()
            if arm in current or held.occupied
        }
        self._update_spared()

    def get_arm(self, key):
        """Return the Arm for a (class, version), or None if it is not declared."""
        return self._arms.get(key)

    def list_section_hashes(self):
        """Return the section hashes of the versions in the declaration in force."""
        return {arm.section for arm in self._arms.values()}

    def record_rating(self, key, rating):
        """Record the rating of an answer that this instance gave."""
        work_class = self._declaration.classes[key[0]]
        self._record(
            key,
            lambda own: own.add_rating(rating, work_class.quality, self._floors[key]),
        )

    def record_error(self, key):
        """Record an attempt that failed because of its version."""
        self._record(key, lambda own: own.add_error())

    def record_answer(self, key, tokens, seconds):
        """Record a complete answer and the duration of its attempt in seconds."""
        late = seconds > self._declaration.classes[key[0]].lateness
        self._record(key, lambda own: own.add_answer(tokens, late))

    def _record(self, key, change):
        arm = self._arms[key]
        own = self.evidence.get_own(self.origin, arm)
        change(own)
        self.merge(self.origin, EvidenceReport(arm, self.evidence.newest, own))

    def merge(self, origin, report):
        """Merge the counts of this instance or of a peer."""
        if self.evidence.merge(origin, report):
            self._changed.add((report.arm.work_class, report.arm.version))

    def sum_evidence(self, work_class, version):
        """Return the newest Counts of a version for a class."""
        return self.evidence.sum_newest(work_class, version, SUFFICIENT_RATINGS)

    def wants_rating(self, key):
        """Return whether every answer of a version should be rated now.

        That is the case while the current epoch has few ratings, and while the
        existing ratings make it likely that the version is bad.
        """
        arm = self._arms.get(key)
        if arm is None:
            return False
        epochs = self.evidence.list_epochs(arm)
        if not epochs or epochs[0].count < RATINGS_PER_EPOCH:
            return True
        return self._is_suspected(epochs)

    def find_new_halts(self):
        """Return the Halt of each arm whose new evidence shows that it is bad."""
        found = {}
        for key in self._changed & self._arms.keys():
            arm = self._arms[key]
            if arm in self.halts:
                continue
            version = self._declaration.versions[key[1]]
            epochs = self.evidence.list_epochs(arm)
            if not epochs or version.state is VersionState.WITHDRAWN:
                continue
            released = version.state is not VersionState.CANDIDATE
            arm_evidence = ArmEvidence(epochs, self._sum_others(key), released)
            halt = evaluate_arm(arm_evidence, self._false_alarm)
            if halt is not None:
                found[arm] = halt
        self._changed.clear()
        return found

    def _sum_others(self, key):
        total = Counts()
        for work_class, version in self._arms:
            if work_class == key[0] and version != key[1]:
                total = total.combine(self.sum_evidence(work_class, version))
        return total

    def add_halt(self, arm, halt):
        """Add a halt from any source; return whether the arm was not halted before.

        Of several halts of one arm, the one with the lowest mean is kept.
        """
        known = self.halts.get(arm)
        self.halts[arm] = halt if known is None else min(known, halt, key=_sort_key)
        self._update_spared()
        return known is None

    def _update_spared(self):
        if self._declaration is None:
            return
        declaration = self._declaration
        accounts = declaration.client_accounts.values()
        choices = {account.versions for account in accounts}
        choices.add(frozenset(declaration.versions))
        self._spared = {
            (name, allowed): find_spared(
                declaration, self._arms, self.halts, work_class, allowed
            )
            for name, work_class in declaration.classes.items()
            if work_class.interface is Interface.CHAT
            for allowed in choices
        }

    @property
    def spared(self):
        """Halted versions that serve because no other can, as (class, version)."""
        return {(key[0], name) for key, name in self._spared.items() if name}

    def is_halted(self, key, allowed=None):
        """Return whether a version is halted for a class and not spared.

        Parameters
        ----------
        key : tuple of ClassName and VersionName
            The class of work and the version.
        allowed : frozenset of VersionName or None
            Versions that the client account may use; None for all declared versions.
        """
        if self._arms.get(key) not in self.halts:
            return False
        if allowed is None:
            allowed = frozenset(self._declaration.versions)
        return self._spared.get((key[0], allowed)) != key[1]

    def list_halted(self, work_class, allowed=None):
        """Return the versions that are halted for a class; see `is_halted`."""
        return frozenset(
            version
            for name, version in self._arms
            if name == work_class and self.is_halted((name, version), allowed)
        )

    def list_candidates(self):
        """Return the Version of each arm under roll-out, by arm."""
        found = {}
        for (work_class, name), arm in self._arms.items():
            version = self._declaration.versions[name]
            is_chat = self._declaration.classes[work_class].interface is Interface.CHAT
            if version.state is not VersionState.CANDIDATE or not is_chat:
                continue
            if serves(version, work_class) and arm not in self.halts:
                found[arm] = version
        return found

    def is_candidate(self, arm):
        """Return whether an arm is a candidate of the declaration in force."""
        if self._arms.get((arm.work_class, arm.version)) != arm:
            return False
        state = self._declaration.versions[arm.version].state
        return state is VersionState.CANDIDATE

    def find_candidate_shares(self, work_class, now):
        """Return the traffic share of each candidate that has a free unit.

        Parameters
        ----------
        work_class : ClassName
            The class of work.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of VersionName to float
        """
        return {
            arm.version: self.compute_traffic_share(arm)
            for arm in self.list_candidates()
            if arm.work_class == work_class and self._get_held_units(arm).has_free(now)
        }

    def compute_traffic_share(self, arm):
        """Return the share of a class's traffic that a candidate may get."""
        epochs = self.evidence.list_epochs(arm)
        if self._is_suspected(epochs):
            return INITIAL_SHARE
        count = sum(counts.count for counts in epochs)
        return min(MAX_SHARE, INITIAL_SHARE * 2.0 ** (count // RAMP_RATINGS))

    def _is_suspected(self, epochs):
        wealth = INITIAL_LOG_WEALTH
        for counts in epochs:
            wealth = add_wealths(wealth, counts.wealth)
            if reaches_limit(wealth, SUSPICION_LOG_WEALTH):
                return True
        return False

    def _get_held_units(self, arm):
        return self.held_units.setdefault(arm, HeldUnits())

    def list_states(self):
        """Return the ArmState of every arm that is halted or under roll-out."""
        return [
            ArmState(
                arm,
                self.halts.get(arm),
                key in self.spared,
                sum(counts.count for counts in self.evidence.list_epochs(arm)),
                self.compute_traffic_share(arm),
                self.held_units.get(arm, HeldUnits()).units,
            )
            for key, arm in self._arms.items()
            if arm in self.halts or arm in self.list_candidates()
        ]

    def start_exposure(self, key, now):
        """Take a unit for an answer of a candidate; None if the arm has no free one."""
        arm = self._arms.get(key)
        if arm is None or arm in self.halts:
            return None
        held = self._get_held_units(arm)
        return Exposure(held) if held.start(now) else None


def _sort_key(halt):
    return (halt.mean, halt.cause.value)
