"""Wires the local copy of the store to the feed that keeps it up to date."""

from .change_feed import SharedFeed, StoreFeed
from .mirror import Mirror
from .operator_watch import OperatorWatch

# The mirror watches the empty key prefix, which matches every key in the store.
ALL_KEYS = ""
# Used until the store has been listed and the peers are known.
DEFAULT_INSTANCE_COUNT = 9


class StoreCopy:
    """The local copy of the store, and the feed of its changes.

    Parameters
    ----------
    store : MetadataStore
        Client of the store.
    codec : PlatformCodec
        Names the key prefixes of backend servers and of operators, and tells what is
        read of entries.
    directory : PeerDirectory
        Knows the instances that pass changes on.
    incarnation : str
        Id of this instance, new at every start.
    watchers : WatcherSelection
        Tells which instances watch the store themselves.
    get_bounds : callable
        Returns the Bounds in force.
    defects : DefectLog
        Records the exceptions of subscribers.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Source of jitter.

    Attributes
    ----------
    feed : SharedFeed
        Provides the changes of the store.
    mirror : Mirror
        The copy.
    operator_watch : OperatorWatch
        Watches the keys of operators.
    """

    def __init__(
        self,
        store,
        codec,
        directory,
        incarnation,
        watchers,
        get_bounds,
        defects,
        clock,
        random,
    ):
        self._directory = directory
        self._get_bounds = get_bounds
        self.watchers = watchers
        self.feed = SharedFeed(
            StoreFeed(store, ALL_KEYS),
            self.watchers,
            directory.get_address,
            incarnation,
            self.find_change_delay,
            self.count_instances,
            clock,
            random,
            codec.entry_reduction,
        )
        self.mirror = Mirror(
            store, ALL_KEYS, self.feed, random, codec.server_prefix, defects
        )
        self.operator_watch = OperatorWatch(
            store, codec.operator_prefix, self.mirror, self.feed
        )

    def find_change_delay(self):
        """Return the seconds within which any change of the store takes effect."""
        bounds = self._get_bounds()
        return min(bounds.drain_timeout, bounds.change_delay, bounds.evacuation_delay)

    def count_instances(self):
        """Return the number of gateway instances in the copy, this one included."""
        if not self.mirror.is_loaded:
            return DEFAULT_INSTANCE_COUNT
        return 1 + len(self._directory.get_peers())
