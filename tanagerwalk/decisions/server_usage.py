"""What an instance knows of the use of one backend server, and what work costs it."""

from dataclasses import dataclass, field

from ..registry import RegisteredServer

REPORT_LIFETIME_S = 1.5
# Prompt tokens of the largest model that count as a load of one.
ENGINE_CAPACITY_TOKENS = 20000.0
DECODE_TOKENS = 300.0
# Even an idle engine takes this long to read a long prompt.
PREFILL_ALLOWANCE_S = 0.9


@dataclass(slots=True)
class Work:
    """What one request costs its backend server, in prompt tokens.

    Parameters
    ----------
    prefill : float
        Tokens that are still to be read, weighted by the size of the model.
    decode : float
        What the generation costs the server's other requests.
    sent_at : float
        Monotonic time of the sending, in seconds.
    """

    prefill: float = 0.0
    decode: float = 0.0
    sent_at: float = float("inf")

    @property
    def total(self):
        """What the request still costs."""
        return self.prefill + self.decode

    def measure_silence(self, now):
        """Return the seconds since the sending, or 0 if the head has come."""
        return max(0.0, now - self.sent_at) if self.prefill > 0.0 else 0.0


def estimate_work(prompt_tokens, weight, sent_at=float("inf")):
    """Return the Work of a request for a model.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    weight : float
        Work for each token, relative to the largest model.
    sent_at : float
        Monotonic time of the sending, in seconds.
    """
    return Work(prompt_tokens * weight, DECODE_TOKENS * weight, sent_at)


@dataclass(slots=True)
class ServerUsage:
    """What this instance knows of one backend server's use.

    Parameters
    ----------
    server : RegisteredServer
        Its entry.
    in_flight : int
        This instance's own requests there.
    work : list of Work
        What they cost, if the server is an engine.
    """

    server: RegisteredServer
    in_flight: int = 0
    work: list[Work] = field(default_factory=list)
    failures: int = 0
    paused_until: float = float("-inf")
    other_requests: int = 0
    reported_at: float = float("-inf")
    answered_at: float = float("-inf")
    address_reused: bool = False
    runs_models: bool = False

    def estimate_load(self, now, shared, mean_work):
        """Return the load of the server, one if it is well used.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        shared : SharedLoad
            What the other instances tell of their requests there.
        mean_work : float
            What a request of another instance costs an engine, in tokens.
        """
        # The server's own report also counts what no instance has told.
        is_recent = now - self.reported_at <= REPORT_LIFETIME_S
        others = max(shared.in_flight, self.other_requests if is_recent else 0)
        if not self.runs_models and not shared.tokens:
            return (self.in_flight + others) / self.server.slots
        own = sum(work.total for work in self.work)
        unreported = others - shared.in_flight
        load = (own + shared.tokens + unreported * mean_work) / ENGINE_CAPACITY_TOKENS
        # An engine that is stuck tells nothing of its queue; those who wait do.
        silence = max(self.measure_silence(now), shared.silence)
        return max(load, silence - PREFILL_ALLOWANCE_S)

    def measure_silence(self, now):
        """Return the seconds for which the oldest unanswered request has waited."""
        return max((work.measure_silence(now) for work in self.work), default=0.0)
