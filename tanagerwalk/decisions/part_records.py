"""Records of crashes on parts of prompts, and the keys of parts."""

import hashlib
from dataclasses import dataclass
from enum import IntEnum

from ..ids import Incarnation, PartKey

MAX_SHARED_PARTS = 64
KEY_BYTES = 8
KEY_PREFIX = "part-"


class CrashWeight(IntEnum):
    """How strongly a crash speaks against a request that was in flight.

    PRESENT: its answer had not begun. BEGUN: its answer had begun just before.
    """

    PRESENT = 1
    BEGUN = 2


@dataclass(frozen=True, slots=True)
class PartRecord:
    """What an instance tells the others of a part.

    Parameters
    ----------
    crashes : dict of Incarnation to CrashWeight
        Backend servers that crashed since the part was last answered.
    depth : int
        Number of parts before it in its prompts.
    lifetime : float
        Seconds until the record expires.
    answered_ago : float or None
        Seconds since a request with the part was answered; None if that is not known.
    """

    crashes: dict[Incarnation, CrashWeight]
    depth: int
    lifetime: float
    answered_ago: float | None = None

    @property
    def incarnations(self):
        """Backend servers that crashed."""
        return self.crashes.keys()


def list_shared_keys(prompt_parts):
    """Return the keys of the parts that other requests may share, all but the last.

    Parameters
    ----------
    prompt_parts : sequence of str
        Ids of the parts of a prompt, in order.

    Returns
    -------
    tuple of PartKey
    """
    return tuple(map(compute_part_key, prompt_parts[:-1][:MAX_SHARED_PARTS]))


def compute_part_key(part):
    """Return a hash of a part's id; it stands for the part in messages and logs."""
    digest = hashlib.blake2b(part.encode(errors="replace"), digest_size=KEY_BYTES)
    return PartKey(KEY_PREFIX + digest.hexdigest())


def is_part_key(key):
    """Return whether a key of a crash record stands for a part, not for a request."""
    return key.startswith(KEY_PREFIX)
