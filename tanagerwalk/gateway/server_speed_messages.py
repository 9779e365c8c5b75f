"""Conversion of what answers show of servers' speeds to messages between instances."""

import math

from ..decisions.engine_load import MAX_SLOWDOWN
from ..decisions.server_speed_samples import SpeedSamples
from ..peers.gen.loads.ttypes import ServerSpeed

THOUSANDTHS = 1000.0
# More answers than a server can have given.
MAX_WEIGHT = 1_000_000.0
# Largest mean of the logarithms that answers can have.
MAX_LOG_RATIO = 2.0 * math.log(MAX_SLOWDOWN)


def encode_speed(life, samples):
    """Convert SpeedSamples to a ServerSpeed message; `life` is the server's hash."""
    reports, log_slowdown = None, None
    if samples.report_weight > 0.0:
        reports = _encode_sum(samples.report_weight)
        log_slowdown = _encode_sum(samples.log_slowdown_sum)
    return ServerSpeed(
        life,
        _encode_sum(samples.duration_weight),
        _encode_sum(samples.log_duration_sum),
        reports,
        log_slowdown,
    )


def _encode_sum(value):
    bounded = min(MAX_WEIGHT, max(-MAX_WEIGHT, value))
    return round(bounded * THOUSANDTHS)


def decode_speed(speed):
    """Convert a ServerSpeed message to the server's hash and SpeedSamples."""
    durations, log_duration = _decode_sums(speed.durations, speed.log_duration)
    reports, log_slowdown = _decode_sums(speed.reports, speed.log_slowdown)
    samples = SpeedSamples(durations, log_duration, reports, log_slowdown)
    return speed.server, samples


def _decode_sums(weight, log_sum):
    """Return a weight and a sum of logarithms that answers can have."""
    weight = min(MAX_WEIGHT, max(0.0, (weight or 0) / THOUSANDTHS))
    limit = MAX_LOG_RATIO * weight
    return weight, min(limit, max(-limit, (log_sum or 0) / THOUSANDTHS))
