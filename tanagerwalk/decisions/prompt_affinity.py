"""Affinity of prompts to engines that may have cached their shared parts."""

from dataclasses import dataclass

from .locations import REMOTE_DOMAIN_COST
from .rendezvous import hash_member

# Costs are in units of server load; a load of 1 is about one second of engine time.
CACHE_MISS_COST_PER_TOKEN = 15e-6
PREFILL_COST_PER_TOKEN = 50e-6
REMOTE_COST = 0.3
REMOTE_COST_PER_TOKEN = 10e-6


@dataclass(frozen=True, slots=True)
class PromptAffinity:
    """Costs of a request that depend on the selected server.

    Parameters
    ----------
    key : bytes
        Key of the shared prompt part; requests with the same key prefer the same
        server.
    cache_miss_cost : float
        Cost of processing the shared parts on a server that has not cached them.
    remote_cost : float
        Cost of sending the request to another region.
    domain_cost : float
        Cost of sending the request to another failure domain of the region.
    """

    key: bytes
    cache_miss_cost: float
    remote_cost: float
    domain_cost: float = REMOTE_DOMAIN_COST

    def rank_server(self, server_id):
        """Return the rendezvous hash of a server; the highest is preferred."""
        return hash_member(self.key, server_id)


def compute_affinity(prompt_info, weight):
    """Return the PromptAffinity of a prompt for a model.

    The last part of a prompt is unique to the request; the parts before it are
    shared. The key is the last shared part: it identifies the subject, and prompts
    with the same subject also share the parts before it.

    Parameters
    ----------
    prompt_info : PromptInfo
        Sizes of the prompt and its parts.
    weight : float
        Time per token of the model, relative to the largest model.
    """
    shared = prompt_info.parts[:-1]
    tokens = sum(count for _, count in shared)
    key = shared[-1][0].encode() if shared else b""
    size_cost = prompt_info.prompt_tokens * REMOTE_COST_PER_TOKEN
    return PromptAffinity(
        key=key,
        cache_miss_cost=tokens
        * (CACHE_MISS_COST_PER_TOKEN + PREFILL_COST_PER_TOKEN * weight),
        remote_cost=REMOTE_COST + size_cost,
        domain_cost=REMOTE_DOMAIN_COST + size_cost,
    )
