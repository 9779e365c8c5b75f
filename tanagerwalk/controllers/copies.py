"""Copies of bills at peers."""

import asyncio

from expression import Error

from ..decisions.bills import COPY_COUNT
from ..peers.codec import decode, encode
from ..peers.gen.bills.ttypes import BillBatch, DropBills, KeepBills, KeepBillsReply
from ..peers.rpc import MessageKind, RequestFault

COPY_LIMIT_S = 0.3
ROUNDS = 2


class BillCopies:
    """Has peers keep copies of batches and drop them again.

    Parameters
    ----------
    client : PeerClient
        Calls peers.
    chooser : CopyHolderChooser
        Chooses them.
    list_peers : callable
        Returns the entry instances that the platform listed last.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, client, chooser, list_peers, clock):
        self._client = client
        self._chooser = chooser
        self._list_peers = list_peers
        self._clock = clock

    async def spread(self, batches, wanted=COPY_COUNT):
        """Have peers keep batches.

        Parameters
        ----------
        batches : list of (BatchId, bytes)
            The batches.
        wanted : int
            Number of peers.

        Returns
        -------
        list of str
            Addresses of the peers that keep all of them; fewer than wanted if no
            more could be reached.
        """
        request = KeepBills(
            [BillBatch(i.incarnation, i.sequence, b) for i, b in batches]
        )
        payload = encode(request)
        holders = []
        for _ in range(ROUNDS):
            chosen = self._chooser.choose(self._list_peers(), self._clock())
            asked = [peer for peer in chosen if peer.address not in holders]
            asked = asked[: wanted - len(holders)]
            kept = await asyncio.gather(*(self._ask(peer, payload) for peer in asked))
            holders += [p.address for p, ok in zip(asked, kept, strict=True) if ok]
            if len(holders) >= wanted:
                break
        return holders

    async def _ask(self, peer, payload):
        result = await self._request(peer.address, MessageKind.KEEP_BILLS, payload)
        if result.is_ok():
            reply = decode(KeepBillsReply, result.ok)
            if reply.is_ok() and reply.ok.kept:
                return True
        self._chooser.record_fault(peer, self._clock())
        return False

    async def drop(self, address, batch_ids):
        """Tell a peer that the store has batches; it may not hear of it.

        Parameters
        ----------
        address : str
            The peer.
        batch_ids : list of BatchId
            Batches of one incarnation.
        """
        sequences = [batch_id.sequence for batch_id in batch_ids]
        payload = encode(DropBills(batch_ids[0].incarnation, sequences))
        await self._request(address, MessageKind.DROP_BILLS, payload)

    async def _request(self, address, kind, payload):
        try:
            async with asyncio.timeout(COPY_LIMIT_S):
                return await self._client.request(address, kind, payload)
        except TimeoutError:
            return Error(RequestFault.TIMED_OUT)
