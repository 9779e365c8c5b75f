"""Facts that entry instances share: each has one origin and only grows newer."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..ids import Incarnation


class Topic(Enum):
    """What a fact is about."""

    LEAVING = "leaving"
    BLAME = "blame"
    HALT = "halt"
    RATINGS = "ratings"
    EXPOSURE = "exposure"


@dataclass(frozen=True, slots=True)
class Fact:
    """One shared fact.

    Parameters
    ----------
    origin : Incarnation
        The instance that stated it.
    topic : Topic
        What it is about.
    key : str
        Unique within origin and topic.
    value : bytes
        The newest value; its encoding belongs to the topic's owner.
    sequence : int
        Grows with each statement of the origin.
    expires : float
        Monotonic time after which it is forgotten, in seconds.
    """

    origin: Incarnation
    topic: Topic
    key: str
    value: bytes
    sequence: int
    expires: float


Subscriber = Callable[[Fact], None]


class FactTable:
    """Holds the newest value of every fact.

    Merging is commutative and idempotent, so facts may arrive in any order, from
    any peer and any number of times.

    Parameters
    ----------
    origin : Incarnation
        This instance.
    """

    def __init__(self, origin):
        self.origin = origin
        self._facts: dict[tuple[Incarnation, Topic, str], Fact] = {}
        self._subscribers: dict[Topic, list[Subscriber]] = {}
        self._sequence = 0

    def subscribe(self, topic, subscriber):
        """Call `subscriber` with each newer fact of a topic from another origin."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    def state(self, topic, key, value, now, lifetime):
        """State a fact of this instance.

        Parameters
        ----------
        topic : Topic
            What it is about.
        key : str
            Replaces the earlier value of the same key.
        value : bytes
            The value.
        now : float
            Monotonic time in seconds.
        lifetime : float
            Seconds until it is forgotten.
        """
        self._sequence += 1
        self._keep(Fact(self.origin, topic, key, value, self._sequence, now + lifetime))

    def merge(self, fact):
        """Take a fact from a peer; return whether it was newer.

        Parameters
        ----------
        fact : Fact
            Its `expires` is in this instance's monotonic time.
        """
        if fact.origin == self.origin or not self._keep(fact):
            return False
        for subscriber in self._subscribers.get(fact.topic, ()):
            subscriber(fact)
        return True

    def _keep(self, fact):
        identity = (fact.origin, fact.topic, fact.key)
        known = self._facts.get(identity)
        if known is not None and known.sequence >= fact.sequence:
            return False
        self._facts[identity] = fact
        return True

    def list_facts(self, topic=None):
        """Return the facts of one topic, or of all."""
        return [fact for fact in self._facts.values() if topic in (None, fact.topic)]

    def expire(self, now):
        """Forget the facts whose time has passed."""
        for identity, fact in list(self._facts.items()):
            if fact.expires <= now:
                del self._facts[identity]
