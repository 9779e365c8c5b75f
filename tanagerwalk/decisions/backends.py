"""One backend server: its record, load, concurrency limits and score."""

from dataclasses import dataclass
from enum import Enum

from ..ids import (
    BackendServerId,
    FailureDomain,
    Incarnation,
    Region,
    ServiceName,
    VersionName,
)

MIN_LIMIT = 1.0
MIN_INITIAL_LIMIT = 2.0
LIMIT_DECREASE_FACTOR = 0.8
PROBE_UTILIZATION = 0.9
CAPACITY_PROBE_STEP = 1.0
FAILURES_BEFORE_PAUSE = 3
FAILURE_PAUSE_S = 1.0
MAX_FAILURE_PAUSE_S = 30.0
SLOWNESS_SMOOTHING = 0.3
SLOWNESS_RISE_SMOOTHING = 0.8
SLOW_RATIO = 2.5
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
TIMEOUT_SLOWNESS = 10.0
SLOWNESS_HALF_LIFE_S = 20.0
ERROR_SMOOTHING = 0.3
ERROR_WEIGHT = 10.0


class ServerRole(Enum):
    """Kind of backend server."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Backend server as listed by the platform."""

    id: BackendServerId
    address: str
    role: ServerRole
    region: Region
    failure_domain: FailureDomain
    incarnation: Incarnation
    service: ServiceName | None = None
    leaving: bool = False
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load published by a backend server.

    `versions` is None if the server was not asked for its loaded versions.
    """

    running: int = 0
    waiting: int = 0
    versions: frozenset[VersionName] | None = frozenset()
    slots: int = 0


class FailureKind(Enum):
    """Type of failure of an attempt, as evidence about the server."""

    OVERLOAD = "overload"
    ERROR = "error"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class CapacityShare:
    """One instance's share of the free capacity that all instances see.

    Parameters
    ----------
    instance_count : int
        Number of instances that send to the server.
    short_reserve : float
        Fraction of the capacity that long classes leave to short ones.
    rounding_offset : float
        Random number from 0 to 1, for randomized rounding of the share. If every
        instance rounded up, they would overload the server together; if every
        instance rounded down, its remaining capacity would stay unused.
    """

    instance_count: int
    short_reserve: float
    rounding_offset: float

    def allot(self, free, unreported):
        """Return how many additional attempts this instance may send.

        Parameters
        ----------
        free : float
            Free capacity of the server according to its report.
        unreported : int
            Attempts of this instance that the report does not include yet.
        """
        return max(
            0,
            int(max(0.0, free) / self.instance_count + self.rounding_offset)
            - unreported,
        )


@dataclass(slots=True)
class BackendServer:
    """State that this instance keeps for one backend server.

    Parameters
    ----------
    record : ServerRecord
        The server as listed by the platform.
    limit, long_limit : float
        Maximum number of attempts of all classes and of long classes that this
        instance may have in flight.
    in_flight, long_in_flight, suspects_in_flight : int
        Attempts of this instance in flight: all, those of long classes, and those
        whose request was in flight on a server that crashed.
    load_reported_at, scraped_at : float
        Monotonic times of the last load report and of the last request for one.
    in_flight_at_report : int
        Value of `in_flight` when the last load report arrived.
    capacity : float
        Number of requests that the server can run at a time; infinite if unknown.
    paused_until : float
        Monotonic time until which the server is not selected.
    failures : int
        Number of failures in a row.
    slowness : float
        Smoothed ratio of actual to expected durations, at the time `slowness_at`.
    error_share : float
        Smoothed share of attempts that failed.
    """

    record: ServerRecord
    limit: float
    in_flight: int = 0
    long_in_flight: int = 0
    suspects_in_flight: int = 0
    load: LoadReport = LoadReport()
    load_reported_at: float = float("-inf")
    scraped_at: float = float("-inf")
    in_flight_at_report: int = 0
    capacity: float = float("inf")
    long_limit: float = float("inf")
    leaving: bool = False
    paused_until: float = float("-inf")
    failures: int = 0
    versions: frozenset[VersionName] = frozenset()
    slowness: float = 1.0
    slowness_at: float = 0.0
    error_share: float = 0.0

    def serves(self, version, service):
        """Return whether the server offers a service or has loaded a version."""
        if service is not None:
            return self.record.service == service
        return version in self.versions

    def apply_load_report(self, report, now, share):
        """Update the concurrency limits from a load report.

        If requests wait on the server, the number of running ones is its capacity.
        Each instance reduces its limit to the fraction running / total of its own
        attempts in flight, so that all limits together add up to the capacity.
        Applying the same report twice reduces the limit only once.

        Parameters
        ----------
        report : LoadReport
            The report that the server published.
        now : float
            Monotonic time in seconds.
        share : CapacityShare
            This instance's share of the free capacity.
        """
        # Reports lag: this one may not include attempts sent since the last report.
        unreported = max(0, self.in_flight - self.in_flight_at_report)
        self.load = report
        self.load_reported_at = now
        self.in_flight_at_report = self.in_flight
        if report.versions is not None:
            self.versions = report.versions
        total = report.running + report.waiting
        if report.waiting > 0:
            self.capacity = max(1.0, float(report.running))
            proportional_limit = self.in_flight * report.running / total
            self.limit = max(MIN_LIMIT, min(self.limit, proportional_limit))
            self.long_limit = 0.0
            return
        if self.capacity == float("inf"):
            return
        if total >= self.capacity * PROBE_UTILIZATION:
            self.capacity = max(self.capacity, total) + CAPACITY_PROBE_STEP
        free = self.capacity - total
        self.limit = max(MIN_LIMIT, self.in_flight + share.allot(free, unreported))
        long_free = self.capacity * (1.0 - share.short_reserve) - total
        self.long_limit = self.long_in_flight + share.allot(long_free, unreported)

    def raise_limit(self, ceiling):
        """Raise the limit after a success, while the capacity is unknown.

        The limit doubles each round trip while at least half of it is in use. Once
        a report has shown waiting requests, and thus the capacity, the reports set
        the limit.
        """
        if self.capacity == float("inf") and self.in_flight * 2 >= self.limit:
            self.limit = min(self.limit + 1.0, ceiling)

    def record_success(self, now, ratio):
        """Record a success that took `ratio` times the expected duration."""
        self.failures = 0
        self.error_share *= 1.0 - ERROR_SMOOTHING
        self._update_slowness(now, ratio)

    def _update_slowness(self, now, ratio):
        ratio = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        current = self.estimate_slowness(now)
        # Rise fast and fall slowly: every request that probes a slow server is late.
        weight = SLOWNESS_RISE_SMOOTHING if ratio > SLOW_RATIO else SLOWNESS_SMOOTHING
        self.slowness = current + weight * (ratio - current)
        self.slowness_at = now

    def estimate_slowness(self, now):
        """Return the slowness, which decays so that the server is tried again."""
        if self.slowness <= 1.0:
            return self.slowness
        faded = 0.5 ** ((now - self.slowness_at) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self.slowness - 1.0) * faded

    def record_failure(self, now, kind, retry_after):
        """Record a failed attempt and pause the server if necessary.

        A single error may be caused by the request, so the server is paused only
        after several consecutive errors. An unreachable server is paused at once.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        kind : FailureKind
            Type of failure.
        retry_after : float or None
            Seconds that the server asked to wait.
        """
        self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
        if kind is FailureKind.OVERLOAD:
            self._pause(now, FAILURE_PAUSE_S if retry_after is None else retry_after)
            return
        self.failures += 1
        self.error_share += ERROR_SMOOTHING * (1.0 - self.error_share)
        if kind is FailureKind.TIMEOUT:
            self._update_slowness(now, TIMEOUT_SLOWNESS)
        pause_threshold = (
            1 if kind is FailureKind.UNREACHABLE else FAILURES_BEFORE_PAUSE
        )
        excess = self.failures - pause_threshold
        if excess >= 0:
            # Bound the exponent so that a long outage does not overflow the float.
            self._pause(now, FAILURE_PAUSE_S * 2 ** min(excess, 10))
        elif retry_after:
            self._pause(now, retry_after)

    def _pause(self, now, seconds):
        until = now + min(seconds, MAX_FAILURE_PAUSE_S)
        self.paused_until = max(self.paused_until, until)

    def has_capacity(self, now, long, short_reserve, stale_after):
        """Return whether one more attempt may be sent.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        long : bool
            Whether the attempt belongs to a long class.
        short_reserve : float
            Fraction of the limit that long classes leave to short ones.
        stale_after : float
            Age in seconds above which a load report is ignored.
        """
        if long:
            long_limit = max(1, int(self.limit * (1.0 - short_reserve)))
            if now - self.load_reported_at <= stale_after:
                long_limit = min(long_limit, self.long_limit)
            return self.in_flight < int(self.limit) and self.long_in_flight < long_limit
        # Engines prioritize short classes, so a short attempt may exceed the limit
        # instead of waiting until the long ones that fill the server end.
        short = self.in_flight - self.long_in_flight
        reserve = max(1, int(self.limit * short_reserve))
        return self.in_flight < int(self.limit) or short < reserve

    def score(self, now, stale_after):
        """Return the expected relative delay of an attempt here; lower is better."""
        other_requests = 0
        if now - self.load_reported_at <= stale_after:
            reported = self.load.running + self.load.waiting
            other_requests = max(0, reported - self.in_flight_at_report)
        utilization = (self.in_flight + other_requests + 1) / self._estimate_capacity()
        errors = 1.0 + ERROR_WEIGHT * self.error_share
        return utilization * self.estimate_slowness(now) * errors

    def _estimate_capacity(self):
        if self.capacity == float("inf"):
            return max(self.limit, self.load.running)
        return self.capacity
