"""Servers that have just started, or that are slow again, and bear few requests."""

import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ..registry import ENTRY_LIFETIME_S, RegisteredServer
from .limit_parts import ColdLimit
from .server_usage_table import hash_life

# Added to the load of a cold server, since it is slow.
COLD_LOAD = 0.5
# Longest time for which a server is taken for cold, whatever it reports.
MAX_COLD_S = 600.0
# Time for which the limit of a warm server grows before it ends: all instances see the
# server idle at the same moment.
WARM_UP_S = 3.0
# Growth of that limit per second, as a multiple of the rate of the cold server.
WARM_UP_GROWTH_PER_S = 3.0
# Time allowed for the restart of a crashed server, which may be back before its new
# entry is seen.
RESTART_WAIT_S = 6.0
# Starts of servers that are remembered, to recognize a new one.
MAX_KNOWN_STARTS = 4096
# An extension of the cold time by less is not reported to `on_cold`.
MIN_EXTENSION_S = 0.5


class ColdReason(Enum):
    """Why a server is taken for cold.

    ENTRY: its entry says so. STARTED: a start that wasn't listed before. CRASHED: it
    refused a connection. LOST: it broke off a connection and accepts none. RESTARTED:
    it is back after it had refused one. RETURNED: it was out of reach. TOLD: another
    instance saw its restart. EVACUATION_ENDED: requests may be sent to it again.
    """

    ENTRY = "entry"
    STARTED = "started"
    CRASHED = "crashed"
    LOST = "lost"
    RETURNED = "returned"
    RESTARTED = "restarted"
    TOLD = "told"
    EVACUATION_ENDED = "evacuation ended"


@dataclass(frozen=True, slots=True)
class ColdPolicy:
    """How the cold servers of a service are treated.

    Parameters
    ----------
    duration : float
        Seconds for which a server is cold after its start.
    rate : float
        Requests per second that a cold server bears.
    overrun, slack : float
        In any one second it may get `overrun` times as many, plus `slack`.
    """

    duration: float
    rate: float
    overrun: float
    slack: float

    def find_limit(self, warm_for):
        """Return the ColdLimit of a server.

        Parameters
        ----------
        warm_for : float
            Seconds since the server became warm; negative while it is cold.

        Returns
        -------
        ColdLimit or None
            None once the server is treated like any other.
        """
        if warm_for >= WARM_UP_S:
            return None
        rate = self.rate * (1.0 + WARM_UP_GROWTH_PER_S * max(0.0, warm_for))
        return ColdLimit(rate, self.overrun * rate + self.slack)


# The server refused a connection, which other instances may not have noticed.
REASONS_TO_TELL = frozenset({ColdReason.CRASHED, ColdReason.RESTARTED})
# The server isn't known to be back yet.
AWAITED_REASONS = frozenset({ColdReason.CRASHED, ColdReason.LOST})
# The server is back. That it started anew is assumed: it may have been out of reach, or
# a path may have rejected connections.
ASSUMED_REASONS = frozenset(
    {ColdReason.RETURNED, ColdReason.RESTARTED, ColdReason.TOLD}
)


@dataclass(slots=True)
class _ColdServer:
    """Until when a server is cold. All times are monotonic, in seconds.

    Parameters
    ----------
    server : RegisteredServer
        The server.
    known_until : float
        Until when it is cold after its last known start.
    assumed_until, assumed_at : float
        Until when it is cold after a start that is only assumed, and when that was
        assumed.
    awaited_until : float
        If it is down: until when it is cold after the latest start that is waited for.
    tell_until : float
        Until when the others are told that it is cold.
    """

    server: RegisteredServer
    known_until: float
    assumed_until: float = -math.inf
    assumed_at: float = -math.inf
    awaited_until: float = -math.inf
    tell_until: float = -math.inf

    @property
    def until(self):
        return max(self.known_until, self.assumed_until, self.awaited_until)

    def drop_assumed(self):
        """Forget the assumed start: the server ran on."""
        self.assumed_until = -math.inf
        # A later crash is still told, but not a path that was lost.
        self.tell_until = min(self.tell_until, self.awaited_until)


class ColdServers:
    """The servers that are cold as far as this instance knows, by `hash_life`.

    Attributes
    ----------
    find_policy : callable
        Takes a ServiceName and returns its ColdPolicy, or None if its servers are never
        cold.
    on_cold : callable
        Takes a RegisteredServer that is cold, the seconds for which it is, and the
        ColdReason.
    on_warm : callable
        Takes a RegisteredServer that is treated like any other from now on.
    """

    def __init__(self):
        self.find_policy = _find_no_policy
        self.on_cold = _ignore
        self.on_warm = _ignore
        self._cold = {}
        # The revision of the newest entry of each start of a server.
        self._known = OrderedDict()
        self._listed = frozenset()

    @property
    def is_empty(self):
        """Whether no server is cold or has been lately."""
        return not self._cold

    def observe(self, servers, now):
        """Find out from the list of servers which are cold.

        A start that wasn't listed before is new, unless nothing was listed before. The
        time in an entry counts from when the entry is first seen.

        Parameters
        ----------
        servers : list of RegisteredServer
            All servers.
        now : float
            Monotonic time in seconds.
        """
        is_first_list = not self._known
        for server in servers:
            start = (hash_life(server), server.address)
            known_revision = self._known.get(start)
            self._known[start] = server.revision
            self._known.move_to_end(start)
            if known_revision == server.revision:
                continue
            if known_revision is None and not is_first_list:
                self.record_start(server, now)
            self.record_cold_time(server, server.cold_left, now, ColdReason.ENTRY)
        # Those that are listed now come last, and are all kept.
        while len(self._known) > max(MAX_KNOWN_STARTS, len(servers)):
            self._known.popitem(last=False)
        self._listed = frozenset(map(hash_life, servers))
        self._drop_ended(now)

    def confirm_starts(self, confirmed_at, now):
        """Drop the assumed starts of servers that ran on.

        A server that starts anew replaces its entry, or the entry expires. One that is
        listed with the same start ENTRY_LIFETIME_S later has run all the while.

        Parameters
        ----------
        confirmed_at : float
            Monotonic time in seconds up to which the list of servers is complete.
        now : float
            The present, likewise.
        """
        for life, cold in self._cold.items():
            is_over = confirmed_at >= cold.assumed_at + ENTRY_LIFETIME_S
            if is_over and life in self._listed:
                cold.drop_assumed()
        self._drop_ended(now)

    def _drop_ended(self, now):
        """Forget servers whose limit has ended, also those that are not listed."""
        for life, cold in list(self._cold.items()):
            if life in self._listed:
                self.find_limit(life, now)
            elif now >= cold.until:
                del self._cold[life]

    def record_start(self, server, now, reason=ColdReason.STARTED):
        """Take a server for cold for as long as its service says.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        now : float
            Monotonic time in seconds.
        reason : ColdReason
            Why it is cold.
        """
        policy = self.find_policy(server.service)
        if policy is not None:
            self.record_cold_time(server, policy.duration, now, reason)

    def record_crash(self, server, now, reason=ColdReason.CRASHED):
        """Take a server that has crashed for cold if it answers again.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        now : float
            Monotonic time in seconds.
        reason : ColdReason
            CRASHED, or LOST if it may only be out of reach.
        """
        policy = self.find_policy(server.service)
        if policy is not None:
            seconds = RESTART_WAIT_S + policy.duration
            self.record_cold_time(server, seconds, now, reason)

    def record_return(self, server, now, reason):
        """Take a server for cold that is back: it has started by now.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        now : float
            Monotonic time in seconds.
        reason : ColdReason
            RESTARTED or RETURNED.
        """
        cold = self._cold.get(hash_life(server))
        if cold is not None:
            cold.awaited_until = -math.inf
            cold.tell_until = min(cold.tell_until, cold.until)
        self.record_start(server, now, reason)

    def record_told(self, server, seconds, now):
        """Take a server for cold since another instance does.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        seconds : float
            For how long it is cold from now on.
        now : float
            Monotonic time in seconds.
        """
        policy = self.find_policy(server.service)
        if policy is None:
            return
        seconds = min(seconds, policy.duration)
        self.record_cold_time(server, seconds, now, ColdReason.TOLD)

    def list_news(self, now):
        """Return for how long servers stay cold whose crash or restart was seen here.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of int to float
            Seconds by `hash_life`. For a server that is still down, the cold time of a
            start.
        """
        news = {
            life: self._find_time_to_tell(cold, now)
            for life, cold in self._cold.items()
        }
        return {life: seconds for life, seconds in news.items() if seconds > 0.0}

    def _find_time_to_tell(self, cold, now):
        policy = self.find_policy(cold.server.service)
        return 0.0 if policy is None else min(cold.tell_until - now, policy.duration)

    def record_cold_time(self, server, seconds, now, reason):
        """Take a server for cold, unless it is known to be cold for longer.

        Parameters
        ----------
        server : RegisteredServer
            The server.
        seconds : float
            For how long it is cold from now on; nothing is recorded unless positive.
        now : float
            Monotonic time in seconds.
        reason : ColdReason
            Why it is cold.
        """
        if seconds <= 0.0 or self.find_policy(server.service) is None:
            return
        until = now + min(seconds, MAX_COLD_S)
        cold = self._cold.setdefault(hash_life(server), _ColdServer(server, now))
        if until >= cold.until + MIN_EXTENSION_S:
            self.on_cold(server, until - now, reason)
        if reason in AWAITED_REASONS:
            cold.awaited_until = until
        elif reason in ASSUMED_REASONS:
            cold.assumed_until = max(cold.assumed_until, until)
            cold.assumed_at = now
        else:
            cold.known_until = max(cold.known_until, until)
        if reason in REASONS_TO_TELL:
            cold.tell_until = max(cold.tell_until, until)

    def find_limit(self, life, now):
        """Return the ColdLimit of a server, or None if it has none.

        Forgets a server whose limit has ended, and calls `on_warm`.
        """
        cold = self._cold.get(life)
        if cold is None:
            return None
        policy = self.find_policy(cold.server.service)
        limit = None if policy is None else policy.find_limit(now - cold.until)
        if limit is None:
            del self._cold[life]
            self.on_warm(cold.server)
        return limit

    def find_load(self, life, now):
        """Return what is added to the load of a server while it is cold."""
        cold = self._cold.get(life)
        is_cold = cold is not None and now < cold.until
        return COLD_LOAD if is_cold else 0.0

    def count(self, now):
        """Return the number of servers that are cold."""
        return sum(now < cold.until for cold in self._cold.values())

    def forget(self, life):
        """Forget a server that has ended."""
        self._cold.pop(life, None)


def _find_no_policy(service):
    del service


def _ignore(*event):
    del event
