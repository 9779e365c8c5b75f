"""Fleet-wide evidence about versions: counters by origin, arm and epoch.

An epoch is a period of fixed length on the wall clock, so all instances number the
epochs in the same way.
"""

from dataclasses import dataclass
from urllib.parse import quote, unquote

import msgspec
from sortedcontainers import SortedDict

from ..ids import ClassName, SectionHash, VersionName
from .sequential import INITIAL_LOG_WEALTH, add_wealths, bet_below

EPOCHS_KEPT = 12
# Older epochs are closed: they accept no more reports, and their counters are no
# longer kept by origin.
EPOCHS_OPEN = 3
# A closed epoch with fewer ratings is merged with the one before.
SMALL_EPOCH = 20
SAFE_IN_KEY = ":"


@dataclass(frozen=True, slots=True, order=True)
class Arm:
    """A version as used for one class of work, the unit that evidence is kept for.

    A changed section of the version in the declaration makes a new arm.

    Parameters
    ----------
    section : SectionHash
        Hash of the version's section of the declaration.
    work_class : ClassName
        The class of work.
    version : VersionName
        The version.
    """

    section: SectionHash
    work_class: ClassName
    version: VersionName

    def to_key(self):
        """Return the arm as part of a key: `SECTION/CLASS/VERSION`."""
        parts = (self.section, self.work_class, self.version)
        return "/".join(quote(part, safe=SAFE_IN_KEY) for part in parts)

    @classmethod
    def from_key(cls, key):
        """Parse what `to_key` wrote.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        section, work_class, version = map(unquote, key.split("/"))
        return cls(SectionHash(section), ClassName(work_class), VersionName(version))


class Counts(msgspec.Struct, array_like=True):
    """Counters of one arm. All of them are sums, so counts can be added up.

    Parameters
    ----------
    count : int
        Number of ratings.
    total, squares : float
        Sums of the ratings and of their squares.
    accepted : int
        Ratings at or above the class's target.
    accepted_total : float
        Sum of those ratings.
    attempts : int
        Attempts that were sent and have ended.
    errors : int
        Attempts that failed because of the version.
    late : int
        Complete answers that took longer than the class's lateness target.
    answers : int
        Complete answers.
    tokens : int
        Generated tokens of the complete answers.
    wealth : tuple of float
        Log wealth of the sequential test that the mean rating is below the floor,
        one for each stake.
    """

    count: int = 0
    total: float = 0.0
    squares: float = 0.0
    accepted: int = 0
    accepted_total: float = 0.0
    attempts: int = 0
    errors: int = 0
    late: int = 0
    answers: int = 0
    tokens: int = 0
    wealth: tuple[float, ...] = INITIAL_LOG_WEALTH

    def add_rating(self, rating, target, floor):
        """Add one rating; the sequential test is for a mean below `floor`."""
        self.count += 1
        self.total += rating
        self.squares += rating * rating
        if rating >= target:
            self.accepted += 1
            self.accepted_total += rating
        growth = bet_below(rating, floor)
        self.wealth = add_wealths(self.wealth, growth)

    def add_error(self):
        """Add an attempt that failed because of the version."""
        self.attempts += 1
        self.errors += 1

    def add_answer(self, tokens, late):
        """Add a complete answer."""
        self.attempts += 1
        self.answers += 1
        self.tokens += tokens
        self.late += late

    def combine(self, other):
        """Return the sum of both counts."""
        return Counts(
            self.count + other.count,
            self.total + other.total,
            self.squares + other.squares,
            self.accepted + other.accepted,
            self.accepted_total + other.accepted_total,
            self.attempts + other.attempts,
            self.errors + other.errors,
            self.late + other.late,
            self.answers + other.answers,
            self.tokens + other.tokens,
            add_wealths(self.wealth, other.wealth),
        )

    def negate(self):
        """Return the counts with all signs reversed."""
        fields = msgspec.structs.astuple(self)
        return Counts(
            *(-number for number in fields[:-1]), tuple(-w for w in self.wealth)
        )

    def may_change_tests(self, other):
        """Return whether the tests may give another result than for `other`."""
        return (self.count, self.errors, self.late) != (
            other.count,
            other.errors,
            other.late,
        )


@dataclass(frozen=True, slots=True)
class EvidenceReport:
    """Latest counts of one arm in one epoch from one origin."""

    arm: Arm
    epoch: int
    counts: Counts


class EvidenceTable:
    """Sums up the reports of all instances.

    An origin's counts of an epoch only grow, and a report with higher counts replaces
    one with lower counts. Reports may therefore arrive in any order and repeatedly.
    The origin of a report is the instance that counted.
    """

    def __init__(self):
        self._by_origin = {}
        self._epochs = {}
        self._sums = {}
        self._newest = 0

    def advance(self, epoch):
        """Start an epoch: close and merge older epochs and drop the oldest."""
        if epoch <= self._newest:
            return
        self._newest = epoch
        self._by_origin = {
            identity: counts
            for identity, counts in self._by_origin.items()
            if identity[2] > epoch - EPOCHS_OPEN
        }
        for epochs in self._epochs.values():
            _coalesce(epochs, epoch - EPOCHS_OPEN)
            while len(epochs) > EPOCHS_KEPT:
                epochs.popitem(0)
        self._sums.clear()

    def retain(self, keep):
        """Drop the arms for which `keep(arm)` is false."""
        self._by_origin = {i: c for i, c in self._by_origin.items() if keep(i[1])}
        self._epochs = {a: e for a, e in self._epochs.items() if keep(a)}
        self._sums.clear()

    def merge(self, origin, report):
        """Merge a report; return whether the tests have to run again.

        Parameters
        ----------
        origin : Incarnation
            The instance that reports.
        report : EvidenceReport
            Its counts. A report from a closed epoch or far in the future is ignored,
            so that a wrong clock on another instance can't empty the table.
        """
        if abs(report.epoch - self._newest) >= EPOCHS_OPEN:
            return False
        identity = (origin, report.arm, report.epoch)
        known = self._by_origin.get(identity, Counts())
        size = (report.counts.attempts, report.counts.count)
        if size[0] < known.attempts or size[1] < known.count:
            return False
        if size == (known.attempts, known.count):
            return False
        self._by_origin[identity] = report.counts
        epochs = self._epochs.setdefault(report.arm, SortedDict())
        grown = report.counts.combine(known.negate())
        epochs[report.epoch] = epochs.get(report.epoch, Counts()).combine(grown)
        self._sums.pop((report.arm.work_class, report.arm.version), None)
        return report.counts.may_change_tests(known)

    def get_own(self, origin, arm):
        """Return a copy of an origin's counts of the newest epoch."""
        known = self._by_origin.get((origin, arm, self._newest))
        return known.combine(Counts()) if known is not None else Counts()

    def list_own(self, origin):
        """Return the EvidenceReport of each open epoch of one origin."""
        return [
            EvidenceReport(arm, epoch, counts)
            for (known, arm, epoch), counts in self._by_origin.items()
            if known == origin
        ]

    @property
    def newest(self):
        """The current epoch."""
        return self._newest

    def list_epochs(self, arm):
        """Return the arm's Counts by epoch, newest first."""
        epochs = self._epochs.get(arm, {})
        return [epochs[epoch] for epoch in reversed(epochs)]

    def sum_newest(self, work_class, version, min_ratings):
        """Return the sum of the newest epochs that together hold `min_ratings` ratings.

        A version can turn bad, so older ratings count only while there are few newer
        ones. Evidence from before a change of the version's section counts too.
        """
        key = (work_class, version)
        if key not in self._sums:
            self._sums[key] = self._sum(key, min_ratings)
        return self._sums[key]

    def _sum(self, key, min_ratings):
        epochs = [
            (epoch, counts)
            for arm, known in self._epochs.items()
            if (arm.work_class, arm.version) == key
            for epoch, counts in known.items()
        ]
        total = Counts()
        for _, counts in sorted(epochs, key=lambda pair: pair[0], reverse=True):
            total = total.combine(counts)
            if total.count >= min_ratings:
                break
        return total


def _coalesce(epochs, closed):
    """Merge small neighbouring closed epochs.

    Otherwise the ratings of rarely used classes would soon be dropped.
    """
    newer = None
    for epoch in reversed([epoch for epoch in epochs if epoch <= closed]):
        if newer is not None and epochs[newer].count < SMALL_EPOCH:
            epochs[epoch] = epochs[epoch].combine(epochs.pop(newer))
        newer = epoch


def encode_report(report):
    """Return the key and the value of the fact that carries a report."""
    return f"{report.arm.to_key()}/{report.epoch}", msgspec.msgpack.encode(
        report.counts
    )


def decode_report(key, value):
    """Decode what `encode_report` wrote; None if it is malformed."""
    try:
        arm_key, _, epoch = key.rpartition("/")
        counts = msgspec.msgpack.decode(value, type=Counts)
        return EvidenceReport(Arm.from_key(arm_key), int(epoch), counts)
    except (ValueError, msgspec.DecodeError):
        return None
