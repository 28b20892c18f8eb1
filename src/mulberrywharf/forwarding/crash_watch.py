"""Which requests servers were working on when they ended."""

from typing import NamedTuple

from loguru import logger

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.forwarding import request, server_ends

_ends_total = metrics.counter(
    "mulberry_server_ends_total",
    "Requests whose server ended while it worked on them, by whether it had"
    " made any of the answer.",
)


class Run(NamedTuple):
    """A request that a server works on.

    Attributes:
        wanted: The request.
        server: The server.
        began_s: Monotonic instant at which it was sent.
    """

    wanted: request.RoutedRequest
    server: fleet.Server
    began_s: float


def may_be_crash(error: errors.EngineError) -> bool:
    """Tells whether an exchange may have failed so because its server ended.

    A server that ends closes its connections; one that falls silent, or sends
    what is no answer, is there still.
    """
    return isinstance(error, errors.AnswerLostError) and not isinstance(
        error, errors.PeerSilentError
    )


class CrashWatch:
    """Takes in which exchanges broke off."""

    def __init__(self, ends: server_ends.ServerEnds, system_clock: clock.Clock):
        self._ends = ends
        self._clock = system_clock

    def broke_off(self, run: Run, *, made_output: bool) -> None:
        """Notes that a server broke off what it was working on.

        Args:
            run: The request there.
            made_output: Whether any of its answer had come.
        """
        broke_off_s = self._clock.monotonic_s()
        if not self._ends.has_ended(run.server):
            return
        _ends_total.inc({"made_output": str(made_output).lower()})
        logger.bind(
            request_id=run.wanted.request_id,
            fingerprint=f"{run.wanted.fingerprint():016x}",
            server_id=run.server.server_id,
            ran_s=round(broke_off_s - run.began_s, 3),
            made_output=made_output,
        ).warning("a server ended while it worked on a request")
