"""Helpers that build small fleets of backend servers for tests."""

from tanagerwalk.decisions.servers import (
    Home,
    LoadReport,
    ServerRecord,
    ServerRole,
    ServerTable,
)
from tanagerwalk.settings import parse_settings

VERSION = "m1"
SETTINGS = parse_settings().ok


def make_record(name, domain="r1-a", incarnation=1):
    return ServerRecord(
        id=name,
        address=f"{name}:1",
        role=ServerRole.ENGINE,
        region=domain.partition("-")[0],
        failure_domain=domain,
        incarnation=f"{name}.{incarnation}",
    )


def make_table(*records, instance="entry-1", instance_count=1):
    table = ServerTable(Home("r1", "r1-a", instance), SETTINGS.limits, 10.0)
    table.instance_count = instance_count
    table.update_records(records)
    for record in records:
        report_load(table, record.id, 0, 0, 0.0)
    return table


def report_load(table, name, running, waiting, now):
    table.update_load(name, LoadReport(running, waiting, frozenset({VERSION})), now)
