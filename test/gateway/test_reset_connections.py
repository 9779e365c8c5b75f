"""Connections that the other end resets as soon as they are open, under uvloop.

uvloop raises RuntimeError for a write to a connection that was reset, where asyncio
ignores it; the program runs on uvloop.
"""

import asyncio
import json
import socket
import struct

import pytest
import uvloop

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.connections import open_connection
from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.rpc import MessageKind, PeerClient
from tanagerwalk.platform import store as store_module
from tanagerwalk.platform.store import MetadataStore
from tanagerwalk.standins.addresses import find_address
from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply

# Turns of the event loop between the reset and the use of the connection; the loop
# notices the reset in one of them.
TURNS = range(6)
REQUESTS = 8


class CappedServer:
    """A server at its limit of connections, which resets each new one."""

    def __init__(self, turns):
        self._listener = socket.create_server((find_address(), 0))
        self.turns = turns

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self._listener.close()

    @property
    def address(self):
        return self._listener.getsockname()

    @property
    def address_text(self):
        return f"{find_address()}:{self.address[1]}"

    def reset_after(self, open_connection):
        """Wrap a function that opens a connection: those to this server are reset."""

        async def open_and_reset(*args, **kwargs):
            opened = await open_connection(*args, **kwargs)
            if self.address not in (args[0], args):
                return opened
            connection, _ = self._listener.accept()
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()
            for _ in range(self.turns):
                await asyncio.sleep(0)
            return opened

        return open_and_reset


@pytest.fixture(params=TURNS)
def capped(request):
    with CappedServer(request.param) as server:
        yield server


async def send_on_kept_connection(cluster, method, path, body):
    """Return the status of each request; None if the connection was closed."""
    statuses = []
    reader, writer = await cluster.connect()
    for _ in range(REQUESTS):
        writer.write(cluster.encode(method, path, body))
        try:
            statuses.append((await read_reply(reader)).status)
        except (asyncio.IncompleteReadError, ConnectionError):
            statuses.append(None)
            reader, writer = await cluster.connect()
    writer.close()
    return statuses


async def call_beside_full_server(capped, method, path, body=b""):
    """Send requests while one server is full and the other one resets connections."""
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        full = cluster.servers["desk-0"]
        full.behaviour = Behaviour("refuse")
        _, value = full.build_entry("desk", "a-1")
        entry = json.loads(value) | {"address": capped.address_text}
        await cluster.store.put("servers/desk-capped", json.dumps(entry).encode())
        (instance,) = cluster.instances
        find = instance.servers.find
        assert await poll_until(lambda: find("desk-capped"), 0.01, 2.0)
        connector = instance.connection_pool.connector
        connector.dial = capped.reset_after(open_connection)
        return await send_on_kept_connection(cluster, method, path, body)


# Guards against a client whose kept connection is closed without an answer.
def test_lookup_is_answered_though_a_new_connection_is_reset(capped):
    statuses = uvloop.run(call_beside_full_server(capped, "GET", "/jobs/7"))
    assert set(statuses) <= {429, 502, 503}


# Guards against a booking that is not told that it has not run.
def test_booking_is_refused_as_not_run_if_its_connection_was_reset(capped):
    statuses = uvloop.run(
        call_beside_full_server(capped, "POST", "/bookings/7", b"slot")
    )
    # Before the loop notices the reset, the booking is written to the connection.
    is_noticed = capped.turns == TURNS[-1]
    assert set(statuses) <= ({429, 503} if is_noticed else {429, 502, 503})


async def call_store(capped):
    store = MetadataStore(capped.address)
    return [await store.get("a") for _ in range(REQUESTS)]


# Guards against an exception that ends the copy of the store, and so the process.
def test_store_call_on_a_reset_connection_is_a_fault(capped, monkeypatch):
    wrapped = capped.reset_after(open_connection)
    monkeypatch.setattr(store_module, "open_connection", wrapped)
    results = uvloop.run(call_store(capped))
    assert all(result.is_error() for result in results)


async def call_peer(capped):
    client = PeerClient("secret", InstanceId("a"), 1.0)
    return [
        await send(capped.address_text, MessageKind.FETCH_CHANGES, b"")
        for _ in range(REQUESTS)
        for send in (client.request, client.open_stream)
    ]


def test_peer_request_on_a_reset_connection_is_a_fault(capped, monkeypatch):
    wrapped = capped.reset_after(asyncio.open_connection)
    monkeypatch.setattr(asyncio, "open_connection", wrapped)
    results = uvloop.run(call_peer(capped))
    assert all(result.is_error() for result in results)
