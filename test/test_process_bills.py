"""Bills of a killed instance are stored by its peers."""

import asyncio
import signal

from test_processes import ProcessWorld, build_chat_request

from tanagerwalk.clients.keyvalue import KeyValueClient
from tanagerwalk.controllers.billing import read_bills
from tanagerwalk.standins.addresses import find_address

ADOPTION_POLLS = 200
REQUEST_COUNT = 5


class PeerProcessWorld(ProcessWorld):
    """A ProcessWorld whose instances find each other through the platform."""

    drain_limit = 60

    def make_settings(self, *arguments, **options):
        text = super().make_settings(*arguments, **options)
        limit = f"drain_notice = 0\ndrain_limit = {self.drain_limit}"
        return text.replace("drain_notice = 0", limit)

    async def start_registered_instance(self, name, domain):
        process = await self.start_instance(name)
        ports = process.listening
        self.platform.add(
            f"{find_address()}:{ports['peers_port']}",
            id=name,
            role="entry",
            region="r1",
            failure_domain=domain,
            incarnation=ports["incarnation"],
            state="live",
        )
        return process

    def unregister_instance(self, name):
        groups = self.platform.groups
        groups[:] = [group for group in groups if group["labels"]["id"] != name]

    async def read_stored_bills(self):
        store = KeyValueClient(self.http, f"http://{self.keyvalue.address}", 1.0)
        return (await read_bills(store)).ok


async def test_bills_survive_kill_of_their_instance(tmp_path):
    async with PeerProcessWorld(tmp_path) as world:
        await world.add_engine("engine-1", ["wren:1", "heron:1"])
        await world.apply()
        killed = await world.start_registered_instance("entry-1", "r1-a")
        await world.start_registered_instance("entry-2", "r1-a")
        await world.start_registered_instance("entry-3", "r1-b")
        for process in world.processes.values():
            await world.wait_until_ready(process)
        world.keyvalue.outage = True
        for number in range(REQUEST_COUNT):
            status, _, _ = await world.send_request(
                killed,
                "/v1/chat/completions",
                build_chat_request("label"),
                **{"X-Request-Id": f"r{number}"},
            )
            assert status == 200
        await killed.stop(signal.SIGKILL)
        world.keyvalue.outage = False
        world.unregister_instance("entry-1")
        for _ in range(ADOPTION_POLLS):
            if len(await world.read_stored_bills()) >= REQUEST_COUNT:
                break
            await asyncio.sleep(0.1)
        # Gives the second peer that holds the same batches time to write them. Each
        # bill must still be stored only once.
        await asyncio.sleep(2.0)
        stored = await world.read_stored_bills()
        assert sorted(bill.request_id for bill in stored) == [
            f"r{number}" for number in range(REQUEST_COUNT)
        ]
        for process in world.processes.values():
            await process.stop(signal.SIGKILL)
