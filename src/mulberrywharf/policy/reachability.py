"""Tells which servers a gateway can reach, by its own exchanges with them.

A server counts as unreachable from the moment at which a connection to it could
not be opened, or an exchange with it was interrupted, until the opposite is
seen. This alone doesn't tell whether the server or the gateway's own network
path is the cause; ``lost_path`` decides that.
"""

import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import Literal, NamedTuple

from mulberrywharf import fleet

Cause = Literal["refused", "silent", "interrupted"]
"""Why a server counts as unreachable.

- ``refused``: A connection was refused or reset while it was opened.
- ``silent``: A connection was not opened in time, or its peer no longer
  acknowledges data.
- ``interrupted``: A connection ended in the middle of an exchange.
"""


Status = Literal["whole", "partial", "none"]
"""How much of a service a gateway reaches.

- ``whole``: A server of each role.
- ``partial``: No server of some role, but one that can answer callers.
- ``none``: No server that can answer callers.
"""

SAMPLE_COUNT = 6
"""Servers of a role found unreachable one after the other, with no
contact to any server of the role in between, from which all of them count as
unreachable. In a large fleet it would take a request's time to try each. A
gateway that is separated from a third of the servers finds so many by chance
once in 700 times."""


class UnreachableServer(NamedTuple):
    """A server that this gateway does not reach.

    Attributes:
        server: The server.
        cause: Why it counts as unreachable.
        unreachable_s: Time since the last failure, in seconds.
        own_contact_s: Time since its last answer to this gateway.
        others_contact_s: Time since another gateway last reported a load of
            it; infinite if none has.
    """

    server: fleet.Server
    cause: Cause
    unreachable_s: float
    own_contact_s: float
    others_contact_s: float


class _Contact:
    """The last events at one server, as monotonic times."""

    def __init__(self) -> None:
        self.answered_s = float("-inf")
        self.connected_s = float("-inf")
        self.connect_failed_s = float("-inf")
        self.interrupted_s = float("-inf")
        self.others_s = float("-inf")
        self.is_brief_contact = False
        self.cause: Cause = "refused"

    @property
    def is_unreachable(self) -> bool:
        # An answer on a connection from before says nothing about new ones:
        # some network failures leave open connections alone.
        return (
            self.connect_failed_s > self.connected_s
            or self.interrupted_s > self.answered_s
        )


class Reachability:
    """Which servers are reachable, and which roles have no reachable one."""

    def __init__(self) -> None:
        self._contacts: dict[fleet.ServerStart, _Contact] = {}
        self._by_service: dict[str, dict[fleet.ServerStart, fleet.Server]] = {}
        self._service_of: dict[fleet.ServerStart, str] = {}
        self._on_change: Callable[[str, float], None] = lambda _, __: None
        self._on_answer: Callable[[str, float], None] = lambda _, __: None

    def on_answer(self, callback: Callable[[str, float], None]) -> None:
        """Sets the callback for answers, called like that of ``on_change``."""
        self._on_answer = callback

    def on_change(self, callback: Callable[[str, float], None]) -> None:
        """Sets the callback for changes of a server's state.

        Args:
            callback: Called with the service of the server and the time.
        """
        self._on_change = callback

    def set_servers(self, servers: Iterable[fleet.Server]) -> None:
        """Updates the servers that new requests may be sent to."""
        self._by_service = {}
        for server in servers:
            known = self._by_service.setdefault(server.service, {})
            known[server.start] = server
        self._service_of = {
            start: service
            for service, known in self._by_service.items()
            for start in known
        }
        self._contacts = {
            start: contact
            for start, contact in self._contacts.items()
            if start in self._service_of
        }

    def note_connected(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that a new connection was opened."""
        with self._changing(start, now_s) as contact:
            contact.connected_s = now_s

    def note_confirmed(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that a new connection was opened and stayed open."""
        with self._changing(start, now_s) as contact:
            contact.connected_s = contact.answered_s = now_s
            contact.is_brief_contact = False

    def note_briefly_open(self, start: fleet.ServerStart, now_s: float) -> bool:
        """Records that a new connection stayed open for a moment.

        What accepts connections on a broken path may reset them later. So this
        counts as contact only if the server has answered since the last time.

        Returns:
            Whether it counts.
        """
        if self._contact(start).is_brief_contact:
            return False
        self.note_confirmed(start, now_s)
        self._contact(start).is_brief_contact = True
        return True

    def note_answered(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that an answer began to arrive."""
        with self._changing(start, now_s) as contact:
            contact.answered_s = now_s
            contact.is_brief_contact = False
        service = self._service_of.get(start)
        if service is not None:
            self._on_answer(service, now_s)

    def note_connect_failed(
        self, start: fleet.ServerStart, cause: Cause, now_s: float
    ) -> None:
        """Records that no connection could be opened."""
        with self._changing(start, now_s) as contact:
            contact.connect_failed_s = now_s
            contact.cause = cause

    def note_interrupted(
        self, start: fleet.ServerStart, cause: Cause, now_s: float
    ) -> None:
        """Records that an exchange ended before its answer was complete."""
        with self._changing(start, now_s) as contact:
            contact.interrupted_s = now_s
            contact.cause = cause

    def note_others_contact(
        self, start: fleet.ServerStart, at_s: float
    ) -> None:
        """Records that another gateway had an answer of a server."""
        contact = self._contacts.get(start)
        if contact is None:
            contact = self._contact(start)
        contact.others_s = max(contact.others_s, at_s)

    def is_unreachable(self, start: fleet.ServerStart) -> bool:
        """Tells whether a server counts as unreachable."""
        contact = self._contacts.get(start)
        return contact is not None and contact.is_unreachable

    def service_of(self, start: fleet.ServerStart) -> str | None:
        """Returns the service of a server, None if it is not known."""
        return self._service_of.get(start)

    def services(self) -> tuple[str, ...]:
        """Returns the services with servers."""
        return tuple(self._by_service)

    def servers(self, service: str) -> tuple[fleet.Server, ...]:
        """Returns the servers of a service."""
        return tuple(self._by_service.get(service, {}).values())

    def answered_s(self, service: str) -> float:
        """Returns the time of the last answer of a service, or -inf."""
        by_role = self.answered_s_by_role(service)
        return max(by_role.values(), default=float("-inf"))

    def answered_s_by_role(
        self, service: str
    ) -> dict[fleet.Role | None, float]:
        """Returns the time of the last answer of each role, or -inf."""
        found: dict[fleet.Role | None, float] = {}
        for server in self.servers(service):
            contact = self._contacts.get(server.start)
            answered_s = contact.answered_s if contact else float("-inf")
            found[server.role] = max(
                answered_s, found.get(server.role, float("-inf"))
            )
        return found

    def status(self, service: str) -> Status:
        """Returns how much of a service is reachable.

        A service without servers is whole, as no path is missing.
        """
        unreachable = self.unreachable_roles(service)
        if not unreachable:
            return "whole"
        roles = {server.role for server in self.servers(service)}
        return "partial" if roles - unreachable - {"prefill"} else "none"

    def unreachable_roles(self, service: str) -> frozenset[fleet.Role | None]:
        """Returns the roles of a service without a reachable server.

        Plain servers have the role None.
        """
        by_role: dict[fleet.Role | None, list[_Contact]] = {}
        for server in self.servers(service):
            contact = self._contacts.get(server.start) or _Contact()
            by_role.setdefault(server.role, []).append(contact)
        return frozenset(
            role
            for role, contacts in by_role.items()
            if _are_unreachable(contacts)
        )

    def is_only_interrupted(self, service: str, since_s: float) -> bool:
        """Tells whether servers break answers off on a path that works.

        Args:
            service: The service.
            since_s: Each role without a reachable server must have one that
                accepts connections, answered later and then broke an exchange
                off.
        """
        unreachable = self.unreachable_roles(service)
        interrupted = {
            server.role
            for server in self.servers(service)
            if (contact := self._contacts.get(server.start)) is not None
            and contact.cause == "interrupted"
            and contact.connect_failed_s <= contact.connected_s
            and contact.answered_s >= since_s
        }
        return unreachable <= interrupted

    def unreachable(
        self, service: str, now_s: float
    ) -> tuple[UnreachableServer, ...]:
        """Returns the unreachable servers of a service."""
        return tuple(
            UnreachableServer(
                server,
                contact.cause,
                now_s - max(contact.connect_failed_s, contact.interrupted_s),
                now_s - contact.answered_s,
                now_s - contact.others_s,
            )
            for server in self.servers(service)
            if (contact := self._contacts.get(server.start)) is not None
            and contact.is_unreachable
        )

    @contextlib.contextmanager
    def _changing(
        self, start: fleet.ServerStart, now_s: float
    ) -> Iterator[_Contact]:
        """Yields a contact to change; publishes what became of its state."""
        contact = self._contact(start)
        was_unreachable = contact.is_unreachable
        yield contact
        service = self._service_of.get(start)
        if service is not None and contact.is_unreachable != was_unreachable:
            self._on_change(service, now_s)

    def _contact(self, start: fleet.ServerStart) -> _Contact:
        contact = self._contacts.get(start)
        if contact is None:
            contact = _Contact()
            # Servers that are draining or unknown are not tracked.
            if start in self._service_of:
                self._contacts[start] = contact
        return contact


def _are_unreachable(contacts: list[_Contact]) -> bool:
    """Tells whether no server of a role is reachable."""
    if all(contact.is_unreachable for contact in contacts):
        return True
    connected_s = max(contact.connected_s for contact in contacts)
    answered_s = max(contact.answered_s for contact in contacts)
    failed_count = sum(
        contact.connect_failed_s > connected_s
        or contact.interrupted_s > answered_s
        for contact in contacts
    )
    return failed_count >= SAMPLE_COUNT
