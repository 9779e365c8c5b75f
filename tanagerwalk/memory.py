"""Memory that bodies of requests and answers take, within the limit of the process."""

import asyncio
import os
from collections import deque
from dataclasses import replace

from .decisions.resource_budget import ResourceBudget
from .process_memory import find_room, read_sizes

MAX_ANSWER_BYTES = 16 * 1024 * 1024
SMALL_BODY_BYTES = 64 * 1024
# Part of the budget that bodies which aren't small leave to others.
SPARE_DIVISOR = 4
# Memory for tables, declarations and connections, which the budget doesn't count.
TABLES_BYTES = 24 * 1024 * 1024
# Address space for the stacks of threads that start later.
THREADS_BYTES = 64 * 1024 * 1024
# Part of the rest that is used, as freed memory isn't all given back.
USABLE_SHARE = 0.6
# The parts that were received, the whole body, and the one encoded for a server.
BODY_COPIES = 3
# Its parts, or the answer and the response made of it.
ANSWER_COPIES = 3
VALUE_BYTES = 64
WIDE_CHARACTER_BYTES = 4


class Memory:
    """Counts the bytes that bodies take, refuses requests and paces answers.

    Parameters
    ----------
    capacity : int
        Most bytes that bodies may take.

    Attributes
    ----------
    unread : int
        Bytes of answers that callers have not read yet.
    """

    def __init__(self, capacity):
        self.budget = ResourceBudget(capacity)
        self.unread = 0
        self._answers = {}
        self._waiting = deque()

    def try_reserve(self, amount):
        """Reserve bytes for a request; large ones leave a part to small ones.

        Returns
        -------
        bool
            Whether they have been reserved.
        """
        is_small = amount <= SMALL_BODY_BYTES * BODY_COPIES
        spare = 0 if is_small else self.budget.capacity // SPARE_DIVISOR
        return self.budget.try_reserve(amount, spare)

    def can_ever_fit(self, amount):
        """Return whether a request of these bytes fits if there is no other one."""
        capacity = self.budget.capacity
        return amount <= capacity - capacity // SPARE_DIVISOR

    def reserve(self, amount):
        """Count bytes that are in use already."""
        self.budget.reserve(amount)

    def change_unread(self, change):
        """Count more or fewer bytes that callers have not read."""
        self.unread += change
        self.release(-change)

    def release(self, amount):
        """Give back reserved bytes, and let answers go on that wait for room."""
        self.budget.release(amount)
        self._wake()

    def hold_answer(self):
        """Return a context manager that counts an answer while it is received."""
        return HeldAnswer(self)

    def add_answer(self, answer):
        """Note an answer that is being received."""
        self._answers[answer] = None

    def remove_answer(self, answer):
        """Give back the bytes of an answer."""
        del self._answers[answer]
        self.release(answer.size)

    async def wait_for_room(self, answer, amount):
        """Return once bytes of an answer fit."""
        while not self.has_room(answer, amount):
            waiter = asyncio.get_running_loop().create_future()
            self._waiting.append(waiter)
            await waiter

    def has_room(self, answer, amount):
        """Return whether bytes of an answer fit.

        A part of the capacity is kept for the oldest answer, so that answers which
        wait for each other come to an end. It may even go beyond the capacity, if
        nearly all of it is taken by answers that wait.
        """
        room = self.budget.capacity - self.budget.used
        if next(iter(self._answers)) is answer:
            waiting = sum(held.size for held in self._answers)
            others = self.budget.used - waiting
            is_alone = others <= self.budget.capacity // SPARE_DIVISOR
            return amount <= room + (MAX_ANSWER_BYTES if is_alone else 0)
        kept = min(self.budget.capacity // 2, ANSWER_COPIES * MAX_ANSWER_BYTES)
        return amount <= room - kept

    def _wake(self):
        waiting, self._waiting = self._waiting, deque()
        for waiter in waiting:
            if not waiter.done():
                waiter.set_result(None)


class HeldAnswer:
    """Bytes of an answer that is being received; counted until the context ends.

    Parameters
    ----------
    memory : Memory
        Where they are counted.

    Attributes
    ----------
    has_waited : bool
        Whether its reception has waited for room, which is not its server's fault.
    """

    def __init__(self, memory):
        self._memory = memory
        self.size = 0
        self.has_waited = False

    def __enter__(self):
        self._memory.add_answer(self)
        return self

    def __exit__(self, *error):
        self._memory.remove_answer(self)

    async def grow(self, amount):
        """Count more bytes that are received; waits until they fit."""
        taken = amount * ANSWER_COPIES
        is_small = self.size + taken <= SMALL_BODY_BYTES
        if not is_small and not self._memory.has_room(self, taken):
            self.has_waited = True
            await self._memory.wait_for_room(self, taken)
        self.count(taken)

    def count(self, amount):
        """Count more bytes that are taken, even beyond the capacity."""
        self._memory.reserve(amount)
        self.size += amount


class RequestMemory:
    """Bytes of the whole answers of one request, counted until the request ends.

    Parameters
    ----------
    memory : Memory
        Where they are counted.
    """

    def __init__(self, memory):
        self._memory = memory
        self._size = 0
        self._has_ended = False

    def keep_answer(self, size):
        """Count an answer that has been received, of this size in bytes."""
        if self._has_ended:
            return
        self._size += size * ANSWER_COPIES
        self._memory.reserve(size * ANSWER_COPIES)

    def end(self):
        """Give back all of it; nothing is counted any more."""
        self._has_ended = True
        self._memory.release(self._size)
        self._size = 0


def estimate_body_bytes(size):
    """Return the bytes that a body takes from its reception to its end.

    Parameters
    ----------
    size : int
        Size of the body in bytes.
    """
    return size * BODY_COPIES


def estimate_decoded_bytes(body):
    """Return an upper estimate of the bytes that a JSON body takes once decoded.

    Parameters
    ----------
    body : bytes
        The body.
    """
    values = sum(body.count(mark) for mark in (b",", b"[", b"{", b":"))
    is_narrow = body.isascii() and b"\\u" not in body
    width = 1 if is_narrow else WIDE_CHARACTER_BYTES
    return values * VALUE_BYTES + len(body) * width


def find_capacity(limit):
    """Return how many bytes the bodies of a process may take, now at its start.

    Parameters
    ----------
    limit : int
        Most memory that the process may take, in bytes; 0 for that of the system.
    """
    system = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    sizes = read_sizes()
    grown = replace(sizes, address_space=sizes.address_space + THREADS_BYTES)
    room = find_room(min(limit or system, system), grown)
    return max(0, int((room - TABLES_BYTES) * USABLE_SHARE))
