"""Assembles one request from the pieces in which it arrives."""

from .memory import HEADER_BYTES, LIST_ENTRY_BYTES, REQUEST_BYTES
from .receive_refusals import (
    LimitExceededError,
    build_body_refusal,
    build_header_refusal,
    build_memory_refusal,
)
from .requests import RawRequest

# Steps in which memory is reserved for a body, as it arrives.
BODY_STEP_BYTES = 16 * 1024
# Room for lines of chunks and a few trailers beside the largest head.
SPARE_FRAMING_BYTES = 1024


def _make_no_room():
    return False


class RequestAssembly:
    """One request that is being received, within its limits and its memory.

    Its methods raise LimitExceededError if a limit or the memory doesn't allow more.

    Parameters
    ----------
    limits : ClientLimits
        Limits of the manifest.
    memory : RequestMemory
        Counts the memory of the request.
    random : random.Random
        Spreads the times at which refused clients come back.
    make_room : callable
        Called without arguments if the memory doesn't allow more; returns whether it
        may now.
    """

    def __init__(self, limits, memory, random, make_room=_make_no_room):
        self._limits = limits
        self._make_room = make_room
        self._random = random
        self._target = b""
        self._headers = []
        self._body = b""
        self._reserved_body_size = 0
        self._announced_size = 0
        # Bytes beside the body for which memory is reserved, once the head is complete.
        self._framing_size = 0
        self.memory = memory
        self.is_in_head = True

    @property
    def body_size(self):
        """Bytes of the body that have arrived."""
        return len(self._body)

    @property
    def missing_size(self):
        """Bytes of a body of known length that have not arrived yet, 0 without one."""
        return self._announced_size - len(self._body)

    def add_target(self, data):
        """Append a fragment of the request target."""
        self._target += data

    def add_header(self, name, value):
        """Append a header."""
        self._headers.append((name, value))

    def check_partial_head(self, size):
        """Check a head of which `size` bytes have arrived, and reserve its memory."""
        if size > self._limits.header_size:
            raise LimitExceededError(build_header_refusal(self._limits))
        self._reserve(size + HEADER_BYTES * len(self._headers) - self.memory.size)

    def check_framing(self, size):
        """Check what has arrived beside the body, and reserve its memory.

        Parameters
        ----------
        size : int
            Bytes of the head and of the framing of the body, trailers included.
        """
        if size > self._limits.header_size + SPARE_FRAMING_BYTES:
            raise LimitExceededError(build_header_refusal(self._limits))
        if size > self._framing_size:
            self._reserve(size - self._framing_size)
            self._framing_size = size

    def complete_head(self):
        """Check the sizes and the memory of the whole request.

        Of the body, only what has arrived is reserved, so that one that doesn't arrive
        takes nothing from others.

        Returns
        -------
        bool
            Whether the client waits for `100 Continue` before it sends the body.
        """
        self.is_in_head = False
        size = sum(len(n) + len(v) + 4 for n, v in self._headers) + len(self._target)
        if size > self._limits.header_size:
            raise LimitExceededError(build_header_refusal(self._limits))
        self._framing_size = size
        length = 0
        is_asked = False
        for name, value in self._headers:
            key = name.lower()
            if key == b"content-length":
                length = int(value)
            elif key == b"expect" and value.lower() == b"100-continue":
                is_asked = True
        if length > self._limits.body_size:
            raise LimitExceededError(build_body_refusal(self._limits))
        self._announced_size = length
        self._reserved_body_size = min(length, BODY_STEP_BYTES)
        size += HEADER_BYTES * len(self._headers) + REQUEST_BYTES
        size += LIST_ENTRY_BYTES * sum(value.count(b",") for _, value in self._headers)
        self._reserve(size + self._reserved_body_size - self.memory.size)
        self._check_room(length - self._reserved_body_size)
        return is_asked

    def add_body(self, data):
        """Append a fragment of the body."""
        size = len(self._body) + len(data)
        if size > self._limits.body_size:
            raise LimitExceededError(build_body_refusal(self._limits))
        if size > self._reserved_body_size:
            step = max(BODY_STEP_BYTES, size - self._reserved_body_size)
            self._reserve(step)
            self._reserved_body_size += step
        if not self._body:
            # The usual body arrives in one piece, which is not copied.
            self._body = data
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += data

    def build(self, method, received_at):
        """Return the RawRequest, which now owns the memory.

        Parameters
        ----------
        method : bytes
            HTTP method.
        received_at : float
            Monotonic time in seconds.
        """
        return RawRequest(
            method=method,
            target=self._target,
            headers=self._headers,
            body=bytes(self._body),
            received_at=received_at,
            memory=self.memory,
        )

    def _reserve(self, amount):
        if amount <= 0 or self.memory.try_grow(amount):
            return
        if not (self._make_room() and self.memory.try_grow(amount)):
            raise LimitExceededError(build_memory_refusal(self._random))

    def _check_room(self, amount):
        """Check whether the rest of the request would fit if it came now."""
        if amount <= 0 or self.memory.fits(amount):
            return
        if not (self._make_room() and self.memory.fits(amount)):
            raise LimitExceededError(build_memory_refusal(self._random))
