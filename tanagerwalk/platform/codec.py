"""The single interface through which the gateway uses the platform's formats."""

from .egress import classify_head, encode_attempt, is_response_to
from .entries import EntryReduction
from .ingress import parse_request, refuse
from .manifests import parse_manifest
from .names import (
    EVACUATION_PREFIX,
    MANIFEST_KEY,
    OPERATOR_PREFIX,
    ROLLOUT_ORDER_PREFIX,
    SERVER_PREFIX,
)
from .servers import (
    encode_rollout_status,
    parse_evacuation,
    parse_rollout_order,
    parse_server,
)


class PlatformCodec:
    """Translates between the platform's formats and the gateway's types.

    The parsers of store entries share one signature (key, data, revision), so that
    the gateway can choose among them by key.
    """

    operator_prefix = OPERATOR_PREFIX
    server_prefix = SERVER_PREFIX
    entry_reduction = EntryReduction()
    parse_request = staticmethod(parse_request)
    refuse = staticmethod(refuse)
    encode_attempt = staticmethod(encode_attempt)
    is_response_to = staticmethod(is_response_to)
    classify_head = staticmethod(classify_head)
    parse_evacuation = staticmethod(parse_evacuation)
    parse_rollout_order = staticmethod(parse_rollout_order)
    encode_rollout_status = staticmethod(encode_rollout_status)

    @staticmethod
    def is_manifest(key):
        """Return whether a store key is that of the manifest."""
        return key == MANIFEST_KEY

    @staticmethod
    def is_rollout_order(key):
        """Return whether a store key is that of a roll-out order."""
        return key.startswith(ROLLOUT_ORDER_PREFIX)

    @staticmethod
    def is_evacuation(key):
        """Return whether a store key requests the evacuation of a failure domain."""
        return key.startswith(EVACUATION_PREFIX)

    @staticmethod
    def parse_manifest(key, data, revision):
        """Decode the manifest; see `manifests.parse_manifest`."""
        del key
        return parse_manifest(data, revision)

    @staticmethod
    def parse_server(key, data, revision):
        """Decode a backend server's entry; see `servers.parse_server`."""
        return parse_server(key, data, revision)
