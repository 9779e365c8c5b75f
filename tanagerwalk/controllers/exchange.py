"""Exchanges facts and news of the declaration with other entry instances."""

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

MAX_RUNNING = 4
MAX_SPREAD = 16
SPREAD_LIMIT_S = 0.1
SLOW_EVERY = 4
EXPIRY_EVERY = 10
MILLISECONDS = 1000


class ExchangeController:
    """Runs exchanges with peers and answers theirs.

    Parameters
    ----------
    facts : FactTable
        The shared facts.
    reconciler : Reconciler
        Decides what an exchange carries.
    configuring : ConfigurationController
        Takes declarations that peers give.
    state : ConfigurationState
        The declaration in force.
    partners : PartnerChooser
        Chooses the peer of each exchange.
    client : PeerClient
        Sends requests.
    list_peers : callable
        Returns the entry instances that the platform listed last.
    settings : PeerSettings
        Intervals.
    metrics : Metrics
        Counters.
    clock : callable
        Returns monotonic time in seconds.
    wall_clock : callable
        Returns seconds since the epoch.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        facts,
        reconciler,
        configuring,
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
        self._configuring = configuring
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
        self._running = BackgroundTasks()
        self._fetching = False

    def answer_on(self, server):
        """Answer the exchanges of peers on a PeerServer."""
        server.register_handler(MessageKind.EXCHANGE, self._answer_exchange)
        server.register_handler(MessageKind.FETCH_DECLARATION, self._answer_fetch)

    async def run(self):
        """Exchange until cancelled."""
        try:
            await run_periodically(self.step, self._settings.interval, self._random)
        finally:
            self._running.cancel()

    async def step(self):
        """Start one exchange, without waiting for its end.

        Raises
        ------
        Exception
            What ended an earlier exchange: only a broken invariant does.
        """
        self._running.raise_failure()
        self._steps += 1
        now = self._clock()
        if self._steps % EXPIRY_EVERY == 0:
            self._facts.expire(now)
        if len(self._running) >= MAX_RUNNING:
            return
        peer = self._partners.choose(self._list_peers(), now, self._wall_clock())
        if peer is None:
            return
        self._running.start(self.exchange(peer))

    async def spread(self):
        """Exchange with several peers now, for facts that can't wait for a step.

        Returns after a short time at most, so that a peer that can't be reached
        holds nobody up; the exchanges go on.
        """
        peers = [
            peer
            for peer in self._list_peers()
            if peer.incarnation != self._facts.origin and not peer.leaving
        ]
        chosen = self._random.sample(peers, min(len(peers), MAX_SPREAD))
        tasks = [self._running.start(self.exchange(peer)) for peer in chosen]
        if tasks:
            await asyncio.wait(tasks, timeout=SPREAD_LIMIT_S)

    async def exchange(self, peer):
        """Exchange with one peer.

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
        await self._heed_news(result.ok.news, peer)

    async def _reconcile(self, peer):
        with_slow = self._steps % SLOW_EVERY == 0
        asked_at = self._clock()
        news = self._make_news(asked_at)
        digest = self._reconciler.make_digest(news, with_slow)
        reply = await self._ask(peer, ExchangeRequest(digest=digest), DigestReply)
        if reply.is_error():
            return reply
        self._confirm(reply.ok.news, asked_at)
        transfer = self._reconciler.make_transfer(reply.ok, self._clock())
        if transfer is None:
            return reply
        request = ExchangeRequest(transfer=transfer)
        answer = await self._ask(peer, request, TransferReply)
        if answer.is_error():
            return answer
        self._take_deltas(answer.ok.deltas)
        return reply

    async def _ask(self, peer, request, kind):
        answer = await self._client.request(
            peer.address, MessageKind.EXCHANGE, encode(request)
        )
        if answer.is_error():
            return Error(answer.error.value)
        message = decode(kind, answer.ok)
        return message if message.is_ok() else Error("malformed")

    def _take_deltas(self, deltas):
        fresh = self._reconciler.apply_deltas(deltas, self._clock())
        self._metrics.facts_received.inc(fresh)

    def _make_news(self, now):
        age = self._state.age(now)
        age_ms = None
        if math.isfinite(age):
            age_ms = min(int(math.ceil(age * MILLISECONDS)), 2**31 - 1)
        refused = self._state.refused or None
        return DeclarationNews(self._state.revision, age_ms, refused)

    def _confirm(self, news, asked_at):
        """Take a peer's confirmation, dated no later than the peer can have meant."""
        if news is not None and news.confirmed_age_ms is not None:
            confirmed_at = asked_at - news.confirmed_age_ms / MILLISECONDS
            self._state.confirm(Revision(news.revision), confirmed_at)

    async def _heed_news(self, news, peer):
        """Fetch the declaration of a peer that has a newer one, or give ours."""
        if news is None:
            return
        if max(news.revision, news.refused or 0) < self._state.revision:
            request = ExchangeRequest(declaration=self._copy_declaration())
            await self._ask(peer, request, TransferReply)
            return
        if self._fetching or not self._state.wants(news.revision):
            return
        self._fetching = True
        try:
            await self._fetch(peer)
        finally:
            self._fetching = False

    async def _fetch(self, peer):
        asked_at = self._clock()
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
        self._take_copy(copy.ok, asked_at)

    def _take_copy(self, copy, asked_at):
        """Take a peer's declaration; without `asked_at` its age is unknown."""
        text = decompress(copy.text)
        if text is None or copy.news is None:
            self._metrics.exchanges.labels("malformed").inc()
            return
        if not self._state.wants(copy.news.revision):
            return
        confirmed_at = -math.inf
        if asked_at is not None and copy.news.confirmed_age_ms is not None:
            confirmed_at = asked_at - copy.news.confirmed_age_ms / MILLISECONDS
        self._metrics.declarations_fetched.inc()
        self._configuring.take(Revision(copy.news.revision), text, confirmed_at)

    async def _answer_exchange(self, payload, sender):
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
            self._take_copy(request.ok.declaration, None)
            return encode(TransferReply())
        if request.ok.transfer is None:
            raise ValueError("an empty exchange request")
        self._take_deltas(request.ok.transfer.deltas)
        return encode(self._reconciler.answer_transfer(request.ok.transfer, now))

    async def _answer_fetch(self, payload, sender):
        del payload, sender
        return encode(self._copy_declaration())

    def _copy_declaration(self):
        news = self._make_news(self._clock())
        return DeclarationCopy(news, zlib.compress(self._state.text.encode()))


def decompress(content):
    """Return the text of a declaration's copy, or None if it is malformed."""
    engine = zlib.decompressobj()
    try:
        text = engine.decompress(content or b"", MAX_PAYLOAD_BYTES)
        return text.decode() if engine.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None
