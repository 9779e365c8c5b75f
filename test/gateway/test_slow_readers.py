"""Clients that read their answers slowly, but without a pause."""

import asyncio
import socket
import time

import pytest

from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

pytestmark = pytest.mark.serial

WINDOW_BYTES = 2048
READ_BYTES = 128
READ_PAUSE_S = 0.25
# Longer than a window of that size stays closed at this speed.
SLOW_S = 6.0
BODY = b"x" * 65536
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Tanagerwalk-Attempt-Id: @id\r\n"
    b"X-Tanagerwalk-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s"
) % (len(BODY), BODY)


def read_slowly(port, request):
    """Return the bytes of an answer, read slowly at first."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.settimeout(SLOW_S)
        sock.connect((find_address(), port))
        sock.sendall(request)
        received = b""
        started_at = time.monotonic()
        while time.monotonic() - started_at < SLOW_S:
            received += sock.recv(READ_BYTES)
            time.sleep(READ_PAUSE_S)
        while not received.endswith(BODY):
            received += sock.recv(len(BODY))
        return received


# Guards against TCP_USER_TIMEOUT on the connections of clients: it resets one whose
# window stays closed for longer, although it goes on reading.
async def test_answer_reaches_a_client_that_reads_slowly():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        cluster.servers["desk-0"].behaviour = Behaviour("raw", raw=ANSWER)
        port = cluster.instances[0].client_listener.port
        request = cluster.encode("GET", "/jobs/1")
        answer = await asyncio.to_thread(read_slowly, port, request)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"\r\n\r\n" + BODY)
