"""Leases that let the key-value service itself delete settled records."""

import asyncio

from expression import Ok

ROTATION_INTERVAL_S = 3600.0
RETRY_DELAY_S = 0.5


class RetentionLease:
    """A lease that is shared by all records of about one hour.

    The store deletes the records when it ends, so that no instance has to sweep.
    Nothing renews it.

    Parameters
    ----------
    store : KeyValueClient
        Grants leases.
    retention : float
        Seconds that a record is kept at least.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, store, retention, clock):
        self._store = store
        self._retention = retention
        self._clock = clock
        self._lease = None
        self._granted_at = 0.0
        self._last_failure = None
        self._failed_at = 0.0
        self._lock = asyncio.Lock()

    async def get(self):
        """Return a lease that lasts for the retention.

        Returns
        -------
        Result of int, or of StoreFault
        """
        async with self._lock:
            return await self._get()

    async def _get(self):
        now = self._clock()
        if self._lease is not None and now - self._granted_at < ROTATION_INTERVAL_S:
            return Ok(self._lease)
        # Many records may wait for a lease while the store is out.
        if self._last_failure is not None and now - self._failed_at < RETRY_DELAY_S:
            return self._last_failure
        granted = await self._store.grant_lease(self._retention + ROTATION_INTERVAL_S)
        if granted.is_ok():
            self._lease = granted.ok
            self._granted_at = now
        self._last_failure = granted if granted.is_error() else None
        self._failed_at = self._clock()
        return granted

    def invalidate(self):
        """Stop using the lease, because the store does not know it."""
        self._lease = None
