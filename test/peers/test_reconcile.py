"""Exchange of facts with lost and duplicate messages, partitions and restarts."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tanagerwalk.decisions.facts import Fact, FactTable, Topic
from tanagerwalk.ids import Incarnation
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.exchange.ttypes import (
    DeclarationNews,
    Delta,
    Digest,
    DigestReply,
    FactItem,
    Transfer,
    TransferReply,
)
from tanagerwalk.peers.reconcile import ByteBudget, Reconciler

NODES = 5
NEWS = DeclarationNews(1)
LIFETIME_S = 100.0


class Node:
    """Facts of one instance, and the side of the network partition it is on."""

    def __init__(self, name, rate=1e6):
        self.table = FactTable(Incarnation(name))
        budget = ByteBudget(rate, rate)
        self.reconciler = Reconciler(self.table, budget, random.Random(name))
        self.partition = 0

    def read(self):
        return {
            (fact.origin, fact.topic, fact.key): (fact.sequence, fact.value)
            for fact in self.table.list_facts()
        }


def transmit(message):
    """Encode and decode a message, as its receiver gets it."""
    return decode(type(message), encode(message)).ok


def run_exchange(first, second, now, lost_at=4, repeats=1):
    """Run one exchange and return its messages; the one at index `lost_at` is lost."""
    digest = transmit(first.reconciler.make_digest(NEWS, include_slow=True))
    messages = [digest]
    if lost_at == 0:
        return messages
    messages.append(transmit(second.reconciler.answer_digest(digest, NEWS)))
    if lost_at == 1:
        return messages
    transfer = first.reconciler.make_transfer(messages[-1], now)
    if transfer is None:
        return messages
    messages.append(transmit(transfer))
    if lost_at == 2:
        return messages
    for _ in range(repeats):
        reply = transmit(second.reconciler.answer_transfer(messages[2], now))
    messages.append(reply)
    if lost_at > 3:
        for _ in range(repeats):
            first.reconciler.apply_deltas(reply.deltas, now)
    return messages


def run_all_exchanges(nodes, now, rounds=12):
    for _ in range(rounds):
        for first in nodes:
            for second in nodes:
                if first is not second:
                    run_exchange(first, second, now)


class ExchangeMachine(RuleBasedStateMachine):
    """All nodes have the same facts once the partition ends, whatever happened."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.generation = 0
        self.nodes = [Node(f"entry-{n}.0") for n in range(NODES)]
        self.published = {}
        self.delayed_replies = []

    node_indexes = st.integers(0, NODES - 1)

    @rule(
        index=node_indexes,
        topic=st.sampled_from([Topic.LEAVING, Topic.BLAME, Topic.RATINGS]),
        key=st.sampled_from("abc"),
        value=st.binary(max_size=3),
    )
    def publish(self, index, topic, key, value):
        table = self.nodes[index].table
        table.publish(topic, key, value, self.now, LIFETIME_S)
        self.published[(table.origin, topic, key)] = (value, self.now + LIFETIME_S)

    @rule(
        first=node_indexes,
        second=node_indexes,
        lost_at=st.integers(0, 4),
        repeats=st.integers(1, 2),
    )
    def exchange(self, first, second, lost_at, repeats):
        one, other = self.nodes[first], self.nodes[second]
        if one is other or one.partition != other.partition:
            return
        messages = run_exchange(one, other, self.now, lost_at, repeats)
        if len(messages) == 4:
            self.delayed_replies.append((one, messages[3].deltas))

    @rule(data=st.data())
    def deliver_delayed_reply(self, data):
        if not self.delayed_replies:
            return
        node, deltas = data.draw(st.sampled_from(self.delayed_replies))
        node.reconciler.apply_deltas(deltas, self.now)

    @rule(index=node_indexes)
    def restart(self, index):
        self.generation += 1
        partition = self.nodes[index].partition
        self.nodes[index] = Node(f"entry-{index}.{self.generation}")
        self.nodes[index].partition = partition

    @rule(index=node_indexes, partition=st.integers(0, 1))
    def move_to_partition(self, index, partition):
        self.nodes[index].partition = partition

    @rule(seconds=st.sampled_from([1.0, 30.0, 70.0]))
    def wait(self, seconds):
        self.now += seconds
        # Messages delayed for longer than the lifetime of their facts are not covered.
        self.delayed_replies.clear()
        for node in self.nodes:
            node.table.expire(self.now)

    @invariant()
    def facts_were_published_and_do_not_outlive_their_lifetime(self):
        for node in self.nodes:
            for fact in node.table.list_facts():
                _, ends = self.published[(fact.origin, fact.topic, fact.key)]
                assert fact.expires <= ends + 1e-6

    def teardown(self):
        if not hasattr(self, "nodes"):
            return
        before = [node.read() for node in self.nodes]
        run_all_exchanges(self.nodes, self.now)
        after = [node.read() for node in self.nodes]
        assert all(view == after[0] for view in after)
        for view in before:
            for identity, (sequence, _) in view.items():
                assert after[0][identity][0] >= sequence
        for node in self.nodes:
            for (origin, topic, key), (_, value) in node.read().items():
                if origin == node.table.origin:
                    assert value == self.published[(origin, topic, key)][0]


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=60, stateful_step_count=30)


def test_small_budget_delays_slow_facts_but_loses_none():
    first, second = Node("a.0", rate=100), Node("b.0", rate=100)
    for number in range(50):
        first.table.publish(Topic.RATINGS, f"{number}", b"x" * 20, 0.0, 1e6)
        first.table.publish(Topic.LEAVING, f"{number}", b"", 0.0, 1e6)
    run_exchange(first, second, 0.0)
    assert len(second.table.list_facts(Topic.LEAVING)) == 50
    assert 0 < len(second.table.list_facts(Topic.RATINGS)) < 50
    for second_s in range(1, 100):
        run_exchange(first, second, float(second_s))
    assert second.read() == first.read()


def test_equal_tables_exchange_no_facts():
    first, second = Node("a.0"), Node("b.0")
    first.table.publish(Topic.LEAVING, "k", b"", 0.0, LIFETIME_S)
    run_all_exchanges([first, second], 0.0, rounds=1)
    assert len(run_exchange(first, second, 0.0)) == 2


def test_exchanges_do_not_extend_the_lifetime_of_a_fact():
    first, second = Node("a.0"), Node("b.0")
    first.table.publish(Topic.LEAVING, "k", b"", 0.0, 10.0)
    for step in range(200):
        now = step * 0.1
        run_exchange(first, second, now + 0.05)
        run_exchange(second, first, now + 0.05)
        for node in (first, second):
            node.table.expire(now)
    assert first.read() == second.read() == {}


def test_fact_merged_out_of_order_does_not_hide_an_earlier_one():
    first, second = Node("a.0"), Node("b.0")
    first.table.publish(Topic.BLAME, "one", b"", 0.0, LIFETIME_S)
    first.table.publish(Topic.BLAME, "two", b"", 0.0, LIFETIME_S)
    second.table.merge(Fact(Incarnation("a.0"), Topic.BLAME, "two", b"", 2, LIFETIME_S))
    run_exchange(second, first, 0.0)
    assert second.read() == first.read()


def test_facts_after_an_unknown_topic_are_not_acknowledged():
    first, second = Node("a.0"), Node("b.0")
    items = [
        FactItem(1, "k1", b"", 1, 9000),
        FactItem(99, "k2", b"", 2, 9000),
        FactItem(1, "k3", b"", 3, 9000),
    ]
    first.table.publish(Topic.LEAVING, "k1", b"", 0.0, LIFETIME_S)
    stream = next(iter(first.table.buckets.values())).list_streams
    stream_id = next(s for bucket in range(8) for s in stream(bucket))
    second.reconciler.apply_deltas([Delta(stream_id, "a.0", 3, items)], 0.0)
    assert second.table.find_stream(stream_id).upto == 1


def test_malformed_messages_are_errors():
    for kind in (Digest, DigestReply, Transfer, TransferReply):
        for payload in (b"", b"\xff" * 9, b"\x1c\xff\xff"):
            assert decode(kind, payload).is_error()
