"""Demand for the servers of a service: work offered, done and waiting."""

import hashlib
import heapq
from collections import defaultdict
from dataclasses import dataclass, field, replace

from .recent_sums import WINDOW_S, RecentSum
from .server_usage import Work

# Priorities of requests at an engine; 0 is the most urgent.
PRIORITY_COUNT = 10
# Accounts of which an instance tells the others, for each service.
MAX_ACCOUNTS_TOLD = 8
# Fits a signed integer of 64 bits in a message.
ACCOUNT_HASH_BYTES = 7
# Servers that were in use for fewer seconds, or did fewer requests, within the window
# show too little of what they can do.
MIN_MEASURED_S = 0.75
MIN_REQUESTS_DONE = 20
# Weight of the newest request in the mean work.
MEAN_SMOOTHING = 0.05
# Least part of the work done that a priority and the less urgent ones are assumed to
# get.
MIN_RATE_SHARE = 0.25
# Cost of a request for a service without models; only ratios matter there.
PLAIN_WORK = 1000.0
NO_WORK = (0.0,) * PRIORITY_COUNT


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a service, of one or several instances, in prompt tokens.

    Parameters
    ----------
    offered : float
        Work that clients asked for within the window, what was refused included.
    done : tuple of float
        Work of the requests whose answers have begun within the window, by priority.
    waiting : tuple of float
        Work of the requests at servers whose answers have not begun, by priority.
    accounts : dict of int to float
        The part of `offered` of the heaviest accounts, by `hash_account`.
    """

    offered: float = 0.0
    done: tuple[float, ...] = NO_WORK
    waiting: tuple[float, ...] = NO_WORK
    accounts: dict[int, float] = field(default_factory=dict)

    def scale_done(self, busy_time, measured_time, mean_work):
        """Return the demand with the work that servers in full use would have done.

        If they were in use for a short time, or few requests were done, what they can
        do is unknown, and nothing counts as done.

        Parameters
        ----------
        busy_time : float
            Part of the window, in seconds, that the servers would have taken for the
            same work in full use.
        measured_time : float
            Part of the window, in seconds, for which they were in use.
        mean_work : float
            Mean work of a request, in prompt tokens.
        """
        has_evidence = sum(self.done) >= MIN_REQUESTS_DONE * mean_work
        if measured_time < MIN_MEASURED_S or not has_evidence:
            return replace(self, done=NO_WORK)
        scale = WINDOW_S / busy_time
        return replace(self, done=tuple(scale * work for work in self.done))

    @property
    def done_rate(self):
        """Work done per second."""
        return sum(self.done) / WINDOW_S

    def add(self, other):
        """Return the demand of both."""
        return self._add_times(other, 1.0)

    def subtract(self, other):
        """Return the demand without that of the other, at least none."""
        return self._add_times(other, -1.0)

    def _add_times(self, other, sign):
        accounts = dict(self.accounts)
        for account, offered in other.accounts.items():
            accounts[account] = max(0.0, accounts.get(account, 0.0) + sign * offered)
        return Demand(
            max(0.0, self.offered + sign * other.offered),
            _add_each(self.done, other.done, sign),
            _add_each(self.waiting, other.waiting, sign),
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

        That is the time that the servers take for what goes before it, beside the more
        urgent requests that come meanwhile. 0 if nothing was done that would show how
        fast they are.
        """
        if not any(self.done):
            return 0.0
        rate = max(sum(self.done[priority:]), MIN_RATE_SHARE * sum(self.done))
        return sum(self.waiting[: priority + 1]) / rate * WINDOW_S


@dataclass(slots=True, eq=False)
class SentRequest:
    """A request at a server, until its end.

    Parameters
    ----------
    priority : int
        Its priority there.
    work : Work
        What is left of its cost; the prefill is zero once the answer has begun.
    total : float
        Its cost when it was sent, in prompt tokens.
    is_done : bool
        Whether it has been counted as done.
    """

    priority: int
    work: Work
    total: float
    is_done: bool = False


class DemandMeter:
    """Measures the demand for one service at this instance.

    Attributes
    ----------
    mean_work : float
        Mean work of the requests of late, in prompt tokens; 0 before the first.
    """

    def __init__(self):
        self.mean_work = 0.0
        self._offered = RecentSum()
        self._done = [RecentSum() for _ in range(PRIORITY_COUNT)]
        self._accounts = defaultdict(RecentSum)
        self._sent = set()

    def record_offered(self, account, work, now):
        """Record a request of an account (`hash_account`, or None) that arrives."""
        smoothing = MEAN_SMOOTHING if self.mean_work else 1.0
        self.mean_work += smoothing * (work.total - self.mean_work)
        self._offered.add(work.total, now)
        if account is not None:
            self._accounts[account].add(work.total, now)

    def begin(self, priority, work):
        """Record a request that is sent; return it as a SentRequest for `end`."""
        sent = SentRequest(priority, work, work.total)
        self._sent.add(sent)
        return sent

    def end(self, sent, is_answered, now):
        """Record the end of a SentRequest."""
        self._sent.remove(sent)
        if is_answered:
            self._count_done(sent, now)

    def _count_done(self, sent, now):
        if not sent.is_done:
            sent.is_done = True
            self._done[sent.priority].add(sent.total, now)

    def measure(self, now):
        """Return the Demand at this instance."""
        waiting = list(NO_WORK)
        for sent in self._sent:
            if sent.work.prefill > 0.0:
                waiting[sent.priority] += sent.work.total
            else:
                self._count_done(sent, now)
        offered = {
            account: amount
            for account, recent in self._accounts.items()
            if (amount := recent.measure(now)) > 0.0
        }
        for account in self._accounts.keys() - offered.keys():
            del self._accounts[account]
        return Demand(
            self._offered.measure(now),
            tuple(recent.measure(now) for recent in self._done),
            tuple(waiting),
            offered,
        )


def _add_each(own, other, sign):
    return tuple(
        max(0.0, mine + sign * theirs) for mine, theirs in zip(own, other, strict=True)
    )


def make_plain_work():
    """Return the Work of a request for a service without models."""
    return Work(PLAIN_WORK)


def hash_account(account):
    """Return the key of a client account in messages between instances."""
    digest = hashlib.blake2b(account.encode(), digest_size=ACCOUNT_HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")
