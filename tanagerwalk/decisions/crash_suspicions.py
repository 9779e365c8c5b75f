"""Requests that got no answer from a server which may have crashed."""

from collections import OrderedDict

SUSPICION_LIFETIME_S = 15.0
MAX_SUSPICIONS = 1024


class CrashSuspicions:
    """Keeps unanswered requests until their server is known to have ended.

    A timeout, a client that left or a lost path don't tell whether the server crashed.
    """

    def __init__(self):
        self._suspected_at = OrderedDict()

    def record(self, fingerprint, incarnation, now):
        """Record a request that a server did not answer.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        incarnation : Incarnation
            The server.
        now : float
            Monotonic time in seconds.
        """
        key = (incarnation, fingerprint)
        self._suspected_at[key] = now
        self._suspected_at.move_to_end(key)
        if len(self._suspected_at) > MAX_SUSPICIONS:
            self._suspected_at.popitem(last=False)

    def pop(self, incarnation, now):
        """Return the requests that a server, which has ended, left unanswered.

        Returns
        -------
        list of Fingerprint
        """
        keys = [key for key in self._suspected_at if key[0] == incarnation]
        suspected_at = {key: self._suspected_at.pop(key) for key in keys}
        return [
            fingerprint
            for (_, fingerprint), at in suspected_at.items()
            if now - at <= SUSPICION_LIFETIME_S
        ]
