"""Choice of the crash records that an instance tells the others."""

from collections import OrderedDict

# Messages may be lost.
ROUNDS_TOLD = 6
MAX_TOLD = 32
# Of older records, for instances that have started since.
MAX_REMINDERS = 2


class CrashNews:
    """Crash records that changed lately, and reminders of older ones.

    Parameters
    ----------
    quarantine : Quarantine
        Holds the records.
    random : random.Random
        Chooses the reminders.
    """

    def __init__(self, quarantine, random):
        self._quarantine = quarantine
        self._random = random
        self._rounds_left = OrderedDict()

    def record(self, fingerprint):
        """Record that the crashes of a request have changed."""
        self._rounds_left[fingerprint] = ROUNDS_TOLD
        self._rounds_left.move_to_end(fingerprint)

    def choose(self, now):
        """Return what to tell in this round of messages.

        Requests with the most crashes go first, of these the newest records.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of Fingerprint to frozenset of Incarnation
            Servers that crashed while they ran each request.
        """
        changed = {
            fingerprint: self._quarantine.list_crashes(fingerprint, now)
            for fingerprint in reversed(self._rounds_left)
        }
        ranked = sorted(changed, key=lambda each: -len(changed[each]))
        told = {each: changed[each] for each in ranked[:MAX_TOLD] if changed[each]}
        for fingerprint in ranked[:MAX_TOLD]:
            self._count_round(fingerprint)
        return told | self._choose_reminders(now)

    def _count_round(self, fingerprint):
        self._rounds_left[fingerprint] -= 1
        if self._rounds_left[fingerprint] == 0:
            del self._rounds_left[fingerprint]

    def _choose_reminders(self, now):
        older = [
            fingerprint
            for fingerprint in self._quarantine.list_repeated(now)
            if fingerprint not in self._rounds_left
        ]
        chosen = self._random.sample(older, min(len(older), MAX_REMINDERS))
        return {each: self._quarantine.list_crashes(each, now) for each in chosen}
