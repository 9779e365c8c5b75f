"""Admission: who waits, who goes next and who is refused at once."""

from dataclasses import dataclass, field
from itertools import count

from expression import Error, Ok
from sortedcontainers import SortedKeyList

from ..ids import (
    BackendServerId,
    ClassName,
    ClientAccountId,
    Incarnation,
    ServiceName,
    VersionName,
)
from ..outcomes import Refusal, RefusalReason

MIN_RETRY_AFTER_S = 1.0
DURATION_SMOOTHING = 0.1


@dataclass(slots=True, eq=False)
class Ticket:
    """One attempt that asks for room on a backend server.

    Parameters
    ----------
    account : ClientAccountId
        For fair shares.
    work_class : ClassName
        For the estimate of how long the attempt takes.
    version : VersionName or None
        The version that must be loaded; None for a plain service.
    service : ServiceName or None
        The plain service that must be offered; None for an engine.
    deadline : float
        Monotonic time after which the answer is of no use.
    long : bool
        Whether the class is long, so that it leaves room to short ones.
    exclude : frozenset of BackendServerId
        Servers that may not be chosen.
    """

    account: ClientAccountId
    work_class: ClassName
    deadline: float
    version: VersionName | None = None
    service: ServiceName | None = None
    long: bool = False
    exclude: frozenset[BackendServerId] = frozenset()
    number: int = field(default_factory=count().__next__)


@dataclass(frozen=True, slots=True)
class Grant:
    """Room on a backend server that was given to a ticket."""

    ticket: Ticket
    server: BackendServerId
    address: str
    incarnation: Incarnation


class DurationEstimates:
    """Smoothed time that attempts take, by class and version.

    Parameters
    ----------
    default_share : float
        Share of the lateness target that is assumed before anything is measured.
    """

    def __init__(self, default_share=0.25):
        self._default_share = default_share
        self._means = {}

    def record(self, work_class, version, seconds):
        """Take the duration of one whole attempt."""
        key = (work_class, version)
        mean = self._means.setdefault(key, seconds)
        self._means[key] = mean + DURATION_SMOOTHING * (seconds - mean)

    def estimate(self, work_class, version, lateness):
        """Return the expected duration of an attempt, in seconds."""
        return self._means.get((work_class, version), lateness * self._default_share)


class AdmissionQueue:
    """Holds the tickets that wait for room and grants it in order.

    Inside an account the earliest deadline goes first. Between accounts the one
    that was granted the least expected server time goes first, so that a flood
    from one client account delays only itself.

    Parameters
    ----------
    table : ServerTable
        Chooses and counts servers.
    durations : DurationEstimates
        Expected duration of attempts.
    max_length : int
        Tickets that may wait.
    """

    def __init__(self, table, durations, max_length):
        self._table = table
        self._durations = durations
        self._max_length = max_length
        self._waiting = {}
        self._granted_time = {}
        self._length = 0

    def __len__(self):
        return self._length

    def offer(self, ticket, expected, now):
        """Put a ticket in the queue, or refuse it at once.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        expected : float
            Expected duration of the attempt, in seconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Result of None, or of Refusal
        """
        serving = self._table.list_serving(ticket.version, ticket.service)
        if not any(server.record.id not in ticket.exclude for server in serving):
            return Error(_refuse_unserved())
        wait = self.estimate_wait(ticket, expected, serving)
        if self._length >= self._max_length:
            return Error(
                Refusal(
                    RefusalReason.QUEUE_FULL,
                    f"{self._length} requests wait already",
                    retry_after=max(MIN_RETRY_AFTER_S, wait),
                )
            )
        if now + wait + expected > ticket.deadline:
            return Error(
                Refusal(
                    RefusalReason.DEADLINE_UNREACHABLE,
                    "the answer would come after its deadline",
                    retry_after=max(MIN_RETRY_AFTER_S, wait),
                )
            )
        self._add(ticket)
        return Ok(None)

    def _add(self, ticket):
        if ticket.account not in self._waiting:
            # An account that was idle starts level with the others: it may not
            # save up server time.
            active = [self._granted_time.get(name, 0.0) for name in self._waiting]
            level = min(active, default=0.0)
            previous = self._granted_time.get(ticket.account, 0.0)
            self._granted_time[ticket.account] = max(level, previous)
            self._waiting[ticket.account] = SortedKeyList(key=_sort_key)
        self._waiting[ticket.account].add(ticket)
        self._length += 1

    def estimate_wait(self, ticket, expected, serving):
        """Return the expected time in the queue, in seconds."""
        room = sum(max(1.0, server.limit) for server in serving)
        if self._has_free_room(ticket):
            return 0.0
        ahead = sum(
            1
            for tickets in self._waiting.values()
            for other in tickets
            if (other.version, other.service) == (ticket.version, ticket.service)
            and (other.account != ticket.account or other.deadline <= ticket.deadline)
        )
        return (ahead + 1) * expected / max(1.0, room)

    def _has_free_room(self, ticket):
        chosen = self._table.choose(
            float("inf"),
            version=ticket.version,
            service=ticket.service,
            long=ticket.long,
            exclude=ticket.exclude,
        )
        return chosen is not None and self._length == 0

    def withdraw(self, ticket):
        """Take a ticket out again, if it still waits."""
        tickets = self._waiting.get(ticket.account)
        if tickets is None or ticket not in tickets:
            return
        tickets.remove(ticket)
        self._length -= 1
        if not tickets:
            del self._waiting[ticket.account]

    def grant(self, now, expect):
        """Give the room that there is to the tickets that are next.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        expect : callable
            Returns the expected duration of a ticket's attempt, in seconds.

        Returns
        -------
        list of Grant
            Each granted server already counts the attempt.
        """
        grants = []
        blocked = set()
        while True:
            grant = self._grant_next(now, blocked)
            if grant is None:
                return grants
            grants.append(grant)
            account = grant.ticket.account
            self._granted_time[account] = self._granted_time.get(account, 0.0) + expect(
                grant.ticket
            )

    def _grant_next(self, now, blocked):
        order = sorted(self._waiting, key=lambda name: self._granted_time[name])
        for account in order:
            for ticket in list(self._waiting[account]):
                # Tickets that ask for the same room are blocked together.
                wanted = (ticket.version, ticket.service, ticket.long, ticket.exclude)
                if wanted in blocked:
                    continue
                server = self._table.choose(
                    now,
                    version=ticket.version,
                    service=ticket.service,
                    long=ticket.long,
                    exclude=ticket.exclude,
                )
                if server is None:
                    blocked.add(wanted)
                    continue
                self.withdraw(ticket)
                self._table.start(server.record.id, ticket.long)
                record = server.record
                return Grant(ticket, record.id, record.address, record.incarnation)
        return None

    def expire(self, now, expect):
        """Remove the tickets whose deadline can no longer be met.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        expect : callable
            Returns the expected duration of a ticket's attempt, in seconds.

        Returns
        -------
        list of (Ticket, Refusal)
        """
        expired = []
        for tickets in list(self._waiting.values()):
            for ticket in list(tickets):
                refusal = self._judge(ticket, now, expect(ticket))
                if refusal is None:
                    continue
                self.withdraw(ticket)
                expired.append((ticket, refusal))
        return expired

    def _judge(self, ticket, now, expected):
        serving = self._table.list_serving(ticket.version, ticket.service)
        if all(server.record.id in ticket.exclude for server in serving):
            return _refuse_unserved()
        if now + expected <= ticket.deadline:
            return None
        return Refusal(
            RefusalReason.DEADLINE_EXCEEDED,
            "no backend server had room in time",
            retry_after=max(MIN_RETRY_AFTER_S, expected),
        )


def _sort_key(ticket):
    return (ticket.deadline, ticket.number)


def _refuse_unserved():
    return Refusal(
        RefusalReason.NO_BACKEND_SERVER,
        "no backend server offers what the request needs",
        retry_after=MIN_RETRY_AFTER_S,
    )
