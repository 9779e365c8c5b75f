"""Test of attempts that this instance couldn't send for lack of a descriptor."""

from expression import Error

from tanagerwalk.gateway.connect_faults import ConnectFault
from tanagerwalk.standins.gateway_cluster import GatewayCluster


async def lack_descriptors(address, timeout, create_protocol=None):
    return Error(ConnectFault.DESCRIPTORS_FULL)


def find_server(instance, server_id):
    return instance.servers.find(server_id).server


# Guards against a request refused for lack of a descriptor though another server could
# have been asked over a connection that is open.
async def test_kept_connection_to_another_server_is_used():
    async with GatewayCluster() as cluster:
        await cluster.build(desks=2)
        [instance] = cluster.instances
        for number in range(10):
            await cluster.send(cluster.encode("GET", f"/jobs/{number}"))
        instance.connection_pool.close_idle_to(find_server(instance, "desk-1"))
        instance.connection_pool.connector.dial = lack_descriptors
        replies = [
            await cluster.send(cluster.encode("GET", f"/jobs/{number}"))
            for number in range(10)
        ]
        assert [reply.status for reply in replies] == [200] * 10


# Guards against a refusal that takes long, or has another reason, if no connection is
# kept at all.
async def test_request_is_refused_if_no_connection_is_kept():
    async with GatewayCluster() as cluster:
        await cluster.build(desks=2)
        [instance] = cluster.instances
        for server_id in ("desk-0", "desk-1"):
            instance.connection_pool.close_idle_to(find_server(instance, server_id))
        instance.connection_pool.connector.dial = lack_descriptors
        reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
        assert reply.status == 503
        assert b"descriptors_full" in reply.body
        assert all(not server.requests for server in cluster.servers.values())
