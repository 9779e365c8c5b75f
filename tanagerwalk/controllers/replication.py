"""Replication of bill batches to peers."""

import asyncio

from expression import Error

from ..decisions.bills import COPY_COUNT
from ..peers.codec import decode, encode
from ..peers.gen.bills.ttypes import BillBatch, DropBills, KeepBills, KeepBillsReply
from ..peers.rpc import MessageKind, RequestFault

REQUEST_TIMEOUT_S = 0.3
MAX_ROUNDS = 2


class BillReplicator:
    """Stores copies of bill batches on peers and deletes them again.

    Parameters
    ----------
    client : PeerClient
        Sends requests to peers.
    chooser : CopyHolderChooser
        Chooses the peers that hold copies.
    list_peers : callable
        Returns the entry instances in the last list from the platform.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, client, chooser, list_peers, clock):
        self._client = client
        self._chooser = chooser
        self._list_peers = list_peers
        self._clock = clock

    async def replicate(self, batches, copy_count=COPY_COUNT):
        """Store copies of batches on peers.

        Parameters
        ----------
        batches : list of (BatchId, bytes)
            Batches and their encoded bills.
        copy_count : int
            Number of peers that should hold a copy.

        Returns
        -------
        list of str
            Addresses of the peers that hold all batches; fewer than `copy_count` if
            not enough peers could be reached.
        """
        request = KeepBills(
            [BillBatch(i.incarnation, i.sequence, b) for i, b in batches]
        )
        payload = encode(request)
        holders = []
        for _ in range(MAX_ROUNDS):
            chosen = self._chooser.choose(self._list_peers(), self._clock())
            candidates = [peer for peer in chosen if peer.address not in holders]
            candidates = candidates[: copy_count - len(holders)]
            kept = await asyncio.gather(
                *(self._send_batches(peer, payload) for peer in candidates)
            )
            holders += [p.address for p, ok in zip(candidates, kept, strict=True) if ok]
            if len(holders) >= copy_count:
                break
        return holders

    async def _send_batches(self, peer, payload):
        result = await self._request(peer.address, MessageKind.KEEP_BILLS, payload)
        if result.is_ok():
            reply = decode(KeepBillsReply, result.ok)
            if reply.is_ok() and reply.ok.kept:
                return True
        self._chooser.record_fault(peer, self._clock())
        return False

    async def drop(self, address, batch_ids):
        """Ask a peer to delete its copies of batches; a failure is ignored.

        Parameters
        ----------
        address : str
            Address of the peer.
        batch_ids : list of BatchId
            Batches of one incarnation.
        """
        sequences = [batch_id.sequence for batch_id in batch_ids]
        payload = encode(DropBills(batch_ids[0].incarnation, sequences))
        await self._request(address, MessageKind.DROP_BILLS, payload)

    async def _request(self, address, kind, payload):
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await self._client.request(address, kind, payload)
        except TimeoutError:
            return Error(RequestFault.TIMED_OUT)
