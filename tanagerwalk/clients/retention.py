"""Leases that let the key-value service delete old records by itself."""

import asyncio

from expression import Ok

ROTATION_INTERVAL_S = 3600.0
RETRY_DELAY_S = 0.5


class RetentionLease:
    """Provides a lease shared by all records written within `ROTATION_INTERVAL_S`.

    The store deletes the records when their lease expires, so no instance has to
    clean up. Leases are never renewed; a new one replaces the old one for new records.

    Parameters
    ----------
    store : KeyValueClient
        Client that grants leases.
    retention : float
        Minimum time in seconds to keep a record.
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
        """Return a lease that lasts at least for the retention time.

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
        # While the store is down, many records may ask for a lease; limit the calls.
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
        """Discard the lease after the store has rejected it."""
        self._lease = None
