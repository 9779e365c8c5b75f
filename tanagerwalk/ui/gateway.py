"""Command `gateway`: run a gateway instance on the users' platform."""

import asyncio
import contextlib
import os
import signal
import time
from pathlib import Path

import click
import structlog
import uvloop
from expression import Error

from ..gateway.descriptors import raise_system_limit
from ..gateway.instance import GatewayInstance
from ..logs import configure_logs, route_standard_logs
from ..logsink import LogSink
from ..platform.codec import PlatformCodec
from ..platform.names import SETTINGS_VARIABLE
from ..platform.settings import parse_settings
from ..platform.store import MetadataStore
from ..process_memory import map_large_blocks

log = structlog.get_logger(__name__)

SETTINGS_POLL_S = 2.0
SETTINGS_RETRY_S = 0.05
SETTINGS_LOG_INTERVAL_S = 10.0
STANDARD_STREAMS = (0, 1, 2)
STANDARD_OUTPUT = 1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


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
    open_missing_streams()
    sink = LogSink(STANDARD_OUTPUT)
    configure_logs(sink=sink)
    route_standard_logs(sink)
    map_large_blocks()
    settings = wait_for_settings(path)
    uvloop.run(_run_until_stopped(path, settings, sink))


def open_missing_streams():
    """Open the null device for each standard stream that the parent has closed.

    Otherwise the next socket would get its number, and the log would go there.
    """
    for descriptor in STANDARD_STREAMS:
        with contextlib.suppress(OSError):
            if not _is_open(descriptor):
                # The lowest number that is free, which is this one.
                os.open(os.devnull, os.O_RDWR)


def _is_open(descriptor):
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def wait_for_settings(path):
    """Return the settings as soon as the file is there and complete.

    The platform writes the file at each start, maybe after the process has begun.
    """
    last_problem, logged_at = None, 0.0
    while (result := _load_settings(path)).is_error():
        now = time.monotonic()
        is_new = result.error != last_problem
        if is_new or now - logged_at >= SETTINGS_LOG_INTERVAL_S:
            log.error("no settings yet", path=path, problem=result.error)
            last_problem, logged_at = result.error, now
        time.sleep(SETTINGS_RETRY_S)
    return result.ok


def _load_settings(path):
    try:
        return parse_settings(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        return Error(str(error))


async def _run_until_stopped(path, settings, sink):
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    raise_system_limit(settings.max_descriptors)
    codec = PlatformCodec()
    store = MetadataStore(settings.store.address, codec.entry_reduction)
    instance = GatewayInstance(settings, store, codec)
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
    # The loop puts back the default actions, which would end the process by a signal.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, *STOP_SIGNALS})


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
