"""What a failed exchange means: may it be tried again, and did it run?"""

from typing import Literal, NamedTuple

from mulberrywharf import errors

Progress = Literal["nothing-sent", "refused", "sent", "answer-began"]
"""How far an exchange went before it failed.

``nothing-sent``: no byte of the request left this process. ``refused``: the
back end answered in full that it did not run the request. ``sent``: at least
one byte left and no answer came. ``answer-began``: a part of the answer came.
"""


class Verdict(NamedTuple):
    """What may follow a failed exchange.

    Attributes:
        may_retry: Whether another attempt cannot break a promise.
        may_resume: Whether a generation may go on elsewhere from the tokens
            that were already delivered.
        outcome: What the caller is told if no further attempt is made.
    """

    may_retry: bool
    may_resume: bool
    outcome: errors.Outcome


def judge(progress: Progress, *, is_idempotent: bool) -> Verdict:
    """Judges one failed exchange.

    A request that is not idempotent is never sent again once a byte of it
    has left: the back end may have run it although no answer came, and a
    second run would, for one, pay a server twice.

    Args:
        progress: How far the exchange went.
        is_idempotent: Whether running the request twice is harmless.
    """
    did_not_run = progress in ("nothing-sent", "refused")
    if did_not_run:
        return Verdict(may_retry=True, may_resume=False, outcome="not-run")
    # The caller has a part of the answer, so a fresh attempt would repeat it.
    has_answer_part = progress == "answer-began"
    return Verdict(
        may_retry=is_idempotent and not has_answer_part,
        may_resume=is_idempotent and has_answer_part,
        outcome="unknown",
    )


def combine(earlier: errors.Outcome, later: errors.Outcome) -> errors.Outcome:
    """Returns the outcome of two attempts: not run only if neither ran."""
    if earlier == "not-run" and later == "not-run":
        return "not-run"
    return "unknown"
