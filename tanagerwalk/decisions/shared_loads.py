"""Load on backend servers caused by other instances, as last reported by them."""

import zlib
from collections import defaultdict
from dataclasses import dataclass

from ..ids import BackendServerId
from .relays import RELAY_PERIOD_S, Role, Scope

MIN_LIFETIME_S = 2.0
LIFETIME_PERIODS = 2.5
BASE_PERIOD_S = 0.3
PEERS_PER_PERIOD = 14
# From a member to its relay, from there to another relay and on to its members.
RELAYED_STEPS = 3


@dataclass(frozen=True, slots=True)
class SharedLoad:
    """Load on one backend server caused by one or several instances.

    Parameters
    ----------
    in_flight : int
        Number of requests.
    tokens : float
        Tokens that the engine still has to process for these requests.
    silence : float
        Waiting time of the oldest request without a response head, in seconds.
    heard_ago : float
        Seconds since the server last sent data.
    errors : int
        Number of instances that have got an error response of late.
    """

    in_flight: int
    tokens: float
    silence: float = 0.0
    heard_ago: float = float("inf")
    errors: int = 0

    def add(self, other):
        """Return the load that both cause together."""
        return SharedLoad(
            self.in_flight + other.in_flight,
            self.tokens + other.tokens,
            max(self.silence, other.silence),
            min(self.heard_ago, other.heard_ago),
            self.errors + other.errors,
        )

    def subtract(self, part):
        """Return the load without a part of it, which may be a little newer."""
        return SharedLoad(
            max(0, self.in_flight - part.in_flight),
            max(0.0, self.tokens - part.tokens),
            self.silence,
            self.heard_ago,
            max(0, self.errors - part.errors),
        )

    def age(self, seconds):
        """Return the load as it is when it was reported `seconds` ago."""
        return SharedLoad(
            self.in_flight,
            self.tokens,
            self.silence,
            self.heard_ago + seconds,
            self.errors,
        )


NO_LOAD = SharedLoad(0, 0.0)


@dataclass(frozen=True, slots=True)
class ReportSource:
    """Whose load a report holds, and which part of the servers it covers.

    Parameters
    ----------
    scope : Scope
        Instance, failure domain or fleet.
    name : str
        Incarnation of the instance or name of the failure domain.
    part, parts : int
        The report covers the servers whose hash modulo `parts` is `part`.
    """

    scope: Scope
    name: str
    part: int = 0
    parts: int = 1


@dataclass(slots=True)
class _Report:
    sender: str
    sequence: int
    received_at: float
    loads: dict[int, SharedLoad]


class SharedLoadTable:
    """Aggregates the loads reported by the other instances.

    Parameters
    ----------
    empty : SharedLoad or SpeedSamples
        The value of a server of which nothing was reported.
    min_lifetime : float
        Least time after which the last report of an instance expires, in seconds.

    Attributes
    ----------
    period : float
        Seconds between messages of an instance.
    delay : float
        Seconds after which a load has reached all instances.
    """

    def __init__(self, empty=NO_LOAD, min_lifetime=MIN_LIFETIME_S):
        self._empty = empty
        self._min_lifetime = min_lifetime
        self._reports = {}
        self._role = Role.FLAT
        self._own_reported = {}
        self.period = BASE_PERIOD_S
        self.delay = BASE_PERIOD_S

    def set_role(self, role, peers):
        """Adapt to the way in which messages are exchanged.

        Parameters
        ----------
        role : Role
            How this instance takes part.
        peers : int
            Number of other instances.
        """
        if role is not self._role:
            self._role = role
            self._reports.clear()
            self._own_reported = {}
        is_flat = role is Role.FLAT
        self.period = compute_period(peers) if is_flat else RELAY_PERIOD_S
        self.delay = self.period if is_flat else RELAYED_STEPS * self.period

    def set_own_reported(self, loads):
        """Record the own loads that the sums of a relay contain, by server hash."""
        self._own_reported = loads

    def accepts(self, scope):
        """Return whether reports of a scope are counted in the current role."""
        if self._role is Role.MEMBER:
            return scope is Scope.FLEET
        if self._role is Role.RELAY:
            return scope is not Scope.FLEET
        return scope is Scope.INSTANCE

    def update(self, source, sender, sequence, loads, now):
        """Store the latest loads of an instance, a failure domain or the fleet.

        Parameters
        ----------
        source : ReportSource
            Whose loads these are.
        sender : str
            Incarnation of the instance that sent the report.
        sequence : int
            Sequence number of the message; datagrams may arrive out of order.
        loads : dict of int to SharedLoad
            Loads by `hash_server` of the server's id.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the report is newer than all previous ones of the sender.
        """
        known = self._reports.get(source)
        if known is not None and known.sender == sender and known.sequence >= sequence:
            return False
        self._reports[source] = _Report(sender, sequence, now, loads)
        return True

    def sum(self, server, now):
        """Return the total SharedLoad of all other instances on a server.

        Parameters
        ----------
        server : BackendServerId
            The server.
        now : float
            Monotonic time in seconds.
        """
        key = hash_server(server)
        total = self._empty
        for report in self._list_reports_on(key, now):
            total = total.add(report.loads[key])
        own = self._own_reported.get(key)
        return total if own is None else total.subtract(own)

    def find_last_activity(self, server):
        """Return the monotonic time at which a server last sent data to a peer.

        Parameters
        ----------
        server : BackendServerId
            The server.
        """
        key = hash_server(server)
        return max(
            (
                report.received_at - report.loads[key].heard_ago
                for report in self._list_reports_on(key, float("-inf"))
            ),
            default=float("-inf"),
        )

    def sum_all(self, scopes, now):
        """Return the total load by server hash over the reports of some scopes.

        Parameters
        ----------
        scopes : collection of Scope
            Scopes to include.
        now : float
            Monotonic time in seconds.
        """
        totals = {}
        for source, report in self._reports.items():
            age = now - report.received_at
            if source.scope not in scopes or age > self.lifetime:
                continue
            for key, load in report.loads.items():
                totals[key] = totals.get(key, self._empty).add(load.age(age))
        return totals

    def sum_by_key(self, now):
        """Return the total over all other instances, as of now, by server hash."""
        totals = self.sum_all(Scope, now)
        for key, own in self._own_reported.items():
            if key in totals:
                totals[key] = totals[key].subtract(own)
        return totals

    def count_requests(self, now):
        """Return the requests of all other instances, by server hash."""
        lifetime = self.lifetime
        counts = defaultdict(int)
        for report in self._reports.values():
            if now - report.received_at > lifetime:
                continue
            for key, load in report.loads.items():
                counts[key] += load.in_flight
        for key, own in self._own_reported.items():
            if key in counts:
                counts[key] = max(0, counts[key] - own.in_flight)
        return counts

    def estimate_age(self, now):
        """Return how old the reported loads are in the mean, or None without reports.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        lifetime = self.lifetime
        ages = [now - report.received_at for report in self._reports.values()]
        ages = [age for age in ages if age <= lifetime]
        if not ages:
            return None
        # Each step through a relay after the first adds half a period in the mean.
        return sum(ages) / len(ages) + (self.delay - self.period) / 2.0

    def _list_reports_on(self, key, now):
        """Return the reports that mention a server and have not expired."""
        lifetime = self.lifetime
        return [
            report
            for source, report in self._reports.items()
            if key % source.parts == source.part
            and key in report.loads
            and now - report.received_at <= lifetime
        ]

    @property
    def lifetime(self):
        """Seconds after which the last report of an instance expires."""
        return max(self._min_lifetime, LIFETIME_PERIODS * self.period)

    def expire_reports(self, now):
        """Remove the reports that have expired."""
        lifetime = self.lifetime
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.received_at <= lifetime
        }


def hash_server(server: BackendServerId):
    """Return the 32-bit key of a server in messages between instances."""
    return zlib.crc32(server.encode())


def compute_period(peers):
    """Return the seconds between two messages to all peers.

    The period grows with the number of peers, to limit the cost of the messages.

    Parameters
    ----------
    peers : int
        Number of other instances.
    """
    return BASE_PERIOD_S * max(1.0, peers / PEERS_PER_PERIOD)
