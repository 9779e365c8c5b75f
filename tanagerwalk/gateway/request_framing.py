"""How the head of a request delimits its body, and which heads leave that open."""

from .receive_refusals import LimitExceededError, build_malformed_refusal

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED = b"chunked"
FRAMING_HEADERS = frozenset({CONTENT_LENGTH, TRANSFER_ENCODING})
FRAMING_NAME_SIZES = frozenset(len(name) for name in FRAMING_HEADERS)
TUNNEL_METHOD = b"CONNECT"
# The first version in which bodies may come in chunks.
CHUNKED_VERSION = "1.1"
# Ends of the two lines of a chunk.
CHUNK_LINE_ENDS_BYTES = 4


def find_chunk_framing_size(size):
    """Return the least number of bytes beside the data of a chunk of a size."""
    return len(f"{size:x}") + CHUNK_LINE_ENDS_BYTES


class RequestFraming:
    """The headers of one request that delimit its body.

    The parser checks their syntax, and that there is one of them at most; this adds
    what it lets pass.
    """

    def __init__(self):
        self._headers = []

    def add_header(self, name, value):
        """Keep a header if it says something about the body."""
        if len(name) in FRAMING_NAME_SIZES and name.lower() in FRAMING_HEADERS:
            self._headers.append((name, value))

    def check(self, method, version):
        """Raise LimitExceededError if a server could see another end than the parser.

        Parameters
        ----------
        method : bytes
            HTTP method.
        version : str
            HTTP version.
        """
        if method == TUNNEL_METHOD:
            _refuse("tunnels are not supported")
        for name, value in self._headers:
            if name.lower() != TRANSFER_ENCODING:
                continue
            if value.strip().lower() != CHUNKED:
                _refuse("no transfer coding other than chunked is supported")
            if version < CHUNKED_VERSION:
                _refuse("chunks in an older version of HTTP")

    def encode_head(self, keep_alive):
        """Return the head of a request that has the same body, and offers nothing.

        Parameters
        ----------
        keep_alive : bool
            Whether another request may follow it on its connection.
        """
        headers = list(self._headers)
        if not keep_alive:
            headers.append((b"Connection", b"close"))
        lines = [b"POST / HTTP/1.1", *(b"%s: %s" % header for header in headers)]
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _refuse(detail):
    raise LimitExceededError(build_malformed_refusal(detail))
