"""How a stand-in for a backend server answers, faults included."""

from dataclasses import dataclass, field

FILLER = b"x" * 65536
FILLER_CHUNK = b"%x\r\n%s\r\n" % (len(FILLER), FILLER)
# What follows the head, and what is repeated then.
PIECES = b"3c\r\n%s\r\n" % (b"x" * 60) * 1000
TINY_PIECES = b"1\r\nx\r\n" * 10000
BLANK_LINES = b"10000\r\n%s\r\n" % (b"\n" * 65536)
ENDLESS_STARTS = {
    "endless_pieces": (b"\r\n", PIECES),
    "endless_tiny_pieces": (b"\r\n", TINY_PIECES),
    "endless_blank_lines": (b"\r\n", BLANK_LINES),
    "endless_header_lines": (b"", b"X-A: b\r\n" * 8000),
    "endless_head": (b"X-Filler: ", FILLER),
    "endless_body": (b"\r\n", FILLER_CHUNK),
    "endless_event": (b"\r\n", FILLER_CHUNK),
}

# What a stream repeats for ever after its second event.
STALL_PIECES = {"stalled_comments": b": wait\n\n", "stalled_bytes": b"x"}
STALL_INTERVAL_S = 0.2


@dataclass(slots=True)
class Behaviour:
    """How the backend server answers subsequent requests.

    Parameters
    ----------
    fault : str
        Empty, or one of

        - `refuse`: status 503, marked as not executed
        - `late_refuse`: the same, after `delay`
        - `misdirect`: status 421
        - `contradictory`: status 200, marked as not executed
        - `two_ids`: status 503, marked as not executed, with another attempt id, too;
          the connection is closed then
        - `raw`: the bytes of `raw`, with `@id` replaced by the attempt id
        - `error`: status 500
        - `redirect`: status 302 to another path
        - `reset`: the connection is aborted once the request has been read
        - `silent`: no response
        - `foreign`: a response to another request precedes the response
        - `extra`: a second response follows the response
        - `unframed`: neither a length nor chunks; the connection is closed at the end
        - `unframed_reset`: the same, but the connection is reset (TCP RST)
        - `unsigned`: no response seal
        - `torn`: a stream ends inside its third event
        - `cut`: a stream ends after its second event
        - `stalled_comments`, `stalled_bytes`: a stream sends no event after its second
          one, but a comment or a byte now and then, for ever
        - `late`: no byte for `pause` seconds, then the usual response
        - `paused`: a stream sends nothing for `pause` seconds after its second event
        - `paused_events`: the same, but a comment now and then
        - `paused_error`: status 500; nothing for `pause` seconds amid its body
        - `endless_head`, `endless_body`, `endless_event`: a header, a body or an event
          of a stream without end
        - `endless_pieces`, `endless_tiny_pieces`: a body without end, in small chunks
        - `endless_blank_lines`, `endless_header_lines`: those, without end
    times : int
        Number of requests affected by the fault; -1 for all.
    delay : float
        Seconds before each event of a stream, and before a plain response.
    pause : float
        Seconds for which the faults that name it send nothing.
    unread : float
        Seconds for which the body of a request is left in the socket.
    confidence : dict of str to int
        Confidence that each model reports for its answers; 100 if not given.
    is_leaving : bool
        Whether all answers say that the server leaves.
    retry_after : str
        Value of that header in refusals; empty for none.
    limit : str
        Requests a second that all answers name as the server's limit; empty for none.
    brittle : str
        Rejections a second that all answers name as more than the server bears; empty
        for none.
    slowdown : float or None
        How long work takes, relative to what is usual: a factor of `delay` that all
        answers report with the load, from a server with places. None if it isn't
        reported.
    raw : bytes
        Answer for the fault `raw`.
    keeps_abandoned : bool
        Whether the server goes on with a request whose connection has closed.
    crashing_part : str
        Part of a prompt on which the server crashes once it has sent the head of its
        answer; empty for none.
    """

    fault: str = ""
    times: int = -1
    delay: float = 0.0
    pause: float = 0.0
    unread: float = 0.0
    confidence: dict[str, int] = field(default_factory=dict)
    is_leaving: bool = False
    retry_after: str = ""
    limit: str = ""
    brittle: str = ""
    slowdown: float | None = None
    raw: bytes = b""
    keeps_abandoned: bool = False
    crashing_part: str = ""

    @property
    def step_time(self):
        """Seconds before each event of a stream, and before a plain response."""
        return self.delay if self.slowdown is None else self.delay * self.slowdown
