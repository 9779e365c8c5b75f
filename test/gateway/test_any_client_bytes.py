"""Any bytes from clients, of which none may raise or leave anything behind."""

import asyncio

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tanagerwalk.gateway.client_connection import ClientConnection
from tanagerwalk.standins.gateway_cluster import GatewayCluster

HEAD = b"POST /jobs/1 HTTP/1.1\r\nHost: desk.example\r\n"
STARTS = [
    b"",
    b"GET /jobs/1 HTTP/1.1\r\n\r\n",
    HEAD,
    HEAD + b"Content-Length: 9\r\n\r\n",
    HEAD + b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
    HEAD + b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n",
    HEAD + b"\xff: \xb2\r\nX-Tanagerwalk-Attempt-Id: \xff\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"GET \xff\x00 HTTP/1.1\r\n",
]
PARTS = st.binary(max_size=40) | st.sampled_from(
    [b"\r\n", b"\r\n\r\n", b"0\r\n\r\n", b"Content-Length: 1\r\n", b"x" * 70_000]
)


class Transport:
    """Takes what is written, and is open until it is closed."""

    def __init__(self):
        self._is_closing = False

    def is_closing(self):
        return self._is_closing

    def close(self):
        self._is_closing = True

    abort = close

    def write(self, data):
        del data

    writelines = write

    def set_write_buffer_limits(self, high, low):
        del high, low

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        del name

    def can_write_eof(self):
        return False

    def pause_reading(self):
        pass

    resume_reading = pause_reading


async def test_any_bytes_of_a_client_are_received_without_an_exception():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        (instance,) = cluster.instances
        listener = instance.client_listener
        used = listener.memory._budget.used

        @settings(max_examples=150, suppress_health_check=[HealthCheck.too_slow])
        @given(st.sampled_from(STARTS), st.lists(PARTS, max_size=4))
        def receive(start, parts):
            transport = Transport()
            connection = ClientConnection(listener)
            connection.connection_made(transport)
            for part in (start, *parts):
                if not transport.is_closing():
                    connection.data_received(part)
            connection.connection_lost(None)

        receive()
        await asyncio.sleep(0.1)
        assert not listener.connections
        assert listener.memory._budget.used == used
        assert not instance.count_defects()
