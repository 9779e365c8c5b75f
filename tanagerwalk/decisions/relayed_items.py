"""Items that a relay passes on for a while, such as crash records."""

from collections import OrderedDict

from .relays import Scope


class RelayedItems:
    """Items by key, with the scope and time of the message that brought them.

    Parameters
    ----------
    lifetime : float
        Seconds for which an item is passed on.
    """

    def __init__(self, lifetime):
        self._lifetime = lifetime
        # The oldest come first.
        self._items = OrderedDict()

    def record(self, scope, key, value, now):
        """Add an item that a message of another instance contained.

        Items of the own failure domain are not replaced by what another domain
        passes on, so that each relay passes on what its members tell.
        """
        self._expire(now)
        known = self._items.get(key)
        is_known_better = known is not None and known[0] is Scope.INSTANCE
        if scope is Scope.INSTANCE or not is_known_better:
            self._items[key] = (scope, value, now)
            self._items.move_to_end(key)

    def list(self, scopes, now):
        """Return the items by key that messages of some scopes brought recently."""
        self._expire(now)
        return {
            key: value
            for key, (scope, value, _) in self._items.items()
            if scope in scopes
        }

    def _expire(self, now):
        """Forget items that are no longer passed on.

        Instances that never list items forget them here too.
        """
        while self._items:
            key, (_, _, recorded_at) = next(iter(self._items.items()))
            if now - recorded_at <= self._lifetime:
                return
            del self._items[key]


class RelayedMaxima(RelayedItems):
    """Numbers of which the largest is passed on; one is kept for each scope and key.

    Parameters
    ----------
    lifetime : float
        Seconds for which a number is passed on.
    """

    def record(self, scope, key, value, now):
        """Add a number, unless a message of the same scope brought a larger one."""
        self._expire(now)
        known = self._items.get((scope, key))
        if known is None or value >= known[1]:
            self._items[scope, key] = (scope, value, now)
            self._items.move_to_end((scope, key))

    def list(self, scopes, now):
        """Return the largest numbers by key that messages of some scopes brought."""
        self._expire(now)
        maxima = {}
        for (scope, key), (_, value, _) in self._items.items():
            if scope in scopes:
                maxima[key] = max(value, maxima.get(key, value))
        return maxima
