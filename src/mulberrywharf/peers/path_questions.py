"""Asks other gateways whether they can serve requests for a service."""

from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import notice_codec, path_codec, topics
from mulberrywharf.policy import helpers, lost_path


class Peers(Protocol):
    """The other gateways."""

    def zones(self) -> helpers.Zones:
        """Returns the addresses of the other gateways by closeness."""
        ...


class PathQuestions:
    """Asks other gateways, and replies to theirs."""

    def __init__(
        self,
        peers: Peers,
        exchange: topics.TopicExchange,
        paths: lost_path.LostPaths,
        services: Callable[[], Iterable[str]],
        load: Callable[[], float],
        can_serve: Callable[[str], bool],
        system_clock: clock.Clock,
    ):
        """Creates it and registers it with the exchange.

        Args:
            peers: The other gateways.
            exchange: Carries questions and replies.
            paths: Decides whom to ask, and gets the replies.
            services: Returns the services with servers.
            load: Returns how many handed over requests this gateway serves.
            can_serve: Tells whether the servers of a service are reachable;
                may take as long as a connection to one.
            system_clock: Source of monotonic time.
        """
        self._can_serve = can_serve
        self._replying: dict[int, set[fleet.Address]] = {}
        self._peers = peers
        self._exchange = exchange
        self._paths = paths
        self._services = services
        self._load = load
        self._clock = system_clock
        exchange.register(b"p", self._on_message)

    def ask(self) -> None:
        """Sends the questions that are due."""
        now_s = self._clock.monotonic_s()
        zones = self._peers.zones()
        for service in self._paths.unsettled():
            asked = self._paths.next_asked(service, zones, now_s)
            if not asked:
                continue
            question = path_codec.PathQuestion(notice_codec.hash_name(service))
            self._exchange.send(
                b"p",
                path_codec.encode_question(question),
                asked,
                is_urgent=True,
            )

    def _on_message(self, body: bytes, source: fleet.Address) -> bool:
        decoded = path_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("message dropped: {}", decoded.err_value.message)
            return False
        message = decoded.ok_value
        service = self._service_of(message.service_key)
        if isinstance(message, path_codec.PathReply):
            if service is not None:
                self._paths.note_report(
                    service, source, message.report, self._clock.monotonic_s()
                )
            return True
        asking = self._replying.get(message.service_key)
        if asking is not None:
            asking.add(source)
            return True
        self._replying[message.service_key] = {source}
        gevent.spawn(self._reply, message.service_key, service)
        return True

    def _reply(self, service_key: int, service: str | None) -> None:
        """Replies to all gateways that ask until the answer is known."""
        try:
            report = self._report(service)
        finally:
            asking = self._replying.pop(service_key)
        reply = path_codec.PathReply(service_key, report)
        self._exchange.send(
            b"p", path_codec.encode_reply(reply), asking, is_urgent=True
        )

    def _report(self, service: str | None) -> helpers.Report:
        if service is None:
            return helpers.Report(can_serve=False)
        if self._can_serve(service):
            return helpers.Report(can_serve=True, load=self._load())
        named = self._paths.named_helpers(service, self._clock.monotonic_s())
        return helpers.Report(can_serve=False, helpers=named)

    def _service_of(self, key: int) -> str | None:
        for service in self._services():
            if notice_codec.hash_name(service) == key:
                return service
        return None
