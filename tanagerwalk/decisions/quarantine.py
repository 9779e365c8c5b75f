"""Quarantine of requests that crash the backend servers that run them."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from ..outcomes import Refusal, RefusalReason, RunState

CORRELATION_WINDOW_S = 2.0
MIN_CORRELATED_SERVERS = 3
CORRELATED_SHARE = 0.5
MAX_RECENT_CRASHES = 256


class QuarantineState(Enum):
    """What is held against a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Blame:
    """Crashes in which a request was in flight.

    Parameters
    ----------
    expires : float
        Monotonic time after which it is forgotten, in seconds.
    incarnations : set of Incarnation
        Servers that crashed.
    """

    expires: float
    incarnations: set[str] = field(default_factory=set)


class Quarantine:
    """Remembers the requests that were in flight when servers crashed.

    Parameters
    ----------
    settings : QuarantineSettings
        Crashes that quarantine a request, and bounds in time and number.
    """

    def __init__(self, settings):
        self._settings = settings
        self._blames = OrderedDict()
        self._recent = deque(maxlen=MAX_RECENT_CRASHES)

    def __len__(self):
        return len(self._blames)

    def get_state(self, fingerprint, now):
        """Return the QuarantineState of a request.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        now : float
            Monotonic time in seconds.
        """
        blame = self._find(fingerprint, now)
        if blame is None:
            return QuarantineState.CLEAR
        if len(blame.incarnations) >= self._settings.crashes:
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT

    def _find(self, fingerprint, now):
        blame = self._blames.get(fingerprint)
        if blame is None or blame.expires > now:
            return blame
        del self._blames[fingerprint]
        return None

    def record_crash(self, fingerprint, record, domain_size, now):
        """Blame a request that was in flight on a server that crashed.

        Servers of one failure domain that go down together went down for a common
        cause, such as its power; then nobody is blamed.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        record : ServerRecord
            The server that crashed.
        domain_size : int
            Servers listed in its failure domain.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of Incarnation or None
            All servers that crashed under the request, to be told to the peers;
            None if the request is not blamed.
        """
        self._recent.append((now, record.failure_domain, record.incarnation))
        if self._is_correlated(record.failure_domain, domain_size, now):
            return None
        return self.add_crashes(fingerprint, (record.incarnation,), now)

    def _is_correlated(self, domain, domain_size, now):
        down = {
            incarnation
            for at, other, incarnation in self._recent
            if other == domain and now - at <= CORRELATION_WINDOW_S
        }
        threshold = max(MIN_CORRELATED_SERVERS, domain_size * CORRELATED_SHARE)
        return len(down) >= threshold

    def add_crashes(self, fingerprint, incarnations, now):
        """Add crashes to what is held against a request, and return all of them.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        incarnations : collection of Incarnation
            Servers that crashed, by own observation or by a peer's word.
        now : float
            Monotonic time in seconds.
        """
        blame = self._find(fingerprint, now)
        if blame is None:
            blame = self._blames[fingerprint] = Blame(now)
        # A quarantined request needs no longer list than the one that put it there.
        missing = self._settings.crashes - len(blame.incarnations)
        fresh = sorted(set(incarnations) - blame.incarnations)[: max(0, missing)]
        if fresh:
            blame.incarnations.update(fresh)
            blame.expires = now + self._settings.lifetime
        self._blames.move_to_end(fingerprint)
        while len(self._blames) > self._settings.capacity:
            self._blames.popitem(last=False)
        return frozenset(blame.incarnations)

    def clear(self, fingerprint):
        """Forget what is held against a suspect that was answered."""
        blame = self._blames.get(fingerprint)
        if blame is not None and len(blame.incarnations) < self._settings.crashes:
            del self._blames[fingerprint]


def refuse_quarantined(sent):
    """Return the refusal of a quarantined request.

    Parameters
    ----------
    sent : bool
        Whether an attempt of this request was sent.
    """
    return Refusal(
        RefusalReason.QUARANTINED,
        "the request crashed the backend servers that ran it",
        RunState.UNKNOWN if sent else RunState.NOT_RUN,
    )
