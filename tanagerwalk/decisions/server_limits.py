"""Limits of servers on the requests of all instances together.

A server may name a limit, and one that is cold has one. It is shared by some instances,
the first ones in a rendezvous order; in a small fleet by all. The intervals of the
instances begin at random times, and a request that isn't sent soon after its interval
began is not sent later, so that an idle fleet doesn't send all at once.

An instance may give a slot of its own part to another one, which then sends the request
in its place.
"""

import math
from collections import Counter
from dataclasses import dataclass

from ..repeated_warnings import RepeatedWarning
from .booking_horizon import BookingHorizon
from .cold_servers import ColdServers
from .limit_parts import (
    NO_PARTS,
    divide_by_registration,
    divide_cold_limit,
    divide_stated_limit,
)
from .rendezvous import is_among_first, rank_members
from .send_slots import SEND_WINDOW_S, SendSlot
from .server_statements import NEWS_LIFETIME_S, ServerStatements
from .uncomputable import NUMBER_FAULTS

# Seconds from the planned time of a request until it is sent at the latest.
MAX_SEND_DELAY_S = 0.5
# Share of the limit of a cold server that is used by instances that have just started:
# others may divide it among the members that they know.
SETTLING_SHARE = 0.5
# Seconds after its own registration in which an instance counts as just started: all
# that started with it have registered by then.
SETTLE_S = 6.0
# Seconds for which a server gets nothing whose limit can't be computed. Its answers, of
# which there are none meanwhile, could not take the limit back. Longer than news are
# told, so that no instance tells its end as the word of the server.
LEFT_OUT_S = 2.0 + NEWS_LIFETIME_S


@dataclass(frozen=True, slots=True)
class LimitQueue:
    """How servers with limits take the requests of this instance.

    Parameters
    ----------
    wait : float
        Seconds until the next request may be sent; infinite if none ever is.
    rate : float
        Requests per second from then on.
    """

    wait: float
    rate: float

    def estimate_wait(self, waiting):
        """Return the seconds until a request is sent that has others before it."""
        if self.rate <= 0.0:
            return math.inf
        return self.wait + waiting / self.rate


class _Settling:
    """What an instance that has just started knows of its registration.

    Attributes
    ----------
    registered_before : tuple of str or None
        Incarnations that registered before it; None until it has read its own entry.
    registered_at : float
        Monotonic time in seconds at which it first read its own entry.
    """

    def __init__(self):
        self.registered_before = None
        self.registered_at = math.inf

    def record(self, registered_before, now):
        self.registered_before = registered_before
        self.registered_at = min(self.registered_at, now)


class ServerLimits:
    """The limits by `hash_life` of their servers, and the own part of each.

    Parameters
    ----------
    random : random.Random
        Spreads the requests of the instances over time.

    Attributes
    ----------
    booking_horizon : BookingHorizon
        How far ahead slots are granted to other instances.
    cold : ColdServers
        The servers whose limits come from being cold.
    waiting : Counter of ServiceName
        Requests of this instance that wait for a server with a limit.
    wait_count, refusal_count : int
        Requests so far that have waited for such a server, and that could not.
    get_copy_age : callable
        Returns the age in seconds of the copy of the store that lists the members.
    """

    def __init__(self, random):
        self._random = random
        self._statements = ServerStatements()
        # When the next request of this instance may be sent, by `hash_life`.
        self._next_at = {}
        self._own_id = ""
        self._peer_ids = ()
        # How many instances have a part of each limit, and whether this one has.
        self._parts = {}
        # All instances in the rendezvous order of each limit, by `hash_life`.
        self._ranked = {}
        self._settling = None
        self._uncomputable = RepeatedWarning("limit can't be computed")
        self.get_copy_age = _get_no_age
        self.booking_horizon = BookingHorizon()
        self.cold = ColdServers()
        self.waiting = Counter()
        self.wait_count = 0
        self.refusal_count = 0

    def set_members(self, own_id, peer_ids):
        """Replace the instances that share the limits, given by their incarnations."""
        self._own_id = own_id
        self._peer_ids = tuple(peer_ids)
        self._forget_parts()

    def begin_settling(self):
        """Record that this instance has just started and may not know all others.

        Until SETTLE_S after its registration, it has a part of the limit of a cold
        server only by its rank in the order of registration, in which those before it
        are known for certain.
        """
        self._settling = _Settling()
        self._forget_parts()

    def set_registered(self, registered_before, now):
        """Record that this instance has registered.

        Parameters
        ----------
        registered_before : sequence of str
            Incarnations that are registered and did so before, the first one first.
        now : float
            Monotonic time in seconds.
        """
        if self._settling is None:
            return
        self._settling.record(tuple(registered_before), now)
        self._forget_parts()

    def _forget_parts(self):
        self._parts.clear()
        self._ranked.clear()

    def _is_settling(self, now):
        settling = self._settling
        if settling is None:
            return False
        if now - settling.registered_at < SETTLE_S + self.get_copy_age():
            return True
        self._settling = None
        self._forget_parts()
        return False

    @property
    def is_empty(self):
        """Whether no server has a limit."""
        return self._statements.is_empty and self.cold.is_empty

    def record(self, life, rate, now):
        """Record the limit in an answer of a server; see `ServerStatements.record`."""
        is_news = self._statements.record(life, rate, now)
        self._begin(life, self._find_parts(life, now), now)
        return is_news

    def merge(self, life, statement, now):
        """Merge the Statement of another instance; return whether it was not known."""
        is_news = self._statements.merge(life, statement, now)
        self._begin(life, self._find_parts(life, now), now)
        return is_news

    def _begin(self, life, parts, now):
        """Choose when the first request may be sent to a server, if it has a limit."""
        if parts is None:
            self._next_at.pop(life, None)
        elif life not in self._next_at:
            self._next_at[life] = now + parts.interval * self._random.random()

    def list_news(self, now):
        """Return the newest Statement by `hash_life`, and drop what is outdated.

        A limit that can't be computed is not told.
        """
        news = self._statements.list_news(now)
        return {
            life: statement
            for life, statement in news.items()
            if self._divide_stated(life, now) is not NO_PARTS
        }

    def forget(self, life):
        """Forget the limit of a server that has ended."""
        self._statements.forget(life)
        self.cold.forget(life)
        self._next_at.pop(life, None)
        self._parts.pop(life, None)
        self._ranked.pop(life, None)

    def has_limit(self, life, now):
        """Return whether a server is cold, or has named a limit and not ended it."""
        return self._find_parts(life, now) is not None

    def find_wait(self, life, now):
        """Return the seconds until this instance may send a request to a server.

        Infinite if it has no part of the server's limit.
        """
        parts = self._find_parts(life, now)
        if parts is None:
            return 0.0
        if not self._has_part(life, parts):
            return math.inf
        return max(0.0, self._find_next(life, parts, now) - now)

    def take_slot(self, life, now, max_wait=0.0):
        """Take the next slot of the own part of a limit, for a request to be sent.

        Parameters
        ----------
        life : int
            `hash_life` of the server.
        now : float
            Monotonic time in seconds.
        max_wait : float
            Seconds in which the slot has to begin.

        Returns
        -------
        SendSlot or None
            None if the server has no limit, or no slot begins in time.
        """
        if self.find_wait(life, now) > max_wait:
            return None
        parts = self._find_parts(life, now)
        if parts is None:
            return None
        planned_at = self._find_next(life, parts, now)
        begins_at = max(planned_at, now)
        ends_at = begins_at + SEND_WINDOW_S
        # However late in its slot a request is sent, the next one isn't too close.
        next_at = (ends_at if parts.is_spaced else planned_at) + parts.interval
        self._next_at[life] = next_at
        return SendSlot(life, begins_at, ends_at, next_at if parts.is_spaced else None)

    def _begin_next_sooner(self, slot, now):
        """Let the next slot begin sooner, since a request was sent before its end."""
        if slot.next_at is not None and self._next_at.get(slot.life) == slot.next_at:
            self._next_at[slot.life] -= max(0.0, slot.ends_at - now)

    def admit(self, life, slot, now):
        """Return whether a request may be sent to a server now, and count it if so.

        Parameters
        ----------
        life : int
            `hash_life` of the server.
        slot : SendSlot or None
            What was taken for the request; None if the server had no limit then.
        now : float
            Monotonic time in seconds.
        """
        if not self.has_limit(life, now):
            return True
        if slot is None:
            slot = self.take_slot(life, now)
        if slot is None or not slot.is_open(now):
            return False
        self._begin_next_sooner(slot, now)
        return True

    def list_holders(self, life, now):
        """Return the other instances that have a part of a server's limit.

        Parameters
        ----------
        life : int
            `hash_life` of the server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of str
            Incarnations, without a certain order; those with a part as this instance
            knows the members.
        """
        parts = self._find_parts(life, now)
        if parts is None:
            return []
        ranked = self._ranked.get(life)
        if ranked is None:
            ranked = rank_members(b"%d" % life, (self._own_id, *self._peer_ids))
            self._ranked[life] = ranked
        holders = [m for m in ranked[: parts.count] if m != self._own_id]
        if not parts.by_registration:
            return holders
        # All may have started at once.
        registered_before = self._settling.registered_before or ()
        return list(dict.fromkeys((*registered_before[: parts.count], *holders)))

    def find_rate(self, life, now):
        """Return the requests per second of this instance's part of a limit."""
        parts = self._find_parts(life, now)
        if parts is None or not self._has_part(life, parts):
            return 0.0
        return 1.0 / parts.interval

    def _find_parts(self, life, now):
        """Return the LimitParts of a server, or None if it has no limit."""
        members = 1 + len(self._peer_ids)
        parts = self._divide_stated(life, now)
        cold_limit = self.cold.find_limit(life, now)
        if cold_limit is None:
            return parts
        if self._is_settling(now):
            # Any number may have started at the same time.
            cold_parts = divide_by_registration(cold_limit.scale(SETTLING_SHARE))
        else:
            cold_parts = divide_cold_limit(cold_limit, members)
        return cold_parts if parts is None else parts.restrict(cold_parts)

    def _divide_stated(self, life, now):
        """Return the LimitParts of what a server names, or None if it names nothing.

        Without a result, the server gets nothing for LEFT_OUT_S, and the others are
        used; then it is asked as if it had named nothing.
        """
        rate = self._statements.get(life)
        if rate is None:
            return None
        try:
            return divide_stated_limit(rate, 1 + len(self._peer_ids))
        except NUMBER_FAULTS as error:
            self._uncomputable.record(life=life, problem=repr(error))
        if now - self._statements.find_heard_at(life) <= LEFT_OUT_S:
            return NO_PARTS
        self._statements.drop_value(life)
        return None

    def _has_part(self, life, parts):
        if parts.by_registration:
            registered_before = self._settling.registered_before
            return (
                registered_before is not None and len(registered_before) < parts.count
            )
        known_count, has_part = self._parts.get(life, (0, False))
        if known_count != parts.count:
            key = b"%d" % life
            has_part = is_among_first(key, self._own_id, self._peer_ids, parts.count)
            self._parts[life] = parts.count, has_part
        return has_part

    def _find_next(self, life, parts, now):
        """Return when the next request may be sent, without those not sent in time."""
        self._begin(life, parts, now)
        overdue = now + SEND_WINDOW_S - MAX_SEND_DELAY_S - self._next_at[life]
        if overdue > 0.0 and not parts.is_spaced:
            intervals = math.ceil(overdue / parts.interval)
            self._next_at[life] += parts.interval * intervals
        return self._next_at[life]


def _get_no_age():
    return 0.0
