"""Keeps the answer in hand until another attempt is certain to replace it."""

import asyncio
from collections import deque

import structlog

from ..stalls import STALL_S
from .endable_blocks import EndableBlock

log = structlog.get_logger(__name__)

# A server that takes no more requests says so at once. Below the time for which two
# servers may work on a request that is passed from one to the other.
ACCEPTANCE_TIME_S = 0.25
# After a pause of this process, to read a refusal that came during it.
READING_TIME_S = 0.02


class AnswerClaim:
    """The claim of an attempt to give the answer that the client gets.

    A challenger replaces the holder of the answer once its server has begun to answer
    as a client may get it, or has not refused the request for some time after it was
    sent. Until then it may fail, and costs the holder nothing.

    Parameters
    ----------
    succession : Succession
        The attempts of the request.
    acceptance_time : float or None
        That time in seconds. None for a challenger that replaces the holder when it is
        sent, without ending it: the holder waits for this, and ends by itself.

    Attributes
    ----------
    is_sent : bool
        Whether the request was sent to the server.
    has_failed : bool
        Whether the server has refused the request, or not answered it as a client may
        get it; nothing but the end of the holder can make such a challenger the holder.
    has_replaced : bool
        Whether this attempt has replaced another one as the holder.
    is_lost : bool
        Whether another attempt has replaced this one, or made it unnecessary.
    """

    def __init__(self, succession, acceptance_time=None):
        self._succession = succession
        self._acceptance_time = acceptance_time
        self._timer = None
        self._blocks = set()
        self._settled = asyncio.get_running_loop().create_future()
        self.is_sent = False
        self.has_failed = False
        self.has_replaced = False
        self.is_lost = False

    @property
    def is_holder(self):
        """Whether the client gets the answer of this attempt, as things stand."""
        return self._succession.holder is self

    def guard(self):
        """Return a context manager whose block may end once the claim is lost."""
        return EndableBlock(self._blocks)

    def record_sent(self):
        """Record that the request was sent."""
        self.is_sent = True
        if self.is_holder:
            return
        if self._acceptance_time is None:
            self._replace_holder()
            return
        loop = asyncio.get_running_loop()
        due_at = loop.time() + self._acceptance_time
        self._timer = loop.call_at(due_at, self._accept, due_at)

    def _accept(self, due_at):
        """Take the request for accepted, once what came before `due_at` is read."""
        loop = asyncio.get_running_loop()
        if loop.time() - due_at >= STALL_S:
            self._timer = loop.call_later(READING_TIME_S, self._replace_holder)
            return
        self._replace_holder()

    def _replace_holder(self):
        if self.is_lost or self.has_failed or self.is_holder:
            return
        ends_holder = self._acceptance_time is not None
        self._succession.promote(self, ends_holder)

    def fail(self):
        """Record that the server has not answered, or not as a client may get it."""
        if self.is_holder:
            return
        self.has_failed = True
        self.settle()

    async def take(self):
        """Return whether the client gets what the server of this attempt has answered.

        If so, a challenger ends. One that was sent, and has not failed, is waited for
        until it replaces this attempt or fails: its server may be at work already.
        """
        self._replace_holder()
        while self.is_holder and not self._succession.withdraw_idle():
            await self._succession.wait_for_challenger()
        return self.is_holder

    def lose(self, ends_block=True):
        """Lose the claim, and end the guarded block."""
        self.is_lost = True
        self.settle()
        for block in list(self._blocks) if ends_block else ():
            block.end()

    def settle(self):
        """Record that it is known whether this attempt replaces the holder."""
        if self._timer is not None:
            self._timer.cancel()
        if not self._settled.done():
            self._settled.set_result(None)

    async def wait_until_settled(self):
        """Wait until it is known whether this attempt replaces the holder."""
        await asyncio.wait([self._settled])


class Succession:
    """The attempts of one request: the holder of the answer, and its challenger.

    All is done in one event loop, so that one of them is the holder at any time.

    Attributes
    ----------
    holder : AnswerClaim or None
        The claim of the attempt whose answer the client gets, as things stand.
    """

    def __init__(self):
        self.holder = None
        self._challenger = None
        self._tasks = {}
        self._successors = deque()

    def begin(self):
        """Return the AnswerClaim of an attempt beside which there is no other."""
        self.holder = AnswerClaim(self)
        return self.holder

    @property
    def has_challenger(self):
        """Whether an attempt is on its way to replace the holder."""
        return self._challenger is not None

    def challenge(self, pursue, acceptance_time=ACCEPTANCE_TIME_S):
        """Start what may replace the holder.

        Parameters
        ----------
        pursue : callable
            Coroutine function that takes an AnswerClaim and runs attempts with it.
        acceptance_time : float or None
            As for `AnswerClaim`.

        Returns
        -------
        AnswerClaim
            The challenger's.
        """
        claim = self._challenger = AnswerClaim(self, acceptance_time)
        self._tasks[claim] = asyncio.create_task(self._run(pursue, claim))
        return claim

    async def _run(self, pursue, claim):
        try:
            return await pursue(claim)
        except Exception:
            if claim.has_replaced:
                raise
            log.exception("challenger failed")
            return None
        finally:
            if self._challenger is claim:
                self._challenger = None
            claim.fail()

    async def replace_holder(self, pursue):
        """Start a challenger and wait until it is sent.

        Returns
        -------
        bool
            Whether it was, and has replaced the holder.
        """
        claim = self.challenge(pursue, acceptance_time=None)
        await claim.wait_until_settled()
        return claim.has_replaced

    def promote(self, claim, ends_holder=True):
        """Make a challenger the holder in place of the attempt that was it."""
        holder, self.holder = self.holder, claim
        self._challenger = None
        self._successors.append(self._tasks[claim])
        claim.has_replaced = True
        claim.settle()
        holder.lose(ends_holder)

    def withdraw_idle(self):
        """End a challenger that no server works on; return whether none is left."""
        claim = self._challenger
        if claim is not None and (claim.has_failed or not claim.is_sent):
            self._withdraw(claim)
        return self._challenger is None

    def _withdraw(self, claim):
        self._challenger = None
        claim.lose()
        self._tasks[claim].cancel()

    async def wait_for_challenger(self):
        """Wait until it is known whether the challenger replaces the holder."""
        await self._challenger.wait_until_settled()

    def take_successor(self):
        """Return the task that runs on after the holder's attempt has ended, or None.

        A challenger that runs becomes the holder.
        """
        if not self._successors and self._challenger is not None:
            self.promote(self._challenger)
        return self._successors.popleft() if self._successors else None

    async def close(self):
        """End all attempts that still run."""
        if self._challenger is not None:
            self._withdraw(self._challenger)
        running = [task for task in self._tasks.values() if not task.done()]
        for task in running:
            task.cancel()
        # Their results and the claims would refer to each other.
        self.holder = None
        self._tasks.clear()
        self._successors.clear()
        if running:
            await asyncio.wait(running)
