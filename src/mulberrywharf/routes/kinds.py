"""Kinds of request and what may be done again for each."""

from functools import singledispatch
from typing import NamedTuple


class Idempotent(NamedTuple):
    """Running it more than once does no harm."""


class AtMostOnce(NamedTuple):
    """It runs at most once for each request of a caller."""


class EventStream(NamedTuple):
    """The answer is a stream of numbered events.

    Attributes:
        resumable: Whether it may go on at another server behind the last
            event that was delivered.
    """

    resumable: bool


RequestKind = Idempotent | AtMostOnce | EventStream


@singledispatch
def may_run_again(kind: RequestKind) -> bool:
    """Tells whether a request that may have run can be sent again.

    Args:
        kind: The kind of its route.
    """
    raise TypeError(f"no rule for {kind!r}")


@may_run_again.register
def _(kind: Idempotent) -> bool:
    return True


@may_run_again.register
def _(kind: AtMostOnce) -> bool:
    return False


@may_run_again.register
def _(kind: EventStream) -> bool:
    return kind.resumable
