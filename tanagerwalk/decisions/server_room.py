"""How many requests of the whole fleet one brittle server may have at a time."""

import math
from collections import deque
from enum import Enum

# Of the slots, the requests beyond them that bridge the time until the next arrives.
QUEUED_SHARE = 1.0 / 6.0
# A request that was not rejected within this time has found a place.
ACCEPTANCE_S = 0.5
REJECTION_WINDOW_S = 1.0
# Of the rejections that a server bears, those that may be risked or have come.
RISK_SHARE = 0.5
REJECTION_PAUSE_S = 0.05
# After a rejection, no more requests than have found a place are tried for this time;
# it doubles each time that one tried in vain.
NO_GROWTH_S = 3.0
MAX_GROWTH_DOUBLINGS = 4
FORGETTING_S = 30.0
FAILURE_PAUSE_S = 0.5
MAX_PAUSE_DOUBLINGS = 3


class Ending(Enum):
    """How the use of a place has ended.

    ANSWERED: with an answer. REJECTED: the server had no room. FAILED: the server
    can't be reached, or broke off. ABANDONED: given up, so that the server may still be
    at work. UNUSED: nothing was sent.
    """

    ANSWERED = 0
    REJECTED = 1
    FAILED = 2
    ABANDONED = 3
    UNUSED = 4


class ServerRoom:
    """Counts the requests at a server, and learns for how many it has room.

    A server is known to have room for as many requests as it has had without a
    rejection. Beyond that, fewer are tried at a time than the rejections it bears.

    Parameters
    ----------
    slots : int
        Requests that the server says it processes at a time.
    is_proven : bool
        Whether it has had as many requests already, as one that has just started
        has not.
    queued_share : float
        Requests beyond the slots that may be tried, as a share of the slots.

    Attributes
    ----------
    in_use : int
        Requests at the server.
    """

    def __init__(self, slots, is_proven, queued_share=QUEUED_SHARE):
        self._slots = slots
        self._limit = slots + math.ceil(queued_share * slots)
        self._proven = slots if is_proven else 1
        # The most requests at the server since each of them began.
        self._peaks = {}
        # Those for which there may be no room: how many there were, and since when.
        self._tried = {}
        self._rejected_at = deque()
        self._failures = 0
        self._vain_tries = 0
        self._paused_until = -math.inf
        self._grows_from = -math.inf
        self.in_use = 0

    @property
    def size(self):
        """Requests for which the server is known to have room."""
        return self._proven

    @property
    def use(self):
        """Part of the known room that is in use; over 1 while more is tried."""
        return self.in_use / self._proven

    def has_place(self, bearable, now, share=1.0):
        """Return whether the server may get one more request.

        Parameters
        ----------
        bearable : float
            Rejections per second that the server bears.
        now : float
            Monotonic time in seconds.
        share : float
            Part of the known room that may be used; below 1, no more is tried.
        """
        if now < self._paused_until:
            return False
        self._advance(now)
        if self.in_use < share * self._find_safe_limit(bearable):
            return True
        if share < 1.0:
            return False
        if self.in_use >= self._limit or now < self._grows_from:
            return False
        if self.in_use >= self._slots and self._tried:
            return False
        risk = max(1.0, RISK_SHARE * bearable)
        return len(self._rejected_at) + len(self._tried) < risk

    def _find_safe_limit(self, bearable):
        """Return the requests for which the server has room; fewer after rejections."""
        rejections = len(self._rejected_at)
        if rejections >= max(1.0, bearable):
            return 0
        if rejections >= max(1.0, RISK_SHARE * bearable):
            return self._proven // 2
        return self._proven

    def begin(self, key, now):
        """Count a request that is about to be sent, known by a key."""
        self.in_use += 1
        for other, peak in self._peaks.items():
            self._peaks[other] = max(peak, self.in_use)
        self._peaks[key] = self.in_use
        if self.in_use > self._proven:
            self._tried[key] = (self.in_use, now)

    def end(self, key, ending, now):
        """Count the end of a request."""
        peak = self._peaks.pop(key, self.in_use)
        tried = self._tried.pop(key, None)
        if ending is Ending.REJECTED:
            self._record_rejection(peak, now)
        elif ending is Ending.FAILED:
            self._record_failure(now)
        elif ending is Ending.ANSWERED:
            self._failures = 0
            if tried is not None:
                self._accept(tried[0])
        self.in_use = max(0, self.in_use - 1)

    def _accept(self, level):
        self._proven = min(self._limit, max(self._proven, level))

    def _record_rejection(self, peak, now):
        self._rejected_at.append(now)
        self._proven = max(1, min(self._proven, peak - 1))
        self._paused_until = max(self._paused_until, now + REJECTION_PAUSE_S)
        # What was tried may have taken the place of the one that was rejected.
        self._tried = {key: v for key, v in self._tried.items() if v[0] < peak}
        if now < self._grows_from:
            return
        is_first = now - self._grows_from > FORGETTING_S
        self._vain_tries = 0 if is_first else self._vain_tries + 1
        doublings = min(self._vain_tries, MAX_GROWTH_DOUBLINGS)
        self._grows_from = now + NO_GROWTH_S * 2**doublings

    def _record_failure(self, now):
        # All that a server held fails at once when it ends.
        self._proven = max(1, self._proven // 2)
        if now < self._paused_until:
            return
        doublings = min(self._failures, MAX_PAUSE_DOUBLINGS)
        self._failures += 1
        self._paused_until = now + FAILURE_PAUSE_S * 2**doublings

    def _advance(self, now):
        while self._rejected_at and self._rejected_at[0] <= now - REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        accepted = [k for k, (_, at) in self._tried.items() if now - at > ACCEPTANCE_S]
        for key in accepted:
            self._accept(self._tried.pop(key)[0])
