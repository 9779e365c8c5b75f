"""Admission control: queueing, scheduling and early refusal of attempts."""

import heapq

from expression import Error, Ok

from ..outcomes import Refusal, RefusalReason
from .durations import DurationEstimates
from .fair_queueing import FairShareClock
from .grant_rates import GrantRates
from .tickets import Grant, Ticket, TicketPool, sort_key

__all__ = ["AdmissionQueue", "DurationEstimates", "Grant", "Ticket"]

MIN_RETRY_AFTER_S = 1.0
SHORT_WEIGHT = 4.0
LONG_WEIGHT = 1.0


class AdmissionQueue:
    """Queues tickets and grants them capacity on backend servers in fair order.

    While both short and long classes wait, they share the server time in proportion
    to fixed weights, so that neither starves the other. Among client accounts, the
    one that has been granted the least server time goes first, so that a burst from
    one account delays only that account. Server time is counted by the expected
    duration of the attempts. Within an account, the earliest deadline goes first.

    Parameters
    ----------
    table : ServerTable
        Selects servers and counts their attempts.
    durations : DurationEstimates
        Expected durations of attempts.
    max_length : int
        Maximum number of waiting tickets.
    """

    def __init__(self, table, durations, max_length):
        self._table = table
        self._durations = durations
        self._max_length = max_length
        self._pools = {}
        self._expected = {}
        self._class_clock = FairShareClock()
        self._account_clocks = {False: FairShareClock(), True: FairShareClock()}
        self._grant_rates = GrantRates()
        self._latest_starts = []

    def __len__(self):
        return len(self._expected)

    def offer(self, ticket, expected, now):
        """Add a ticket to the queue, or refuse it immediately.

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
        serving = self._list_eligible(ticket.need)
        if not serving:
            return Error(_refuse_unserved())
        wait = self.estimate_wait(ticket, expected, serving, now)
        if len(self) >= self._max_length:
            return Error(
                Refusal(
                    RefusalReason.QUEUE_FULL,
                    f"{len(self)} requests wait already",
                    retry_after=max(MIN_RETRY_AFTER_S, wait),
                )
            )
        if now + wait + expected > ticket.deadline:
            return Error(
                Refusal(
                    RefusalReason.DEADLINE_UNREACHABLE,
                    "the answer would come after its deadline",
                    retry_after=max(
                        MIN_RETRY_AFTER_S, now + wait + expected - ticket.deadline
                    ),
                )
            )
        self._add(ticket, expected, now)
        return Ok(None)

    def _list_eligible(self, need):
        serving = self._table.list_serving(need.version, need.service)
        if not need.exclude:
            return serving
        return [server for server in serving if server.record.id not in need.exclude]

    def _add(self, ticket, expected, now):
        need = ticket.need
        pool = self._pools.get(need)
        if pool is None:
            pool = self._pools[need] = TicketPool(now)
        pool.add(ticket, expected)
        self._expected[ticket] = expected
        self._class_clock.add_ticket(need.long)
        self._account_clocks[need.long].add_ticket(ticket.account)
        latest = (ticket.deadline - expected, ticket.number, ticket)
        heapq.heappush(self._latest_starts, latest)

    def estimate_wait(self, ticket, expected, serving, now):
        """Return the expected waiting time of a ticket, in seconds.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        expected : float
            Expected duration of the attempt, in seconds.
        serving : list of BackendServer
            The servers that may run it.
        now : float
            Monotonic time in seconds.
        """
        need = ticket.need
        pool = self._pools.get(need)
        if pool is None and self._choose(ticket, now) is not None:
            return 0.0
        ahead = pool.count_ahead(ticket) if pool else 0
        interval = self._grant_rates.estimate(need.capacity_kind, now)
        if pool is not None and interval is not None:
            return max((ahead + 1) * interval, _find_resume_time(serving) - now)
        mean = pool.work / pool.length if pool else expected
        total_limit = sum(max(1.0, server.limit) for server in serving)
        if ticket.long:
            total_limit *= 1.0 - self._table.limits.short_reserve
        wait = (ahead + 1) * mean / max(1.0, total_limit)
        return max(wait, _find_resume_time(serving) - now)

    def withdraw(self, ticket):
        """Remove a ticket if it is still waiting."""
        expected = self._expected.pop(ticket, None)
        if expected is None:
            return
        need = ticket.need
        pool = self._pools[need]
        pool.remove(ticket, expected)
        if pool.length == 0:
            del self._pools[need]
        self._class_clock.remove_ticket(need.long)
        self._account_clocks[need.long].remove_ticket(ticket.account)

    def list_needs(self, server_id):
        """Return the needs of waiting tickets that a server can satisfy."""
        server = self._table.servers.get(server_id)
        if server is None:
            return frozenset()
        return frozenset(
            need for need in self._pools if server.serves(need.version, need.service)
        )

    def grant(self, now, expect, needs=None):
        """Grant free capacity to the next tickets.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        expect : callable
            Returns the expected duration of a ticket's attempt, in seconds.
        needs : collection of CapacityNeed or None
            The needs for which capacity may have become free; None for all.

        Returns
        -------
        list of Grant
            The servers already count the granted attempts.
        """
        grants = []
        open_needs = set(self._pools)
        if needs is not None:
            open_needs.intersection_update(needs)
        while open_needs:
            need, ticket = self._pick_next(open_needs)
            server = self._choose(ticket, now)
            if server is None:
                open_needs.discard(need)
                continue
            self._charge(ticket, expect(ticket))
            self._grant_rates.record(
                need.capacity_kind, self._pools[need].waiting_since, now
            )
            self.withdraw(ticket)
            self._table.start(server.record.id, ticket.long, ticket.suspect)
            record = server.record
            grants.append(Grant(ticket, record.id, record.address, record.incarnation))
            if need not in self._pools:
                open_needs.discard(need)
        return grants

    def _pick_next(self, needs):
        heads = (
            (need, self._pools[need].pick_first(self._account_clocks[need.long]))
            for need in needs
        )
        return min(heads, key=self._order)

    def _order(self, head):
        need, ticket = head
        share = self._account_clocks[need.long].get_time(ticket.account)
        return self._class_clock.get_time(need.long), share, sort_key(ticket)

    def _charge(self, ticket, expected):
        weight = LONG_WEIGHT if ticket.long else SHORT_WEIGHT
        self._class_clock.charge(ticket.long, expected / weight)
        self._account_clocks[ticket.long].charge(ticket.account, expected)

    def _choose(self, ticket, now):
        return self._table.choose(
            now,
            version=ticket.version,
            service=ticket.service,
            long=ticket.long,
            exclude=ticket.exclude,
            suspect=ticket.suspect,
            allow_remote=now >= ticket.remote_allowed_at,
        )

    def expire(self, now, expect):
        """Remove the tickets that no server can finish before their deadline.

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
        expired = self.expire_late(now, expect)
        for need, pool in list(self._pools.items()):
            eligible = self._list_eligible(need)
            if not eligible:
                expired += [(ticket, _refuse_unserved()) for ticket in pool.list_all()]
                continue
            resumption = _find_resume_time(eligible)
            if resumption > now:
                expired += self._list_unreachable(pool, resumption)
        for ticket, _ in expired:
            self.withdraw(ticket)
        return expired

    def _list_unreachable(self, pool, resumption):
        """List the tickets that miss their deadline while all servers are paused."""
        return [
            (ticket, _refuse_late(self._expected[ticket]))
            for ticket in pool.list_all()
            if resumption + self._expected[ticket] > ticket.deadline
        ]

    def expire_late(self, now, expect):
        """Remove the tickets that have too little time left to finish; see `expire`."""
        expired = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            ticket = heapq.heappop(self._latest_starts)[2]
            if ticket not in self._expected:
                continue
            expected = expect(ticket)
            if now + expected <= ticket.deadline:
                # The estimated duration has decreased since the ticket was queued.
                latest = (ticket.deadline - expected, ticket.number, ticket)
                heapq.heappush(self._latest_starts, latest)
                continue
            self.withdraw(ticket)
            expired.append((ticket, _refuse_late(expected)))
        return expired


def _find_resume_time(servers):
    """Return the earliest time at which a server is not paused.

    It is in the past if a server is not paused now.
    """
    return min(server.paused_until for server in servers)


def _refuse_late(expected):
    return Refusal(
        RefusalReason.DEADLINE_EXCEEDED,
        "no backend server had room in time",
        retry_after=max(MIN_RETRY_AFTER_S, expected),
    )


def _refuse_unserved():
    return Refusal(
        RefusalReason.NO_BACKEND_SERVER,
        "no backend server offers what the request needs",
        retry_after=MIN_RETRY_AFTER_S,
    )
