"""Quarantine of prompt parts on which backend servers crash.

Requests with such a part need not be alike, so crashes are counted for each part, over
all requests of the fleet. Sound parts that share requests or servers with it collect
crashes too; answers tell them apart, since a part on which each server crashes is never
answered. Of parts that explain the same crashes the deepest one is blamed, which the
fewest requests share.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..ids import Incarnation
from .part_guilt import select_guilty
from .part_records import CrashWeight, PartRecord
from .quarantine import QuarantineState
from .recent_crashes import RecentCrashes

LIFETIME_S = 60.0
CAPACITY = 512
MAX_CRASHES_KEPT = 16
MAX_ANSWERED = 4096
MAX_REFUTED = 256
# A crash may be heard of this much later.
MAX_NEWS_DELAY_S = 2.0
# A part that was answered this long before its first crash is probably sound.
ESTABLISHED_S = 60.0
GUILTY_WEIGHT = 4
ESTABLISHED_GUILTY_WEIGHT = 8
# Answers to requests without an established part, while none with it is answered.
MIN_OTHER_ANSWERS = 20
# An answer that another instance knows of is worth telling if it is this much newer.
ANSWER_NEWS_S = 1.0
FIRST_TRIAL_S = 60.0
MAX_TRIAL_INTERVAL_S = 3600.0


@dataclass(slots=True)
class _Crash:
    weight: CrashWeight
    at: float


@dataclass(slots=True)
class _Suspicion:
    """Crashes of one part, and the trials since it was found guilty."""

    depth: int
    expires: float
    other_answers: int
    crashes: dict[Incarnation, _Crash] = field(default_factory=dict)
    next_trial_at: float = float("inf")
    trial_interval: float = FIRST_TRIAL_S


class PartQuarantine:
    """Finds the parts on which servers crash, from the crashes and answers of requests.

    Parameters
    ----------
    lifetime : float
        Seconds after which a part that doesn't come any more is forgotten.
    capacity : int
        Maximum number of parts with crashes.
    """

    def __init__(self, lifetime=LIFETIME_S, capacity=CAPACITY):
        self._lifetime = lifetime
        self._capacity = capacity
        self._suspicions = OrderedDict()
        self._answered_at = OrderedDict()
        self._refuted = OrderedDict()
        self._recent_crashes = RecentCrashes()
        self._answer_count = 0
        self._guilty = frozenset()
        self._explained = frozenset()

    def __len__(self):
        return len(self._suspicions)

    @property
    def guilty(self):
        """The quarantined parts."""
        return self._guilty

    @property
    def explained(self):
        """Crashed servers for which a guilty part is to blame."""
        return self._explained

    def get_state(self, part, now):
        """Return the QuarantineState of a part at monotonic time `now`."""
        suspicion = self._find(part, now)
        if suspicion is None:
            return QuarantineState.CLEAR
        if part in self._guilty:
            return QuarantineState.QUARANTINED
        if self._is_established(part, suspicion):
            return QuarantineState.CLEAR
        if self._weigh(part, suspicion) >= CrashWeight.BEGUN:
            return QuarantineState.SUSPECT
        return QuarantineState.CLEAR

    def renew(self, part, now):
        """Extend the record of a part that has come again."""
        suspicion = self._suspicions[part]
        suspicion.expires = max(suspicion.expires, now + self._lifetime)

    def take_trial(self, part, now):
        """Return whether a request with a guilty part may be tried now, and count it.

        Trials are rare and become rarer; only one instance may ask for one.
        """
        suspicion = self._suspicions[part]
        if now < suspicion.next_trial_at:
            return False
        interval = min(2.0 * suspicion.trial_interval, MAX_TRIAL_INTERVAL_S)
        suspicion.trial_interval = interval
        suspicion.next_trial_at = now + interval
        return True

    def record_answer(self, parts, now):
        """Record that a request was answered completely.

        Parameters
        ----------
        parts : iterable of PartKey
            Parts of its prompt that other requests may share.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of PartKey
            Those that were suspected until now.
        """
        self._answer_count += 1
        cleared = []
        for part in parts:
            suspicion = self._suspicions.get(part)
            if suspicion is not None and self._weigh(part, suspicion) > 0:
                cleared.append(part)
            self._record_answered_at(part, now)
        if cleared:
            self._judge()
        return cleared

    def _record_answered_at(self, part, at):
        self._answered_at[part] = max(at, self._get_answered_at(part))
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)

    def _get_answered_at(self, part):
        return self._answered_at.get(part, float("-inf"))

    def is_answered(self, part, now):
        """Return whether a request with a part was answered not long ago."""
        return now - self._get_answered_at(part) <= ESTABLISHED_S

    def record_crash(self, parts, server, domain_size, weight, now):
        """Record a server that crashed while a request was in flight.

        A common cause of several crashes, such as a power failure, is not recorded.

        Parameters
        ----------
        parts : sequence of PartKey
            Parts of its prompt that other requests may share, in order.
        server : ServerRecord
            The server.
        domain_size : int
            Number of servers listed in its failure domain.
        weight : CrashWeight
            How far the request had come.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of PartKey
            Those worth telling of: they are not known to be answered, or have crashed
            several servers.
        """
        crashes = {server.incarnation: weight}
        news = []
        for depth, part in enumerate(parts):
            self._recent_crashes.record(part, server, now)
            has_common_cause = self._recent_crashes.has_common_cause(
                part, server, domain_size, now, self._is_repeated
            )
            if not has_common_cause and self._add(part, depth, crashes, now):
                news.append(part)
        self._judge()
        return [part for part in news if self._is_worth_telling(part)]

    def _is_worth_telling(self, part):
        suspicion = self._suspicions.get(part)
        if suspicion is None:
            return False
        return self._is_repeated(part) or not self._is_established(part, suspicion)

    def _is_repeated(self, part):
        """Return whether a part has crashed several servers."""
        suspicion = self._suspicions.get(part)
        if suspicion is None:
            return False
        return self._weigh(part, suspicion) >= GUILTY_WEIGHT

    def find_record(self, part, now):
        """Return the PartRecord of a part, or None if there is nothing to tell."""
        suspicion = self._find(part, now)
        answered_at = self._get_answered_at(part)
        is_recent = now - answered_at <= ESTABLISHED_S
        if suspicion is None and not is_recent:
            return None
        answered_ago = now - answered_at if is_recent else None
        if suspicion is None:
            return PartRecord({}, 0, self._lifetime, answered_ago)
        crashes = self._list_unanswered(part, suspicion)
        lifetime = suspicion.expires - now
        return PartRecord(crashes, suspicion.depth, lifetime, answered_ago)

    def merge_record(self, part, record, now):
        """Merge the PartRecord of another instance.

        Returns
        -------
        bool
            Whether the others should be told: it tells of a crash that was not known
            here, or a newer answer is.
        """
        answered_at = self._get_answered_at(part)
        told_at = float("-inf")
        if record.answered_ago is not None:
            told_at = now - record.answered_ago
        if told_at > answered_at:
            self._record_answered_at(part, told_at)
        is_news = self._add(part, record.depth, record.crashes, now, record.lifetime)
        if is_news or told_at > answered_at:
            self._judge()
        if not record.crashes or now - answered_at > ESTABLISHED_S:
            return is_news
        return is_news or answered_at > told_at + ANSWER_NEWS_S

    def refute(self, life, connected_at):
        """Forget a crash if a connection that is older than it has brought an answer.

        An answer on a newer connection may be of a later start of the server, of which
        an instance that is cut off from the store doesn't know.

        Parameters
        ----------
        life : Incarnation
            The server.
        connected_at : float
            Monotonic time at which the connection was opened, in seconds.

        Returns
        -------
        bool
            Whether a crash is forgotten.
        """
        latest = connected_at + MAX_NEWS_DELAY_S
        disproved = [
            suspicion
            for suspicion in self._suspicions.values()
            if life in suspicion.crashes and suspicion.crashes[life].at > latest
        ]
        if not disproved:
            return False
        self._refuted[life] = True
        if len(self._refuted) > MAX_REFUTED:
            self._refuted.popitem(last=False)
        for suspicion in disproved:
            del suspicion.crashes[life]
        self._judge()
        return True

    def list_repeated(self, now):
        """Return the guilty parts, of which those are reminded that start later."""
        return [part for part in self._guilty if self._find(part, now) is not None]

    def _find(self, part, now):
        suspicion = self._suspicions.get(part)
        if suspicion is None or suspicion.expires > now:
            return suspicion
        del self._suspicions[part]
        self._judge()
        return None

    def _add(self, part, depth, crashes, now, lifetime=None):
        """Add crashes of a part; return whether one of them was not known."""
        fresh = {
            life: weight
            for life, weight in crashes.items()
            if life not in self._refuted and self._is_stronger(part, life, weight)
        }
        if not fresh:
            return False
        suspicion = self._suspicions.get(part)
        if suspicion is None:
            suspicion = _Suspicion(depth, now, self._answer_count)
            self._suspicions[part] = suspicion
        elif self._weigh(part, suspicion) == 0:
            suspicion.other_answers = self._answer_count
        for life, weight in fresh.items():
            known = suspicion.crashes.get(life)
            at = now if known is None else known.at
            suspicion.crashes[life] = _Crash(weight, at)
        while len(suspicion.crashes) > MAX_CRASHES_KEPT:
            del suspicion.crashes[next(iter(suspicion.crashes))]
        lifetime = self._lifetime if lifetime is None else lifetime
        expires = now + min(lifetime, self._lifetime)
        suspicion.expires = max(suspicion.expires, expires)
        self._evict()
        return True

    def _is_stronger(self, part, life, weight):
        suspicion = self._suspicions.get(part)
        known = None if suspicion is None else suspicion.crashes.get(life)
        return known is None or weight > known.weight

    def _evict(self):
        """Drop the parts with the least weight, which never are guilty ones."""
        while len(self._suspicions) > self._capacity:
            weakest = min(
                self._suspicions,
                key=lambda each: self._weigh(each, self._suspicions[each]),
            )
            del self._suspicions[weakest]

    def _weigh(self, part, suspicion):
        """Return the weight of the crashes since the part was last answered."""
        return sum(self._list_unanswered(part, suspicion).values())

    def _is_established(self, part, suspicion):
        """Return whether the part was answered not long before its first crash."""
        answered_at = self._get_answered_at(part)
        unanswered = [c.at for c in suspicion.crashes.values() if c.at > answered_at]
        return not unanswered or min(unanswered) - answered_at <= ESTABLISHED_S

    def _judge(self):
        """Find the guilty parts: few and deep ones that explain the crashes."""
        crashes = {
            part: self._list_unanswered(part, suspicion)
            for part, suspicion in self._suspicions.items()
            if self._is_heavy(part, suspicion)
        }
        guilty = select_guilty(
            crashes,
            {part: self._find_guilty_weight(part) for part in crashes},
            {part: self._suspicions[part].depth for part in crashes},
        )
        for part in self._guilty & crashes.keys():
            # Another guilty part has to explain all crashes of one that is released.
            lives = crashes[part].keys()
            if not any(lives <= crashes[other].keys() for other in guilty):
                guilty.add(part)
        for part in guilty - self._guilty:
            self._begin_trials(self._suspicions[part])
        self._guilty = frozenset(guilty)
        self._explained = frozenset().union(*(crashes[part] for part in guilty))

    def _list_unanswered(self, part, suspicion):
        """Return the crashes since a part was last answered, with their weights."""
        answered_at = self._get_answered_at(part)
        return {
            life: crash.weight
            for life, crash in suspicion.crashes.items()
            if crash.at > answered_at
        }

    def _is_heavy(self, part, suspicion):
        weight = self._weigh(part, suspicion)
        if weight < self._find_guilty_weight(part):
            return False
        if not self._is_established(part, suspicion):
            return True
        return self._answer_count - suspicion.other_answers > MIN_OTHER_ANSWERS

    def _find_guilty_weight(self, part):
        if self._is_established(part, self._suspicions[part]):
            return ESTABLISHED_GUILTY_WEIGHT
        return GUILTY_WEIGHT

    def _begin_trials(self, suspicion):
        last_crash_at = max(crash.at for crash in suspicion.crashes.values())
        suspicion.next_trial_at = last_crash_at + suspicion.trial_interval
