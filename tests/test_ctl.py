"""Tests the exit codes and the output of mulberryctl."""

import json
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any
from unittest import mock

import gevent

from mulberrywharf.authority import order_records
from mulberrywharf.operators.status_conversion import (
    rule_status,
    situation_from_status,
    situation_status,
)
from mulberrywharf.platform_service import config_store
from mulberrywharf.rules.match import match_once
from standins.vm_list import VmListStandin
from tests import builders_authority, builders_platform, builders_rules
from tests import builders_operators as build
from tests.builders_platform import DEPLOYMENT

FLAPPING = builders_rules.document(
    builders_rules.rule("contracts", None, builders_rules.roles(prefill=0.5)),
    default=builders_rules.roles(prefill=0.2),
)
PLAIN = builders_rules.document()


def _write(content: Any, test: unittest.TestCase) -> str:
    directory = tempfile.TemporaryDirectory(prefix="mulberry-test-")
    test.addCleanup(directory.cleanup)
    path = pathlib.Path(directory.name) / "rules.json"
    text = content if isinstance(content, str) else json.dumps(content)
    path.write_text(text, encoding="utf-8")
    return str(path)


class CheckTest(unittest.TestCase):
    def test_check_exit_code_depends_on_faults_and_warnings(self):
        cases = [
            (PLAIN, [], 0, "no fault, 0 warnings"),
            (FLAPPING, [], 0, "warning: rules.0"),
            (FLAPPING, ["--strict"], 1, "rules.0"),
            ({"rules": []}, [], 1, "default: Field required"),
            ("{", [], 1, "document"),
        ]
        for content, options, exit_code, text in cases:
            with self.subTest(content=content, options=options):
                path = _write(content, self)
                found = build.run_ctl("check", path, *options)
                self.assertEqual(found.exit_code, exit_code)
                self.assertIn(text, found.stdout + found.stderr)

    def test_json_output_lists_faults(self):
        path = _write({"rules": []}, self)
        found = build.run_ctl("--output", "json", "check", path)
        self.assertEqual(found.value()["faults"][0]["path"], "default")

    def test_missing_file_exits_with_1(self):
        self.assertEqual(build.run_ctl("check", "/no/such").exit_code, 1)

    def test_check_runs_as_a_process(self):
        path = _write(PLAIN, self)
        command = [sys.executable, "-m", "mulberrywharf.programs.ctl"]
        done = subprocess.run(
            [*command, "check", path], capture_output=True, timeout=60
        )
        self.assertEqual((done.returncode, done.stderr), (0, b""))


class UsageTest(unittest.TestCase):
    def test_invalid_arguments_exit_with_2(self):
        cases = [
            [],
            ["unknown"],
            ["--platform", "localhost:1", "show"],
            ["--platform", "127.0.0.1", "show"],
            ["--platform", "127.0.0.1:99999", "show"],
            ["--timeout-s", "-1", "show"],
            ["apply", "f", "--author", "ana", "--note", "a\x1b[2Jb"],
            ["apply", "f", "--author", "", "--note", "why"],
            ["apply", "f", "--base-version", "-1"],
            ["history", "--count", "-1"],
        ]
        for arguments in cases:
            with (
                self.subTest(arguments=arguments),
                mock.patch("sys.stderr"),
                self.assertRaises(SystemExit) as raised,
            ):
                build.run_ctl(*arguments)
            self.assertEqual(raised.exception.code, 2)

    def test_commands_without_platform_options_give_advice(self):
        for command in ("show", "history", "status", "explain", "handover"):
            with self.subTest(command=command):
                found = build.run_ctl(command)
                self.assertEqual(found.exit_code, 2)
                self.assertIn("next: Put --", found.stderr)


class SituationStatusTest(unittest.TestCase):
    def test_reported_situation_matches_the_same_rule(self):
        views = (
            builders_rules.situation(0.7, customer_requests_per_s={"a": 2.0}),
            builders_rules.situation(None, rates_age_s=float("inf")),
            builders_rules.situation(absent_requests_per_s=None),
            builders_rules.situation(
                rates_age_s=float("inf"), rates_given_up=True
            ),
            builders_rules.situation(0.7, age_s=99.0),
        )
        document = builders_rules.document(
            builders_rules.rule("rates", {"customer": "a"}),
            builders_rules.rule("long"),
        )
        for view in views:
            with self.subTest(view=view):
                status = json.loads(json.dumps(situation_status(view)))
                found = match_once(document, situation_from_status(status))
                expected = match_once(document, view)
                self.assertEqual(found[:3], expected[:3])
                self.assertEqual(found.undecided, expected.undecided)


class LiveTest(unittest.TestCase):
    """Runs commands against a key-value service and nodes."""

    def setUp(self):
        patched = mock.patch.dict(
            "os.environ", {"MULBERRY_OPERATOR_TOKEN": build.TOKEN}
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.platform = self.enterContext(builders_platform.running_key_value())
        self.client = builders_platform.client_for(self.platform.port)
        self.addCleanup(self.client.close)
        self.store = config_store.ConfigStore(self.client, DEPLOYMENT)

    def ctl(self, *arguments: str, nodes: tuple[int, ...] = ()) -> Any:
        options = ["--deployment", DEPLOYMENT, "--timeout-s", "2"]
        options += ["--platform", f"127.0.0.1:{self.platform.port}"]
        for port in nodes:
            options += ["--node", f"127.0.0.1:{port}"]
        return build.run_ctl(*options, *arguments)

    def apply(
        self,
        content: Any,
        *options: str,
        nodes: tuple[int, ...] = (),
        author: str = "ana",
    ) -> Any:
        path = _write(content, self)
        common = ["--author", author, "--note", f"by {author}"]
        return self.ctl("apply", path, *common, *options, nodes=nodes)

    def node(self, **changes: Any) -> int:
        """Starts a node that reports the stored configuration version.

        Args:
            changes: Fields of the status report to replace; with
                ``config_version``, the node reports that version instead.
        """

        def report() -> Any:
            if "config_version" in changes:
                return build.status(**changes)
            held = self.store.read().unwrap()
            version = held.version if held else 0
            return build.status(config_version=version, **changes)

        server = build.start_node(report)
        self.addCleanup(server.close)
        return server.port

    def test_apply_waits_until_all_nodes_run_the_version(self):
        nodes = (self.node(), self.node(vm_id="entry-2"))
        found = self.apply(PLAIN, "--base-version", "0", nodes=nodes)
        self.assertEqual(found.exit_code, 0, found)
        self.assertIn("in force on all 2 nodes", found.stdout)
        self.assertIn("entry-2", found.stdout)

    def test_apply_lists_outdated_and_unreachable_nodes(self):
        nodes = (
            self.node(),
            self.node(vm_id="entry-2", config_version=0),
            builders_platform.closed_port(),
        )
        options = ["--base-version", "0", "--wait-s", "0.5"]
        found = self.apply(PLAIN, *options, nodes=nodes)
        self.assertEqual(found.exit_code, 5)
        for text in (
            "accepted as version 1",
            "entry-1 router",
            "still runs version 0",
            f"127.0.0.1:{nodes[2]}: not reached",
            "in force on 1 of 3 nodes",
        ):
            self.assertIn(text, found.stdout)

    def test_apply_with_an_outdated_base_version_is_rejected(self):
        """Two shifts edit the same version, and both apply it.

        Guards against the second write silently removing a rule of the
        first. That happens if the second write uses the version stored at
        that time as its base, not the version that was edited.
        """
        nodes = (self.node(),)
        self.apply(PLAIN, "--base-version", "0", nodes=nodes)
        shown = self.ctl("show").stdout
        first = self.apply(
            shown.replace('"hold"', '"prefer_zone": "hall-a", "hold"'),
            nodes=nodes,
        )
        self.assertEqual(first.exit_code, 0, first)
        second = self.apply(shown, nodes=nodes, author="luis")
        self.assertEqual(second.exit_code, 3)
        self.assertIn("by ana", second.stderr)
        self.assertIn("default.prefer_zone", second.stderr)
        held = self.store.read().unwrap()
        self.assertEqual((held.version, held.author), (2, "ana"))

    def test_only_one_of_several_concurrent_applies_succeeds(self):
        """Several operators apply rules at the same time.

        Guards against reporting success to more than one of them. That
        happens if all read version 0 and write without comparing the version
        that they replace, so that only the last write remains.
        """
        self.platform.faults["delay_s"] = 0.02
        nodes = (self.node(),)
        authors = ("ana", "luis", "mei")
        runs = [
            gevent.spawn(
                self.apply,
                builders_rules.document(default={"prefer_zone": author}),
                "--base-version",
                "0",
                nodes=nodes,
                author=author,
            )
            for author in authors
        ]
        gevent.joinall(runs, timeout=builders_platform.WAIT_LIMIT_S)
        codes = {
            author: run.value.exit_code
            for author, run in zip(authors, runs, strict=True)
        }
        self.assertEqual(sorted(codes.values()), [0, 3, 3])
        held = self.store.read().unwrap()
        self.assertEqual(codes[held.author], 0)
        self.assertEqual(held.document["default"]["prefer_zone"], held.author)
        self.assertEqual(len(held.audit), 1)

    def test_apply_with_a_lost_answer_takes_effect_once(self):
        """The service writes the change, then the connection breaks.

        Guards against treating the lost answer as a failed write. The change
        would then conflict with itself or be listed twice in the history.
        """
        self.platform.faults["lose_answers_count"] = 1
        nodes = (self.node(),)
        found = self.apply(PLAIN, "--base-version", "0", nodes=nodes)
        self.assertEqual(found.exit_code, 0, found)
        self.assertEqual(len(self.store.read().unwrap().audit), 1)

    def test_repeat_with_the_same_change_id_takes_effect_once(self):
        nodes = (self.node(),)
        options = ["--base-version", "0", "--change-id", "c-1"]
        for _ in range(2):
            found = self.apply(PLAIN, *options, nodes=nodes)
            self.assertEqual(found.exit_code, 0, found)
        other = self.apply(FLAPPING, *options, nodes=nodes)
        self.assertEqual(other.exit_code, 2)
        self.assertEqual(self.store.read().unwrap().version, 1)

    def test_apply_to_a_service_behind_the_nodes_is_rejected(self):
        nodes = (self.node(config_version=9),)
        found = self.apply(PLAIN, "--base-version", "0", nodes=nodes)
        self.assertEqual(found.exit_code, 4)
        self.assertIn("config-store-behind", found.stderr)
        self.assertIsNone(self.store.read().unwrap())

    def test_apply_without_a_base_version_is_rejected(self):
        found = self.apply(PLAIN, nodes=(self.node(),))
        self.assertEqual(found.exit_code, 2)
        self.assertIn("--base-version", found.stderr)

    def test_unreachable_platform_exits_with_4(self):
        self.platform.faults["down"] = True
        for command in ("show", "history"):
            with self.subTest(command=command):
                self.assertEqual(self.ctl(command).exit_code, 4)
        found = self.apply(PLAIN, "--base-version", "0")
        self.assertEqual(found.exit_code, 4)

    def test_rejected_token_exits_with_6(self):
        with mock.patch.dict("os.environ", {"OTHER": "wrong"}):
            found = self.ctl(
                "--operator-token-env", "OTHER", "status", nodes=(self.node(),)
            )
        self.assertEqual(found.exit_code, 6)
        self.assertIn("--operator-token-env", found.stderr)

    def test_token_that_is_invalid_in_a_header_exits_with_6(self):
        """The token contains a line feed, as from a file, or is not ASCII.

        Guards against reporting that the node does not answer. The HTTP
        client refuses to send such a header, which was handled like a failed
        connection, so operators searched for a node that was not down.
        """
        for token in ("two\nlines", "caf\u00e9"):
            with (
                self.subTest(token=token),
                mock.patch.dict("os.environ", {"OTHER": token}),
            ):
                found = self.ctl(
                    "--operator-token-env",
                    "OTHER",
                    "status",
                    nodes=(self.node(),),
                )
                self.assertEqual(found.exit_code, 6)
                self.assertIn("no header can carry", found.stderr)

    def test_unreachable_nodes_and_vm_list_are_reported_with_advice(self):
        closed = builders_platform.closed_port()
        unreachable = self.ctl("status", nodes=(closed,))
        self.assertIn(f"127.0.0.1:{closed}: ", unreachable.stderr)
        self.assertIn("refused", unreachable.stderr)
        no_list = self.ctl("status")
        self.assertEqual(no_list.exit_code, 4)
        self.assertIn("next: Pass the VM list's address", no_list.stderr)
        bad_list = self.ctl("--vm-list", f"127.0.0.1:{closed}", "status")
        self.assertIn("next: Pass the nodes' admin", bad_list.stderr)
        self.apply(PLAIN, "--base-version", "0", nodes=(self.node(),))
        plan = self.ctl("plan", _write(PLAIN, self), nodes=(self.node(),))
        self.assertIn("with --node", plan.stdout)

    def test_invalid_stored_configuration_is_reported(self):
        self.client.compare_and_swap(
            f"/mulberry/{DEPLOYMENT}/config",
            b'{"version": 9}',
            expected_revision=0,
            purpose="test",
        ).unwrap()
        for command in (("show",), ("handover",)):
            with self.subTest(command=command):
                found = self.ctl(*command, nodes=(self.node(version=1),))
                output = found.stdout + found.stderr
                self.assertIn("bad-stored-configuration", output)
                self.assertIn("docs/operators/platform_outage.md", output)

    def test_handover_reports_missing_rules_and_controllers(self):
        found = self.ctl("handover", nodes=(self.node(),))
        self.assertEqual(found.exit_code, 5)
        for text in (
            "RULES: no configuration is in force",
            "--base-version 0",
            "hall-a: no active controller answers",
            "next: Pass the controllers' admin listeners",
        ):
            self.assertIn(text, found.stdout)

    def test_history_shows_author_and_changed_values(self):
        nodes = (self.node(),)
        self.apply(PLAIN, "--base-version", "0", nodes=nodes)
        changed = builders_rules.document(default={"prefer_zone": "hall-b"})
        self.apply(changed, "--base-version", "1", nodes=nodes, author="luis")
        found = self.ctl("history", "--count", "1")
        self.assertIn("luis: by luis", found.stdout)
        self.assertIn('default.prefer_zone: none -> "hall-b"', found.stdout)
        self.assertNotIn("by ana", found.stdout)

    def controller(self, share: float = 0.7) -> int:
        """Starts the active controller of hall-a, which sees long prompts.

        Args:
            share: Prefill share that the controller reports.
        """
        view = builders_rules.situation(share)
        engines = [build.engine_status(f"engine-{n}") for n in range(4)]
        engines[0]["wanted_role"] = "prefill"
        return self.node(
            program="controller",
            engines=engines,
            lease={"held": True, "fencing_number": 7},
            situation=situation_status(view),
            rule=rule_status(match_once(FLAPPING, view), 1),
        )

    def test_plan_shows_changes_without_applying_them(self):
        nodes = (self.controller(),)
        self.apply(PLAIN, "--base-version", "0", nodes=nodes)
        path = _write(FLAPPING, self)
        found = self.ctl("plan", path, nodes=nodes)
        self.assertEqual(found.exit_code, 0, found)
        for text in (
            "hall-a: rule default -> contracts",
            "prefill_share_above 0.5: seen 0.7",
            "engines wanted: prefill 2, decode 0, mixed 2",
            "at least 4 role changes",
            "rules.contracts.then.roles.prefill: none -> 0.5",
        ):
            self.assertIn(text, found.stdout)
        self.assertEqual(self.store.read().unwrap().version, 1)

    def test_explain_and_status_show_controllers_and_nodes(self):
        nodes = (self.controller(), self.node(), 1)
        found = self.ctl("explain", nodes=nodes)
        self.assertIn("rule contracts (#1)", found.stdout)
        self.assertEqual(
            self.ctl("explain", "--zone", "hall-z", nodes=nodes).exit_code, 4
        )
        found = self.ctl("status", nodes=nodes)
        self.assertIn("holds the lease", found.stdout)
        self.assertIn("not reached: 127.0.0.1:1", found.stdout)

    def test_handover_shows_engine_states_and_orders_in_flight(self):
        nodes = (self.controller(), self.node())
        self.apply(FLAPPING, "--base-version", "0", nodes=nodes)
        record = builders_authority.order_record(
            rule="contracts",
            config_version=1,
            recorded_unix_s=time.time() - 90,
            reason="long contracts",
        )
        holder = order_records.Holder("entry-1", 7, False)
        records = order_records.ZoneRecords(holder, {"engine-0": record})
        self.client.compare_and_swap(
            f"/mulberry/{DEPLOYMENT}/orders/hall-a",
            order_records.encode(records, "7-1"),
            expected_revision=0,
            purpose="test",
        ).unwrap()
        found = self.ctl("handover", nodes=nodes)
        self.assertEqual(found.exit_code, 0, found)
        for text in (
            "RULES: version 1",
            "hall-a: controller on entry-1",
            "engine-0: prefill / decode, reported 1.0 s ago  DIFFERS",
            "engine-1: as it is / decode",
            "sent for 9",
            "LONG; rule contracts of version 1: long contracts",
        ):
            self.assertIn(text, found.stdout)
        as_json = self.ctl("--output", "json", "handover", nodes=nodes).value()
        self.assertTrue(as_json["engines"][0]["order"]["in_flight"])

    def test_handover_shows_node_reports_during_an_outage(self):
        """The shift changes while the key-value service is unreachable.

        Guards against showing only an error. That happens if one source that
        fails hides the sources that can be read.
        """
        order = {
            "order_id": "o-1",
            "action": "set-role",
            "wanted": "prefill",
            "phase": "sent",
            "in_flight": True,
            "rule": "contracts",
            "config_version": 4,
            "fencing_number": 7,
            "reason": "long contracts",
            "recorded_unix_s": time.time(),
        }
        engine = build.engine_status("engine-0", order=order)
        nodes = (self.node(config_version=4, engines=[engine]),)
        self.platform.faults["down"] = True
        found = self.ctl("handover", nodes=nodes)
        self.assertEqual(found.exit_code, 5, found)
        for text in (
            "RULES: none could be read",
            "engine-0: prefill / decode",
            "rule contracts of version 4: long contracts",
            "NOT KNOWN:",
            "the rules: platform-unavailable",
            "the orders: platform-unavailable",
        ):
            self.assertIn(text, found.stdout)

    def test_handover_without_nodes_shows_the_rules(self):
        self.apply(PLAIN, "--base-version", "0", nodes=(self.node(),))
        nodes = (builders_platform.closed_port(),)
        found = self.ctl("handover", nodes=nodes)
        self.assertEqual(found.exit_code, 5)
        self.assertIn("RULES: version 1", found.stdout)
        self.platform.faults["down"] = True
        self.assertEqual(self.ctl("handover", nodes=nodes).exit_code, 4)

    def test_nodes_are_found_in_the_vm_list_and_the_leases(self):
        vm_list = VmListStandin()
        vm_list.start()
        self.addCleanup(vm_list.close)
        node = {
            "vm_id": "entry-1",
            "kind": "entry",
            "availability_zone": "hall-a",
            "ip": "127.0.0.1",
            "port": 1,
            "operators_ip": "127.0.0.1",
            "operators_port": self.node(),
        }
        vm_list.set_vms([node])
        lease = {
            "vm_id": "entry-1",
            "operators_ip": "127.0.0.1",
            "operators_port": self.controller(),
        }
        self.client.compare_and_swap(
            f"/mulberry/{DEPLOYMENT}/controllers/hall-a",
            json.dumps(lease).encode(),
            expected_revision=0,
            purpose="test",
        ).unwrap()
        address = f"127.0.0.1:{vm_list.port}"
        found = self.ctl("--vm-list", address, "status")
        self.assertEqual(found.exit_code, 0, found)
        self.assertIn("entry-1 router", found.stdout)
        self.assertIn("entry-1 controller", found.stdout)


if __name__ == "__main__":
    unittest.main()
