"""Tests the allocation of slots at engines."""

import random
import unittest
from typing import Any

import gevent

from mulberrywharf import clock, errors, fleet
from mulberrywharf.engines import load_reader
from mulberrywharf.policy import concurrency, engine_choice, prefix_index
from mulberrywharf.requests import places

_WAIT_S = 10.0
_ENGINE = "engine-1"


def _reader(count: int = 1) -> load_reader.LoadReader:
    """Returns a load reader with reports of ``count`` ready engines."""
    reader = load_reader.LoadReader.from_config()
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
        reader.record_report(report, 0.0)
    return reader


class PlacesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = _reader()
        self.places = self._places(self.reader)
        self.slots_count = (
            concurrency.ConcurrencyLimit.from_config().limit_count
        )

    def _places(self, reader: load_reader.LoadReader) -> places.EnginePlaces:
        engine_places = places.EnginePlaces(
            reader,
            prefix_index.PrefixIndex.from_config(),
            system_clock=clock.SystemClock(),
            rng=random.Random(1),
        )
        engine_places.start()
        self.addCleanup(engine_places.close)
        return engine_places

    def slot_request(
        self, customer: str = "a", **changes: Any
    ) -> places.SlotRequest:
        shape = engine_choice.RequestShape(
            changes.pop("model", "tagger"),
            prompt_tokens=4,
            expected_output_tokens=4,
            priority=changes.pop("priority", 0),
        )
        deadline_s = self.places.now_s() + changes.pop("time_left_s", 60.0)
        return places.SlotRequest(shape, customer, 1.0, deadline_s, **changes)

    def fill_all_slots(self) -> list[places.EngineSlot]:
        return [
            self.places.acquire(self.slot_request("filler"))
            for _ in range(self.slots_count)
        ]

    def start_waiting(self, slot_request: places.SlotRequest) -> Any:
        """Returns a greenlet that waits in the queue for a slot."""
        before_count = self.places.queued_count()
        greenlet = gevent.spawn(self.places.acquire, slot_request)
        self.addCleanup(greenlet.kill)
        with gevent.Timeout(_WAIT_S):
            while self.places.queued_count() == before_count:
                gevent.sleep(0)
        return greenlet

    def test_released_slot_goes_to_waiting_request(self) -> None:
        taken = self.fill_all_slots()
        waiting = self.start_waiting(self.slot_request())
        taken[0].release(failed=False)
        self.assertEqual(
            waiting.get(timeout=_WAIT_S).choice.decode.vm_id, _ENGINE
        )

    def test_new_request_does_not_overtake_waiting_request(self) -> None:
        taken = self.fill_all_slots()
        waiting = self.start_waiting(self.slot_request())
        taken[0].release(failed=False)
        # The waiting request was dispatched but its greenlet has not run yet.
        with self.assertRaises(errors.OverloadedError):
            self.places.acquire(self.slot_request(time_left_s=0.3))
        self.assertTrue(waiting.ready())

    def test_customers_get_slots_in_turn(self) -> None:
        taken = self.fill_all_slots()
        flood = [
            self.start_waiting(self.slot_request("flood")) for _ in range(4)
        ]
        other = self.start_waiting(self.slot_request("other"))
        for slot in taken[:2]:
            slot.release(failed=False)
        other.get(timeout=_WAIT_S)
        self.assertEqual(sum(greenlet.ready() for greenlet in flood), 1)

    def test_slot_of_disconnected_caller_goes_to_next_request(self) -> None:
        """Guards against losing a slot when a caller disconnects.

        A request is dispatched at the same instant as its caller disconnects.
        If its slot were not passed on, engines would be idle while requests
        wait.
        """
        taken = self.fill_all_slots()
        leaving = self.start_waiting(self.slot_request("a"))
        staying = self.start_waiting(self.slot_request("b"))
        # The request is dispatched before the exception is thrown into it.
        leaving.kill(errors.CallerGoneError("left"), block=False)
        taken[0].release(failed=False)
        self.assertEqual(self.places.queued_count(), 1)
        staying.get(timeout=_WAIT_S)

    def test_request_does_not_wait_past_its_deadline(self) -> None:
        self.fill_all_slots()
        slot_request = self.slot_request(time_left_s=0.3)
        with self.assertRaises(errors.OverloadedError) as caught:
            self.places.acquire(slot_request)
        self.assertEqual(caught.exception.outcome, "not-run")
        self.assertIsNotNone(caught.exception.retry_after_s)
        self.assertEqual(self.places.queued_count(), 0)

    def test_request_that_cannot_be_served_is_refused_at_once(self) -> None:
        cases = {
            "deadline": (
                self.slot_request(time_left_s=0.0),
                errors.DeadlineExceededError,
            ),
            "model": (
                self.slot_request(model="unheard-of"),
                errors.NoEngineError,
            ),
        }
        for name, (slot_request, kind) in cases.items():
            with self.subTest(name), self.assertRaises(kind):
                self.places.acquire(slot_request)

    def test_resumed_answer_does_not_wait_in_queue(self) -> None:
        reader = _reader(2)
        engine_places = self._places(reader)
        for _ in range(2 * self.slots_count):
            engine_places.acquire(self.slot_request())
        resumed = engine_places.acquire_for_resume(
            self.slot_request(), {_ENGINE}
        )
        self.assertEqual(resumed.choice.decode.vm_id, "engine-2")

    def test_refusal_lowers_limit_of_engine(self) -> None:
        self.places.on_refused(_ENGINE)
        admitted = 0
        while not self._would_wait():
            self.places.acquire(self.slot_request("filler"))
            admitted += 1
        self.assertLess(admitted, self.slots_count)

    def test_slow_answers_lower_limit_of_engine(self) -> None:
        for target_s, is_smaller in (
            (0.028, True),
            (0.2, False),
            (None, False),
        ):
            with self.subTest(target_s=target_s):
                engine_places = self._places(self.reader)
                slot_request = self.slot_request(
                    between_tokens_target_s=target_s
                )
                slot = engine_places.acquire(slot_request)
                for _ in range(5):
                    slot.on_pace(0.1)
                slot.release(failed=False)
                limit_count = engine_places._limit(_ENGINE).limit_count
                self.assertEqual(limit_count < self.slots_count, is_smaller)

    def test_engine_with_slow_answers_is_avoided(self) -> None:
        """Guards against choosing an engine that is slower than it reports.

        The accelerator of one of four engines is throttled, but its reports
        still state the usual speed. If the router ignored the measured pace
        of its own answers, one answer in four would be slow.
        """
        reader = _reader(4)
        engine_places = self._places(reader)
        for _ in range(40):
            slot = engine_places.acquire(self.slot_request())
            is_slow = slot.choice.decode.vm_id == _ENGINE
            slot.on_pace(0.1 if is_slow else 0.01)
            slot.release(failed=False)
        chosen = [engine_places.acquire(self.slot_request()) for _ in range(6)]
        self.assertNotIn(_ENGINE, [p.choice.decode.vm_id for p in chosen])

    def test_state_of_removed_engine_is_dropped(self) -> None:
        self.places.acquire(self.slot_request()).on_pace(0.1)
        self.reader.set_vms([])
        with gevent.Timeout(_WAIT_S):
            while self.places._limits or self.places._paces._paces:
                gevent.sleep(0.01)

    def _would_wait(self) -> bool:
        view = self.reader.view(_ENGINE)
        assert view is not None
        return not self.places._has_slot(view)

    def test_second_release_has_no_effect(self) -> None:
        slot = self.places.acquire(self.slot_request())
        slot.release(failed=False)
        slot.release(failed=False)
        view = self.reader.view(_ENGINE)
        assert view is not None
        self.assertEqual(view.own_in_flight_count, 0)


if __name__ == "__main__":
    unittest.main()
