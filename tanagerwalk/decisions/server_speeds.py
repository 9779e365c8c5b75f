"""Estimates how long work takes on each backend server, relative to the others."""

import math
from dataclasses import dataclass

from .engine_load import bound_slowdown, find_slowdown
from .server_speed_samples import NO_SAMPLES, SpeedSamples
from .shared_loads import SharedLoadTable
from .usual_durations import UsualDurations

# After this time, a reported slowdown counts for 1 / e of its difference from the
# mean: neighbours on a machine come and go within a second.
REPORT_MEMORY_S = 0.4
# Samples with which an estimate is halfway between the usual speed and what they show.
PRIOR_SAMPLES = 3.0
# Smaller differences of speed are ignored; logarithm of a ratio of 1.15.
DEAD_BAND = 0.14
# With fewer standard errors, a difference is taken for chance.
MIN_STANDARD_ERRORS = 3.0
# A difference counts in part where it exceeds its threshold by less than this share.
RAMP = 0.25
REFRESH_PERIOD_S = 1.0
# Time after which the report of an instance expires; a few messages may be lost.
PEER_LIFETIME_S = 4.0
# Servers with samples of less weight are not reported to other instances.
MIN_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class _LastingSlowdown:
    """Logarithms of the measured slowdown and of the mean that the server reports."""

    measured: float = 0.0
    reported: float = 0.0

    @property
    def total(self):
        return self.measured + self.reported


USUAL = _LastingSlowdown()


class _OwnSamples:
    """What this instance has seen of one server; weights as of `updated_at`."""

    __slots__ = ("samples", "updated_at")

    def __init__(self, now):
        self.samples = NO_SAMPLES
        self.updated_at = now

    def get(self, now):
        return self.samples.age(max(0.0, now - self.updated_at))

    def add(self, samples, now):
        self.samples = self.get(now).add(samples)
        self.updated_at = max(now, self.updated_at)


class ServerSpeeds:
    """Slowdown of each backend server, by `hash_life`.

    The estimate has a lasting and a momentary part. The lasting one is learnt by all
    instances together: from measured durations, without what the servers report, and
    from the mean of what they report. The momentary one is the last report that this
    instance has received; it isn't passed on, since it would arrive too late.

    Attributes
    ----------
    shared : SharedLoadTable
        SpeedSamples of the other instances.
    """

    def __init__(self):
        self.shared = SharedLoadTable(NO_SAMPLES, PEER_LIFETIME_S)
        self._own = {}
        self._reports = {}
        self._usual_durations = UsualDurations()
        self._lives_by_service = {}
        self._services = {}
        self._reporting = set()
        self._lasting = {}
        self._refreshed_at = -math.inf

    def set_servers(self, lives_by_service):
        """Replace the servers.

        Parameters
        ----------
        lives_by_service : dict of ServiceName to list of int
            The `hash_life` of each server.
        """
        self._lives_by_service = lives_by_service
        self._services = {
            life: service
            for service, lives in lives_by_service.items()
            for life in lives
        }
        self._reporting &= lives_by_service.keys()
        for known in (self._own, self._reports):
            for life in known.keys() - self._services.keys():
                del known[life]
        self._refreshed_at = -math.inf

    def record_report(self, life, load, now):
        """Record the EngineLoad in an answer, if it tells a slowdown."""
        if load is None or load.slowdown is None or life not in self._services:
            return
        self._reporting.add(self._services[life])
        log_slowdown = math.log(load.plausible_slowdown)
        self._reports[life] = log_slowdown, now
        reported = SpeedSamples(report_weight=1.0, log_slowdown_sum=log_slowdown)
        self._find_own(life, now).add(reported, now)

    def record_duration(self, life, kind, sample, load, now):
        """Record how long an answer took, if servers of its service report slowdowns.

        Parameters
        ----------
        life : int
            `hash_life` of the server.
        kind : hashable
            Answers of the same kind take equally long on equal servers.
        sample : LatencySample
            Latency of the answer.
        load : EngineLoad or None
            Load that the server reported with the answer.
        now : float
            Monotonic time in seconds.
        """
        if self._services.get(life) not in self._reporting:
            return
        # The answer reports the slowdown of its own time, not that of now.
        reported = find_slowdown(load)
        slowdown = reported * math.exp(self._find_lasting(life, now).measured)
        log_ratio = self._usual_durations.compare(kind, sample, load, slowdown)
        if log_ratio is None:
            return
        log_duration = log_ratio - math.log(reported)
        measured = SpeedSamples(duration_weight=1.0, log_duration_sum=log_duration)
        self._find_own(life, now).add(measured, now)

    def is_uniform(self, now):
        """Return whether no server is known to be slower or faster than others."""
        self._refresh(now)
        return not self._lasting and not self._reports

    def estimate(self, life, now):
        """Return how long work takes on a server now; 1.0 is usual for its service."""
        lasting = self._find_lasting(life, now)
        reported = self._find_reported(life, lasting.reported, now)
        return bound_slowdown(math.exp(lasting.measured + reported))

    def estimate_reported(self, life, now):
        """Return the part of the estimate that the server itself reports."""
        mean = self._find_lasting(life, now).reported
        return math.exp(self._find_reported(life, mean, now))

    def list_lasting(self, now):
        """Return the lasting slowdown by `hash_life` of each server that is uneven."""
        self._refresh(now)
        return {
            life: bound_slowdown(math.exp(lasting.total))
            for life, lasting in self._lasting.items()
            if abs(lasting.total) > DEAD_BAND
        }

    def list_own(self, now):
        """Return the SpeedSamples of this instance by `hash_life`."""
        current = {life: own.get(now) for life, own in self._own.items()}
        return {
            life: samples
            for life, samples in current.items()
            if samples.weight >= MIN_WEIGHT
        }

    def _find_reported(self, life, mean, now):
        """Return the logarithm of the slowdown that a server reports."""
        latest, reported_at = self._reports.get(life, (mean, now))
        age = max(0.0, now - reported_at)
        return mean + (latest - mean) * math.exp(-age / REPORT_MEMORY_S)

    def _find_own(self, life, now):
        own = self._own.get(life)
        if own is None:
            own = self._own[life] = _OwnSamples(now)
        return own

    def _find_lasting(self, life, now):
        self._refresh(now)
        return self._lasting.get(life, USUAL)

    def _refresh(self, now):
        """Estimate the lasting slowdowns anew, if that was a while ago."""
        if 0.0 <= now - self._refreshed_at < REFRESH_PERIOD_S:
            return
        self._refreshed_at = now
        totals = self.shared.sum_by_key(now)
        for life, own in self._own.items():
            totals[life] = totals.get(life, NO_SAMPLES).add(own.get(now))
        self._lasting = {}
        for service, lives in self._lives_by_service.items():
            known = {life: totals[life] for life in lives if life in totals}
            if any(samples.report_weight > 0.0 for samples in known.values()):
                self._reporting.add(service)
            if service in self._reporting:
                self._lasting |= self._estimate_service(known)

    def _estimate_service(self, totals):
        """Return the lasting slowdowns of the servers of one service."""
        measured = {life: _estimate_mean(each) for life, each in totals.items()}
        center = sum(measured.values()) / len(measured) if measured else 0.0
        slowdowns = {
            life: _LastingSlowdown(
                self._bound(measured[life] - center, samples.duration_weight),
                samples.log_slowdown_sum / (samples.report_weight + PRIOR_SAMPLES),
            )
            for life, samples in totals.items()
        }
        return {life: each for life, each in slowdowns.items() if each != USUAL}

    def _bound(self, difference, weight):
        """Return a difference of speed, or 0 if it is small or may be chance."""
        if weight <= 0.0:
            return 0.0
        # The mean of exponentially weighted samples has the variance of one sample,
        # divided by twice the sum of the weights.
        error = math.sqrt(self._usual_durations.variance / (2.0 * weight))
        threshold = max(DEAD_BAND, MIN_STANDARD_ERRORS * error)
        share = (abs(difference) - threshold) / (RAMP * threshold)
        return difference * min(1.0, max(0.0, share))


def _estimate_mean(samples):
    return samples.log_duration_sum / (samples.duration_weight + PRIOR_SAMPLES)
