"""Memory of a gateway process that holds tunnels for others."""

import asyncio
import json

import pytest
from gateway.test_memory_limit import run_process

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.app import FLEET_KEY_NAME
from tanagerwalk.gateway.tunnels import TunnelFrame
from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.frames import MAX_PAYLOAD_BYTES
from tanagerwalk.peers.rpc import MessageKind, PeerClient

pytestmark = pytest.mark.serial

TUNNELS = 60


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
