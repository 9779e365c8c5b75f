"""Test of signals during the start of the `gateway` command."""

import os
import signal

from processes import start_process
from soak.fleet import SETTINGS_TEMPLATE, find_free_port

ADDRESS = "127.91.7.1"


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
