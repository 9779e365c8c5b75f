"""Exchanges facts and declaration revisions with other entry instances."""

import asyncio
import math
import zlib

import structlog
from expression import Error

from ..ids import Revision
from ..peers.codec import decode, encode
from ..peers.frames import MAX_PAYLOAD_BYTES
from ..peers.gen.exchange.ttypes import (
    DeclarationCopy,
    DeclarationNews,
    DigestReply,
    ExchangeRequest,
    TransferReply,
)
from ..peers.rpc import MessageKind
from .loop import BackgroundTasks, run_periodically

log = structlog.get_logger(__name__)

MAX_CONCURRENT_EXCHANGES = 4
MAX_BROADCAST_PEERS = 16
BROADCAST_TIMEOUT_S = 0.1
SLOW_LANE_PERIOD = 4
EXPIRY_PERIOD = 10
MS_PER_S = 1000


class ExchangeController:
    """Starts exchanges with peers and handles the requests of peers.

    Parameters
    ----------
    facts : FactTable
        The facts shared between instances.
    reconciler : Reconciler
        Computes the digests and transfers of an exchange.
    configuration_controller : ConfigurationController
        Accepts declarations received from peers.
    state : ConfigurationState
        The declaration in force.
    partners : PartnerChooser
        Chooses the peer of each exchange.
    client : PeerClient
        Sends requests.
    list_peers : callable
        Returns the entry instances in the last list from the platform.
    settings : PeerSettings
        Intervals.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    wall_clock : callable
        Returns seconds since the Unix epoch.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        facts,
        reconciler,
        configuration_controller,
        state,
        partners,
        client,
        list_peers,
        settings,
        metrics,
        clock,
        wall_clock,
        random,
    ):
        self._facts = facts
        self._reconciler = reconciler
        self._configuration_controller = configuration_controller
        self._state = state
        self._partners = partners
        self._client = client
        self._list_peers = list_peers
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = random
        self._steps = 0
        self._exchanges = BackgroundTasks()
        self._is_fetching = False

    def register_handlers(self, server):
        """Register the handlers of peers' requests on a PeerServer."""
        server.register_handler(MessageKind.EXCHANGE, self._handle_exchange)
        server.register_handler(MessageKind.FETCH_DECLARATION, self._handle_fetch)

    async def run(self):
        """Start exchanges periodically until cancelled."""
        try:
            await run_periodically(self.step, self._settings.interval, self._random)
        finally:
            self._exchanges.cancel()

    async def step(self):
        """Start one exchange without waiting for it to finish.

        Raises
        ------
        Exception
            The exception of an earlier exchange; indicates a broken invariant.
        """
        self._exchanges.raise_failure()
        self._steps += 1
        now = self._clock()
        if self._steps % EXPIRY_PERIOD == 0:
            self._facts.expire(now)
        if len(self._exchanges) >= MAX_CONCURRENT_EXCHANGES:
            return
        peer = self._partners.choose(self._list_peers(), now, self._wall_clock())
        if peer is None:
            return
        self._exchanges.start(self.exchange(peer))

    async def broadcast(self):
        """Exchange with several peers now, for facts that can't wait for a step.

        Returns after a short timeout so that an unreachable peer does not block the
        caller; the exchanges continue in the background.
        """
        peers = [
            peer
            for peer in self._list_peers()
            if peer.incarnation != self._facts.origin and not peer.leaving
        ]
        chosen = self._random.sample(peers, min(len(peers), MAX_BROADCAST_PEERS))
        tasks = [self._exchanges.start(self.exchange(peer)) for peer in chosen]
        if tasks:
            await asyncio.wait(tasks, timeout=BROADCAST_TIMEOUT_S)

    async def exchange(self, peer):
        """Run an exchange with one peer.

        Parameters
        ----------
        peer : PeerRecord
            The peer.
        """
        result = await self._reconcile(peer)
        if result.is_error():
            self._metrics.exchanges.labels(result.error).inc()
            self._partners.record_fault(peer, self._clock())
            return
        self._metrics.exchanges.labels("done").inc()
        await self._handle_news(result.ok.news, peer)

    async def _reconcile(self, peer):
        with_slow = self._steps % SLOW_LANE_PERIOD == 0
        sent_at = self._clock()
        news = self._make_news(sent_at)
        digest = self._reconciler.make_digest(news, with_slow)
        reply = await self._request(peer, ExchangeRequest(digest=digest), DigestReply)
        if reply.is_error():
            return reply
        self._confirm(reply.ok.news, sent_at)
        transfer = self._reconciler.make_transfer(reply.ok, self._clock())
        if transfer is None:
            return reply
        request = ExchangeRequest(transfer=transfer)
        answer = await self._request(peer, request, TransferReply)
        if answer.is_error():
            return answer
        self._apply_deltas(answer.ok.deltas)
        return reply

    async def _request(self, peer, request, kind):
        answer = await self._client.request(
            peer.address, MessageKind.EXCHANGE, encode(request)
        )
        if answer.is_error():
            return Error(answer.error.value)
        message = decode(kind, answer.ok)
        return message if message.is_ok() else Error("malformed")

    def _apply_deltas(self, deltas):
        new_count = self._reconciler.apply_deltas(deltas, self._clock())
        self._metrics.facts_received.inc(new_count)

    def _make_news(self, now):
        age = self._state.age(now)
        age_ms = None
        if math.isfinite(age):
            age_ms = min(int(math.ceil(age * MS_PER_S)), 2**31 - 1)
        refused = self._state.refused or None
        return DeclarationNews(self._state.revision, age_ms, refused)

    def _confirm(self, news, sent_at):
        """Apply a peer's confirmation of the current declaration.

        The age counts back from the time when the request was sent, so that the
        resulting time is never later than the actual one.
        """
        if news is not None and news.confirmed_age_ms is not None:
            confirmed_at = sent_at - news.confirmed_age_ms / MS_PER_S
            self._state.confirm(Revision(news.revision), confirmed_at)

    async def _handle_news(self, news, peer):
        """Fetch a newer declaration from a peer, or send ours if it is newer."""
        if news is None:
            return
        if max(news.revision, news.refused or 0) < self._state.revision:
            request = ExchangeRequest(declaration=self._make_declaration_copy())
            await self._request(peer, request, TransferReply)
            return
        if self._is_fetching or not self._state.wants(news.revision):
            return
        self._is_fetching = True
        try:
            await self._fetch_declaration(peer)
        finally:
            self._is_fetching = False

    async def _fetch_declaration(self, peer):
        sent_at = self._clock()
        answer = await self._client.request(
            peer.address, MessageKind.FETCH_DECLARATION, b""
        )
        if answer.is_error():
            self._metrics.exchanges.labels(answer.error.value).inc()
            return
        copy = decode(DeclarationCopy, answer.ok)
        if copy.is_error():
            self._metrics.exchanges.labels("malformed").inc()
            return
        self._accept_copy(copy.ok, sent_at)

    def _accept_copy(self, copy, sent_at):
        """Accept a peer's declaration; if `sent_at` is None, its age is unknown."""
        text = decompress(copy.text)
        if text is None or copy.news is None:
            self._metrics.exchanges.labels("malformed").inc()
            return
        if not self._state.wants(copy.news.revision):
            return
        confirmed_at = -math.inf
        if sent_at is not None and copy.news.confirmed_age_ms is not None:
            confirmed_at = sent_at - copy.news.confirmed_age_ms / MS_PER_S
        self._metrics.declarations_fetched.inc()
        self._configuration_controller.accept(
            Revision(copy.news.revision), text, confirmed_at
        )

    async def _handle_exchange(self, payload, sender):
        del sender
        request = decode(ExchangeRequest, payload)
        if request.is_error():
            raise ValueError(request.error)
        now = self._clock()
        if request.ok.digest is not None:
            return encode(
                self._reconciler.answer_digest(request.ok.digest, self._make_news(now))
            )
        if request.ok.declaration is not None:
            self._accept_copy(request.ok.declaration, None)
            return encode(TransferReply())
        if request.ok.transfer is None:
            raise ValueError("exchange request has no digest, declaration or transfer")
        self._apply_deltas(request.ok.transfer.deltas)
        return encode(self._reconciler.answer_transfer(request.ok.transfer, now))

    async def _handle_fetch(self, payload, sender):
        del payload, sender
        return encode(self._make_declaration_copy())

    def _make_declaration_copy(self):
        news = self._make_news(self._clock())
        return DeclarationCopy(news, zlib.compress(self._state.text.encode()))


def decompress(content):
    """Return the decompressed text of a declaration, or None if it is malformed."""
    engine = zlib.decompressobj()
    try:
        text = engine.decompress(content or b"", MAX_PAYLOAD_BYTES)
        return text.decode() if engine.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None
