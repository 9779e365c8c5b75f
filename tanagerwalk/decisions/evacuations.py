"""When requests stop going to a failure domain that the operators evacuate."""

import math
from dataclasses import dataclass

from ..ids import FailureDomain, Revision

# Share of the delay after which all instances have stopped, counted from when the
# request was last known not to exist.
STOP_SHARE = 0.5
# Instances stop at different moments, so that each sees in the reported loads what
# the ones before it have moved.
SPREAD_SHARE = 0.2
# A store that was restored from an older copy may lack a request that holds on. It
# is kept until the operators have had time to write it again.
RESTORE_GRACE_S = 30.0
# Revision of an evacuation that is known only from another instance.
NO_REVISION = Revision(0)


@dataclass(slots=True)
class Evacuation:
    """The evacuation of one failure domain.

    Parameters
    ----------
    failure_domain : FailureDomain
        The failure domain.
    revision : Revision
        Store revision of the operators' request, or NO_REVISION.
    begins_at : float
        Time in seconds from which no request is sent there.
    ends_at : float
        Time in seconds at which it ends unless it is requested again.
    """

    failure_domain: FailureDomain
    revision: Revision
    begins_at: float
    ends_at: float = math.inf

    @property
    def is_kept(self):
        """Whether a restored store lacks the request."""
        return self.ends_at < math.inf


class Evacuations:
    """The evacuations that an instance knows, and when each takes effect.

    Parameters
    ----------
    random : random.Random
        Draws the moments at which this instance stops sending.
    """

    def __init__(self, random):
        self._random = random
        self._known = {}
        self._era = None

    def update(self, requests, era, confirmed_at, now, delay):
        """Take over the requests that the store holds.

        Parameters
        ----------
        requests : dict of FailureDomain to Revision
            Revision of the request for each failure domain.
        era : int or None
            Era of the store; None while it is not known.
        confirmed_at : float
            Time in seconds up to which the requests read before were complete.
        now : float
            The present, of the same clock.
        delay : float
            Seconds after which an evacuated failure domain must get nothing.

        Returns
        -------
        began, ended : list of Evacuation
            Evacuations that were not known, and those that are over.
        """
        is_restored = None not in (era, self._era) and era > self._era
        self._era = self._era if era is None else era
        began = []
        for domain, revision in requests.items():
            known = self._known.get(domain)
            if known is not None:
                known.revision, known.ends_at = revision, math.inf
                continue
            begins_at = self._choose_begin(confirmed_at, now, delay)
            began.append(Evacuation(domain, revision, begins_at))
        for domain, known in self._known.items():
            if domain in requests or known.is_kept:
                continue
            known.ends_at = now + RESTORE_GRACE_S if is_restored else now
        self._known |= {each.failure_domain: each for each in began}
        return began, self.pop_ended(now)

    def _choose_begin(self, confirmed_at, now, delay):
        """Return when to stop sending, at once if the request may be long known."""
        time_left = confirmed_at + STOP_SHARE * delay - now
        spread = max(0.0, min(SPREAD_SHARE * delay, time_left))
        return now + spread * self._random.random()

    def adopt(self, domains, now):
        """Keep failure domains that others know as evacuated, and the store does not.

        Parameters
        ----------
        domains : iterable of FailureDomain
            The failure domains.
        now : float
            The present, in seconds.
        """
        for domain in domains:
            if domain not in self._known:
                self._known[domain] = Evacuation(
                    domain, NO_REVISION, now, now + RESTORE_GRACE_S
                )

    def pop_ended(self, now):
        """Forget the evacuations that are over, and return them."""
        ended = [each for each in self._known.values() if each.ends_at <= now]
        for evacuation in ended:
            del self._known[evacuation.failure_domain]
        return ended

    def list_read(self):
        """Return the failure domains whose evacuation was read from the store itself.

        Only these are told to others: what is kept on their word would never end.
        """
        return [
            domain
            for domain, each in self._known.items()
            if each.revision != NO_REVISION
        ]

    def list_kept(self):
        """Return the evacuations whose request a restored store lacks."""
        return [each for each in self._known.values() if each.is_kept]

    def list_active(self, now):
        """Return the failure domains to which nothing is sent, as a frozenset."""
        return frozenset(
            domain for domain, each in self._known.items() if each.begins_at <= now
        )

    def find_next_change(self, now):
        """Return the time in seconds at which one begins or ends next, or infinity."""
        times = [
            time
            for each in self._known.values()
            for time in (each.begins_at, each.ends_at)
            if time > now
        ]
        return min(times, default=math.inf)
