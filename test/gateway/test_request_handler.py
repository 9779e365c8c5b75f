"""A defect in the handling of one request."""

import asyncio

import pytest

from tanagerwalk.standins.behaviours import Behaviour
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


# Guards against refusals that no metric tells: only those of the chain were counted.
async def test_every_refusal_is_counted():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        (instance,) = cluster.instances
        for data in (
            cluster.encode("GET", "/jobs/1", X_Tanagerwalk_Attempt_Id=""),
            cluster.encode("POST", "/jobs/1", b"x" * 70000),
            cluster.encode("GET", "/nowhere/1"),
        ):
            assert 400 <= (await cluster.send(data)).status < 500
        instance.request_handler.is_stopping = True
        reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
        assert reply.status == 503
        page = instance.metrics.render().decode()
    for reason in ("invalid_request", "request_too_large", "class_unknown", "stopping"):
        assert f'refusals_total{{reason="{reason}"}} 1.0' in page


def cancel(*args):
    raise asyncio.CancelledError


def fail(*args):
    raise DefectError


# Guards against LOST: a cancelled step that was not the client's leaving reset the
# connection of a request that had been passed on.
async def test_request_whose_step_is_cancelled_is_answered(monkeypatch):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        (instance,) = cluster.instances
        recorder = instance.forward_filter._context.recorder
        reader, writer = await cluster.connect()
        with monkeypatch.context() as patch:
            patch.setattr(type(recorder), "record_attempt", cancel)
            writer.write(cluster.encode("POST", "/bookings/1", b"slot"))
            assert (await read_reply(reader)).status == 502
        writer.write(cluster.encode("POST", "/bookings/2", b"slot"))
        assert (await read_reply(reader)).status == 200
        writer.close()


# Guards against LOST: a request that waited for the check of a crashed server was reset
# when the check was cancelled or failed.
@pytest.mark.parametrize("end", [cancel, fail])
async def test_check_for_a_crash_that_ends_early_costs_no_answer(monkeypatch, end):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=2)
        (instance,) = cluster.instances
        quarantine = instance.forward_filter._context.quarantine

        async def check(*args):
            await asyncio.sleep(0.05)
            end()

        monkeypatch.setattr(type(instance.crash_check), "_check", check)
        monkeypatch.setattr(type(quarantine), "may_be_guilty", lambda *args: True)
        cluster.servers["desk-0"].behaviour = Behaviour("reset", times=1)
        cluster.servers["desk-1"].behaviour = Behaviour("reset", times=1)
        reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
        assert reply.status == 200


# Guards against LOST: what was before the chain could fail, and its request was reset.
async def test_request_that_cannot_be_parsed_is_refused_unrun(monkeypatch):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        (instance,) = cluster.instances
        reader, writer = await cluster.connect()
        with monkeypatch.context() as patch:
            patch.setattr(type(instance.codec), "parse_request", fail)
            writer.write(cluster.encode("GET", "/jobs/1"))
            assert (await read_reply(reader)).status == 503
        writer.write(cluster.encode("GET", "/jobs/2"))
        assert (await read_reply(reader)).status == 200
        writer.close()
        assert len(cluster.servers["desk-0"].requests) == 1


# Guards against LOST: a refusal could not be encoded, and its request was reset.
@pytest.mark.parametrize("is_whole", [True, False])
async def test_refusal_that_cannot_be_encoded_is_sent_plainly(monkeypatch, is_whole):
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=0, desks=1)
        (instance,) = cluster.instances
        monkeypatch.setattr(type(instance.codec), "refuse", fail)
        request = cluster.encode("GET", "/nowhere/1")
        reply = await cluster.send(request if is_whole else b"no request\r\n\r\n")
        assert reply.status == 503
