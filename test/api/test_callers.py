"""Tests of callers that disconnect, and of open connections during shutdown."""

import asyncio
import json

import aiohttp
import pytest

from tanagerwalk.standins.addresses import find_address

MESSAGE = {"role": "user", "content": "deed book"}


def make_chat_body(work_class, **more):
    return {"model": work_class, "messages": [MESSAGE], **more}


def is_idle(demo):
    idle = all(not engine.running for engine in demo.engines.values())
    instance = next(iter(demo.instances.values()))
    free = all(not server.in_flight for server in instance.table.servers.values())
    return idle and free and not instance.callers.in_flight


@pytest.mark.parametrize("stream", [True, False])
async def test_disconnect_frees_capacity_and_ends_engine_stream(demo, stream):
    first, _ = demo.instances.values()
    for engine in demo.engines.values():
        engine.token_delay = 0.02
    body = make_chat_body("label", stream=stream, max_tokens=100_000)
    request = asyncio.create_task(demo.post(first, "/v1/chat/completions", body))
    await demo.wait_until(
        lambda: any(engine.running for engine in demo.engines.values())
    )
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    await demo.wait_until(lambda: is_idle(demo))
    assert first.metrics.hang_ups._value.get() == 1


async def test_claimed_stream_completes_after_disconnect(demo):
    first, second = demo.instances.values()
    text = first.configuration.text.replace(
        "[class label]", "[class label]\nidempotent = no"
    )
    revision = await demo.apply(text)
    await demo.wait_until(
        lambda: all(i.configuration.revision == revision for i in (first, second))
    )
    for engine in demo.engines.values():
        engine.token_delay = 0.02
    body = make_chat_body("label", stream=True, max_tokens=20)
    key = {"Idempotency-Key": "draft-1"}
    request = asyncio.create_task(demo.post(first, "/v1/chat/completions", body, **key))
    await demo.wait_until(
        lambda: any(engine.running for engine in demo.engines.values())
    )
    await asyncio.sleep(0.1)
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    await demo.wait_until(lambda: not first.records.claims.open_count)
    body["stream"] = False
    status, content, _ = await demo.post(second, "/v1/chat/completions", body, **key)
    assert status == 200
    answer = json.loads(content)["choices"][0]["message"]["content"]
    assert answer.split() == [f"wren:1-{number}" for number in range(20)]
    body["stream"] = True
    _, content, _ = await demo.post(second, "/v1/chat/completions", body, **key)
    assert b"wren:1-19" in content
    assert content.endswith(b"data: [DONE]\n\n")
    assert sum(len(engine.log) for engine in demo.engines.values()) == 1


async def test_keep_alive_connection_is_refused_and_closed_while_stopping(demo):
    first, _ = demo.instances.values()
    url = f"http://{find_address()}:{first.callers.listener.port}/v1/chat/completions"
    headers = {"Authorization": "Bearer desk-key"}
    async with aiohttp.ClientSession(headers=headers) as http:
        async with http.post(url, json=make_chat_body("label")) as response:
            assert response.status == 200
            assert response.headers["Connection"] == "keep-alive"
            await response.read()
        first.callers.draining = first.callers.stopping = True
        await first.callers.listener.stop()
        async with http.post(url, json=make_chat_body("label")) as response:
            error = (await response.json())["error"]
            assert (response.status, error["code"]) == (503, "stopping")
            assert error["run_state"] == "not_run"
            assert response.headers["Connection"] == "close"
        with pytest.raises(aiohttp.ClientConnectorError):
            await http.post(url, json=make_chat_body("label"))
