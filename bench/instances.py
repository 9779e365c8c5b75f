"""Simulated entry instances for `bench.lateness`.

`Instance` uses the decisions of tanagerwalk; the others are baselines.
"""

from bench.traffic import REGIONS, VERSION
from tanagerwalk.decisions.admission import AdmissionQueue, Ticket
from tanagerwalk.decisions.durations import DurationEstimates
from tanagerwalk.decisions.quarantine import Quarantine, QuarantineState
from tanagerwalk.decisions.retries import (
    RetryBudget,
    RetryState,
    choose_backoff,
    classify_failure,
    decide_retry,
)
from tanagerwalk.decisions.servers import Home, ServerTable
from tanagerwalk.messages import AttemptFailure
from tanagerwalk.outcomes import RetryReason
from tanagerwalk.settings import parse_settings

INSTANCES = 9


class Instance:
    """An entry instance that runs the decisions of tanagerwalk in virtual time."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.clock = simulation.clock
        self.region = REGIONS[number % len(REGIONS)]
        settings = parse_settings().ok
        home = Home(self.region, f"{self.region}-a", f"entry-{number}")
        self.table = ServerTable(home, settings.limits, settings.load.stale_after)
        self.table.instance_count = INSTANCES // len(REGIONS)
        self.durations = DurationEstimates()
        self.queue = AdmissionQueue(self.table, self.durations, 1000)
        self.budget = RetryBudget(0.2, 20)
        self.quarantine = Quarantine(settings.quarantine)
        self.max_attempts = settings.retries.max_attempts
        self.tickets = {}

    def expect(self, ticket):
        """Return the expected duration of a ticket's attempt, in seconds."""
        lateness = self.tickets[ticket].kind.work_class.lateness
        return self.durations.estimate(ticket.work_class, VERSION, lateness)

    def submit(self, request):
        """Accept a new request from its caller."""
        self.budget.deposit()
        self.attempt(request)

    def attempt(self, request):
        """Queue one attempt of a request, unless it is quarantined."""
        now = self.clock.now
        state = self.quarantine.get_state(id(request.kind), now)
        if request.poison:
            state = self.quarantine.get_state("poison", now)
        if state is QuarantineState.QUARANTINED:
            self.simulation.refuse(request, "quarantined")
            return
        work_class = request.kind.work_class
        serving = self.table.list_serving(VERSION)
        if all(server.record.id in request.tried for server in serving):
            request.tried.clear()
        long = work_class.name == "draft"
        ticket = Ticket(
            account=request.account,
            work_class=work_class.name,
            deadline=request.arrived + work_class.patience,
            version=VERSION,
            long=long,
            exclude=frozenset(request.tried),
            suspect=state is QuarantineState.SUSPECT,
            remote_allowed_at=now + 0.2 * work_class.lateness
            if long
            else float("-inf"),
        )
        self.tickets[ticket] = request
        offered = self.queue.offer(ticket, self.expect(ticket), now)
        if offered.is_error():
            del self.tickets[ticket]
            self.simulation.refuse(request, offered.error.reason.value)
            return
        self.pump()

    def pump(self):
        """Refuse expired tickets and send the granted ones."""
        now = self.clock.now
        for ticket, refusal in self.queue.expire(now, self.expect):
            self.simulation.refuse(self.tickets.pop(ticket), refusal.reason.value)
        for grant in self.queue.grant(now, self.expect):
            request = self.tickets[grant.ticket]
            request.attempts += 1
            engine = self.simulation.engines[grant.server]
            engine.send(
                request, self.region, self._make_completion_callback(grant, now)
            )

    def _make_completion_callback(self, grant, started):
        def complete(reason):
            request = self.tickets[grant.ticket]
            now = self.clock.now
            self.table.finish(
                grant.server, grant.incarnation, grant.ticket.long, grant.ticket.suspect
            )
            if reason is None:
                expected = self.expect(grant.ticket)
                ratio = (now - started) / expected
                name = grant.ticket.work_class
                self.durations.record(name, VERSION, now - started)
                self.table.record_success(grant.server, now, ratio)
                request.ended = now
            else:
                self._handle_failure(request, grant, reason)
            del self.tickets[grant.ticket]
            self.pump()

        return complete

    def _handle_failure(self, request, grant, reason):
        now = self.clock.now
        request.tried.add(grant.server)
        self.table.record_failure(grant.server, now, classify_failure(reason))
        if reason is RetryReason.CONNECTION_LOST and request.poison:
            self.simulation.blame(
                self, "poison", self.table.servers[grant.server].record
            )
        state = RetryState(
            idempotent=True,
            sent=True,
            attempts=request.attempts,
            max_attempts=self.max_attempts,
            now=now,
            deadline=request.arrived + request.kind.work_class.patience,
        )
        failure = AttemptFailure(reason, sent=True, server=grant.server)
        refusal = decide_retry(failure, state, self.budget)
        if refusal is not None:
            self.simulation.refuse(request, refusal.reason.value)
            return
        serving = self.table.list_serving(VERSION)
        all_failed = all(server.record.id in request.tried for server in serving)
        chance = self.simulation.random.random()
        pause = choose_backoff(request.attempts, all_failed, chance)
        self.clock.call_at(now + pause, self.attempt, request)


class FifoInstance(Instance):
    """Baseline: one queue in order of arrival, with server limits but no reserve."""

    def __init__(self, simulation, number):
        super().__init__(simulation, number)
        self.fifo = []

    def attempt(self, request):
        """Append one attempt to the queue."""
        self.fifo.append(request)
        self.pump()

    def pump(self):
        """Send requests from the head of the queue while a server has room."""
        now = self.clock.now
        while self.fifo:
            request = self.fifo[0]
            if now > request.arrived + request.kind.work_class.patience:
                self.simulation.refuse(self.fifo.pop(0), "deadline_exceeded")
                continue
            server = self.choose_server(request, now)
            if server is None:
                return
            self.fifo.pop(0)
            self.table.start(server.record.id, False)
            request.attempts += 1
            engine = self.simulation.engines[server.record.id]
            engine.send(request, self.region, self._make_fifo_callback(request, server))

    def choose_server(self, request, now):
        """Return a server, or None if the request has to wait."""
        return self.table.choose(now, version=VERSION, exclude=request.tried)

    def _make_fifo_callback(self, request, server):
        def complete(reason):
            record = server.record
            self.table.finish(record.id, record.incarnation, False)
            if reason is None:
                self.table.record_success(record.id, self.clock.now)
                request.ended = self.clock.now
            elif request.attempts >= self.max_attempts:
                self.simulation.refuse(request, "backend_failed")
            else:
                self.table.record_failure(
                    record.id, self.clock.now, classify_failure(reason)
                )
                self.attempt(request)
            self.pump()

        return complete


class DirectInstance(FifoInstance):
    """Baseline: no queue; every request is sent to an engine immediately."""

    def choose_server(self, request, now):
        """Return a server chosen by the simulation's policy."""
        servers = sorted(self.table.list_serving(VERSION), key=lambda s: s.record.id)
        if not servers:
            return None
        return getattr(self, f"_pick_{self.simulation.policy}")(servers)

    def _pick_round_robin(self, servers):
        self.turn = getattr(self, "turn", -1) + 1
        return servers[self.turn % len(servers)]

    def _pick_random(self, servers):
        return self.simulation.random.choice(servers)

    def _pick_least_loaded(self, servers):
        return min(
            servers,
            key=lambda s: (
                s.load.running + s.load.waiting - s.in_flight_at_report + s.in_flight
            ),
        )
