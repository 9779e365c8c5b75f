"""Bills survive the kill of the instance that made them."""

import asyncio
import signal

from test_processes import ProcessWorld, ask

from tanagerwalk.clients.keyvalue import KeyValueClient
from tanagerwalk.controllers.billing import read_bills

ADOPTION_POLLS = 200
REQUESTS = 5


class BillWorld(ProcessWorld):
    """A world of processes that know each other."""

    drain_limit = 60

    def make_settings(self, *names, **more):
        text = super().make_settings(*names, **more)
        limit = f"drain_notice = 0\ndrain_limit = {self.drain_limit}"
        return text.replace("drain_notice = 0", limit)

    async def serve_listed(self, name, domain):
        process = await self.serve(name)
        ports = process.ports
        self.platform.add(
            f"127.0.0.1:{ports['peers_port']}",
            id=name,
            role="entry",
            region="r1",
            failure_domain=domain,
            incarnation=ports["incarnation"],
            state="live",
        )
        return process

    def unlist(self, name):
        groups = self.platform.groups
        groups[:] = [g for g in groups if g["labels"]["id"] != name]

    async def read_stored(self):
        store = KeyValueClient(self.http, f"http://{self.keyvalue.address}", 1.0)
        return (await read_bills(store)).ok


async def test_bill_outlives_the_kill_of_its_instance(tmp_path):
    async with BillWorld(tmp_path) as world:
        await world.add_engine("engine-1", ["wren:1", "heron:1"])
        await world.apply()
        doomed = await world.serve_listed("entry-1", "r1-a")
        await world.serve_listed("entry-2", "r1-a")
        await world.serve_listed("entry-3", "r1-b")
        for process in world.processes.values():
            await world.send_until_ready(process)
        world.keyvalue.outage = True
        for number in range(REQUESTS):
            status, _, _ = await world.send(
                doomed,
                "/v1/chat/completions",
                ask("label"),
                **{"X-Request-Id": f"r{number}"},
            )
            assert status == 200
        await doomed.end(signal.SIGKILL)
        world.keyvalue.outage = False
        world.unlist("entry-1")
        for _ in range(ADOPTION_POLLS):
            if len(await world.read_stored()) >= REQUESTS:
                break
            await asyncio.sleep(0.1)
        # Time for the second holder to write the same batches.
        await asyncio.sleep(2.0)
        stored = await world.read_stored()
        assert sorted(bill.request_id for bill in stored) == [
            f"r{number}" for number in range(REQUESTS)
        ]
        for process in world.processes.values():
            await process.end(signal.SIGKILL)
