"""Kinds of requests, and whether each may be sent again."""

from functools import singledispatch
from typing import NamedTuple


class Idempotent(NamedTuple):
    """A request that may run several times without harm."""


class AtMostOnce(NamedTuple):
    """A request that must not run more than once."""


class EventStream(NamedTuple):
    """A request whose answer is a stream of numbered events.

    Attributes:
        resumable: Whether another server can continue the stream after the
            last event that was delivered.
    """

    resumable: bool


RequestKind = Idempotent | AtMostOnce | EventStream


@singledispatch
def may_run_again(kind: RequestKind) -> bool:
    """Tells whether a request that may already have run can be sent again.

    Args:
        kind: Kind of the request, as configured for its route.
    """
    raise TypeError(f"unknown request kind {kind!r}")


@may_run_again.register
def _(kind: Idempotent) -> bool:
    return True


@may_run_again.register
def _(kind: AtMostOnce) -> bool:
    return False


@may_run_again.register
def _(kind: EventStream) -> bool:
    return kind.resumable
