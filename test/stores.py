"""In-memory model of the key-value service with injectable call faults."""

from enum import Enum

from expression import Error, Ok

from tanagerwalk.ids import Revision
from tanagerwalk.writes import ABSENT, Entry, StoreFault, WriteOutcome


class Delivery(Enum):
    """How far a call and its answer get."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    LOST = "lost"
    DELAYED = "late"
    NOT_SENT = "unreached"


class StoreModel:
    """Applies conditional writes to a dict."""

    def __init__(self):
        self.entries = {}
        self.delayed = []
        self.revision = 0

    def send(self, write, delivery=Delivery.ANSWERED):
        """Send a write and return the Result that its caller observes."""
        if delivery is Delivery.NOT_SENT:
            return Error(StoreFault.NOT_APPLIED)
        if delivery is Delivery.DELAYED:
            self.delayed.append(write)
        if delivery in (Delivery.DELAYED, Delivery.LOST):
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

    def apply_delayed(self, number):
        """Apply a delayed write whose caller no longer waits for the answer."""
        self.apply(self.delayed.pop(number % len(self.delayed)))
