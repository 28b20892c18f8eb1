"""Keeps streams at the software version that began them."""

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from mulberrywharf import clock, errors, metrics
from mulberrywharf.forwarding import request, time_limits
from mulberrywharf.peers import stream_origins
from mulberrywharf.policy import stream_keepers, stream_version

RETRY_AFTER_NO_REPLY_S = 0.3
"""``Retry-After`` if the gateways that may know a stream, or the records of the
servers, could not be read. Another gateway may reach them."""

_decisions_total = metrics.counter(
    "mulberry_stream_continuations_total",
    "Streams that were to go on, by service, by who takes them up (answer,"
    " caller, or attempt if the version has left since) and by the decision.",
)


class Origins(Protocol):
    """The versions at which streams began."""

    def find(
        self, stream: stream_origins.StreamId, limit_s: float
    ) -> stream_version.Origin:
        """Returns the version at which a stream began; may ask for it.

        Args:
            stream: The stream.
            limit_s: Longest wait for replies, in seconds.
        """
        ...

    def note_begun(
        self,
        stream: stream_origins.StreamId,
        version_key: stream_version.VersionKey,
    ) -> None:
        """Keeps the version at which a stream began."""
        ...


class StreamVersions:
    """Decides at which version streams go on, and records where they began."""

    def __init__(
        self,
        origins: Origins,
        history: stream_version.VersionHistory,
        system_clock: clock.Clock,
        confirm: Callable[[float], bool],
    ):
        """Creates it.

        Args:
            origins: The versions at which streams began.
            history: The versions of the services.
            system_clock: Source of monotonic time.
            confirm: Compares the history with the records of the servers;
                returns whether it had every version until the call. Waits for
                so many seconds at the most.
        """
        self._origins = origins
        self._history = history
        self._clock = system_clock
        self._confirm = confirm

    def take_up(
        self,
        routed_request: request.RoutedRequest,
        service: str,
        limit: time_limits.TimeLimit,
    ) -> stream_version.VersionKey:
        """Returns the version at which a caller's stream goes on.

        Asks other gateways, if necessary.

        Args:
            routed_request: The request.
            service: The service that answers it.
            limit: The deadline of the request.

        Raises:
            StreamNotResumableError: It may not go on; nothing ran.
        """
        began_s = self._clock.monotonic_s()
        handed = routed_request.handover
        if handed is not None and handed.version_key is not None:
            origin: stream_version.Origin = stream_version.Begun(
                handed.version_key
            )
        else:
            origin = self._find(routed_request, service, limit)
        return self._settle(
            "caller", routed_request, service, origin, began_s, limit
        )

    def go_on(
        self,
        routed_request: request.RoutedRequest,
        service: str,
        version_key: stream_version.VersionKey | None,
        limit: time_limits.TimeLimit,
    ) -> stream_version.VersionKey:
        """Returns the version at which a stream goes on within its answer.

        Args:
            routed_request: The request.
            service: The service that answers it.
            version_key: Version that began the stream, None if it is unknown.
            limit: The deadline of the request.

        Raises:
            BackEndLostError: It may not go on.
        """
        origin: stream_version.Origin = (
            stream_version.Unknown("not-named")
            if version_key is None
            else stream_version.Begun(version_key)
        )
        now_s = self._clock.monotonic_s()
        try:
            return self._settle(
                "answer", routed_request, service, origin, now_s, limit
            )
        except errors.StreamNotResumableError as error:
            raise errors.BackEndLostError(
                error.message, outcome="unknown"
            ) from error

    def require_server(
        self,
        routed_request: request.RoutedRequest,
        service: str,
        version_key: stream_version.VersionKey,
        limit: time_limits.TimeLimit,
    ) -> None:
        """Requires a server of a version that may get new requests.

        Raises:
            StreamNotResumableError: None is left.
        """
        now_s = self._clock.monotonic_s()
        if version_key not in self._history.seen(service, now_s).current:
            origin = stream_version.Begun(version_key)
            self._settle(
                "attempt", routed_request, service, origin, now_s, limit
            )

    def note_begun(
        self,
        routed_request: request.RoutedRequest,
        service: str,
        version_key: stream_version.VersionKey,
    ) -> None:
        """Records at which version the first event of an answer was made.

        A stream that a caller has taken up is kept longer under the id that its
        caller names, and under that of this attempt.
        """
        names = {routed_request.request_id, routed_request.resumes or ""}
        for name in names - {""}:
            self._origins.note_begun(
                _stream_id(routed_request, name, service), version_key
            )

    def _find(
        self,
        routed_request: request.RoutedRequest,
        service: str,
        limit: time_limits.TimeLimit,
    ) -> stream_version.Origin:
        """Finds the version of a stream that the caller takes up.

        If the caller does not name it, others may still know which versions the
        service had before this gateway started.
        """
        name = routed_request.resumes
        limit_s = stream_version.wait_limit_s(limit.left_s())
        if name is not None:
            stream = _stream_id(routed_request, name, service)
            return self._origins.find(stream, limit_s)
        seen = self._history.seen(service, self._clock.monotonic_s())
        if not seen.is_complete:
            stream = _stream_id(routed_request, "", service)
            self._origins.find(stream, limit_s)
        return stream_version.Unknown("not-named")

    def _settle(
        self,
        taken_up_by: str,
        routed_request: request.RoutedRequest,
        service: str,
        origin: stream_version.Origin,
        began_s: float,
        limit: time_limits.TimeLimit,
    ) -> stream_version.VersionKey:
        """Decides where a stream goes on, and logs and counts the decision.

        Raises:
            StreamNotResumableError: It may not go on.
        """
        seen = self._history.seen(service, self._clock.monotonic_s())
        if stream_version.needs_confirmation(origin, seen):
            limit_s = stream_version.wait_limit_s(limit.left_s())
            is_confirmed = self._confirm(limit_s)
            seen = self._history.seen(service, self._clock.monotonic_s())
        else:
            is_confirmed = True
        if is_confirmed or not stream_version.needs_confirmation(origin, seen):
            decided = stream_version.decide(origin, seen)
        else:
            decided = stream_version.Refused("no-reply")
        self._log(
            taken_up_by, routed_request, service, origin, decided, began_s
        )
        if isinstance(decided, stream_version.Refused):
            raise _refusal(decided, self._name(origin))
        return decided.version_key

    def _name(self, origin: stream_version.Origin) -> str:
        if not isinstance(origin, stream_version.Begun):
            return "unknown"
        return self._history.name(origin.version_key) or (
            f"{origin.version_key:016x}"
        )

    def _log(
        self,
        taken_up_by: str,
        routed_request: request.RoutedRequest,
        service: str,
        origin: stream_version.Origin,
        decided: stream_version.Continuation,
        began_s: float,
    ) -> None:
        if isinstance(decided, stream_version.Refused):
            result: str = decided.reason
            version = self._name(origin)
        else:
            result = "inferred" if decided.is_inferred else "known"
            version = self._history.name(decided.version_key) or "unseen"
        _decisions_total.inc(
            {"service": service, "by": taken_up_by, "result": result}
        )
        logger.bind(
            request_id=routed_request.request_id,
            service=service,
            by=taken_up_by,
            resumes=routed_request.resumes,
            last_event_id=routed_request.last_event_id,
            software_version=version,
            result=result,
            waited_s=round(self._clock.monotonic_s() - began_s, 4),
        ).info("stream is to go on")


def _stream_id(
    routed_request: request.RoutedRequest, name: str, service: str
) -> stream_origins.StreamId:
    prompt = routed_request.prompt
    scope = stream_keepers.scope_of(
        routed_request.customer, service, prompt.model if prompt else ""
    )
    return stream_origins.StreamId(name, service, scope)


_MESSAGES: dict[stream_version.RefusalReason, str] = {
    "version-gone": "no server of its software version is left",
    "other-stream": "Resumes names a stream of another request",
    "not-named": "the software version that began it is unknown",
    "not-found": "no gateway knows the stream that Resumes names",
    "no-reply": "who may know its software version did not reply",
}


def _refusal(
    refused: stream_version.Refused, version: str
) -> errors.StreamNotResumableError:
    message = f"the stream can't go on: {_MESSAGES[refused.reason]}"
    if refused.reason == "version-gone":
        message += f" ({version})"
    return errors.StreamNotResumableError(
        message,
        retry_after_s=RETRY_AFTER_NO_REPLY_S
        if refused.reason == "no-reply"
        else None,
    )
