"""Patches between declaration texts, to send only what has changed."""

import hashlib
import os.path

import msgspec
from expression import Error, Ok

HASH_LENGTH = 32


class Patch(msgspec.Struct, frozen=True):
    """The difference between two texts as one replaced middle part.

    Parameters
    ----------
    base, result : str
        Hashes of the text before and after.
    prefix, suffix : int
        Characters that both texts share at their beginning and end.
    middle : str
        The part of the new text between prefix and suffix.
    """

    base: str
    result: str
    prefix: int
    suffix: int
    middle: str


def hash_text(text):
    """Return the hash that identifies a text in a patch."""
    return hashlib.sha256(text.encode()).hexdigest()[:HASH_LENGTH]


def make_patch(old, new):
    """Return the patch that turns `old` into `new`.

    Parameters
    ----------
    old, new : str
        The texts.

    Returns
    -------
    Patch
    """
    prefix = len(os.path.commonprefix([old, new]))
    old_rest = old[prefix:]
    new_rest = new[prefix:]
    suffix = len(os.path.commonprefix([old_rest[::-1], new_rest[::-1]]))
    middle = new_rest[: len(new_rest) - suffix]
    return Patch(hash_text(old), hash_text(new), prefix, suffix, middle)


def apply_patch(old, patch):
    """Apply a patch.

    Parameters
    ----------
    old : str
        The text to change.
    patch : Patch
        The patch; it may have been made for another text.

    Returns
    -------
    Result of str, or of str
        The new text, or the reason why the patch does not apply.
    """
    if hash_text(old) != patch.base:
        return Error("patch was made for a text with another hash")
    if patch.prefix + patch.suffix > len(old):
        return Error("prefix and suffix of the patch are longer than the text")
    end = old[len(old) - patch.suffix :]
    new = old[: patch.prefix] + patch.middle + end
    if hash_text(new) != patch.result:
        return Error("patched text does not have the hash that the patch states")
    return Ok(new)
