"""Parsing of the load metrics that backend servers publish as Prometheus text."""

import re

from prometheus_client.parser import text_string_to_metric_families

RUNNING_METRICS = frozenset({"vllm:num_requests_running", "num_requests_running"})
WAITING_METRICS = frozenset({"vllm:num_requests_waiting", "num_requests_waiting"})
MAX_REQUESTS = 1e9
MAX_LORA_PATTERN = re.compile(
    r'^vllm:lora_requests_info\{[^}]*max_lora="([0-9]{1,9})"', re.M
)


def parse_adapter_slots(text):
    """Return how many versions fit into an engine's memory; 0 if not published."""
    found = MAX_LORA_PATTERN.search(text)
    return int(found[1]) if found else 0


def parse_load(text):
    """Parse the numbers of running and waiting requests.

    Parameters
    ----------
    text : str
        Metrics page in Prometheus text format.

    Returns
    -------
    tuple of int
        Running and waiting requests, summed over all labels.

    Raises
    ------
    ValueError
        If the page is malformed, or a number is impossible.
    """
    running = 0.0
    waiting = 0.0
    # An engine under load publishes hundreds of lines, and parsing is expensive.
    lines = [line for line in text.splitlines() if "num_requests_" in line]
    try:
        for family in text_string_to_metric_families("\n".join(lines) + "\n"):
            for sample in family.samples:
                if sample.name in RUNNING_METRICS:
                    running += sample.value
                elif sample.name in WAITING_METRICS:
                    waiting += sample.value
    except OverflowError as error:
        raise ValueError(f"number out of range: {error}") from error
    for number in (running, waiting):
        if not 0.0 <= number <= MAX_REQUESTS:
            raise ValueError(f"impossible number of requests: {number}")
    return int(running), int(waiting)
