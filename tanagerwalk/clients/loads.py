"""Parsing of the load metrics that backend servers publish as Prometheus text."""

import re

from prometheus_client.parser import text_string_to_metric_families

RUNNING_METRICS = frozenset({"vllm:num_requests_running", "num_requests_running"})
WAITING_METRICS = frozenset({"vllm:num_requests_waiting", "num_requests_waiting"})
MAX_LORA_PATTERN = re.compile(r'^vllm:lora_requests_info\{[^}]*max_lora="(\d+)"', re.M)


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
        If the page is malformed.
    """
    running = 0.0
    waiting = 0.0
    # An engine under load publishes hundreds of lines, and parsing is expensive.
    lines = [line for line in text.splitlines() if "num_requests_" in line]
    for family in text_string_to_metric_families("\n".join(lines) + "\n"):
        for sample in family.samples:
            if sample.name in RUNNING_METRICS:
                running += sample.value
            elif sample.name in WAITING_METRICS:
                waiting += sample.value
    return int(running), int(waiting)
