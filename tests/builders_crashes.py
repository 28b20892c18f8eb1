"""Builders of evidence on requests and prompt parts that crash servers."""

from collections.abc import Iterable

from mulberrywharf.policy import crash_blocks, crash_suspects


def traits(
    fingerprint: int, parts: Iterable[int] = (), customer: int = 0
) -> crash_blocks.Traits:
    return crash_blocks.Traits(fingerprint, customer, frozenset(parts))


def end(
    server_key: int, at_s: float = 0.0, *, made_output: bool = False
) -> crash_suspects.ServerEnd:
    return crash_suspects.ServerEnd(server_key, made_output, at_s)


def record_end(
    suspects: crash_suspects.CrashSuspects,
    fingerprint: int,
    server_end: crash_suspects.ServerEnd,
    parts: Iterable[int] = (),
    customer: int = 0,
) -> bool:
    """Records the end of a server; returns whether it was news."""
    return suspects.record_server_end(
        traits(fingerprint, parts, customer), server_end
    )


def answer_others(suspects: crash_suspects.CrashSuspects, at_s: float) -> None:
    """Records answers that show that the service works."""
    for number in range(crash_blocks.OTHER_ANSWERS_COUNT):
        suspects.record_answer_began(0, (10_000 + number,), "engines", at_s)


def blocked_requests(
    suspects: crash_suspects.CrashSuspects, now_s: float
) -> list[int]:
    """Returns the fingerprints of the single requests that are blocked."""
    return [
        block.fingerprint
        for block in suspects.blocks(now_s)
        if block.fingerprint is not None
    ]


def blocked_parts(
    suspects: crash_suspects.CrashSuspects, now_s: float
) -> list[set[int]]:
    """Returns what blocked requests have in common, for each block."""
    return [
        set(block.parts)
        for block in suspects.blocks(now_s)
        if block.fingerprint is None
    ]
