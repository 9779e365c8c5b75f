"""Test of signals during the start of the `gateway` command."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import pytest
from loopback import choose_network
from processes import start_process
from soak.fleet import SETTINGS_TEMPLATE, find_free_port

from tanagerwalk.controllers.loop import poll_until

ADDRESS = f"{choose_network()}.203"


async def test_sighup_during_start_does_not_end_the_process(tmp_path):
    """A SIGHUP must not end a process that has not installed its handler yet.

    The default action of SIGHUP ends the process. Found by the soak test, seed
    4071846403.
    """
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    process = await start_process("gateway", "--settings", str(path))
    # Opening the FIFO blocks until the process reads its settings, which it does
    # before it installs its signal handlers.
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        front, ready, peers = (find_free_port(ADDRESS) for _ in range(3))
        instance = {"name": "gateway-0", "ip": ADDRESS, "store": f"{ADDRESS}:1"}
        ports = {"front": front, "ready": ready, "peers": peers}
        settings.write(SETTINGS_TEMPLATE.format(**instance, **ports))
    await process.wait_for_event("listening")
    assert await process.stop(signal.SIGKILL) == -signal.SIGKILL


def write_settings(path):
    """Write settings with free ports."""
    front, ready, peers = (find_free_port(ADDRESS) for _ in range(3))
    instance = {"name": "gateway-0", "ip": ADDRESS, "store": f"{ADDRESS}:1"}
    ports = {"front": front, "ready": ready, "peers": peers}
    path.write_text(SETTINGS_TEMPLATE.format(**instance, **ports))


@pytest.mark.parametrize("text", [None, "", 'node_name = "g', "port_range = []"])
async def test_start_waits_for_settings(tmp_path, text):
    """A settings file that was missing, empty or half written ended the process."""
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    process = await start_process("gateway", "--settings", str(path))
    await process.wait_for_event("no settings yet")
    process.send_signal(signal.SIGHUP)
    write_settings(path)
    await process.wait_for_event("listening")
    assert await process.stop(signal.SIGKILL) == -signal.SIGKILL


async def test_stop_during_the_wait_for_settings(tmp_path):
    """SIGTERM to a process without settings must end it with status 0."""
    process = await start_process("gateway", "--settings", str(tmp_path / "none"))
    await process.wait_for_event("no settings yet")
    assert await process.stop() == 0


@pytest.mark.parametrize("again", [signal.SIGHUP, signal.SIGTERM])
async def test_signals_until_the_exit_keep_the_status(tmp_path, again):
    """A signal in the last moments of a planned stop changed the exit status."""
    path = tmp_path / "settings.toml"
    write_settings(path)
    process = await start_process("gateway", "--settings", str(path))
    await process.wait_for_event("listening")
    process.send_signal(signal.SIGTERM)
    await process.wait_for_event("stopped")
    while process.subprocess.returncode is None:
        # `send_signal` would take the exit status from the event loop.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, again)
        await asyncio.sleep(0.0002)
    assert process.subprocess.returncode == 0


def is_null_device(link):
    # An import may have just closed a file that had the number.
    with contextlib.suppress(FileNotFoundError):
        return os.readlink(link) == os.devnull
    return False


@pytest.mark.parametrize("closed", [(1,), (0, 1, 2)])
async def test_start_without_standard_streams(tmp_path, closed):
    """A closed standard output ended the process, or took the number of a socket."""
    path = tmp_path / "settings.toml"
    write_settings(path)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "tanagerwalk", "gateway", "--settings", str(path)),
        preexec_fn=lambda: [os.close(number) for number in closed],
    )
    links = [f"/proc/{process.pid}/fd/{number}" for number in closed]
    assert await poll_until(lambda: all(map(is_null_device, links)), 0.02, 10.0)
    await asyncio.sleep(0.5)
    assert process.returncode is None
    assert all(map(is_null_device, links))
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def test_streams_without_a_reader_end_nothing(tmp_path):
    """Broken pipes at both standard streams must not end the process or its stop."""
    path = tmp_path / "settings.toml"
    write_settings(path)
    reader, writer = os.pipe()
    os.close(reader)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "tanagerwalk", "gateway", "--settings", str(path)),
        stdout=writer,
        stderr=writer,
    )
    os.close(writer)
    assert await poll_until(lambda: listens(process.pid), 0.02, 15.0)
    await asyncio.sleep(0.5)
    assert process.returncode is None
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


def listens(pid):
    """Return whether a process has opened sockets."""
    folder = Path(f"/proc/{pid}/fd")
    with contextlib.suppress(FileNotFoundError):
        return any("socket" in os.readlink(each) for each in folder.iterdir())
    return False
