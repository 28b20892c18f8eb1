"""Calls functions on the stack of the main greenlet.

A greenlet has only a part of the stack of its process; the rest belongs to
other greenlets, which change it. A library that walks the whole stack, as
Cap'n Proto does for each of its exceptions, ends the process there. The main
greenlet has the whole stack.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import gevent
import greenlet

_T = TypeVar("_T")


class _Outcome(NamedTuple):
    """What a function returned or raised."""

    value: Any
    error: BaseException | None = None


class _Call(NamedTuple):
    """A function to call, and the greenlet that waits for its outcome."""

    function: Callable[[], Any]
    caller: greenlet.greenlet


class _Serving:
    """The main greenlet, while it serves calls."""

    main: greenlet.greenlet | None = None


def call(function: Callable[[], _T]) -> _T:
    """Calls a function on the stack of the main greenlet.

    Other greenlets don't run meanwhile. Unless ``serve`` runs, the function is
    called on the current stack.

    Args:
        function: Must not wait for anything. What it raises is raised here.
    """
    main, current = _Serving.main, greenlet.getcurrent()
    if main is None or current is main:
        return function()
    outcome: _Outcome = main.switch(_Call(function, current))
    if outcome.error is not None:
        raise outcome.error
    value: _T = outcome.value
    return value


def serve(run: Callable[[], object]) -> None:
    """Runs a program in a new greenlet, and serves calls until it ends.

    Args:
        run: The program. What it raises is raised here.
    """
    main = _Serving.main = greenlet.getcurrent()
    gevent.spawn(lambda: main.switch(_outcome(run)))
    try:
        received: _Call | _Outcome = gevent.get_hub().switch()
        while isinstance(received, _Call):
            outcome = _outcome(received.function)
            received = received.caller.switch(outcome)
    finally:
        _Serving.main = None
    if received.error is not None:
        raise received.error


def _outcome(function: Callable[[], object]) -> _Outcome:
    try:
        return _Outcome(function())
    except BaseException as error:
        return _Outcome(None, error)
