"""Classifies failed attempts: may they be retried, and did the request run?"""

from typing import Literal, NamedTuple

from mulberrywharf import errors

_FAILURE_STATUS = 500
_DEADLINE_STATUS = 504

Progress = Literal["nothing-sent", "refused", "sent", "answer-began"]
"""How far an attempt got before it failed.

``nothing-sent``: No byte of the request left this process. ``refused``: The
complete answer of the engine or server says that it did not run the request.
``sent``: At least one byte left and no answer arrived. ``answer-began``: A part
of the answer arrived.
"""


class Verdict(NamedTuple):
    """What may follow a failed attempt.

    Attributes:
        may_retry: Whether another attempt is safe.
        may_resume: Whether another engine may continue the generation after
            the tokens already delivered.
        outcome: Outcome reported to the caller if no further attempt is made.
    """

    may_retry: bool
    may_resume: bool
    outcome: errors.Outcome


def is_server_fault(status: int) -> bool:
    """Tells whether an answer shows that its server fails requests.

    A 504 at the deadline is not counted: a slow server is passed over because
    of its speed.
    """
    return status >= _FAILURE_STATUS and status != _DEADLINE_STATUS


def judge(progress: Progress, *, is_idempotent: bool) -> Verdict:
    """Classifies one failed attempt.

    Once a byte of a request that is not idempotent has left, it is sent again
    only if the engine or server refused it. Otherwise it may have been run
    although no answer arrived, and a second run could, for example, make a
    payment twice.

    Args:
        progress: How far the attempt got.
        is_idempotent: Whether the request may safely run twice.
    """
    did_not_run = progress in ("nothing-sent", "refused")
    if did_not_run:
        return Verdict(may_retry=True, may_resume=False, outcome="not-run")
    # The caller already has a part of the answer; a new attempt would send it
    # again.
    has_answer_part = progress == "answer-began"
    return Verdict(
        may_retry=is_idempotent and not has_answer_part,
        may_resume=is_idempotent and has_answer_part,
        outcome="unknown",
    )


def combine(earlier: errors.Outcome, later: errors.Outcome) -> errors.Outcome:
    """Combines two outcomes: not run only if neither attempt ran."""
    if earlier == "not-run" and later == "not-run":
        return "not-run"
    return "unknown"
