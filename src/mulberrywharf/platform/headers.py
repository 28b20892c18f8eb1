"""Names of the platform's header fields, in lower case."""

_PREFIX = "x-mulberrywharf-"

REQUEST_ID = _PREFIX + "request-id"
DEADLINE_MS = _PREFIX + "deadline-ms"
"""Time left until the deadline, as a duration and not a point in time."""

MODEL = _PREFIX + "model"
TOKEN_COUNTS = _PREFIX + "token-usage"
"""Number of prompt tokens and maximum number of output tokens, separated by a
comma."""

PROMPT_PARTS = _PREFIX + "prompt-prefix"
"""All parts of the prompt, not only a prefix: ``ID:TOKENS``, separated by
commas."""

LENGTH_HINT = _PREFIX + "length-hint"
RESPONSE_SIGNATURE = _PREFIX + "response-signature"
NOT_EXECUTED = _PREFIX + "not-executed"
SERVER_LOAD = _PREFIX + "instance-load"
"""Running requests, waiting requests and slots of the responding server,
separated by commas. Some servers add how long work takes there now, where 100
is usual. Further figures may follow."""

DUTY_HOLDER = _PREFIX + "duty-holder"
FENCING_NUMBER = _PREFIX + "fencing-token"

RETRY_AFTER = "retry-after"
SERVER_LEAVING = "server-leaving"
"""``1`` in every response of a leaving server. The name has no prefix."""

SERVER_LIMIT = "server-limit"
"""Requests per second that the responding server accepts from all nodes
together. The name has no prefix."""

SERVER_ID = _PREFIX + "instance-id"
EXPECTED_SERVER = _PREFIX + "expected-instance"
PRIORITY = _PREFIX + "request-priority"
ROLE = _PREFIX + "stage"
KV_SOURCE = _PREFIX + "kv-source"
"""Address of an engine and the handle of a prefilled KV cache there."""

KV_FETCH = "kv-fetch"
"""Address of an engine to copy cached parts from. The name has no prefix."""

AUTHORIZATION = "authorization"
CUSTOMER_KEY = _PREFIX + "credential"
CUSTOMER = _PREFIX + "tenant-id"
"""Name of the customer, which servers receive instead of its key."""

LAST_EVENT_ID = "last-event-id"

RESUMES = "resumes"
"""Id of the request that brought the first event of the stream that a caller
takes up. The name has no prefix."""

NOT_FORWARDED = frozenset(
    {
        DEADLINE_MS,
        EXPECTED_SERVER,
        PRIORITY,
        ROLE,
        KV_SOURCE,
        KV_FETCH,
        LAST_EVENT_ID,
        CUSTOMER_KEY,
        CUSTOMER,
        _PREFIX + "kv-fetch",
        _PREFIX + "expected-version",
        _PREFIX + "pin-ms",
        _PREFIX + "kv-hold",
        _PREFIX + "kv-backup",
    }
)
"""Fields that are never forwarded from a caller, because they control the
placement of memory and work or identify the customer. Nodes set the values that
servers need."""
