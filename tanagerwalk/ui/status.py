"""Command `status`: show the internal state of an entry instance."""

import asyncio
import json

import aiohttp
import click

from .common import fail

REQUEST_TIMEOUT_S = 5


@click.command()
@click.argument("admin_address")
def status(admin_address):
    """Show the status of the instance whose admin port is ADMIN_ADDRESS (IP:port)."""
    click.echo(json.dumps(asyncio.run(_fetch_status(admin_address)), indent=2))


async def _fetch_status(address):
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.get(f"http://{address}/status") as response,
        ):
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        return fail(f"{address}: {type(error).__name__}")
