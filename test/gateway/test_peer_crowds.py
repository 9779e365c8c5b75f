"""A gateway process outlives crowds at the port for other instances.

While a crowd is connected, an ordinary request and another instance are served.
"""

import asyncio
import struct
import time

import crowds
import pytest
from gateway.test_misbehaving_clients import (
    CROWD_S,
    MANIFEST,
    MAX_FDS,
    MEMORY_LIMIT_MB,
    RETRY_S,
    check_process,
)
from gateway_process import GatewayProcessRig

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.gateway.components import FLEET_KEY_NAME
from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.frames import MAX_HELLO_BYTES, MAX_PAYLOAD_BYTES
from tanagerwalk.peers.rpc import MessageKind, PeerClient, RequestFault

pytestmark = pytest.mark.serial

CROWD = 400
SENDERS_OF_A_SIZE = 10
MAX_LOGGED = 50
FRAME_HEADER = struct.Struct("!IB")
MAC = bytes(16)


def send_nothing():
    yield b""


def send_part_of_hello():
    yield FRAME_HEADER.pack(MAX_HELLO_BYTES, 0) + MAC + b"x" * (MAX_HELLO_BYTES - 1)


def send_bytewise():
    for byte in FRAME_HEADER.pack(MAX_HELLO_BYTES, 0) + MAC + b"x" * 400:
        yield bytes([byte])
        yield None


def send_large_frame():
    yield FRAME_HEADER.pack(MAX_PAYLOAD_BYTES, 0) + MAC
    for _ in range(64):
        yield b"x" * 32768


async def ask_as_instance(rig):
    """Ask for a tunnel to an unknown server until the request is answered."""
    client = PeerClient(rig.store.read(FLEET_KEY_NAME).hex(), InstanceId("o"), 1.0)
    address = f"{rig.ip}:{rig.ports['peers']}"
    deadline = time.monotonic() + RETRY_S
    error = None
    while error is not RequestFault.FAILED and time.monotonic() < deadline:
        result = await client.request(address, MessageKind.OPEN_TUNNEL, b"unknown")
        error = result.error
        await asyncio.sleep(0.1)
    return error is RequestFault.FAILED


@pytest.mark.parametrize(
    "send", [send_nothing, send_part_of_hello, send_bytewise, send_large_frame]
)
async def test_process_outlives_connections(tmp_path, send):
    async def join_again():
        """Connect again and again, as each connection ends."""
        while True:
            await crowds.join_crowd((rig.ip, rig.ports["peers"]), send(), stays=False)
            await asyncio.sleep(0.1)

    async with GatewayProcessRig(tmp_path, MEMORY_LIMIT_MB, MAX_FDS, MANIFEST) as rig:
        assert await poll_until(lambda: rig.store.read(FLEET_KEY_NAME), 0.05, 5.0)
        crowd = [asyncio.create_task(join_again()) for _ in range(CROWD)]
        await asyncio.sleep(CROWD_S)
        is_instance_served = await ask_as_instance(rig)
        await check_process(rig, crowd)
        assert is_instance_served


# Guards against datagrams of strangers, which get a line in the log each.
async def test_process_outlives_datagrams(tmp_path):
    async def send_again(data):
        loop = asyncio.get_running_loop()
        address = rig.ip, rig.ports["peers"]
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=address
        )
        try:
            while True:
                transport.sendto(data)
                await asyncio.sleep(0.01)
        finally:
            transport.abort()

    async with GatewayProcessRig(tmp_path, MEMORY_LIMIT_MB, MAX_FDS, MANIFEST) as rig:
        assert await poll_until(lambda: rig.store.read(FLEET_KEY_NAME), 0.05, 5.0)
        sizes = [1, 400, 60000] * SENDERS_OF_A_SIZE
        crowd = [asyncio.create_task(send_again(b"x" * size)) for size in sizes]
        await asyncio.sleep(CROWD_S)
        is_instance_served = await ask_as_instance(rig)
        await check_process(rig, crowd)
        assert is_instance_served
        assert 0 < rig.log.count("rejected load message") < MAX_LOGGED
