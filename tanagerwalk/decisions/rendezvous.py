"""Rendezvous hashing: the same order of members on every instance, without talk."""

import hashlib

MAX_KEY_BYTES = 64


def hash_member(key, member):
    """Return the rendezvous hash of a member; the highest comes first.

    Parameters
    ----------
    key : bytes
        What the members are ordered for; bytes beyond MAX_KEY_BYTES are ignored.
    member : str
        Id of the member.
    """
    digest = hashlib.blake2b(member.encode(), key=key[:MAX_KEY_BYTES], digest_size=8)
    return digest.digest()


def find_rank(key, own, others):
    """Return how many of the other members come before `own` in the order for a key.

    Parameters
    ----------
    key : bytes
        What the members are ordered for.
    own : str
        Id of the member whose rank is returned.
    others : iterable of str
        Ids of the other members.
    """
    own_hash = hash_member(key, own)
    return sum(hash_member(key, other) > own_hash for other in others)


def is_among_first(key, own, others, count):
    """Return whether fewer than `count` members come before `own` for a key.

    Cheaper than `find_rank` where `count` is much smaller than the number of members.

    Parameters
    ----------
    key : bytes
        What the members are ordered for.
    own : str
        Id of the member in question.
    others : iterable of str
        Ids of the other members.
    count : int
        Number of members that are among the first.
    """
    own_hash = hash_member(key, own)
    before = 0
    for other in others:
        before += hash_member(key, other) > own_hash
        if before >= count:
            return False
    return before < count


def rank_members(key, members):
    """Return the members in rendezvous order for a key.

    Parameters
    ----------
    key : bytes
        What the members are ordered for.
    members : iterable of str
        Ids of the members.
    """
    return sorted(members, key=lambda member: hash_member(key, member), reverse=True)
