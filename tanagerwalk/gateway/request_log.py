"""The log line at the end of a request, with each of its attempts."""

import structlog

log = structlog.get_logger(__name__)

MS_PER_S = 1000.0


def log_request_end(request, end, elapsed, progress, attempts, **inputs):
    """Log how a request ended.

    Parameters
    ----------
    request : GatewayRequest
        The request.
    end : str
        How it ended.
    elapsed : float
        Seconds since it was received.
    progress : StreamProgress
        What the client has received.
    attempts : list of dict
        Output of `describe_attempt` for each attempt.
    **inputs
        Further fields that tell why it ended so.
    """
    first_event_at = progress.first_event_at
    first = None if first_event_at is None else first_event_at - request.raw.received_at
    log.info(
        "request",
        id=request.id.decode("latin-1"),
        route=request.route.name,
        account=request.account,
        session=None if request.session is None else request.session.decode("latin-1"),
        manifest=request.manifest.revision,
        end=end,
        ms=round(elapsed * MS_PER_S),
        first_ms=None if first is None else round(first * MS_PER_S),
        max_gap_ms=round(progress.max_gap * MS_PER_S),
        prompt=request.prompt_info.prompt_tokens,
        attempts=attempts,
        **inputs,
    )


def describe_attempt(attempt, result, seconds, wait):
    """Return the log fields of an attempt, with times in milliseconds."""
    return {
        "server": attempt.server.id,
        "release": attempt.server.release,
        "model": attempt.model,
        "outcome": result.outcome.value,
        "detail": result.detail,
        "kept": result.kept,
        "via": result.via,
        "ms": round(seconds * MS_PER_S),
        "first_ms": round(result.latency_sample.head_latency * MS_PER_S)
        if result.latency_sample
        else None,
        "gap_ms": round(result.latency_sample.event_interval * MS_PER_S)
        if result.latency_sample
        else None,
        "load": _describe_load(result.load),
        "wait_ms": round(wait * MS_PER_S),
    }


def _describe_load(load):
    """Return running and waiting requests, slots, and a slowdown that was reported."""
    if load is None:
        return None
    counts = [load.running, load.waiting, load.slots]
    return counts if load.slowdown is None else [*counts, load.slowdown]
