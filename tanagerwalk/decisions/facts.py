"""Replicated facts: each is written by one origin and ordered by a sequence number."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..ids import Incarnation
from .streams import BucketIndex, Lane, Stream, derive_stream_id


class Topic(Enum):
    """Kind of a fact."""

    LEAVING = "leaving"
    BLAME = "blame"
    HALT = "halt"
    RATINGS = "ratings"


@dataclass(frozen=True, slots=True)
class Fact:
    """One fact that entry instances replicate.

    Parameters
    ----------
    origin : Incarnation
        The instance that published it.
    topic : Topic
        Its kind.
    key : str
        Unique within origin and topic.
    value : bytes
        The value, encoded by the component that owns the topic.
    sequence : int
        Increases with each fact that the origin publishes.
    expires : float
        Monotonic time at which it is deleted, in seconds.
    """

    origin: Incarnation
    topic: Topic
    key: str
    value: bytes
    sequence: int
    expires: float


Subscriber = Callable[[Fact], None]

SLOW_TOPICS = frozenset({Topic.RATINGS})
URGENT_BUCKETS = 8
SLOW_BUCKETS = 16


def find_lane(topic):
    """Return the lane in which facts of a topic are replicated."""
    return Lane.SLOW if topic in SLOW_TOPICS else Lane.URGENT


class FactTable:
    """Holds the newest value of every fact.

    Merging is commutative and idempotent, so facts may arrive in any order, from
    any peer and any number of times.

    Parameters
    ----------
    origin : Incarnation
        This instance.

    Attributes
    ----------
    buckets : dict of Lane to BucketIndex
        Bucket hashes of the streams, for comparison with a peer.
    """

    def __init__(self, origin):
        self.origin = origin
        self.buckets = {
            Lane.URGENT: BucketIndex(URGENT_BUCKETS),
            Lane.SLOW: BucketIndex(SLOW_BUCKETS),
        }
        self._streams = {}
        self._topics = {topic: {} for topic in Topic}
        self._subscribers: dict[Topic, list[Subscriber]] = {}
        self._sequence = 0

    def subscribe(self, topic, subscriber):
        """Call `subscriber` with each new or updated fact of another origin."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    def publish(self, topic, key, value, now, lifetime):
        """Publish a fact of this instance.

        Parameters
        ----------
        topic : Topic
            Its kind.
        key : str
            Identifies the fact; an earlier value of the same key is replaced.
        value : bytes
            The value.
        now : float
            Monotonic time in seconds.
        lifetime : float
            Seconds until it is deleted.
        """
        self._sequence += 1
        fact = Fact(self.origin, topic, key, value, self._sequence, now + lifetime)
        self._store_if_newer(fact)
        self.advance(self.origin, find_lane(topic), self._sequence)

    def merge(self, fact):
        """Merge a fact received from a peer; return whether it was newer.

        Parameters
        ----------
        fact : Fact
            The fact, with `expires` converted to this instance's monotonic time.
        """
        if fact.origin == self.origin or not self._store_if_newer(fact):
            return False
        for subscriber in self._subscribers.get(fact.topic, ()):
            subscriber(fact)
        return True

    def advance(self, origin, lane, upto):
        """Record that all facts of a stream up to a sequence number were received.

        Parameters
        ----------
        origin : Incarnation
            Origin of the stream.
        lane : Lane
            Lane of the stream.
        upto : int
            The sequence number.
        """
        stream = self._streams.get(derive_stream_id(origin, lane))
        if stream is None or stream.upto >= upto:
            return
        stream.upto = upto
        self.buckets[lane].set(stream.id, upto)

    def find_stream(self, stream_id):
        """Return a stream, or None if no fact of it is stored."""
        return self._streams.get(stream_id)

    def owns(self, stream_id):
        """Return whether a stream originates at this instance."""
        return any(stream_id == derive_stream_id(self.origin, lane) for lane in Lane)

    def _store_if_newer(self, fact):
        stream = self._find_or_add(fact.origin, find_lane(fact.topic))
        known = stream.facts.get((fact.topic, fact.key))
        if known is not None and known.sequence >= fact.sequence:
            return False
        stream.facts[(fact.topic, fact.key)] = fact
        self._topics[fact.topic][(fact.origin, fact.key)] = fact
        return True

    def _find_or_add(self, origin, lane):
        stream_id = derive_stream_id(origin, lane)
        stream = self._streams.get(stream_id)
        if stream is None:
            stream = Stream(stream_id, origin, lane)
            self._streams[stream_id] = stream
        return stream

    def list_facts(self, topic=None):
        """Return the facts of one topic, or of all topics."""
        topics = Topic if topic is None else (topic,)
        return [fact for other in topics for fact in self._topics[other].values()]

    def expire(self, now):
        """Delete expired facts, and streams that have no facts left."""
        for stream in list(self._streams.values()):
            expired = [f for f in stream.facts.values() if f.expires <= now]
            for fact in expired:
                del stream.facts[(fact.topic, fact.key)]
                del self._topics[fact.topic][(fact.origin, fact.key)]
            if not stream.facts:
                del self._streams[stream.id]
                self.buckets[stream.lane].set(stream.id, 0)
