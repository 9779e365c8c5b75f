"""Helpers shared by the commands: reading files and calling the store."""

import asyncio
import sys
from pathlib import Path

import aiohttp
import click

from ..clients.keyvalue import KeyValueClient
from ..controllers.configuration import DECLARATION_KEY
from ..settings import parse_settings


def fail(*lines):
    """Print each error message on a line of its own and exit with status 1."""
    for line in lines:
        click.echo(f"tanagerwalk: {line}", err=True)
    sys.exit(1)


def read_text(path):
    """Return the text of a file, or exit with an error message."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return fail(f"{path}: {error.strerror}")
    except UnicodeDecodeError:
        return fail(f"{path}: not UTF-8")


def read_settings(path):
    """Return the validated settings of a file, or exit with error messages.

    Parameters
    ----------
    path : str or None
        Path of the settings file; None for the defaults.
    """
    result = parse_settings(read_text(path) if path else "")
    if result.is_error():
        return fail(*result.error)
    return result.ok


def run_with_store(settings, operation):
    """Run `operation` with a client of the key-value service.

    Parameters
    ----------
    settings : Settings
        Holds the address of the service and the request timeout.
    operation : callable
        Coroutine function that takes a KeyValueClient.

    Returns
    -------
    object
        Whatever `operation` returns.
    """

    async def run():
        async with aiohttp.ClientSession() as http:
            platform = settings.platform
            return await operation(
                KeyValueClient(http, platform.keyvalue, platform.timeout)
            )

    return asyncio.run(run())


def read_declaration(settings_path):
    """Return the store entry of the declaration in force, or None.

    Exits with an error message if the store cannot be read.

    Parameters
    ----------
    settings_path : str or None
        Path of the settings file; None for the defaults.
    """

    async def operation(store):
        return await store.get(DECLARATION_KEY)

    result = run_with_store(read_settings(settings_path), operation)
    if result.is_error():
        return fail("cannot reach the key-value service")
    return result.ok


settings_option = click.option(
    "--settings", "settings_path", metavar="FILE", help="Settings file (INI)."
)
