"""A machine restarts while the store's old reads differ in age from page to page."""

import asyncio
import signal
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

GATEWAYS = 2
OTHER_ENGINES = 60
PAGE_ITEMS = 50
STALE_S = 3.0
SNAPSHOT_PAUSE_S = 0.1
DRAIN_S = 2.5
CONTACT_S = 3.0
SERVES_AFTER_REMOVAL_S = 12.0
SECONDS = 20.0
REQUEST_PAUSE_S = 0.2
CLIENT_TIMEOUT_S = 3.0


class PagedStore(MetadataStandIn):
    """Answers the first page of an old read from now, later ones from before."""

    def __init__(self):
        super().__init__()
        self.page_items = PAGE_ITEMS
        self._snapshots = []

    async def take_snapshots(self):
        """Keep what the store held, until cancelled."""
        while True:
            now = time.monotonic()
            self._snapshots.append((now, dict(self.items), self.revision))
            await asyncio.sleep(SNAPSHOT_PAUSE_S)

    async def _range(self, request):
        is_later_page = "stale_ok" in request.query and "after" in request.query
        if not (TROUBLE and is_later_page):
            return await super()._range(request)
        now = time.monotonic()
        old = [each for each in self._snapshots if now - each[0] >= STALE_S]
        if not old:
            return await super()._range(request)
        _, items, revision = old[-1]
        current = self.items, self.revision
        self.items, self.revision = items, revision
        response = await super()._range(request)
        self.items, self.revision = current
        return response


class LeavingEngine(Engine):
    """Notes when requests reach it."""

    WORK_S = 0.2

    def __init__(self, *args):
        super().__init__(*args)
        self.arrivals = []
        self.writers = set()

    async def answer(self, request, writer):
        """Note the request and run it."""
        self.arrivals.append((time.monotonic(), request.attempt_id))
        self.writers.add(writer)
        await super().answer(request, writer)

    def exit(self):
        """End as a process does."""
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


async def send_bookings(gateway, ends_at, record):
    """Send bookings; return the attempts, with the time of the sending."""
    tasks = []
    while time.monotonic() < ends_at:
        attempt_id, data = encode_request("POST", "/booking/1", b"studio")
        tasks.append(
            asyncio.create_task(send_booking(gateway, attempt_id, data, record))
        )
        await asyncio.sleep(REQUEST_PAUSE_S)
    return await asyncio.gather(*tasks)


async def send_booking(gateway, attempt_id, data, record):
    """Send one booking; return its id, the time of the sending and the Reply."""
    sent_at = time.monotonic()
    reply = await send_once(gateway, data, CLIENT_TIMEOUT_S)
    record.write(
        f"booking {attempt_id} to {gateway.name}: {reply.end}, status {reply.status}"
    )
    return attempt_id, sent_at, reply


async def main():
    """Return the verdict."""
    record = Record(Path(__file__).parent)
    store = PagedStore()
    await store.start()
    snapshots = asyncio.create_task(store.take_snapshots())
    await store.put("op/config", build_manifest())
    async with Fleet(store) as fleet:
        for index in range(OTHER_ENGINES):
            engine = Engine(f"i-a{index:03}", fleet.standin_ip, record)
            await engine.start()
            zone = ZONES[index % len(ZONES)][0]
            await store.put(*engine.build_entry("writing", zone, slots=64))
        staying = Engine("i-x-stays", fleet.standin_ip, record)
        leaving = LeavingEngine("i-z-leaves", fleet.standin_ip, record)
        for engine, (zone, _) in ((staying, ZONES[1]), (leaving, ZONES[0])):
            await engine.start()
            await store.put(*engine.build_entry("portal", zone))
        if not await fleet.add_gateways(GATEWAYS, store.address):
            return NOT_RUN
        await asyncio.sleep(4.0)
        gateway = fleet.gateways[0]
        record.write(f"SIGTERM to {gateway.name}")
        await gateway.stop(signal.SIGTERM)
        await store.remove("servers/i-z-leaves")
        removed_at = time.monotonic()
        record.write("the store acknowledges that servers/i-z-leaves is gone")
        await gateway.start()
        started_at = time.monotonic()
        if not await gateway.wait_until_ready():
            return NOT_RUN
        ends_at = time.monotonic() + SECONDS
        bookings = asyncio.create_task(send_bookings(gateway, ends_at, record))
        exits_at = removed_at + SERVES_AFTER_REMOVAL_S
        await asyncio.sleep(exits_at - time.monotonic())
        leaving.exit()
        record.write("engine i-z-leaves exits")
        sent = await bookings
    snapshots.cancel()
    sent_at = {attempt_id: at for attempt_id, at, _ in sent}
    bound = max(removed_at + DRAIN_S, started_at + CONTACT_S)
    late = [
        attempt_id
        for at, attempt_id in leaving.arrivals
        if at > bound and sent_at.get(attempt_id, 0.0) > bound
    ]
    lost = [reply for _, _, reply in sent if reply.status in (502, 504)]
    record.write(f"requests at i-z-leaves later than the bounds: {len(late)}")
    record.write(f"bookings answered with 502 or 504: {len(lost)} of {len(sent)}")
    record.write("DRAIN is broken" if late else "DRAIN held")
    return BROKEN if late else HELD


finish(main)
