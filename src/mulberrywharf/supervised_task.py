"""Keeps background tasks running.

An exception would end a greenlet for good: the process would go on with old
loads, routes or registrations, and nothing but their age would show it.
"""

from collections.abc import Callable

import gevent
from loguru import logger

from mulberrywharf import metrics

RESTART_PAUSE_S = 1.0

_failures_total = metrics.counter(
    "mulberry_task_failures_total",
    "Exceptions that ended a background task, which was started again.",
)


def spawn(
    name: str,
    run: Callable[[], object],
    *,
    on_failure: Callable[[], object] = lambda: None,
) -> gevent.Greenlet:
    """Starts a task, and starts it again after each exception.

    Args:
        name: Name of the task in logs and metrics.
        run: Runs until it is killed, or returns once nothing is left to do.
        on_failure: Called after an exception, before the task is started
            again; gives up what the exception may have left half done.
    """
    return gevent.spawn(_supervise, name, run, on_failure)


def _supervise(
    name: str, run: Callable[[], object], on_failure: Callable[[], object]
) -> None:
    while True:
        try:
            run()
        except Exception:
            note_failure(name)
            try:
                on_failure()
            except Exception:
                note_failure(name)
        else:
            return
        gevent.sleep(RESTART_PAUSE_S)


def note_failure(name: str) -> None:
    """Counts and logs the exception that is being handled.

    Args:
        name: Name of the task; one that is not supervised goes on by itself.
    """
    _failures_total.inc({"task": name})
    logger.bind(task=name).exception(
        "a background task failed; it is started again"
    )
