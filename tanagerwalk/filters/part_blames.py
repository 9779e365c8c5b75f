"""Blame of the messages that requests share for crashes of backend servers."""

import msgspec
import structlog

from ..decisions.facts import Topic
from ..decisions.part_records import (
    CrashWeight,
    PartRecord,
    is_part_key,
    list_shared_keys,
)
from ..decisions.quarantine import QuarantineState
from ..documents import decode_json

log = structlog.get_logger(__name__)

KNOWN_WEIGHTS = frozenset(CrashWeight)

# An engine that has generated this many pieces did not crash on the prompt.
MAX_PIECES_JUST_BEGUN = 8


class _BlameValue(msgspec.Struct):
    """The value of a fact about a part; `answered_ago` is in seconds."""

    crashes: dict[str, int]
    depth: int
    answered_ago: float | None = None


class PartBlames:
    """Exchanges crashes and answers of shared messages with the peers.

    Parameters
    ----------
    parts : PartQuarantine
        Finds the guilty parts.
    facts : FactTable
        Exchanges the records with the peers.
    lifetime : float
        Lifetime of a record, in seconds.
    is_first_in_line : callable
        Takes a PartKey and returns whether this instance tries it again, of all
        instances.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, parts, facts, lifetime, is_first_in_line, clock):
        self._parts = parts
        self._facts = facts
        self._lifetime = lifetime
        self._is_first_in_line = is_first_in_line
        self._clock = clock
        facts.subscribe(Topic.BLAME, self._handle_fact)

    @property
    def explained(self):
        """Crashed servers for which a guilty part is to blame."""
        return self._parts.explained

    def is_guilty(self, context):
        """Return whether a part of a request is quarantined."""
        return self._find_guilty(context) is not None

    def refuses(self, context):
        """Return whether a request that has come is refused for one of its parts."""
        part = self._find_guilty(context)
        if part is None:
            return False
        now = self._clock()
        self._parts.renew(part, now)
        if self._is_first_in_line(part) and self._parts.take_trial(part, now):
            log.info("trial of a quarantined part", part=part)
            return False
        return True

    def _find_guilty(self, context):
        now = self._clock()
        for part in context.shared_parts:
            if self._parts.get_state(part, now) is QuarantineState.QUARANTINED:
                return part
        return None

    def record_answer(self, context):
        """Record that a request was answered."""
        for part in self._parts.record_answer(context.shared_parts, self._clock()):
            self._publish(part)

    def record_crash(self, context, failure, server, domain_size):
        """Record that the server of a request has crashed.

        Parameters
        ----------
        context : RequestContext
            The request.
        failure : AttemptFailure
            How its attempt ended.
        server : ServerRecord
            The server.
        domain_size : int
            Number of servers listed in its failure domain.
        """
        if len(context.generated) > MAX_PIECES_JUST_BEGUN:
            return
        weight = CrashWeight.BEGUN if failure.has_begun else CrashWeight.PRESENT
        blamed = self._parts.record_crash(
            context.shared_parts, server, domain_size, weight, self._clock()
        )
        for part in blamed:
            log.info("crash blamed on a part", part=part, server=server.id)
            self._publish(part)

    def _publish(self, part):
        now = self._clock()
        record = self._parts.find_record(part, now)
        if record is None:
            return
        value = _BlameValue(
            {life: int(weight) for life, weight in record.crashes.items()},
            record.depth,
            record.answered_ago,
        )
        encoded = msgspec.json.encode(value)
        self._facts.publish(Topic.BLAME, part, encoded, now, self._lifetime)

    def _handle_fact(self, fact):
        if not is_part_key(fact.key):
            return
        decoded = decode_json(fact.value, _BlameValue)
        if decoded.is_error():
            log.warning("cannot decode blame of a part", problem=decoded.error)
            return
        value = decoded.ok
        weights = set(value.crashes.values())
        if not weights <= KNOWN_WEIGHTS:
            log.warning("unknown weights of crashes", weights=sorted(weights))
            return
        crashes = {life: CrashWeight(weight) for life, weight in value.crashes.items()}
        now = self._clock()
        lifetime = fact.expires - now
        answered_ago = value.answered_ago
        if answered_ago is not None:
            # The fact may have been under way for a while.
            answered_ago += max(0.0, self._lifetime - lifetime)
        record = PartRecord(crashes, max(0, value.depth), lifetime, answered_ago)
        is_news = self._parts.merge_record(fact.key, record, now)
        if is_news and self._parts.is_answered(fact.key, now):
            self._publish(fact.key)


def list_shared_messages(payload):
    """Return the keys of the messages of a chat that other requests may share.

    Parameters
    ----------
    payload : dict
        The body of the request.

    Returns
    -------
    tuple of PartKey
        All messages but the last, in order; empty without a list of messages.
    """
    messages = payload.get("messages")
    if not isinstance(messages, list):
        return ()
    encoded = [
        msgspec.json.encode(message, order="deterministic").decode()
        for message in messages
    ]
    return list_shared_keys(encoded)
