"""Planned stops of a router: every accepted request is finished."""

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
from mulberrywharf.requests import background_tasks
from proofs import histories
from standins import engine_tokens
from tests import (
    builders_settings,
    caller_records,
    callers_fixture,
    cluster,
    processes,
)

_TIMEOUT_S = 60.0
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

    def start_stream(self, prompt: str) -> Any:
        """Starts a long stream and waits until it has produced tokens.

        The greenlet's value is the answer, or None if the connection broke.
        """
        stream = self.spawn(self._complete, prompt)

        def is_under_way() -> bool:
            logs = [engine.log()["runs"] for engine in self.cluster.engines]
            return any(run["token_count"] > 3 for log in logs for run in log)

        cluster.wait_until(is_under_way, "a stream that has produced tokens")
        return stream

    def _complete(self, prompt: str) -> cluster.Answer | None:
        try:
            return self.cluster.caller().complete(prompt, _LONG_TOKENS)
        except (OSError, HTTPParseError):
            return None

    def stop_gracefully(self, *, listed: bool = True) -> None:
        """Stops the router; if ``listed``, the VM list shows it as leaving."""
        if listed:
            self.cluster.publish(leaving=[self.router.vm_id])
        self.router.process.signal(signal.SIGTERM)
        self.assertEqual(self.wait_for_exit(), 0)

    def wait_for_exit(self) -> int:
        process = self.router.process
        cluster.wait_until(
            lambda: process.poll() is not None, "exit of the router"
        )
        return process.wait()

    def assert_complete(
        self, answer: cluster.Answer | None, prompt: str
    ) -> None:
        assert answer is not None, "the stream broke"
        self.assertTrue(answer.is_whole())
        wanted = engine_tokens.answer_text(cluster.MODEL, prompt, _LONG_TOKENS)
        self.assertEqual(answer.text(), wanted)

    def test_stream_in_flight_is_completed(self) -> None:
        """A planned replacement of an entry VM interrupts a caller's stream.

        SIGTERM arrives during the stream, and a second time from an impatient
        supervisor. The stream breaks if the stop only waits for a fixed time,
        or if the second signal ends the process.
        """
        stream = self.start_stream("planned stop")
        self.router.process.signal(signal.SIGTERM)
        cluster.wait_until(
            lambda: not self.cluster.is_ready(self.router), "readiness off"
        )
        self.assertIsNone(self.router.process.poll())
        self.router.process.signal(signal.SIGTERM)
        self.assert_complete(stream.get(timeout=_TIMEOUT_S), "planned stop")
        self.assertEqual(self.wait_for_exit(), 0)

    def test_drain_request_stops_gracefully(self) -> None:
        stream = self.start_stream("drained")
        client = HTTPClient(
            cluster.LOOPBACK, self.router.process.ready["operators"]
        )
        self.addCleanup(client.close)
        token = f"Bearer {cluster.OPERATOR_TOKEN}"
        response = client.post("/drain", b"", {"authorization": token})
        self.assertEqual(response.status_code, 202)
        self.assert_complete(stream.get(timeout=_TIMEOUT_S), "drained")
        self.assertEqual(self.wait_for_exit(), 0)

    def test_second_sigint_ends_immediately(self) -> None:
        stream = self.start_stream("interrupted")
        self.router.process.signal(signal.SIGINT)
        cluster.wait_until(
            lambda: not self.cluster.is_ready(self.router), "readiness off"
        )
        self.assertIsNone(self.router.process.poll())
        self.router.process.signal(signal.SIGINT)
        self.assertEqual(self.wait_for_exit(), 130)
        self.assertIsNone(stream.get(timeout=_TIMEOUT_S))

    def test_stop_under_load_loses_no_request(self) -> None:
        """Some callers get no answer during a rollout.

        Callers on persistent connections continue while the router stops, and
        use another router once theirs refuses connections. Requests are lost
        if the router closes connections that the kernel has accepted but the
        process has not read, or closes a persistent connection just as a
        request arrives.
        """
        ended = gevent.event.Event()
        records: list[histories.CallerRecord] = []
        callers = [
            self.spawn(self._send_completions, number, ended, records)
            for number in range(6)
        ]
        callers += [
            self.spawn(self._send_payments, number, ended, records)
            for number in range(3)
        ]
        cluster.wait_until(lambda: len(records) > 20, "load")
        self.stop_gracefully()
        ended.set()
        gevent.joinall(callers, timeout=_TIMEOUT_S, raise_error=True)
        outcomes = {record["outcome"] for record in records}
        self.assertEqual(outcomes, {"answered"})
        self.assertEqual(caller_records.violations(self.cluster, records), [])

    def _send_completions(
        self,
        number: int,
        ended: gevent.event.Event,
        records: list[histories.CallerRecord],
    ) -> None:
        callers = self._persistent_callers()
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
            answer = self._post_to_first_accepting(
                callers,
                "/v1/completions",
                json.dumps(body).encode(),
                {"x-request-id": request_id},
            )
            records.append(
                caller_records.completion(request_id, prompt, 10, answer)
            )

    def _send_payments(
        self,
        number: int,
        ended: gevent.event.Event,
        records: list[histories.CallerRecord],
    ) -> None:
        callers = self._persistent_callers()
        count = 0
        while not ended.is_set():
            count += 1
            payment_id = f"press-{number}-{count}"
            headers = {
                "x-request-id": payment_id,
                "idempotency-key": payment_id,
            }
            answer = self._post_to_first_accepting(
                callers, "/services/desk/payment", b"fee", headers
            )
            records.append(
                caller_records.press(
                    payment_id, "/payment", b"fee", payment_id, answer
                )
            )

    def _persistent_callers(self) -> "list[_PersistentCaller]":
        callers = [_PersistentCaller(router) for router in self.cluster.routers]
        for caller in callers:
            self.addCleanup(caller.client.close)
        return callers

    def _post_to_first_accepting(
        self,
        callers: "list[_PersistentCaller]",
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> cluster.Answer:
        for caller in callers:
            try:
                return caller.post(path, body, headers)
            except ConnectionRefusedError:
                # Nothing was sent; a load balancer would also try the next.
                continue
        raise AssertionError("no router accepts connections")

    def test_claim_shards_are_handed_over_at_a_stop(self) -> None:
        """Keyed payments are refused for seconds after each planned stop.

        The stopped router owned claim shards. Without a handover they have no
        owner until its lease expires, and requests that need a claim in them
        get ``claim-unavailable``.
        """
        self._check_claims_after_stop(listed=True)

    def test_claim_shards_are_handed_over_if_stop_is_unlisted(self) -> None:
        self._check_claims_after_stop(listed=False)

    def _owned_shard_counts(self) -> list[float]:
        statuses = [self.cluster.status(r) for r in self.cluster.routers]
        return [status["counts"]["claim_shards_count"] for status in statuses]

    def _check_claims_after_stop(self, *, listed: bool) -> None:
        cluster.wait_until(
            lambda: sum(self._owned_shard_counts()) == claims.SHARD_COUNT,
            "owners of all shards",
        )
        self.assertGreater(self._owned_shard_counts()[0], 0)
        for index in (0, 1):
            first = self.cluster.caller(index).call(
                "/payment", b"fee", idempotency_key=f"before-{index}"
            )
            self.assertEqual(first.status, 200)
        self.stop_gracefully(listed=listed)
        other = self.cluster.caller(1)
        for number in range(10):
            payment = other.call(
                "/payment", b"fee", idempotency_key=f"after-{number}"
            )
            self.assertEqual(payment.status, 200, payment.body)
        again = other.call("/payment", b"fee", idempotency_key="before-0")
        self.assertEqual(again.status, 200)
        keys = [run["idempotency_key"] for run in self.cluster.runs()]
        self.assertEqual(keys.count("before-0"), 1)


class _PersistentCaller:
    """A caller that reuses its connection until the router closes it."""

    def __init__(self, router: cluster.Member):
        self.client = HTTPClient(
            cluster.LOOPBACK,
            router.process.ready["callers"],
            connection_timeout=_TIMEOUT_S,
            network_timeout=_TIMEOUT_S,
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
            timeout=_TIMEOUT_S,
            check=False,
        )

    def test_good_settings_pass_and_faults_are_listed(self) -> None:
        self.assertEqual(self.check().returncode, 0)
        bad = self.check(region=7, availability_zone="Not A Zone")
        self.assertEqual(bad.returncode, 1)
        self.assertIn("region", bad.stderr)
        self.assertIn("availability_zone", bad.stderr)


class InFlightTest(unittest.TestCase):
    def test_wait_idle_waits_for_background_tasks(self) -> None:
        tracker = background_tasks.InFlight()
        may_end = gevent.event.Event()
        tracker.spawn(may_end.wait)
        waiting = gevent.spawn(tracker.wait_idle)
        gevent.idle()
        self.assertFalse(waiting.ready())
        may_end.set()
        waiting.get(timeout=_TIMEOUT_S)
        self.assertEqual(tracker.count, 0)


if __name__ == "__main__":
    unittest.main()
