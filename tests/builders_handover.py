"""Builders of handovers to scripted gateways."""

import collections
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.forwarding import handover
from mulberrywharf.peers import handover_client
from mulberrywharf.platform import requests
from mulberrywharf.policy import stream_version

HELPER = fleet.Address("10.0.0.9", 7660)


class ScriptedHandovers:
    """Hands over to gateways that do as a test says.

    Attributes:
        handed: What was handed over.
        exchanges: The exchanges with the gateways that took it.
        lost_count: Answers that broke off.
        ended_count: Handed over requests that ended.
        prefers: Whether new requests are handed over at once.
        may: Whether a request without a server may be handed over.
    """

    def __init__(
        self,
        *steps: Any,
        prefers: bool = True,
        may: bool = True,
        version: str | None = "v1",
    ):
        """Creates it.

        Args:
            *steps: For each handover an error, or the scripted server whose
                answer the gateway relays.
            prefers: See the attribute.
            may: See the attribute.
            version: Software version of the servers behind the gateways.
        """
        self._version = version
        self.handed: list[handover.HandedOver] = []
        self.exchanges: list[_exchange.Exchange] = []
        self.lost_count = self.ended_count = 0
        self.prefers, self.may = prefers, may
        self._steps = collections.deque(steps)

    def prefers_helper(self, service: str, *, may_repeat: bool) -> bool:
        return self.prefers and bool(self._steps)

    def may_hand_over(self, service: str) -> bool:
        return self.may and bool(self._steps)

    def hand_over(
        self, handed: handover.HandedOver, on_accepted: Callable[[], None]
    ) -> Result[handover.OpenHandover, handover.HandoverError]:
        self.handed.append(handed)
        step = self._steps.popleft()
        if isinstance(step, errors.NoHelperError):
            return Err(step)
        on_accepted()
        if isinstance(step, errors.MulberryError):
            return Err(step)
        return Ok(self._open(step))

    def _open(self, helper: Any) -> handover.OpenHandover:
        exchange = _exchange.Exchange.open(helper.address).unwrap()
        self.exchanges.append(exchange)
        sent = exchange.send(_exchange.Request("GET", "/"), 2.0).unwrap()
        head = requests.ServerDialect().read_head(sent)
        answer = handover_client.HandedAnswer(
            exchange,
            head,
            "helper",
            0.0,
            version_key=stream_version.key_of(self._version),
        )
        return handover.OpenHandover(
            answer, HELPER, self._note_end, self._note_lost
        )

    def _note_end(self) -> None:
        self.ended_count += 1

    def _note_lost(self) -> None:
        self.lost_count += 1
