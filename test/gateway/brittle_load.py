"""Brittle servers behind gateway instances, under requests at random times."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass

from tanagerwalk.standins.behaviours import Behaviour
from tanagerwalk.standins.places import Places

SERVERS = 5
SLOTS = 6
WORK_S = 0.25
QUEUE = 6
# Room in the queue, and from how long after the word on.
SMALL_QUEUE = 1
CONTACT_S = 3.0
BRITTLE = 6
FALL_S = 3.0
# How long a client waits that leaves; its request has begun to run by then.
PATIENCE_S = 0.1
LEFT = -1


@dataclass(frozen=True)
class Outcome:
    """What one client got, and how long it took, in seconds."""

    sent_at: float
    status: int
    seconds: float


class BrittleLoad:
    """Lets the servers of a cluster become brittle, and loads them.

    Parameters
    ----------
    cluster : GatewayCluster
        The cluster, without servers.
    load : float
        Requests as a share of the servers' capacity.
    seed : int
        Seed of the requests' times.
    leaving : float
        Share of the clients that leave after `PATIENCE_S`. The servers go on with
        their requests.
    work : float
        Seconds that a request takes.
    """

    def __init__(self, cluster, load, seed=1, leaving=0.0, work=WORK_S):
        self.cluster = cluster
        self.leaving = leaving
        self.work = work
        self.outcomes = []
        self._rate = load * SERVERS * SLOTS / work
        self._random = random.Random(seed)
        self._tasks = set()

    async def add_servers(self):
        """Start the servers, which are sound."""
        for number in range(SERVERS):
            places = Places(SLOTS, QUEUE)
            name = f"desk-{number}"
            server = await self.cluster.add_server(name, "desk", places=places)
            server.behaviour = self._behave()
            places.on_fall = lambda server=server: self._start(self._fall(server))

    async def run(self, seconds):
        """Send requests for a while, each to a random instance."""
        ends_at = time.monotonic() + seconds
        next_at = time.monotonic()
        while next_at < ends_at:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            next_at += self._random.expovariate(self._rate)
            self._start(self._send(self._random.choice(self.cluster.instances)))

    async def become_brittle(self):
        """Say so in all answers; be so, with less room, from the contact time on."""
        for server in self.cluster.servers.values():
            server.behaviour = self._behave(brittle=str(BRITTLE))
        await asyncio.sleep(CONTACT_S)
        for server in self.cluster.servers.values():
            server.places.queue = SMALL_QUEUE
            server.places.brittle = BRITTLE

    async def become_sound(self):
        """End all that `become_brittle` began."""
        for server in self.cluster.servers.values():
            server.behaviour = self._behave()
            server.places.brittle = None
            server.places.queue = QUEUE

    async def wait(self):
        """Wait for the answers that are under way, and for servers that are down."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count_falls(self):
        """Return how often servers fell over."""
        return sum(len(server.falls) for server in self.cluster.servers.values())

    def count_cut_off(self):
        """Return how many requests under way were cut off by the falls."""
        return sum(server.cut_off for server in self.cluster.servers.values())

    def count_statuses(self, since, until):
        """Return the statuses of the requests that were sent in a time."""
        return Counter(o.status for o in self.outcomes if since <= o.sent_at < until)

    def _behave(self, brittle=""):
        keeps = self.leaving > 0.0
        return Behaviour(delay=self.work, brittle=brittle, keeps_abandoned=keeps)

    def _start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fall(self, server):
        if not await server.fall(FALL_S):
            return
        await self.cluster.store.put(*server.build_entry("desk", "a-1"))

    async def _send(self, instance):
        sent_at = time.monotonic()
        status = 0
        leaves = self._random.random() < self.leaving
        try:
            async with asyncio.timeout(PATIENCE_S if leaves else None):
                data = self.cluster.encode("GET", "/jobs/7")
                status = (await self.cluster.send(data, instance)).status
        except TimeoutError:
            status = LEFT
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        seconds = time.monotonic() - sent_at
        self.outcomes.append(Outcome(sent_at, status, seconds))
