"""Which backend servers have memory for the tokens of one more request.

A server holds the tokens of all its requests, running and waiting, until they end. It
may crash if they exceed its memory.
"""

INITIAL_MEAN_TOKENS = 800.0
MEAN_SMOOTHING = 0.05
# Servers without room that a choice passes over. The choice begins with the least
# loaded ones, so that others hardly have more room.
MAX_PASSED_OVER = 3


def estimate_held_tokens(prompt_info):
    """Return the tokens that a request takes on its server until its end.

    Parameters
    ----------
    prompt_info : PromptInfo
        Sizes of the prompt and of the expected output.
    """
    return prompt_info.prompt_tokens + prompt_info.output_tokens


class TokenRoom:
    """Estimates the tokens that each server holds for the whole fleet.

    Other instances tell how many requests they have on a server; each counts as the
    mean of the requests of this instance.
    """

    def __init__(self):
        self._held = {}
        self._mean = INITIAL_MEAN_TOKENS

    def record_sent(self, server_id, tokens):
        """Record the tokens of a request that is sent to a server."""
        self._held[server_id] = self._held.get(server_id, 0.0) + tokens
        self._mean += MEAN_SMOOTHING * (tokens - self._mean)

    def record_ended(self, server_id, tokens):
        """Record the end of a request whose tokens were recorded as sent."""
        left = self._held.get(server_id, 0.0) - tokens
        if left > 0.0:
            self._held[server_id] = left
        else:
            self._held.pop(server_id, None)

    def fits(self, server_id, other_requests, tokens, capacity):
        """Return whether the tokens of one more request fit into a server's memory.

        Parameters
        ----------
        server_id : BackendServerId
            The server.
        other_requests : int
            Requests of other instances on it.
        tokens : float
            Tokens of the request.
        capacity : int
            Tokens that the server's memory holds; 0 if that is not known.
        """
        if not capacity:
            return True
        held = self._held.get(server_id, 0.0) + other_requests * self._mean
        return held + tokens <= capacity


def choose_with_room(choose, has_room, tried):
    """Choose a server that has room for the tokens of a request.

    Parameters
    ----------
    choose : callable
        Takes the ids of servers to leave out, and returns the best other one or None.
    has_room : callable
        Takes a server and returns whether it has room.
    tried : set of BackendServerId
        Servers to leave out.

    Returns
    -------
    RegisteredServer or None
        The best one at all if none of the best ones has room.
    """
    best = choose(tried)
    server = best
    passed_over = set()
    while server is not None and not has_room(server):
        passed_over.add(server.id)
        if len(passed_over) > MAX_PASSED_OVER:
            return best
        server = choose(passed_over | tried)
    return server or best
