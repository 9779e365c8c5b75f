"""The models that one request may be sent to, and what it costs with each."""

import math

from ..decisions.model_selection import plan_models
from ..decisions.prompt_affinity import compute_affinity
from ..decisions.server_usage import estimate_work


class ModelSequence:
    """Models of a request, the one to ask next and its costs.

    Parameters
    ----------
    request : GatewayRequest
        The request.
    service : ServiceName
        The service that runs it.

    Attributes
    ----------
    affinity : PromptAffinity or None
        Affinity of the prompt with the current model; None if the client names it.
    """

    def __init__(self, request, service):
        self._prompt_info = request.prompt_info
        self._service = request.manifest.services.get(service)
        self._models = self._plan(request.route)
        self._index = 0
        self.affinity = self._compute_affinity()

    def _plan(self, route):
        if self._service is None or not route.models:
            return ()
        choices = [self._service.make_model_choice(name) for name in route.models]
        return plan_models(choices, route.max_attempts)

    @property
    def current(self):
        """The ModelChoice of the next attempt; None if the client names the model."""
        return self._models[self._index] if self._models else None

    @property
    def current_name(self):
        """Name of the current model, or None."""
        return None if self.current is None else self.current.name

    @property
    def has_larger(self):
        """Whether a larger model may be asked after the current one."""
        return self._index + 1 < len(self._models)

    def advance(self):
        """Go on to the next larger model."""
        self._index += 1
        self.affinity = self._compute_affinity()

    def retreat(self):
        """Go back to the model before, as the larger one can't be asked."""
        self._index -= 1
        self.affinity = self._compute_affinity()

    def estimate_work(self, now):
        """Return the Work of an attempt, or None for a service without models."""
        if self._service is None or not self._service.runs_models:
            return None
        weight = 1.0 if self.current is None else self.current.weight
        # No server runs a larger prompt, whatever the client declares.
        tokens = min(
            self._prompt_info.prompt_tokens, self._service.kv_capacity or math.inf
        )
        return estimate_work(tokens, weight, now)

    def _compute_affinity(self):
        if self.current is None:
            return None
        return compute_affinity(self._prompt_info, self.current.weight)
