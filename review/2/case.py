"""Another writer leaves one entry with a field of another type among the servers'."""

import asyncio
import json
import time
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
    finish,
)

from tanagerwalk.standins.metadata import MetadataStandIn

GATEWAYS = 3
CALM_S = 3.0
SECONDS = 25.0
RESTART_DELAY_S = 0.5
REQUEST_PAUSE_S = 0.25
CLIENT_TIMEOUT_S = 3.0
MIN_ENDS = 3
MIN_MACHINES = 2
NESTED_LISTS = 2000


def build_foreign_entry():
    """Return an entry like a server's whose `cold_left_ms` is a nested list."""
    entry = {
        "service": "portal",
        "address": "127.0.0.1:9",
        "zone": ZONES[0][0],
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "sequence": 1,
        "born": 1780000000000,
    }
    nested = "[" * NESTED_LISTS + "]" * NESTED_LISTS
    return (json.dumps(entry)[:-1] + f', "cold_left_ms": {nested}}}').encode()


async def restart(gateway, ends_at, record):
    """Start the process again whenever it has ended, as the platform does."""
    while time.monotonic() < ends_at:
        if not gateway.is_running:
            gateway.own_ends += 1
            code = gateway.process.returncode
            record.write(f"{gateway.name} ended by itself with code {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            await gateway.start()
        await asyncio.sleep(0.1)


async def send_requests(gateway, ends_at, record):
    """Send lookups and bookings; return the times and the Replies."""
    replies = []
    number = 0
    while time.monotonic() < ends_at - CLIENT_TIMEOUT_S:
        number += 1
        path = "/status/1" if number % 2 else "/booking/1"
        method, body = ("GET", b"") if number % 2 else ("POST", b"studio")
        attempt_id, data = encode_request(method, path, body)
        sent_at = time.monotonic()
        reply = await send_once(gateway, data, CLIENT_TIMEOUT_S)
        record.write(
            f"{method} {path} {attempt_id} to {gateway.name}:"
            f" {reply.end}, status {reply.status}"
        )
        replies.append((sent_at, reply))
        await asyncio.sleep(REQUEST_PAUSE_S)
    return replies


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
        if not await fleet.add_gateways(GATEWAYS, store.address):
            return NOT_RUN
        gateways = fleet.gateways
        ends_at = time.monotonic() + CALM_S + SECONDS
        tasks = [
            asyncio.create_task(work(gateway, ends_at, record))
            for gateway in gateways
            for work in (restart, send_requests)
        ]
        await asyncio.sleep(CALM_S)
        written_at = time.monotonic()
        if TROUBLE:
            entry = build_foreign_entry()
            record.write(f"another writer writes servers/i-other: {len(entry)} bytes")
            await store.put("servers/i-other", entry)
        results = await asyncio.gather(*tasks)
        replies = [pair for each in results if each for pair in each]
        ends = {gateway.name: gateway.own_ends for gateway in gateways}
    later = [reply for sent_at, reply in replies if sent_at > written_at + 1.0]
    served = sum(reply.status == 200 for reply in later)
    record.write(f"processes that ended by themselves, by machine: {ends}")
    record.write(
        f"requests later than 1 s after the entry: {served} of {len(later)} served"
    )
    machines = sum(count >= MIN_ENDS for count in ends.values())
    is_broken = machines >= MIN_MACHINES
    record.write("Fault: ends by themselves" if is_broken else "held")
    return BROKEN if is_broken else HELD


finish(main)
