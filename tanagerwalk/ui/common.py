"""What several commands share: reading files and calling the store."""

import asyncio
import sys
from pathlib import Path

import aiohttp
import click

from ..clients.keyvalue import KeyValueClient
from ..controllers.configuration import DECLARATION_KEY
from ..settings import parse_settings


def fail(*lines):
    """Print one plain line for each problem and end with status 1."""
    for line in lines:
        click.echo(f"tanagerwalk: {line}", err=True)
    sys.exit(1)


def read_text(path):
    """Return the text of a file, or end with a plain message."""
    try:
        return Path(path).read_text()
    except OSError as error:
        return fail(f"{path}: {error.strerror}")


def read_settings(path):
    """Return the checked settings of a file, or end with plain messages.

    Parameters
    ----------
    path : str or None
        Path of the settings file; None for the defaults.
    """
    result = parse_settings(read_text(path) if path else "")
    if result.is_error():
        return fail(*result.error)
    return result.ok


def run_with_store(settings, work):
    """Run `work` with a client of the key-value service.

    Parameters
    ----------
    settings : Settings
        Says where the service is.
    work : callable
        Coroutine function that takes a KeyValueClient.
    """

    async def run():
        async with aiohttp.ClientSession() as http:
            platform = settings.platform
            return await work(KeyValueClient(http, platform.keyvalue, platform.timeout))

    return asyncio.run(run())


def read_declaration(settings_path):
    """Return the store's entry of the declaration in force, or None.

    Parameters
    ----------
    settings_path : str or None
        Path of the settings file; None for the defaults.
    """

    async def work(store):
        return await store.get(DECLARATION_KEY)

    result = run_with_store(read_settings(settings_path), work)
    if result.is_error():
        return fail("the key-value service is not reached")
    return result.ok


settings_option = click.option(
    "--settings", "settings_path", metavar="FILE", help="Settings file (INI)."
)
