"""What operators see of servers that differ in speed."""

import random

from structlog.testing import capture_logs

from tanagerwalk.decisions.engine_load import EngineLoad
from tanagerwalk.decisions.paths import PathTable
from tanagerwalk.decisions.selection import ServerPool
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.metrics import GatewayMetrics
from tanagerwalk.gateway.server_speed_watch import SpeedWatch
from tanagerwalk.logs import configure_logs
from tanagerwalk.registry import RegisteredServer, ServerState

SERVERS = [
    RegisteredServer(
        f"s{n}", "desk", ("10.0.0.1", 80), "a-1", "v1", 6, ServerState.READY, 1
    )
    for n in range(2)
]


def test_lasting_change_is_logged_once_and_counted():
    configure_logs("debug")
    now = 0.0
    metrics = GatewayMetrics()
    servers = ServerPool(None, SharedLoadTable(), PathTable(), random.Random(1))
    servers.replace_servers(SERVERS)
    watch = SpeedWatch(servers, metrics, lambda: now)
    for number in range(40):
        now = number * 0.1
        servers.record_answer(SERVERS[0], EngineLoad(1, 0, 6, 2.5), now)
        servers.record_answer(SERVERS[1], EngineLoad(1, 0, 6, 1.0), now)
    now = 5.0
    with capture_logs() as lines:
        watch.update()
        watch.update()
    assert [(line["event"], line["server"]) for line in lines] == [
        ("server speed", "s0")
    ]
    assert b"uneven_servers 1.0" in metrics.render()
    servers.replace_servers([])
    now = 6.0
    with capture_logs() as lines:
        watch.update()
        watch.update()
    assert not lines
    assert b"uneven_servers 0.0" in metrics.render()
