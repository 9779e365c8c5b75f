"""Runs the roll-outs of releases that operators order."""

import asyncio

import structlog

from ..decisions.failure_bursts import FailureHistory
from ..decisions.relays import Role
from ..decisions.release_evidence import RecentLatencies
from ..decisions.release_rollouts import (
    RolloutPhase,
    RolloutState,
    find_next_phase,
    find_write_delay,
    is_bad_in_phase,
)
from ..decisions.tallies import TallyBook
from ..defects import DefectLog
from ..ids import ServiceName
from ..writes import ABSENT, Write
from .own_keys import ROLLOUT_PREFIX
from .rollout_records import decode_state, encode_state

log = structlog.get_logger(__name__)

STEP_INTERVAL_S = 0.25
WRITE_RETRY_S = 0.7


class ReleaseRolloutController:
    """Advances each roll-out together with the other instances.

    The phase is an entry in the store; the first instance that writes a new one
    sets it for all.

    Parameters
    ----------
    store : MetadataStore
        The store.
    mirror : Mirror
        Local copy of the store.
    cluster_state : ClusterState
        Provides the operators' roll-out orders.
    codec : PlatformCodec
        Encodes the roll-out status for the operators.
    failure_domain : FailureDomain
        Where this instance runs.
    is_watcher : callable
        Returns whether this instance watches the store itself.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.
    defects : DefectLog or None
        Records the exceptions of single roll-outs; a log of its own if None.
    """

    def __init__(
        self,
        store,
        mirror,
        cluster_state,
        codec,
        failure_domain,
        is_watcher,
        clock,
        random,
        defects=None,
    ):
        self._defects = defects or DefectLog("subscriber failed")
        self._store = store
        self._mirror = mirror
        self._cluster_state = cluster_state
        self._codec = codec
        self._failure_domain = failure_domain
        self._is_watcher = is_watcher
        self._clock = clock
        self._random = random
        self._states = {}
        self._revisions = {}
        self._started_at = {}
        self._rolled_back = set()
        self._tallies = {}
        self._recent_latencies = {}
        self._failure_histories = {}
        self._forgotten_for = {}
        self._role = Role.FLAT
        mirror.subscribe(self._load_states)

    # Called for each request.

    def record_start(self, order, is_target):
        """Count a request that was assigned to a release of an order's roll-out."""
        book = self.get_tallies((order.service, order.revision))
        book.own.starts.record(is_target)

    def count_starts(self, order):
        """Return the StartCount of the fleet since an order."""
        book = self.get_tallies((order.service, order.revision))
        return book.sum_fleet_starts(self._role)

    def find_progress(self, order, now):
        """Return the part of a roll-out's duration that has passed at `now`."""
        started = self._started_at.get((order.service, order.revision), now)
        return (now - started) / max(order.duration, 1.0)

    def find_rolled_back_release(self, service):
        """Return the rolled-back release, which gets no more requests, or None."""
        order = self._cluster_state.orders.get(service)
        if order is None:
            return None
        state = self.get_state(order)
        return order.target if state.phase is RolloutPhase.ROLLED_BACK else None

    def get_state(self, order):
        """Return the RolloutState of an order.

        A rollback that this instance decided applies before it is written to the store.
        """
        state = self._states.get(order.service)
        if state is None or state.order != order.revision:
            state = RolloutState(
                order.service, order.target, order.revision, RolloutPhase.CANARY
            )
        if (order.service, order.revision) in self._rolled_back:
            return _with_phase(state, RolloutPhase.ROLLED_BACK, state.elapsed)
        return state

    # Runs in the background.

    async def run(self):
        """Advance all roll-outs until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL_S * (0.75 + 0.5 * self._random.random()))
            for order in list(self._cluster_state.orders.values()):
                await self._try_to_advance(order)

    async def _try_to_advance(self, order):
        try:
            await self._advance(order)
        except Exception as error:
            # The roll-outs of other services go on.
            self._defects.record(f"rollout of {order.service}", error)

    def _load_states(self):
        for key, entry in self._mirror.entries.items():
            if not key.startswith(ROLLOUT_PREFIX):
                continue
            service = ServiceName(key.removeprefix(ROLLOUT_PREFIX))
            if self._revisions.get(service) == entry.revision:
                continue
            self._load_state(service, entry)

    def _load_state(self, service, entry):
        result = decode_state(service, entry.value)
        if result.is_error():
            log.warning(
                "cannot decode roll-out state", key=entry.key, problem=result.error
            )
            return
        state = result.ok
        self._revisions[service] = entry.revision
        self._states[service] = state
        key = (service, state.order)
        known = self._started_at.get(key)
        started = self._clock() - state.elapsed
        self._started_at[key] = started if known is None else min(known, started)
        log.info(
            "rollout phase",
            service=service,
            phase=state.phase.value,
            elapsed=state.elapsed,
        )

    async def _advance(self, order):
        if not self._mirror.is_loaded:
            return
        key = (order.service, order.revision)
        # The search runs over all orders, so only after the order or stored state
        # changed.
        revisions = (order.revision, self._revisions.get(order.service))
        if self._forgotten_for.get(order.service) != revisions:
            self._forget_earlier_orders(order)
            self._forgotten_for[order.service] = revisions
        state = self._states.get(order.service)
        if state is None or state.order != order.revision:
            await self._start(order)
            return
        if state.phase.is_final:
            self._failure_histories.pop(key, None)
            return
        now = self._clock()
        book = self.get_tallies(key)
        tally = book.sum_fleet(self._role)
        recent = self._recent_latencies.setdefault(key, RecentLatencies()).find(
            tally, now, state.phase is RolloutPhase.FULL
        )
        # `_start` has made the history if this instance saw the order before it ran.
        history = self._failure_histories.setdefault(key, FailureHistory(is_late=True))
        history.record(tally, now, book.own)
        is_bad = is_bad_in_phase(state.phase, tally, recent, history)
        if is_bad and key not in self._rolled_back:
            self._rolled_back.add(key)
            log.warning("release halted", service=order.service, tally=repr(tally))
        elapsed = now - self._started_at[key]
        phase = find_next_phase(state, order.duration, elapsed, tally, recent, is_bad)
        if key in self._rolled_back:
            phase = RolloutPhase.ROLLED_BACK
        if phase is not None:
            await self._write_phase(order, _with_phase(state, phase, elapsed))

    async def _start(self, order):
        key = (order.service, order.revision)
        self._started_at.setdefault(key, self._clock())
        self._failure_histories.setdefault(key, FailureHistory())
        state = RolloutState(
            order.service, order.target, order.revision, RolloutPhase.CANARY
        )
        await self._write_phase(order, state)

    def _forget_earlier_orders(self, order):
        """Delete what is known of earlier orders of the service."""
        state = self._states.get(order.service)
        # A restore of the store may bring back the order of the loaded state.
        first_kept = order.revision if state is None else state.order
        known = self._tallies.keys() | self._started_at.keys() | self._rolled_back
        for key in known:
            if key[0] != order.service or key[1] >= min(first_kept, order.revision):
                continue
            self._tallies.pop(key, None)
            self._recent_latencies.pop(key, None)
            self._started_at.pop(key, None)
            self._rolled_back.discard(key)
            self._failure_histories.pop(key, None)

    async def _write_phase(self, order, state):
        """Write a new phase unless another instance wrote one first."""
        service = order.service
        known = self._find_revision(service)
        delay = find_write_delay(self._is_watcher(), self._random)
        await asyncio.sleep(delay)
        if self._find_revision(service) != known:
            return
        status = self._codec.encode_rollout_status(service, state.target, state.phase)
        write = Write(
            key=ROLLOUT_PREFIX + service,
            value=encode_state(state),
            revision=known,
            extra_puts=(status,),
        )
        result = await self._store.write(write)
        outcome = "fault" if result.is_error() else str(result.ok.applied)
        log.info(
            "rollout change",
            service=service,
            phase=state.phase.value,
            elapsed=round(state.elapsed, 2),
            applied=outcome,
        )
        if result.is_error() or not result.ok.applied:
            await asyncio.sleep(WRITE_RETRY_S)

    def _find_revision(self, service):
        """Return the revision of the stored state, which a restored store may lack."""
        entry = self._mirror.entries.get(ROLLOUT_PREFIX + service)
        return ABSENT if entry is None else entry.revision

    # Exchanged with other instances.

    def set_role(self, role):
        """Set how this instance takes part in the exchange of tallies."""
        self._role = role

    def list_own_tallies(self):
        """Return this instance's tallies for the active roll-outs.

        Returns
        -------
        dict of (ServiceName, int) to Tally
            By service and revision of the order.
        """
        return {key: book.own for key, book in self._list_active_tallies()}

    def list_domain_tallies(self):
        """Return the tallies of the failure domain, like `list_own_tallies`."""
        return {key: book.sum_domain() for key, book in self._list_active_tallies()}

    def list_fleet_tallies(self):
        """Return the tallies of all instances, like `list_own_tallies`."""
        return {
            key: book.sum_fleet(self._role) for key, book in self._list_active_tallies()
        }

    def _list_active_tallies(self):
        for order in self._cluster_state.orders.values():
            key = (order.service, order.revision)
            if key in self._tallies and not self.get_state(order).phase.is_final:
                yield key, self._tallies[key]

    def record_peer_tally(self, key, scope, domain, sender, tally):
        """Add a tally that another instance sent.

        Parameters
        ----------
        key : tuple of (ServiceName, int)
            Service and revision of the order.
        scope : Scope
            Whose answers the tally counts.
        domain : FailureDomain
            Failure domain of the sender.
        sender : str
            Incarnation of the sender.
        tally : Tally
            Answers and bad answers of both releases, since the order.
        """
        self.get_tallies(key).record_received(scope, domain, sender, tally)

    def get_tallies(self, key):
        """Return the TallyBook of a roll-out, by service and revision of its order."""
        if key not in self._tallies:
            self._tallies[key] = TallyBook(self._failure_domain)
        return self._tallies[key]


def _with_phase(state, phase, elapsed):
    return RolloutState(state.service, state.target, state.order, phase, elapsed)
