"""HTTP calls to one endpoint of the platform, with typed errors.

If a call fails before its connection is established, the service cannot have
executed it. If it fails later, the outcome is unknown. This module reports the
two cases as different errors; its callers decide whether to retry.
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

from mulberrywharf import _answer_bounds, _headers, errors, settings
from mulberrywharf.platform_service import json_text

CONCURRENT_CALLS_COUNT = 32
"""Maximum number of concurrent calls to one endpoint."""

_JSON_HEADERS = {"content-type": "application/json"}
_READ_BLOCK_BYTES = 65_536
_ANSWER_BOUNDS = _answer_bounds.Bounds(answer_bytes=16_000_000, answer_s=30.0)
"""Bounds of a response, and of each line of a stream. The largest one is a page
of about 1 MB, which takes some seconds on a slow link."""

_KEEP_ALIVE_IDLE_S = 1
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES_COUNT = 2
"""TCP keep-alive detects a dead connection after 3 s. A change sent on that
connection takes effect up to 3 s late, which is within the few seconds that
operators allow. Two 54-byte probes per second use 5 % of the bytes that a node
may spend on control traffic."""


class Answer(NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        body: Parsed JSON object; empty if the response has no body.
        retry_after_s: Delay in seconds from ``Retry-After``, or None.
        era: Value of the era header, or None if it is absent.
    """

    status: int
    body: dict[str, Any]
    retry_after_s: float | None
    era: str | None = None


class ConnectError(OSError):
    """The connection was not established, so no byte of the call was sent."""


class _Pool(connectionpool.ConnectionPool):
    """Connection pool that raises ``ConnectError`` if connecting fails.

    The library raises the same exception for a timeout while connecting and
    for one while waiting for the response. Without the distinction, every
    write during a network partition would be reported as "outcome unknown"
    although nothing was sent.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        # The library does not release its semaphore when a greenlet is killed
        # while sending. After as many kills as the limit, every call would
        # block forever. ``HttpCalls`` limits concurrent calls instead.
        self._semaphore = lock.DummySemaphore()

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> Any:
        return _answer_bounds.BoundedSocket(
            family, socktype, protocol, bounds=_ANSWER_BOUNDS
        )

    def _create_socket(self) -> Any:
        try:
            return super()._create_socket()
        except OSError as error:
            raise ConnectError(str(error)) from error

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def after_connect(self, sock: Any) -> None:
        """Disables Nagle's algorithm and enables TCP keep-alive."""
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES_COUNT)


class _Client(geventhttpclient.HTTPClient):
    """The library's HTTP client, using ``_Pool``."""

    def __init__(
        self,
        endpoint: settings.Endpoint,
        *,
        connect_timeout_s: float,
        read_timeout_s: float,
    ):
        super().__init__(
            endpoint["ip"],
            endpoint["port"],
            headers_type=_answer_bounds.BoundedHeaders,
        )
        self.block_size = _READ_BLOCK_BYTES
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
        # The library resends a failed idempotent call on new connections, up
        # to the pool size plus one times. With the real size, a service that
        # closes every connection at once would receive 33 billed calls for
        # one. A size of 0 leaves one resend, which is enough if the service
        # has closed an idle connection.
        self._pool.size = 0

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        self._pool.drop_idle()


class HttpCalls:
    """Client for one endpoint: pooled calls and line streams.

    Attributes:
        is_receiving: Whether the body of a response is being read.
    """

    def __init__(
        self,
        endpoint: settings.Endpoint,
        timeout_s: float,
        *,
        answer_timeout_s: float | None = None,
        era_header: str | None = None,
    ):
        """Creates the pool; connections open with the first call.

        Args:
            endpoint: Address of the service.
            timeout_s: Timeout for connecting and for a response, in seconds.
            answer_timeout_s: Timeout for a response, if it differs.
            era_header: Response header with the service's era, if any.
        """
        self._era_header = era_header
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._slots = lock.BoundedSemaphore(CONCURRENT_CALLS_COUNT)
        self._is_closed = False
        self.is_receiving = False
        self._client = _Client(
            endpoint,
            connect_timeout_s=timeout_s,
            read_timeout_s=answer_timeout_s or timeout_s,
        )

    @property
    def name(self) -> str:
        """The endpoint as ``ip:port``."""
        return f"{self._endpoint['ip']}:{self._endpoint['port']}"

    def with_answer_timeout(self, answer_timeout_s: float) -> "HttpCalls":
        """Returns a client for the same endpoint with another timeout.

        Args:
            answer_timeout_s: Timeout for a response, in seconds.
        """
        return HttpCalls(
            self._endpoint,
            self._timeout_s,
            answer_timeout_s=answer_timeout_s,
            era_header=self._era_header,
        )

    def close(self) -> None:
        """Closes the pooled connections; later calls fail unsent."""
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
        """Sends one call and reads the complete response, without retries.

        Returns:
            The response; ``PlatformUnavailableError`` if nothing was sent; or
            ``WriteOutcomeUnknownError`` if the call was sent but no complete
            response arrived. For a read, both errors mean that it failed.
        """
        if not self._slots.acquire(timeout=self._timeout_s):
            return Err(self._unavailable("all connections are in use"))
        if self._is_closed:
            self._slots.release()
            return Err(self._unavailable("this client is closed"))
        try:
            return Ok(self._exchange(method, path, body, headers or {}))
        except ConnectError as error:
            self._client.drop_idle()
            return Err(self._unavailable(str(error)))
        except (OSError, response.HTTPParseError, ValueError) as error:
            # The fault may have broken every pooled connection for good, while
            # new ones work. If they were tried one by one after an outage,
            # each would cost a full timeout: with eight connections and 0.5 s
            # per call, a server that had left stayed in use for 5.5 to 6.1 s
            # after the outage instead of 0.6 s.
            self._client.drop_idle()
            message = f"{self.name}: no complete response to {path}: {error}"
            was_cut = isinstance(
                error, ConnectionError | response.HTTPConnectionClosed
            )
            return Err(
                errors.WriteOutcomeUnknownError(message, was_cut=was_cut)
            )
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
            raise ConnectionResetError("the response is incomplete")
        return Answer(
            answer.status_code,
            _parse_json_object(text),
            _headers.retry_after_s(_header_value(answer, "retry-after")),
            _header_value(answer, self._era_header),
        )

    def _unavailable(self, reason: str) -> errors.PlatformUnavailableError:
        return errors.PlatformUnavailableError(f"{self.name}: {reason}")

    def open_stream(
        self, path: str, body: Mapping[str, Any], *, silence_timeout_s: float
    ) -> "LineStream":
        """Sends a POST request whose response is read line by line.

        Args:
            path: Path of the request.
            body: JSON body of the request.
            silence_timeout_s: A read fails after this many seconds without
                data.

        Raises:
            OSError: Connecting failed, or the connection broke.
            HTTPParseError: The response is not valid HTTP.
        """
        client = _Client(
            self._endpoint,
            connect_timeout_s=self._timeout_s,
            read_timeout_s=silence_timeout_s,
        )
        data = json.dumps(body).encode()
        try:
            answer = client.request("POST", path, data, _JSON_HEADERS)
        except BaseException:
            client.close()
            raise
        return LineStream(client, answer)


class LineStream:
    """A streamed response with one JSON object per line."""

    def __init__(self, client: Any, answer: Any):
        self._client = client
        self._answer = answer

    @property
    def status(self) -> int:
        """HTTP status code of the response."""
        return int(self._answer.status_code)

    def read(self) -> dict[str, Any] | None:
        """Returns the next object, or None when the stream has ended."""
        sock = self._answer._sock
        if isinstance(sock, _answer_bounds.BoundedSocket):
            # Only the next line is bounded, not the stream.
            sock.begin_answer(with_head=False)
        line = self._answer.readline(b"\n")
        return _parse_json_object(line) if line else None

    def close(self) -> None:
        """Closes the connection; the response does not end by itself."""
        self._answer.release()
        self._client.close()


def _parse_json_object(text: bytes) -> dict[str, Any]:
    if not text.strip():
        return {}
    parsed = json_text.loads(text)
    if not isinstance(parsed, dict):
        raise ValueError("the response is not a JSON object")
    return parsed


def _header_value(answer: Any, name: str | None) -> str | None:
    value = answer.get(name) if name else None
    return value if isinstance(value, str) else None


def full_jitter_s(attempt: int, *, base_s: float, limit_s: float) -> float:
    """Returns a random delay for exponential backoff with full jitter.

    Without jitter, all nodes would reconnect at the same time after an outage
    and overload the service again. The delay is uniformly distributed between
    0 and an upper bound that doubles with each attempt.

    Args:
        attempt: Number of the attempt, 0 for the first delay.
        base_s: Upper bound of the first delay, in seconds.
        limit_s: Upper bound of every delay, in seconds.
    """
    bound_s = min(limit_s, base_s * 2 ** min(attempt, 16))
    return random.uniform(0.0, bound_s)
