"""Small listeners for whoever watches over an instance."""

import asyncio

import httptools

READY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NOT_READY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def encode_readiness_response(is_ready):
    """Return the answer that says whether new connections are welcome."""
    return READY_RESPONSE if is_ready else NOT_READY_RESPONSE


def encode_ok_response(content, content_type):
    """Return the answer that carries a page.

    Parameters
    ----------
    content : bytes
        The page.
    content_type : str
        Its type.
    """
    head = f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n"
    return f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content


class ProbeListener:
    """Gives every request the same kind of answer.

    Parameters
    ----------
    render_response : callable
        Returns the bytes of the answer.
    """

    def __init__(self, render_response):
        self.render_response = render_response
        self._server = None

    async def start(self, address):
        """Listen at an (IP, port) tuple."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ProbeConnection(self), *address, reuse_address=True
        )

    @property
    def port(self):
        """The port that is listened at."""
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Take no more connections."""
        if self._server is not None:
            self._server.close()


class _ProbeConnection(asyncio.Protocol):
    def __init__(self, listener):
        self._listener = listener
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()

    def on_message_complete(self):
        self._transport.write(self._listener.render_response())
        if not self._parser.should_keep_alive():
            self._transport.close()
