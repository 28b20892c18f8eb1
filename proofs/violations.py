"""The type of what the audit checker finds."""

from typing import Literal, NamedTuple

Kind = Literal[
    "stale-order",
    "overlapping-orders",
    "order-without-authority",
    "unrecorded-order",
    "cut-by-order",
    "ran-twice",
    "not-run-ran",
    "foreign-answer",
    "unanswered",
    "work-after-leaving",
    "configuration-reverted",
    "configuration-lost",
    "unwanted-state",
    "half-done-order",
]


class Violation(NamedTuple):
    """One breach of an invariant.

    Attributes:
        kind: Which invariant.
        subject: The engine, request, key, VM or version that it concerns.
        detail: What the logs show, with the instants in Unix seconds.
    """

    kind: Kind
    subject: str
    detail: str
