"""Conditional writes to the key-value service and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from .ids import Revision

ABSENT = Revision(0)


class StoreFault(Enum):
    """Why a call to the store returned no answer.

    `NOT_APPLIED` means that the call did not reach the store, and `REJECTED` that the
    store refused it as malformed; neither took effect. With `UNKNOWN`, a write may
    have taken effect or may still take effect later. `STALE` is an answer of another
    instance that has lost the store, `UNREADABLE` a value that another writer left, and
    `OVERLONG` an answer of which more is read than an instance holds.
    """

    NOT_APPLIED = "not_applied"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    STALE = "stale"
    UNREADABLE = "unreadable"
    OVERLONG = "overlong"


@dataclass(frozen=True, slots=True)
class Entry:
    """A key, its value and its revision.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value.
    revision : Revision
        Store revision of the last write to this key.
    """

    key: str
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class NewerRead:
    """Result of reading a key if it was written after a given revision.

    Parameters
    ----------
    entry : Entry or None
        The entry; None if there is no newer write.
    revision : Revision
        Store revision at the time of the read.
    """

    entry: Entry | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class Write:
    """A write that takes effect only if its key has the expected revision.

    Parameters
    ----------
    key : str
        The key.
    value : bytes or None
        The new value; None deletes the key.
    revision : Revision
        Expected revision of the key; `ABSENT` if the key must not exist.
    lease : int
        Lease that the key is attached to; 0 for none.
    extra_puts : tuple of (str, bytes)
        Further keys and values written in the same transaction, unconditionally.
    """

    key: str
    value: bytes | None
    revision: Revision = ABSENT
    lease: int = 0
    extra_puts: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Result of a conditional write.

    Parameters
    ----------
    applied : bool
        Whether the condition held and the write took effect.
    revision : Revision
        Store revision after the call.
    existing : Entry or None
        The entry that caused the condition to fail, if there is one.
    """

    applied: bool
    revision: Revision
    existing: Entry | None = None
