"""How long answers take, as far as it is known from those that came and those due."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

MAX_ANSWERS = 32
MAX_KINDS = 500
HIGH_QUANTILE = 0.95
# Applied to the longest known duration if an answer must not be cut.
STRICT_FACTOR = 1.25
# Applied to the time for which one has been due that may take still longer.
OVERDUE_FACTOR = 5.0


@dataclass(slots=True)
class _Kind:
    recent: deque = field(default_factory=lambda: deque(maxlen=MAX_ANSWERS))
    running: dict = field(default_factory=dict)


class AnswerDurations:
    """Recent durations of answers, and how long others have been due, by kind.

    A kind is any hashable value, such as a route with its service. Of each one, the
    last `MAX_ANSWERS` durations are kept; of all, the `MAX_KINDS` used last.
    """

    def __init__(self):
        self._kinds = OrderedDict()
        self._next_token = 0

    def begin(self, kind, now):
        """Record that an answer is due from now on.

        Returns
        -------
        int
            Token for `end`.
        """
        entry = self._kinds.setdefault(kind, _Kind())
        self._kinds.move_to_end(kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        self._next_token += 1
        entry.running[self._next_token] = now
        return self._next_token

    def end(self, kind, token, now, lasted):
        """Record that an answer is not due any more.

        Parameters
        ----------
        kind : hashable
            The kind.
        token : int
            What `begin` has returned.
        now : float
            Monotonic time in seconds.
        lasted : bool
            Whether the time until now is what an answer takes: it is complete, or had
            not come in time.
        """
        entry = self._kinds.get(kind)
        if entry is None:
            return
        started_at = entry.running.pop(token, None)
        if lasted and started_at is not None:
            entry.recent.append(now - started_at)

    def estimate(self, kind, now, is_strict):
        """Return a duration in seconds that few answers exceed.

        Parameters
        ----------
        kind : hashable
            The kind.
        now : float
            Monotonic time in seconds.
        is_strict : bool
            Whether the answer must not be cut: the longest known duration counts, and
            the longest time for which one has been due, each with a margin.

        Returns
        -------
        float
            Infinite if nothing is known.
        """
        entry = self._kinds.get(kind)
        if entry is None or not entry.recent:
            return math.inf
        ages = [now - started_at for started_at in entry.running.values()]
        longest = max(entry.recent)
        if not is_strict:
            return _find_quantile([*entry.recent, *(a for a in ages if a > longest)])
        overdue = max(ages, default=0.0)
        if overdue > longest:
            return OVERDUE_FACTOR * overdue
        return STRICT_FACTOR * longest


def _find_quantile(durations):
    durations.sort()
    return durations[math.ceil(HIGH_QUANTILE * len(durations)) - 1]
