"""Fleet reports summed over the metrics pages of several instances."""

from prometheus_client import generate_latest

from tanagerwalk.declarations import parse_declaration
from tanagerwalk.metrics import Metrics
from tanagerwalk.reports import FleetReport
from tanagerwalk.ui.report import render_report


def make_page(answered, late, cost, refused):
    metrics = Metrics()
    metrics.requests.labels("label").inc(answered)
    metrics.late.labels("label").inc(late)
    metrics.cost.labels("label").inc(cost)
    metrics.refusals.labels("queue_full").inc(refused)
    return generate_latest(metrics.registry).decode()


def test_pages_are_summed():
    fleet = FleetReport()
    fleet.add(make_page(30, 3, 1.5, 2))
    fleet.add(make_page(10, 1, 0.5, 0))
    declaration = parse_declaration("[class label]\nlateness = 1 s\ncost = 0.1\n").ok
    assert render_report(fleet, declaration)[1:] == [
        "label                   40   10.0%    0.050000    0.100000",
        "refused queue_full: 2",
    ]
