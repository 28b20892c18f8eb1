"""Each invariant with a history that keeps it and ones that break it."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from collections.abc import Callable
from typing import Any

from geventhttpclient import HTTPClient

from mulberrywharf import fleet
from proofs import audit_checker, collect
from tests import builders_histories as builders
from tests import processes

Change = Callable[[Any], object]


def _orders(history: Any) -> list[Any]:
    return list(history["engines"][0]["orders"])


def _add_order(order_id: str, unix_s: float, **changes: Any) -> Change:
    order = builders.order(order_id, unix_s, **changes)
    return lambda history: history["engines"][0]["orders"].append(order)


def _add_run(run: Any) -> Change:
    return lambda history: history["backend_servers"].append(
        {"vm_id": "backend-2", "runs": [run]}
    )


def _add_caller(record: Any) -> Change:
    return lambda history: history["callers"].append(record)


def _run_id(short: str) -> str:
    """Returns the id of a run, as in ``c1~1``: its caller's and a digit."""
    caller_id, digit = short.split("~")
    return f"{caller_id}~{digit * 32}"


def _answer(short: str) -> dict[str, Any]:
    return {"answer_body": {"request_id": _run_id(short), "body": "fee"}}


def _add_write(write: Any) -> Change:
    return lambda history: history["key_value_writes"].append(write)


def _set_final(**fields: Any) -> Change:
    return lambda h: h["final"][builders.ENGINE_ID].update(fields)


ORDER_CASES: dict[str, tuple[str, Change]] = {
    "an old number took effect after a newer one": (
        "stale-order",
        lambda h: (
            h.update(early_ended_fencing_numbers=[builders.LEASE_NUMBER]),
            _add_order("o1", 230.0)(h),
        ),
    ),
    "a drain came while a role change was in flight": (
        "overlapping-orders",
        _add_order(
            builders.DRAIN_ID, 100.5, action="drain", ended_unix_s=100.5
        ),
    ),
    "a drain of another instant than the recorded one": (
        "unrecorded-order",
        _add_order("o1/drain/98901", 99.6, action="drain", ended_unix_s=99.6),
    ),
    "a drain that no draining record names": (
        "unrecorded-order",
        _add_order("o1/drain", 99.6, action="drain", ended_unix_s=99.6),
    ),
    "an order came after one that never ended": (
        "overlapping-orders",
        lambda h: _orders(h)[1].update(ended_unix_s=None),
    ),
    "a short order hid a long one that was still in flight": (
        "overlapping-orders",
        lambda h: (
            _orders(h)[0].update(ended_unix_s=130.0),
            _add_order("o1", 120.0)(h),
        ),
    ),
    "an order came after its lease had lapsed": (
        "order-without-authority",
        _add_order("o1", builders.LEASE_END_UNIX_S + 1),
    ),
    "an order came before its lease began": (
        "order-without-authority",
        lambda h: h["key_value_writes"][1].update(unix_s=99.8),
    ),
    "an order's number is no lease's": (
        "order-without-authority",
        _add_order("o2", 240.0, fencing_number=99),
    ),
    "an order was never recorded": (
        "unrecorded-order",
        _add_order("o9", 110.0),
    ),
    "an order was recorded after its effect": (
        "unrecorded-order",
        _add_order("o2", 110.0),
    ),
    "an order cut a stream": (
        "cut-by-order",
        lambda h: _orders(h)[1].update(cut_request_ids=["c9"]),
    ),
}

REQUEST_CASES: dict[str, tuple[str, Change]] = {
    "a payment ran at two servers": (
        "ran-twice",
        _add_run(builders.run("p1", "/payment", 300.0)),
    ),
    "a second press with the key ran": (
        "ran-twice",
        _add_run(builders.run("p2", "/payment", 300.0, "k1")),
    ),
    "a run with the key has an id that no caller knows": (
        "ran-twice",
        _add_run(builders.run("own-id", "/payment", 300.0, "k1")),
    ),
    "a call ran again under a new id of its own": (
        "ran-twice",
        _add_run(builders.run(_run_id("p1~1"), "/payment", 300.0)),
    ),
    "one call of two that share an id ran again": (
        "ran-twice",
        lambda h: (
            _add_caller(
                builders.call(
                    "p1",
                    idempotency_key="",
                    outcome="unknown",
                )
            )(h),
            _add_run(builders.run(_run_id("p1~1"), "/payment", 300.0))(h),
            _add_run(builders.run(_run_id("p1~1"), "/payment", 301.0))(h),
        ),
    ),
    "a run with the key has an id that two customers chose": (
        "ran-twice",
        lambda h: (
            _add_caller(
                builders.call("p1", customer="prairie", outcome="unknown")
            )(h),
            _add_run(builders.run(_run_id("p1~1"), "/payment", 300.0, "k1"))(h),
        ),
    ),
    "a not-run call ran under its run's id": (
        "not-run-ran",
        lambda h: h["engines"][0]["runs"].append(
            {"request_id": _run_id("c2~1"), "came_unix_s": 300.0}
        ),
    ),
    "a not-run call ran beside one that shares its id": (
        "not-run-ran",
        lambda h: (
            _add_caller(builders.completion("c2"))(h),
            h["engines"][0]["runs"].extend(
                {"request_id": _run_id(f"c2~{digit}"), "came_unix_s": 300.0}
                for digit in "12"
            ),
        ),
    ),
    "an event carries another caller's id": (
        "foreign-answer",
        lambda h: h["callers"][0].update(answer_ids=[_run_id("c9~1")]),
    ),
    "a broken stream carries another caller's id": (
        "foreign-answer",
        lambda h: h["callers"][2].update(answer_ids=[_run_id("c9~1")]),
    ),
    "an answer changed its id in the middle": (
        "foreign-answer",
        lambda h: h["callers"][0].update(
            answer_ids=[_run_id(f"c1~{digit}") for digit in "12"]
        ),
    ),
    "an id's unique part is malformed": (
        "foreign-answer",
        lambda h: h["callers"][0].update(answer_ids=["c1~x"]),
    ),
    "one run answered two callers that share an id": (
        "foreign-answer",
        lambda h: (
            h["callers"][0].update(answer_ids=[_run_id("c1~1")]),
            _add_caller(
                builders.completion("c1", answer_ids=[_run_id("c1~1")])
            )(h),
        ),
    ),
    "one call's answer went to two that share an id": (
        "foreign-answer",
        _add_caller(
            builders.call(
                "p1",
                idempotency_key="",
                answer_body={"request_id": "p1", "body": "fee"},
            )
        ),
    ),
    "a not-run completion ran": (
        "not-run-ran",
        lambda h: h["engines"][0]["runs"].append(
            {"request_id": "c2", "came_unix_s": 300.0}
        ),
    ),
    "a not-run call ran": (
        "not-run-ran",
        lambda h: h["callers"][3].update(outcome="not-run"),
    ),
    "a completion lost its last token": (
        "foreign-answer",
        lambda h: h["callers"][0].update(
            answer_text=h["callers"][0]["answer_text"][:-7]
        ),
    ),
    "a completion has a token twice": (
        "foreign-answer",
        lambda h: h["callers"][0].update(
            answer_text=h["callers"][0]["answer_text"] * 2
        ),
    ),
    "a completion is another's": (
        "foreign-answer",
        _add_caller(
            builders.completion(
                "c4", answer_text=builders.completion("c1")["answer_text"]
            )
        ),
    ),
    "a call got the answer to another body": (
        "foreign-answer",
        lambda h: h["callers"][3].update(request_body="other"),
    ),
    "a call without a key got another's answer": (
        "foreign-answer",
        lambda h: h["callers"][4].update(idempotency_key=""),
    ),
    "a caller got nothing at all": (
        "unanswered",
        _add_caller(builders.completion("c4", outcome="none")),
    ),
    "a leaving backend server got new work": (
        "work-after-leaving",
        lambda h: h["leaving"][0].update(listed_unix_s=290.0),
    ),
    "a leaving engine got new work": (
        "work-after-leaving",
        lambda h: h["leaving"][1].update(listed_unix_s=290.0),
    ),
}

STATE_CASES: dict[str, tuple[str, Change]] = {
    "an older configuration was stored again": (
        "configuration-reverted",
        _add_write(
            builders.write(
                60,
                "/mulberry/D/config",
                builders.configuration(1, ["a"]),
                400.0,
            )
        ),
    ),
    "a node went back": (
        "configuration-reverted",
        lambda h: h["seen_versions"][2].update(process_id=1, version=1),
    ),
    "an accepted change was never stored": (
        "configuration-lost",
        lambda h: h["accepted_changes"].append(
            {"version": 3, "change_id": "c"}
        ),
    ),
    "an accepted change was replaced by a racing one": (
        "configuration-lost",
        lambda h: h["accepted_changes"][1].update(change_id="x"),
    ),
    "a later configuration forgot a change": (
        "configuration-lost",
        _add_write(
            builders.write(
                60,
                "/mulberry/D/config",
                builders.configuration(3, ["a", "x", "c"]),
                400.0,
            )
        ),
    ),
    "an engine ended in another role": (
        "unwanted-state",
        _set_final(role="prefill"),
    ),
    "an engine ended without its model": (
        "unwanted-state",
        _set_final(models=[]),
    ),
    "an engine gave no last report": (
        "unwanted-state",
        lambda h: h["wanted"].update(other={"role": "mixed"}),
    ),
    "an order ended half-done": (
        "half-done-order",
        _add_write(
            builders.write(
                60,
                "/mulberry/D/orders/Z",
                builders.records("o2", "sent"),
                400.0,
            )
        ),
    ),
}

ALLOWED: dict[str, Change] = {
    "a key that two customers chose": lambda h: (
        _add_run(builders.run("p3", "/payment", 300.0, "k1"))(h),
        _add_caller(builders.call("p3", customer="prairie"))(h),
    ),
    "two callers that chose one id, and each its own run": lambda h: (
        h["callers"][0].update(answer_ids=[_run_id("c1~1")]),
        _add_caller(builders.completion("c1", answer_ids=[_run_id("c1~2")]))(h),
        _add_caller(builders.call("p9", idempotency_key="", **_answer("p9~1")))(
            h
        ),
        _add_caller(builders.call("p9", idempotency_key="", **_answer("p9~2")))(
            h
        ),
        _add_run(builders.run(_run_id("p9~1"), "/payment", 300.0))(h),
        _add_run(builders.run(_run_id("p9~2"), "/payment", 300.0))(h),
    ),
    "a not-run call beside one that shares its id": lambda h: (
        _add_caller(builders.completion("c2"))(h),
        h["engines"][0]["runs"].append(
            {"request_id": _run_id("c2~1"), "came_unix_s": 303.0}
        ),
    ),
    "a lease that the test ended early": lambda h: (
        h.update(early_ended_fencing_numbers=[builders.LEASE_NUMBER]),
        _add_order("o1", builders.LEASE_END_UNIX_S + 1)(h),
    ),
    "a refused order under an old number": _add_order(
        "o1", 230.0, effective=False
    ),
    "a restarted engine's unfinished order": lambda h: h["engines"].insert(
        0,
        {
            "engine_id": builders.ENGINE_ID,
            "orders": [builders.order("o1", 99.2, ended_unix_s=None)],
            "runs": [],
        },
    ),
}


class InvariantTest(unittest.TestCase):
    def kinds(self, change: Change) -> set[str]:
        history = builders.history()
        change(history)
        return {v.kind for v in audit_checker.check(history)}

    def test_history_in_which_everything_held_passes(self) -> None:
        self.assertEqual(audit_checker.check(builders.history()), [])

    def test_what_is_allowed_passes(self) -> None:
        for name, change in ALLOWED.items():
            with self.subTest(name):
                self.assertEqual(self.kinds(change), set())

    def test_each_breach_is_found_and_no_other(self) -> None:
        cases = {**ORDER_CASES, **REQUEST_CASES, **STATE_CASES}
        for name, (kind, change) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.kinds(change), {kind})


class ProgramTest(unittest.TestCase):
    def run_on(self, text: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "history.json"
            path.write_text(text)
            output = io.StringIO()
            with (
                contextlib.redirect_stdout(output),
                contextlib.redirect_stderr(output),
            ):
                code = audit_checker.main([str(path)])
        return code, output.getvalue()

    def test_exit_codes(self) -> None:
        broken = builders.history()
        broken["final"][builders.ENGINE_ID]["role"] = "prefill"
        lost = {**builders.history(), "lost_logs": ["engine-2"]}
        cases: tuple[tuple[str, int, str], ...] = (
            (json.dumps(builders.history()), 0, "0 violation(s)"),
            (json.dumps(broken), 1, "unwanted-state engine-1"),
            ('{"engines": 3}', 2, "engines"),
            ("not JSON", 2, "document"),
            (json.dumps(lost), 3, "engine-2"),
        )
        for text, code, wording in cases:
            with self.subTest(code=code, wording=wording):
                seen_code, output = self.run_on(text)
                self.assertEqual(seen_code, code)
                self.assertIn(wording, output)


class CollectTest(unittest.TestCase):
    def start(self, module: str) -> fleet.Address:
        process = processes.Process(module)
        self.addCleanup(process.close)
        return fleet.Address("127.0.0.1", process.ready["port"])

    def post(self, address: fleet.Address, path: str, **body: Any) -> None:
        client = HTTPClient(address.ip, address.port)
        self.addCleanup(client.close)
        client.post(path, json.dumps(body), {"x-request-id": "r1"}).read()

    def test_logs_of_running_stand_ins_are_checked(self) -> None:
        engine = self.start("standins.engine")
        backend = self.start("standins.backend_server")
        key_value = self.start("standins.key_value")
        self.post(
            engine,
            "/orders",
            order_id="o1",
            fencing_number=1,
            action="drain",
        )
        for _ in range(2):
            self.post(backend, "/payment")
        history = collect.collect(
            engines={"e1": engine, "gone": fleet.Address("127.0.0.1", 1)},
            backend_servers={"b1": backend},
            key_value=key_value,
        )
        self.assertEqual(history["lost_logs"], ["gone"])
        kinds = {v.kind for v in audit_checker.check(history)}
        self.assertEqual(
            kinds,
            {"order-without-authority", "unrecorded-order", "ran-twice"},
        )

    def test_merge_joins_lives(self) -> None:
        earlier, later = builders.history(), builders.history()
        later["final"] = {"engine-2": earlier["final"][builders.ENGINE_ID]}
        merged = collect.merge(earlier, later)
        self.assertEqual(len(merged["engines"]), 2)
        self.assertEqual(set(merged["final"]), {"engine-1", "engine-2"})


if __name__ == "__main__":
    unittest.main()
