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
    """Whether a request is suspected of crashing backend servers."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Blame:
    """Crashes in which a request was in flight.

    Parameters
    ----------
    expires : float
        Monotonic time at which the record expires, in seconds.
    incarnations : set of Incarnation
        Backend servers that crashed.
    """

    expires: float
    incarnations: set[str] = field(default_factory=set)


class Quarantine:
    """Tracks the requests that were in flight when backend servers crashed.

    Parameters
    ----------
    settings : QuarantineSettings
        Number of crashes that quarantine a request, and the lifetime and maximum
        number of the records.
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
        """Blame a request that was in flight on a backend server that crashed.

        If many servers of a failure domain go down together, a common cause such as
        a power failure is assumed and no request is blamed.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        record : ServerRecord
            The backend server that crashed.
        domain_size : int
            Number of backend servers listed in its failure domain.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of Incarnation or None
            All backend servers that crashed while running the request, to be sent to
            the peers; None if the request is not blamed.
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
        """Add crashes to the record of a request and return all recorded ones.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        incarnations : collection of Incarnation
            Backend servers that crashed, as observed here or reported by a peer.
        now : float
            Monotonic time in seconds.
        """
        blame = self._find(fingerprint, now)
        if blame is None:
            blame = self._blames[fingerprint] = Blame(now)
        # Crashes beyond the quarantine threshold are not stored.
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
        """Delete the record of a suspect request that was answered."""
        blame = self._blames.get(fingerprint)
        if blame is not None and len(blame.incarnations) < self._settings.crashes:
            del self._blames[fingerprint]


def refuse_quarantined(sent):
    """Return the refusal for a quarantined request.

    Parameters
    ----------
    sent : bool
        Whether an attempt of this request was sent to a backend server.
    """
    return Refusal(
        RefusalReason.QUARANTINED,
        "the request crashed the backend servers that ran it",
        RunState.UNKNOWN if sent else RunState.NOT_RUN,
    )
