"""Places at engines: who gets one, who waits, who is refused."""

import random
import unittest
from typing import Any

import gevent

from mulberrywharf import clock, errors, fleet
from mulberrywharf.engines import loads
from mulberrywharf.policy import concurrency, engine_choice, prefix_index
from mulberrywharf.requests import places

_WAIT_S = 10.0
_ENGINE = "engine-1"


def _reader(count: int = 1) -> loads.LoadReader:
    """Returns a reader that was told of ready engines."""
    reader = loads.LoadReader.from_config()
    engine_ids = [f"engine-{number}" for number in range(1, count + 1)]
    reader.set_vms(
        fleet.VmRecord(
            engine_id,
            "engine",
            "regina-hall",
            fleet.Address("127.0.0.1", 9000 + number),
        )
        for number, engine_id in enumerate(engine_ids)
    )
    for engine_id in engine_ids:
        report = fleet.LoadReport(engine_id, "mixed", "ready", ("tagger",))
        reader.accept(report, 0.0)
    return reader


class PlacesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = _reader()
        self.places = self._places(self.reader)
        self.slots_count = (
            concurrency.ConcurrencyLimit.from_config().limit_count
        )

    def _places(self, reader: loads.LoadReader) -> places.EnginePlaces:
        made = places.EnginePlaces(
            reader,
            prefix_index.PrefixIndex.from_config(),
            system_clock=clock.SystemClock(),
            rng=random.Random(1),
        )
        made.start()
        self.addCleanup(made.close)
        return made

    def ask(self, customer: str = "a", **changes: Any) -> places.Ask:
        shape = engine_choice.RequestShape(
            changes.pop("model", "tagger"),
            prompt_tokens=4,
            expected_output_tokens=4,
            priority=changes.pop("priority", 0),
        )
        deadline_s = self.places.now_s() + changes.pop("time_left_s", 60.0)
        return places.Ask(shape, customer, 1.0, deadline_s, **changes)

    def fill(self) -> list[places.Place]:
        return [
            self.places.take(self.ask("filler"))
            for _ in range(self.slots_count)
        ]

    def waiting(self, ask: places.Ask) -> Any:
        """Begins to wait for a place; returns once it is queued."""
        before_count = self.places.queued_count()
        greenlet = gevent.spawn(self.places.take, ask)
        self.addCleanup(greenlet.kill)
        with gevent.Timeout(_WAIT_S):
            while self.places.queued_count() == before_count:
                gevent.sleep(0)
        return greenlet

    def test_released_place_goes_to_who_waits(self) -> None:
        taken = self.fill()
        waiting = self.waiting(self.ask())
        taken[0].release(failed=False)
        self.assertEqual(
            waiting.get(timeout=_WAIT_S).choice.decode.vm_id, _ENGINE
        )

    def test_newcomer_does_not_overtake_who_waits(self) -> None:
        taken = self.fill()
        waiting = self.waiting(self.ask())
        taken[0].release(failed=False)
        # The place is handed out, and its new holder has not run yet.
        with self.assertRaises(errors.OverloadedError):
            self.places.take(self.ask(time_left_s=0.3))
        self.assertTrue(waiting.ready())

    def test_customers_take_turns(self) -> None:
        taken = self.fill()
        flood = [self.waiting(self.ask("flood")) for _ in range(4)]
        other = self.waiting(self.ask("other"))
        for place in taken[:2]:
            place.release(failed=False)
        other.get(timeout=_WAIT_S)
        self.assertEqual(sum(greenlet.ready() for greenlet in flood), 1)

    def test_place_of_a_caller_who_left_goes_on(self) -> None:
        """A slot is lost with each caller that leaves the queue.

        Symptom: engines are idle while requests wait.
        Sequence: a place is handed to a request whose caller leaves in the
        same instant.
        Cause: the place was handed out and never used.
        """
        taken = self.fill()
        leaving = self.waiting(self.ask("a"))
        staying = self.waiting(self.ask("b"))
        # The queue hands the place out before the exception is thrown.
        leaving.kill(errors.CallerGoneError("left"), block=False)
        taken[0].release(failed=False)
        self.assertEqual(self.places.queued_count(), 1)
        staying.get(timeout=_WAIT_S)

    def test_waits_no_longer_than_its_deadline(self) -> None:
        self.fill()
        ask = self.ask(time_left_s=0.3)
        with self.assertRaises(errors.OverloadedError) as caught:
            self.places.take(ask)
        self.assertEqual(caught.exception.outcome, "not-run")
        self.assertIsNotNone(caught.exception.retry_after_s)
        self.assertEqual(self.places.queued_count(), 0)

    def test_refuses_at_once_what_cannot_be_met(self) -> None:
        cases = {
            "deadline": (
                self.ask(time_left_s=0.0),
                errors.DeadlineExceededError,
            ),
            "model": (self.ask(model="unheard-of"), errors.NoEngineError),
        }
        for name, (ask, kind) in cases.items():
            with self.subTest(name), self.assertRaises(kind):
                self.places.take(ask)

    def test_resumed_answer_does_not_queue(self) -> None:
        reader = _reader(2)
        made = self._places(reader)
        for _ in range(2 * self.slots_count):
            made.take(self.ask())
        resumed = made.take_for_resume(self.ask(), {_ENGINE})
        self.assertEqual(resumed.choice.decode.vm_id, "engine-2")

    def test_refusals_shrink_the_engine_s_limit(self) -> None:
        self.places.on_refused(_ENGINE)
        admitted = 0
        while not self._would_wait():
            self.places.take(self.ask("filler"))
            admitted += 1
        self.assertLess(admitted, self.slots_count)

    def test_slow_answers_shrink_the_engine_s_limit(self) -> None:
        for target_s, is_smaller in (
            (0.028, True),
            (0.2, False),
            (None, False),
        ):
            with self.subTest(target_s=target_s):
                made = self._places(self.reader)
                ask = self.ask(between_tokens_target_s=target_s)
                place = made.take(ask)
                for _ in range(5):
                    place.on_pace(0.1)
                place.release(failed=False)
                limit_count = made._limit(_ENGINE).limit_count
                self.assertEqual(limit_count < self.slots_count, is_smaller)

    def test_engine_with_slow_answers_is_avoided(self) -> None:
        """Answers crawl from one engine that goes on being chosen.

        Symptom: one answer in four is slow while reports look alike.
        Sequence: an accelerator is throttled; reports name usual speeds.
        Cause: what the router's own answers show was not looked at.
        """
        reader = _reader(4)
        made = self._places(reader)
        for _ in range(40):
            place = made.take(self.ask())
            is_slow = place.choice.decode.vm_id == _ENGINE
            place.on_pace(0.1 if is_slow else 0.01)
            place.release(failed=False)
        chosen = [made.take(self.ask()) for _ in range(6)]
        self.assertNotIn(_ENGINE, [p.choice.decode.vm_id for p in chosen])

    def test_engine_that_went_is_forgotten(self) -> None:
        self.places.take(self.ask()).on_pace(0.1)
        self.reader.set_vms([])
        with gevent.Timeout(_WAIT_S):
            while self.places._limits or self.places._paces._paces:
                gevent.sleep(0.01)

    def _would_wait(self) -> bool:
        view = self.reader.view(_ENGINE)
        assert view is not None
        return not self.places._has_slot(view)

    def test_release_counts_once(self) -> None:
        place = self.places.take(self.ask())
        place.release(failed=False)
        place.release(failed=False)
        view = self.reader.view(_ENGINE)
        assert view is not None
        self.assertEqual(view.own_in_flight_count, 0)


if __name__ == "__main__":
    unittest.main()
