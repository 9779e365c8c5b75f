"""Items that a relay passes on for a while, such as crash records."""

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
        self._items = {}

    def record(self, scope, key, value, now):
        """Add an item that a message of another instance contained.

        Items of the own failure domain are not replaced by what another domain
        passes on, so that each relay passes on what its members tell.
        """
        known = self._items.get(key)
        is_known_better = (
            known is not None
            and known[0] is Scope.INSTANCE
            and now - known[2] <= self._lifetime
        )
        if scope is Scope.INSTANCE or not is_known_better:
            self._items[key] = (scope, value, now)

    def list(self, scopes, now):
        """Return the items by key that messages of some scopes brought recently."""
        self._items = {
            key: item
            for key, item in self._items.items()
            if now - item[2] <= self._lifetime
        }
        return {
            key: value
            for key, (scope, value, _) in self._items.items()
            if scope in scopes
        }
