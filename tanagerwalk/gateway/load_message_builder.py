"""Builds the messages of a round, each of which fits a packet."""

from dataclasses import dataclass, field

from ..decisions.relays import Scope
from ..decisions.server_speed_samples import SpeedSamples
from ..decisions.server_statements import Statement
from ..decisions.shared_loads import SharedLoad
from ..peers.gen.loads.ttypes import LoadMessage
from .demand_messages import encode_demand
from .load_messages import (
    encode_blame,
    encode_brittleness,
    encode_cold_time,
    encode_latencies,
    encode_limit,
    encode_load,
    encode_sides,
    encode_tally,
)
from .permit_notes import encode_permit_note
from .server_speed_messages import encode_speed
from .session_notes import encode_note

# Keep a message within one packet of 1,400 bytes.
MAX_LOADS = 60
MAX_SIDES = 80
MAX_SIDE_MESSAGES = 4
MAX_BLAMES = 16
MAX_NOTES = 20
MAX_SPEEDS = 40
MAX_DEMANDS = 4
MAX_COLD_SERVERS = 60


@dataclass(frozen=True, slots=True)
class Contents:
    """What one round of messages tells about an instance, a domain or the fleet.

    Parameters
    ----------
    scope : Scope
        Whose data this is.
    loads : dict of int to SharedLoad
        Loads by server hash.
    blames : dict of Fingerprint to CrashRecord
        Crashes by the request that caused them.
    sides : dict of (ServiceName, int) to bool
        Side overrides by service and session hash.
    tallies : dict of (ServiceName, int) to Tally
        Tallies of the active roll-outs.
    leaving : tuple of int
        Servers that have said that they leave, by `hash_life`.
    limits : dict of int to Statement
        Limits that servers name, by `hash_life`.
    brittle : dict of int to Statement
        Rejections per second that servers bear, by `hash_life`.
    speeds : dict of int to SpeedSamples
        What answers show of the servers' speeds, by `hash_life`; empty in the rounds
        that don't tell it.
    cold : dict of int to float
        Seconds for which servers that have started anew stay cold, by `hash_life`.
    """

    scope: Scope
    loads: dict[int, SharedLoad]
    blames: dict
    sides: dict
    tallies: dict
    leaving: tuple[int, ...] = ()
    limits: dict[int, Statement] = field(default_factory=dict)
    brittle: dict[int, Statement] = field(default_factory=dict)
    speeds: dict[int, SpeedSamples] = field(default_factory=dict)
    cold: dict[int, float] = field(default_factory=dict)

    @property
    def is_empty(self):
        """Whether nothing but tallies would be told."""
        of_servers = (
            self.leaving,
            self.limits,
            self.brittle,
            self.speeds,
            self.cold,
        )
        return not any((self.loads, self.blames, self.sides, *of_servers))


class LoadMessageBuilder:
    """Builds load messages of one instance.

    Parameters
    ----------
    incarnation : str
        Id of this instance, new at every start.
    failure_domain : FailureDomain
        Where this instance runs.
    random : random.Random
        Draws samples of what does not fit.
    """

    def __init__(self, incarnation, failure_domain, random):
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._random = random
        self._sequence = 0

    def build_notes(self, notes):
        """Yield the messages that hold some SessionNotes."""
        encoded = [encode_note(note) for note in notes]
        for start in range(0, len(encoded), MAX_NOTES):
            part = encoded[start : start + MAX_NOTES]
            yield self._build_message(Scope.INSTANCE, notes=part)

    def build_permit_notes(self, notes):
        """Yield a message for each PermitNote."""
        for note in notes:
            permits = [encode_permit_note(note)]
            yield self._build_message(Scope.INSTANCE, permits=permits)

    def build_demands(self, scope, demands):
        """Yield the messages that tell of Demands, given by service."""
        encoded = [encode_demand(*item) for item in demands.items()]
        for start in range(0, len(encoded), MAX_DEMANDS):
            part = encoded[start : start + MAX_DEMANDS]
            yield self._build_message(scope, demands=part)

    def build(self, contents):
        """Yield the messages of one round for some Contents."""
        # What is urgent goes first, since a full link drops the last messages.
        yield from self.build_blames(contents.scope, contents.blames)
        yield from self._build_cold_times(contents)
        if contents.limits:
            limits = [encode_limit(*item) for item in contents.limits.items()]
            yield self._build_message(contents.scope, limits=limits)
        if contents.brittle:
            brittle = [encode_brittleness(*item) for item in contents.brittle.items()]
            yield self._build_message(contents.scope, brittle=brittle)
        parts = -(-len(contents.loads) // MAX_LOADS) or 1
        tallies = [encode_tally(*key, tally) for key, tally in contents.tallies.items()]
        for part in range(parts):
            loads = [
                encode_load(key, load)
                for key, load in contents.loads.items()
                if key % parts == part
            ]
            yield self._build_message(
                contents.scope,
                part,
                parts,
                loads=loads,
                tallies=tallies or None,
                leaving=list(contents.leaving) or None,
            )
        for key, tally in contents.tallies.items():
            for latencies in encode_latencies(*key, tally):
                yield self._build_message(contents.scope, tallies=[latencies])
        yield from self._build_speeds(contents)
        sides = self._choose_sides(contents.sides)
        for start in range(0, len(sides), MAX_SIDES):
            part_sides = encode_sides(dict(sides[start : start + MAX_SIDES]))
            yield self._build_message(contents.scope, sides=part_sides)

    def _build_cold_times(self, contents):
        """Yield the messages that tell of servers that have started anew."""
        cold = [encode_cold_time(*item) for item in contents.cold.items()]
        for start in range(0, len(cold), MAX_COLD_SERVERS):
            yield self._build_message(
                contents.scope, cold=cold[start : start + MAX_COLD_SERVERS]
            )

    def build_blames(self, scope, records):
        """Yield the messages that tell of crashes."""
        blames = [encode_blame(record, key) for key, record in records.items()]
        for start in range(0, len(blames), MAX_BLAMES):
            yield self._build_message(scope, blames=blames[start : start + MAX_BLAMES])

    def _build_speeds(self, contents):
        """Yield the messages that tell of speeds, split into parts like the loads."""
        parts = -(-len(contents.speeds) // MAX_SPEEDS)
        for part in range(parts):
            speeds = [
                encode_speed(life, samples)
                for life, samples in contents.speeds.items()
                if life % parts == part
            ]
            yield self._build_message(contents.scope, part, parts, speeds=speeds)

    def _build_message(self, scope, part=0, parts=1, **sections):
        # Each message has its own number, as receivers drop a second equal one as a
        # replay.
        self._sequence += 1
        return LoadMessage(
            self._incarnation,
            self._sequence,
            scope=scope.value,
            domain=self._failure_domain,
            part=part,
            parts=parts,
            **sections,
        )

    def _choose_sides(self, sides):
        """Return the sessions' sides to tell of; a sample if there are many."""
        count = min(len(sides), MAX_SIDES * MAX_SIDE_MESSAGES)
        return self._random.sample(list(sides.items()), count)
