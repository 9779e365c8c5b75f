"""Enumerations of states, reasons and outcomes, and the `Refusal` type."""

from dataclasses import dataclass
from enum import Enum


class VersionState(Enum):
    """Roll-out state of a version."""

    CANDIDATE = "candidate"
    RELEASED = "released"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class Interface(Enum):
    """Kind of backend interface that serves a class of work."""

    CHAT = "chat"
    SERVICE = "service"


class RunState(Enum):
    """Whether a refused request may have run on a backend server."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RetryReason(Enum):
    """Why an attempt is retried."""

    CONNECT_FAILED = "connect_failed"
    SERVER_REFUSED = "server_refused"
    SERVER_LEAVING = "server_leaving"
    CONNECTION_LOST = "connection_lost"
    SERVER_ERROR = "server_error"
    INCOMPLETE_ANSWER = "incomplete_answer"
    ATTEMPT_TIMEOUT = "attempt_timeout"
    SUSPECTED = "suspected"
    VERSION_MISSING = "version_missing"
    OWN_LIMIT = "own_limit"


class HaltCause(Enum):
    """The test that halted a version."""

    RATINGS = "ratings"
    ERRORS = "errors"
    LATENESS = "lateness"


class UnratedReason(Enum):
    """Why an answer that was due a rating received none."""

    QUEUE_FULL = "queue_full"
    RATE_LIMIT = "rate_limit"
    SERVICE_FAILED = "service_failed"
    NOT_DECLARED = "not_declared"


class EscalationReason(Enum):
    """Why a cascade continued with its next step."""

    BELOW_TARGET = "below_target"
    UNRATED = "unrated"
    STEP_FAILED = "step_failed"
    NO_TIME = "no_time"


class RefusalReason(Enum):
    """Why a request is refused."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    CLASS_UNKNOWN = "class_unknown"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    NO_ALLOWED_VERSION = "no_allowed_version"
    VERSION_WITHDRAWN = "version_withdrawn"
    EXPOSURE_SPENT = "exposure_spent"
    QUALITY_UNREACHABLE = "quality_unreachable"
    SESSION_INVALID = "session_invalid"
    SESSION_UNCONFIRMED = "session_unconfirmed"
    QUARANTINED = "quarantined"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_RUNNING = "claim_running"
    CLAIM_UNRESOLVED = "claim_unresolved"
    ANSWER_NOT_KEPT = "answer_not_kept"
    QUEUE_FULL = "queue_full"
    ACCOUNT_OVER_SHARE = "account_over_share"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND_SERVER = "no_backend_server"
    NO_ALLOWED_REGION = "no_allowed_region"
    NO_ALLOWED_SERVER = "no_allowed_server"
    ALLOWED_REGIONS_UNREACHABLE = "allowed_regions_unreachable"
    EVACUATED = "evacuated"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    BACKEND_FAILED = "backend_failed"
    INTERNAL_ERROR = "internal_error"
    BILLS_UNWRITTEN = "bills_unwritten"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    MANIFEST_MISSING = "manifest_missing"
    MANIFEST_STALE = "manifest_stale"
    REQUEST_TOO_LARGE = "request_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    MODEL_NOT_NAMED = "model_not_named"
    RECEIVE_TIMEOUT = "receive_timeout"
    MEMORY_FULL = "memory_full"
    DESCRIPTORS_FULL = "descriptors_full"


HTTP_STATUS = {
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.CLASS_UNKNOWN: 404,
    RefusalReason.CLASS_NOT_ALLOWED: 403,
    RefusalReason.NO_ALLOWED_VERSION: 503,
    RefusalReason.VERSION_WITHDRAWN: 410,
    RefusalReason.SESSION_INVALID: 400,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.IDEMPOTENCY_KEY_MISSING: 400,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: 422,
    RefusalReason.CLAIM_RUNNING: 409,
    RefusalReason.CLAIM_UNRESOLVED: 409,
    RefusalReason.ANSWER_NOT_KEPT: 409,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.ACCOUNT_OVER_SHARE: 429,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.BACKEND_FAILED: 502,
    RefusalReason.INTERNAL_ERROR: 500,
    RefusalReason.RECEIVE_TIMEOUT: 408,
}
DEFAULT_HTTP_STATUS = 503


@dataclass(frozen=True, slots=True)
class Refusal:
    """Error response for a request that the router does not complete.

    Parameters
    ----------
    reason : RefusalReason
        Machine-readable cause.
    message : str
        One-sentence explanation for the caller.
    run_state : RunState
        `NOT_RUN` only if no byte of the request was sent to a backend server.
    retry_after : float or None
        Seconds after which to resend; None if a resend can't succeed.
    """

    reason: RefusalReason
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None

    @property
    def http_status(self):
        """HTTP status code of the response for this refusal."""
        return HTTP_STATUS.get(self.reason, DEFAULT_HTTP_STATUS)
