"""Carries the messages of several topics in one kind of datagram.

Each topic belongs to one part of the gateway, which encodes and decodes its
messages. All topics share the byte budget of the gateway's datagrams.
"""

from collections.abc import Callable, Iterable
from typing import Literal

from mulberrywharf import fleet, metrics
from mulberrywharf.peers import datagrams

Topic = Literal[b"o", b"e", b"d", b"z", b"p", b"s", b"r"]
"""Topic byte of a message.

- ``o``: outcomes of a server's answers, to the gateways that add them up.
- ``e``: whether a server is used, to all gateways.
- ``d``: customers' demand, to the gateways that divide the room, and back.
- ``z``: whether a gateway of another zone is reachable, and its reply.
- ``p``: whether a gateway can serve requests for a service, and its reply.
- ``s``: at which software version a stream began, to the gateways that keep it;
  a question for it, and its reply.
- ``r``: a claim of a repeat at a gateway that may have one left, and its reply.
"""

Handler = Callable[[bytes, fleet.Address], bool]
"""Handles the body of a message from an address; returns whether it could be
decoded."""

MESSAGE_LIMIT_BYTES = (
    datagrams.DATAGRAM_LIMIT_BYTES - datagrams.DATAGRAM_OVERHEAD_BYTES - 1
)
"""Maximum size of the body of a message."""

_messages_total = metrics.counter(
    "mulberry_topic_messages_total",
    "Messages between gateways, by topic and whether they were sent.",
)


class TopicExchange:
    """Sends messages of topics to other gateways and dispatches theirs."""

    def __init__(self, socket: datagrams.PeerSocket):
        """Creates it and registers it with the socket.

        Args:
            socket: Carries the messages; the caller starts it.
        """
        self._socket = socket
        self._handlers: dict[bytes, Handler] = {}
        socket.set_handler(b"t", self._on_datagram)

    def register(self, topic: Topic, handler: Handler) -> None:
        """Sets the handler for the messages of a topic."""
        self._handlers[topic] = handler

    def send(
        self,
        topic: Topic,
        body: bytes,
        addresses: Iterable[fleet.Address],
        *,
        is_urgent: bool,
    ) -> bool:
        """Sends a message to each address.

        A message that is not urgent is not sent while the byte budget is used
        up; its part sends a newer state later.

        Args:
            topic: Topic of the message.
            body: Its body, at most ``MESSAGE_LIMIT_BYTES`` long.
            addresses: Datagram addresses of the gateways.
            is_urgent: Whether it is sent also beyond the byte budget.

        Returns:
            Whether it was sent.
        """
        if len(body) > MESSAGE_LIMIT_BYTES:
            raise ValueError(
                f"a message has {len(body)} bytes; allowed are"
                f" {MESSAGE_LIMIT_BYTES}"
            )
        receivers = tuple(addresses)
        framed = topic + body
        is_sent = is_urgent or self._socket.wait_s(framed, len(receivers)) <= 0
        _messages_total.inc(
            {"topic": topic.decode(), "sent": str(is_sent).lower()}
        )
        if is_sent:
            self._socket.send(b"t", framed, receivers)
        return is_sent

    def _on_datagram(self, datagram: bytes, source: fleet.Address) -> bool:
        handler = self._handlers.get(datagram[:1])
        return handler is not None and handler(datagram[1:], source)
