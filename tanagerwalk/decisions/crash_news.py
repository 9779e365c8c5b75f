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
        dict of Fingerprint to CrashRecord
        """
        records = self._find_records(reversed(self._rounds_left), now)
        for fingerprint in self._rounds_left.keys() - records.keys():
            del self._rounds_left[fingerprint]
        ranked = sorted(records, key=lambda each: -len(records[each].incarnations))
        told = ranked[:MAX_TOLD]
        for fingerprint in told:
            self._count_round(fingerprint)
        reminders = self._find_records(self._choose_reminders(now), now)
        return {each: records[each] for each in told} | reminders

    def _find_records(self, fingerprints, now):
        found = {each: self._quarantine.find_record(each, now) for each in fingerprints}
        return {each: record for each, record in found.items() if record is not None}

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
        return self._random.sample(older, min(len(older), MAX_REMINDERS))
