"""Command `serve`: run an entry instance."""

import asyncio
import signal

import click
import uvloop

from ..app import EntryInstance
from ..logs import configure_logs
from .common import fail, read_settings, settings_option


@click.command()
@settings_option
def serve(settings_path):
    """Run an entry instance until SIGTERM or SIGINT, then drain it."""
    settings = read_settings(settings_path)
    configure_logs()
    try:
        uvloop.run(run_until_stopped(settings))
    except OSError as error:
        fail(f"cannot listen on {settings.instance.address}: {error.strerror}")


async def run_until_stopped(settings):
    """Run one entry instance until a signal asks it to stop.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    instance = EntryInstance(settings)
    await instance.start()
    await stopped.wait()
    await instance.stop()
