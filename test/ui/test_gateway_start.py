"""The `gateway` command while it starts."""

import os
import signal

from processes import start_process
from soak.fleet import SETTINGS_TEMPLATE, find_free_port

ADDRESS = "127.91.7.1"


async def test_reload_during_the_start_does_not_end_the_process(tmp_path):
    """A soak (seed 4071846403) sent one before the handler was there."""
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    process = await start_process("gateway", "--settings", str(path))
    # Opening waits until the process reads its settings, before it takes signals.
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        front, ready, peers = (find_free_port(ADDRESS) for _ in range(3))
        places = {"name": "gateway-0", "ip": ADDRESS, "store": f"{ADDRESS}:1"}
        ports = {"front": front, "ready": ready, "peers": peers}
        settings.write(SETTINGS_TEMPLATE.format(**places, **ports))
    await process.wait_for_event("listening")
    assert await process.stop(signal.SIGKILL) == -signal.SIGKILL
