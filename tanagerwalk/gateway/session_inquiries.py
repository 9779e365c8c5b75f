"""Questions to the owners of sessions, and their answers."""

import asyncio

from ..decisions.release_choice import OwnerAnswer

# A question is asked again after this time, and given up after ANSWER_TIMEOUT_S.
REPEAT_S = 0.05
ANSWER_TIMEOUT_S = 0.15
# Nobody waits for an owner that was silent, until it answers or this time has passed.
SUSPICION_S = 3.0


class _Inquiry:
    def __init__(self, awaited):
        self.answers = {}
        self._awaited = set(awaited)
        self.done = asyncio.get_running_loop().create_future()
        self._check(None)

    def record(self, owner, answer):
        self.answers[owner] = answer
        self._awaited.discard(owner)
        self._check(answer)

    def _check(self, answer):
        is_decided = answer is not None and answer.is_known and answer.is_target
        if (is_decided or not self._awaited) and not self.done.done():
            self.done.set_result(None)


class SessionInquiries:
    """Asks the owners of sessions, and waits for their answers for a bounded time.

    Parameters
    ----------
    send_note : callable
        Takes the incarnation of an instance and a SessionNote, and sends the note.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, send_note, clock):
        self._send_note = send_note
        self._clock = clock
        self._inquiries = {}
        self._suspected_until = {}

    async def ask(self, note, owners):
        """Ask some owners.

        Parameters
        ----------
        note : SessionNote
            The question.
        owners : list of str
            Incarnations of the owners.

        Returns
        -------
        dict of str to OwnerAnswer
            The answers that came in time.
        """
        now = self._clock()
        awaited = [o for o in owners if self._suspected_until.get(o, now) <= now]
        inquiry = self._inquiries[note.request] = _Inquiry(awaited)
        try:
            for timeout in (REPEAT_S, ANSWER_TIMEOUT_S - REPEAT_S):
                for owner in owners:
                    if owner not in inquiry.answers:
                        self._send_note(owner, note)
                await asyncio.wait([inquiry.done], timeout=timeout)
                if inquiry.done.done():
                    break
        finally:
            del self._inquiries[note.request]
        if not inquiry.done.done():
            self._suspect(set(awaited) - inquiry.answers.keys())
        return inquiry.answers

    def _suspect(self, owners):
        now = self._clock()
        self._suspected_until = {
            owner: until
            for owner, until in self._suspected_until.items()
            if until > now
        }
        self._suspected_until |= dict.fromkeys(owners, now + SUSPICION_S)

    def record_answer(self, sender, note):
        """Record an answer of another instance."""
        self._suspected_until.pop(sender, None)
        inquiry = self._inquiries.get(note.request)
        if inquiry is not None:
            inquiry.record(sender, OwnerAnswer(note.is_target, note.is_known))
