"""Leases and fencing under pauses, clock drift, lost responses and outages."""

import math
from dataclasses import dataclass, field

import pytest
from expression import Error, Ok
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tanagerwalk.decisions.leases import (
    DomainLease,
    LeasePhase,
    LeaseTimes,
    choose_look_interval,
    rank_instance,
)
from tanagerwalk.writes import Entry, StoreFault, WriteOutcome

TIMES = LeaseTimes(ttl=10.0, margin=2.0, look_interval=1.0)
# Over one TTL and the wait after it, clocks drift apart by less than the margin.
RATES = (0.95, 1.0, 1.05)
HOLDERS = len(RATES)
FAULTS = ("none", "none", "none", "lost", "late", "outage")


@dataclass
class Store:
    """Model of the key-value service's key and leases, in real time."""

    now: float = 0.0
    revision: int = 0
    entry: Entry | None = None
    entry_lease: int = 0
    leases: dict[int, float] = field(default_factory=dict)
    delayed: list = field(default_factory=list)

    def expire(self):
        self.leases = {k: end for k, end in self.leases.items() if end > self.now}
        if self.entry and self.entry_lease not in self.leases:
            self.entry = None

    def grant(self):
        number = self.revision * 100 + len(self.leases) + 1
        self.revision += 1
        self.leases[number] = self.now + TIMES.ttl
        return Ok(number)

    def keep(self, lease):
        if lease not in self.leases:
            return Ok(False)
        self.leases[lease] = self.now + TIMES.ttl
        return Ok(True)

    def create(self, key, value, lease):
        if lease not in self.leases:
            return Error(StoreFault.UNKNOWN)
        if self.entry:
            return Ok(WriteOutcome(False, self.revision, self.entry))
        self.revision += 1
        self.entry = Entry(key, value, self.revision)
        self.entry_lease = lease
        return Ok(WriteOutcome(True, self.revision))


class LeaseMachine(RuleBasedStateMachine):
    """Several instances, one store, and engines with and without token checks."""

    @initialize()
    def begin(self):
        self.store = Store()
        self.holders = [DomainLease("d", f"i{n}", TIMES) for n in range(HOLDERS)]
        self.highest_token = 0
        self.accepted_tokens = [0]
        self.unchecked_tokens = [0]

    def clock(self, number):
        return 1000.0 * number + self.store.now * RATES[number]

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.0, 4.0, 9.0, 15.0)))
    def advance(self, seconds):
        """Advance the time; instances that take no step meanwhile are paused."""
        self.store.now += seconds
        self.store.expire()

    @rule(
        ticks=st.integers(1, 40),
        faults=st.tuples(*[st.sampled_from(("none", "outage", "frozen"))] * HOLDERS),
    )
    def run(self, ticks, faults):
        """Run the instances, some without the store or frozen during a call."""
        for number, fault in enumerate(faults):
            if fault == "frozen":
                self.step(number, "none", 0.0, TIMES.ttl)
        for _ in range(ticks):
            for number, fault in enumerate(faults):
                if fault != "frozen":
                    self.step(number, fault, 0.0, 0.2)
                    self.order(number)
            self.order_windows_do_not_overlap()
            self.advance(0.3)

    @rule()
    def apply_delayed(self):
        """Apply delayed writes whose callers have long timed out."""
        for key, value, lease in self.store.delayed:
            self.store.create(key, value, lease)
        self.store.delayed.clear()

    @rule(
        number=st.integers(0, HOLDERS - 1),
        fault=st.sampled_from(FAULTS),
        before=st.sampled_from((0.0, 0.1, 1.0, 12.0)),
        after=st.sampled_from((0.0, 0.1, 1.0, 12.0)),
    )
    def step(self, number, fault, before, after):
        """Run the next call, with `before` and `after` seconds around its execution."""
        holder = self.holders[number]
        sent_at = self.clock(number)
        if sent_at < holder.due:
            return
        phase = holder.phase
        self.advance(before)
        result = self.call(holder, phase, fault)
        self.advance(after)
        now = self.clock(number)
        if phase is LeasePhase.GRANTING:
            holder.record_grant(result, sent_at, now)
        elif phase is LeasePhase.CREATING:
            holder.record_create(result, now)
        elif phase is LeasePhase.HELD:
            holder.record_renewal(result, sent_at, now)
        elif result.is_error():
            holder.record_read_failure(now)
        else:
            holder.record_entry(result.ok, now, number)

    def call(self, holder, phase, fault):
        if fault == "outage":
            return Error(StoreFault.NOT_APPLIED)
        if fault == "late" and phase is LeasePhase.CREATING:
            self.store.delayed.append((holder.key, holder.value, holder.lease))
            return Error(StoreFault.UNKNOWN)
        result = self.serve(holder, phase)
        return result if fault == "none" else Error(StoreFault.UNKNOWN)

    def serve(self, holder, phase):
        if phase is LeasePhase.GRANTING:
            return self.store.grant()
        if phase is LeasePhase.CREATING:
            return self.store.create(holder.key, holder.value, holder.lease)
        if phase is LeasePhase.HELD:
            return self.store.keep(holder.lease)
        return Ok(self.store.entry)

    @rule(number=st.integers(0, HOLDERS - 1))
    def order(self, number):
        """Check the lease and send an order immediately."""
        holder = self.holders[number]
        now = self.clock(number)
        if holder.may_order(now, checks_fencing=False):
            self.unchecked_tokens.append(holder.token)
        if holder.may_order(now, checks_fencing=True):
            self.send_checked(holder.token)

    @rule(number=st.integers(0, HOLDERS - 1))
    def order_late(self, number):
        """Send an order after a pause since the check."""
        if self.holders[number].token:
            self.send_checked(self.holders[number].token)

    def send_checked(self, token):
        if token >= self.highest_token:
            self.highest_token = token
            self.accepted_tokens.append(token)

    @invariant()
    def checking_engine_never_accepts_an_older_token(self):
        assert self.accepted_tokens == sorted(self.accepted_tokens)

    @invariant()
    def order_windows_do_not_overlap(self):
        assert self.unchecked_tokens == sorted(self.unchecked_tokens)
        able = [
            number
            for number, holder in enumerate(self.holders)
            if holder.may_order(self.clock(number), checks_fencing=True)
        ]
        assert len(able) <= 1


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=100, stateful_step_count=30)


def take_lease(now=0.0, token=7):
    holder = DomainLease("d", "i0", TIMES)
    holder.record_entry(None, now, 0)
    holder.record_grant(Ok(5), now, now)
    holder.record_create(Ok(WriteOutcome(True, token)), now)
    return holder


@pytest.mark.parametrize(
    ("now", "checks_fencing", "allowed"),
    [
        (0.0, True, True),
        (7.9, True, True),
        (8.0, True, False),
        (0.0, False, False),
        (7.9, False, False),
    ],
)
def test_order_window(now, checks_fencing, allowed):
    assert take_lease().may_order(now, checks_fencing) is allowed


def test_engine_that_ignores_tokens_waits_for_the_earlier_holder():
    holder = take_lease()
    for now in (3.0, 6.0, 9.0, 12.0):
        holder.record_renewal(Ok(True), now, now)
    assert not holder.may_order(11.9, checks_fencing=False)
    assert holder.may_order(12.1, checks_fencing=False)


def test_create_with_lost_response_is_confirmed_by_a_read():
    holder = DomainLease("d", "i0", TIMES)
    holder.record_entry(None, 0.0, 0)
    holder.record_grant(Ok(5), 0.0, 0.0)
    holder.record_create(Error(StoreFault.UNKNOWN), 1.0)
    assert holder.phase is LeasePhase.IN_DOUBT
    holder.record_entry(Entry(holder.key, holder.value, 9), 2.0, 0)
    assert (holder.phase, holder.token) == (LeasePhase.HELD, 9)


def test_holder_stops_in_an_outage_and_resumes_after_it():
    holder = take_lease()
    holder.record_renewal(Error(StoreFault.UNKNOWN), 4.0, 6.0)
    assert not holder.may_order(8.0, checks_fencing=True)
    holder.record_renewal(Ok(True), 9.0, 9.0)
    assert holder.may_order(9.0, checks_fencing=True)
    assert holder.token == 7
    holder.record_renewal(Ok(False), 10.0, 10.0)
    assert not holder.may_order(10.0, checks_fencing=True)


def test_rejected_token_ends_the_lease_only_if_it_is_the_newest():
    holder = take_lease()
    holder.record_fenced(6, 1.0)
    assert holder.phase is LeasePhase.HELD
    holder.record_fenced(7, 1.0)
    assert holder.phase is LeasePhase.SEEKING


def test_responses_after_resigning_are_ignored():
    holder = take_lease()
    assert holder.resign() == 5
    holder.record_renewal(Ok(True), 1.0, 1.0)
    holder.record_create(Ok(WriteOutcome(True, 9)), 1.0)
    assert not holder.may_order(1.0, checks_fencing=True)


# Guards against a late answer that has the lease looked for, or used, again.
@pytest.mark.parametrize(
    "record",
    [
        lambda lease: lease.record_grant(Ok(9), 1.0, 1.0),
        lambda lease: lease.record_grant(Error(StoreFault.UNKNOWN), 1.0, 1.0),
        lambda lease: lease.record_create(Ok(WriteOutcome(True, 9)), 1.0),
        lambda lease: lease.record_create(Ok(WriteOutcome(False, 9)), 1.0),
        lambda lease: lease.record_create(Error(StoreFault.UNKNOWN), 1.0),
        lambda lease: lease.record_renewal(Ok(True), 1.0, 1.0),
        lambda lease: lease.record_renewal(Ok(False), 1.0, 1.0),
        lambda lease: lease.record_renewal(Error(StoreFault.UNKNOWN), 1.0, 1.0),
        lambda lease: lease.record_entry(None, 1.0, 0),
        lambda lease: lease.record_entry(Entry(lease.key, b"b.1 5", 5), 1.0, 0),
        lambda lease: lease.record_read_failure(1.0),
    ],
)
def test_answer_after_resigning_does_not_move_the_phase(record):
    holder = take_lease()
    holder.resign()
    record(holder)
    assert (holder.phase, holder.due) == (LeasePhase.SEEKING, math.inf)
    assert holder.lease == 0


def test_store_reads_hardly_grow_with_the_fleet():
    """340 instances in 6 failure domains make far fewer than 340 reads per second."""
    reads = sum(1.0 / choose_look_interval(2.0, rank) for rank in range(57))
    assert reads * 6 < 34.0


def test_each_listed_instance_has_its_own_rank():
    live = [f"i{n}" for n in range(20)]
    ranks = [rank_instance("d", name, live) for name in live]
    assert sorted(ranks) == list(range(20))
    assert rank_instance("d", "new", live) >= 20


def test_unlisted_instances_do_not_all_come_first():
    ranks = {rank_instance("d", f"i{n}", ()) for n in range(57)}
    assert len(ranks) > 20


def test_only_rank_0_writes_immediately():
    holder = DomainLease("d", "i0", TIMES)
    holder.record_entry(None, 0.0, 2)
    assert (holder.phase, holder.due) == (LeasePhase.SEEKING, 2.0)
    holder.record_entry(None, 2.0, 2)
    assert holder.phase is LeasePhase.GRANTING
