"""How long what an instance knows of the manifest may be acted on."""

# A process may be held up between the check of a key and the sending.
REVOCATION_MARGIN_S = 1.0
# The store's clock may run a little fast.
WATCH_MARGIN_S = 0.1
# Changes of this part of the time to heed them come in one call of the store.
PAUSE_SHARE = 0.32
LARGE_FLEET_PAUSE_SHARE = 0.45
LARGE_FLEET = 60
# So many calls a second all instances together make of a store that is down.
RETRIES_PER_S = 100.0
MIN_RETRY_PAUSE_S = 0.2


class Freshness:
    """Remembers when the manifest was last proved to be the newest.

    Parameters
    ----------
    limit : float
        Age in seconds beyond which keys are no longer accepted; infinite where a
        revoked key may be served by an instance that is cut off.
    clock : callable
        Returns seconds that also count while the machine is suspended.
    """

    def __init__(self, limit, clock):
        self._limit = limit
        self._clock = clock
        self._confirmed_at = float("-inf")

    def set_limit(self, limit):
        """Change the age, in seconds, beyond which keys are no longer accepted."""
        self._limit = limit

    def confirm(self, asked_at):
        """Note that an answer of the store holds what was newest at `asked_at`."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    @property
    def age(self):
        """Seconds since the manifest was last known to be the newest."""
        return self._clock() - self._confirmed_at

    def is_fresh(self):
        """Return whether keys may be accepted."""
        return self.age <= self._limit


def find_age_limit(strict, revocation):
    """Return the age of a manifest, in seconds, at which keys stop being accepted.

    Parameters
    ----------
    strict : bool
        Whether an instance that is cut off is bound too.
    revocation : float
        Seconds after which a revoked key is refused.
    """
    if not strict:
        return float("inf")
    return revocation - REVOCATION_MARGIN_S


def find_confirmed_time(asked_at, answered_at, wait, is_empty):
    """Return the time up to which the answer to a watch tells of every change.

    A watch without changes is answered at the end of its wait, so that it speaks for
    that time and not only for the time of asking.

    Parameters
    ----------
    asked_at, answered_at : float
        When the watch was sent and when its answer came, in seconds.
    wait : float
        Seconds that the store was asked to wait for changes.
    is_empty : bool
        Whether the answer holds no change.
    """
    if not is_empty or answered_at - asked_at < wait:
        return asked_at
    return asked_at + wait - WATCH_MARGIN_S


def find_watch_pause(drain, instances):
    """Return the seconds between two watches; each call of each instance is paid for.

    Parameters
    ----------
    drain : float
        Seconds within which changes have to be heeded.
    instances : int
        Instances that watch.
    """
    part = min(1.0, instances / LARGE_FLEET)
    share = PAUSE_SHARE + part * (LARGE_FLEET_PAUSE_SHARE - PAUSE_SHARE)
    return share * drain


def find_retry_pause(instances):
    """Return the mean seconds until a store that is down is asked again."""
    return max(MIN_RETRY_PAUSE_S, instances / RETRIES_PER_S)
