"""An engine at its limit of connections resets new ones, while another one is full."""

import asyncio
import random
import socket
import struct
import time
from collections import Counter
from pathlib import Path

from client import ClientConnection
from engine import Engine
from fleet import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    ZONES,
    Fleet,
    Record,
    build_manifest,
    encode_request,
    finish,
)

from tanagerwalk.standins.metadata import MetadataStandIn

GATEWAYS = 2
CLIENTS = 6  # of each gateway
SECONDS = 70.0
PAUSE_S = 1.33
CLIENT_TIMEOUT_S = 3.0
MAX_HANDSHAKE_S = 0.001
MAX_CLOSED = 3


class FullEngine(Engine):
    """Runs nothing, as its slots and its queue are full."""

    async def answer(self, request, writer):
        """Turn the request away."""
        self.record.write(f"engine {self.id} turns away {request.attempt_id}")
        self.rejected.add(request.attempt_id)
        head = self.encode_head(
            request,
            "503 Service Unavailable",
            "X-Tanagerwalk-Not-Executed: 1",
            "Content-Length: 0",
        )
        writer.write(head)
        await writer.drain()

    rejected = set()


class CappedEngine(Engine):
    """Has as many connections as it accepts, from other callers."""

    async def _serve(self, reader, writer):
        await asyncio.sleep(MAX_HANDSHAKE_S * random.random())
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


async def send_lookups(gateway, engine, ends_at, record, closed):
    """Send lookups on a connection that is kept while it stays open."""
    connection = ClientConnection(gateway)
    ends = Counter()
    while time.monotonic() < ends_at:
        is_kept = connection.is_kept
        attempt_id, data = encode_request("GET", "/status/1")
        reply = await connection.send(data, CLIENT_TIMEOUT_S)
        kept = "kept" if is_kept else "new"
        record.write(
            f"GET {attempt_id} to {gateway.name} on a {kept} connection:"
            f" {reply.end}, status {reply.status}"
        )
        ends[reply.status if reply.is_complete else reply.end] += 1
        was_passed_on = attempt_id in engine.rejected
        if reply.end == "closed" and is_kept and was_passed_on:
            closed[gateway.name] += 1
        await asyncio.sleep(PAUSE_S)
    connection.close()
    return ends


async def main():
    """Return the verdict."""
    record = Record(Path(__file__).parent)
    store = MetadataStandIn()
    await store.start()
    await store.put("op/config", build_manifest())
    async with Fleet(store) as fleet:
        full = FullEngine("i-portal0", fleet.standin_ip, record)
        kind = CappedEngine if TROUBLE else Engine
        capped = kind("i-portal1", fleet.standin_ip, record)
        for engine in (full, capped):
            await engine.start()
            await store.put(*engine.build_entry("portal", ZONES[0][0]))
        if not await fleet.add_gateways(GATEWAYS, store.address):
            return NOT_RUN
        await asyncio.sleep(3.0)
        closed = Counter()
        ends_at = time.monotonic() + SECONDS
        results = await asyncio.gather(
            *(
                send_lookups(gateway, full, ends_at, record, closed)
                for gateway in fleet.gateways
                for _ in range(CLIENTS)
            )
        )
        failures = fleet.grep_logs("log: RuntimeError")
    record.write(f"answers: {dict(sum(results, Counter()))}")
    record.write(f"lines of the logs that name a RuntimeError: {len(failures)}")
    for line in failures[:2]:
        record.write(line)
    record.write(
        "passed on from a kept connection that was then closed without an answer:"
        f" {dict(closed)}"
    )
    is_broken = max(closed.values(), default=0) > MAX_CLOSED
    record.write("LOST is broken" if is_broken else "LOST held")
    return BROKEN if is_broken else HELD


finish(main)
