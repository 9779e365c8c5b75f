"""Faults of this instance beside those of a server."""

import random
import time

from expression import Error

from tanagerwalk.decisions.paths import PathState, PathTable
from tanagerwalk.gateway.connect_faults import ConnectFault
from tanagerwalk.gateway.connector import ServerConnector


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
