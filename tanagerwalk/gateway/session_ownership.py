"""Records of the sessions that an instance owns during a roll-out."""

from dataclasses import replace
from functools import partial

from ..decisions.release_choice import OwnerAnswer, has_learned_sessions
from .session_notes import NoteKind, SessionNote

# An owner proposes the target only once the others know its servers, too.
TARGET_NEWS_S = 1.0


class SessionOwnership:
    """Answers for the sessions that this instance owns, and hands its own ones over.

    Parameters
    ----------
    cluster_state : ClusterState
        Provides the operators' roll-out orders.
    rollouts : ReleaseRolloutController
        Provides the phases of the roll-outs.
    choosers : ReleaseChoosers
        Keep the records.
    conditions : ReleaseConditions
        What this instance knows about the roll-outs.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, cluster_state, rollouts, choosers, conditions, clock):
        self._cluster_state = cluster_state
        self._rollouts = rollouts
        self._choosers = choosers
        self._conditions = conditions
        self._clock = clock
        self._started_at = clock()
        self._order_known_at = {}

    def reply(self, note):
        """Return the SessionNote that answers a question."""
        answer = self.answer(note)
        return replace(
            note,
            kind=NoteKind.ANSWER,
            is_target=answer.is_target,
            is_known=answer.is_known,
        )

    def answer(self, note):
        """Return the OwnerAnswer to a question, and record it."""
        order = self._cluster_state.orders.get(note.service)
        if order is None or order.revision != note.order:
            return OwnerAnswer()
        now = self._clock()
        chooser = self._choosers.get(note.service)
        answer = chooser.answer(
            self._rollouts.get_state(order).phase,
            note.session,
            now,
            partial(self._conditions.read, order, TARGET_NEWS_S),
            self._has_learned(order, now, chooser.gap),
        )
        if answer.is_target is not None:
            deadline = now + note.lifetime
            chooser.owned.begin(
                note.session, note.request, answer.is_target, deadline, now
            )
        return answer

    def _has_learned(self, order, now, gap):
        known_at = self._order_known_at.get((order.service, order.revision), now)
        return has_learned_sessions(
            now, self._started_at, known_at, gap, order.duration
        )

    def record(self, note):
        """Record the begin or the end of a request of which an instance tells."""
        owned = self._choosers.get(note.service).owned
        if note.order < owned.order:
            return
        # The sender may have learned of a new order first.
        owned.begin_order(note.order)
        now = self._clock()
        expires_at = now + note.lifetime
        record = owned.begin if note.kind is NoteKind.BEGIN else owned.end
        record(note.session, note.request, bool(note.is_target), expires_at, now)

    def find_new_orders(self):
        """Return the orders that were not known yet, and begin their roll-outs."""
        orders = [
            order
            for order in self._cluster_state.orders.values()
            if (order.service, order.revision) not in self._order_known_at
        ]
        for order in orders:
            self._order_known_at[(order.service, order.revision)] = self._clock()
            self._choosers.get(order.service).begin_order(order.revision)
        return orders

    def list_records(self):
        """Return notes about all sessions that are known in roll-outs that run.

        Returns
        -------
        list of SessionNote
        """
        running = [
            order
            for order in self._cluster_state.orders.values()
            if not self._rollouts.get_state(order).phase.is_final
        ]
        return [note for order in running for note in self._list_known(order)]

    def _list_known(self, order):
        chooser = self._choosers.get(order.service)
        now = self._clock()
        # What an owner knows goes after what this instance has served.
        known = {}
        for records in (chooser.served, chooser.owned):
            for key, record in records.list(now).items():
                lifetime = records.find_lifetime(key, now)
                known[key] = SessionNote(
                    NoteKind.END,
                    order.service,
                    order.revision,
                    key,
                    0,
                    lifetime,
                    record.is_target,
                )
        return known.values()

    def list_handover(self, order):
        """Return the notes about the sessions that were served before an order.

        Returns
        -------
        list of SessionNote
        """
        chooser = self._choosers.get(order.service)
        now = self._clock()
        return [
            note
            for key, record in chooser.served.list(now).items()
            if chooser.may_be_canary(key)
            for note in _list_record_notes(order, key, record, now)
        ]


def _list_record_notes(order, key, record, now):
    """Return the notes that tell an owner of a session that this instance served."""
    begun = [
        SessionNote(
            NoteKind.BEGIN,
            order.service,
            order.revision,
            key,
            request,
            max(0.0, deadline - now),
            False,
        )
        for request, deadline in record.running.items()
    ]
    if record.expires_at <= now:
        return begun
    lifetime = record.expires_at - now
    ended = SessionNote(
        NoteKind.END, order.service, order.revision, key, 0, lifetime, False
    )
    return [*begun, ended]
