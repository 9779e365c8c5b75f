"""Requests to an instance that stops or lacks memory."""

import asyncio
import json
import socket

import pytest

from tanagerwalk.standins.addresses import find_address

pytestmark = pytest.mark.serial

LONG_S = 1.0
LEFT_S = 0.4


def begin_drain(instance):
    """Let an instance have LEFT_S seconds to its end."""
    instance.callers.drain_deadline = instance.clock() + LEFT_S
    instance.callers.draining = True


@pytest.mark.parametrize(("seconds", "status"), [(LONG_S, 503), (LEFT_S / 2, 200)])
async def test_request_that_outlasts_the_stop_is_refused(demo, seconds, status):
    """Guards against requests that are run although the stop will cut them."""
    instance = next(iter(demo.instances.values()))
    instance.durations.record("status", None, seconds)
    begin_drain(instance)
    found, content, headers = await demo.call(instance, "status", {})
    assert found == status
    if status == 200:
        return
    error = json.loads(content)["error"]
    assert (error["code"], error["run_state"]) == ("stopping", "not_run")
    assert headers["Retry-After"] == "1"
    assert not demo.services["booking-1"].runs


async def test_request_of_unknown_duration_runs_in_a_stop(demo):
    """Guards against refusals in a stop without knowledge of a duration."""
    instance = next(iter(demo.instances.values()))
    begin_drain(instance)
    status, _, _ = await demo.call(instance, "status", {})
    assert status == 200


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_no_memory_refuses_before_the_body(demo, is_chunked):
    """Guards against bodies received or decoded without memory for them."""
    instance = next(iter(demo.instances.values()))
    budget = instance.memory.budget
    budget.reserve(budget.capacity)
    url = f"http://{find_address()}:{instance.callers.listener.port}/v1/classes/status"
    headers = {"Authorization": "Bearer desk-key"}

    async def send_chunks():
        for _ in range(4):
            yield b"[" * 100_000

    data = send_chunks() if is_chunked else b"[" * 400_000
    async with demo.http.post(url, data=data, headers=headers) as response:
        error = (await response.json())["error"]
        assert response.status == 503
        assert (error["code"], error["run_state"]) == ("memory_full", "not_run")
        assert response.headers["Connection"] == "close"
    budget.release(budget.capacity)
    assert budget.used == 0
    assert (await demo.call(instance, "status", {}))[0] == 200


async def test_memory_is_given_back_after_each_request(demo):
    """Guards against a budget of memory that fills up by itself."""
    instance = next(iter(demo.instances.values()))
    for work_class in ("status", "unknown"):
        await demo.call(instance, work_class, {"text": "x" * 300_000})
    await demo.chat(instance, "label", "x" * 300_000)
    body = {"model": "label", "messages": [{"role": "user", "content": "deed"}]}
    await demo.post(instance, "/v1/chat/completions", {**body, "stream": True})
    budget = instance.memory.budget
    await demo.wait_until(lambda: budget.used == 0)
    assert budget.peak > 900_000


async def test_caller_that_stops_reading_is_no_fault_of_the_engine(demo):
    """Guards against engines blamed for the silence of a caller that reads nothing."""
    instance = next(iter(demo.instances.values()))
    for engine in demo.engines.values():
        engine.token_delay = 0.0
    # After the first attempt has ended by its caller's silence, at half the patience.
    instance.callers_bounds.read_timeout = 4.5
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    address = (find_address(), instance.callers.listener.port)
    await asyncio.get_running_loop().sock_connect(sock, address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    message = {"role": "user", "content": "deed"}
    body = json.dumps(
        {"model": "label", "messages": [message], "stream": True, "max_tokens": 500_000}
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer desk-key\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await demo.wait_until(lambda: instance.memory.unread > 0)
    await demo.wait_until(lambda: not instance.callers.in_flight)
    retries = instance.metrics.retries
    assert retries.labels("attempt_timeout")._value.get() == 0
    servers = instance.table.servers.values()
    assert all(server.paused_until < instance.clock() for server in servers)
    writer.close()
