"""Streams: the facts of one origin and lane, ordered by sequence number."""

import hashlib
import struct
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from ..ids import Incarnation

StreamId = NewType("StreamId", int)

HASH_BYTES = 4

_ENTRY = struct.Struct("!qQ")


class Lane(Enum):
    """Priority with which facts are replicated; each lane has its own streams."""

    URGENT = "urgent"
    SLOW = "slow"


def derive_stream_id(origin, lane):
    """Return the 64-bit id of an origin's stream in a lane."""
    name = f"{lane.value}/{origin}".encode()
    digest = hashlib.blake2b(name, digest_size=8).digest()
    return StreamId(int.from_bytes(digest, "big", signed=True))


@dataclass(slots=True)
class Stream:
    """The facts of one origin in one lane.

    Parameters
    ----------
    id : StreamId
        Its id on the wire.
    origin : Incarnation
        The instance that publishes the facts.
    lane : Lane
        Its lane.
    upto : int
        Every fact up to this sequence number is stored, unless it expired or was
        replaced by a newer fact with the same key.
    facts : dict
        The stored facts, by topic and key.
    """

    id: StreamId
    origin: Incarnation
    lane: Lane
    upto: int = 0
    facts: dict = field(default_factory=dict)

    def list_after(self, sequence):
        """Return the facts after a sequence number, oldest first."""
        if sequence >= self.upto:
            return []
        newer = [fact for fact in self.facts.values() if fact.sequence > sequence]
        return sorted(newer, key=lambda fact: fact.sequence)


class BucketIndex:
    """Groups the streams of a lane into buckets, each with a hash of its state.

    Two instances compare one short hash per bucket and exchange the stream ids of
    differing buckets only.

    Parameters
    ----------
    count : int
        Number of buckets.
    """

    def __init__(self, count):
        self.count = count
        self._streams = [{} for _ in range(count)]
        self._hashes = [0] * count

    def locate(self, stream_id):
        """Return the index of a stream's bucket."""
        return stream_id % len(self._hashes)

    def set(self, stream_id, upto):
        """Set the sequence number that a stream has reached; 0 removes the stream."""
        bucket = self.locate(stream_id)
        streams = self._streams[bucket]
        before = streams.pop(stream_id, 0)
        if before:
            self._hashes[bucket] ^= _hash_entry(stream_id, before)
        if upto:
            self._hashes[bucket] ^= _hash_entry(stream_id, upto)
            streams[stream_id] = upto

    def list_streams(self, bucket):
        """Return the sequence number of each stream in a bucket, by stream id."""
        return self._streams[bucket]

    def pack(self):
        """Return the concatenated hashes of all buckets."""
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._hashes)

    def find_differing(self, packed):
        """Return the indexes of the buckets whose hashes differ.

        Parameters
        ----------
        packed : bytes
            Hashes from the other instance. If the length differs, all buckets are
            returned.
        """
        own = self.pack()
        if len(packed) != len(own):
            return list(range(len(self._hashes)))
        return [
            bucket
            for bucket in range(len(self._hashes))
            if own[bucket * HASH_BYTES : (bucket + 1) * HASH_BYTES]
            != packed[bucket * HASH_BYTES : (bucket + 1) * HASH_BYTES]
        ]


def _hash_entry(stream_id, upto):
    # The hashes are combined by XOR; with a linear checksum, two changes could cancel
    # each other out.
    entry = _ENTRY.pack(stream_id, upto)
    return int.from_bytes(
        hashlib.blake2b(entry, digest_size=HASH_BYTES).digest(), "big"
    )
