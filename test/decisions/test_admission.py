"""Admission control: each ticket gets one outcome, within the limits and fairly."""

import pytest
from fleets import VERSION, make_record, make_table, report_load
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from tanagerwalk.decisions.admission import AdmissionQueue, DurationEstimates, Ticket
from tanagerwalk.decisions.backends import FailureKind
from tanagerwalk.outcomes import RefusalReason

EXPECTED_S = 1.0
NAMES = ("s1", "s2", "s3")


def expect(ticket):
    return EXPECTED_S


def make_ticket(account="a", deadline=1e6, long=False, **more):
    return Ticket(account, "label", deadline, version=VERSION, long=long, **more)


def make_queue(table, length=10000):
    return AdmissionQueue(table, DurationEstimates(), length)


class AdmissionMachine(RuleBasedStateMachine):
    """Every ticket gets exactly one outcome, and capacity is released."""

    def __init__(self):
        super().__init__()
        records = [make_record(name) for name in NAMES[:2]]
        records.append(make_record(NAMES[2], "r2-a"))
        self.table = make_table(*records, instance_count=2)
        self.queue = make_queue(self.table, 20)
        self.now = 0.0
        self.waiting = set()
        self.granted = []
        self.incarnation = 1

    @rule(
        account=st.sampled_from("abc"),
        patience=st.sampled_from((0.5, 2.0, 10.0, 60.0)),
        long=st.booleans(),
        suspect=st.booleans(),
        exclude=st.sets(st.sampled_from(NAMES), max_size=3),
    )
    def offer(self, account, patience, long, suspect, exclude):
        ticket = make_ticket(
            account,
            self.now + patience,
            long,
            suspect=suspect,
            exclude=frozenset(exclude),
            remote_allowed_at=self.now + patience / 4,
        )
        if self.queue.offer(ticket, EXPECTED_S, self.now).is_ok():
            self.waiting.add(ticket)

    @rule()
    def expire_and_grant(self):
        for ticket, refusal in self.queue.expire(self.now, expect):
            self.waiting.remove(ticket)
            assert refusal.retry_after > 0
        capacity = {
            name: server.limit + max(1, server.limit / 4)
            for name, server in self.table.servers.items()
        }
        for grant in self.queue.grant(self.now, expect):
            self.waiting.remove(grant.ticket)
            self.granted.append(grant)
            server = self.table.servers[grant.server]
            assert grant.server not in grant.ticket.exclude
            assert not server.leaving
            assert server.in_flight <= capacity[grant.server]
            assert not grant.ticket.suspect or server.suspects_in_flight == 1

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data):
        ticket = data.draw(
            st.sampled_from(sorted(self.waiting, key=lambda ticket: ticket.number))
        )
        self.queue.withdraw(ticket)
        self.queue.withdraw(ticket)
        self.waiting.remove(ticket)

    @precondition(lambda self: self.granted)
    @rule(index=st.integers(0, 100), failure=st.sampled_from((None, *FailureKind)))
    def finish(self, index, failure):
        grant = self.granted.pop(index % len(self.granted))
        ticket = grant.ticket
        self.table.finish(grant.server, grant.incarnation, ticket.long, ticket.suspect)
        if failure is None:
            self.table.record_success(grant.server, self.now, 1.0)
        else:
            self.table.record_failure(grant.server, self.now, failure, 3.0)
        needs = self.queue.list_needs(grant.server)
        for more in self.queue.grant(self.now, expect, needs):
            self.waiting.remove(more.ticket)
            self.granted.append(more)

    @rule(
        name=st.sampled_from(NAMES),
        running=st.integers(0, 12),
        waiting=st.integers(0, 5),
    )
    def report(self, name, running, waiting):
        report_load(self.table, name, running, waiting, self.now)

    @rule(seconds=st.sampled_from((0.1, 1.0, 5.0, 40.0)))
    def wait(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.incarnation += 1
        records = [server.record for server in self.table.servers.values()]
        domains = {record.id: record.failure_domain for record in records}
        records = [record for record in records if record.id != name]
        records.append(make_record(name, domains[name], self.incarnation))
        self.table.update_records(records)
        report_load(self.table, name, 0, 0, self.now)

    @invariant()
    def nothing_is_lost(self):
        assert len(self.queue) == len(self.waiting)

    def teardown(self):
        """Finish all attempts; every waiting ticket must get an outcome in time."""
        latest = max((ticket.deadline for ticket in self.waiting), default=self.now)
        while self.waiting or self.granted:
            self.expire_and_grant()
            while self.granted:
                self.finish(0, None)
            self.now += 1.0
            for name in NAMES:
                report_load(self.table, name, 0, 0, self.now)
            assert not self.waiting or self.now <= latest + 2.0
        for server in self.table.servers.values():
            assert server.in_flight == 0
            assert server.long_in_flight == 0
            assert server.suspects_in_flight == 0


TestAdmissionMachine = AdmissionMachine.TestCase


def run_queue(queue, table, rounds):
    """Grant and finish attempts for `rounds` rounds; return tickets as granted."""
    order = []
    for _ in range(rounds):
        for grant in queue.grant(0.0, expect):
            order.append(grant.ticket)
            ticket = grant.ticket
            table.finish(grant.server, grant.incarnation, ticket.long)
    return order


@pytest.fixture
def single_slot():
    table = make_table(make_record("s1"))
    table.servers["s1"].limit = 1.0
    return table, make_queue(table)


def test_burst_of_one_account_delays_only_that_account(single_slot):
    table, queue = single_slot
    for _ in range(100):
        queue.offer(make_ticket("flood"), EXPECTED_S, 0.0)
    late = make_ticket("small", deadline=2e6)
    queue.offer(late, EXPECTED_S, 0.0)
    assert late in run_queue(queue, table, 2)


@pytest.mark.parametrize("flood_is_long", [False, True])
def test_neither_long_nor_short_classes_starve(single_slot, flood_is_long):
    table, queue = single_slot
    for _ in range(100):
        queue.offer(make_ticket(long=flood_is_long), EXPECTED_S, 0.0)
    other = make_ticket("b", long=not flood_is_long)
    queue.offer(other, EXPECTED_S, 0.0)
    assert other in run_queue(queue, table, 10)


def test_short_class_is_granted_on_a_server_full_of_long_ones():
    table = make_table(make_record("s1"))
    queue = make_queue(table)
    for _ in range(20):
        queue.offer(make_ticket(long=True), EXPECTED_S, 0.0)
    queue.grant(0.0, expect)
    report_load(table, "s1", 8, 8, 0.0)
    short = make_ticket()
    queue.offer(short, EXPECTED_S, 0.0)
    assert [grant.ticket for grant in queue.grant(0.0, expect)] == [short]


def test_earliest_deadline_goes_first_in_an_account(single_slot):
    table, queue = single_slot
    tickets = [make_ticket(deadline=1e6 - number) for number in range(5)]
    for ticket in tickets:
        queue.offer(ticket, EXPECTED_S, 0.0)
    assert run_queue(queue, table, 5) == tickets[::-1]


def test_unreachable_deadline_is_refused_at_once_with_retry_after(single_slot):
    table, queue = single_slot
    offers = [
        queue.offer(make_ticket(deadline=10.0), EXPECTED_S, 0.0) for _ in range(20)
    ]
    assert sum(offer.is_ok() for offer in offers) <= 10
    refusal = offers[-1].error
    assert refusal.reason is RefusalReason.DEADLINE_UNREACHABLE
    assert refusal.retry_after >= 1.0


def test_request_is_refused_at_once_when_all_servers_pause_past_its_deadline(
    single_slot,
):
    table, queue = single_slot
    table.start("s1", False)
    waiting = make_ticket(deadline=10.0)
    assert queue.offer(waiting, EXPECTED_S, 0.0).is_ok()
    table.record_failure("s1", 0.0, FailureKind.OVERLOAD, retry_after=20.0)
    refused = [ticket for ticket, _ in queue.expire(0.0, expect)]
    assert refused == [waiting]
    offered = queue.offer(make_ticket(deadline=10.0), EXPECTED_S, 0.0)
    assert offered.error.reason is RefusalReason.DEADLINE_UNREACHABLE


def test_request_is_refused_at_once_when_its_last_server_leaves(single_slot):
    table, queue = single_slot
    table.start("s1", False)
    queue.offer(make_ticket(), EXPECTED_S, 0.0)
    table.mark_incarnation_leaving("s1.1")
    [(_, refusal)] = queue.expire(0.0, expect)
    assert refusal.reason is RefusalReason.NO_BACKEND_SERVER
    assert len(queue) == 0
