"""The declaration in force on an instance; its revision never decreases."""

from ..declarations import EMPTY_DECLARATION, parse_declaration
from ..ids import Revision

NO_REVISION = Revision(0)


class ConfigurationState:
    """Holds the newest declaration that this instance has seen.

    Parameters
    ----------
    stale_after : float
        Seconds without confirmation after which the declaration counts as stale.
    """

    def __init__(self, stale_after):
        self._stale_after = stale_after
        self.declaration = EMPTY_DECLARATION
        self.revision = NO_REVISION
        self.text = ""
        self._refused = NO_REVISION
        self._confirmed_at = float("-inf")

    @property
    def ready(self):
        """Whether any declaration is in force."""
        return self.revision > NO_REVISION

    @property
    def refused(self):
        """The newest revision whose declaration could not be parsed, or 0."""
        return self._refused

    def wants(self, revision):
        """Return whether a revision is newer than the one in force and any refused."""
        return revision > max(self.revision, self._refused)

    def offer(self, revision, text, confirmed_at):
        """Put a declaration from the store or a peer in force if it is newer.

        Parameters
        ----------
        revision : Revision
            The store's revision of the declaration.
        text : str
            The declaration.
        confirmed_at : float
            Monotonic time in seconds at which it was known to be the newest.

        Returns
        -------
        tuple of str
            Problems of the text; if there are any, the declaration in force stays.
        """
        if revision <= self.revision:
            return ()
        result = parse_declaration(text)
        if result.is_error():
            self.refuse(revision)
            return result.error
        self.declaration = result.ok
        self.revision = revision
        self.text = text
        # The newer one was written after the last confirmation of the older one.
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        return ()

    def refuse(self, revision):
        """Record that the declaration of a revision cannot be read."""
        self._refused = max(self._refused, revision)

    def confirm(self, revision, confirmed_at):
        """Record that `revision` was the newest at a monotonic time in seconds."""
        if revision == self.revision:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def is_stale(self, now):
        """Return whether the declaration was not confirmed for too long."""
        return now - self._confirmed_at > self._stale_after

    def age(self, now):
        """Return the seconds since the declaration was last known to be the newest."""
        return now - self._confirmed_at
