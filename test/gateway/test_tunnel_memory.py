"""Memory of a gateway process that holds tunnels for others."""

import asyncio
import contextlib
import json
from contextlib import asynccontextmanager

import pytest
from expression import Ok
from gateway.test_memory_limit import BODY, run_process, send_booking
from soak.fleet import find_free_port

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.components import FLEET_KEY_NAME, PEER_PREFIX
from tanagerwalk.gateway.tunnels import TunnelFrame
from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.frames import MAX_PAYLOAD_BYTES
from tanagerwalk.peers.rpc import MessageKind, PeerClient
from tanagerwalk.peers.server import PeerServer

pytestmark = pytest.mark.serial

TUNNELS = 60
# Clients whose bodies pass through tunnels, and how many each sends, one by one.
SENDERS = 8
TURNS = 8


async def accept_and_never_read(reader, writer):
    writer.transport.pause_reading()
    await asyncio.sleep(3600.0)


# Guards against bodies that other instances send through tunnels to slow servers and
# that add up without a bound: 60 tunnels of 4 MB took 210 MB, and 200 may be open.
async def test_bodies_in_tunnels_stay_below_the_limit(tmp_path):
    async with run_process(tmp_path) as rig:
        server = await asyncio.start_server(accept_and_never_read, rig.ip, 0)
        port = server.sockets[0].getsockname()[1]
        key, value = rig.servers[-1].build_entry("desk", "a-1")
        entry = json.loads(value) | {"address": f"{rig.ip}:{port}"}
        await rig.store.put("servers/desk-slow", json.dumps(entry).encode())
        assert await poll_until(lambda: rig.store.read(FLEET_KEY_NAME), 0.05, 5.0)
        secret = rig.store.read(FLEET_KEY_NAME)
        client = PeerClient(secret.hex(), InstanceId("other"), 2.0)
        address = f"{rig.ip}:{rig.ports['peers']}"
        await asyncio.sleep(1.0)
        channels = []
        for _ in range(TUNNELS):
            result = await client.open_stream(
                address, MessageKind.OPEN_TUNNEL, b"desk-slow"
            )
            assert result.is_ok(), (result, rig.log[-2000:])
            channels.append(result.ok)
        payload = b"x" * MAX_PAYLOAD_BYTES
        for channel in channels:
            channel.write(TunnelFrame.DATA.value, payload)
            channel.write(TunnelFrame.DATA.value, payload)
        await asyncio.sleep(3.0)
        for channel in channels:
            channel.writer.transport.abort()
        server.close()


async def _never_read(channel):
    channel.writer.transport.pause_reading()
    try:
        await asyncio.sleep(3600.0)
    finally:
        channel.writer.transport.abort()


async def _accept_tunnel(payload, sender):
    del payload, sender
    return Ok(_never_read)


@asynccontextmanager
async def run_peer(rig):
    """Register another instance, which opens tunnels and reads nothing from them."""
    assert await poll_until(lambda: rig.store.read(FLEET_KEY_NAME), 0.05, 5.0)
    peer = PeerServer(rig.store.read(FLEET_KEY_NAME).hex())
    peer.register_stream_handler(MessageKind.OPEN_TUNNEL, _accept_tunnel)
    await peer.start(rig.ip, 0)
    record = {"address": rig.ip, "port": peer.port, "changes_port": peer.port}
    record["failure_domain"] = "a-1"
    await rig.store.put(f"{PEER_PREFIX}other", json.dumps(record).encode())
    try:
        yield
    finally:
        await peer.stop()


async def replace_desks(rig, address):
    """Leave one server of the service, which only the other instance reaches."""
    key, value = rig.servers[-1].build_entry("desk", "a-1")
    entry = json.loads(value) | {"address": address}
    await rig.store.put("servers/desk-far", json.dumps(entry).encode())
    for server in rig.servers:
        if server.id.startswith("desk"):
            await rig.store.remove(f"servers/{server.id}")
    return key, value


# Guards against bodies that are copied for a tunnel whose other end takes nothing, and
# that stay after their requests have ended.
async def test_bodies_that_tunnels_do_not_take_stay_below_the_limit(tmp_path):
    async with run_process(tmp_path) as rig, run_peer(rig):
        entry = await replace_desks(rig, f"{rig.ip}:{find_free_port(rig.ip)}")
        await asyncio.sleep(1.0)

        async def send_in_turn(number):
            for turn in range(TURNS):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await send_booking(rig, f"far-{number}-{turn}", BODY)

        await asyncio.gather(*map(send_in_turn, range(SENDERS)))
        assert '"via": "other"' in rig.log
        await rig.store.put(*entry)
        await rig.store.remove("servers/desk-far")
        await asyncio.sleep(1.0)
        assert (await send_booking(rig, "ordinary", b"slot")).status == 200
