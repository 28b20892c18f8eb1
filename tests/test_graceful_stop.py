"""Planned stops of a router: nothing that was accepted is cut."""

import json
import signal
import subprocess
import sys
import unittest
from typing import Any

import gevent
import gevent.event
import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from mulberrywharf.nodes import claims
from mulberrywharf.requests import in_flight
from proofs import histories
from standins import engine_tokens
from tests import (
    builders_settings,
    caller_records,
    callers_fixture,
    cluster,
    processes,
)

_JOIN_S = 60.0
_LONG_TOKENS = 200


class StopTest(unittest.TestCase):
    shape = cluster.Shape(
        engines_per_zone=2,
        backends_per_zone=1,
        routers_per_zone=2,
        callers={"drain_notice_s": 0.3},
        engine_arguments=("--between-tokens-s", "0.01"),
    )

    def setUp(self) -> None:
        self.cluster = cluster.Cluster(self.shape).start()
        self.addCleanup(self.cluster.close)
        self.router = self.cluster.routers[0]

    def spawn(self, *work: Any) -> Any:
        greenlet = gevent.spawn(*work)
        self.addCleanup(greenlet.kill)
        return greenlet

    def streaming(self, prompt: str) -> Any:
        """Begins a long stream and waits until it is under way.

        The greenlet's value is the answer, or None if the stream broke.
        """
        asking = self.spawn(self._complete, prompt)

        def is_under_way() -> bool:
            logs = [engine.log()["runs"] for engine in self.cluster.engines]
            return any(run["token_count"] > 3 for log in logs for run in log)

        cluster.wait_until(is_under_way, "a stream under way")
        return asking

    def _complete(self, prompt: str) -> cluster.Answer | None:
        try:
            return self.cluster.caller().complete(prompt, _LONG_TOKENS)
        except (OSError, HTTPParseError):
            return None

    def stop_as_planned(self, *, listed: bool = True) -> None:
        """Stops the router; the platform lists it as leaving before."""
        if listed:
            self.cluster.publish(leaving=[self.router.vm_id])
        self.router.process.signal(signal.SIGTERM)
        self.assertEqual(self.wait_end(), 0)

    def wait_end(self) -> int:
        process = self.router.process
        cluster.wait_until(lambda: process.poll() is not None, "the end")
        return process.wait()

    def assert_whole(self, answer: cluster.Answer | None, prompt: str) -> None:
        assert answer is not None, "the stream broke"
        self.assertTrue(answer.is_whole())
        wanted = engine_tokens.answer_text(cluster.MODEL, prompt, _LONG_TOKENS)
        self.assertEqual(answer.text(), wanted)

    def test_stream_in_flight_ends_whole(self) -> None:
        """A verdict is cut by a planned replacement.

        Symptom: a caller's stream breaks off when an entry VM is replaced.
        Sequence: SIGTERM comes in mid-stream, and once more as an impatient
        supervisor sends it.
        Cause: a stop that waits for a fixed time, or a second signal that
        ends the process.
        """
        asking = self.streaming("planned stop")
        self.router.process.signal(signal.SIGTERM)
        cluster.wait_until(
            lambda: not self.cluster.is_ready(self.router), "readiness off"
        )
        self.assertIsNone(self.router.process.poll())
        self.router.process.signal(signal.SIGTERM)
        self.assert_whole(asking.get(timeout=_JOIN_S), "planned stop")
        self.assertEqual(self.wait_end(), 0)

    def test_operators_drain_stops_as_the_signal_does(self) -> None:
        asking = self.streaming("drained")
        client = HTTPClient(
            cluster.LOOPBACK, self.router.process.ready["operators"]
        )
        self.addCleanup(client.close)
        token = f"Bearer {cluster.OPERATOR_TOKEN}"
        response = client.post("/drain", b"", {"authorization": token})
        self.assertEqual(response.status_code, 202)
        self.assert_whole(asking.get(timeout=_JOIN_S), "drained")
        self.assertEqual(self.wait_end(), 0)

    def test_second_interrupt_ends_at_once(self) -> None:
        asking = self.streaming("interrupted")
        self.router.process.signal(signal.SIGINT)
        cluster.wait_until(
            lambda: not self.cluster.is_ready(self.router), "readiness off"
        )
        self.assertIsNone(self.router.process.poll())
        self.router.process.signal(signal.SIGINT)
        self.assertEqual(self.wait_end(), 130)
        self.assertIsNone(asking.get(timeout=_JOIN_S))

    def test_stop_under_load_cuts_nothing(self) -> None:
        """Requests are lost while a router stops.

        Symptom: some callers get no answer during each rollout.
        Sequence: callers on kept connections go on while the router stops,
        and go to another one once theirs accepts no more.
        Cause: connections that the kernel had accepted are closed unread,
        or kept connections are closed just when a request comes.
        """
        ended = gevent.event.Event()
        records: list[histories.CallerRecord] = []
        callers = [
            self.spawn(self._ask_on, number, ended, records)
            for number in range(6)
        ]
        callers += [
            self.spawn(self._press_on, number, ended, records)
            for number in range(3)
        ]
        cluster.wait_until(lambda: len(records) > 20, "load")
        self.stop_as_planned()
        ended.set()
        gevent.joinall(callers, timeout=_JOIN_S, raise_error=True)
        outcomes = {record["outcome"] for record in records}
        self.assertEqual(outcomes, {"answered"})
        self.assertEqual(caller_records.violations(self.cluster, records), [])

    def _ask_on(
        self,
        number: int,
        ended: gevent.event.Event,
        records: list[histories.CallerRecord],
    ) -> None:
        callers = self._kept_callers()
        count = 0
        while not ended.is_set():
            count += 1
            prompt = f"load {number} {count}"
            body = {
                "model": cluster.MODEL,
                "prompt": prompt,
                "max_tokens": 10,
                "stream": True,
            }
            request_id = f"ask-{number}-{count}"
            answer = self._first_to_accept(
                callers,
                "/v1/completions",
                json.dumps(body).encode(),
                {"x-request-id": request_id},
            )
            records.append(
                caller_records.completion(request_id, prompt, 10, answer)
            )

    def _press_on(
        self,
        number: int,
        ended: gevent.event.Event,
        records: list[histories.CallerRecord],
    ) -> None:
        callers = self._kept_callers()
        count = 0
        while not ended.is_set():
            count += 1
            press_id = f"press-{number}-{count}"
            headers = {"x-request-id": press_id, "idempotency-key": press_id}
            answer = self._first_to_accept(
                callers, "/services/desk/payment", b"fee", headers
            )
            records.append(
                caller_records.press(
                    press_id, "/payment", b"fee", press_id, answer
                )
            )

    def _kept_callers(self) -> "list[_KeptCaller]":
        callers = [_KeptCaller(router) for router in self.cluster.routers]
        for caller in callers:
            self.addCleanup(caller.client.close)
        return callers

    def _first_to_accept(
        self,
        callers: "list[_KeptCaller]",
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> cluster.Answer:
        for caller in callers:
            try:
                return caller.post(path, body, headers)
            except ConnectionRefusedError:
                # Nothing was sent; the balancer would go to the next as well.
                continue
        raise AssertionError("no router accepts")

    def test_claims_pass_on_at_once(self) -> None:
        """Keyed payments are refused for seconds after each planned stop.

        Symptom: ``claim-unavailable`` after a router stopped.
        Sequence: the router that owned shards of claims ends.
        Cause: the shards stay without an owner until its lease lapses.
        """
        self._check_claims_after_stop(listed=True)

    def test_claims_pass_on_though_the_list_does_not_know(self) -> None:
        self._check_claims_after_stop(listed=False)

    def _shards_counts(self) -> list[float]:
        statuses = [self.cluster.status(r) for r in self.cluster.routers]
        return [status["counts"]["claim_shards_count"] for status in statuses]

    def _check_claims_after_stop(self, *, listed: bool) -> None:
        cluster.wait_until(
            lambda: sum(self._shards_counts()) == claims.SHARD_COUNT,
            "owners of all shards",
        )
        self.assertGreater(self._shards_counts()[0], 0)
        for index in (0, 1):
            first = self.cluster.caller(index).call(
                "/payment", b"fee", idempotency_key=f"before-{index}"
            )
            self.assertEqual(first.status, 200)
        self.stop_as_planned(listed=listed)
        other = self.cluster.caller(1)
        for number in range(10):
            press = other.call(
                "/payment", b"fee", idempotency_key=f"after-{number}"
            )
            self.assertEqual(press.status, 200, press.body)
        again = other.call("/payment", b"fee", idempotency_key="before-0")
        self.assertEqual(again.status, 200)
        keys = [run["idempotency_key"] for run in self.cluster.runs()]
        self.assertEqual(keys.count("before-0"), 1)


class _KeptCaller:
    """A caller that keeps its connection while it may."""

    def __init__(self, router: cluster.Member):
        self.client = HTTPClient(
            cluster.LOOPBACK,
            router.process.ready["callers"],
            connection_timeout=_JOIN_S,
            network_timeout=_JOIN_S,
        )

    def post(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> cluster.Answer:
        fields = {
            "authorization": f"Bearer {callers_fixture.CUSTOMER_KEY}",
            **headers,
        }
        response = self.client.post(path, body, fields)
        content = bytes(response.read())
        found = {name.lower(): value for name, value in response.items()}
        return cluster.Answer(response.status_code, found, content)


class SettingsTest(unittest.TestCase):
    def check(self, **changes: Any) -> subprocess.CompletedProcess[str]:
        path = builders_settings.write_settings(
            builders_settings.node_settings(**changes)
        )
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "mulberrywharf.programs.router",
                "--settings",
                path,
                "--check-settings",
            ],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=_JOIN_S,
            check=False,
        )

    def test_good_settings_pass_and_faults_are_listed(self) -> None:
        self.assertEqual(self.check().returncode, 0)
        bad = self.check(region=7, availability_zone="Not A Zone")
        self.assertEqual(bad.returncode, 1)
        self.assertIn("region", bad.stderr)
        self.assertIn("availability_zone", bad.stderr)


class InFlightTest(unittest.TestCase):
    def test_waits_for_work_beside_the_answers(self) -> None:
        tracker = in_flight.InFlight()
        may_end = gevent.event.Event()
        tracker.spawn(may_end.wait)
        waiting = gevent.spawn(tracker.wait_idle)
        gevent.idle()
        self.assertFalse(waiting.ready())
        may_end.set()
        waiting.get(timeout=_JOIN_S)
        self.assertEqual(tracker.count, 0)


if __name__ == "__main__":
    unittest.main()
