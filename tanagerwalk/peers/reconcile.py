"""Anti-entropy between two instances: each sends only the facts that the other lacks.

An exchange consists of a digest of bucket hashes, a reply that lists the streams of
the differing buckets and, if any stream differs, a transfer of facts in both
directions. This module does no I/O; the exchange controller sends the messages.
"""

import random as random_module

from ..decisions.facts import Fact, Topic, find_lane
from ..decisions.streams import Lane
from .gen.exchange.ttypes import (
    Delta,
    Digest,
    DigestReply,
    FactItem,
    Transfer,
    TransferReply,
)

# Numbers of the topics in messages.
NUMBER_BY_TOPIC = {
    Topic.LEAVING: 1,
    Topic.BLAME: 2,
    Topic.HALT: 3,
    Topic.RATINGS: 4,
}
TOPIC_BY_NUMBER = {number: topic for topic, number in NUMBER_BY_TOPIC.items()}

# Maximum number of streams in a reply; one bucket is listed even if it exceeds it.
MAX_LISTED_STREAMS = {Lane.URGENT: 256, Lane.SLOW: 48}
MAX_URGENT_BYTES = 16 * 1024
# Facts with less time left are not sent. Otherwise two instances could keep a fact
# alive by sending it back and forth.
MIN_LIFETIME_S = 1.0
MAX_LIFETIME_S = 2_000_000.0
MS_PER_S = 1000
# Estimated encoded size without the variable-length fields.
FACT_OVERHEAD_BYTES = 16
DELTA_OVERHEAD_BYTES = 20


class ByteBudget:
    """Token bucket that limits the bytes sent for facts of the slow lane.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Maximum number of unspent bytes.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._available = burst
        self._refilled_at = None

    def refill(self, now):
        """Add the bytes earned since the last call; return the bytes available."""
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * self._rate
            self._available = min(self._burst, self._available + earned)
        self._refilled_at = now
        return self._available

    def spend(self, size):
        """Subtract bytes; the budget may be overdrawn by one message."""
        self._available -= size


class Reconciler:
    """Creates, answers and applies the messages of exchanges for one instance.

    Parameters
    ----------
    table : FactTable
        Facts of this instance.
    budget : ByteBudget
        Limits the bytes sent for the slow lane.
    random : random.Random
        Shuffles buckets and streams, to choose what is sent if not all of it fits.
    """

    def __init__(self, table, budget, random=random_module):
        self._table = table
        self._budget = budget
        self._random = random

    def make_digest(self, news, include_slow):
        """Return the digest that opens an exchange.

        Parameters
        ----------
        news : DeclarationNews
            Declaration revision that this instance knows.
        include_slow : bool
            Whether to compare the slow lane as well.
        """
        slow = self._table.buckets[Lane.SLOW].pack() if include_slow else None
        return Digest(news, self._table.buckets[Lane.URGENT].pack(), slow)

    def answer_digest(self, digest, news):
        """Return the reply to a digest, listing the streams of differing buckets."""
        reply = DigestReply(news, [], [], [], [])
        reply.urgent_buckets = self._list_differing_buckets(
            Lane.URGENT, digest.urgent, reply
        )
        reply.slow_buckets = self._list_differing_buckets(Lane.SLOW, digest.slow, reply)
        return reply

    def _list_differing_buckets(self, lane, packed, reply):
        if packed is None:
            return []
        index = self._table.buckets[lane]
        differing = index.find_differing(packed)
        self._random.shuffle(differing)
        listed = []
        remaining = MAX_LISTED_STREAMS[lane]
        for bucket in differing:
            streams = index.list_streams(bucket)
            if listed and len(streams) > remaining:
                break
            listed.append(bucket)
            remaining -= len(streams)
            reply.streams.extend(streams.keys())
            reply.sequences.extend(streams.values())
        return listed

    def make_transfer(self, reply, now):
        """Return the transfer that follows a digest's reply, or None if it is empty."""
        peer_sequences = dict(zip(reply.streams, reply.sequences, strict=False))
        transfer = Transfer([], [], [])
        requested = {}
        for stream_id, sequence in peer_sequences.items():
            own = self._table.find_stream(stream_id)
            known = own.upto if own else 0
            if sequence > known and not self._table.owns(stream_id):
                requested[stream_id] = known
        peer_missing = {}
        for lane, buckets in self._pair_lanes_with_buckets(reply):
            for bucket in buckets:
                streams = self._list_bucket_streams(lane, bucket)
                for stream_id, sequence in streams.items():
                    if sequence > peer_sequences.get(stream_id, 0):
                        peer_missing[stream_id] = peer_sequences.get(stream_id, 0)
        transfer.deltas = self._make_deltas(peer_missing, now)
        transfer.streams = list(requested.keys())
        transfer.sequences = list(requested.values())
        if not transfer.deltas and not requested:
            return None
        return transfer

    def _pair_lanes_with_buckets(self, reply):
        return (
            (Lane.URGENT, reply.urgent_buckets),
            (Lane.SLOW, reply.slow_buckets),
        )

    def _list_bucket_streams(self, lane, bucket):
        index = self._table.buckets[lane]
        if not 0 <= bucket < index.count:
            return {}
        return index.list_streams(bucket)

    def answer_transfer(self, transfer, now):
        """Apply the deltas of a peer's transfer; return the deltas it requests."""
        self.apply_deltas(transfer.deltas, now)
        requested = dict(zip(transfer.streams, transfer.sequences, strict=False))
        return TransferReply(self._make_deltas(requested, now))

    def _make_deltas(self, known, now):
        """Return deltas with the facts after the sequence numbers in `known`.

        Parameters
        ----------
        known : dict
            Sequence number up to which the peer has the facts, by stream id.
        now : float
            Monotonic time in seconds.
        """
        streams = [self._table.find_stream(stream_id) for stream_id in known]
        streams = [stream for stream in streams if stream is not None]
        self._random.shuffle(streams)
        remaining = {Lane.URGENT: MAX_URGENT_BYTES, Lane.SLOW: self._budget.refill(now)}
        deltas = []
        for stream in streams:
            if remaining[stream.lane] <= 0:
                continue
            delta, size = _make_delta(
                stream, known[stream.id], now, remaining[stream.lane]
            )
            remaining[stream.lane] -= size
            if stream.lane is Lane.SLOW:
                self._budget.spend(size)
            deltas.append(delta)
        return deltas

    def apply_deltas(self, deltas, now):
        """Merge deltas of a peer; return the number of new facts."""
        return sum(self._apply_delta(delta, now) for delta in deltas)

    def _apply_delta(self, delta, now):
        stream = self._table.find_stream(delta.stream)
        origin = stream.origin if stream else delta.origin
        if origin is None or origin == self._table.origin:
            return 0
        new_count = 0
        upto = delta.upto
        lanes = set()
        for item in delta.facts:
            topic = TOPIC_BY_NUMBER.get(item.topic)
            if topic is None:
                # The peer runs a newer version that has more topics. Advance only to
                # the fact before, since this instance can't pass on the rest.
                upto = item.sequence - 1
                break
            lanes.add(find_lane(topic))
            expires = now + item.lifetime_ms / MS_PER_S
            new_count += self._table.merge(
                Fact(origin, topic, item.key, item.value, item.sequence, expires)
            )
        if stream is not None:
            lanes.add(stream.lane)
        if len(lanes) == 1:
            self._table.advance(origin, lanes.pop(), upto)
        return new_count


def _make_delta(stream, known, now, remaining):
    """Return a delta with facts after `known`, and its estimated size in bytes.

    It is cut after the fact that reaches `remaining` bytes.
    """
    origin = None if known else stream.origin
    size = DELTA_OVERHEAD_BYTES + len(origin or "")
    items = []
    upto = stream.upto
    for fact in stream.list_after(known):
        if size >= remaining:
            upto = items[-1].sequence if items else known
            break
        lifetime = min(fact.expires - now, MAX_LIFETIME_S)
        if lifetime < MIN_LIFETIME_S:
            continue
        size += FACT_OVERHEAD_BYTES + len(fact.key) + len(fact.value)
        items.append(
            FactItem(
                NUMBER_BY_TOPIC[fact.topic],
                fact.key,
                fact.value,
                fact.sequence,
                int(lifetime * MS_PER_S),
            )
        )
    return Delta(stream.id, origin, upto, items), size
