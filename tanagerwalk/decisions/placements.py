"""What speaks for sending a prompt to one engine rather than another."""

import hashlib
from dataclasses import dataclass

# In the unit of a server's load, which is about a second of an engine.
REREAD_COST_PER_TOKEN = 15e-6
READ_COST_PER_TOKEN = 50e-6
REMOTE_COST = 0.3
REMOTE_COST_PER_TOKEN = 10e-6


@dataclass(frozen=True, slots=True)
class Placement:
    """Costs of a request that depend on the server.

    Parameters
    ----------
    key : bytes
        Shared part of the prompt; requests with the same key prefer one server.
    reread_cost : float
        Cost of reading the shared parts again elsewhere.
    remote_cost : float
        Cost of sending the request to another region.
    """

    key: bytes
    reread_cost: float
    remote_cost: float

    def rate_server(self, server_id):
        """Return the rank of a server for this key; the highest is preferred."""
        digest = hashlib.blake2b(server_id.encode(), key=self.key, digest_size=8)
        return digest.digest()


def plan_placement(shape, weight):
    """Return the Placement of a prompt for a model.

    The last part of a prompt is the request's own. Of the shared ones, the last
    names the subject, which the parts before it go with.

    Parameters
    ----------
    shape : PromptInfo
        The prompt.
    weight : float
        Time that the model takes for a token, relative to the largest one.
    """
    shared = shape.parts[:-1]
    tokens = sum(count for _, count in shared)
    key = shared[-1][0].encode() if shared else b""
    return Placement(
        key=key[:64],
        reread_cost=tokens * (REREAD_COST_PER_TOKEN + READ_COST_PER_TOKEN * weight),
        remote_cost=REMOTE_COST + shape.prompt_tokens * REMOTE_COST_PER_TOKEN,
    )
