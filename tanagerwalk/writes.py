"""Conditional writes to the key-value service, and what comes of them."""

from dataclasses import dataclass
from enum import Enum

from .ids import Revision

ABSENT = Revision(0)


class StoreFault(Enum):
    """Why a call gave no answer.

    `NOT_APPLIED` means that the call never reached the store, `REJECTED` that the
    store refused it as malformed; neither took effect. After `UNKNOWN` a write may
    have taken effect, or may still do so.
    """

    NOT_APPLIED = "not_applied"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value with its revision.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value.
    revision : Revision
        The store's revision at the last write of this key.
    """

    key: str
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class NewerRead:
    """What a read for newer writes found.

    Parameters
    ----------
    entry : Entry or None
        None if there is no newer write.
    revision : Revision
        The store's revision at the read.
    """

    entry: Entry | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class Write:
    """One write that takes effect only if its key is as expected.

    Parameters
    ----------
    key : str
        The key.
    value : bytes or None
        The new value; None deletes the key.
    revision : Revision
        Revision of the key's last write; `ABSENT` if it must not exist.
    lease : int
        Lease that the key ends with; 0 for none.
    extra_puts : tuple of (str, bytes)
        Further keys that are written with it, whatever they hold.
    """

    key: str
    value: bytes | None
    revision: Revision = ABSENT
    lease: int = 0
    extra_puts: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """What a conditional write did.

    Parameters
    ----------
    applied : bool
        Whether the condition held.
    revision : Revision
        The store's revision after the call.
    existing : Entry or None
        The entry that made the condition fail, if there is one.
    """

    applied: bool
    revision: Revision
    existing: Entry | None = None
