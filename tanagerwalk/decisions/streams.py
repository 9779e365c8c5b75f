"""Streams of facts: what one origin states, in the order in which it states it."""

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
    """How soon a fact has to be everywhere."""

    URGENT = "urgent"
    SLOW = "slow"


def derive_stream_id(origin, lane):
    """Return the 64-bit name of an origin's stream in a lane."""
    name = f"{lane.value}/{origin}".encode()
    digest = hashlib.blake2b(name, digest_size=8).digest()
    return StreamId(int.from_bytes(digest, "big", signed=True))


@dataclass(slots=True)
class Stream:
    """The facts of one origin in one lane.

    Parameters
    ----------
    id : StreamId
        Its name on the wire.
    origin : Incarnation
        Who states the facts.
    lane : Lane
        Its lane.
    upto : int
        Every statement up to this sequence number is held here, unless a newer
        one of the same key exists or its time has passed.
    facts : dict
        The facts held, by topic and key.
    """

    id: StreamId
    origin: Incarnation
    lane: Lane
    upto: int = 0
    facts: dict = field(default_factory=dict)

    def list_after(self, sequence):
        """Return the facts beyond a sequence number, oldest first."""
        if sequence >= self.upto:
            return []
        newer = [fact for fact in self.facts.values() if fact.sequence > sequence]
        return sorted(newer, key=lambda fact: fact.sequence)


class BucketIndex:
    """Groups the streams of a lane into buckets, each with a hash of its state.

    Two instances compare a few bytes a bucket and name only the streams of the
    buckets that differ.

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
        """Return the number of a stream's bucket."""
        return stream_id % len(self._hashes)

    def set(self, stream_id, upto):
        """Note the state of a stream; 0 removes it."""
        bucket = self.locate(stream_id)
        streams = self._streams[bucket]
        before = streams.pop(stream_id, 0)
        if before:
            self._hashes[bucket] ^= _hash_entry(stream_id, before)
        if upto:
            self._hashes[bucket] ^= _hash_entry(stream_id, upto)
            streams[stream_id] = upto

    def list_streams(self, bucket):
        """Return the state of each stream in a bucket, by stream id."""
        return self._streams[bucket]

    def pack(self):
        """Return the hashes of all buckets."""
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._hashes)

    def find_differing(self, packed):
        """Return the numbers of the buckets whose hash is another one.

        Parameters
        ----------
        packed : bytes
            Hashes of the other instance; of the wrong length, all differ.
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
    # A linear checksum would let two changes cancel each other out.
    entry = _ENTRY.pack(stream_id, upto)
    return int.from_bytes(
        hashlib.blake2b(entry, digest_size=HASH_BYTES).digest(), "big"
    )
