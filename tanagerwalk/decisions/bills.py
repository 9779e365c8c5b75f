"""Billing records, deduplicated per request, and replicas of unwritten batches."""

import hashlib
from dataclasses import dataclass

import msgspec

from ..ids import ClassName, ClientAccountId, Fingerprint, RequestId, VersionName

COPY_COUNT = 2
FINGERPRINT_LENGTH = 12
FAULT_PAUSE_S = 5.0
LIVE_ORIGIN_ADOPT_FACTOR = 20.0
MAX_HELD_BYTES = 16 * 1024 * 1024


class Bill(msgspec.Struct, frozen=True, array_like=True):
    """Cost of one request; stored as an array, so new fields must be appended.

    Parameters
    ----------
    account : ClientAccountId
        The account that is billed.
    request_id : RequestId
        Unique within the account.
    work_class : ClassName
        The class of work.
    version : VersionName or None
        The version that answered.
    prompt_tokens, completion_tokens : int
        Tokens of all attempts.
    cost : float
        Cost of all attempts.
    fingerprint : Fingerprint
        First `FINGERPRINT_LENGTH` characters of the request's fingerprint, so that a
        request id reused for another request is billed separately.
    """

    account: ClientAccountId
    request_id: RequestId
    work_class: ClassName
    version: VersionName | None
    prompt_tokens: int
    completion_tokens: int
    cost: float
    fingerprint: Fingerprint = Fingerprint("")


def deduplicate_bills(bills):
    """Return one bill per request.

    Parameters
    ----------
    bills : iterable of Bill
        Bills in any order.

    Returns
    -------
    dict of (ClientAccountId, RequestId, Fingerprint) to Bill
        The cheapest bill of each request, so that an account does not pay for a
        repeated run. The result does not depend on the order.
    """
    deduplicated = {}
    for bill in bills:
        key = (bill.account, bill.request_id, bill.fingerprint)
        kept = deduplicated.setdefault(key, bill)
        if _bill_sort_key(bill) < _bill_sort_key(kept):
            deduplicated[key] = bill
    return deduplicated


def _bill_sort_key(bill):
    return (bill.cost, msgspec.json.encode(bill))


@dataclass(frozen=True, slots=True)
class BatchId:
    """Identifier of a batch of bills, unique in the fleet and never reused."""

    incarnation: str
    sequence: int


@dataclass(frozen=True, slots=True)
class _HeldBatch:
    bills: bytes
    kept_at: float


class HeldBatches:
    """Copies of other instances' batches, kept until the store has them.

    Parameters
    ----------
    adopt_after : float
        Age in seconds after which this instance writes the batches of an instance
        that is gone. Batches of instances that are live or whose state is unknown
        wait `LIVE_ORIGIN_ADOPT_FACTOR` times as long.
    """

    def __init__(self, adopt_after):
        self._adopt_after = adopt_after
        self._batches = {}
        self.size = 0

    def __len__(self):
        return len(self._batches)

    def keep(self, batch_id, bills, now):
        """Keep a copy of a batch.

        Parameters
        ----------
        batch_id : BatchId
            Identifier of the batch.
        bills : bytes
            The encoded batch, as it will be written to the store.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if the copy would exceed `MAX_HELD_BYTES`.
        """
        if batch_id in self._batches:
            return True
        if self.size + len(bills) > MAX_HELD_BYTES:
            return False
        self._batches[batch_id] = _HeldBatch(bills, now)
        self.size += len(bills)
        return True

    def drop(self, batch_id):
        """Remove a copy, if there is one."""
        held = self._batches.pop(batch_id, None)
        if held is not None:
            self.size -= len(held.bills)

    def list_due(self, live_incarnations, now):
        """Return the copies that this instance must write to the store.

        Parameters
        ----------
        live_incarnations : frozenset of Incarnation or None
            Live instances; None if unknown.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of (BatchId, bytes)
            Batches whose origin is gone, and old batches of any origin. Writing a batch
            is idempotent, so an origin that was merely paused may write it too.
        """
        due = []
        for batch_id, held in self._batches.items():
            is_gone = (
                live_incarnations is not None
                and batch_id.incarnation not in live_incarnations
            )
            wait = self._adopt_after * (1.0 if is_gone else LIVE_ORIGIN_ADOPT_FACTOR)
            if now - held.kept_at >= wait:
                due.append((batch_id, held.bills))
        return due

    def list_all(self):
        """Return all copies as (BatchId, bytes)."""
        return [(batch_id, held.bills) for batch_id, held in self._batches.items()]


class CopyHolderChooser:
    """Chooses the peers that keep copies of this instance's bills.

    Parameters
    ----------
    own : Incarnation
        This instance.
    home : Home
        Region and failure domain of this instance.
    """

    def __init__(self, own, home):
        self._own = own
        self._home = home
        self._paused = {}

    def choose(self, peers, now):
        """Return the peers to ask, in order.

        Parameters
        ----------
        peers : tuple of PeerRecord
            Entry instances in the latest list of the platform.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of PeerRecord
            First a peer in another failure domain, preferably in this region because
            links between regions are slow and paid for; then the other peers by
            proximity. The order depends only on the fleet, so connections are reused.
        """
        usable = [
            peer
            for peer in peers
            if peer.incarnation != self._own
            and not peer.leaving
            and self._paused.get(peer.address, now) <= now
        ]
        usable.sort(key=self._rank)
        other = [
            peer for peer in usable if peer.failure_domain != self._home.failure_domain
        ]
        return other[:1] + [peer for peer in usable if peer not in other[:1]]

    def record_fault(self, peer, now):
        """Exclude a peer for `FAULT_PAUSE_S` because it did not keep a copy."""
        self._paused = {a: ends for a, ends in self._paused.items() if ends > now}
        self._paused[peer.address] = now + FAULT_PAUSE_S

    def _rank(self, peer):
        is_other_region = peer.region != self._home.region
        is_other_domain = peer.failure_domain != self._home.failure_domain
        name = f"{self._own}/{peer.incarnation}".encode()
        digest = hashlib.blake2b(name, digest_size=8).digest()
        return (is_other_region, is_other_domain, digest)
