"""Quarantine of requests that crash the backend servers that run them."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from ..outcomes import Refusal, RefusalReason, RunState
from .recent_crashes import RecentCrashes

# Crashes of requests that are answered elsewhere have other causes.
ANSWER_LIFETIME_S = 10.0
MAX_ANSWERS = 4096
# A request that keeps coming is tried again after this time.
MAX_RENEWAL_S = 600.0
# From this number on, crashes are likely to be a request's own.
MIN_REPEATED_CRASHES = 2


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
    renewable_until : float
        Monotonic time up to which the request, if it comes again, renews the record.
    incarnations : set of Incarnation
        Backend servers that crashed.
    """

    expires: float
    renewable_until: float
    incarnations: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What an instance tells the others of a request.

    Parameters
    ----------
    incarnations : frozenset of Incarnation
        Backend servers that crashed while they ran it.
    lifetime : float
        Seconds until the record expires.
    """

    incarnations: frozenset[str]
    lifetime: float


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
        self._recent_crashes = RecentCrashes()
        self._answered_at = OrderedDict()
        self._explained = frozenset()

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

    def renew(self, fingerprint, now):
        """Extend the record of a quarantined request that has come again."""
        blame = self._blames[fingerprint]
        if now < blame.renewable_until:
            blame.expires = max(blame.expires, now + self._settings.lifetime)

    def find_record(self, fingerprint, now):
        """Return the CrashRecord of a request, or None if it is not blamed."""
        blame = self._find(fingerprint, now)
        if blame is None:
            return None
        return CrashRecord(frozenset(blame.incarnations), blame.expires - now)

    def merge_record(self, fingerprint, record, now):
        """Merge the CrashRecord of another instance.

        Returns
        -------
        bool
            Whether it tells of a crash that was not known here.
        """
        known = self.find_record(fingerprint, now)
        lifetime = min(record.lifetime, self._settings.lifetime)
        merged = self._add(fingerprint, record.incarnations, lifetime, now)
        blame = self._blames.get(fingerprint)
        if blame is not None:
            blame.expires = max(blame.expires, now + lifetime)
        return known is None or merged != known.incarnations

    def list_repeated(self, now):
        """Return the fingerprints of the requests that crashed several servers."""
        return [
            fingerprint
            for fingerprint, blame in self._blames.items()
            if len(blame.incarnations) >= MIN_REPEATED_CRASHES and blame.expires > now
        ]

    def _find(self, fingerprint, now):
        blame = self._blames.get(fingerprint)
        if blame is None or blame.expires > now:
            return blame
        del self._blames[fingerprint]
        return None

    def record_crash(self, fingerprint, record, domain_size, now):
        """Blame a request that was in flight on a backend server that crashed.

        A request is not blamed if it has been answered lately, or if many servers of
        the failure domain go down together that ran other requests: a common cause such
        as a power failure is assumed.

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
        self._recent_crashes.record(fingerprint, record, now)
        if record.incarnation in self._explained:
            return None
        if self._was_answered(fingerprint, now):
            return None
        if self._recent_crashes.has_common_cause(
            fingerprint, record, domain_size, now, self._is_repeated
        ):
            return None
        return self.add_crashes(fingerprint, (record.incarnation,), now)

    def _was_answered(self, fingerprint, now):
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        return now - answered_at <= ANSWER_LIFETIME_S

    def _is_repeated(self, fingerprint):
        """Return whether a request has crashed several servers."""
        blame = self._blames.get(fingerprint)
        return blame is not None and len(blame.incarnations) >= MIN_REPEATED_CRASHES

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
        return self._add(fingerprint, incarnations, self._settings.lifetime, now)

    def set_explained(self, incarnations):
        """Replace the crashed servers for which no whole request is to blame.

        Parameters
        ----------
        incarnations : frozenset of Incarnation
            The servers, which crashed on what several requests share.
        """
        if incarnations == self._explained:
            return
        self._explained = incarnations
        for fingerprint, blame in list(self._blames.items()):
            blame.incarnations -= incarnations
            if not blame.incarnations:
                del self._blames[fingerprint]

    def _add(self, fingerprint, incarnations, lifetime, now):
        incarnations = set(incarnations) - self._explained
        blame = self._find(fingerprint, now)
        if blame is None and not incarnations:
            return frozenset()
        if blame is None:
            blame = self._blames[fingerprint] = Blame(now, now + MAX_RENEWAL_S)
        # Crashes beyond the quarantine threshold are not stored.
        missing = self._settings.crashes - len(blame.incarnations)
        fresh = sorted(incarnations - blame.incarnations)[: max(0, missing)]
        blame.incarnations.update(fresh)
        if fresh:
            blame.expires = max(blame.expires, now + lifetime)
        self._blames.move_to_end(fingerprint)
        while len(self._blames) > self._settings.capacity:
            del self._blames[self._find_weakest()]
        return frozenset(blame.incarnations)

    def _find_weakest(self):
        """Return the fingerprint with the fewest crashes, the oldest of these."""
        return min(self._blames, key=lambda each: len(self._blames[each].incarnations))

    def record_answer(self, fingerprint, now):
        """Record that a request was answered; a suspect one is cleared.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        now : float
            Monotonic time in seconds.
        """
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERS:
            self._answered_at.popitem(last=False)
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
