"""Tests of the readers of engines and the coarse loads in heartbeats."""

import collections
import unittest

from mulberrywharf import fleet
from mulberrywharf.nodes import slices
from tests import builders_mesh, builders_nodes
from tests.builders_claims import ListedVms, wait_until

_ENGINES = [f"engine-{i}" for i in range(400)]
_VMS = [f"entry-{i}" for i in range(20)]


def _report(engine_id="engine-1", **fields):
    return fleet.LoadReport(engine_id, "mixed", "ready", ("m",), **fields)


class ReadersTest(unittest.TestCase):
    def test_every_engine_has_one_reader_and_the_work_is_spread(self):
        reader_of = slices.readers(_ENGINES, _VMS)
        counts = collections.Counter(reader_of.values())
        self.assertEqual(len(reader_of), len(_ENGINES))
        self.assertLess(max(counts.values()), 3 * len(_ENGINES) / len(_VMS))

    def test_loss_of_a_vm_only_moves_the_engines_that_it_read(self):
        before = slices.readers(_ENGINES, _VMS)
        after = slices.readers(_ENGINES, _VMS[1:])
        for engine_id in _ENGINES:
            if before[engine_id] != _VMS[0]:
                self.assertEqual(before[engine_id], after[engine_id])
            else:
                self.assertNotEqual(after[engine_id], _VMS[0])

    def test_no_entry_vm(self):
        self.assertEqual(slices.readers(["e"], []), {"e": ""})


class QuantiseTest(unittest.TestCase):
    def test_quantisation_error_is_bounded(self):
        for wait_ms in (0, 10, 35, 100, 700, 3000, 60_000):
            for count in (0, 1, 5, 20, 150):
                with self.subTest(wait_ms=wait_ms, count=count):
                    report = _report(
                        waiting_prompt_tokens=wait_ms,
                        prefill_tokens_per_s=1000.0,
                        running_count=count,
                    )
                    load = slices.dequantise(slices.quantise(report))
                    error_s = abs(load.wait_s - wait_ms / 1000)
                    self.assertLessEqual(error_s, 0.35 * wait_ms / 1000)
                    self.assertLessEqual(
                        abs(load.request_count - count), 0.25 * count
                    )

    def test_quantised_wait_never_decreases_with_more_tokens(self):
        loads = [
            slices.dequantise(
                slices.quantise(_report(waiting_prompt_tokens=tokens))
            ).wait_s
            for tokens in range(0, 2_000_000, 777)
        ]
        self.assertEqual(loads, sorted(loads))

    def test_an_engine_that_does_not_serve(self):
        report = _report()._replace(state="draining")
        load = slices.dequantise(slices.quantise(report))
        self.assertFalse(load.is_serving)
        self.assertEqual(slices.refresh(report, load).state, "draining")
        self.assertEqual(slices.refresh(_report(), load).state, "unknown")

    def test_every_byte_can_be_decoded(self):
        for byte in range(256):
            slices.dequantise(byte)


class LoadTableTest(unittest.TestCase):
    def test_columns_round_trip_with_age(self):
        engines = _ENGINES[:7]
        table = slices.LoadTable()
        for index, engine_id in enumerate(engines[:5]):
            table.put(engine_id, 16 + index, 100.0 - index)
        other = slices.LoadTable()
        other.merge(engines, *table.columns(engines, 100.2), now_s=500.0)
        read = other.read(500.0)
        self.assertEqual(sorted(read), engines[:5])
        for index, engine_id in enumerate(engines[:5]):
            age_s = read[engine_id].age_s
            self.assertGreaterEqual(age_s, index + 0.2)
            self.assertLessEqual(age_s, index + 0.2 + slices.AGE_STEP_S)

    def test_an_older_load_does_not_replace_a_newer_one(self):
        table = slices.LoadTable()
        table.put("e", 1, 10.0)
        table.put("e", 2, 9.0)
        self.assertEqual(table.columns(["e"], 10.0)[0], b"\x01")

    def test_a_load_that_is_passed_on_repeatedly_expires(self):
        """The load of a dead engine must expire while nodes pass it on.

        If each node rounded the age down, the load would appear two seconds
        old for minutes.
        """
        first, second = slices.LoadTable(), slices.LoadTable()
        first.put("e", 1, 0.0)
        for hop in range(1, 200):
            now_s = hop * 0.1
            sender, receiver = (first, second) if hop % 2 else (second, first)
            receiver.merge(["e"], *sender.columns(["e"], now_s), now_s=now_s)
        for table in (first, second):
            self.assertGreaterEqual(table.read(20.0)["e"].age_s, 19.5)
            self.assertEqual(table.columns(["e"], 20.0)[1], b"\xff")

    def test_columns_of_another_length_are_ignored(self):
        table = slices.LoadTable()
        for loads, ages in ((b"", b""), (b"\x01\x02", b"\x00"), (b"\x01", b"")):
            table.merge(["e"], loads, ages, 1.0)
        self.assertEqual(dict(table.read(1.0)), {})


class SharedLoadsTest(unittest.TestCase):
    def test_a_load_reaches_every_node_of_both_zones(self):
        vm_list = ListedVms()
        engine = builders_nodes.engine_vm(1)
        vm_list.records.append(engine)
        _, here = builders_mesh.start_zone(3, vm_list)
        _, there = builders_mesh.start_zone(1, vm_list, zone="winnipeg-hall")
        nodes = here + there
        for node in nodes:
            self.addCleanup(node.close)
        wait_until(lambda: any(n.mesh.engine_slice() for n in here))
        readers = [n for n in here if n.mesh.engine_slice()]
        self.assertEqual(len(readers), 1)
        readers[0].mesh.publish_load(
            _report(
                engine.vm_id,
                running_count=8,
                reported_unix_s=readers[0].mesh._clock.unix_s(),
            )
        )
        for node in nodes:
            wait_until(lambda n=node: engine.vm_id in n.mesh.coarse_loads())
            aged = node.mesh.coarse_loads()[engine.vm_id]
            self.assertEqual(aged.load.request_count, 8)


if __name__ == "__main__":
    unittest.main()
