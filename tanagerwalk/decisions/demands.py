"""Demand for the servers of a service: work offered, done and waiting."""

import hashlib
import heapq
from collections import defaultdict
from dataclasses import dataclass, field

from .recent_sums import WINDOW_S, RecentSum
from .server_usage import Work

# Priorities of requests at an engine; 0 is the most urgent.
PRIORITY_COUNT = 10
# Accounts of which an instance tells the others, for each service.
MAX_ACCOUNTS_TOLD = 8
ACCOUNT_HASH_BYTES = 7
# Cost of a request for a service without models; only ratios matter there.
PLAIN_WORK = 1000.0
NO_WORK_WAITING = (0.0,) * PRIORITY_COUNT


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a service, of one or several instances, in prompt tokens.

    Parameters
    ----------
    offered : float
        Work that clients asked for within the window, what was refused included.
    done : float
        Work of the requests that were answered within the window.
    waiting : tuple of float
        Work of the requests at servers whose answers have not begun, by priority.
    accounts : dict of int to float
        The part of `offered` of the heaviest accounts, by `hash_account`.
    """

    offered: float = 0.0
    done: float = 0.0
    waiting: tuple[float, ...] = NO_WORK_WAITING
    accounts: dict[int, float] = field(default_factory=dict)

    @property
    def done_rate(self):
        """Work done per second."""
        return self.done / WINDOW_S

    def add(self, other, sign=1.0):
        """Return the demand of both; with a `sign` of -1, that without the other."""
        accounts = dict(self.accounts)
        for account, offered in other.accounts.items():
            accounts[account] = max(0.0, accounts.get(account, 0.0) + sign * offered)
        return Demand(
            max(0.0, self.offered + sign * other.offered),
            max(0.0, self.done + sign * other.done),
            tuple(
                max(0.0, own + sign * theirs)
                for own, theirs in zip(self.waiting, other.waiting, strict=True)
            ),
            accounts,
        )

    def select_heaviest(self):
        """Return the demand with the heaviest accounts only, to tell others."""
        heaviest = heapq.nlargest(
            MAX_ACCOUNTS_TOLD, self.accounts.items(), key=lambda item: item[1]
        )
        return Demand(self.offered, self.done, self.waiting, dict(heaviest))

    def estimate_wait(self, priority):
        """Return the seconds until a new request of a priority is begun.

        That is the time that the servers take for what goes before it. 0 if nothing
        was done that would show how fast they are.
        """
        if self.done <= 0.0:
            return 0.0
        return sum(self.waiting[: priority + 1]) / self.done_rate


class DemandMeter:
    """Measures the demand for one service at this instance."""

    def __init__(self):
        self._offered = RecentSum()
        self._done = RecentSum()
        self._accounts = defaultdict(RecentSum)
        self._running = []

    def record_offered(self, account, work, now):
        """Record a request of an account (`hash_account`, or None) that arrives."""
        self._offered.add(work.total, now)
        if account is not None:
            self._accounts[account].add(work.total, now)

    def begin(self, priority, work):
        """Record a request that is sent; return a token for `end`."""
        token = (priority, work, work.total)
        self._running.append(token)
        return token

    def end(self, token, is_answered, now):
        """Record the end of a request that was sent."""
        self._running = [other for other in self._running if other is not token]
        if is_answered:
            self._done.add(token[2], now)

    def measure(self, now):
        """Return the Demand at this instance."""
        waiting = list(NO_WORK_WAITING)
        for priority, work, _ in self._running:
            # It is zero once the answer has begun.
            if work.prefill > 0.0:
                waiting[priority] += work.total
        offered = {
            account: amount
            for account, recent in self._accounts.items()
            if (amount := recent.measure(now)) > 0.0
        }
        for account in self._accounts.keys() - offered.keys():
            del self._accounts[account]
        return Demand(
            self._offered.measure(now), self._done.measure(now), tuple(waiting), offered
        )


def make_plain_work():
    """Return the Work of a request for a service without models."""
    return Work(PLAIN_WORK)


def hash_account(account):
    """Return the key of a client account in messages between instances."""
    digest = hashlib.blake2b(account.encode(), digest_size=ACCOUNT_HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")
