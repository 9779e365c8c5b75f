"""Header names, store keys and status codes that the platform defines."""

from ..outcomes import RefusalReason

SETTINGS_VARIABLE = "TANAGERWALK_CONFIG"

# HTTP header names, in lower case.
ATTEMPT_ID = b"x-tanagerwalk-attempt-id"
DEADLINE_MS = b"x-tanagerwalk-deadline-ms"
API_KEY = b"x-tanagerwalk-key"
ACCOUNT = b"x-tanagerwalk-tenant"
EXPECTED_SERVER = b"x-tanagerwalk-expect-instance"
EXPECTED_VERSION = b"x-tanagerwalk-expect-version"
# Sent by a backend server, also when it rejects a request meant for another server.
SERVER_ID = b"x-tanagerwalk-instance-id"
NOT_RUN = b"x-tanagerwalk-not-executed"
SIGNATURE = b"x-tanagerwalk-response-seal"
ENGINE_LOAD = b"x-tanagerwalk-engine-load"
MODEL = b"x-tanagerwalk-model"
TOKEN_COUNT = b"x-tanagerwalk-token-count"
PROMPT_PREFIX = b"x-tanagerwalk-prompt-prefix"
LENGTH_HINT = b"x-tanagerwalk-length-hint"
CONFIDENCE = b"x-tanagerwalk-confidence"
PRIORITY = b"x-tanagerwalk-request-priority"
HOLD = b"x-tanagerwalk-hold"
PIN_MS = b"x-tanagerwalk-pin-ms"
KV_CACHE_BACKUP = b"x-tanagerwalk-kv-backup"
KV_CACHE_SOURCE = b"kv-from"
KV_CACHE_FETCH = b"kv-fetch"
# In all answers of the store; rises each time that it is restored from an older copy.
STORE_ERA = b"store-era"
# In all answers of a backend server that leaves.
SERVER_LEAVING = b"server-leaving"
# In all answers of a backend server in need: requests a second that it takes.
SERVER_LIMIT = b"server-limit"
# In all answers of a brittle backend server: rejections a second that it bears.
SERVER_BRITTLE = b"server-brittle"
# With status 503: seconds for which the backend server wants no requests.
RETRY_AFTER = b"retry-after"
LAST_EVENT_ID = b"last-event-id"
SESSION = b"session"

# Value of the model header with which the client leaves the choice to the gateway.
ANY_MODEL = "*"

# Headers that only the gateway may set; those sent by clients are dropped.
RESERVED_HEADERS = frozenset(
    {
        API_KEY,
        ACCOUNT,
        EXPECTED_SERVER,
        EXPECTED_VERSION,
        HOLD,
        PIN_MS,
        KV_CACHE_BACKUP,
        KV_CACHE_SOURCE,
        KV_CACHE_FETCH,
        PRIORITY,
        DEADLINE_MS,
        NOT_RUN,
    }
)

READY_PATH = b"/api/ready"
MANIFEST_KEY = "op/config"
OPERATOR_PREFIX = "op/"
ROLLOUT_ORDER_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
SERVER_PREFIX = "servers/"

STATE_RUNNING = "running"
STATE_COMPLETE = "complete"
STATE_ROLLED_BACK = "rolled_back"

# Status codes that guarantee that the request has not run and will not run.
NOT_RUN_STATUS = 503
OVERLOAD_STATUS = 429
STATUS_BY_REASON = {
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.CLASS_UNKNOWN: 404,
    RefusalReason.REQUEST_TOO_LARGE: 413,
    RefusalReason.HEADER_TOO_LARGE: 431,
    RefusalReason.MODEL_NOT_NAMED: 421,
    RefusalReason.RECEIVE_TIMEOUT: 408,
    RefusalReason.QUEUE_FULL: OVERLOAD_STATUS,
}
# Status codes of requests that may have run.
UNKNOWN_RUN_STATUS = 502
TIMEOUT_STATUS = 504
