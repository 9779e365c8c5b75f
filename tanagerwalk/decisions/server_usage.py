"""Usage of one backend server as known to this instance, and costs of requests."""

from dataclasses import dataclass, field
from statistics import fmean

from ..ids import Revision
from ..registry import RegisteredServer, ServerState
from .contention import Places
from .server_notices import find_resume_limit

REPORT_LIFETIME_S = 1.5
# A queue that takes longer to build up is seen in a newer report.
QUEUE_REPORT_LIFETIME_S = 2.5
# Prompt tokens of the largest model that correspond to a load of 1.
ENGINE_CAPACITY_TOKENS = 20000.0
DECODE_TOKENS = 300.0
# Time for which a request occupies a slot of an engine.
MEAN_SLOT_TIME_S = 1.5
# A sound server that has requests sends something within this time.
MAX_SILENCE_S = 1.0
# Time that even an idle engine needs to process a long prompt.
PREFILL_ALLOWANCE_S = 0.9
# Load that an error response of an engine adds for each instance that has got one, the
# most instances that count, and for how long. An engine that fails at once would seem
# to be idle, and attract requests.
ERROR_LOAD = 0.1
MAX_COUNTED_ERRORS = 20
ERROR_LIFETIME_S = 5.0
# Errors in a row that pause a server; a single one may be the request's fault.
PAUSING_ERRORS = 2


@dataclass(slots=True)
class Work:
    """Cost of one request for its backend server, in prompt tokens.

    Parameters
    ----------
    prefill : float
        Prompt tokens still to be processed, weighted by the size of the model.
    decode : float
        Cost of token generation for the other requests of the server.
    sent_at : float
        Monotonic time at which the request was sent, in seconds.
    """

    prefill: float = 0.0
    decode: float = 0.0
    sent_at: float = float("inf")

    @property
    def total(self):
        """Remaining cost of the request."""
        return self.prefill + self.decode

    def measure_silence(self, now):
        """Return the seconds since the request was sent, or 0 after its head."""
        return max(0.0, now - self.sent_at) if self.prefill > 0.0 else 0.0


def estimate_work(prompt_tokens, weight, sent_at=float("inf")):
    """Return the Work of a request for a model.

    Parameters
    ----------
    prompt_tokens : int
        Number of prompt tokens.
    weight : float
        Work per token, relative to the largest model.
    sent_at : float
        Monotonic time at which the request was sent, in seconds.
    """
    return Work(prompt_tokens * weight, DECODE_TOKENS * weight, sent_at)


@dataclass(slots=True)
class ServerUsage:
    """What this instance knows about the usage of one backend server.

    Parameters
    ----------
    server : RegisteredServer
        Registry entry of the server.
    in_flight : int
        Number of requests of this instance on the server.
    work : list of Work
        Costs of these requests, if the server is an engine.
    errors : int
        Error responses to this instance since the last successful one.
    last_error_at : float
        Monotonic time of the last error response.
    failure_paused_until, error_paused_until : float
        Monotonic times until which failures and error responses pause the server.
    other_requests : int
        Requests of other instances, according to the server's last report.
    reported_queue : int
        Requests that were waiting, according to the same report.
    reported_at, last_activity_at : float
        Monotonic times of the server's last report and of the last data from it.
    reused_at : Revision or None
        Revision of the entry at whose address another server has answered. A later one
        shows that the server is there.
    runs_models : bool
        Whether the server is known to be an engine.
    is_leaving : bool
        Whether the server has said that it leaves.
    held_until : float
        Monotonic time until which the server wants no requests from this instance.
    is_evacuated : bool
        Whether the operators evacuate the failure domain of the server.
    """

    server: RegisteredServer
    in_flight: int = 0
    work: list[Work] = field(default_factory=list)
    failures: int = 0
    errors: int = 0
    last_error_at: float = float("-inf")
    failure_paused_until: float = float("-inf")
    error_paused_until: float = float("-inf")
    other_requests: int = 0
    reported_queue: int = 0
    reported_at: float = float("-inf")
    last_activity_at: float = float("-inf")
    reused_at: Revision | None = None
    runs_models: bool = False
    is_leaving: bool = False
    held_until: float = float("-inf")
    is_evacuated: bool = False

    @property
    def paused_until(self):
        """Monotonic time until which the server is used only if all are paused."""
        return max(self.failure_paused_until, self.error_paused_until)

    @property
    def accepts_requests(self):
        """Whether the server is in service and its failure domain not evacuated."""
        return self.is_in_service and not self.is_evacuated

    @property
    def is_in_service(self):
        """Whether the server is ready, at its address and not about to leave."""
        is_ready = self.server.state is ServerState.READY and not self.is_leaving
        return is_ready and not self.is_address_reused

    @property
    def is_address_reused(self):
        """Whether another server has answered since the server wrote its entry."""
        return self.reused_at is not None and self.server.revision <= self.reused_at

    def is_silent(self, now, slowdown=1.0):
        """Return whether the server has requests, but has sent nothing for a while.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        slowdown : float
            How long work takes on the server, relative to what is usual.
        """
        limit = MAX_SILENCE_S * max(1.0, slowdown)
        return self.in_flight > 0 and now - self.last_activity_at > limit

    def has_room(self, now):
        """Return whether the server takes one more request after a hold, if any."""
        return self.in_flight + 1 <= find_resume_limit(now - self.held_until)

    def count_others(self, now, reported):
        """Return the requests of other instances on the server, as last reported.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        reported : int
            Requests that the other instances have reported to be on the server.
        """
        # The server's own report includes requests that no instance has reported yet.
        is_recent = now - self.reported_at <= REPORT_LIFETIME_S
        return max(reported, self.other_requests if is_recent else 0)

    def estimate_load(self, now, shared, mean_work, slowdown=1.0, unseen=0.0):
        """Return the load of the server; 1 means fully used.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        shared : SharedLoad
            Load reported by the other instances for the server.
        mean_work : float
            Mean cost of a request for an engine, in tokens; applied to the
            requests whose cost was not reported.
        slowdown : float
            How long work takes on the server, relative to what is usual.
        unseen : float
            Requests of other instances that were not reported, less those that were
            and have ended.
        """
        others = max(0.0, self.count_others(now, shared.in_flight) + unseen)
        if not self.runs_models and not shared.tokens:
            return (self.in_flight + others) / self.server.slots * slowdown
        own = self.sum_tokens()
        # Requests beyond those whose cost was reported; negative if some have ended.
        difference = others - shared.in_flight
        other_tokens = max(0.0, shared.tokens + difference * mean_work)
        load = (own + other_tokens) / ENGINE_CAPACITY_TOKENS
        load += self._estimate_slot_wait(self.in_flight + others)
        # A stuck engine does not report its queue, but the waiting requests show it.
        silence = max(self.measure_silence(now), shared.silence)
        allowance = PREFILL_ALLOWANCE_S * max(1.0, slowdown)
        return max(load * slowdown, silence - allowance)

    def estimate_answering_load(self, now, shared, mean_decode):
        """Return the part of the load that keeps no other request waiting.

        An engine generates tokens for all requests in its slots at the same time, so
        these make no other request wait and are no reason to send requests elsewhere.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        shared : SharedLoad
            Load reported by the other instances for the server.
        mean_decode : float
            Mean cost of token generation for a request, in tokens; used if this
            instance has no request at the server.
        """
        if not self.runs_models and not shared.tokens:
            return 0.0
        if self.work:
            mean_decode = fmean(work.decode for work in self.work)
        others = self.count_others(now, shared.in_flight)
        running = min(self.in_flight + others, self.server.slots)
        return running * mean_decode / ENGINE_CAPACITY_TOKENS

    def sum_tokens(self):
        """Return the tokens of the requests of this instance at an engine."""
        return sum(work.total for work in self.work)

    def has_recent_error(self, now):
        """Return whether an engine's last error response still counts."""
        return self.runs_models and now - self.last_error_at <= ERROR_LIFETIME_S

    def estimate_error_load(self, now, other_errors):
        """Return the load to add for recent error responses in a choice of servers.

        It is no wait: the server may be idle.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        other_errors : int
            Other instances that have got an error response of late.
        """
        errors = other_errors + self.has_recent_error(now)
        return ERROR_LOAD * min(errors, MAX_COUNTED_ERRORS)

    def estimate_extra_load(self, work, slowdown):
        """Return how much more load one request adds than at the usual speed.

        Negative on a server that is faster than usual.

        Parameters
        ----------
        work : float
            Cost of the request for an engine, in tokens.
        slowdown : float
            How long work takes on the server, relative to what is usual.
        """
        if not self.runs_models:
            return (slowdown - 1.0) / self.server.slots
        return (slowdown - 1.0) * work / ENGINE_CAPACITY_TOKENS

    def count_places(self, now, other_requests):
        """Return the Places at the server.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        other_requests : int
            Requests that the other instances have reported to be on the server.
        """
        is_recent = now - self.reported_at <= REPORT_LIFETIME_S
        others = self.count_others(now, other_requests)
        slots = self.server.slots
        taken = self.in_flight + others
        waiting = max(taken - slots, self.reported_queue if is_recent else 0)
        return Places(1, slots, taken, max(0, waiting), min(slots, taken))

    def may_have_queue(self, now, shared):
        """Return whether requests may be waiting at the server.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        shared : SharedLoad
            Load reported by the other instances for the server.
        """
        is_recent = now - self.reported_at <= QUEUE_REPORT_LIFETIME_S
        if not is_recent or self.reported_queue > 0:
            return True
        others = max(shared.in_flight, self.other_requests)
        return self.in_flight + others >= self.server.slots

    def _estimate_slot_wait(self, requests):
        """Return the seconds until the next request gets a slot.

        Requests for a small model cost an engine little, but occupy its slots.
        """
        queued = max(0, requests + 1 - self.server.slots)
        return queued / self.server.slots * MEAN_SLOT_TIME_S

    def measure_silence(self, now):
        """Return the waiting time of the oldest unanswered request, in seconds."""
        return max((work.measure_silence(now) for work in self.work), default=0.0)
