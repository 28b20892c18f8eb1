"""Continuous batching of the stand-in engine, step by step.

Each step gives every decoding run one token and prefills a bounded number of
prompt tokens of the others. A step lasts as long as its work: prefill in the
batch therefore slows everybody's next token, as on a real engine.
"""

import heapq
import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

import gevent
import gevent.event
import gevent.queue

from standins import engine_cache

END = -1
"""What a run's queue carries after its last token index."""

ROLE_PREFILL_SCALE = {"prefill": 1.6, "decode": 0.2, "mixed": 1.0}
ROLE_DECODE_SCALE = {"prefill": 0.2, "decode": 1.6, "mixed": 1.0}


class Speeds(NamedTuple):
    """How fast an engine in the role ``mixed`` is, and how much it holds.

    Attributes:
        prefill_tokens_per_s: Prompt tokens.
        decode_tokens_per_s: Output tokens over the whole batch.
        between_tokens_s: Shortest step that decodes.
        step_prefill_tokens: Most prompt tokens prefilled in one step.
        batch_limit_count: Most runs in the batch.
        queue_limit_count: Most runs that wait for a place.
        kv_limit_tokens: Memory, for the share reported as used.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 4_000.0
    between_tokens_s: float = 0.005
    step_prefill_tokens: int = 512
    batch_limit_count: int = 32
    queue_limit_count: int = 64
    kv_limit_tokens: int = 100_000


class Run:
    """One request's way through the batch.

    Attributes:
        events: Token indices in order, then ``END``.
        is_refused: It left the queue unrun; the caller may go elsewhere.
        is_cut: An order or a fault ended it.
    """

    def __init__(
        self,
        request_id: str,
        model: str,
        prompt: str,
        *,
        answer_tokens: int,
        first_index: int = 0,
        priority: int = 5,
        prefill_only: bool = False,
        has_imported_kv: bool = False,
    ):
        self.request_id = request_id
        self.model = model
        self.prompt = prompt
        self.priority = priority
        self.prompt_tokens = len(prompt.split())
        self.answer_tokens = answer_tokens
        self.first_index = first_index
        self.next_index = first_index
        self.prefill_only = prefill_only
        self.has_imported_kv = has_imported_kv
        self.prefill_left_tokens = 0
        self.came_unix_s = time.time()
        self.began_unix_s = 0.0
        self.ended_unix_s = 0.0
        self.is_finished = False
        self.is_cancelled = False
        self.is_refused = False
        self.is_cut = False
        self.has_ended = False
        self.events: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()

    @property
    def token_count(self) -> int:
        """Tokens generated here."""
        return self.next_index - self.first_index

    @property
    def has_begun(self) -> bool:
        """Whether it came into the batch."""
        return self.began_unix_s > 0

    def record(self) -> dict[str, object]:
        """Returns its line of the log; ``None`` for what has not come."""
        return {
            "request_id": self.request_id,
            "model": self.model,
            "came_unix_s": self.came_unix_s,
            "began_unix_s": self.began_unix_s,
            "ended_unix_s": self.ended_unix_s or None,
            "finished": self.is_finished,
            "cancelled": self.is_cancelled,
            "cut": self.is_cut,
            "token_count": self.token_count,
            "resumed_from": self.first_index,
            "prefill_only": self.prefill_only,
        }


class Batch:
    """The queue and the batch of one engine.

    Attributes:
        slow_factor: Makes each step so many times longer.
        log: Every run that began, in order.
    """

    def __init__(
        self,
        speeds: Speeds,
        cache: engine_cache.PrefixCache,
        role: Callable[[], str],
    ):
        self.speeds = speeds
        self.slow_factor = 1.0
        self.log: list[Run] = []
        self.prompt_tokens_total = 0
        self.output_tokens_total = 0
        self._cache = cache
        self._role = role
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, Run]] = []
        self._running: list[tuple[int, int, Run]] = []
        self._work = gevent.event.Event()
        self._due_s = 0.0

    def start(self) -> None:
        """Starts the steps."""
        gevent.spawn(self._run_steps)

    def prefill_tokens_per_s(self) -> float:
        """Returns the prefill speed in the present role."""
        scale = ROLE_PREFILL_SCALE[self._role()]
        return self.speeds.prefill_tokens_per_s * scale / self.slow_factor

    def decode_tokens_per_s(self) -> float:
        """Returns the decode speed of the batch in the present role."""
        scale = ROLE_DECODE_SCALE[self._role()]
        return self.speeds.decode_tokens_per_s * scale / self.slow_factor

    def submit(self, run: Run) -> bool:
        """Queues a run; False when the queue is full."""
        self._drop_ended()
        free_count = self.speeds.batch_limit_count - len(self._running)
        limit_count = self.speeds.queue_limit_count + free_count
        if len(self._waiting) >= limit_count:
            return False
        entry = (run.priority, next(self._arrivals), run)
        heapq.heappush(self._waiting, entry)
        self._work.set()
        return True

    def cancel(self, run: Run) -> None:
        """Stops a run that has not ended."""
        if run.has_ended:
            return
        run.is_cancelled = True
        self._end(run)

    def cancel_by_id(self, request_id: str) -> bool:
        """Stops the runs of a request; False when there is none."""
        found = [r for r in self.live_runs() if r.request_id == request_id]
        for run in found:
            self.cancel(run)
        return bool(found)

    def halt(self) -> list[str]:
        """Cuts every run in the batch and turns the queue away.

        Returns:
            Request ids of the runs that were cut.
        """
        cut_ids = []
        for run in self.live_runs():
            if run.has_begun:
                run.is_cut = True
                cut_ids.append(run.request_id)
            else:
                run.is_refused = True
            self._end(run)
        return cut_ids

    def live_runs(self) -> list[Run]:
        """Returns the runs in the batch, then those that wait."""
        entries = self._running + sorted(self._waiting)
        return [run for _, _, run in entries if not run.has_ended]

    def running(self) -> list[Run]:
        """Returns the runs in the batch."""
        return [run for run in self.live_runs() if run.has_begun]

    def waiting(self) -> list[Run]:
        """Returns the runs that wait for a place."""
        return [run for run in self.live_runs() if not run.has_begun]

    def _end(self, run: Run) -> None:
        run.has_ended = True
        run.ended_unix_s = time.time()
        run.events.put(END)

    def _drop_ended(self) -> None:
        self._running = [e for e in self._running if not e[2].has_ended]
        if any(run.has_ended for _, _, run in self._waiting):
            self._waiting = [e for e in self._waiting if not e[2].has_ended]
            heapq.heapify(self._waiting)

    def _run_steps(self) -> None:
        while True:
            self._drop_ended()
            self._admit()
            if not self._running:
                self._work.clear()
                self._work.wait()
                self._due_s = time.monotonic()
                continue
            self._step()

    def _admit(self) -> None:
        limit_count = self.speeds.batch_limit_count
        while self._waiting and len(self._running) < limit_count:
            entry = heapq.heappop(self._waiting)
            run = entry[2]
            run.began_unix_s = time.time()
            run.prefill_left_tokens = self._prefill_tokens(run)
            self.log.append(run)
            self._running.append(entry)
        self._running.sort()

    def _prefill_tokens(self, run: Run) -> int:
        if run.has_imported_kv:
            return run.first_index
        hit_tokens = self._cache.hit_tokens(run.prompt)
        return run.prompt_tokens - hit_tokens + run.first_index

    def _step(self) -> None:
        decoding, prefilled = self._plan_step()
        prefill_tokens = sum(tokens for _, tokens in prefilled)
        duration_s = prefill_tokens / self.prefill_tokens_per_s()
        if any(not run.prefill_only for run in decoding):
            duration_s += self.speeds.between_tokens_s * self.slow_factor
            duration_s += len(decoding) / self.decode_tokens_per_s()
        self._wait(duration_s)
        for run, tokens in prefilled:
            self._finish_prefill(run, tokens)
        for run in decoding:
            self._emit(run)

    def _plan_step(self) -> tuple[list[Run], list[tuple[Run, int]]]:
        decoding = []
        prefilled = []
        left_tokens = self.speeds.step_prefill_tokens
        for _, _, run in self._running:
            tokens = min(run.prefill_left_tokens, left_tokens)
            left_tokens -= tokens
            if tokens:
                prefilled.append((run, tokens))
            if tokens == run.prefill_left_tokens:
                decoding.append(run)
        return decoding, prefilled

    def _wait(self, duration_s: float) -> None:
        # Steps keep their pace on a busy machine, but make up for no more
        # than one step, so that a pause is not followed by a burst.
        now_s = time.monotonic()
        self._due_s = max(self._due_s, now_s - duration_s) + duration_s
        gevent.sleep(max(0.0, self._due_s - now_s))

    def _finish_prefill(self, run: Run, tokens: int) -> None:
        if run.has_ended:
            return
        run.prefill_left_tokens -= tokens
        self.prompt_tokens_total += tokens

    def _emit(self, run: Run) -> None:
        if run.has_ended:
            return
        if run.next_index == run.first_index:
            self._cache.store(run.prompt)
        if not run.prefill_only and run.next_index < run.answer_tokens:
            run.events.put(run.next_index)
            run.next_index += 1
            self.output_tokens_total += 1
        if run.prefill_only or run.next_index >= run.answer_tokens:
            run.is_finished = True
            self._end(run)
