"""Session pins: stored versions of sessions whose ids were chosen by the caller."""

import msgspec
import structlog
from cachetools import LRUCache
from expression import Error, Ok

from ..decisions.sessions import SessionClaims
from ..documents import decode_json
from ..writes import StoreFault, Write

log = structlog.get_logger(__name__)

PIN_PREFIX = "tanagerwalk/sessions/"
MAX_CACHED_PINS = 10_000
MAX_WRITE_ATTEMPTS = 3


class SessionPins:
    """Reads and creates session pins in the key-value service.

    Pins are never modified, so they can be cached.

    Parameters
    ----------
    reader : KeyValueClient
        Client that reads pins.
    store : BatchingStore
        Store that writes pins.
    retention : RetentionLease
        Lease that makes the store delete pins some time after the session has ended.
    """

    def __init__(self, reader, store, retention):
        self._reader = reader
        self._store = store
        self._retention = retention
        self._cache = LRUCache(MAX_CACHED_PINS)

    async def find(self, account, session_id):
        """Look up a session.

        Parameters
        ----------
        account : ClientAccountId
            The caller's client account.
        session_id : str
            Session id chosen by the caller.

        Returns
        -------
        Result of SessionClaims or None, or of StoreFault
            None if the session does not exist.
        """
        key = _make_key(account, session_id)
        if key in self._cache:
            return Ok(self._cache[key])
        found = await self._reader.get(key)
        if found.is_error():
            return found
        if found.ok is None:
            return found
        return self._decode_and_cache(key, found.ok.value)

    async def pin(self, session_id, claims):
        """Create a session unless it exists already.

        Parameters
        ----------
        session_id : str
            Session id chosen by the caller.
        claims : SessionClaims
            Proposed contents of the session.

        Returns
        -------
        Result of SessionClaims, or of StoreFault
            The stored session, which another request may have created.
        """
        key = _make_key(claims.account, session_id)
        value = msgspec.json.encode(claims)
        result = Error(StoreFault.NOT_APPLIED)
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self._try_pin(key, value)
            if result.is_ok() or result.error is StoreFault.NOT_APPLIED:
                break
        return result

    async def _try_pin(self, key, value):
        lease = await self._retention.get()
        if lease.is_error():
            return lease
        result = await self._store.write(Write(key, value, lease=lease.ok))
        if result.is_error():
            if result.error is StoreFault.REJECTED:
                self._retention.invalidate()
            return result
        existing = result.ok.existing
        return self._decode_and_cache(key, existing.value if existing else value)

    def _decode_and_cache(self, key, value):
        """Return the Result of SessionClaims that an entry holds."""
        decoded = decode_json(value, SessionClaims)
        if decoded.is_error():
            log.warning("cannot decode a session", key=key, problem=decoded.error)
            return Error(StoreFault.UNREADABLE)
        self._cache[key] = decoded.ok
        return decoded


def _make_key(account, session_id):
    return f"{PIN_PREFIX}{account}/{session_id}"
