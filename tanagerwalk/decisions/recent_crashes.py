"""Servers that crashed lately, and whether something other than a request did it."""

from collections import OrderedDict
from dataclasses import dataclass, field

CORRELATION_WINDOW_S = 2.0
MIN_CORRELATED_SERVERS = 3
CORRELATED_SHARE = 0.5
MAX_RECENT_CRASHES = 256


@dataclass(slots=True)
class _DownServer:
    """A server that crashed lately, and what was in flight on it."""

    failure_domain: str
    crashed_at: float
    subjects: set[str] = field(default_factory=set)


class RecentCrashes:
    """Tells a common cause, such as a power failure, from crashes by a request.

    A subject is what several crashes may have in common: a request, known by its
    fingerprint, or a part of prompts.
    """

    def __init__(self):
        self._down = OrderedDict()

    def record(self, subject, server, now):
        """Record a subject that was in flight on a server that crashed.

        Parameters
        ----------
        subject : str
            The subject.
        server : ServerRecord
            The server.
        now : float
            Monotonic time in seconds.
        """
        down = self._down.get(server.incarnation)
        if down is None:
            down = _DownServer(server.failure_domain, now)
            self._down[server.incarnation] = down
        down.subjects.add(subject)
        if len(self._down) > MAX_RECENT_CRASHES:
            self._down.popitem(last=False)

    def has_common_cause(self, subject, server, domain_size, now, is_repeated):
        """Return whether many servers of a domain crashed that ran other subjects.

        Parameters
        ----------
        subject : str
            The subject.
        server : ServerRecord
            A server that crashed while the subject was in flight on it.
        domain_size : int
            Number of servers listed in its failure domain.
        now : float
            Monotonic time in seconds.
        is_repeated : callable
            Takes another subject and returns whether it has crashed several servers,
            so that those it was in flight on need no further cause.
        """
        unexplained = [
            down
            for incarnation, down in self._down.items()
            if incarnation != server.incarnation
            and down.failure_domain == server.failure_domain
            and now - down.crashed_at <= CORRELATION_WINDOW_S
            and subject not in down.subjects
            and not any(map(is_repeated, down.subjects))
        ]
        threshold = max(MIN_CORRELATED_SERVERS, domain_size * CORRELATED_SHARE)
        return len(unexplained) + 1 >= threshold
