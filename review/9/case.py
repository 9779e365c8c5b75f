"""Case 9: large entries of another writer end all gateways, again and again."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

from rig2 import CLIENT_LIMITS, encode_head, read_reply, run_case  # noqa: E402

from tanagerwalk.standins.gateway_cluster import build_manifest  # noqa: E402
from tanagerwalk.standins.metadata import MetadataStandIn  # noqa: E402

GATEWAYS = 3
ENTRIES = 120
# value_bytes of the settings: the largest value that the store takes.
LARGE_BYTES = 1048576
SMALL_BYTES = 100
WRITE_PAUSE_S = 0.3
# About so much text is in one page of the store; at least one item is.
PAGE_CHARS = 1_000_000
# Ends of processes, on two machines at least, from which the rule is broken.
MAX_ENDS = 2
MIN_MACHINES = 2
LAST_WATCH_S = 12.0
ANSWER_TIMEOUT_S = 3.0


class PagedStore(MetadataStandIn):
    """The project's store, whose pages end at about 1 MB, as the users' pages say."""

    async def _range(self, request):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        sizes = [
            len(self.items[key].value)
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        total = count = 0
        for size in sizes:
            if count and total + size > PAGE_CHARS:
                break
            total += size
            count += 1
        # There is no await between this and the page that is built from it.
        self.page_items = min(500, max(1, count))
        return await super()._range(request)


async def ask(rig, gateway, attempt_id):
    """Send an ordinary request and record its answer."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await gateway.connect()
            writer.write(encode_head("GET", "/jobs/1", attempt_id))
            outcome = (await read_reply(reader)).status
    except (OSError, EOFError, TimeoutError) as error:
        outcome = type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    rig.record.write(f"answer to {attempt_id} of {gateway.name}: {outcome}")


async def play(rig):
    """Return whether processes have ended three times on two machines or more."""
    await rig.store.put("op/config", build_manifest(limits=CLIENT_LIMITS))
    for number in range(2):
        await rig.start_server(f"desk-{number}", "desk")
        await rig.start_server(f"drafts-{number}", "drafts")
    await rig.start_gateways(GATEWAYS)
    size = LARGE_BYTES if rig.has_trouble else SMALL_BYTES
    for number in range(ENTRIES):
        if min(len(gateway.ends) for gateway in rig.gateways) > MAX_ENDS:
            break
        await rig.store.put(f"servers/other-{number}", os.urandom(size))
        await asyncio.sleep(WRITE_PAUSE_S)
        if number % 10 == 0:
            sizes = [f"{gateway.read_memory_mb():.0f} MB" for gateway in rig.gateways]
            rig.record.write(f"{number + 1} entries of {size} bytes: {sizes}")
    rig.record.write("no further entry is written")
    await asyncio.sleep(LAST_WATCH_S)
    for gateway in rig.gateways:
        await ask(rig, gateway, f"job-{gateway.name}")
        rig.record.write(
            f"{gateway.name}: ended {len(gateway.ends)} times, "
            f"ready: {await gateway.is_ready()}"
        )
    ended = [gateway for gateway in rig.gateways if len(gateway.ends) > MAX_ENDS]
    return len(ended) >= MIN_MACHINES


run_case(FOLDER, play, PagedStore)
