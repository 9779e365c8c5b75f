"""The request that a client connection handles, until its answer has been taken."""

from .connection_ends import UnansweredEnd
from .unread_answers import UnreadAnswerWatch


class HandledRequest:
    """Holds the memory of a request, and watches whether its answer is read.

    Parameters
    ----------
    listener : Listener
        Provides the clock, and knows whether other answers wait for memory.

    Attributes
    ----------
    responder : Responder or None
        Writes the answer; None once it is complete.
    """

    def __init__(self, listener):
        self._listener = listener
        self._memory = None
        self._watch = None
        self.responder = None

    @property
    def is_set(self):
        """Whether there is a request whose answer has not been taken yet."""
        return self._memory is not None

    @property
    def is_unread(self):
        """Whether the answer is complete, and has not been taken yet."""
        return self._watch is not None

    def begin(self, memory):
        """Begin to hold the RequestMemory of the next request."""
        self._memory = memory

    def watch_unread(self, transport, idle_timeout, responder, on_stalled):
        """Watch an answer that waits for the client; see UnreadAnswerWatch."""
        # The transport keeps all of a body until its last byte has been taken.
        unsent = transport.get_write_buffer_size()
        self._memory.shrink_to(max(unsent, responder.body_size))
        self._watch = UnreadAnswerWatch(
            transport,
            idle_timeout,
            responder.client_waits_until,
            self._listener.clock,
            self._listener.memory.answers.has_waiting,
            on_stalled,
        )

    def release(self):
        """Release the memory, once the request has been answered."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if self._memory is not None:
            self._memory.release()
            self._memory = None

    def describe_end(self, cause, queued, is_partial):
        """Return what is owed as the connection ends.

        Parameters
        ----------
        cause : EndCause
            Who or what ends it.
        queued : int
            Whole requests behind this one.
        is_partial : bool
            Whether a part of another request has been received.

        Returns
        -------
        UnansweredEnd or None
            None if no answer is owed.
        """
        responder = self.responder
        is_unread = responder is None and self.is_unread
        if responder is None and not (is_unread or queued or is_partial):
            return None
        received_at = None if responder is None else responder.received_at
        age = None if received_at is None else self._listener.clock() - received_at
        return UnansweredEnd(
            cause=cause,
            request_id=None if responder is None else responder.request_id,
            has_begun=responder is not None and responder.started,
            is_unread=is_unread,
            queued=queued,
            is_partial=is_partial,
            age=age,
        )
