"""Command `report`: aggregate the metrics of several entry instances."""

import asyncio

import aiohttp
import click

from ..declarations import EMPTY_DECLARATION, parse_declaration
from ..documents import decode_text
from ..reports import FleetReport
from .common import fail, read_declaration, settings_option

REQUEST_TIMEOUT_S = 5


@click.command()
@settings_option
@click.argument("admin_addresses", nargs=-1, required=True)
def report(settings_path, admin_addresses):
    """Show late answers, cost, refusals and retries of entry instances.

    ADMIN_ADDRESSES are the admin ports of the instances, each as IP:port.
    """
    fleet = FleetReport()
    for page in asyncio.run(_fetch_all_metrics(admin_addresses)):
        fleet.add(page)
    entry = read_declaration(settings_path)
    declaration = EMPTY_DECLARATION
    if entry is not None:
        parsed = decode_text(entry.value).bind(parse_declaration)
        if parsed.is_error():
            fail("the declaration in force is not valid")
        declaration = parsed.ok
    for line in render_report(fleet, declaration):
        click.echo(line)


def render_report(fleet, declaration):
    """Return the lines of a report.

    Parameters
    ----------
    fleet : FleetReport
        Aggregated metrics.
    declaration : Declaration
        Supplies the cost target of each class.

    Returns
    -------
    list of str
    """
    lines = [f"{'class':<16}{'answered':>10}{'late':>8}{'cost':>12}{'target':>12}"]
    for name, measures in sorted(fleet.classes.items()):
        work_class = declaration.classes.get(name)
        target = f"{work_class.cost:.6f}" if work_class and work_class.cost else "-"
        lines.append(
            f"{name:<16}{measures.answered:>10.0f}{measures.late_share:>8.1%}"
            f"{measures.mean_cost:>12.6f}{target:>12}"
        )
    for title, counts in (("refused", fleet.refusals), ("retried", fleet.retries)):
        lines += [f"{title} {reason}: {n:.0f}" for reason, n in sorted(counts.items())]
    return lines


async def _fetch_all_metrics(addresses):
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        return [await _fetch_metrics(http, address) for address in addresses]


async def _fetch_metrics(http, address):
    try:
        async with http.get(f"http://{address}/metrics") as response:
            return await response.text()
    except (aiohttp.ClientError, TimeoutError) as error:
        return fail(f"{address}: {type(error).__name__}")
