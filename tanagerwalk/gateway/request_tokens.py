"""Memory of the engines that one request takes."""

from ..decisions.token_room import estimate_held_tokens


class RequestTokens:
    """The tokens that one request takes on each server to which it is sent.

    Parameters
    ----------
    servers : ServerPool
        Knows the tokens that the servers hold.
    request : GatewayRequest
        The request.
    service : ServiceName
        The service that runs it.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, servers, request, service, clock):
        self._servers = servers
        self._clock = clock
        declared = request.manifest.services.get(service)
        self._capacity = 0 if declared is None else declared.kv_capacity
        # A client may declare more than any server can hold.
        tokens = estimate_held_tokens(request.prompt_info)
        self._tokens = min(tokens, self._capacity)

    def has_room(self, server):
        """Return whether a server has memory for the request."""
        return self._servers.has_token_room(
            server, self._tokens, self._capacity, self._clock()
        )

    def begin(self, server):
        """Count the request as sent to a server."""
        if self._capacity:
            self._servers.token_room.record_sent(server.id, self._tokens)

    def end(self, server):
        """Count the end of the request on a server."""
        if self._capacity:
            self._servers.token_room.record_ended(server.id, self._tokens)
