"""Tests of the VM list reader with lag, outages and invalid lists."""

import unittest

from mulberrywharf import errors, fleet
from mulberrywharf.platform_service import vm_list
from standins.vm_list import VmListStandin
from tests import builders_platform as builders


class VmListReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = VmListStandin()
        self.service.start()
        self.addCleanup(self.service.close)
        self.reader = vm_list.VmListReader(
            builders.endpoint(self.service.port),
            timeout_s=0.3,
            interval_s=0.05,
        )
        self.addCleanup(self.reader.close)

    def read(self, *vms: dict) -> list[str]:
        self.service.set_vms(list(vms))
        self.reader.read_once()
        return [vm.vm_id for vm in self.reader.vms()]

    def test_all_fields_are_decoded(self) -> None:
        self.read(
            builders.vm_on_wire(
                "e1",
                kind="entry",
                state="leaving",
                operators_ip="127.0.0.2",
                operators_port=9,
                colour="unknown to us",
            )
        )
        self.assertEqual(
            self.reader.vms(),
            [
                fleet.VmRecord(
                    "e1",
                    "entry",
                    "zone-a",
                    fleet.Address("127.0.0.1", 80),
                    "leaving",
                    operators_address=fleet.Address("127.0.0.2", 9),
                )
            ],
        )

    def test_unchanged_list_is_sent_once(self) -> None:
        self.service.set_vms([builders.vm_on_wire("e1")])
        self.reader.start()
        self.assertTrue(self.reader.wait(builders.WAIT_LIMIT_S))
        reads_count = self.service.reads_count
        builders.wait_until(lambda: self.service.reads_count > reads_count + 3)
        self.assertEqual(self.service.full_answers_count, 1)
        self.assertLess(self.reader.age_s(), builders.WAIT_LIMIT_S)

    def test_list_is_kept_and_ages_during_an_outage(self) -> None:
        """Guards against losing the whole fleet while the list is unavailable.

        The list has been read, then its service goes down or responds slowly.
        A failed read must not count as an empty list.
        """
        self.read(builders.vm_on_wire("e1"))
        for faults in ({"down": True}, {"delay_s": 0.5}):
            with self.subTest(faults=faults):
                self.service.faults = faults
                age_s = self.reader.age_s()
                failure = self.reader.read_once().unwrap_err()
                self.assertIsInstance(failure, errors.PlatformUnavailableError)
                self.assertEqual(self.reader.vms()[0].vm_id, "e1")
                self.assertGreater(self.reader.age_s(), age_s)

    def test_invalid_lists_are_ignored(self) -> None:
        """Guards against stopping all service while every VM is healthy.

        The list becomes empty or has malformed entries. A list is not valid
        just because it can be parsed.
        """
        self.read(builders.vm_on_wire("e1"), builders.vm_on_wire("e2"))
        self.assertEqual(self.read(), ["e1", "e2"])
        malformed = {"vm_id": "bad"}
        self.assertEqual(self.read(malformed), ["e1", "e2"])
        good = builders.vm_on_wire("e3")
        self.assertEqual(self.read(malformed, good), ["e3"])

    def test_older_list_does_not_make_a_leaving_vm_live(self) -> None:
        """Guards against sending new work to a VM that is shutting down.

        One replica of the list reports the VM as leaving, and the next read
        reaches a replica that lags. The last answer must not be assumed to be
        the newest.
        """
        self.read(builders.vm_on_wire("e1"))
        older = self.service.current()
        self.read(builders.vm_on_wire("e1", state="leaving"))
        self.service.pin(older)
        self.reader.read_once().unwrap()
        self.assertEqual(self.reader.vms()[0].state, "leaving")
        for _ in range(vm_list.OLDER_ANSWERS_LIMIT_COUNT):
            self.reader.read_once()
        self.assertEqual(self.reader.vms()[0].state, "live")


if __name__ == "__main__":
    unittest.main()
