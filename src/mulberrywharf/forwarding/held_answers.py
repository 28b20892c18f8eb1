"""Bounds the memory of whole answers that are held at a time.

An answer of a plain service is read completely before any of it is passed on.
Each may be large, and many at once would exceed the memory of a gateway.
"""

from collections.abc import Iterable, Iterator

from mulberrywharf import metrics

HELD_LIMIT_BYTES = 48_000_000
"""Maximum size of all large answers together. While an answer is assembled, a
second copy of it is in memory."""

SMALL_LIMIT_BYTES = 256_000
"""Size up to which an answer is not counted, so that large answers of one
server leave those of others alone."""

_held_gauge = metrics.gauge(
    "mulberry_held_answer_bytes",
    "Size of large answers that were read and not passed on yet.",
)


class HeldAnswers:
    """The answers that one gateway holds."""

    def __init__(self, limit_bytes: int = HELD_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    def hold(self) -> "Hold":
        """Returns an empty hold for one answer."""
        return Hold(self)

    def take(self, size_bytes: int) -> bool:
        """Adds to what is held; returns False if that exceeds the limit."""
        if self._held_bytes + size_bytes > self._limit_bytes:
            return False
        self._held_bytes += size_bytes
        _held_gauge.set({}, self._held_bytes)
        return True

    def release(self, size_bytes: int) -> None:
        """Takes away from what is held."""
        self._held_bytes -= size_bytes
        _held_gauge.set({}, self._held_bytes)


class Hold:
    """What one request holds, until it is closed or dropped."""

    def __init__(self, answers: HeldAnswers):
        self._answers = answers
        self._size_bytes = 0
        self._counted_bytes = 0

    def __del__(self) -> None:
        """Releases an answer that nobody passes on, as its caller has left."""
        self.close()

    @property
    def is_counted(self) -> bool:
        """Whether it holds a large answer."""
        return self._counted_bytes > 0

    def add(self, size_bytes: int) -> bool:
        """Adds bytes of an answer; returns False if there is no room."""
        self._size_bytes += size_bytes
        if self._size_bytes <= SMALL_LIMIT_BYTES:
            return True
        uncounted_bytes = self._size_bytes - self._counted_bytes
        if not self._answers.take(uncounted_bytes):
            return False
        self._counted_bytes = self._size_bytes
        return True

    def close(self) -> None:
        """Releases what is held; further calls do nothing."""
        counted_bytes, self._counted_bytes = self._counted_bytes, 0
        self._size_bytes = 0
        if counted_bytes:
            self._answers.release(counted_bytes)


class HeldBlocks:
    """Blocks of a body, whose hold ends with them."""

    def __init__(self, blocks: Iterable[bytes], hold: Hold):
        self._blocks = blocks
        self._hold = hold

    def __iter__(self) -> Iterator[bytes]:
        """Returns the blocks."""
        return iter(self._blocks)

    def close(self) -> None:
        """Ends the hold."""
        self._hold.close()
