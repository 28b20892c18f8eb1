"""HTTP calls to one endpoint of the platform, with typed failures.

What a writer may assume after a failure depends on when it happened: before
a connection stood, nothing can have been written; afterwards nobody knows.
This module tells the two apart, the modules beside it decide what follows.
"""

import json
import random
import socket
from collections.abc import Mapping
from typing import Any, NamedTuple

import geventhttpclient
from gevent import lock
from geventhttpclient import connectionpool, response
from result import Err, Ok, Result

from mulberrywharf import _headers, errors, settings

CONCURRENT_CALLS_COUNT = 32
"""Calls to one endpoint that may wait for their answers at once."""

_JSON_HEADERS = {"content-type": "application/json"}
_BLOCK_BYTES = 65_536
_KEEP_ALIVE_IDLE_S = 1
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES_COUNT = 2
"""A connection that went silent for good is noticed after 3 s. A change that
it would have brought is in force late by that time, which the operators'
bound of seconds allows; two probes of 54 bytes a second are 5 % of the bytes
that a node may spend on control."""


class Answer(NamedTuple):
    """A whole HTTP answer.

    Attributes:
        status: HTTP status.
        body: Parsed JSON object, empty if the body is none.
        retry_after_s: What the service asked for, or None.
        era: What it tells of its era, None if nothing.
    """

    status: int
    body: dict[str, Any]
    retry_after_s: float | None
    era: str | None = None


class ConnectError(OSError):
    """No connection stood, so no byte of the call left this process."""


class _Pool(connectionpool.ConnectionPool):
    """Connections whose failure to open is told apart from later ones.

    A timeout while connecting and one while waiting for the answer are the
    same exception in the library. Taken for the same, every write in a
    partition would end as "outcome unknown" although nothing had left.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        # The library doesn't give a place back when a greenlet is killed
        # while it sends: with its own limit, so many kills later every call
        # would wait for ever. ``HttpCalls`` limits the calls instead.
        self._semaphore = lock.DummySemaphore()

    def _create_socket(self) -> Any:
        try:
            return super()._create_socket()
        except OSError as error:
            raise ConnectError(str(error)) from error

    def drop_idle(self) -> None:
        """Closes the connections that wait for a call."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def after_connect(self, sock: Any) -> None:
        """Sends small calls at once and notices a peer that vanished."""
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES_COUNT)


class _Client(geventhttpclient.HTTPClient):
    """The library's client over the pool above."""

    def __init__(
        self,
        endpoint: settings.Endpoint,
        *,
        connect_timeout_s: float,
        read_timeout_s: float,
    ):
        super().__init__(endpoint["ip"], endpoint["port"])
        self.block_size = _BLOCK_BYTES
        self._pool = _Pool(
            endpoint["ip"],
            endpoint["port"],
            endpoint["ip"],
            endpoint["port"],
            size=CONCURRENT_CALLS_COUNT,
            connection_timeout=connect_timeout_s,
            network_timeout=read_timeout_s,
        )
        self._connection_pool = self._pool
        # The library sends an idempotent call again on a fresh connection as
        # often as the pool is large, and once more: a service that closes
        # each connection at once gets 33 calls for one, each of them paid
        # for. One more is enough for an idle connection that it had closed.
        self._pool.size = 0

    def drop_idle(self) -> None:
        """Closes the connections that wait for a call."""
        self._pool.drop_idle()


class HttpCalls:
    """Pooled calls to one endpoint, and streams from it."""

    def __init__(
        self,
        endpoint: settings.Endpoint,
        timeout_s: float,
        *,
        answer_timeout_s: float | None = None,
        era_header: str | None = None,
    ):
        """Makes the pool; connections open with the first call.

        Args:
            endpoint: Where to call.
            timeout_s: For a new connection, and for an answer.
            answer_timeout_s: For an answer, if it may take longer.
            era_header: Field of the head that tells the service's era.
        """
        self._era_header = era_header
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._slots = lock.BoundedSemaphore(CONCURRENT_CALLS_COUNT)
        self._is_closed = False
        self.is_receiving = False
        """Whether the head of the latest answer has come, and its end not."""
        self._client = _Client(
            endpoint,
            connect_timeout_s=timeout_s,
            read_timeout_s=answer_timeout_s or timeout_s,
        )

    @property
    def name(self) -> str:
        """The endpoint as ``ip:port``."""
        return f"{self._endpoint['ip']}:{self._endpoint['port']}"

    def for_long_answers(self, answer_timeout_s: float) -> "HttpCalls":
        """Returns calls to the same endpoint that wait longer for answers."""
        return HttpCalls(
            self._endpoint,
            self._timeout_s,
            answer_timeout_s=answer_timeout_s,
            era_header=self._era_header,
        )

    def close(self) -> None:
        """Closes the pooled connections; later calls are not sent."""
        self._is_closed = True
        self._client.close()

    def call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        *,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Answer, errors.PlatformError]:
        """Sends one call and reads its whole answer, without a retry.

        Returns:
            The answer, ``PlatformUnavailableError`` if nothing left this
            process, or ``WriteOutcomeUnknownError`` if the call left and its
            answer did not come; for a read the latter means the same as the
            former.
        """
        if not self._slots.acquire(timeout=self._timeout_s):
            return Err(self._unavailable("all connections are waiting"))
        if self._is_closed:
            self._slots.release()
            return Err(self._unavailable("this client is closed"))
        try:
            return Ok(self._exchange(method, path, body, headers or {}))
        except ConnectError as error:
            self._client.drop_idle()
            return Err(self._unavailable(str(error)))
        except (OSError, response.HTTPParseError, ValueError) as error:
            # What took this call's answer may have silenced every connection
            # of before for good, while new ones work. Tried one by one behind
            # the return of the service, each costs a whole timeout: with
            # eight of them and 0.5 s a call, a server that had left went out
            # of use 5.5 to 6.1 s behind the return; without them 0.6 s.
            self._client.drop_idle()
            message = f"{self.name}: the answer to {path} was lost: {error}"
            return Err(errors.WriteOutcomeUnknownError(message))
        finally:
            self._slots.release()

    def _exchange(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        headers: Mapping[str, str],
    ) -> Answer:
        data = b"" if body is None else json.dumps(body).encode()
        answer = self._client.request(
            method, path, data, {**_JSON_HEADERS, **headers}
        )
        self.is_receiving = True
        try:
            text = answer.read()
        finally:
            self.is_receiving = False
        if not answer.message_complete:
            raise ConnectionResetError("the answer was cut short")
        return Answer(
            answer.status_code,
            _parse_object(text),
            _headers.retry_after_s(_field(answer, "retry-after")),
            _field(answer, self._era_header),
        )

    def _unavailable(self, reason: str) -> errors.PlatformUnavailableError:
        return errors.PlatformUnavailableError(f"{self.name}: {reason}")

    def open_stream(
        self, path: str, body: Mapping[str, Any], *, silence_s: float
    ) -> "LineStream":
        """Opens an answer that is read line by line.

        Args:
            path: What to post to.
            body: The request.
            silence_s: A read fails after this long without a byte.

        Raises:
            OSError: No connection, or it broke.
            HTTPParseError: The answer is not HTTP.
        """
        client = _Client(
            self._endpoint,
            connect_timeout_s=self._timeout_s,
            read_timeout_s=silence_s,
        )
        data = json.dumps(body).encode()
        try:
            answer = client.request("POST", path, data, _JSON_HEADERS)
        except BaseException:
            client.close()
            raise
        return LineStream(client, answer)


class LineStream:
    """JSON objects, one a line, from an answer that does not end."""

    def __init__(self, client: Any, answer: Any):
        self._client = client
        self._answer = answer

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return int(self._answer.status_code)

    def read(self) -> dict[str, Any] | None:
        """Returns the next object, or None when the stream has ended."""
        line = self._answer.readline(b"\n")
        return _parse_object(line) if line else None

    def close(self) -> None:
        """Closes the connection, whose answer never ends by itself."""
        self._answer.release()
        self._client.close()


def _parse_object(text: bytes) -> dict[str, Any]:
    if not text.strip():
        return {}
    parsed = json.loads(text)
    if not isinstance(parsed, dict):
        raise ValueError("the answer is not a JSON object")
    return parsed


def _field(answer: Any, name: str | None) -> str | None:
    value = answer.get(name) if name else None
    return value if isinstance(value, str) else None


def full_jitter_s(attempt: int, *, base_s: float, limit_s: float) -> float:
    """Returns a random wait below an exponentially growing bound.

    After an outage every node would otherwise come back in the same
    instant and overload the service again; a wait that is random over the
    whole interval spreads them.

    Args:
        attempt: 0 for the first wait.
        base_s: Bound of the first wait.
        limit_s: Bound of every wait.
    """
    bound_s = min(limit_s, base_s * 2 ** min(attempt, 16))
    return random.uniform(0.0, bound_s)
