"""Which release the sessions of a service use, until they expire."""

from dataclasses import dataclass, field

MAX_RECORDS = 8192


@dataclass(slots=True)
class SessionRecord:
    """What is known of one session.

    Parameters
    ----------
    is_target : bool
        Whether it uses the release that is rolled out.
    expires_at : float
        Monotonic time at which it may begin anew, in seconds, if none of its requests
        is running.
    running : dict of int to float
        Monotonic times of the deadlines of its running requests, by request number.
    """

    is_target: bool
    expires_at: float = float("-inf")
    running: dict[int, float] = field(default_factory=dict)


class SessionRecords:
    """Records of sessions by hash; a session that is on the target stays there.

    Parameters
    ----------
    gap : float
        Seconds after the end of a request within which the next one belongs to the
        same session.

    Attributes
    ----------
    order : int
        Revision of the order whose roll-out the records are about; 0 before the first.
    """

    def __init__(self, gap):
        self.gap = gap
        self.order = 0
        self._records = {}

    def find(self, key, now):
        """Return whether a session is on the target, or None if it is not known."""
        record = self._records.get(key)
        if record is None or self._find_expiry(record) < now:
            return None
        return record.is_target

    def begin(self, key, request, is_target, deadline, now):
        """Record that a request runs until its monotonic `deadline` at most."""
        record = self._prepare(key, is_target, now)
        record.is_target = is_target
        record.running[request] = deadline

    def end(self, key, request, is_target, expires_at, now):
        """Record that a request has ended.

        Parameters
        ----------
        key : int
            Hash of the session.
        request : int
            Number of the request.
        is_target : bool
            Whether it ran on the target.
        expires_at : float
            Monotonic time at which the session expires because of this request.
        now : float
            Monotonic time in seconds.
        """
        record = self._prepare(key, is_target, now)
        record.is_target |= is_target
        record.running.pop(request, None)
        record.expires_at = max(record.expires_at, expires_at)

    def begin_order(self, order):
        """Begin a roll-out, to whose base all known sessions belong."""
        if order == self.order:
            return
        self.order = order
        for record in self._records.values():
            record.is_target = False

    def find_lifetime(self, key, now):
        """Return the seconds until a session expires if no more is told of it."""
        record = self._records.get(key)
        return 0.0 if record is None else max(0.0, self._find_expiry(record) - now)

    def list(self, now):
        """Return the records that have not expired, by hash of the session."""
        self._expire(now)
        return dict(self._records)

    def _prepare(self, key, is_target, now):
        """Return the record of a session, a new one if it has expired."""
        if self.find(key, now) is None:
            if len(self._records) >= MAX_RECORDS:
                self._expire(now)
            if len(self._records) >= MAX_RECORDS:
                del self._records[next(iter(self._records))]
            self._records[key] = SessionRecord(is_target)
        return self._records[key]

    def _find_expiry(self, record):
        # An end that is not told must not keep a session for ever.
        last_deadline = max(record.running.values(), default=float("-inf"))
        return max(record.expires_at, last_deadline + self.gap)

    def _expire(self, now):
        old = [
            key
            for key, record in self._records.items()
            if self._find_expiry(record) < now
        ]
        for key in old:
            del self._records[key]
