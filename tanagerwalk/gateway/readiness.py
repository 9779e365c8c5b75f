"""Tells whether an instance should receive new connections."""


class Readiness:
    """Readiness of an instance for new connections.

    Parameters
    ----------
    client_listener : Listener
        Must be open, and must not turn all new connections away.
    cluster_state : ClusterState
        Must be complete.
    manifest_recovery : ManifestRecovery
        Must not be pending.
    freshness : Freshness
        Tells whether the manifest was confirmed lately.

    Attributes
    ----------
    is_stopping : bool
        Whether a planned stop has begun.
    """

    def __init__(self, client_listener, cluster_state, manifest_recovery, freshness):
        self._client_listener = client_listener
        self._cluster_state = cluster_state
        self._manifest_recovery = manifest_recovery
        self._freshness = freshness
        self.is_stopping = False

    def is_ready(self):
        """Return whether the instance should receive new connections."""
        return (
            not self.is_stopping
            and self._client_listener.is_open
            and not self._client_listener.admission.is_full
            and self._cluster_state.is_complete
            and not self._manifest_recovery.is_pending
            and self._freshness.is_fresh()
        )
