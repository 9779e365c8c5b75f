"""Measures bytes, delay and CPU time of the exchange between entry instances.

Fact tables are reconciled in memory with the real encoding, intervals and choice of
partners; links have no latency. In each case one instance learns of a newer revision
of the declaration, and another learns that a backend server is leaving. Then one
failure domain is partitioned off while 100 servers leave, and the partition heals. The
last line is measured on a real connection over 127.0.0.1.
"""

import argparse
import heapq
import random
import time
from dataclasses import dataclass, field

import uvloop

from tanagerwalk.clients.targets import PeerRecord
from tanagerwalk.controllers.exchange import EXPIRY_PERIOD, SLOW_LANE_PERIOD
from tanagerwalk.controllers.loop import JITTER
from tanagerwalk.decisions.evidence import Arm, Counts, EvidenceReport, encode_report
from tanagerwalk.decisions.facts import FactTable, Topic
from tanagerwalk.decisions.partners import PartnerChooser
from tanagerwalk.decisions.reporters import FLEET_REPORTS_PER_S
from tanagerwalk.decisions.servers import Home
from tanagerwalk.ids import InstanceId
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.exchange.ttypes import DeclarationNews, ExchangeRequest
from tanagerwalk.peers.reconcile import ByteBudget, Reconciler
from tanagerwalk.peers.rpc import MessageKind, PeerClient, PeerServer
from tanagerwalk.settings import parse_settings

SEED = 7
SIZES = (10, 40, 120, 340)
REGIONS = 3
DOMAINS = 6
WARM_UP_S = 90.0
MEASURED_S = 30.0
SHARE_INTERVAL_S = 2.0
MAX_SPREAD_S = 60.0
PARTITION_S = 60.0
FACTS_DURING_PARTITION = 100
SAMPLED_NODES = 10
REQUIRED_ARRIVAL_SHARE = 0.9
EPOCH_S = 60.0
RATING_LIFETIME_S = 180.0
FRAME_BYTES = 21
# IP and TCP headers with timestamps. A reply also acknowledges its request, so only
# one of the two messages needs a separate acknowledgement: 26 bytes per message.
SEGMENT_BYTES = 52
ACKNOWLEDGEMENT_BYTES = 26
DECLARATION_BYTES = 4096
LINK_REQUESTS = 4000
LINK_PAYLOAD_BYTES = 120


@dataclass
class Node:
    """One simulated instance."""

    record: PeerRecord
    table: FactTable
    reconciler: Reconciler
    partners: PartnerChooser
    revision: int = 1
    ratings: int = 0
    steps: int = 0
    sent: int = 0
    received: int = 0


@dataclass
class Case:
    """Size and load of one simulation."""

    nodes: int
    ratings: int
    slow_rate: float


@dataclass
class Totals:
    """Counters and event queue of a simulation."""

    exchanges: int = 0
    requests: int = 0
    cpu_s: float = 0.0
    merged: int = 0
    queue: list = field(default_factory=list)


class Fleet:
    """Instances that exchange facts in simulated time.

    Parameters
    ----------
    case : Case
        Size and load.
    settings : PeerSettings
        Exchange interval and choice of partners.
    """

    def __init__(self, case, settings):
        self.case = case
        self.settings = settings
        self.random = random.Random(SEED)
        self.now = 1000.0
        self.partitioned_domain = None
        self.totals = Totals()
        self.nodes = [self._make_node(number) for number in range(case.nodes)]
        self.peers = tuple(node.record for node in self.nodes)
        self.by_id = {node.record.id: node for node in self.nodes}
        for node in self.nodes:
            self._schedule(node, self._exchange, settings.interval)
            if case.ratings:
                pause = case.nodes / FLEET_REPORTS_PER_S
                self._schedule(node, self._publish_rating, max(SHARE_INTERVAL_S, pause))

    def _make_node(self, number):
        domain = number % DOMAINS
        home = Home(f"r{domain % REGIONS}", f"d{domain}")
        identity = f"entry-{number}"
        origin = f"{identity}.{self.random.getrandbits(128):032x}"
        record = PeerRecord(
            identity, identity, home.region, home.failure_domain, origin
        )
        table = FactTable(origin)
        budget = ByteBudget(self.case.slow_rate, self.case.slow_rate)
        chooser = PartnerChooser(
            origin, home, self.settings.cross_domain, random.Random(number)
        )
        reconciler = Reconciler(table, budget, random.Random(number))
        return Node(record, table, reconciler, chooser)

    def _schedule(self, node, action, interval):
        spread = 1.0 + JITTER * (2.0 * self.random.random() - 1.0)
        at = self.now + interval * spread
        entry = (at, self.random.random(), node, action, interval)
        heapq.heappush(self.totals.queue, entry)

    def run(self, seconds, condition=None):
        """Run for `seconds` or until `condition` holds; return the time taken."""
        started = self.now
        while self.now < started + seconds:
            if condition is not None and condition():
                break
            self.now, _, node, action, interval = heapq.heappop(self.totals.queue)
            action(node)
            self._schedule(node, action, interval)
        return self.now - started

    def _publish_rating(self, node):
        arm = Arm(
            "4f2a91c07b1e5c22", "plan", f"heron:{node.ratings % self.case.ratings}"
        )
        node.ratings += 1
        total = node.ratings
        counts = Counts(
            total, 0.83 * total, 0.7 * total, total, 0.83 * total, 9 * total
        )
        epoch = int(self.now // EPOCH_S)
        key, value = encode_report(EvidenceReport(arm, epoch, counts))
        node.table.publish(Topic.RATINGS, key, value, self.now, RATING_LIFETIME_S)

    def _exchange(self, node):
        node.steps += 1
        record = node.partners.choose(self.peers, self.now, self.now)
        partner = self.by_id[record.id]
        if (node.record.failure_domain == self.partitioned_domain) != (
            record.failure_domain == self.partitioned_domain
        ):
            node.partners.record_fault(record, self.now)
            return
        started = time.process_time()
        if node.steps % EXPIRY_PERIOD == 0:
            node.table.expire(self.now)
        self._reconcile(node, partner)
        self.totals.cpu_s += time.process_time() - started
        self.totals.exchanges += 1

    def _reconcile(self, node, partner):
        news = DeclarationNews(node.revision, 1500)
        digest = node.reconciler.make_digest(news, node.steps % SLOW_LANE_PERIOD == 0)
        request = self._transmit(ExchangeRequest(digest=digest), node, partner)
        theirs = DeclarationNews(partner.revision, 1500)
        reply = partner.reconciler.answer_digest(request.digest, theirs)
        reply = self._transmit(reply, partner, node)
        newest = max(node.revision, partner.revision)
        if node.revision != partner.revision:
            self._count_bytes(DECLARATION_BYTES, node, partner)
        node.revision = partner.revision = newest
        transfer = node.reconciler.make_transfer(reply, self.now)
        self.totals.requests += 1
        if transfer is None:
            return
        request = self._transmit(ExchangeRequest(transfer=transfer), node, partner)
        answer = partner.reconciler.answer_transfer(request.transfer, self.now)
        answer = self._transmit(answer, partner, node)
        self.totals.merged += node.reconciler.apply_deltas(answer.deltas, self.now)
        self.totals.requests += 1

    def _transmit(self, message, sender, receiver):
        content = encode(message)
        self._count_bytes(len(content), sender, receiver)
        return decode(type(message), content).ok

    def _count_bytes(self, size, sender, receiver):
        size += FRAME_BYTES + SEGMENT_BYTES + ACKNOWLEDGEMENT_BYTES
        sender.sent += size
        receiver.received += size

    def measure(self):
        """Return one row: the steady load, then the times to spread updates."""
        self.run(WARM_UP_S)
        self.totals = Totals(queue=self.totals.queue)
        for node in self.nodes:
            node.sent = node.received = 0
        seconds = self.run(MEASURED_S)
        traffic = [(n.sent + n.received) / seconds for n in self.nodes]
        sent = sum(node.sent for node in self.nodes) / seconds / len(self.nodes)
        processor = self.totals.cpu_s / self.totals.exchanges
        share = self.totals.cpu_s / seconds / len(self.nodes)
        facts = sum(len(n.table.list_facts()) for n in self.nodes) / len(self.nodes)
        return (
            facts,
            sent,
            sum(traffic) / len(traffic),
            max(traffic),
            processor * 1e6,
            share * 100,
            self._measure_revision_spread(),
            self._measure_fact_spread(),
            self._measure_rating_arrival(),
            self.measure_healing(),
        )

    def _measure_revision_spread(self):
        self.nodes[0].revision = 2
        return self.run(MAX_SPREAD_S, lambda: all(n.revision == 2 for n in self.nodes))

    def _measure_fact_spread(self):
        origin = self.nodes[-1].table
        origin.publish(Topic.LEAVING, "engine-17.4f2a91c0", b"listed", self.now, 600.0)
        return self.run(
            MAX_SPREAD_S,
            lambda: all(node.table.list_facts(Topic.LEAVING) for node in self.nodes),
        )

    def measure_healing(self):
        """Return the time from the end of a partition until all nodes agree."""
        self.partitioned_domain = self.nodes[0].record.failure_domain
        self.nodes[-1].revision += 1
        for number in range(FACTS_DURING_PARTITION):
            key = f"engine-{number}.7b1e5c22"
            table = self.nodes[number % len(self.nodes)].table
            table.publish(Topic.LEAVING, key, b"listed", self.now, 600.0)
        self.run(PARTITION_S)
        self.partitioned_domain = None
        expected = self.nodes[-1].revision
        wanted = FACTS_DURING_PARTITION + 1
        return self.run(
            MAX_SPREAD_S,
            lambda: all(
                node.revision == expected
                and len(node.table.list_facts(Topic.LEAVING)) == wanted
                for node in self.nodes
            ),
        )

    def _measure_rating_arrival(self):
        """Return the age from which on 90% of the ratings have arrived.

        Of the ratings published at least that long ago, a sample of the nodes holds 90%
        at their newest value.
        """
        sample = self.nodes[:: max(1, len(self.nodes) // SAMPLED_NODES)]
        held = [_index_facts(node.table.list_facts(Topic.RATINGS)) for node in sample]
        missing = []
        for node in self.nodes:
            for identity, fact in _index_facts(
                node.table.list_facts(Topic.RATINGS)
            ).items():
                if fact.origin != node.record.incarnation:
                    continue
                age = RATING_LIFETIME_S - (fact.expires - self.now)
                for known in held:
                    is_missing = identity not in known
                    is_missing = is_missing or known[identity].sequence < fact.sequence
                    missing.append((age, is_missing))
        return _find_arrival_age(sorted(missing, reverse=True))


def _index_facts(facts):
    return {(fact.origin, fact.key): fact for fact in facts}


def _find_arrival_age(missing):
    """Return the lowest age from which on 90% of the samples have arrived.

    `missing` lists (age, is_missing) by falling age.
    """
    arrived = 0
    best = float("inf") if missing else 0.0
    for count, (age, is_missing) in enumerate(missing, 1):
        arrived += not is_missing
        if arrived >= REQUIRED_ARRIVAL_SHARE * count:
            best = age
    return best


async def measure_link():
    """Return CPU microseconds per request over 127.0.0.1, for both sides."""

    async def echo(payload, sender):
        return payload

    server = PeerServer("bench")
    server.register_handler(MessageKind.EXCHANGE, echo)
    await server.start("127.0.0.1", 0)
    client = PeerClient("bench", InstanceId("entry-1"), 5.0)
    address = f"127.0.0.1:{server.port}"
    payload = b"x" * LINK_PAYLOAD_BYTES
    await client.request(address, MessageKind.EXCHANGE, payload)
    started = time.process_time()
    for _ in range(LINK_REQUESTS):
        await client.request(address, MessageKind.EXCHANGE, payload)
    link_cpu_s = time.process_time() - started
    await client.close()
    await server.stop()
    return link_cpu_s / LINK_REQUESTS * 1e6


HEADINGS = (
    "nodes ratings slow_rate | facts sent_B/s both_B/s max_B/s "
    "us/exchange core_% revision_s leaving_s rating_arrival_s healed_s"
)


def main(sizes=SIZES):
    """Print a row for each number of ratings and nodes, then the connection cost."""
    settings = parse_settings().ok.peers
    print(HEADINGS)
    for ratings in (0, 4):
        for size in sizes:
            case = Case(size, ratings, settings.slow_rate)
            row = Fleet(case, settings).measure()
            figures = " ".join(f"{value:9.1f}" for value in row)
            print(f"{size:5} {ratings:7} {case.slow_rate:9.0f} | {figures}", flush=True)
    link_us = uvloop.run(measure_link())
    print(f"link: {link_us:.0f} us of processor time a request, both sides together")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="measure the exchange")
    parser.add_argument("sizes", type=int, nargs="*", default=SIZES)
    main(parser.parse_args().sizes)
