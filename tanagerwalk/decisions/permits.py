"""The permits with which a fleet sends requests to the servers of a brittle service.

One instance, the coordinator, grants a permit for each request, so that the places of
a server are counted once for the whole fleet. A permit is a lease: its holder renews it
until the request has ended. The holders tell the next instance in order, too, which can
then take over at once.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from .server_room import QUEUED_SHARE, Ending, ServerRoom

RENEWAL_INTERVAL_S = 0.2
# Several renewals may be lost.
LEASE_S = 1.0
# Until the holders of permits have told a new coordinator of them.
WARM_UP_S = 0.4
# An abandoned request may still be at its server for as long.
LINGER_S = 0.25
# A coordinator that was not run for so long doesn't know what has happened meanwhile.
STALL_S = 0.3
GRANT_WINDOW_S = 1.0
# Of a request, as long as nothing tells.
TYPICAL_WORK_S = 0.25
# An older permit that its holder doesn't name has ended.
NAMING_DELAY_S = 0.15


class PermitKey(NamedTuple):
    """Incarnation of the holder, and the number that it gave its request."""

    holder: str
    request: int


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent to the server with this `hash_life`."""

    life: int


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits for a place."""


@dataclass(frozen=True, slots=True)
class Denied:
    """The request gets no place in time; one may come free after `wait` seconds."""

    wait: float


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """What a request needs.

    Parameters
    ----------
    lives : tuple of int
        `hash_life` of the servers that it may be sent to, the best first.
    patience : float
        Seconds for which it waits for a place.
    is_urgent : bool
        Whether it goes before others, as one that has been at a server before.
    """

    lives: tuple[int, ...]
    patience: float
    is_urgent: bool = False


@dataclass(slots=True)
class _Permit:
    life: int
    granted_at: float
    expires_at: float
    # Since when it only stands for work that may go on at the server.
    is_lingering: bool = False


@dataclass(slots=True)
class _Waiting:
    request: PermitRequest
    latest_at: float
    expires_at: float


class PermitLedger:
    """The permits of one service, as a coordinator grants them or another notes them.

    Parameters
    ----------
    find_slots : callable
        Takes the `hash_life` of a server and returns for how many requests this ledger
        may grant permits, or None if it may grant none.
    find_bearable : callable
        Returns the rejections per second that each server bears.
    lives : collection of int
        `hash_life` of the servers that have been in use before.
    now : float
        Monotonic time in seconds.
    queued_share : float
        Requests beyond the slots that may be tried; see `ServerRoom`.
    warm_up : float
        Seconds for which it only listens.

    Attributes
    ----------
    share : float
        Part of the known room that it may use, as long as another instance grants
        permits, too.
    """

    def __init__(
        self,
        find_slots,
        find_bearable,
        lives,
        now,
        queued_share=QUEUED_SHARE,
        warm_up=WARM_UP_S,
    ):
        self._find_slots = find_slots
        self._find_bearable = find_bearable
        self._warm_up = warm_up
        self._warm_at = now + warm_up
        self._seen_at = now
        self.share = 1.0
        self._rooms = {}
        self._permits = {}
        self._waiting = {}
        self._granted_at = deque()
        self._queued_share = queued_share
        for life in lives:
            self._get_room(life, is_proven=True)

    @property
    def is_idle(self):
        """Whether no request holds a permit or waits for one."""
        return not self._permits and not self._waiting

    @property
    def has_waiting(self):
        """Whether a request waits for a place."""
        return bool(self._waiting)

    def count_in_use(self, life):
        """Return how many requests are at a server."""
        room = self._rooms.get(life)
        return 0 if room is None else room.in_use

    def ask(self, key, request, now):
        """Grant a permit, or let a request wait for one; asking again is harmless.

        Parameters
        ----------
        key : PermitKey
            The holder's request.
        request : PermitRequest
            What it needs.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Granted, Queued or Denied
        """
        self._check_for_stall(now)
        permit = self._permits.get(key)
        if permit is not None and not permit.is_lingering:
            return Granted(permit.life)
        waiting = self._waiting.get(key)
        if waiting is not None:
            waiting.expires_at = now + LEASE_S
            return Queued()
        if not self._waiting and self._is_warm(now):
            life = self._choose(request.lives, now)
            if life is not None:
                self._grant(key, life, now)
                return Granted(life)
        wait = self.estimate_wait(now)
        if wait > request.patience and not request.is_urgent:
            return Denied(wait)
        latest_at = max(now, self._warm_at) + request.patience
        self._waiting[key] = _Waiting(request, latest_at, now + LEASE_S)
        return Queued()

    def _check_for_stall(self, now):
        """Listen again after a stall, in which renewals could not be heard."""
        gap = now - self._seen_at
        self._seen_at = now
        if gap <= STALL_S:
            return
        self._warm_at = now + self._warm_up
        for lease in (*self._permits.values(), *self._waiting.values()):
            lease.expires_at += gap

    def estimate_wait(self, now):
        """Return the seconds until one more request would get a place."""
        while self._granted_at and self._granted_at[0] <= now - GRANT_WINDOW_S:
            self._granted_at.popleft()
        rate = max(1, len(self._granted_at)) / GRANT_WINDOW_S
        if not self._granted_at:
            # Nothing tells how long the requests take.
            places = sum(room.size for room in self._rooms.values())
            rate = max(rate, places / TYPICAL_WORK_S)
        return len(self._waiting) / rate

    def renew(self, key, life, now):
        """Prolong a permit, or note one that another instance has granted."""
        self._waiting.pop(key, None)
        permit = self._permits.get(key)
        if permit is not None and permit.life != life:
            # Its holder uses the permit of another coordinator.
            self._get_room(permit.life).end(key, Ending.UNUSED, now)
            permit = None
        if permit is None:
            permit = self._permits[key] = _Permit(life, now, 0.0)
            self._get_room(life).begin(key, now)
        if not permit.is_lingering:
            permit.expires_at = now + LEASE_S

    def renew_all(self, holder, lives, now):
        """Prolong all permits of a holder, and end those that it doesn't name.

        Parameters
        ----------
        holder : str
            Incarnation of the holder.
        lives : dict of int to int
            `hash_life` of the server of each of its requests, by number.
        now : float
            Monotonic time in seconds.
        """
        for number, life in lives.items():
            self.renew(PermitKey(holder, number), life, now)
        ended = [
            key
            for key, permit in self._permits.items()
            if key.holder == holder
            and key.request not in lives
            and not permit.is_lingering
            and now - permit.granted_at > NAMING_DELAY_S
        ]
        for key in ended:
            # The note of how it ended was lost.
            self._get_room(self._permits.pop(key).life).end(key, Ending.UNUSED, now)

    def end(self, key, ending, now):
        """Record the end of a request, or that it waits no longer."""
        self._waiting.pop(key, None)
        permit = self._permits.get(key)
        if permit is None or permit.is_lingering:
            return
        if ending is Ending.ABANDONED:
            permit.is_lingering = True
            permit.expires_at = now + LINGER_S
            return
        del self._permits[key]
        self._get_room(permit.life).end(key, ending, now)

    def advance(self, now):
        """Let leases expire, and give the places that are free to those that wait.

        Returns
        -------
        dict of PermitKey to Granted or Denied
            The requests that wait no longer.
        """
        self._check_for_stall(now)
        self._expire(now)
        decided = {}
        if self._is_warm(now):
            decided |= self._grant_waiting(now)
        for key, waiting in list(self._waiting.items()):
            if waiting.latest_at <= now:
                del self._waiting[key]
                decided[key] = Denied(max(self.estimate_wait(now), 0.0))
        return decided

    def _grant_waiting(self, now):
        granted = {}
        order = sorted(
            self._waiting.items(), key=lambda item: not item[1].request.is_urgent
        )
        full = set()
        for key, waiting in order:
            lives = [life for life in waiting.request.lives if life not in full]
            life = self._choose(lives, now)
            if life is None:
                full.update(lives)
                continue
            del self._waiting[key]
            self._grant(key, life, now)
            granted[key] = Granted(life)
        return granted

    def _expire(self, now):
        for key, permit in list(self._permits.items()):
            if permit.expires_at <= now:
                del self._permits[key]
                room = self._get_room(permit.life)
                room.end(key, Ending.ABANDONED, now)
        for key, waiting in list(self._waiting.items()):
            if waiting.expires_at <= now:
                del self._waiting[key]
        held = {permit.life for permit in self._permits.values()}
        for life in list(self._rooms):
            if life not in held and self._find_slots(life) is None:
                del self._rooms[life]

    def _is_warm(self, now):
        return now >= self._warm_at

    def _choose(self, lives, now):
        """Return the server that has most room, or None."""
        best, least = None, math.inf
        bearable = self._find_bearable()
        for life in lives:
            if self._find_slots(life) is None:
                continue
            room = self._get_room(life)
            if room.use < least and room.has_place(bearable, now, self.share):
                best, least = life, room.use
        return best

    def _grant(self, key, life, now):
        self._permits[key] = _Permit(life, now, now + LEASE_S)
        self._get_room(life).begin(key, now)
        self._granted_at.append(now)

    def _get_room(self, life, is_proven=False):
        """Return the room of a server; one that comes later has just started."""
        room = self._rooms.get(life)
        if room is None:
            slots = max(1, self._find_slots(life) or 0)
            room = self._rooms[life] = ServerRoom(slots, is_proven, self._queued_share)
        return room
