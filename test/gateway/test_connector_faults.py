"""Faults of this instance beside those of a server."""

import random
import time
from types import SimpleNamespace

from expression import Error, Ok

from tanagerwalk.decisions.paths import Outage, PathState, PathTable
from tanagerwalk.gateway.connect_faults import ConnectFault
from tanagerwalk.gateway.connector import REFUSED, ServerConnector


class FullTunnels:
    def rank_peers(self, server, allows_peer=None):
        return ["other"]

    async def open(self, peer_id, server):
        return Error(ConnectFault.DESCRIPTORS_FULL)


class Server:
    id = "desk-0"
    service = "desk"
    address = ("127.0.0.1", 1)


# Guards against a server that is gone but never counts as lost, so that its requests
# are refused instead of sent to others, while no tunnel can be opened here.
async def test_refused_connection_counts_although_no_tunnel_has_a_descriptor():
    async def refuse(address, timeout, create_protocol=None):
        return Error("ConnectionRefusedError")

    paths = PathTable()
    connector = ServerConnector(paths, FullTunnels(), time.monotonic, random.Random(1))
    connector.dial = refuse
    result = await connector.connect(Server(), 1.0)
    connector.close()
    assert not isinstance(result.error, ConnectFault), result
    assert paths.get_state("desk-0") is PathState.UNREACHABLE


# Guards against a server reached through tunnels that is gone but never counts as
# lost, while no tunnel can be opened here.
async def test_refusal_counts_on_the_indirect_path_without_a_descriptor_for_tunnels():
    async def refuse(address, timeout, create_protocol=None):
        return Error("ConnectionRefusedError")

    paths = PathTable()
    paths.record_lost("desk-0", PathState.INDIRECT, time.monotonic())
    connector = ServerConnector(paths, FullTunnels(), time.monotonic, random.Random(1))
    connector.dial = refuse
    result = await connector.connect(Server(), 1.0)
    connector.close()
    assert not isinstance(result.error, ConnectFault), result
    assert paths.get_state("desk-0") is PathState.UNREACHABLE


# Guards against a server that is blamed for a dial that this instance couldn't try.
async def test_fault_of_the_direct_dial_blames_no_server():
    async def lack(address, timeout, create_protocol=None):
        return Error(ConnectFault.DESCRIPTORS_FULL)

    paths = PathTable()
    connector = ServerConnector(paths, FullTunnels(), time.monotonic, random.Random(1))
    connector.dial = lack
    result = await connector.connect(Server(), 1.0)
    connector.close()
    assert result.error is ConnectFault.DESCRIPTORS_FULL
    assert paths.get_state("desk-0") is PathState.DIRECT


class RefusedTunnels(FullTunnels):
    async def open(self, peer_id, server):
        return Error("ConnectionRefusedError")


# Guards against a server that one request with allowed regions puts out for all others,
# which may still reach it through the instances that this request may not pass.
async def test_restricted_request_does_not_put_a_server_out_for_others():
    async def refuse(address, timeout, create_protocol=None):
        return Error("ConnectionRefusedError")

    paths = PathTable()
    tunnels = RefusedTunnels()
    connector = ServerConnector(paths, tunnels, time.monotonic, random.Random(1))
    connector.dial = refuse
    result = await connector.connect(Server(), 1.0, lambda peer_id: False)
    connector.close()
    assert result.error is ConnectFault.NO_ALLOWED_PATH
    assert paths.get_state("desk-0") is PathState.INDIRECT


class OpenTunnels(FullTunnels):
    async def open(self, peer_id, server):
        return Ok(SimpleNamespace(via=peer_id, abort=lambda: None))


def build_connector(tunnels, dial):
    connector = ServerConnector(PathTable(), tunnels, time.monotonic, random.Random(1))
    connector.dial = dial
    connector.returned = []
    connector.on_returned = lambda *event: connector.returned.append(event)
    return connector


async def refuse_connection(address, timeout, create_protocol=None):
    return Error(REFUSED)


async def time_out(address, timeout, create_protocol=None):
    return Error("TimeoutError")


async def open_direct(address, timeout, create_protocol=None):
    return Ok(SimpleNamespace(via=None, abort=lambda: None))


# Guards against a new start of a server that is missed since the server is back
# while a tunnel to it is tried, and never counts as unreachable.
async def test_server_that_refused_has_returned_once_a_tunnel_reaches_it():
    connector = build_connector(OpenTunnels(), refuse_connection)
    server = Server()
    assert (await connector.connect(server, 1.0)).is_ok()
    assert connector.returned == [(server, Outage.DOWN)]
    connector.dial = open_direct
    await connector.probe_once(server)
    connector.close()
    assert connector.returned == [(server, Outage.DOWN)]


async def test_server_that_refused_a_restricted_request_has_returned():
    connector = build_connector(RefusedTunnels(), refuse_connection)
    server = Server()
    await connector.connect(server, 1.0, lambda peer_id: False)
    assert connector.returned == []
    connector.dial = open_direct
    await connector.probe_once(server)
    connector.close()
    assert connector.returned == [(server, Outage.DOWN)]


async def test_server_that_refuses_while_tunnels_reach_it_has_returned():
    connector = build_connector(OpenTunnels(), time_out)
    server = Server()
    assert (await connector.connect(server, 1.0)).is_ok()
    assert connector.returned == []
    connector.dial = refuse_connection
    await connector.probe_once(server)
    connector.dial = open_direct
    await connector.probe_once(server)
    connector.close()
    assert connector.returned == [(server, Outage.DOWN)]


# Guards against one instance that keeps a server cold for the whole fleet, since its
# own path rejects connections.
async def test_path_that_rejects_connections_counts_as_one_outage():
    connector = build_connector(OpenTunnels(), refuse_connection)
    server = Server()
    for _ in range(5):
        assert (await connector.connect(server, 1.0)).is_ok()
        await connector.probe_once(server)
    assert connector.returned == [(server, Outage.DOWN)]
    connector._tunnels = RefusedTunnels()
    await connector.connect(server, 1.0)
    await connector.probe_once(server)
    connector._tunnels = OpenTunnels()
    await connector.probe_once(server)
    connector.close()
    assert connector.returned == 2 * [(server, Outage.DOWN)]


# A path that is cut says nothing about the server, which others still reach.
async def test_server_behind_a_cut_path_has_not_returned():
    connector = build_connector(OpenTunnels(), time_out)
    server = Server()
    assert (await connector.connect(server, 1.0)).is_ok()
    connector.dial = open_direct
    await connector.probe_once(server)
    connector.close()
    assert connector.returned == []


# A packet that is lost must not count as a crash that every instance is told of.
async def test_only_a_refused_check_shows_that_a_server_is_down():
    connector = build_connector(RefusedTunnels(), time_out)
    server = Server()
    assert not await connector.check(server)
    assert not connector._paths.is_down(server.id)
    connector.dial = refuse_connection
    assert not await connector.check(server)
    connector.close()
    assert connector._paths.is_down(server.id)


# Guards against a return that is missed, so that the limit lasts longer than it must.
async def test_restricted_request_leaves_a_server_unreachable():
    connector = build_connector(RefusedTunnels(), None)
    server = Server()

    async def fail_beside_check(address, timeout, create_protocol=None):
        connector.dial = time_out
        await connector.check(server)
        return Error("TimeoutError")

    connector.dial = fail_beside_check
    result = await connector.connect(server, 1.0, lambda peer_id: False)
    assert result.error is ConnectFault.NO_ALLOWED_PATH
    assert connector._paths.is_unreachable(server.id)
    connector.dial = open_direct
    await connector.probe_once(server)
    connector.close()
    assert connector.returned == [(server, Outage.CUT_OFF)]
