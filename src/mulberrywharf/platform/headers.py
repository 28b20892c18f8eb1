"""Header fields of the platform, in lower case."""

_PREFIX = "x-mulberrywharf-"

REQUEST_ID = _PREFIX + "request-id"
DEADLINE_MS = _PREFIX + "deadline-ms"
"""Time left for an answer, not an instant."""

MODEL = _PREFIX + "model"
TOKENS = _PREFIX + "token-usage"
"""Prompt tokens and the bound of output tokens, with a comma between."""

PROMPT_PARTS = _PREFIX + "prompt-prefix"
"""All parts of the prompt, not only a prefix: ``ID:TOKENS`` with commas."""

LENGTH_HINT = _PREFIX + "length-hint"
RECEIPT = _PREFIX + "response-signature"
NOT_EXECUTED = _PREFIX + "not-executed"
SERVER_LOAD = _PREFIX + "instance-load"
"""Running, waiting and slots of the server that answers."""

DUTY_HOLDER = _PREFIX + "duty-holder"
FENCING_NUMBER = _PREFIX + "fencing-token"

RETRY_AFTER = "retry-after"
LEAVING = "server-leaving"
"""``1`` in all answers of a server that leaves; it bears no prefix."""

SERVER_ID = _PREFIX + "instance-id"
EXPECTED_SERVER = _PREFIX + "expected-instance"
PRIORITY = _PREFIX + "request-priority"
ROLE = _PREFIX + "stage"
KV_SOURCE = _PREFIX + "kv-source"
"""Engine address and handle of a prefilled KV cache."""

KV_FETCH = "kv-fetch"
"""Address of an engine to copy cached parts from; it bears no prefix."""

CREDENTIALS = "authorization"
CUSTOMER_KEY = _PREFIX + "credential"
CUSTOMER = _PREFIX + "tenant-id"
"""Name of the customer, sent to servers instead of the key."""

LAST_EVENT_ID = "last-event-id"

SET_BY_US = frozenset(
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
"""Never forwarded from a caller: they control the placement of memory and work,
or identify the customer."""
