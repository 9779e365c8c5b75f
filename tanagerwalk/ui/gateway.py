"""Command `gateway`: run a gateway instance on the users' platform."""

import asyncio
import signal
import sys
from pathlib import Path

import click
import structlog
import uvloop
from expression import Error

from ..gateway.app import GatewayInstance
from ..logs import configure_logs
from ..logsink import LogSink
from ..platform.codec import PlatformCodec
from ..platform.names import SETTINGS_VARIABLE
from ..platform.settings import parse_settings
from ..platform.store import MetadataStore

log = structlog.get_logger(__name__)

SETTINGS_POLL_S = 2.0


@click.command()
@click.option(
    "--settings",
    "path",
    envvar=SETTINGS_VARIABLE,
    required=True,
    help="Settings file of the platform.",
)
def gateway(path):
    """Run a gateway instance until SIGTERM or SIGINT, then drain it."""
    sink = LogSink(sys.stdout.fileno())
    configure_logs(sink=sink)
    settings = _read_settings(path)
    uvloop.run(_run_until_stopped(path, settings, sink))


def _read_settings(path):
    result = _load_settings(path)
    if result.is_error():
        raise click.ClickException(f"{path}: {result.error}")
    return result.ok


def _load_settings(path):
    try:
        text = Path(path).read_text()
    except OSError as error:
        return Error(error.strerror)
    return parse_settings(text)


async def _run_until_stopped(path, settings, sink):
    loop = asyncio.get_running_loop()
    store = MetadataStore(settings.store.address)
    instance = GatewayInstance(settings, store, PlatformCodec())
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    await instance.start()
    instance.supervisor.run(
        "settings", lambda: _watch_settings(path, instance, reload_requested, sink)
    )
    await stop_requested.wait()
    try:
        await instance.stop()
    except Exception:
        # The process ends anyway, and its requests are answered.
        log.critical("stop failed", exc_info=True)


async def _watch_settings(path, instance, reload_requested, sink):
    """Reload the settings on SIGHUP, or when the file has a new modification time.

    The file may change without a signal, so it is also polled every
    `SETTINGS_POLL_S` seconds. Settings that fail to parse are logged and ignored.
    """
    last_mtime = _read_mtime(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
        except TimeoutError:
            sink.flush()
        mtime = _read_mtime(path)
        if mtime != last_mtime:
            reload_requested.set()
        if not reload_requested.is_set():
            continue
        last_mtime = mtime
        _reload_settings(path, instance)
        # Only now: a run after a failed one reads the settings again.
        reload_requested.clear()


def _reload_settings(path, instance):
    result = _load_settings(path)
    if result.is_error():
        log.error("settings not reloaded", path=path, problem=result.error)
        return
    instance.apply_settings(result.ok)


def _read_mtime(path):
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return None
