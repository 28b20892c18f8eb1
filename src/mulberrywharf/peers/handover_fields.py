"""Header fields of the exchanges in which requests are handed over.

All begin with ``PREFIX``. Fields of callers and servers never do: those of
callers are in the body, and those of servers are dropped.
"""

import re
from typing import Literal

PREFIX = "x-mulberry-handover-"

PATH = "/handovers"

PATH_AT_VERSION = "/handovers/at-version"
"""For a stream that must go on at a software version. A gateway of an earlier
build would let it go on at any; it refuses this path."""

TOKEN = PREFIX + "token"
"""Token of the receiving gateway's registration, see
``directory.TOKEN_BYTES``."""

SENDER = PREFIX + "sender"
"""``vm_id`` of the gateway that hands over."""

NUMBER = PREFIX + "number"
"""Number of the handover, repeated in the answer."""

REQUEST_ID = PREFIX + "request-id"
SERVICE = PREFIX + "service"

SERVER_ID = PREFIX + "server-id"
SERVER_STARTED_MS = PREFIX + "server-started-ms"
"""The server that answered, and its start if it is known."""

PROTOCOL = PREFIX + "protocol"
"""Version of these exchanges that a gateway speaks. One that names none speaks
version 1, without ``END``."""

PROTOCOL_VERSION = 2
PROTOCOL_WITH_ENDS = 2

END = PREFIX + "end"
"""``UNMARKED`` if the server's answer does not mark its end. The relayed answer
does, so that an answer that the helper breaks off is told from it."""

UNMARKED = "unmarked"

CONTENT_LENGTH = PREFIX + "content-length"
"""``Content-Length`` of the answer. Without a body, it is not that of the
relayed answer."""

HELPER = PREFIX + "helper"
"""``vm_id`` of the gateway that answers."""

RESULT = PREFIX + "result"
LOAD = PREFIX + "load"
"""Handed over requests that the answering gateway is serving."""

VERSION_KEY = PREFIX + "version-key"
"""Software version of the server that began the stream, as 16 hexadecimal
digits; missing if it is unknown."""

CODE = PREFIX + "code"
OUTCOME = PREFIX + "outcome"
RETRY_AFTER_S = PREFIX + "retry-after-s"

Result = Literal[
    "answer", "error", "no-path", "busy", "malformed", "unauthenticated"
]
"""What became of a handed over request.

- ``answer``: The answer of a server follows.
- ``error``: The request failed; ``CODE``, ``OUTCOME`` and ``RETRY_AFTER_S``
  have the error.
- The others: The gateway did not take it.
"""

ANSWER: Result = "answer"
ERROR: Result = "error"
NO_PATH: Result = "no-path"
BUSY: Result = "busy"
MALFORMED: Result = "malformed"
UNAUTHENTICATED: Result = "unauthenticated"

_PROTOCOL = re.compile(r"[0-9]{1,3}")


def protocol_of(text: str | None) -> int:
    """Returns the protocol that a ``PROTOCOL`` field names, 1 by default."""
    return int(text) if text and _PROTOCOL.fullmatch(text) else 1
