"""Plan and guard filters while versions, sessions and exposure change."""

import asyncio
import random
import re

from expression import Error, Ok
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerwalk.clients.ratings import RatingFailure
from tanagerwalk.controllers.rollouts import RolloutController
from tanagerwalk.decisions.admission import DurationEstimates, Grant
from tanagerwalk.decisions.configuration import ConfigurationState
from tanagerwalk.decisions.halts import Halt
from tanagerwalk.decisions.ratings import PAUSE_S, RatingGate
from tanagerwalk.decisions.sessions import SessionTokens
from tanagerwalk.decisions.version_rollouts import RolloutTracker
from tanagerwalk.decisions.versions import PlanInputs
from tanagerwalk.filters.cascade import CascadeRunner
from tanagerwalk.filters.chain import link_filters
from tanagerwalk.filters.guard import DispatchGuardFilter
from tanagerwalk.filters.plan import PlanFilter
from tanagerwalk.filters.session import SessionStarter
from tanagerwalk.messages import Answer, RequestContext
from tanagerwalk.metrics import Metrics
from tanagerwalk.outcomes import HaltCause, RunState, VersionState
from tanagerwalk.settings import parse_settings

TEXT = """
[class plan]
quality = 0.8
lateness = 10 s
[account desk]
key_sha256 = ab
classes = plan
versions = a b c
[version a]
state = released
cost = 0.1
evaluated = plan:0.7
[version b]
state = released
cost = 1
evaluated = plan:0.95
[version c]
state = candidate
cost = 0.5
evaluated = plan:0.95
exposure = 3
[version foreign]
state = released
cost = 0.01
"""
NAMES = ("a", "b", "c")
STALE_AFTER_S = 30.0
changes = st.one_of(
    st.none(),
    st.tuples(st.sampled_from(NAMES), st.sampled_from(VersionState)),
    st.tuples(st.sampled_from(NAMES), st.floats(0, 1)),
)


class Server:
    """The only backend server, which is never leaving."""

    leaving = False


class Table:
    servers = {"s1": Server()}


class ChainMachine(RuleBasedStateMachine):
    """Sends requests through both filters and applies changes while they are queued."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.now, self.revision, self.text = 0.0, 0, TEXT
        self.rating, self.change_during_wait = 0.95, None
        self.sessions, self.unrated = [], 0
        self.configuration = ConfigurationState(STALE_AFTER_S)
        self.declare(TEXT)
        self.book = RolloutTracker("i1", 0.01)
        self.rollouts = self.make_controller()
        self.chain = self.make_chain()

    def clock(self):
        return self.now

    def make_controller(self):
        return RolloutController(
            self.book,
            self.configuration,
            self,
            RatingGate(1000.0, 1000.0),
            parse_settings().ok.rollouts,
            Metrics(),
            self.clock,
            random.Random(1),
            lambda: None,
            on_halt=self.book.add_halt,
        )

    def make_chain(self):
        metrics, durations = Metrics(), DurationEstimates()
        tokens = SessionTokens("secret", 1000.0)
        starter = SessionStarter(tokens, None, self.configuration, self.clock)
        runner = CascadeRunner(
            self.configuration, self.rollouts, durations, 0.0, metrics, self.clock
        )
        plan = PlanFilter(
            self.configuration,
            self.rollouts,
            starter,
            self.collect_inputs,
            runner,
            metrics,
            self.clock,
        )
        guard = DispatchGuardFilter(
            self.configuration, self.rollouts, Table, self.clock
        )
        return link_filters([plan, FakeQueue(self), guard, CheckingDispatch(self)])

    def collect_inputs(self, context, excluded):
        self.book.configure(self.configuration.declaration)
        return PlanInputs(
            available=frozenset(self.configuration.declaration.versions),
            durations=lambda _version: 1.0,
            evidence=lambda version: self.book.sum_evidence("plan", version),
            halted=self.book.list_halted("plan", frozenset(NAMES)),
            exposed=self.book.find_candidate_shares("plan", self.now),
            draw=1.0 if context.wants_session else random.Random(self.now).random(),
            cascades=not context.wants_session,
            excluded=excluded,
        )

    async def rate(self, _work_class, _version, _payload, _text):
        if self.rating is None:
            return Error(RatingFailure("out"))
        return Ok(self.rating)

    def declare(self, text):
        self.revision += 1
        self.text = text
        assert self.configuration.offer(self.revision, text, self.now) == ()

    def apply_change(self, change):
        if change is None:
            return
        name, value = change
        if isinstance(value, VersionState):
            pattern = rf"(\[version {name}\]\nstate = )\w+"
            self.declare(re.sub(pattern, rf"\g<1>{value.value}", self.text))
            return
        self.book.configure(self.configuration.declaration)
        arm = self.book.get_arm(("plan", name))
        self.book.add_halt(arm, Halt(HaltCause.RATINGS, value))

    def run(self, context):
        declaration = self.configuration.declaration
        context.account = declaration.client_accounts["desk"]
        context.work_class = declaration.classes["plan"]
        context.deadline = self.now + 30.0
        self.dispatched = []
        result = self.loop.run_until_complete(self.chain(context))
        if result.is_error() and not self.dispatched:
            assert result.error.run_state is RunState.NOT_RUN
        if result.is_error() and self.dispatched:
            assert result.error.run_state is not RunState.NOT_RUN
        return result

    @rule(change=changes)
    def reconfigure(self, change):
        self.apply_change(change)

    @rule(wants_session=st.booleans(), change_during_wait=changes)
    def send_request(self, wants_session, change_during_wait):
        self.change_during_wait = change_during_wait
        context = RequestContext("r", {}, "", "plan", wants_session=wants_session)
        result = self.run(context)
        if result.is_ok() and wants_session:
            assert context.session.version == result.ok.version
            self.sessions.append(context.session)

    @rule(number=st.integers(0, 5), change_during_wait=changes)
    def continue_session(self, number, change_during_wait):
        if not self.sessions:
            return
        session = self.sessions[number % len(self.sessions)]
        self.change_during_wait = change_during_wait
        context = RequestContext("r", {}, "", "plan", session=session)
        result = self.run(context)
        assert set(self.dispatched) <= {session.version}
        assert result.is_error() or result.ok.version == session.version

    @rule(units=st.integers(0, 3))
    def grant_units(self, units):
        self.book.configure(self.configuration.declaration)
        for arm in self.book.list_candidates():
            held = self.book.held_units.get(arm)
            if held is not None:
                held.finish_write(max(units, held.occupied), self.now)

    @rule(rating=st.sampled_from([0.95, 0.9, 0.1, None]))
    def rate_queued(self, rating):
        self.rating = rating
        while not self.rollouts._rating_queue.empty():
            task = self.rollouts._rating_queue.get_nowait()
            # The controller waits for the gate; here the clock advances only by hand.
            while not self.rollouts.rating_gate.is_available(self.now):
                self.now += PAUSE_S
            self.loop.run_until_complete(self.rollouts._process_task(task))
        self.rating = 0.95

    @rule(seconds=st.sampled_from([0.5, 20.0, 700.0]), confirmed=st.booleans())
    def advance_time(self, seconds, confirmed):
        self.now += seconds
        if confirmed:
            self.configuration.confirm(self.revision, self.now)
        for held in self.book.held_units.values():
            held.reclaim_lost(self.now)

    @invariant()
    def occupied_units_do_not_exceed_the_grant(self):
        for held in self.book.held_units.values():
            assert 0 <= held.occupied <= held.units

    def teardown(self):
        self.loop.close()


class FakeQueue:
    """Stands in for the admission queue; applies a change while a request waits."""

    def __init__(self, machine):
        self.machine = machine

    async def handle(self, context, proceed):
        change, self.machine.change_during_wait = self.machine.change_during_wait, None
        self.machine.apply_change(change)
        context.grant = Grant(None, "s1", "", "s1.1")
        return await proceed(context)


class CheckingDispatch:
    """Checks the invariants of each attempt at the time of its dispatch."""

    def __init__(self, machine):
        self.machine = machine

    async def handle(self, context, _proceed):
        machine, name = self.machine, context.version
        version = machine.configuration.declaration.versions[name]
        assert name in context.account.versions
        assert version.state is not VersionState.WITHDRAWN
        assert version.state is not VersionState.DRAINING or context.session
        assert not machine.book.is_halted(("plan", name), context.account.versions)
        if version.state is VersionState.CANDIDATE:
            assert context.exposure.is_valid(machine.now)
            assert not machine.configuration.is_stale(machine.now)
        machine.dispatched.append(name)
        return Ok(Answer(200, b"text", version=name))


TestChain = ChainMachine.TestCase
TestChain.settings = settings(max_examples=100, stateful_step_count=40)
