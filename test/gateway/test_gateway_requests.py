"""End-to-end tests of the gateway against stand-ins, with injected server faults."""

import asyncio

import pytest
import pytest_asyncio

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.standins.backend import EVENT_COUNT
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import (
    API_KEY,
    LARGE_MODEL,
    SMALL_MODEL,
    GatewayCluster,
    build_manifest,
    read_reply,
)


@pytest_asyncio.fixture
async def world():
    async with GatewayCluster() as built:
        await built.build()
        yield built


def list_seen_requests(world, prefix):
    return [
        seen
        for server in world.servers.values()
        for seen in server.requests
        if seen.target.startswith(prefix)
    ]


def set_service_fault(world, service, fault, times=-1, **behaviour):
    for server_id, server in world.servers.items():
        if server_id.startswith(service):
            server.behaviour = Behaviour(fault, times, **behaviour)


async def test_request_is_forwarded_byte_for_byte(world):
    target = "/jobs/7%2f8/../x?q=a+b&c=%41"
    reply = await world.send(world.encode("POST", target, b"\x00body", X_Other="v"))
    (seen,) = list_seen_requests(world, "/jobs/")
    assert reply.status == 200
    assert (seen.method, seen.target, seen.body) == ("POST", target, b"\x00body")
    assert seen.headers["x-other"] == "v"


async def test_server_receives_account_and_own_id_but_no_key(world):
    forged = {"X_Tanagerwalk_Tenant": "other", "Kv_From": "1.2.3.4:1/x"}
    await world.send(world.encode("GET", "/jobs/1", **forged))
    (seen,) = list_seen_requests(world, "/jobs/")
    assert seen.headers["x-tanagerwalk-tenant"] == "archive"
    assert seen.headers["x-tanagerwalk-expect-instance"] in world.servers
    assert "x-tanagerwalk-key" not in seen.headers
    assert "kv-from" not in seen.headers
    assert int(seen.headers["x-tanagerwalk-deadline-ms"]) <= 4000


async def test_hop_by_hop_headers_are_not_forwarded(world):
    await world.send(
        world.encode("GET", "/jobs/1", Connection="X-Hop", X_Hop="1", TE="trailers")
    )
    (seen,) = list_seen_requests(world, "/jobs/")
    assert "x-hop" not in seen.headers
    assert "te" not in seen.headers


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/1", {}, 404),
        ("/jobs/1", {"Host": "other.example"}, 404),
        ("/jobs/1", {"X_Tanagerwalk_Key": "wrong"}, 401),
        ("/jobs/1", {"X_Tanagerwalk_Key": ""}, 401),
        ("/jobs/1", {"X_Tanagerwalk_Attempt_Id": ""}, 400),
        ("/plans/1", {"X_Tanagerwalk_Model": LARGE_MODEL}, 421),
        ("/open/1", {"X_Tanagerwalk_Key": ""}, 200),
    ],
)
async def test_manifest_controls_routing_and_access(world, path, headers, status):
    reply = await world.send(world.encode("GET", path, **headers))
    assert reply.status == status


async def test_stream_delivers_every_event_and_completes(world):
    reply = await world.send(world.encode_plan())
    assert reply.complete
    assert reply.body.count(b"id: ") == EVENT_COUNT
    assert reply.headers["x-tanagerwalk-response-seal"]


async def test_low_confidence_answer_is_escalated_to_largest_model(world):
    set_service_fault(world, "draft", "", confidence={SMALL_MODEL: 20})
    reply = await world.send(world.encode_plan())
    models = [
        s.headers["x-tanagerwalk-model"] for s in list_seen_requests(world, "/plans/")
    ]
    assert models == [SMALL_MODEL, LARGE_MODEL]
    assert reply.body.count(LARGE_MODEL.encode()) == EVENT_COUNT
    assert SMALL_MODEL.encode() not in reply.body


@pytest.mark.parametrize("fault", ["cut", "torn"])
async def test_broken_stream_resumes_on_another_server_without_a_gap(world, fault):
    set_service_fault(world, "draft", fault, 1)
    for server in world.servers.values():
        server.behaviour.times = 1
    reply = await world.send(world.encode_plan())
    numbers = [line for line in reply.body.split(b"\n") if line.startswith(b"id: ")]
    assert reply.complete
    assert numbers == [b"id: %d" % n for n in range(1, EVENT_COUNT + 1)]
    last = list_seen_requests(world, "/plans/")[-1]
    assert last.headers["last-event-id"] == "2"
    assert last.headers["x-tanagerwalk-model"] == SMALL_MODEL


async def test_stream_that_cannot_resume_is_not_marked_complete(world):
    set_service_fault(world, "draft", "cut")
    for server in world.servers.values():
        server.behaviour.delay = 0.0
    await world.servers["draft-1"].stop()
    world.servers["draft-0"].behaviour = Behaviour("torn", -1)
    reply = await world.send(world.encode_plan())
    assert not reply.complete


@pytest.mark.parametrize("fault", ["reset", "error", "unsigned", "unframed_reset"])
async def test_non_idempotent_request_runs_once_and_is_not_reported_as_not_run(
    world, fault
):
    set_service_fault(world, "desk", fault)
    reply = await world.send(world.encode("POST", "/bookings/1", b"slot"))
    assert len(list_seen_requests(world, "/bookings/")) == 1
    assert reply.status in (500, 502)


async def test_http_method_does_not_determine_retries(world):
    """HTTP libraries retry a GET on their own if a keep-alive connection closes.

    The route here is not idempotent, so the request must be sent only once.
    """
    for number in range(4):
        await world.send(world.encode("GET", f"/bookings/{number}"))
    set_service_fault(world, "desk", "reset")
    reply = await world.send(world.encode("GET", "/bookings/last"))
    assert len(list_seen_requests(world, "/bookings/last")) == 1
    assert reply.status == 502


async def test_redirect_is_passed_to_client(world):
    set_service_fault(world, "desk", "redirect")
    reply = await world.send(world.encode("GET", "/jobs/1"))
    assert (reply.status, reply.headers["location"]) == (302, "/elsewhere/")
    assert not list_seen_requests(world, "/elsewhere/")


async def test_no_default_client_headers_are_added(world):
    await world.send(world.encode("GET", "/jobs/1"))
    (seen,) = list_seen_requests(world, "/jobs/")
    own = {"accept", "accept-encoding", "user-agent", "cookie", "content-type"}
    assert not own & seen.headers.keys()


async def test_non_idempotent_request_is_retried_if_no_server_ran_it(world):
    set_service_fault(world, "desk", "refuse", 1)
    world.servers["desk-1"].behaviour = Behaviour("refuse", 1)
    reply = await world.send(world.encode("POST", "/bookings/1", b"slot"))
    assert reply.status == 200
    assert len(list_seen_requests(world, "/bookings/")) == 3


async def test_refusal_by_all_servers_is_reported_as_not_run(world):
    set_service_fault(world, "desk", "refuse")
    reply = await world.send(world.encode("POST", "/bookings/1", b"slot"))
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize("fault", ["reset", "unsigned", "unframed_reset", "error"])
async def test_idempotent_request_is_retried_on_another_server(world, fault):
    set_service_fault(world, "desk", "")
    world.servers["desk-0"].behaviour = Behaviour(fault, 1)
    world.servers["desk-1"].behaviour = Behaviour("", 0)
    for _ in range(2):
        reply = await world.send(world.encode("GET", "/jobs/1"))
        assert reply.status == 200


async def test_response_without_length_is_complete_after_orderly_close(world):
    set_service_fault(world, "desk", "unframed")
    reply = await world.send(world.encode("POST", "/bookings/1", b"slot"))
    assert reply.status == 200
    assert b"did /bookings/1" in reply.body


@pytest.mark.parametrize("fault", ["foreign", "extra"])
async def test_response_to_another_request_reaches_no_client(world, fault):
    set_service_fault(world, "desk", fault)
    for number in range(4):
        reply = await world.send(world.encode("GET", f"/jobs/{number}"))
        assert reply.status == 200
        assert reply.body.endswith(f"did /jobs/{number}".encode())


async def test_server_at_reused_address_gets_no_more_requests(world):
    world.servers["desk-0"].behaviour = Behaviour("misdirect")
    for number in range(4):
        reply = await world.send(world.encode("POST", f"/bookings/{number}", b"x"))
        assert reply.status == 200
    assert len(world.servers["desk-0"].requests) <= 1


async def test_client_disconnect_cancels_request_at_server(world):
    set_service_fault(world, "draft", "", delay=0.2)
    _, writer = await world.connect()
    writer.write(world.encode_plan())
    assert await poll_until(lambda: list_seen_requests(world, "/plans/"), 0.01, 3.0)
    writer.close()
    (seen,) = list_seen_requests(world, "/plans/")
    assert await poll_until(lambda: seen.cancelled, 0.01, 3.0)


async def test_pipelined_requests_are_answered_in_order(world):
    reader, writer = await world.connect()
    writer.write(world.encode("GET", "/jobs/1") + world.encode("GET", "/jobs/2"))
    assert (await read_reply(reader)).body.endswith(b"/jobs/1")
    assert (await read_reply(reader)).body.endswith(b"/jobs/2")
    writer.close()


async def test_draining_server_gets_no_more_requests(world):
    leaving = world.servers["desk-0"]
    await world.store.put(*leaving.build_entry("desk", "a-1", state="draining"))
    instance = world.instances[0]
    assert await poll_until(
        lambda: instance.servers.find("desk-0").server.state.value == "draining",
        0.01,
        5.0,
    )
    for number in range(4):
        await world.send(world.encode("GET", f"/jobs/{number}"))
    assert leaving.requests == []


async def test_revoked_key_is_refused_after_manifest_update(world):
    tenants = [{"name": "archive", "api_keys": ["another"]}]
    await world.store.put("op/config", build_manifest(2, tenants=tenants))
    instance = world.instances[0]
    manifest = lambda: instance.cluster_state.manifest.accounts  # noqa: E731
    assert await poll_until(lambda: API_KEY not in manifest(), 0.01, 5.0)
    reply = await world.send(world.encode("GET", "/jobs/1"))
    assert reply.status == 401


async def test_instance_disconnected_from_store_rejects_keys(world):
    instance = world.instances[0]
    world.store.mode = "busy"
    assert await poll_until(lambda: not instance.freshness.is_fresh(), 0.05, 10.0)
    refused = await world.send(world.encode("GET", "/jobs/1"))
    public = await world.send(world.encode("GET", "/open/1", X_Tanagerwalk_Key=""))
    assert (refused.status, public.status) == (503, 200)
    assert float(refused.headers["retry-after"]) > 0
    assert not instance.is_ready()
    assert list_seen_requests(world, "/jobs/") == []


async def test_instance_without_manifest_refuses_requests():
    async with GatewayCluster() as world:
        instance = world.build_instance("early")
        await instance.start()
        world.instances.append(instance)
        reply = await world.send(world.encode("GET", "/jobs/1"))
        assert reply.status == 503
        assert not instance.is_ready()


async def test_graceful_stop_completes_requests_in_flight(world):
    set_service_fault(world, "draft", "", delay=0.1)
    instance = world.instances[0]
    running = asyncio.create_task(world.send(world.encode_plan()))
    assert await poll_until(lambda: list_seen_requests(world, "/plans/"), 0.01, 3.0)
    stopping = asyncio.create_task(instance.stop())
    reply = await running
    assert reply.complete
    assert reply.headers["connection"] == "close"
    await stopping
    assert instance.client_listener.in_flight == 0


async def test_instances_share_their_load():
    async with GatewayCluster() as world:
        await world.build(instances=2)
        first, second = world.instances
        assert await poll_until(lambda: first.membership.peers, 0.05, 10.0)
        set_service_fault(world, "draft", "", delay=1.0)
        sent = asyncio.create_task(world.send(world.encode_plan(), first))
        totals = lambda: sum(  # noqa: E731
            second.shared_loads.sum(name, second.clock()).in_flight
            for name in world.servers
        )
        assert await poll_until(lambda: totals() == 1, 0.02, 5.0)
        sent.cancel()


async def test_non_ascii_header_bytes_are_accepted(world):
    request = world.encode("GET", "/jobs/1", Session="odd", X_Other="odd")
    reply = await world.send(request.replace(b"odd", b"\xff\xfe\xe9"))
    assert reply.status == 200
    (seen,) = list_seen_requests(world, "/jobs/")
    assert seen.finished


@pytest.mark.parametrize("fault", ["contradictory", "two_ids"])
async def test_answer_that_contradicts_itself_is_no_promise(world, fault):
    set_service_fault(world, "desk", fault)
    reply = await world.send(world.encode("POST", "/bookings/7", b"slot"))
    assert reply.status == 502
    assert len(list_seen_requests(world, "/bookings/")) == 1


# Guards against a promise that no server has made: it answered with the status of one,
# and the request may have run.
@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("path", ["/bookings/7", "/jobs/7", "/plans/7"])
async def test_unmarked_refusal_is_no_promise(world, status, path):
    raw = (
        b"HTTP/1.1 %d Busy\r\nX-Tanagerwalk-Attempt-Id: @id\r\n"
        b"X-Tanagerwalk-Response-Seal: s\r\nContent-Length: 0\r\n\r\n"
    )
    for server in world.servers.values():
        server.behaviour = Behaviour("raw", raw=raw % status)
    if path == "/plans/7":
        reply = await world.send(world.encode_plan())
    else:
        reply = await world.send(world.encode("POST", path, b"slot"))
    assert reply.status == 502
    if path == "/bookings/7":
        assert len(list_seen_requests(world, "/bookings/")) == 1
