"""Parser of the requests on a client's connection, whose ends it never guesses."""

import httptools

from .receive_refusals import LimitExceededError, build_malformed_refusal
from .request_framing import RequestFraming, find_chunk_framing_size


class RequestParser:
    """Parses requests one after another; an offer of another protocol is ignored.

    `httptools` takes the first byte behind such an offer for another protocol's. The
    body and what follows it are then read by a new parser, which is told how the body
    is delimited.

    Parameters
    ----------
    receiver : object
        Its methods `on_message_begin`, `on_url`, `on_header`, `on_headers_complete`,
        `on_body` and `on_message_complete` are called like those of a protocol of
        `httptools`. They may raise LimitExceededError. Trailers aren't reported.

    Attributes
    ----------
    method : bytes
        Method of the last request whose head is complete.
    framing_size : int
        Bytes of the request that is being parsed, or of the empty lines before one,
        without its body and the least framing that the chunks of the body need. All of
        the data in which a request begins counts, unless another one ended there.
    """

    def __init__(self, receiver):
        self._receiver = receiver
        self._framing = RequestFraming()
        self._is_in_head = False
        # Whether the parser is told of a head that the receiver knows already.
        self._repeats_head = False
        self._keep_alive = True
        self._piece_size = 0
        self._chunk_size = 0
        self.method = b""
        self.framing_size = 0
        self._parser = httptools.HttpRequestParser(self)

    @property
    def keep_alive(self):
        """Whether another request may follow the one that has just been parsed."""
        return self._parser.should_keep_alive()

    def feed(self, data):
        """Parse received bytes.

        Parameters
        ----------
        data : memoryview
            The bytes.

        Raises
        ------
        LimitExceededError
            With the refusal of a request that exceeds a limit, is malformed, or whose
            end isn't clear. Nothing may be parsed after it.
        """
        self._piece_size = len(data)
        self.framing_size += len(data)
        try:
            while data:
                data = self._feed_until_offer(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, LimitExceededError):
                raise cause from None
            refusal = build_malformed_refusal(str(error))
            raise LimitExceededError(refusal) from None

    def _feed_until_offer(self, data):
        """Parse to the end of the next head with an offer; return what is left."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            (size,) = offer.args
            self._ignore_offer()
            return data[size:]
        return b""

    def _ignore_offer(self):
        head = self._framing.encode_head(self._keep_alive)
        self._parser = httptools.HttpRequestParser(self)
        self._repeats_head = True
        self._parser.feed_data(head)

    # Called by the parser.

    def on_message_begin(self):
        """Begin a request, unless it is known already."""
        if self._repeats_head:
            return
        self._framing = RequestFraming()
        self._is_in_head = True
        self._chunk_size = 0
        self.framing_size = self._piece_size
        self._receiver.on_message_begin()

    def on_url(self, url):
        """Report a fragment of the request target."""
        if not self._repeats_head:
            self._receiver.on_url(url)

    def on_header(self, name, value):
        """Report a header; drop a trailer."""
        if not self._is_in_head:
            return
        self._framing.add_header(name, value)
        self._receiver.on_header(name, value)

    def on_headers_complete(self):
        """Check where the request ends, and report the end of its head."""
        if self._repeats_head:
            self._repeats_head = False
            return
        self._is_in_head = False
        self._keep_alive = self._parser.should_keep_alive()
        self.method = self._parser.get_method()
        self._framing.check(self.method, self._parser.get_http_version())
        self._receiver.on_headers_complete()

    def on_body(self, data):
        """Report a fragment of the body."""
        self._chunk_size += len(data)
        self.framing_size -= len(data)
        self._receiver.on_body(data)

    def on_chunk_complete(self):
        """Leave out the least framing of a chunk; what goes beyond it counts."""
        self.framing_size -= find_chunk_framing_size(self._chunk_size)
        self._chunk_size = 0

    def on_message_complete(self):
        """Report the end of a request, unless its body is still to come."""
        if self._parser.should_upgrade():
            return
        self._piece_size = 0
        self.framing_size = 0
        self._receiver.on_message_complete()
