"""Test of attempts that this instance couldn't send for lack of a descriptor."""

from expression import Error

from tanagerwalk.decisions.sliding_retry_budget import SlidingRetryBudget
from tanagerwalk.gateway.attempts import AttemptResult, Outcome
from tanagerwalk.gateway.connect_faults import ConnectFault
from tanagerwalk.ids import ServiceName
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


# Guards against a request that uses up the retries of its service while it waits for a
# descriptor and sends nothing.
async def test_attempts_that_were_not_sent_are_no_retries():
    async with GatewayCluster() as cluster:
        await cluster.build(desks=1)
        [instance] = cluster.instances
        outcomes = [Outcome.LOST] + 3 * [Outcome.NOT_SENT]
        runner = instance.forward_filter._context.attempt_runner
        run = runner.run

        async def fail_first(plan):
            if outcomes:
                outcome = outcomes.pop(0)
                is_fault = outcome is Outcome.NOT_SENT
                fault = ConnectFault.DESCRIPTORS_FULL if is_fault else None
                return AttemptResult(outcome, fault=fault)
            return await run(plan)

        runner.run = fail_first
        reply = await cluster.send(cluster.encode("GET", "/jobs/1"))
        assert reply.status == 200
        budget = instance.forward_filter._get_retry_budget(ServiceName("desk"))
        assert budget.request_count == 1
        assert budget.retry_count == 1


# Guards against a withdrawal of what has left the window, or was never recorded.
def test_withdrawn_attempts_leave_the_budget():
    budget = SlidingRetryBudget(0.5, 10.0, 0.0)
    for now in (1.0, 2.0):
        budget.record_request(now)
    budget.record_retry(3.0)
    assert not budget.allows(4.0)
    budget.withdraw_attempt(3.0, is_retry=True)
    assert budget.allows(4.0)
    budget.withdraw_attempt(2.0, is_retry=False)
    assert not budget.allows(4.0)
    budget.withdraw_attempt(2.0, is_retry=False)
    budget.withdraw_attempt(3.0, is_retry=True)
    assert (budget.request_count, budget.retry_count) == (1, 0)
