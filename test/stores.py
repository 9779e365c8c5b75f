"""In-memory model of the key-value service with the faults that a call can meet."""

from enum import Enum

from expression import Error, Ok

from tanagerwalk.ids import Revision
from tanagerwalk.writes import ABSENT, Entry, StoreFault, WriteOutcome


class Delivery(Enum):
    """What becomes of one call."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    LOST = "lost"
    LATE = "late"
    UNREACHED = "unreached"


class StoreModel:
    """Conditional writes on a dict."""

    def __init__(self):
        self.entries = {}
        self.late = []
        self.revision = 0

    def send(self, write, delivery=Delivery.ANSWERED):
        """Return the Result that the caller of a write sees."""
        if delivery is Delivery.UNREACHED:
            return Error(StoreFault.NOT_APPLIED)
        if delivery is Delivery.LATE:
            self.late.append(write)
        if delivery in (Delivery.LATE, Delivery.LOST):
            return Error(StoreFault.UNKNOWN)
        outcome = self.apply(write)
        lost = delivery is Delivery.ANSWER_LOST
        return Error(StoreFault.UNKNOWN) if lost else Ok(outcome)

    def apply(self, write):
        entry = self.entries.get(write.key)
        if (entry.revision if entry else ABSENT) != write.revision:
            return WriteOutcome(False, Revision(self.revision), entry)
        self.revision += 1
        revision = Revision(self.revision)
        self.entries.pop(write.key, None)
        if write.value is not None:
            self.entries[write.key] = Entry(write.key, write.value, revision)
        return WriteOutcome(True, revision)

    def apply_late(self, number):
        """Let a write take effect whose caller has given up on its answer."""
        self.apply(self.late.pop(number % len(self.late)))
