"""How long the next bytes of a stream are waited for."""

# A client that held a stream up for so long may be why its server broke it off.
HELD_UP_S = 1.0


class StreamWait:
    """Bounds the silence of a server, and the time that it takes for an event.

    Bytes that complete no event, and comments, show that the server lives, but not
    that its stream goes on. The time in which the client takes what was sent to it
    counts for neither. A stream that can't go on elsewhere is waited for longer, until
    its client leaves.

    Parameters
    ----------
    timeouts : AttemptTimeouts
        Timeouts of the attempt.
    has_begun : bool
        Whether the client has received events, from an earlier attempt.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, timeouts, has_begun, clock):
        self._timeouts = timeouts
        self._clock = clock
        self._silence = timeouts.idle if has_begun else timeouts.head
        now = clock()
        self._event_due_at = now + (timeouts.stalled if has_begun else timeouts.head)
        self._client_leaves_at = now + (
            timeouts.client_gap if has_begun else timeouts.head
        )
        self._prolonged_until = None
        self._forwarding_since = None
        self._longest_hold = 0.0

    @property
    def seconds(self):
        """Seconds for which the next bytes are waited for."""
        now = self._clock()
        if self._prolonged_until is not None:
            return min(self._prolonged_until, self._client_leaves_at) - now
        return min(self._silence, self._event_due_at - now)

    @property
    def has_client(self):
        """Whether the client is likely to wait for the next event yet."""
        return self._clock() < self._client_leaves_at

    def prolong(self, seconds):
        """Wait for some more seconds, or until the client leaves or gets an event."""
        self._prolonged_until = self._clock() + seconds

    @property
    def is_held_up(self):
        """Whether the client has held the stream up for HELD_UP_S at some time.

        The server may have broken the stream off then, which shows only when what it
        sent before has been read.
        """
        return self._longest_hold >= HELD_UP_S

    def begin_forwarding(self):
        """Record that events have come, which the client is about to take."""
        self._silence = self._timeouts.idle
        self._prolonged_until = None
        self._forwarding_since = self._clock()

    def end_forwarding(self, has_content):
        """Record that the client has taken them.

        Parameters
        ----------
        has_content : bool
            Whether any of the events was more than a comment.
        """
        now = self._clock()
        hold = now - self._forwarding_since
        self._longest_hold = max(self._longest_hold, hold)
        if has_content:
            self._event_due_at = now + self._timeouts.stalled
            self._client_leaves_at = now + self._timeouts.client_gap
        else:
            self._event_due_at += hold
            self._client_leaves_at += hold
