"""Command `serve`: run an entry instance."""

import asyncio
import signal

import click
import structlog
import uvloop

from ..app import EntryInstance
from ..descriptors import raise_limit
from ..logs import configure_logs
from ..process_memory import map_large_blocks, share_heap
from ..settings import parse_settings
from .common import fail, read_settings, settings_option

log = structlog.get_logger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@click.command()
@settings_option
def serve(settings_path):
    """Run an entry instance until SIGTERM or SIGINT, then drain it."""
    settings = read_settings(settings_path)
    check_secrets(settings)
    configure_logs()
    map_large_blocks()
    share_heap()
    raise_limit(settings.limits.descriptors)
    try:
        uvloop.run(run_until_stopped(settings))
    except OSError as error:
        fail(f"cannot listen on {settings.instance.address}: {error.strerror}")


def check_secrets(settings):
    """Exit with error messages if a secret still has its default value."""
    defaults = parse_settings().ok
    problems = [
        f"[{name}] secret still has its default value; set your own"
        for name in ("peers", "sessions")
        if getattr(settings, name).secret == getattr(defaults, name).secret
    ]
    if problems:
        fail(*problems)


async def run_until_stopped(settings):
    """Run one entry instance until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """
    loop = asyncio.get_running_loop()
    instance = EntryInstance(settings)
    stop_requested = asyncio.Event()

    def request_stop(*_):
        loop.call_soon_threadsafe(stop_requested.set)

    # Handlers of the loop would give way to the default actions at its end, by which
    # a further signal ends the process. A mask would hold for one thread only.
    _handle_signals(request_stop)
    await _serve_until(stop_requested, instance)
    _handle_signals(signal.SIG_IGN)


def _handle_signals(handler):
    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, handler)


async def _serve_until(stop_requested, instance):
    starting = asyncio.create_task(instance.start())
    stop_wait = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((starting, stop_wait), return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        # A port is still in use, and nothing has been served.
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        await instance.close()
        return
    await starting
    await stop_wait
    try:
        await instance.stop()
    except Exception:
        # The process ends anyway, and its requests are answered.
        log.critical("stop failed", exc_info=True)
