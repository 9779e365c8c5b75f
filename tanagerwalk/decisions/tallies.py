"""Counts of answers during a roll-out, and their sums over instances."""

from dataclasses import dataclass, field

from ..ids import ModelName, RouteName
from .latency_histograms import LatencyHistogram
from .relays import Role, Scope


@dataclass(slots=True)
class SideCount:
    """Number of requests that one release answered, and how many of them badly."""

    answers: int = 0
    bad: int = 0

    def add(self, other):
        """Add another count."""
        self.answers += other.answers
        self.bad += other.bad

    def subtract(self, other):
        """Return what remains of this count without that of some of its answers."""
        answers = max(0, self.answers - other.answers)
        return SideCount(answers, min(answers, max(0, self.bad - other.bad)))

    def raise_to(self, other):
        """Raise both numbers to those of another count of the same answers."""
        self.answers = max(self.answers, other.answers)
        self.bad = max(self.bad, other.bad)


@dataclass(slots=True)
class StartCount:
    """Number of requests that were assigned to each release."""

    target: int = 0
    base: int = 0

    @property
    def total(self):
        """Number of all requests."""
        return self.target + self.base

    def record(self, is_target):
        """Count one request."""
        self.target += is_target
        self.base += not is_target

    def add(self, other):
        """Add another count."""
        self.target += other.target
        self.base += other.base

    def raise_to(self, other):
        """Raise both numbers to those of another count of the same requests."""
        self.target = max(self.target, other.target)
        self.base = max(self.base, other.base)


@dataclass(frozen=True, slots=True)
class RolloutSide:
    """One of the two releases of a roll-out, given by the revision of its order."""

    order: int
    is_target: bool


@dataclass(frozen=True, slots=True)
class CountedAnswer:
    """What a request was counted as: its server, by `hash_server`, and the outcome."""

    server: int
    is_bad: bool


@dataclass(frozen=True, slots=True)
class AnswerKind:
    """Answers whose latencies can be compared: those of one route and model.

    `model` is None for a service without models.
    """

    route: RouteName
    model: ModelName | None = None


@dataclass(slots=True)
class Tally:
    """Counts and latencies of answers of both releases.

    Parameters
    ----------
    target : dict of RouteName to SideCount
        Answers of the release that is rolled out.
    base : dict of RouteName to SideCount
        Answers of the release that it replaces.
    target_latencies, base_latencies : dict of AnswerKind to LatencyHistogram
        Their latencies.
    starts : StartCount
        Requests that were assigned to each release.
    target_servers : dict of int to SideCount
        Answers of the target's servers, by `hash_server`, on all routes.
    """

    target: dict[RouteName, SideCount] = field(default_factory=dict)
    base: dict[RouteName, SideCount] = field(default_factory=dict)
    target_latencies: dict[AnswerKind, LatencyHistogram] = field(default_factory=dict)
    base_latencies: dict[AnswerKind, LatencyHistogram] = field(default_factory=dict)
    starts: StartCount = field(default_factory=StartCount)
    target_servers: dict[int, SideCount] = field(default_factory=dict)

    def record(self, route, is_target, is_bad, server=None):
        """Count one request that a release answered.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        is_target : bool
            Whether the release that is rolled out answered.
        is_bad : bool
            Whether it answered badly.
        server : int or None
            `hash_server` of the server that answered; None is not counted by server.
        """
        answer = SideCount(1, int(is_bad))
        self._add_answer(route, is_target, answer)
        if is_target and server is not None:
            self._add_server(server, answer)

    def mark_bad(self, route, is_target, server=None, is_other_server=False):
        """Count a request as bad that was counted as answered well before.

        Parameters
        ----------
        route, is_target, server
            As for `record`.
        is_other_server : bool
            Whether the request was counted for another server of the release.
        """
        self._add_answer(route, is_target, SideCount(0, 1))
        if is_target and server is not None:
            self._add_server(server, SideCount(int(is_other_server), 1))

    def _add_answer(self, route, is_target, answer):
        side = self.target if is_target else self.base
        side.setdefault(route, SideCount()).add(answer)

    def _add_server(self, server, answer):
        self.target_servers.setdefault(server, SideCount()).add(answer)

    def record_latency(self, kind, is_target, seconds):
        """Count the latency of one answer of an AnswerKind."""
        side = self.target_latencies if is_target else self.base_latencies
        side.setdefault(kind, LatencyHistogram()).record(seconds)

    def sum_target(self):
        """Return the SideCount of the target on all routes."""
        return _sum_counts(self.target)

    def sum_base(self):
        """Return the SideCount of the base on all routes."""
        return _sum_counts(self.base)

    def list_latency_pairs(self):
        """Return the latencies of target and base by route.

        Returns
        -------
        dict of RouteName to list of (LatencyHistogram, LatencyHistogram)
        """
        pairs = {}
        for kind in self.target_latencies.keys() | self.base_latencies.keys():
            target = self.target_latencies.get(kind, LatencyHistogram())
            base = self.base_latencies.get(kind, LatencyHistogram())
            pairs.setdefault(kind.route, []).append((target, base))
        return pairs

    def _pair_sides(self, other):
        """Return each side of this tally with that of another, and its empty count."""
        return (
            (self.target, other.target, SideCount),
            (self.base, other.base, SideCount),
            (self.target_servers, other.target_servers, SideCount),
            (self.target_latencies, other.target_latencies, LatencyHistogram),
            (self.base_latencies, other.base_latencies, LatencyHistogram),
        )

    def add(self, other):
        """Add a tally of other answers."""
        self.starts.add(other.starts)
        for own, peer, create in self._pair_sides(other):
            for key, count in peer.items():
                own.setdefault(key, create()).add(count)

    def raise_to(self, other):
        """Raise the counts to those of another tally of the same answers.

        The counts of an instance only grow, so the higher ones are the newer ones.
        """
        self.starts.raise_to(other.starts)
        for own, peer, create in self._pair_sides(other):
            for key, count in peer.items():
                own.setdefault(key, create()).raise_to(count)

    def subtract_answers(self, other):
        """Return a Tally of the answers without those of another, and no latencies."""
        return Tally(
            target=_subtract_all(self.target, other.target, SideCount()),
            base=_subtract_all(self.base, other.base, SideCount()),
            target_servers=_subtract_all(
                self.target_servers, other.target_servers, SideCount()
            ),
        )

    def find_answers_since(self, earlier):
        """Return a Tally of the answers since an earlier state of this tally.

        It has neither latencies nor the routes and servers without such answers.
        """
        return Tally(
            target=_find_increases(self.target, earlier.target),
            base=_find_increases(self.base, earlier.base),
            target_servers=_find_increases(self.target_servers, earlier.target_servers),
        )

    def list_recent_latencies(self, earlier, keep_base):
        """Return a Tally of the latencies since an earlier state of this tally.

        Parameters
        ----------
        earlier : Tally
            The earlier state.
        keep_base : bool
            Whether to compare with all answers of the base, which may have had none
            since then.
        """
        base = self.base_latencies
        if not keep_base:
            base = _subtract_all(base, earlier.base_latencies, LatencyHistogram())
        target = _subtract_all(
            self.target_latencies, earlier.target_latencies, LatencyHistogram()
        )
        return Tally(target_latencies=target, base_latencies=base)


def _sum_counts(counts):
    total = SideCount()
    for count in counts.values():
        total.add(count)
    return total


def _subtract_all(counts, others, empty):
    return {
        key: count.subtract(others.get(key, empty)) for key, count in counts.items()
    }


def _find_increases(counts, earlier):
    """Return by how much each SideCount has grown, without those that haven't."""
    empty = SideCount()
    increases = {}
    for key, count in counts.items():
        known = earlier.get(key, empty)
        if count.answers > known.answers:
            increases[key] = count.subtract(known)
    return increases


class TallyBook:
    """Tallies of one roll-out: the own one and those of other instances.

    Counts are kept after their sender ends, since it may be killed right after it
    reported the failures.

    Parameters
    ----------
    failure_domain : FailureDomain
        Where this instance runs.
    """

    def __init__(self, failure_domain):
        self._failure_domain = failure_domain
        self._received = {scope: {} for scope in Scope}
        self.own = Tally()

    def record_received(self, scope, domain, sender, tally):
        """Add a tally that covers all answers of its scope since the order.

        Parameters
        ----------
        scope : Scope
            Whose answers the tally counts.
        domain : FailureDomain
            Failure domain of the sender.
        sender : str
            Incarnation of the sender.
        tally : Tally
            The counts.
        """
        key = {Scope.INSTANCE: (domain, sender), Scope.DOMAIN: domain}.get(scope)
        self._received[scope].setdefault(key, Tally()).raise_to(tally)

    def sum_domain(self):
        """Return the Tally of the failure domain, as a relay knows it."""
        return self._sum_domain(Tally, _get_tally)

    def sum_fleet(self, role):
        """Return the Tally of all instances.

        Parameters
        ----------
        role : Role
            How this instance takes part in the exchange of messages.
        """
        return self._sum_fleet(role, Tally, _get_tally)

    def sum_fleet_starts(self, role):
        """Return the StartCount of all instances, as `sum_fleet` has it."""
        return self._sum_fleet(role, StartCount, _get_starts)

    def _sum_domain(self, create, read):
        total = create()
        total.add(read(self.own))
        for (domain, _), tally in self._received[Scope.INSTANCE].items():
            if domain == self._failure_domain:
                total.add(read(tally))
        other_relay = self._received[Scope.DOMAIN].get(self._failure_domain)
        if other_relay is not None:
            total.raise_to(read(other_relay))
        return total

    def _sum_fleet(self, role, create, read):
        """Return the sum of what `read` returns of the tallies of all instances."""
        if role is Role.RELAY:
            total = self._sum_domain(create, read)
            for domain, tally in self._received[Scope.DOMAIN].items():
                if domain != self._failure_domain:
                    total.add(read(tally))
            return total
        total = create()
        total.add(read(self.own))
        if role is Role.MEMBER:
            for tally in self._received[Scope.FLEET].values():
                total.raise_to(read(tally))
            return total
        for tally in self._received[Scope.INSTANCE].values():
            total.add(read(tally))
        return total


def _get_tally(tally):
    return tally


def _get_starts(tally):
    return tally.starts
