"""Command `why`: explain from log lines how a request ended."""

import json
import sys

import click

CONTEXT_WINDOW_S = 8.0
CONTEXT_EVENTS = frozenset(
    {
        "manifest in force",
        "server gone",
        "server unreachable",
        "server reachable again",
        "store lost",
        "store regained",
        "store history lost",
        "rollout phase",
        "release halted",
        "settings reloaded",
        "stopping",
        "listening",
        "log lines dropped",
    }
)


@click.command()
@click.argument("request_id")
def why(request_id):
    """Explain how request REQUEST_ID ended, from log lines on standard input.

    Events that can affect routing are printed as well if they were logged shortly
    before the request.
    """
    found = False
    recent = []
    for time, line in parse_log_lines(sys.stdin):
        if line.get("event") in CONTEXT_EVENTS:
            recent.append((time, line))
        if line.get("id") != request_id:
            continue
        found = True
        for logged_at, event in recent:
            if (
                time is None
                or logged_at is None
                or time - logged_at <= CONTEXT_WINDOW_S
            ):
                click.echo(f"  before: {render_fields(event)}")
        for text in describe(line):
            click.echo(text)
        recent.clear()
    if not found:
        raise click.ClickException(f"no log line mentions request {request_id}")


def parse_log_lines(stream):
    """Yield the time and the fields of each line that contains a JSON object.

    Lines without a valid JSON object are skipped.

    Parameters
    ----------
    stream : iterable of str
        Log lines, each with an optional prefix: a time in seconds and a source.
    """
    for raw in stream:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except ValueError:
            continue
        yield parse_time(raw[:start]), line


def parse_time(prefix):
    """Return the time in seconds that starts a line's prefix, or None."""
    words = prefix.split()
    try:
        return float(words[0]) if words else None
    except ValueError:
        return None


def describe(line):
    """Return a description of a request's log line, one line for each step."""
    if line["event"] != "request":
        return [f"{line['event']}: {render_fields(line)}"]
    steps = [f"request {line['id']}: {line['end']} after {line['ms']} ms"]
    for number, attempt in enumerate(line["attempts"], 1):
        model = f" with {attempt['model']}" if attempt["model"] else ""
        # Lines of earlier builds don't tell the path.
        via = f" through {attempt['via']}" if attempt.get("via") else ""
        steps.append(
            f"  attempt {number} at {attempt['server']}{model}{via}:"
            f" {attempt['outcome']}"
            f" ({attempt['detail'] or 'whole'}) after {attempt['ms']} ms,"
            f" expected wait {attempt['wait_ms']} ms, server's load {attempt['load']}"
        )
    if line["end"] == "left":
        steps.append(
            f"  the client disconnected; server of the last attempt: {line['running']}"
        )
    return steps


def render_fields(line):
    """Return the fields of a log line as `key=value` pairs, without the level."""
    return " ".join(f"{key}={value}" for key, value in line.items() if key != "level")
