"""Attempts that ask for room, and how those that wait are kept in order."""

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
    """One attempt that asks for room on a backend server.

    Parameters
    ----------
    account : ClientAccountId
        For fair shares.
    work_class : ClassName
        For the estimate of how long the attempt takes.
    deadline : float
        Monotonic time after which the answer is of no use.
    version : VersionName or None
        The version that must be loaded; None for a plain service.
    service : ServiceName or None
        The plain service that must be offered; None for an engine.
    long : bool
        Whether the class is long, so that it leaves room to short ones.
    exclude : frozenset of BackendServerId
        Servers that may not be chosen.
    suspect : bool
        Whether the request was in flight on a server that crashed.
    remote_allowed_at : float
        Monotonic time from which servers of other regions may be used even
        though the own region is merely busy.
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
        """What the ticket asks for; equal needs are granted or blocked alike."""
        return Need(self.version, self.service, self.long, self.exclude, self.suspect)


@dataclass(frozen=True, slots=True)
class Need:
    """The room that a ticket asks for."""

    version: VersionName | None
    service: ServiceName | None
    long: bool
    exclude: frozenset[BackendServerId]
    suspect: bool

    @property
    def capacity_kind(self):
        """What kind of room it is, whichever servers have failed the request."""
        return self.version, self.service, self.long


@dataclass(frozen=True, slots=True)
class Grant:
    """Room on a backend server that was given to a ticket."""

    ticket: Ticket
    server: BackendServerId
    address: str
    incarnation: Incarnation


def sort_key(ticket):
    """Return the key that puts the earliest deadline first."""
    return (ticket.deadline, ticket.number)


class TicketPool:
    """The waiting tickets of one need, by client account and deadline."""

    def __init__(self, now):
        self.since = now
        self.accounts = {}
        self.length = 0
        self.work = 0.0

    def add(self, ticket, expected):
        """Add a ticket of `expected` seconds."""
        tickets = self.accounts.get(ticket.account)
        if tickets is None:
            tickets = self.accounts[ticket.account] = SortedKeyList(key=sort_key)
        tickets.add(ticket)
        self.length += 1
        self.work += expected

    def remove(self, ticket, expected):
        """Remove a ticket that was added with `expected` seconds."""
        tickets = self.accounts[ticket.account]
        tickets.remove(ticket)
        if not tickets:
            del self.accounts[ticket.account]
        self.length -= 1
        self.work -= expected

    def count_ahead(self, ticket):
        """Return how many tickets fair shares and deadlines put before a ticket."""
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
        """Return the ticket that is next by the accounts' FairShareClock."""
        account = min(self.accounts, key=clock.get_time)
        return self.accounts[account][0]
