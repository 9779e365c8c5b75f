"""Memory of a gateway process that its budget doesn't see, or gives to the wrong ones.

Each test shows one way to take the memory of others.
"""

import asyncio
from collections import Counter

import pytest
from gateway.test_memory_limit import (
    ANSWER_HEAD,
    BODY,
    BODY_BYTES,
    count_runs,
    encode_answer,
    encode_head,
    open_stalled_reader,
    read_gauge,
    run_process,
    send_booking,
    serve_small_requests,
    wait_until_unused,
)

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.attempt_timeouts import UNRESPONSIVE_TIMEOUT_SHARE
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply

pytestmark = pytest.mark.serial

STALLED_READERS = 60
ENDLESS_HEADS = 120
WAITING_ANSWER = encode_answer(400000)
# More than is read without asking while memory is tight.
LONG_HEADER = b"X-Long: %s\r\n\r\n" % (b"x" * 40000)
ANSWER_WITH_LONG_HEAD = (ANSWER_HEAD % 2)[:-2] + LONG_HEADER + b"ok"


async def send_until_served(rig):
    """Return whether an ordinary request is answered in one of some attempts."""
    for number in range(50):
        reply = await send_booking(rig, f"ordinary-{number}", b"slot")
        if reply.status == 200:
            return True
        await asyncio.sleep(0.2)
    return False


# Guards against unread answers of which only the bytes not yet sent are counted, while
# all of each stays in memory: 60 of 8 MB took 317 MB with 37 MB counted.
async def test_unread_answers_count_for_what_they_take(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=encode_answer(8000000))
        socks = [
            await open_stalled_reader(rig, encode_head(n, "GET", "/jobs/1"))
            for n in range(STALLED_READERS)
        ]
        # Until their clients' time is over, and a little longer.
        await asyncio.sleep(5.0)
        for sock in socks:
            sock.close()


# Guards against answers that wait behind unread ones, hold much each, and thus take the
# memory of small requests: 133 of 200 were refused.
async def test_small_requests_go_on_beside_many_unread_answers(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=encode_answer(4000000))
        socks = [
            await open_stalled_reader(rig, encode_head(n, "GET", "/jobs/1"))
            for n in range(120)
        ]
        assert await poll_until(lambda: len(count_runs(rig)) == 120, 0.05, 3.0)
        for server in rig.servers:
            server.behaviour = Behaviour()
        statuses = Counter()
        for _ in range(5):
            statuses += await serve_small_requests(rig)
        for sock in socks:
            sock.close()
        assert set(statuses) == {200}, statuses


# Guards against bodies that are announced but trickle, and keep all larger requests out
# for ever while the process takes no more memory than an idle one.
async def test_trickling_bodies_do_not_keep_others_out(tmp_path):
    async with run_process(tmp_path) as rig:
        writers = []
        statuses = Counter()

        async def open_trickle(size):
            _, writer = await rig.connect()
            length = f"Content-Length: {size}"
            writer.write(encode_head("slow", "POST", "/bookings/7", length))
            writers.append(writer)

        for size in [BODY_BYTES] * 20 + [400000] * 10 + [90000] * 10:
            await open_trickle(size)
        for number in range(12):
            await asyncio.sleep(0.5)
            await open_trickle(90000)
            for writer in writers:
                writer.write(b"x")
            reply = await send_booking(rig, f"try-{number}", b"x" * 100000)
            statuses[reply.status] += 1
        for writer in writers:
            writer.transport.abort()
        assert statuses[200] >= 6, statuses


# Guards against bodies that are nearly complete, trickle on, and keep others out.
async def test_bodies_that_come_to_trickle_give_way_to_others(tmp_path):
    async with run_process(tmp_path) as rig:
        writers = []
        for number in range(20):
            _, writer = await rig.connect()
            length = f"Content-Length: {BODY_BYTES}"
            writer.write(encode_head(f"slow-{number}", "POST", "/bookings/7", length))
            writer.write(b"x" * (BODY_BYTES - 1000))
            writers.append(writer)
        statuses = Counter()
        for number in range(12):
            await asyncio.sleep(0.4)
            for writer in writers:
                writer.write(b"x")
            reply = await send_booking(rig, f"try-{number}", BODY)
            statuses[reply.status] += 1
        runs = count_runs(rig)
        for writer in writers:
            writer.transport.abort()
        assert statuses[200] >= 6, statuses
        assert not any(runs[f"slow-{number}"] for number in range(20))


# Guards against a few clients whose pipelined tiny requests, parsed far beyond the
# number that may wait, take the memory of all others.
async def test_pipelined_tiny_requests_do_not_keep_others_out(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour(delay=0.3)
        writers = []
        for _ in range(12):
            _, writer = await rig.connect()
            writer.write(encode_head(1, "GET", "/jobs/1") * 1200)
            writers.append(writer)
        await asyncio.sleep(0.5)
        statuses = await serve_small_requests(rig)
        for writer in writers:
            writer.transport.abort()
        assert set(statuses) == {200}, statuses


# Guards against a request that is refused as late because its bytes wait here, behind
# others of its connection, for longer than a client may take to send them.
async def test_pipelined_requests_that_wait_here_are_all_answered(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour(delay=0.3)
        reader, writer = await rig.connect()
        length = "Content-Length: 5000"
        requests = [
            encode_head(number, "POST", "/jobs/1", length) + b"x" * 5000
            for number in range(16)
        ]
        writer.write(b"".join(requests))
        async with asyncio.timeout(8.0):
            replies = [await read_reply(reader) for _ in requests]
        assert [reply.status for reply in replies] == [200] * 16
        writer.close()


# Guards against a server that is kept off, and a release that counts as bad, because
# this instance had no memory to read an answer that had come in time.
async def test_server_is_not_blamed_for_an_answer_that_waits_for_memory():
    async with GatewayCluster() as cluster:
        await cluster.build(desks=1)
        [instance] = cluster.instances
        cluster.servers["desk-0"].behaviour = Behaviour("raw", raw=WAITING_ANSWER)
        memory = instance.limits.memory
        other = memory.create_request_memory()
        other.hold(memory.capacity)
        assert other.may_read_on(lambda: None)
        other.shrink_to(int(0.8 * memory.capacity))
        data = cluster.encode("GET", "/jobs/1", X_Tanagerwalk_Deadline_Ms="1500")
        reply = await cluster.send(data)
        assert reply.status == 504
        assert b"not run" not in reply.body
        usage = instance.servers.find("desk-0")
        assert usage.paused_until <= instance.clock()
        other.release()


# Guards against an attempt that ends, and is repeated, while the head of its answer
# waits for memory: the server is then silent only because nothing is read.
async def test_head_that_waits_for_memory_may_come_until_the_deadline():
    async with GatewayCluster() as cluster:
        await cluster.build(desks=2)
        [instance] = cluster.instances
        for server in cluster.servers.values():
            server.behaviour = Behaviour("raw", raw=ANSWER_WITH_LONG_HEAD)
        memory = instance.limits.memory
        other = memory.create_request_memory()
        other.hold(memory.capacity)
        assert other.may_read_on(lambda: None)
        other.shrink_to(int(0.8 * memory.capacity))
        data = cluster.encode("GET", "/jobs/1", X_Tanagerwalk_Deadline_Ms="4000")
        reply = asyncio.create_task(cluster.send(data))
        assert await poll_until(memory.answers.has_waiting, 0.01, 1.0)
        await asyncio.sleep(4.0 * UNRESPONSIVE_TIMEOUT_SHARE + 0.2)
        other.release()
        assert (await reply).status == 200
        assert sum(len(each.requests) for each in cluster.servers.values()) == 1


# Guards against heads of answers that don't end, or have very many headers, none of
# which was counted: a MB of them takes more than twenty times as much memory.
@pytest.mark.parametrize("fields", [b"a:b\r\n" * 180000, b"a: " + b"b" * 900000])
async def test_endless_heads_of_answers_stay_below_the_limit(tmp_path, fields):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=b"HTTP/1.1 200 OK\r\n" + fields)
        writers = []
        for number in range(ENDLESS_HEADS):
            _, writer = await rig.connect()
            writer.write(encode_head(number, "GET", "/jobs/1"))
            writers.append(writer)
        assert await poll_until(lambda: len(count_runs(rig)) >= 8, 0.05, 5.0)
        await asyncio.sleep(2.0)
        for server in rig.servers:
            server.behaviour = Behaviour()
        for writer in writers:
            writer.transport.abort()
        assert await send_until_served(rig)
        assert await wait_until_unused(rig)


# Guards against an answer that has been read whole, goes beyond the budget while its
# client leaves it unread, and lets no other answer go on until its time is over.
async def test_answers_go_on_beside_those_that_stay_unread(tmp_path):
    async with run_process(tmp_path) as rig:
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=encode_answer(4000000))
        capacity = await read_gauge(rig, "memory_capacity_bytes")
        socks = []
        while await read_gauge(rig, "memory_used_bytes") < 0.55 * capacity:
            head = encode_head(f"unread-{len(socks)}", "GET", "/jobs/1")
            socks.append(await open_stalled_reader(rig, head))
            await asyncio.sleep(0.1)
        for server in rig.servers:
            server.behaviour = Behaviour("raw", raw=WAITING_ANSWER)
        reader, writer = await rig.connect()
        head = encode_head("ordinary", "GET", "/jobs/1").replace(b": 4000", b": 2500")
        writer.write(head)
        reply = await read_reply(reader)
        assert (reply.status, len(reply.body)) == (200, 400000)
        writer.close()
        for sock in socks:
            sock.close()
