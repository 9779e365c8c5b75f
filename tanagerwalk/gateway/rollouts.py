"""Runs the operators' roll-outs: evidence, phases and status."""

import asyncio

import msgspec
import structlog

from ..decisions.paces import PaceBook
from ..decisions.release_rollouts import (
    Phase,
    ReleaseChooser,
    RolloutState,
    RoutingConditions,
    Tally,
    find_next_phase,
    is_bad_release,
)
from ..ids import ReleaseName, ServiceName
from ..writes import ABSENT, Write
from .attempts import Outcome

log = structlog.get_logger(__name__)

OWN_PREFIX = "tanagerwalk/"
TRIAL_PREFIX = OWN_PREFIX + "rollout/"
STEP_S = 0.25
CLAIM_JITTER_S = 0.3
WRITE_RETRY_S = 0.7
INFORMED_AGE_S = 2.5
JUDGED = frozenset({Outcome.DELIVERED, Outcome.DECLINED, Outcome.FAILED})


class _TrialRecord(msgspec.Struct, frozen=True):
    target: str
    order: int
    phase: str
    elapsed_ms: int


class RolloutController:
    """Decides with the other instances on each roll-out and publishes it.

    Parameters
    ----------
    store : MetadataStore
        The store.
    mirror : Mirror
        Copy of what the instances write.
    knowledge : Knowledge
        Holds the operators' orders.
    servers : ServerPool
        Knows the load of the servers.
    codec : PlatformCodec
        Encodes the status for the operators.
    freshness : Freshness
        Says how old the copies are.
    bounds : Bounds
        Bounds of the deployment.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        store,
        mirror,
        knowledge,
        servers,
        codec,
        freshness,
        bounds,
        clock,
        random,
    ):
        self._store = store
        self._mirror = mirror
        self._knowledge = knowledge
        self._servers = servers
        self._codec = codec
        self._freshness = freshness
        self._clock = clock
        self._random = random
        self._bounds = bounds
        self._choosers = {}
        self._trials = {}
        self._revisions = {}
        self._started = {}
        self._halted = set()
        self._tallies = {}
        self._told = {}
        self._paces = PaceBook()
        mirror.notify(self._read_trials)

    def take_bounds(self, bounds):
        """Put changed Bounds in force for the sessions that come from now on."""
        self._bounds = bounds
        for chooser in self._choosers.values():
            chooser.update_bounds(bounds.canary_share, bounds.session_gap)

    # Used by requests.

    def choose(self, request, service):
        """Return which servers a request may go to.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        service : ServiceName
            The service that serves it.

        Returns
        -------
        callable
            Takes a RegisteredServer and returns whether it is allowed.
        """
        now = self._clock()
        session = request.session or request.id
        chooser = self._find_chooser(service)
        order = self._knowledge.orders.get(service)
        if order is None:
            chooser.record_session(session, now)
            # A release that turns up while the request runs may be one on trial.
            known = self._servers.list_releases(service)
            return lambda server: server.release in known
        trial = self._find_trial(order)
        outlook = self._look_out(order, now)
        is_target = chooser.choose(trial, session, now, outlook)
        target = order.target
        return lambda server: (server.release == target) == is_target

    def list_exceptions(self):
        """Return what other instances would not expect of sessions, by service."""
        now = self._clock()
        return {
            service: chooser.list_side_overrides(now)
            for service, chooser in self._choosers.items()
        }

    def take_exceptions(self, service, exceptions):
        """Take what another instance tells of its sessions with a service."""
        self._find_chooser(service).add_side_overrides(exceptions, self._clock())

    def _look_out(self, order, now):
        def is_target(server):
            return server.release == order.target

        def is_base(server):
            return server.release != order.target

        service = order.service
        started = self._started.get((service, order.revision), now)
        return RoutingConditions(
            has_recent_state=self._freshness.age < INFORMED_AGE_S,
            has_target=self._servers.has_server(service, is_target),
            base_wait=self._servers.estimate_wait(service, now, is_base),
            target_wait=self._servers.estimate_wait(service, now, is_target),
            progress=(now - started) / max(order.duration, 1.0),
        )

    def is_halted(self, service):
        """Return the release that may get no more requests, or None."""
        order = self._knowledge.orders.get(service)
        if order is None:
            return None
        trial = self._find_trial(order)
        return order.target if trial.phase is Phase.ROLLED_BACK else None

    def note_attempt(self, request, attempt, end):
        """Learn from the end of an attempt."""
        order = self._knowledge.orders.get(attempt.server.service)
        is_target = order is not None and attempt.server.release == order.target
        route = request.route.name
        key = (route, attempt.model)
        is_bad = end.outcome in (Outcome.FAILED, Outcome.SILENT)
        if end.pace is not None and end.outcome in JUDGED:
            is_bad = is_bad or self._paces.is_slow(key, end.pace)
            if not is_target:
                self._paces.note(key, end.pace)
        if order is None or (end.outcome not in JUDGED and not is_bad):
            return
        tally = self._tallies.setdefault((order.service, order.revision), Tally())
        tally.record(route, is_target, is_bad)

    def _find_chooser(self, service):
        chooser = self._choosers.get(service)
        if chooser is None:
            bounds = self._bounds
            chooser = ReleaseChooser(service, bounds.canary_share, bounds.session_gap)
            self._choosers[service] = chooser
        return chooser

    def _find_trial(self, order):
        """Return the RolloutState of an order, as this instance sees it."""
        trial = self._trials.get(order.service)
        if trial is None or trial.order != order.revision:
            trial = RolloutState(
                order.service, order.target, order.revision, Phase.CANARY
            )
        if (order.service, order.revision) in self._halted:
            return _move(trial, Phase.ROLLED_BACK, trial.elapsed)
        return trial

    # Run by the supervisor.

    async def run(self):
        """Judge and publish until cancelled."""
        while True:
            await asyncio.sleep(STEP_S * (0.75 + 0.5 * self._random.random()))
            for order in list(self._knowledge.orders.values()):
                await self._step(order)

    def _read_trials(self):
        for key, entry in self._mirror.entries.items():
            if not key.startswith(TRIAL_PREFIX):
                continue
            service = ServiceName(key.removeprefix(TRIAL_PREFIX))
            if self._revisions.get(service) == entry.revision:
                continue
            self._take_trial(service, entry)

    def _take_trial(self, service, entry):
        try:
            record = msgspec.json.decode(entry.value, type=_TrialRecord)
            phase = Phase(record.phase)
        except (msgspec.MsgspecError, ValueError) as error:
            log.warning("trial unreadable", key=entry.key, problem=str(error))
            return
        elapsed = record.elapsed_ms / 1000.0
        trial = RolloutState(
            service, ReleaseName(record.target), record.order, phase, elapsed
        )
        self._revisions[service] = entry.revision
        self._trials[service] = trial
        key = (service, record.order)
        known = self._started.get(key)
        started = self._clock() - elapsed
        self._started[key] = started if known is None else min(known, started)
        log.info("rollout phase", service=service, phase=phase.value, elapsed=elapsed)

    async def _step(self, order):
        if not self._mirror.listed:
            return
        key = (order.service, order.revision)
        trial = self._trials.get(order.service)
        if trial is None or trial.order != order.revision:
            await self._begin(order)
            return
        if trial.phase.is_final:
            return
        tally = self._pool_tallies(order)
        if is_bad_release(tally) and key not in self._halted:
            self._halted.add(key)
            log.warning("release halted", service=order.service, tally=repr(tally))
        elapsed = self._clock() - self._started[key]
        phase = find_next_phase(trial, order.duration, elapsed, tally)
        if key in self._halted:
            phase = Phase.ROLLED_BACK
        if phase is not None:
            await self._change(order, _move(trial, phase, elapsed))

    async def _begin(self, order):
        key = (order.service, order.revision)
        self._started.setdefault(key, self._clock())
        self._forget_evidence(order)
        trial = RolloutState(order.service, order.target, order.revision, Phase.CANARY)
        await self._change(order, trial)

    def _forget_evidence(self, order):
        """Forget what was told of earlier orders for the service."""
        old = [
            key
            for key in self._told
            if key[0] == order.service and key[1] < order.revision
        ]
        for key in old:
            del self._told[key]

    async def _change(self, order, trial):
        """Write a new phase unless another instance does so first."""
        service = order.service
        known = self._revisions.get(service)
        await asyncio.sleep(CLAIM_JITTER_S * self._random.random())
        if self._revisions.get(service) != known:
            return
        record = _TrialRecord(
            trial.target, trial.order, trial.phase.value, int(trial.elapsed * 1000)
        )
        status = self._codec.encode_rollout_status(service, trial.target, trial.phase)
        write = Write(
            key=TRIAL_PREFIX + service,
            value=msgspec.json.encode(record),
            revision=ABSENT if known is None else known,
            also=(status,),
        )
        result = await self._store.write(write)
        outcome = "fault" if result.is_error() else str(result.ok.applied)
        log.info(
            "rollout change",
            service=service,
            phase=trial.phase.value,
            elapsed=round(trial.elapsed, 2),
            applied=outcome,
        )
        if result.is_error() or not result.ok.applied:
            await asyncio.sleep(WRITE_RETRY_S)

    def _pool_tallies(self, order):
        key = (order.service, order.revision)
        pooled = Tally()
        for tally in self._told.get(key, {}).values():
            pooled.add(tally)
        mine = self._tallies.get(key)
        if mine is not None:
            pooled.add(mine)
        return pooled

    def list_tallies(self):
        """Return this instance's evidence on the roll-outs that run.

        Returns
        -------
        dict of (ServiceName, int) to Tally
            By service and revision of the order.
        """
        return {
            (order.service, order.revision): self._tallies[
                order.service, order.revision
            ]
            for order in self._knowledge.orders.values()
            if (order.service, order.revision) in self._tallies
            and not self._find_trial(order).phase.is_final
        }

    def take_tally(self, sender, service, order, tally):
        """Take another instance's evidence, all of it since the order.

        It outlives its sender, which may be killed right after.

        Parameters
        ----------
        sender : str
            The instance's incarnation.
        service : ServiceName
            The service that is rolled out.
        order : int
            Revision of the order.
        tally : Tally
            The evidence.
        """
        self._told.setdefault((service, order), {})[sender] = tally


def _move(trial, phase, elapsed):
    return RolloutState(trial.service, trial.target, trial.order, phase, elapsed)
