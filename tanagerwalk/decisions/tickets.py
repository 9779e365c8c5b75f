"""Tickets of attempts that request capacity, and ordered pools of waiting ones."""

from dataclasses import dataclass, field
from itertools import count

from sortedcontainers import SortedKeyList

from ..ids import (
    BackendServerId,
    ClassName,
    ClientAccountId,
    Incarnation,
    ServiceName,
    VersionName,
)


@dataclass(slots=True, eq=False)
class Ticket:
    """Request of one attempt for capacity on a backend server.

    Parameters
    ----------
    account : ClientAccountId
        Client account, for fair queueing.
    work_class : ClassName
        Class of work, for the estimated duration of the attempt.
    deadline : float
        Monotonic time by which the answer must be complete.
    version : VersionName or None
        The version that must be loaded; None for a plain service.
    service : ServiceName or None
        The service that must be offered; None for an engine.
    long : bool
        Whether the class is long, so that it leaves reserved capacity to short ones.
    exclude : frozenset of BackendServerId
        Servers that must not be selected.
    suspect : bool
        Whether the request was in flight on a server that crashed.
    remote_allowed_at : float
        Monotonic time from which servers of other regions may be used even if the
        local region is only busy.
    """

    account: ClientAccountId
    work_class: ClassName
    deadline: float
    version: VersionName | None = None
    service: ServiceName | None = None
    long: bool = False
    exclude: frozenset[BackendServerId] = frozenset()
    suspect: bool = False
    remote_allowed_at: float = float("-inf")
    number: int = field(default_factory=count().__next__)

    @property
    def need(self):
        """The requested capacity; tickets with equal needs share one pool."""
        return CapacityNeed(
            self.version, self.service, self.long, self.exclude, self.suspect
        )


@dataclass(frozen=True, slots=True)
class CapacityNeed:
    """Capacity that a ticket requests."""

    version: VersionName | None
    service: ServiceName | None
    long: bool
    exclude: frozenset[BackendServerId]
    suspect: bool

    @property
    def capacity_kind(self):
        """Key of the grant rate; it ignores `exclude` and `suspect`."""
        return self.version, self.service, self.long


@dataclass(frozen=True, slots=True)
class Grant:
    """Capacity on a backend server that was granted to a ticket."""

    ticket: Ticket
    server: BackendServerId
    address: str
    incarnation: Incarnation


def sort_key(ticket):
    """Return the sort key of a ticket; the earliest deadline comes first."""
    return (ticket.deadline, ticket.number)


class TicketPool:
    """Waiting tickets of one need, by client account and deadline."""

    def __init__(self, now):
        self.waiting_since = now
        self.accounts = {}
        self.length = 0
        self.work = 0.0

    def add(self, ticket, expected):
        """Add a ticket with an expected duration of `expected` seconds."""
        tickets = self.accounts.get(ticket.account)
        if tickets is None:
            tickets = self.accounts[ticket.account] = SortedKeyList(key=sort_key)
        tickets.add(ticket)
        self.length += 1
        self.work += expected

    def remove(self, ticket, expected):
        """Remove a ticket; `expected` must be the value it was added with."""
        tickets = self.accounts[ticket.account]
        tickets.remove(ticket)
        if not tickets:
            del self.accounts[ticket.account]
        self.length -= 1
        self.work -= expected

    def count_ahead(self, ticket):
        """Estimate how many tickets are granted before a ticket."""
        own = self.accounts.get(ticket.account)
        before = 0 if own is None else own.bisect_key_left(sort_key(ticket))
        others = sum(
            min(len(tickets), before + 1)
            for account, tickets in self.accounts.items()
            if account != ticket.account
        )
        return before + others

    def list_all(self):
        """Return every ticket."""
        return [ticket for tickets in self.accounts.values() for ticket in tickets]

    def pick_first(self, clock):
        """Return the next ticket by the virtual times of the accounts."""
        account = min(self.accounts, key=clock.get_time)
        return self.accounts[account][0]
