"""Manifest, roll-out orders and backend servers, decoded from the local store copy."""

import structlog

from ..defects import DefectLog, Subscribers

log = structlog.get_logger(__name__)


class ClusterState:
    """Decodes the local copy of the store on each change.

    Parameters
    ----------
    mirror : Mirror
        Local copy of the store.
    codec : PlatformCodec
        Decodes the stored values.
    servers : ServerPool
        Receives the list of registered servers.
    on_server_removed : callable
        Takes each RegisteredServer that is no longer registered.
    defects : DefectLog or None
        Records the exceptions of subscribers; a log of its own if None.

    Attributes
    ----------
    manifest : Manifest or None
        The newest manifest that could be decoded.
    manifest_entry : Entry or None
        The entry that it was decoded from.
    orders : dict of ServiceName to RolloutOrder
        Roll-outs that the operators ordered, by service.
    on_manifest : callable
        Takes each Manifest that is put in force.
    evacuations : dict of FailureDomain to Revision
        Failure domains whose evacuation the operators request, with the revision of
        the request.
    """

    def __init__(self, mirror, codec, servers, on_server_removed, defects=None):
        self._mirror = mirror
        self._codec = codec
        self._servers = servers
        self._on_server_removed = on_server_removed
        self._decoded = {}
        self._subscribers = Subscribers(defects or DefectLog("subscriber failed"))
        self._ignored_revision = None
        self.manifest = None
        self.manifest_entry = None
        self.orders = {}
        self.on_manifest = _ignore
        self.evacuations = {}
        mirror.subscribe(self._load_operator_entries, is_needed=True)
        mirror.subscribe(self._load_servers)

    def subscribe(self, subscriber):
        """Call `subscriber` without arguments when the operators' entries are read."""
        self._subscribers.add(subscriber)

    @property
    def is_complete(self):
        """Whether a manifest and the list of servers have been loaded."""
        return self.manifest is not None and self._mirror.is_loaded

    def _load_operator_entries(self):
        orders = {}
        evacuations = {}
        for entry in self._mirror.list_entries(self._codec.operator_prefix):
            if self._codec.is_manifest(entry.key):
                self._update_manifest(entry)
            elif self._codec.is_rollout_order(entry.key):
                order = self._decode(self._codec.parse_rollout_order, entry)
                if order is not None:
                    orders[order.service] = order
            elif self._codec.is_evacuation(entry.key):
                domain = self._decode(self._codec.parse_evacuation, entry)
                if domain is not None:
                    evacuations[domain] = entry.revision
        if orders != self.orders:
            log.info("rollout orders", orders=[repr(o) for o in orders.values()])
        self.orders = orders
        self.evacuations = evacuations
        self._subscribers.call()

    def _update_manifest(self, entry):
        if self.manifest is not None and entry.revision <= self.manifest.revision:
            return
        manifest = self._decode(self._codec.parse_manifest, entry)
        if manifest is None:
            return
        if self.manifest is not None and manifest.is_older_than(self.manifest):
            if self._ignored_revision != entry.revision:
                log.info("ignored older manifest", revision=entry.revision)
            self._ignored_revision = entry.revision
            return
        self._put_in_force(manifest, entry)

    def adopt_manifest(self, entry):
        """Put a manifest of another instance in force if it is newer than the own.

        Its revision may be of an earlier era of the store, so that only the version of
        the operators tells which is newer.

        Parameters
        ----------
        entry : Entry
            The entry that the other instance decoded its manifest from.
        """
        result = self._codec.parse_manifest(entry.key, entry.value, entry.revision)
        if result.is_error():
            log.warning("cannot decode manifest of a peer", problem=result.error)
            return
        if self.manifest is None or self.manifest.is_older_than(result.ok):
            self._put_in_force(result.ok, entry)

    def _put_in_force(self, manifest, entry):
        self.manifest = manifest
        self.manifest_entry = entry
        log.info(
            "manifest in force",
            revision=manifest.revision,
            routes=sum(map(len, manifest.routes.values())),
            keys=len(manifest.accounts),
        )
        self.on_manifest(manifest)

    def _load_servers(self):
        servers = []
        in_grace_period = set()
        for entry in self._mirror.list_entries(self._codec.server_prefix):
            server = self._decode(self._codec.parse_server, entry)
            if server is not None:
                servers.append(server)
                if self._mirror.is_in_grace_period(entry.key):
                    in_grace_period.add(server.id)
        self._forget_removed_entries()
        self._servers.set_possibly_leaving(in_grace_period)
        for server in self._servers.replace_servers(servers):
            log.info("server gone", server=server.id, service=server.service)
            self._on_server_removed(server)

    def _forget_removed_entries(self):
        removed = self._decoded.keys() - self._mirror.entries.keys()
        for key in removed:
            del self._decoded[key]

    def _decode(self, parse, entry):
        """Decode each revision of an entry once; log and return None if it fails."""
        known = self._decoded.get(entry.key)
        if known is not None and known[0] == entry.revision:
            return known[1]
        result = parse(entry.key, entry.value, entry.revision)
        if result.is_error():
            log.warning(
                "cannot decode store entry", key=entry.key, problem=result.error
            )
        value = result.ok if result.is_ok() else None
        self._decoded[entry.key] = (entry.revision, value)
        return value


def _ignore(manifest):
    del manifest
