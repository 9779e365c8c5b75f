"""Age of an instance's copy of the manifest, and the limits that follow from it."""

# A process may be suspended between the check of a key and the sending of a request.
REVOCATION_MARGIN_S = 1.0
# Allows for a store whose clock runs a little fast.
WATCH_MARGIN_S = 0.1
# A watch, or a list, that is not answered by then is made once more on a new
# connection. Four lost answers in a row, the wait of the first watch, and the pause
# before it stay within the time for a change.
OVERDUE_WATCH_S = 0.2
MAX_WATCHES = 5
# A list is long, so that few of them are made at once.
OVERDUE_LIST_S = 0.6
MAX_LISTS = 3
# Pause between two watches as a share of the time within which a change has to take
# effect; all changes during a pause arrive in one call of the store.
PAUSE_SHARE = 0.32
# A change also has to reach the instances that ask the one that watches.
SHARED_PAUSE_SHARE = 0.12
# Calls per second to a store that is down: of all instances that watch it together,
# and of all that ask them.
RETRIES_PER_S = 45.0
DIRECT_READS_PER_S = 30.0
MIN_RETRY_PAUSE_S = 0.2
# Bounds of the seconds after which a client that was refused before the first copy
# should retry.
MIN_START_RETRY_S = 0.3
MAX_START_RETRY_S = 1.0
# How long after its start an instance lets requests wait for its first copy, and the
# largest part of a client's time that such a wait takes.
START_WAIT_S = 1.0
MAX_START_WAIT_SHARE = 1.0 / 16.0


class Freshness:
    """Records when the manifest was last confirmed to be the newest.

    Parameters
    ----------
    limit : float
        Age in seconds beyond which keys are no longer accepted; infinite if an
        instance without contact to the store may accept revoked keys.
    clock : callable
        Returns seconds that also count while the machine is suspended.
    """

    def __init__(self, limit, clock):
        self._limit = limit
        self._clock = clock
        self._started_at = clock()
        self._confirmed_at = float("-inf")

    def set_limit(self, limit):
        """Change the age, in seconds, beyond which keys are no longer accepted."""
        self._limit = limit

    def confirm(self, asked_at):
        """Record that the manifest was the newest at `asked_at`."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    @property
    def age(self):
        """Seconds since the manifest was last known to be the newest."""
        return self._clock() - self._confirmed_at

    @property
    def uptime(self):
        """Seconds since the start of this instance."""
        return self._clock() - self._started_at

    def is_fresh(self):
        """Return whether keys may be accepted."""
        return self.age <= self._limit


def find_age_limit(strict, revocation_delay):
    """Return the age of the manifest in seconds beyond which keys are not accepted.

    Parameters
    ----------
    strict : bool
        Whether the revocation time also binds an instance without contact to the
        store.
    revocation_delay : float
        Seconds within which a revoked key must be refused.
    """
    if not strict:
        return float("inf")
    return revocation_delay - REVOCATION_MARGIN_S


def find_start_wait(uptime, client_timeout):
    """Return the seconds for which a request waits for the first copy of the store.

    Parameters
    ----------
    uptime : float
        Seconds since the start of the instance. Later than START_WAIT_S the store is
        probably out, and no request waits.
    client_timeout : float
        Seconds that the client waits in all.
    """
    return max(0.0, min(START_WAIT_S - uptime, MAX_START_WAIT_SHARE * client_timeout))


def find_start_retry_delay(uptime):
    """Return the seconds after which a client should retry before the first copy.

    Parameters
    ----------
    uptime : float
        Seconds since the start of the instance: the longer it has waited for the
        store, the longer it will.
    """
    return min(MAX_START_RETRY_S, max(MIN_START_RETRY_S, uptime))


def find_confirmed_time(asked_at, answered_at, wait, is_empty):
    """Return the time up to which the answer to a watch covers all changes.

    A watch without changes is answered at the end of its wait, so its answer covers
    that time too and not only the time before the call.

    Parameters
    ----------
    asked_at, answered_at : float
        When the watch was sent and when its answer came, in seconds.
    wait : float
        Seconds that the store was asked to wait for changes.
    is_empty : bool
        Whether the answer contains no change.
    """
    if not is_empty or answered_at - asked_at < wait:
        return asked_at
    return asked_at + wait - WATCH_MARGIN_S


def list_watch_delays(wait):
    """Return the seconds after which each watch but the last is made once more.

    Parameters
    ----------
    wait : float
        Seconds that the store may wait for a change before it answers the first one.
    """
    return [wait + OVERDUE_WATCH_S, *[OVERDUE_WATCH_S] * (MAX_WATCHES - 2)]


def list_snapshot_delays():
    """Return the same for the lists of all entries."""
    return [OVERDUE_LIST_S] * (MAX_LISTS - 1)


def find_watch_pause(change_delay, is_shared):
    """Return the seconds between two watches.

    Parameters
    ----------
    change_delay : float
        Seconds within which changes have to take effect.
    is_shared : bool
        Whether other instances read the changes from this one.
    """
    return (SHARED_PAUSE_SHARE if is_shared else PAUSE_SHARE) * change_delay


def find_retry_pause(watchers):
    """Return the mean seconds until the next call to a store that is down.

    Parameters
    ----------
    watchers : int
        Instances that watch the store.
    """
    return max(MIN_RETRY_PAUSE_S, watchers / RETRIES_PER_S)


def find_direct_read_pause(instances):
    """Return the mean seconds between two calls of an instance that does not watch.

    It calls the store itself only while no watcher that it reaches has it.

    Parameters
    ----------
    instances : int
        Instances of the fleet.
    """
    return max(MIN_RETRY_PAUSE_S, instances / DIRECT_READS_PER_S)
