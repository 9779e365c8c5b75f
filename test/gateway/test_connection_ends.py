"""What is logged and counted when a client connection ends without an answer."""

import asyncio

import pytest
from structlog.testing import capture_logs

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.client_connection import MAX_PIPELINED_REQUESTS
from tanagerwalk.gateway.connection_ends import EndCause, find_loss_cause
from tanagerwalk.logs import configure_logs
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster

EVENT = "client connection ended unanswered"
WAIT_S = 3.0


class Ends:
    """The lines of the log, and the counter, of one instance."""

    def __init__(self, cluster, lines):
        self._metrics = cluster.instances[0].metrics
        self._lines = lines

    @property
    def lines(self):
        return [line for line in self._lines if line["event"] == EVENT]

    async def wait(self):
        assert await poll_until(lambda: bool(self.lines), 0.01, WAIT_S)
        return self.lines

    def count(self, cause):
        return self._metrics.unanswered.labels(cause.value)._value.get()


async def build(cluster, fault, **changes):
    configure_logs()
    await cluster.build(drafts=1, desks=1)
    for server in cluster.servers.values():
        server.behaviour = Behaviour(fault, **changes)


async def test_client_that_leaves_before_its_answer_has_its_line():
    async with GatewayCluster() as cluster:
        await build(cluster, "silent")
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            _, writer = await cluster.connect()
            writer.write(cluster.encode("GET", "/jobs/1"))
            server = cluster.servers["desk-0"]
            assert await poll_until(lambda: bool(server.requests), 0.01, WAIT_S)
            writer.close()
            (line,) = await ends.wait()
        assert "request cancelled" not in {each["event"] for each in lines}
        assert line["cause"] == "client_closed"
        assert line["id"] == "try-1"
        assert not line["begun"]
        assert ends.count(EndCause.CLIENT_CLOSED) == 1


async def test_stream_that_cannot_go_on_has_its_line():
    async with GatewayCluster() as cluster:
        await build(cluster, "cut")
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            reply = await cluster.send(cluster.encode_plan())
            (line,) = await ends.wait()
        assert not reply.complete
        assert (line["cause"], line["id"], line["begun"]) == (
            "broken_off",
            "try-1",
            True,
        )
        assert ends.count(EndCause.BROKEN_OFF) == 1


# Guards against LOST: a stop closed the connection behind the answer to the request at
# work, with another whole one queued or waiting in the socket.
@pytest.mark.parametrize("count", [1, MAX_PIPELINED_REQUESTS + 4])
async def test_requests_behind_the_one_at_work_are_answered_in_a_stop(count):
    async with GatewayCluster() as cluster:
        await build(cluster, "", delay=0.3)
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            reader, writer = await cluster.connect()
            writer.write(cluster.encode("GET", "/jobs/1"))
            server = cluster.servers["desk-0"]
            assert await poll_until(lambda: bool(server.requests), 0.01, WAIT_S)
            server.behaviour = Behaviour()
            for number in range(count):
                writer.write(cluster.encode("GET", f"/jobs/{number + 2}"))
            cluster.instances[0].client_listener.closing = True
            answers = await reader.read()
            writer.close()
        assert answers.count(b"HTTP/1.1 200 ") == count + 1
        assert answers.count(b"Connection: close") == 1
        assert ends.lines == []


# Guards against LOST: a client that always has a further request on its way was told of
# no close while all was refused, and its last request was read and dropped.
async def test_first_refusal_of_a_stop_announces_the_close_whatever_waits():
    async with GatewayCluster() as cluster:
        await build(cluster, "")
        instance = cluster.instances[0]
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            reader, writer = await cluster.connect()
            instance.client_listener.closing = True
            instance.client_listener.refusing = True
            instance.request_handler.is_stopping = True
            for number in range(4):
                writer.write(cluster.encode("GET", f"/jobs/{number}"))
            answers = await reader.read()
            writer.close()
        assert answers.count(b"HTTP/1.1 503 ") == 4
        head, _, _ = answers.partition(b"\r\n\r\n")
        assert b"Connection: close" in head
        assert ends.lines == []


# Guards against LOST: a request that came behind a stream whose head had announced the
# end of the connection was read and dropped.
async def test_request_behind_an_announced_end_is_refused_unrun():
    async with GatewayCluster() as cluster:
        await build(cluster, "", delay=0.1)
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            cluster.instances[0].client_listener.closing = True
            reader, writer = await cluster.connect()
            writer.write(cluster.encode_plan())
            assert b"Connection: close" in await reader.readuntil(b"\r\n\r\n")
            writer.write(cluster.encode("GET", "/jobs/2"))
            answers = await reader.read()
            writer.close()
        stream, _, rest = answers.partition(b"0\r\n\r\n")
        assert stream.count(b"id: ") == 5
        assert rest.startswith(b"HTTP/1.1 503 ")
        assert cluster.servers["desk-0"].requests == []
        assert ends.lines == []


# Guards against a line about what a client has sent behind its own last request.
async def test_nothing_is_owed_behind_the_last_request_of_a_client():
    async with GatewayCluster() as cluster:
        await build(cluster, "")
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            reader, writer = await cluster.connect()
            last = cluster.encode("GET", "/jobs/1", Connection="close")
            writer.write(last + cluster.encode("GET", "/jobs/2"))
            answers = await reader.read()
            writer.close()
        assert answers.count(b"HTTP/1.1 ") == 1
        assert len(cluster.servers["desk-0"].requests) == 1
        assert ends.lines == []


async def test_partial_request_that_is_left_has_its_line():
    async with GatewayCluster() as cluster:
        await build(cluster, "")
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            _, writer = await cluster.connect()
            writer.write(cluster.encode("GET", "/jobs/1")[:-4])
            await asyncio.sleep(0.1)
            writer.close()
            (line,) = await ends.wait()
        assert line["partial"]
        assert line["id"] is None


async def test_answered_requests_have_no_line():
    async with GatewayCluster() as cluster:
        await build(cluster, "")
        with capture_logs() as lines:
            ends = Ends(cluster, lines)
            reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
            await asyncio.sleep(0.1)
        assert reply.status == 200
        assert ends.lines == []


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (None, None),
        (TimeoutError(), EndCause.CLIENT_SILENT),
        (ConnectionResetError(), EndCause.CLIENT_RESET),
        (BrokenPipeError(), EndCause.CLIENT_RESET),
        (OSError(), EndCause.LOST),
    ],
)
def test_error_of_a_connection_tells_who_ended_it(error, cause):
    assert find_loss_cause(error) is cause
