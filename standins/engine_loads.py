"""The stand-in engine's load reports, which lag."""

import collections
import time

import gevent

from mulberrywharf import fleet
from standins import engine_batch, engine_orders

_SNAPSHOTS_PER_LAG = 10
_LONGEST_INTERVAL_S = 0.2


class Loads:
    """Takes the engine's figures and tells them some time later."""

    def __init__(
        self,
        engine_id: str,
        lag_s: float,
        batch: engine_batch.Batch,
        orders: engine_orders.Orders,
    ):
        self._engine_id = engine_id
        self._lag_s = lag_s
        self._batch = batch
        self._orders = orders
        self._taken: collections.deque[fleet.LoadReport] = collections.deque()

    def start(self) -> None:
        """Starts taking snapshots, if reports lag at all."""
        if self._lag_s > 0:
            self._taken.append(self.live())
            gevent.spawn(self._take_snapshots)

    def report(self) -> fleet.LoadReport:
        """Returns the newest report that is as old as the lag."""
        if self._lag_s <= 0:
            return self.live()
        due_unix_s = time.time() - self._lag_s
        while (
            len(self._taken) > 1
            and self._taken[1].reported_unix_s <= due_unix_s
        ):
            self._taken.popleft()
        return self._taken[0]

    def live(self) -> fleet.LoadReport:
        """Returns the figures of this instant."""
        running = self._batch.running()
        waiting = self._batch.waiting()
        used_tokens = sum(r.prompt_tokens + r.token_count for r in running)
        limit_tokens = self._batch.speeds.kv_limit_tokens
        return fleet.LoadReport(
            engine_id=self._engine_id,
            role=self._orders.role,  # type: ignore[arg-type]
            state=self._orders.state,  # type: ignore[arg-type]
            models=tuple(self._orders.models),
            adapters=tuple(self._orders.adapters),
            version=self._orders.version,
            waiting_count=len(waiting),
            running_count=len(running),
            waiting_prompt_tokens=sum(r.prompt_tokens for r in waiting)
            + sum(r.prefill_left_tokens for r in running),
            running_output_tokens=sum(r.token_count for r in running),
            kv_used_share=min(1.0, used_tokens / limit_tokens),
            prefill_tokens_per_s=self._batch.prefill_tokens_per_s(),
            decode_tokens_per_s=self._batch.decode_tokens_per_s(),
            prompt_tokens_total=self._batch.prompt_tokens_total,
            output_tokens_total=self._batch.output_tokens_total,
            order_id=self._orders.applied_order_id,
            fencing_number=self._orders.fencing_number,
            reported_unix_s=time.time(),
        )

    def _take_snapshots(self) -> None:
        interval_s = min(self._lag_s / _SNAPSHOTS_PER_LAG, _LONGEST_INTERVAL_S)
        while True:
            gevent.sleep(interval_s)
            self._taken.append(self.live())
            self.report()
