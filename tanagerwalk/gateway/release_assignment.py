"""Assigns requests to releases, together with the owners of their sessions."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import structlog

from ..decisions.release_choice import OwnerAnswer, SideChoice, hash_session
from ..decisions.release_choosers import ReleaseChoosers
from ..decisions.release_rollouts import RolloutPhase
from ..decisions.session_owners import SessionOwners
from ..ids import ServiceName
from .release_conditions import ReleaseConditions
from .session_inquiries import SessionInquiries
from .session_notes import NoteKind, SessionNote
from .session_ownership import SessionOwnership

log = structlog.get_logger(__name__)

REQUEST_NUMBER_BITS = 62
ASKING_PHASES = (RolloutPhase.CANARY, RolloutPhase.RAMP)
# Owners are told of sessions that a rollback moved until all instances know of it.
ROLLBACK_NEWS_S = 3.0


@dataclass(frozen=True, slots=True)
class ReleaseAssignment:
    """The releases that a request may use, and how they were chosen.

    Parameters
    ----------
    service : ServiceName
        The service of the request.
    session : int or None
        Hash of the session.
    request : int
        Random number that identifies the request.
    allows_server : callable
        Takes a RegisteredServer and returns whether it is allowed.
    choice : SideChoice or None
        The side of the roll-out; None without a roll-out.
    phase : RolloutPhase or None
        The phase that this instance knew.
    state_age : float
        Seconds since its copy of the store was confirmed.
    """

    service: ServiceName
    session: int | None
    request: int
    allows_server: Callable
    choice: SideChoice | None = None
    phase: RolloutPhase | None = None
    state_age: float = 0.0

    def describe(self):
        """Return the log fields of the assignment; none without a roll-out."""
        if self.choice is None:
            return {}
        return {
            "on_target": self.choice.is_target,
            "side_reason": self.choice.reason.value,
            "phase": self.phase.value,
            "state_age": round(self.state_age, 2),
        }


class ReleaseAssigner:
    """Assigns requests to releases, and asks and tells the owners of their sessions.

    Parameters
    ----------
    incarnation : str
        Id of this instance, new at every start.
    cluster_state : ClusterState
        Provides the operators' roll-out orders.
    rollouts : ReleaseRolloutController
        Provides the phases of the roll-outs and the counts of requests.
    servers : ServerPool
        Provides the releases and the waiting times of the servers.
    freshness : Freshness
        Tells how old the copy of the store is.
    bounds : Bounds
        Configured limits of the deployment.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Draws the numbers of requests.

    Attributes
    ----------
    send_notes : callable
        Takes the incarnation of an instance and a list of SessionNote, and sends them.
    """

    def __init__(
        self,
        incarnation,
        cluster_state,
        rollouts,
        servers,
        freshness,
        bounds,
        clock,
        random,
    ):
        self._incarnation = incarnation
        self._cluster_state = cluster_state
        self._rollouts = rollouts
        self._servers = servers
        self._conditions = ReleaseConditions(rollouts, servers, freshness, clock)
        self._clock = clock
        self._random = random
        self._choosers = ReleaseChoosers(bounds)
        self._rolled_back_at = {}
        self._owners = SessionOwners(incarnation)
        self._inquiries = SessionInquiries(self._send_note, clock)
        self._ownership = SessionOwnership(
            cluster_state, rollouts, self._choosers, self._conditions, clock
        )
        self.send_notes = lambda receiver, notes: None
        cluster_state.subscribe(self._read_orders)

    def apply_bounds(self, bounds):
        """Apply changed Bounds to new sessions."""
        self._choosers.apply_bounds(bounds)

    def set_peers(self, peers):
        """Replace the known instances, and tell new owners of their sessions.

        Parameters
        ----------
        peers : dict of str to Peer
            The other instances, by incarnation.
        """
        known = [
            (note, self._owners.list(note.session))
            for note in self._ownership.list_records()
        ]
        self._owners.set_peers(peers)
        notes = defaultdict(list)
        for note, earlier in known:
            for owner in self._owners.list(note.session):
                if owner not in earlier:
                    notes[owner].append(note)
        self._hand_over(notes)

    def count_contradictions(self):
        """Return how often owners knew different releases of one session."""
        return self._choosers.count_contradictions()

    # Called for each request.

    async def assign(self, request, service):
        """Return the ReleaseAssignment of a request, which ends with `end`.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        service : ServiceName
            The service of the request.
        """
        number = self._random.getrandbits(REQUEST_NUMBER_BITS)
        order = self._cluster_state.orders.get(service)
        key = None
        if request.session is not None:
            key = hash_session(service, request.session)
        if order is None:
            self._record_begin(service, key, number, False, request.deadline)
            # A release that is registered while the request runs may be the target
            # of a new roll-out, so that only the releases known now are allowed.
            known = self._servers.list_releases(service)
            return ReleaseAssignment(
                service, key, number, lambda server: server.release in known
            )
        if key is None:
            choice = self._choose_alone(order, hash_session(service, request.id))
        else:
            choice = await self._choose(order, key, number, request.deadline)
        self._rollouts.record_start(order, choice.is_target)
        self._record_begin(service, key, number, choice.is_target, request.deadline)
        target = order.target
        return ReleaseAssignment(
            service,
            key,
            number,
            lambda server: (server.release == target) == choice.is_target,
            choice,
            self._rollouts.get_state(order).phase,
            self._conditions.state_age,
        )

    def _record_begin(self, service, key, number, is_target, deadline):
        if key is not None:
            served = self._choosers.get(service).served
            served.begin(key, number, is_target, deadline, self._clock())

    def _choose_alone(self, order, key):
        """Return the SideChoice of a request without a session."""
        phase = self._rollouts.get_state(order).phase
        chooser = self._choosers.get(order.service)
        return chooser.choose_new(phase, key, partial(self._conditions.read, order))

    async def _choose(self, order, key, number, deadline):
        """Return the SideChoice of a request of a session."""
        chooser = self._choosers.get(order.service)
        phase = self._rollouts.get_state(order).phase
        owners = []
        if chooser.is_shared(phase, key) or self._is_news(order, phase):
            owners = self._owners.list(key)
        note = SessionNote(
            NoteKind.ASK,
            order.service,
            order.revision,
            key,
            number,
            max(0.0, deadline - self._clock()),
        )
        # Where all requests go to one release, nothing is asked.
        asked = owners if phase in ASKING_PHASES else []
        answers = await self._ask(note, asked)
        # The phase may have changed meanwhile.
        phase = self._rollouts.get_state(order).phase
        choice = chooser.decide(
            phase,
            key,
            [answers.get(owner, OwnerAnswer()) for owner in asked],
            self._clock(),
            partial(self._conditions.read, order),
        )
        begin = replace(note, kind=NoteKind.BEGIN, is_target=choice.is_target)
        for owner in owners:
            if answers.get(owner, OwnerAnswer()).is_target != choice.is_target:
                self._tell(owner, [begin])
        return choice

    def _is_news(self, order, phase):
        """Return whether others may not know yet that a release was rolled back."""
        if phase is not RolloutPhase.ROLLED_BACK:
            return False
        now = self._clock()
        key = (order.service, order.revision)
        return now - self._rolled_back_at.setdefault(key, now) < ROLLBACK_NEWS_S

    async def _ask(self, note, owners):
        """Return the answers of the owners, this instance included, by incarnation."""
        others = [owner for owner in owners if owner != self._incarnation]
        answers = {}
        if len(others) < len(owners):
            answers[self._incarnation] = self._ownership.answer(note)
        if others:
            answers |= await self._inquiries.ask(note, others)
        return answers

    def _send_note(self, owner, note):
        self.send_notes(owner, [note])

    def _tell(self, owner, notes):
        if owner == self._incarnation:
            self.receive(owner, notes)
        else:
            self.send_notes(owner, notes)

    def receive(self, sender, notes):
        """Process notes of another instance, or of this one to itself."""
        for note in notes:
            if note.kind is NoteKind.ANSWER:
                self._inquiries.record_answer(sender, note)
            elif note.kind is NoteKind.ASK:
                self.send_notes(sender, [self._ownership.reply(note)])
            else:
                self._ownership.record(note)

    def _read_orders(self):
        """Tell the owners of the sessions that began before a new order."""
        for order in self._ownership.find_new_orders():
            notes = defaultdict(list)
            for note in self._ownership.list_handover(order):
                for owner in self._owners.list(note.session):
                    notes[owner].append(note)
            self._hand_over(notes)

    def _hand_over(self, notes):
        """Tell owners of sessions, given as lists of SessionNote by incarnation."""
        for owner, owned in notes.items():
            self._tell(owner, owned)
        if notes:
            log.info("sessions handed over", notes=sum(map(len, notes.values())))

    def end(self, assignment, release):
        """Record that a request has ended.

        Parameters
        ----------
        assignment : ReleaseAssignment
            How it began.
        release : ReleaseName or None
            The release that it was sent to last; None if it was sent to none.
        """
        key = assignment.session
        if key is None:
            return
        chooser = self._choosers.get(assignment.service)
        order = self._cluster_state.orders.get(assignment.service)
        is_target = order is not None and release == order.target
        now = self._clock()
        expires_at = now + chooser.gap
        chooser.served.end(key, assignment.request, is_target, expires_at, now)
        if order is None:
            return
        if not chooser.is_shared(self._rollouts.get_state(order).phase, key):
            return
        note = SessionNote(
            NoteKind.END,
            order.service,
            order.revision,
            key,
            assignment.request,
            chooser.gap,
            is_target,
        )
        for owner in self._owners.list(key):
            self._tell(owner, [note])

    # For instances of an earlier version, which ask no owners.

    def list_side_overrides(self):
        """Return the sessions that instances of an earlier version have to be told.

        Returns
        -------
        dict of ServiceName to dict of int to bool
            Whether each session is on the target release, by hash of the session.
        """
        if not self._owners.has_earlier_versions:
            return {}
        return self._choosers.list_side_overrides(self._clock())

    def merge_side_overrides(self, service, overrides):
        """Merge the sides that an instance of an earlier version reports."""
        chooser = self._choosers.get(service)
        now = self._clock()
        for key, is_target in overrides.items():
            chooser.told.end(key, 0, is_target, now + chooser.gap, now)
