"""Tests of the gateway as a real process between callers and stand-ins."""

import contextlib
import json
import pathlib
import signal
import tempfile
import time
import unittest
from collections.abc import Iterator
from typing import Any

import gevent
from gevent import socket

from mulberrywharf.callers import listener
from mulberrywharf.platform import documents
from standins.platform_server import PlatformServerStandin
from tests import builders_platform, processes
from tests import builders_routes as build

PROMPT_FIELDS = (
    "x-mulberrywharf-model: m\r\n"
    "x-mulberrywharf-token-usage: 16000,50\r\n"
    "x-mulberrywharf-prompt-prefix: aa:13000,bb:3000\r\n"
)


class Answer:
    """One HTTP answer, parsed here so that tests can check its framing."""

    def __init__(self, raw: bytes):
        head, _, self.body = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if lines[0] else 0
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }


class GatewayCase(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.plain = self.server("plain-1", "plain")
        self.prefill = self.server("pre-1", "engines", "prefill")
        self.decodes = [
            self.server(f"dec-{number}", "engines", "decode")
            for number in (1, 2)
        ]
        self.gateway: processes.Process | None = None

    def server(
        self, server_id: str, service: str, stage: str = ""
    ) -> PlatformServerStandin:
        made = PlatformServerStandin(server_id)
        made.start()
        self.addCleanup(made.close)
        self.write_server(server_id, made.port, service, stage)
        return made

    def write_server(
        self, server_id: str, port: int, service: str, stage: str = ""
    ) -> None:
        """Writes the record of a server."""
        record = build.server_value(
            service=service,
            address=f"127.0.0.1:{port}",
            **({"stage": stage} if stage else {}),
        )
        self.store.put(documents.SERVERS_PREFIX + server_id, record)

    def write_routes(self, version: int = 1, **stream_route: Any) -> None:
        document = build.routes_document(version)
        document["routes"][1].pop("traffic-split")
        document["routes"][1].update(service="engines", **stream_route)
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def start(
        self, vm_id: str = "entry-1", **changes: Any
    ) -> processes.Process:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "gateway.json"
        path.write_text(
            json.dumps(
                {
                    "vm_id": vm_id,
                    "availability_zone": "zone-a",
                    "callers_listen": "127.0.0.1:0",
                    "operators_listen": "127.0.0.1:0",
                    "nodes_listen": "127.0.0.1:0",
                    "store": f"127.0.0.1:{self.store.port}",
                    "repeats": {
                        "ratio": 0.2,
                        "window_s": 10,
                        "allowance_count": 58,
                    },
                    "grace_s": 8,
                    **changes,
                }
            )
        )
        pool = gevent.get_hub().threadpool
        self.gateway = pool.apply(
            processes.Process,
            ("mulberrywharf.programs.gateway", "--settings", str(path)),
        )
        self.addCleanup(self.gateway.close)
        return self.gateway

    def ask(self, path: str, **changes: Any) -> Answer:
        with self.connection() as sock:
            sock.sendall(request(path, **changes))
            return Answer(read_to_end(sock))

    @contextlib.contextmanager
    def connection(self) -> Iterator[Any]:
        assert self.gateway is not None
        address = ("127.0.0.1", self.gateway.ready["callers"])
        sock = socket.create_connection(address)
        sock.settimeout(15)
        try:
            yield sock
        finally:
            sock.close()

    def readiness(self) -> int:
        assert self.gateway is not None
        address = ("127.0.0.1", self.gateway.ready["operators"])
        with socket.create_connection(address) as sock:
            sock.sendall(b"GET /ready HTTP/1.0\r\n\r\n")
            return Answer(read_to_end(sock)).status

    def wait_ready(self) -> None:
        self.assertTrue(
            builders_platform.wait_until(lambda: self.readiness() == 200)
        )


def request(
    path: str, *, fields: str = "", body: str = "body", close: bool = True
) -> bytes:
    ending = "connection: close\r\n" if close else ""
    return (
        f"POST {path} HTTP/1.1\r\nhost: {build.HOST}\r\n"
        "x-mulberrywharf-request-id: id-1\r\n"
        "x-mulberrywharf-deadline-ms: 3000\r\n"
        f"{fields}{ending}content-length: {len(body)}\r\n\r\n{body}"
    ).encode()


def read_to_end(sock: Any) -> bytes:
    data = b""
    while some := sock.recv(65536):
        data += some
    return data


class ServingTest(GatewayCase):
    def test_not_ready_until_routes_arrive(self) -> None:
        """Callers received 404 from a node that had just started.

        The node started before any routes were written, and missing routes
        were treated like an empty routing table.
        """
        self.start()
        self.assertEqual(self.readiness(), 503)
        answer = self.ask("/safe/x")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.write_routes()
        self.wait_ready()
        self.assertEqual(self.ask("/safe/x").status, 200)

    def test_large_body_is_not_refused_for_good_before_routes_arrive(
        self,
    ) -> None:
        """Guards against 413 for a body that the routes allow."""
        self.start()
        large = "x" * (listener.DEFAULT_BODY_LIMIT_BYTES + 1)
        answer = self.ask("/safe/x", body=large)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"not-ready", answer.body)
        self.assertIn("retry-after", answer.headers)
        self.write_routes()
        self.wait_ready()
        self.assertEqual(self.ask("/safe/x", body=large).status, 200)

    def test_malformed_route_costs_only_its_own_requests(self) -> None:
        """Guards against 404 for sound routes beside a malformed one."""
        self.write_routes(1)
        self.start()
        self.wait_ready()
        document = build.routes_document(2)
        sound = document["routes"][0]
        document["routes"] += [
            {**sound, "prefix": "/safe/odd/", "timeout-ms": "2000"},
            {**sound, "prefix": "/added/", "max-attempts": None},
            {**sound, "prefix": 7},
        ]
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.ask("/added/x").status == 200, limit_s=2.0
            )
        )
        self.assertEqual(self.ask("/safe/x").status, 200)
        runs_count = len(self.plain.request_headers)
        answer = self.ask("/safe/odd/x")
        self.assertEqual(answer.status, 503)
        self.assertIn(b"unusable-route", answer.body)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(len(self.plain.request_headers), runs_count)

    def test_heads_are_as_long_as_the_operators_allow(self) -> None:
        """Guards against 413 for a proper request with a long head."""
        self.write_routes(1)
        self.start()
        self.wait_ready()
        fields = {
            length: f"x-note: {'n' * length}\r\n" for length in (40_000, 70_000)
        }
        self.assertEqual(self.ask("/safe/x", fields=fields[40_000]).status, 413)
        limits = build.routes_document()["limits"]
        self.store.put(
            documents.ROUTES_KEY,
            build.routes_value(
                2, limits={**limits, "max-header-bytes": 65_536}
            ),
        )
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    self.ask("/safe/x", fields=fields[40_000]).status == 200
                ),
                limit_s=2.0,
            )
        )
        self.assertEqual(self.ask("/safe/x", fields=fields[70_000]).status, 413)

    def test_plain_call_and_stream_reach_their_servers(self) -> None:
        self.write_routes()
        self.start()
        self.wait_ready()
        plain = self.ask("/safe/x?q=1")
        self.assertEqual(plain.status, 200)
        self.assertEqual(plain.body, b"plain-1:body")
        self.assertEqual(
            plain.headers["x-mulberrywharf-response-signature"], "plain-1"
        )
        self.assertEqual(self.ask("/unknown/x").status, 404)
        stream = self.ask("/stream/x", fields=PROMPT_FIELDS)
        self.assertEqual(stream.status, 200)
        self.assertEqual(stream.body.count(b"data: "), 5)
        self.assertTrue(stream.body.endswith(b"0\r\n\r\n"))
        (run,) = self.decodes[0].runs + self.decodes[1].runs
        (handle,) = self.prefill.handles
        self.assertTrue(
            run["source"].endswith(f":{self.prefill.port}/{handle}")
        )

    def test_broken_stream_resumes_at_the_other_engine(self) -> None:
        self.write_routes()
        self.start()
        self.wait_ready()
        for engine in self.decodes:
            engine.faults = {"break_after": 3}
        # The second run starts after event 3, so the fault does not end it.
        stream = self.ask("/stream/x", fields=PROMPT_FIELDS)
        runs = self.decodes[0].runs + self.decodes[1].runs
        self.assertEqual([run["after"] for run in runs][-1], "3")
        self.assertEqual(stream.body.count(b"data: id-1 3"), 1)

    def test_stream_that_fails_before_its_first_event_gets_an_answer(
        self,
    ) -> None:
        """Connections of callers were closed without an answer."""
        self.write_routes()
        self.start()
        self.wait_ready()
        for engine in self.decodes:
            engine.crash_on = "body"
        answer = self.ask("/stream/x", fields=PROMPT_FIELDS)
        self.assertEqual(answer.status, 502)
        self.assertIn(b"back-end-lost", answer.body)

    def test_routes_change_while_serving(self) -> None:
        self.write_routes()
        self.start()
        self.wait_ready()
        document = build.routes_document(2)
        document["routes"] = document["routes"][:1]
        document["routes"][0]["prefix"] = "/new/"
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.ask("/new/x").status == 200
            )
        )
        self.assertEqual(self.ask("/safe/x").status, 404)

    def test_serves_while_the_store_is_down(self) -> None:
        self.write_routes()
        self.start()
        self.wait_ready()
        self.store.faults = {"down": True}
        gevent.sleep(0.5)
        self.assertEqual(self.ask("/safe/x").status, 200)
        self.assertEqual(self.readiness(), 200)


class FirstRoutesTest(GatewayCase):
    """Gateways that had just started refused callers.

    After a power loss of all machines, all gateways start at once, so the load
    balancer also sends callers to gateways that are not ready. Gateways without
    routes refused requests at once, although routes arrive within a second and
    callers wait for several. Most callers of two seconds failed.

    In one simulated day, 13 gateways received their first routes 0.8 to 1.0 s
    after their start and refused 190 callers until then; most of these never
    got an answer.
    """

    def ask_in_background(self, path: str) -> gevent.Greenlet:
        asked = gevent.spawn(self.ask, path, fields=PROMPT_FIELDS)
        gevent.sleep(0.2)
        return asked

    def test_caller_waits_for_the_first_routes(self) -> None:
        self.start()
        asked = [
            self.ask_in_background("/safe/x"),
            self.ask_in_background("/stream/x"),
        ]
        self.write_routes()
        for one in asked:
            self.assertEqual(one.get(timeout=5).status, 200)

    def test_caller_is_refused_after_a_third_of_its_time_without_routes(
        self,
    ) -> None:
        self.start()
        began_s = time.monotonic()
        answer = self.ask("/safe/x")
        took_s = time.monotonic() - began_s
        self.assertEqual(answer.status, 503)
        self.assertGreater(took_s, 0.8)
        self.assertLess(took_s, 1.5)


class RestoredStoreTest(GatewayCase):
    """The store was restored from a copy some seconds old while serving.

    Callers were refused, or served by replaced routes. Version 2 of the routes
    was acknowledged and in force when the store came back with version 1,
    without the gateways' keys, and assigned the same revisions again. Operators
    and servers wrote their keys again a moment later. The content of the store
    was taken for what was last acknowledged.
    """

    def setUp(self) -> None:
        super().setUp()
        self.store.era = 1

    def write_prefix(self, version: int, prefix: str) -> None:
        document = build.routes_document(version)
        document["routes"][0]["prefix"] = prefix
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def status(self, path: str) -> int:
        return self.ask(path).status

    def test_callers_are_served_by_the_newest_routes_throughout(self) -> None:
        self.write_prefix(1, "/old/")
        self.start()
        self.wait_ready()
        copy = self.store.copy()
        self.write_prefix(2, "/new/")
        self.assertTrue(
            builders_platform.wait_until(lambda: self.status("/new/") == 200)
        )
        self.store.faults = {"down": True}
        gevent.sleep(0.3)
        self.store.restore(copy)
        self.store.faults = {}
        ends_s = time.monotonic() + 3.0
        while time.monotonic() < ends_s:
            self.assertEqual(self.status("/new/"), 200)
            self.assertEqual(self.status("/old/"), 404)
        self.write_prefix(2, "/new/")
        self.write_prefix(3, "/newest/")
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.status("/newest/") == 200, limit_s=3.0
            )
        )

    def test_gateway_started_after_the_restore_follows_new_routes(
        self,
    ) -> None:
        self.write_prefix(1, "/old/")
        copy = self.store.copy()
        self.write_prefix(2, "/new/")
        self.store.restore(copy)
        self.start()
        self.wait_ready()
        # It can't know of version 2, as no process that it asks has seen it.
        self.assertEqual(self.status("/old/"), 200)
        self.write_prefix(2, "/new/")
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.status("/new/") == 200, limit_s=3.0
            )
        )


class SignalTest(GatewayCase):
    def test_stop_finishes_open_requests(self) -> None:
        """A planned restart cut off a check-in.

        SIGTERM arrived while a request was waiting for its answer, and another
        request arrived on an open connection afterwards. The process ended
        without finishing them.
        """
        self.write_routes()
        gateway = self.start()
        self.wait_ready()
        self.plain.faults = {"delay_s": 1.0}
        with self.connection() as first, self.connection() as second:
            first.sendall(request("/safe/1", close=False))
            gevent.sleep(0.2)
            gateway.signal(signal.SIGTERM)
            builders_platform.wait_until(lambda: self.readiness() == 503)
            second.sendall(request("/safe/2", close=False))
            for sock in (first, second):
                answer = Answer(read_to_end(sock))
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.headers["connection"], "close")
        pool = gevent.get_hub().threadpool
        self.assertEqual(pool.apply(gateway.wait), 0)

    def test_reload_finishes_open_requests(self) -> None:
        """A change of a node's settings file cut off all of its requests.

        The default action of SIGHUP ends the process.
        """
        self.write_routes()
        gateway = self.start()
        self.wait_ready()
        self.plain.faults = {"delay_s": 0.5}
        with self.connection() as sock:
            sock.sendall(request("/safe/1"))
            gateway.signal(signal.SIGHUP)
            self.assertEqual(Answer(read_to_end(sock)).status, 200)
        self.assertIsNone(gateway.poll())


if __name__ == "__main__":
    unittest.main()
