"""HTTP listeners for readiness probes and metrics scraping."""

import asyncio

import httptools

from ..bound_sockets import BACKLOG

READY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
# Beyond it the oldest connection is closed.
MAX_CONNECTIONS = 16
IDLE_TIMEOUT_S = 30.0
# Largest request; more of one that doesn't end closes its connection.
MAX_REQUEST_BYTES = 64 * 1024
NOT_READY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def encode_readiness_response(is_ready):
    """Return a 200 response if the instance is ready, otherwise a 503 response."""
    return READY_RESPONSE if is_ready else NOT_READY_RESPONSE


def encode_ok_response(content, content_type):
    """Return a 200 response with a body.

    Parameters
    ----------
    content : bytes
        Response body.
    content_type : str
        Value of the Content-Type header.
    """
    head = f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n"
    return f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content


class ProbeListener:
    """Serves the same resource for every request, whatever its method or path.

    Parameters
    ----------
    render_response : callable
        Returns the complete response as bytes.
    """

    def __init__(self, render_response):
        self.render_response = render_response
        self.connections = {}
        self._server = None

    async def serve(self, sock):
        """Accept connections on a bound socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ProbeConnection(self), sock=sock, backlog=BACKLOG
        )

    @property
    def is_open(self):
        """Whether the listener has its port."""
        return self._server is not None

    @property
    def port(self):
        """Port that the listener is bound to."""
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()


class _ProbeConnection(asyncio.Protocol):
    """Answers one request after another, each once the one before has been taken."""

    def __init__(self, listener):
        self._listener = listener
        self._transport = None
        self._timeout_handle = None
        self._parser = httptools.HttpRequestParser(self)
        self._received_bytes = 0
        self._unanswered = 0
        self._is_writable = True
        self._keeps_alive = True

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._listener.connections[self] = True
        if len(self._listener.connections) > MAX_CONNECTIONS:
            next(iter(self._listener.connections)).close()
        self._restart_timeout()

    def connection_lost(self, exc):
        del exc
        self._timeout_handle.cancel()
        self._listener.connections.pop(self, None)

    def close(self):
        self._listener.connections.pop(self, None)
        self._transport.close()

    def _restart_timeout(self):
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
        loop = asyncio.get_running_loop()
        self._timeout_handle = loop.call_later(IDLE_TIMEOUT_S, self.close)

    def data_received(self, data):
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._transport.abort()
        if self._unanswered and not self._transport.is_closing():
            self._transport.pause_reading()
            self._answer_next()

    def on_message_complete(self):
        self._received_bytes = 0
        self._unanswered += 1
        self._keeps_alive = self._parser.should_keep_alive()

    def pause_writing(self):
        self._is_writable = False

    def resume_writing(self):
        self._is_writable = True
        self._continue()

    def _answer_next(self):
        """Answer a request; others have their turn before the next one."""
        if self._transport.is_closing():
            return
        self._restart_timeout()
        self._unanswered -= 1
        self._transport.write(self._listener.render_response())
        if self._is_writable:
            asyncio.get_running_loop().call_soon(self._continue)

    def _continue(self):
        # It may only be called off once the loop has tried to send the answer.
        if self._transport.is_closing() or not self._is_writable:
            return
        if self._unanswered:
            self._answer_next()
        elif self._keeps_alive:
            self._transport.resume_reading()
        else:
            self._transport.close()
