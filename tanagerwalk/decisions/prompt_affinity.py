"""What speaks for sending a prompt to one engine rather than another."""

import hashlib
from dataclasses import dataclass

# In the unit of a server's load, which is about a second of an engine.
CACHE_MISS_COST_PER_TOKEN = 15e-6
PREFILL_COST_PER_TOKEN = 50e-6
REMOTE_COST = 0.3
REMOTE_COST_PER_TOKEN = 10e-6


@dataclass(frozen=True, slots=True)
class PromptAffinity:
    """Costs of a request that depend on the server.

    Parameters
    ----------
    key : bytes
        Shared part of the prompt; requests with the same key prefer one server.
    cache_miss_cost : float
        Cost of reading the shared parts again elsewhere.
    remote_cost : float
        Cost of sending the request to another region.
    """

    key: bytes
    cache_miss_cost: float
    remote_cost: float

    def rank_server(self, server_id):
        """Return the rank of a server for this key; the highest is preferred."""
        digest = hashlib.blake2b(server_id.encode(), key=self.key, digest_size=8)
        return digest.digest()


def compute_affinity(shape, weight):
    """Return the PromptAffinity of a prompt for a model.

    The last part of a prompt is the request's own. Of the shared ones, the last
    names the subject, which the parts before it go with.

    Parameters
    ----------
    shape : PromptShape
        The prompt.
    weight : float
        Time that the model takes for a token, relative to the largest one.
    """
    shared = shape.parts[:-1]
    tokens = sum(count for _, count in shared)
    key = shared[-1][0].encode() if shared else b""
    return PromptAffinity(
        key=key[:64],
        cache_miss_cost=tokens
        * (CACHE_MISS_COST_PER_TOKEN + PREFILL_COST_PER_TOKEN * weight),
        remote_cost=REMOTE_COST + shape.prompt_tokens * REMOTE_COST_PER_TOKEN,
    )
