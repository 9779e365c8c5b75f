"""An engine sends bytes that are no answer, without end, in the body of a stream."""

import asyncio
from pathlib import Path

from client import send_once
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
    encode_stream_request,
    finish,
)

from tanagerwalk.standins.metadata import MetadataStandIn

GATEWAYS = 3
SECONDS = 12
STREAMS_PER_S = 4  # to each gateway
BOOKINGS_PER_S = 3  # to each gateway
ROUTE_TIMEOUT_S = 1.5
CLIENT_TIMEOUT_S = 3.0
STREAM_TIMEOUT_S = 12.0
GRACE_S = 0.5
MIN_LATE = 8
PIECE_BYTES = 60


class EndlessEngine(Engine):
    """Sends pieces of the usual size that never end an event."""

    async def answer_stream(self, request, writer):
        """Send pieces until the caller closes."""
        writer.write(self.encode_stream_head(request))
        piece = b"x" * PIECE_BYTES
        chunks = b"%x\r\n%s\r\n" % (len(piece), piece) * 100
        while True:
            writer.write(chunks)
            await writer.drain()
            await asyncio.sleep(0.001)


async def send_streams(gateway, offset, record):
    """Send streams at a steady rate."""
    tasks = []
    for number in range(SECONDS * STREAMS_PER_S):
        attempt_id, data = encode_stream_request(offset + number)
        record.write(f"sent stream {attempt_id} to {gateway.name}")
        tasks.append(asyncio.create_task(send_once(gateway, data, STREAM_TIMEOUT_S)))
        await asyncio.sleep(1.0 / STREAMS_PER_S)
    return await asyncio.gather(*tasks)


async def send_booking(gateway, record):
    """Send a booking and return the Reply."""
    attempt_id, data = encode_request("POST", "/booking/1", b"studio")
    record.write(f"sent booking {attempt_id} to {gateway.name}")
    reply = await send_once(gateway, data, CLIENT_TIMEOUT_S)
    record.write(
        f"booking {attempt_id}: {reply.end}, status {reply.status}"
        f" after {reply.seconds:.2f} s"
    )
    return reply


async def send_bookings(gateway, record):
    """Send bookings at a steady rate."""
    tasks = []
    for _ in range(SECONDS * BOOKINGS_PER_S):
        tasks.append(asyncio.create_task(send_booking(gateway, record)))
        await asyncio.sleep(1.0 / BOOKINGS_PER_S)
    return await asyncio.gather(*tasks)


async def count_missed_probes(gateway, record):
    """Ask for readiness once a second; return the most misses in a row."""
    most = misses = 0
    for _ in range(SECONDS):
        is_ready = await gateway.is_ready()
        misses = 0 if is_ready else misses + 1
        if not is_ready:
            record.write(f"{gateway.name} did not answer the readiness probe")
        most = max(most, misses)
        await asyncio.sleep(1.0)
    return most


async def main():
    """Return the verdict."""
    record = Record(Path(__file__).parent)
    store = MetadataStandIn()
    await store.start()
    await store.put("op/config", build_manifest())
    async with Fleet(store) as fleet:
        for index, (zone, _) in enumerate(ZONES):
            engine = Engine(f"i-portal{index}", fleet.standin_ip, record)
            await engine.start()
            await store.put(*engine.build_entry("portal", zone))
        for index, (zone, _) in enumerate(ZONES):
            is_faulty = TROUBLE and index == 0
            kind = EndlessEngine if is_faulty else Engine
            engine = kind(f"i-writing{index}", fleet.standin_ip, record)
            await engine.start()
            await store.put(*engine.build_entry("writing", zone, slots=64))
        if not await fleet.add_gateways(GATEWAYS, store.address):
            return NOT_RUN
        gateways = fleet.gateways
        results = await asyncio.gather(
            *(send_bookings(gateway, record) for gateway in gateways),
            *(count_missed_probes(gateway, record) for gateway in gateways),
            *(
                send_streams(gateway, 1000 * index, record)
                for index, gateway in enumerate(gateways)
            ),
        )
        replies = [reply for each in results[:GATEWAYS] for reply in each]
        missed = results[GATEWAYS : 2 * GATEWAYS]
        running = [gateway.is_running for gateway in gateways]
    long = [reply for reply in replies if reply.seconds >= ROUTE_TIMEOUT_S]
    late = [r for r in long if r.seconds >= ROUTE_TIMEOUT_S + GRACE_S]
    record.write(
        f"bookings: {len(replies)}, still unanswered at timeout_ms: {len(long)}"
    )
    record.write(f"no answer {GRACE_S} s later: {len(late)}")
    record.write(f"readiness probes missed in a row, by gateway: {missed}")
    record.write(f"gateways running at the end: {running}")
    is_broken = len(late) >= MIN_LATE and 2 * len(late) > len(long)
    record.write("CONFIG is broken" if is_broken else "CONFIG held")
    return BROKEN if is_broken else HELD


finish(main)
