"""Answers of servers whose status is none that HTTP knows."""

import pytest
import pytest_asyncio

from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

STATUSES = ["000", "001", "099", "600", "999"]
ANSWER = (
    "HTTP/1.1 {} Odd\r\nX-Tanagerwalk-Attempt-Id: @id\r\n"
    "X-Tanagerwalk-Response-Seal: s\r\n{}\r\n\r\n{}"
)
FRAMINGS = {
    "length": ("Content-Length: 2", "ok"),
    "chunks": ("Transfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"),
    "neither": ("X-A: b", "ok"),
}
REQUESTS = {
    "idempotent": ("GET", "/jobs/1", b""),
    "booking": ("POST", "/bookings/1", b"slot"),
}


@pytest_asyncio.fixture
async def cluster():
    async with GatewayCluster() as built:
        await built.build(drafts=2, desks=2)
        yield built


def answer_oddly(cluster, names, status, framing="length"):
    raw = ANSWER.format(status, *FRAMINGS[framing]).encode()
    for name in names:
        cluster.servers[name].behaviour = Behaviour("raw", raw=raw)


# Guards against MIXED: the client got 600 as an answer, and waited to its deadline for
# what should follow 000, which counted as an interim answer.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("request_kind", REQUESTS)
@pytest.mark.parametrize("status", STATUSES)
async def test_odd_status_of_all_servers_is_a_failure(
    cluster, status, request_kind, framing
):
    answer_oddly(cluster, ["desk-0", "desk-1"], status, framing)
    reply = await cluster.send(cluster.encode(*REQUESTS[request_kind]))
    assert reply.status == 502


@pytest.mark.parametrize("status", STATUSES)
async def test_stream_with_an_odd_status_is_a_failure(cluster, status):
    answer_oddly(cluster, ["draft-0", "draft-1"], status, "chunks")
    reply = await cluster.send(cluster.encode_plan())
    assert reply.status == 502


# Guards against a client that waits to its deadline though another server could answer.
@pytest.mark.parametrize("status", STATUSES)
async def test_another_server_answers_instead(cluster, status):
    answer_oddly(cluster, ["desk-0"], status)
    for _ in range(6):
        reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
        assert reply.status == 200
