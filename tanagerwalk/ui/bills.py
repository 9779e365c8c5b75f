"""Command `bills`: show the total cost of each client account."""

from collections import Counter

import click

from ..controllers.billing import read_bills
from ..decisions.bills import deduplicate_bills
from .common import fail, read_settings, run_with_store, settings_option


@click.command()
@settings_option
def bills(settings_path):
    """Show the number of requests and the cost of each client account.

    A request that was billed more than once is counted once.
    """
    result = run_with_store(read_settings(settings_path), read_bills)
    if result.is_error():
        fail("cannot reach the key-value service")
    cost = Counter()
    requests = Counter()
    for bill in deduplicate_bills(result.ok).values():
        cost[bill.account] += bill.cost
        requests[bill.account] += 1
    for account in sorted(cost):
        click.echo(f"{account}\t{requests[account]}\t{cost[account]:.4f}")
