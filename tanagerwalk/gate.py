"""Asyncio front end of the admission queue: attempts wait here for a server."""

import asyncio
from contextlib import suppress

from expression import Error, Ok

EXPIRY_INTERVAL_S = 0.05


class Gate:
    """Holds attempts until the admission queue grants them a backend server.

    Parameters
    ----------
    queue : AdmissionQueue
        Decides which attempts are granted a server, expired or refused.
    table : ServerTable
        Tracks the attempts in flight on each server.
    estimate_duration : callable
        Returns the expected duration of a ticket's attempt, in seconds.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, queue, table, estimate_duration, clock):
        self._queue = queue
        self._table = table
        self._estimate_duration = estimate_duration
        self._clock = clock
        self._futures = {}

    async def acquire(self, ticket):
        """Wait for capacity on a server.

        Parameters
        ----------
        ticket : Ticket
            The attempt's ticket.

        Returns
        -------
        Result of Grant, or of Refusal
        """
        offered = self._queue.offer(
            ticket, self._estimate_duration(ticket), self._clock()
        )
        if offered.is_error():
            return offered
        future = asyncio.get_running_loop().create_future()
        self._futures[ticket.number] = future
        self._process_needs({ticket.need})
        try:
            return await future
        except asyncio.CancelledError:
            self._queue.withdraw(ticket)
            if future.done() and not future.cancelled() and future.result().is_ok():
                self.release(future.result().ok)
            raise
        finally:
            del self._futures[ticket.number]

    def release(self, grant):
        """Release the capacity held by a grant."""
        self._finish(grant)
        self._process_needs(self._queue.list_needs(grant.server))

    def _finish(self, grant):
        ticket = grant.ticket
        self._table.finish(grant.server, grant.incarnation, ticket.long, ticket.suspect)

    def process_queue(self):
        """Expire tickets that can't meet their deadline, then grant free capacity."""
        now = self._clock()
        expired = self._queue.expire(now, self._estimate_duration)
        self._resolve_all(expired, self._queue.grant(now, self._estimate_duration))

    def _process_needs(self, needs):
        """Process the queue after an event that can lead to grants only for `needs`.

        Unlike `process_queue`, this expires tickets only by their latest start time,
        and leaves those whose servers are gone or paused.
        """
        now = self._clock()
        expired = self._queue.expire_late(now, self._estimate_duration)
        self._resolve_all(
            expired, self._queue.grant(now, self._estimate_duration, needs)
        )

    def _resolve_all(self, expired, grants):
        for ticket, refusal in expired:
            self._resolve(ticket, Error(refusal))
        for grant in grants:
            self._resolve(grant.ticket, Ok(grant))

    def _resolve(self, ticket, result):
        future = self._futures[ticket.number]
        if not future.done():
            future.set_result(result)
            return
        if result.is_ok():
            self._finish(result.ok)

    async def run(self):
        """Process the queue at a fixed interval, until cancelled."""
        with suppress(asyncio.CancelledError):
            while True:
                await asyncio.sleep(EXPIRY_INTERVAL_S)
                self.process_queue()
