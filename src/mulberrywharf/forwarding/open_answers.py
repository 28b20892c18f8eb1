"""Streamed answers that are being read, by who sends them to this gateway."""

from typing import NamedTuple

from mulberrywharf import _exchange, fleet
from mulberrywharf.forwarding import (
    handover,
    request,
    server_client,
    server_tracker,
)
from mulberrywharf.policy import stream_version


class EngineAnswer(NamedTuple):
    """An answer that is being read, and the engine that generates it.

    Attributes:
        server: The engine.
        answer: Its answer.
        began_s: Monotonic time at which the attempt began.
    """

    server: fleet.Server
    answer: server_client.StartedAnswer
    began_s: float

    @property
    def head(self) -> request.AnswerHead:
        """The head of the answer."""
        return self.answer.head

    @property
    def exchange(self) -> _exchange.Exchange:
        """Reads the body."""
        return self.answer.exchange

    @property
    def is_framed(self) -> bool:
        """Whether the answer marks its end."""
        return self.answer.is_framed

    @property
    def version_key(self) -> stream_version.VersionKey | None:
        """Software version of the engine, None if it is unknown."""
        return stream_version.key_of(self.server.software_version)


class HelperAnswer(NamedTuple):
    """An answer that is being read, relayed by another gateway.

    Attributes:
        handed: The request that was handed over to that gateway.
    """

    handed: handover.OpenHandover

    @property
    def head(self) -> request.AnswerHead:
        """The head of the answer."""
        return self.handed.answer.head

    @property
    def exchange(self) -> _exchange.Exchange:
        """Reads the body."""
        return self.handed.answer.exchange

    @property
    def is_framed(self) -> bool:
        """Whether the answer marks its end."""
        return self.handed.answer.is_framed

    @property
    def version_key(self) -> stream_version.VersionKey | None:
        """Software version that began the stream, None if it is unknown."""
        return self.handed.answer.version_key


OpenAnswer = EngineAnswer | HelperAnswer


def note_ended(run: OpenAnswer, tracker: server_tracker.ServerTracker) -> None:
    """Counts an answer that is read no further as ended."""
    if isinstance(run, EngineAnswer):
        tracker.ended(run.server.start)
    else:
        run.handed.end()


def log_fields(run: OpenAnswer) -> dict[str, str]:
    """Returns the log fields that tell who sends an answer."""
    if isinstance(run, EngineAnswer):
        return {"server_id": run.server.server_id}
    return {"helper": str(run.handed.address)}
