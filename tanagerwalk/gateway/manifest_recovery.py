"""Recovers what a restored store lacks from other instances: manifest, evacuations.

A store that is restored from an older copy lacks what was written since. Until the
operators write their manifest again, an instance that did not see it can't tell from
the store that there is a newer one; the other instances can.
"""

import asyncio

import structlog

from ..ids import Revision
from ..peers.codec import decode, encode
from ..peers.gen.changes.ttypes import (
    ManifestRequest,
    ManifestResponse,
    WrittenEntry,
)
from ..peers.rpc import MessageKind, PeerClient
from ..writes import Entry
from .change_feed import is_complete

log = structlog.get_logger(__name__)

MAX_ASKED_PEERS = 8
ROUNDS = 3
PEER_TIMEOUT_S = 0.4
# An instance that can ask nobody serves by what the store says.
MAX_KEY_WAIT_S = 1.0


class ManifestServer:
    """Tells other instances the manifest and the evacuations in force.

    Parameters
    ----------
    cluster_state : ClusterState
        Provides the manifest.
    list_evacuated : callable
        Returns the evacuated failure domains.
    """

    def __init__(self, cluster_state, list_evacuated):
        self._cluster_state = cluster_state
        self._list_evacuated = list_evacuated

    def register(self, peer_server):
        """Answer the questions for the manifest that reach a PeerServer."""
        peer_server.register_handler(MessageKind.FETCH_MANIFEST, self._serve)

    async def _serve(self, payload, sender):
        request = decode(ManifestRequest, payload)
        if request.is_error() or request.ok.version is None:
            log.warning("malformed request for the manifest", peer=sender)
            return encode(ManifestResponse())
        entry = self._find_newer_entry(request.ok.version)
        evacuated = sorted(self._list_evacuated())
        return encode(ManifestResponse(entry, evacuated or None))

    def _find_newer_entry(self, version):
        """Return the WrittenEntry of the manifest in force, or None if not newer."""
        manifest = self._cluster_state.manifest
        if manifest is None or manifest.version is None:
            return None
        if manifest.version <= version:
            return None
        entry = self._cluster_state.manifest_entry
        return WrittenEntry(entry.key, entry.value, entry.revision)


class ManifestRecovery:
    """Asks other instances for a newer manifest in each new era of the store.

    Parameters
    ----------
    mirror : Mirror
        Local copy of the store; tells its era.
    cluster_state : ClusterState
        Holds the manifest in force, and adopts a newer one.
    adopt_evacuated : callable
        Takes the list of failure domains that another instance knows as evacuated.
    confirm : callable
        Takes a boot time in seconds at which the manifest in force was the newest.
    get_peers : callable
        Returns the Peer of each other instance, by incarnation.
    get_address : callable
        Takes an incarnation and returns the `IP:PORT` at which the instance serves
        its peers, or None.
    own_id : str
        Incarnation of this instance.
    random : random.Random
        Chooses the instances to ask.

    Attributes
    ----------
    is_pending : bool
        Whether the manifest read from the store may be older than that of the others.
    """

    def __init__(
        self,
        mirror,
        cluster_state,
        adopt_evacuated,
        confirm,
        get_peers,
        get_address,
        own_id,
        random,
    ):
        self._mirror = mirror
        self._cluster_state = cluster_state
        self._adopt_evacuated = adopt_evacuated
        self._confirm = confirm
        self._get_peers = get_peers
        self._get_address = get_address
        self._own_id = own_id
        self._random = random
        self._client = None
        self._has_key = asyncio.Event()
        self._must_ask = asyncio.Event()
        # The first copy of a store lacks nothing.
        self._checked_era = 0
        self._deferred_time = float("-inf")
        self.is_pending = False
        mirror.subscribe(self._check_era, is_needed=True)
        mirror.subscribe_to_confirmations(self._handle_confirmation)

    def authenticate(self, secret):
        """Start to ask other instances, with the key of the fleet."""
        self._client = PeerClient(secret, self._own_id, PEER_TIMEOUT_S)
        self._has_key.set()

    def _check_era(self):
        self.is_pending = (self._mirror.era or 0) > self._checked_era
        if self.is_pending:
            self._must_ask.set()

    def _handle_confirmation(self, time):
        if self.is_pending:
            self._deferred_time = time
        else:
            self._confirm(time)

    async def run(self):
        """Ask the other instances in each new era, until cancelled."""
        # An earlier run may have failed before it had asked.
        self._check_era()
        while True:
            await self._must_ask.wait()
            self._must_ask.clear()
            era = self._mirror.era or self._checked_era
            await self._recover()
            self._checked_era = max(self._checked_era, era)
            self._check_era()
            if not self.is_pending:
                self._confirm(self._deferred_time)

    async def _recover(self):
        if not await self._wait_for_key():
            log.warning("no key of the fleet to ask for the manifest with")
            return
        for _ in range(ROUNDS):
            peers = list(self._get_peers())
            asked = self._random.sample(peers, min(len(peers), MAX_ASKED_PEERS))
            answers = await asyncio.gather(*map(self._ask, asked))
            if any(answers) or not asked:
                return
        log.warning("no instance told its manifest", asked=len(asked))

    async def _wait_for_key(self):
        """Return whether the key of the fleet, which the copy holds, is known."""
        try:
            async with asyncio.timeout(MAX_KEY_WAIT_S):
                await self._has_key.wait()
        except TimeoutError:
            return False
        return True

    async def _ask(self, peer_id):
        """Adopt the manifest of a peer if it is newer; return whether it answered."""
        address = self._get_address(peer_id)
        manifest = self._cluster_state.manifest
        if address is None:
            return False
        version = manifest.version if manifest is not None else None
        payload = encode(ManifestRequest(version or 0))
        result = await self._client.request(
            address, MessageKind.FETCH_MANIFEST, payload
        )
        if result.is_error():
            log.info("peer told no manifest", peer=peer_id, fault=result.error.value)
            return False
        response = decode(ManifestResponse, result.ok)
        if response.is_error():
            log.warning("malformed manifest", peer=peer_id, problem=response.error)
            return False
        self._adopt_evacuated(response.ok.evacuated or [])
        told = response.ok.entry
        if told is not None and not is_complete(told):
            log.warning("incomplete manifest", peer=peer_id)
            return False
        if told is not None:
            entry = Entry(told.key, told.value, Revision(told.revision))
            self._cluster_state.adopt_manifest(entry)
            log.info("manifest of a peer", peer=peer_id, revision=told.revision)
        return True

    async def close(self):
        """Close the connections to other instances."""
        if self._client is not None:
            await self._client.close()
