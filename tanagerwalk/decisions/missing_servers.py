"""Backend servers whose entries are gone, maybe only for a moment.

An entry lapses while the store is away, is overwritten with bytes that can't be read,
or comes back from an older copy. What the server said holds as long as it runs.
"""

from collections import OrderedDict

from .server_usage import ServerUsage

MAX_MISSING = 512


class MissingServers:
    """Remembers what servers said, by `hash_life`, until their entries are back."""

    def __init__(self):
        self._usages = OrderedDict()

    def keep(self, life, usage):
        """Remember a server whose entry is gone.

        Parameters
        ----------
        life : int
            Its `hash_life`.
        usage : ServerUsage
            What is known of it.

        Returns
        -------
        list of int
            The `hash_life` of servers that are forgotten for it.
        """
        self._usages[life] = usage
        self._usages.move_to_end(life)
        excess = max(0, len(self._usages) - MAX_MISSING)
        return [self._usages.popitem(last=False)[0] for _ in range(excess)]

    def restore(self, life, server):
        """Return the ServerUsage of a server that is listed, with what it said."""
        known = self._usages.pop(life, None)
        if known is None or known.server.address != server.address:
            return ServerUsage(server)
        return ServerUsage(
            server, is_leaving=known.is_leaving, held_until=known.held_until
        )

    def find(self, server_id):
        """Return the ServerUsage of the server that went last under an id, or None."""
        for usage in reversed(self._usages.values()):
            if usage.server.id == server_id:
                return usage
        return None

    def mark_leaving(self, lives):
        """Record servers, by their `hash_life`, that others report as leaving."""
        for life in lives:
            if life in self._usages:
                self._usages[life].is_leaving = True
