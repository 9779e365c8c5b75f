"""A defect in the handling of one request."""

import pytest

from tanagerwalk.standins.gateway_cluster import GatewayCluster, read_reply


class DefectError(Exception):
    pass


# Guards against a kept connection that is closed without an answer after its request
# has been passed on to a server.
@pytest.mark.parametrize("path", ["/jobs/1", "/bookings/1"])
async def test_defect_is_answered_and_promises_nothing(path, monkeypatch):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        (instance,) = cluster.instances
        recorder = instance.forward_filter._context.recorder

        def fail(*args):
            raise DefectError

        reader, writer = await cluster.connect()
        with monkeypatch.context() as patch:
            patch.setattr(type(recorder), "record_attempt", fail)
            for _ in range(2):
                writer.write(cluster.encode("POST", path, b"slot"))
                assert (await read_reply(reader)).status == 502
        writer.write(cluster.encode("POST", path, b"slot"))
        assert (await read_reply(reader)).status == 200
        writer.close()
    assert not instance.count_defects()
