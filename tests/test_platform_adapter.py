"""Tests of the platform adapter: documents, headers and store dialect."""

import unittest

from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.forwarding import request
from mulberrywharf.platform import documents, requests
from mulberrywharf.platform_service import key_value_types, lease
from mulberrywharf.policy import request_limits
from mulberrywharf.routes import kinds
from tests import builders_platform
from tests import builders_routes as build

FORGED = (
    "x-mulberrywharf-stage",
    "x-mulberrywharf-kv-source",
    "x-mulberrywharf-kv-hold",
    "x-mulberrywharf-kv-backup",
    "x-mulberrywharf-pin-ms",
    "x-mulberrywharf-expected-instance",
    "x-mulberrywharf-expected-version",
    "x-mulberrywharf-request-priority",
    "kv-fetch",
)


class AnswerTest(unittest.TestCase):
    """Decoding of the response headers that describe the server."""

    def head(self, status: int, **fields: str) -> request.AnswerHead:
        class Answer:
            status_code = status
            status_message = "Said"

            def items(self) -> list[tuple[str, str]]:
                return list(named.items())

            def header(self, name: str) -> str | None:
                return named.get(name)

            def header_values(self, name: str) -> tuple[str, ...]:
                return (named[name],) if name in named else ()

        named = {name.replace("_", "-"): text for name, text in fields.items()}
        return requests.ServerDialect().read_head(Answer())

    def test_limit_of_a_misdirected_answer_is_ignored(self) -> None:
        for status in (200, 500, 503):
            self.assertEqual(
                self.head(status, server_limit="2.5").limit,
                request_limits.RequestLimit(2.5),
            )
        self.assertEqual(
            self.head(421, server_limit="2.5").limit, request_limits.NoLimit()
        )

    def load(self, text: str) -> request.StatedLoad | None:
        return self.head(200, x_mulberrywharf_instance_load=text).load

    def test_further_figures_of_a_load_keep_the_known_ones(self) -> None:
        """Guards against loads that are unknown for a whole fleet.

        Servers of one operator add a fourth figure. Their loads were dropped
        as a whole, without a log line.
        """
        for text in ("3,1,6", " 3, 1 ,6", "3,1,6,250", "3,1,6,,x", "3,1,6,-1"):
            with self.subTest(text=text):
                load = self.load(text)
                assert isinstance(load, request.ReportedLoad)
                self.assertEqual(load[:3], (3, 1, 6))

    def test_pace_of_a_load(self) -> None:
        """Guards against an incredible pace that is used or hides the load."""
        stated = {"100": 1.0, "250,7": 2.5, " 62.5": 0.625}
        invalid = ("", "0", "-1", "+100", "1", "1e9", "nan", "inf", "9" * 5_000)
        for text, pace in {**stated, **dict.fromkeys(invalid)}.items():
            with self.subTest(text=text[:20]):
                self.assertEqual(
                    self.load(f"3,1,6,{text}"),
                    request.ReportedLoad(3, 1, 6, pace),
                )

    def test_a_malformed_load_is_reported_as_such(self) -> None:
        """Guards against loads that are dropped without a trace.

        Python's ``int`` accepts signs, underscores and other scripts' digits,
        and raises for thousands of digits.
        """
        texts = ("", "3,1", "3,,6", "a,1,6", "-3,1,6", "+3,1,6", "1_0,1,6")
        for text in (*texts, "\u0663,1,6", "9" * 5_000 + ",1,6", "3,1,1e3"):
            with self.subTest(text=text[:20]):
                self.assertEqual(self.load(text), request.MalformedLoad(text))
        self.assertIsNone(self.head(200).load)

    def test_retry_after_is_read_from_refusals_only(self) -> None:
        for status in (429, 503):
            self.assertEqual(
                self.head(status, retry_after="1.5").retry_after_s, 1.5
            )
        self.assertIsNone(self.head(200, retry_after="1.5").retry_after_s)
        self.assertIsNone(self.head(421, retry_after="1.5").retry_after_s)

    def test_invalid_retry_after_is_ignored(self) -> None:
        """Guards against excluding a server because of a malformed field."""
        for text in (
            "",
            "0",
            "-3",
            "nan",
            "inf",
            "1e999",
            "soon",
            "3, 5",
            "Thu, 03 Dec 2026 08:00:00 GMT",
        ):
            with self.subTest(text=text):
                self.assertIsNone(
                    self.head(503, retry_after=text).retry_after_s
                )

    def test_leaving_server_is_recognized(self) -> None:
        self.assertTrue(self.head(200, server_leaving="1").is_leaving)
        self.assertTrue(self.head(503, server_leaving="1").is_leaving)
        self.assertFalse(self.head(200, server_leaving="0").is_leaving)
        self.assertFalse(self.head(200).is_leaving)
        # The response is from a server other than the one addressed.
        self.assertFalse(self.head(421, server_leaving="1").is_leaving)

    def test_header_fields_are_kept_for_the_caller(self) -> None:
        head = self.head(200, server_leaving="1", retry_after="7")
        self.assertIn(("server-leaving", "1"), head.fields)
        self.assertIn(("retry-after", "7"), head.fields)


class DocumentsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.documents = documents.StoredDocuments()

    def test_routes_are_decoded(self) -> None:
        routes = self.documents.decode_routes(build.routes_value(7)).unwrap()
        self.assertEqual(routes.version, 7)
        stream = routes.match(build.HOST, "/stream/x")
        assert stream is not None
        self.assertEqual(stream.kind, kinds.EventStream(True))
        self.assertEqual(stream.timeout_s, 5.0)
        self.assertEqual(stream.target_s, 0.4)
        self.assertEqual(stream.gap_target_s, 0.2)
        self.assertTrue(stream.has_prompt)
        self.assertEqual(
            [(d.service, d.weight) for d in stream.destinations],
            [("engines", 90.0), ("plain", 10.0)],
        )
        self.assertEqual(routes.engine_services(), {"engines"})
        engine = routes.services["engines"].engine
        assert engine is not None
        self.assertEqual(engine.link_bytes_per_s, 46.25e9)
        assert routes.limits is not None
        self.assertEqual(routes.limits.idle_timeout_s, 15.0)

    def test_unknown_request_kind_runs_at_most_once(self) -> None:
        document = build.routes_document()
        document["routes"][0]["kind"] = "queued"
        value = build.routes_value(1, routes=document["routes"])
        routes = self.documents.decode_routes(value).unwrap()
        route = routes.match(build.HOST, "/safe/x")
        assert route is not None
        self.assertEqual(route.kind, kinds.AtMostOnce())

    def test_malformed_routes_are_an_error(self) -> None:
        for value in (b"", b"[]", b"{}", b'{"version": "x"}'):
            decoded = self.documents.decode_routes(value)
            self.assertIsInstance(decoded, Err)

    def test_server_record_is_decoded(self) -> None:
        found = self.documents.decode_server(
            "servers/i-1",
            build.server_value(stage="prefill", state="draining", born=7),
        ).unwrap()
        self.assertEqual(found.server_id, "i-1")
        self.assertEqual(found.address, fleet.Address("127.0.0.1", 80))
        self.assertEqual(found.role, "prefill")
        self.assertTrue(found.is_draining)
        self.assertEqual(found.start, fleet.ServerStart("i-1", 7))


class CallerDialectTest(unittest.TestCase):
    def read(
        self, *fields: tuple[str, str]
    ) -> "Ok[request.RoutedRequest] | Err[errors.BadRequestError]":
        return requests.CallerDialect().read(
            method="POST",
            target="/a/b%20c?q=1",
            fields=fields,
            body=b"",
            now_s=10.0,
        )

    def test_prompt_and_deadline_are_decoded(self) -> None:
        wanted = self.read(
            ("host", build.HOST),
            ("x-mulberrywharf-request-id", "id"),
            ("x-mulberrywharf-deadline-ms", "1500"),
            ("x-mulberrywharf-model", "m"),
            ("x-mulberrywharf-token-usage", "1460,80"),
            ("x-mulberrywharf-prompt-prefix", "5c:800, 91:410,e4:250"),
        ).unwrap()
        self.assertEqual(wanted.deadline_s, 11.5)
        self.assertEqual((wanted.path, wanted.host), ("/a/b%20c", build.HOST))
        assert wanted.prompt is not None
        self.assertEqual(wanted.prompt.tokens, 1460)
        self.assertEqual(wanted.prompt.parts[1], ("91", 410))

    def test_malformed_header_fields_are_refused(self) -> None:
        for name, value in (
            ("x-mulberrywharf-deadline-ms", "soon"),
            ("x-mulberrywharf-token-usage", "1460"),
        ):
            self.assertIsInstance(self.read((name, value)), Err)

    def test_control_fields_of_callers_are_not_forwarded(self) -> None:
        """Guards against callers that read the KV cache of another caller.

        A caller sets the KV source field. Forwarding all header fields
        unchanged would pass it on to the engine.
        """
        fields = [(name, "forged") for name in FORGED]
        wanted = self.read(*fields, ("x-own", "1")).unwrap()
        self.assertEqual(wanted.fields, (("x-own", "1"),))
        sent = requests.ServerDialect().encode(
            request.Attempt(wanted, build.server("s1"), 1.0)
        )
        self.assertNotIn("forged", sent.headers.values())


class ServerDialectTest(unittest.TestCase):
    def test_missing_kv_cache_handle_is_an_error(self) -> None:
        dialect = requests.ServerDialect()
        decoded = dialect.decode_handle(build.server(), b"{}")
        self.assertIsInstance(decoded, Err)


class StoreDialectTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.client = build.store_client(self.store.port)
        self.addCleanup(self.client.close)

    def test_writes_compare_the_revision(self) -> None:
        write = self.client.compare_and_swap
        made = write("a/k", b"1", expected_revision=0, purpose="test").unwrap()
        self.assertEqual(made.create_revision, made.mod_revision)
        again = write("a/k", b"2", expected_revision=0, purpose="test")
        self.assertIsInstance(again.err(), errors.RevisionConflictError)
        write(
            "a/k", b"2", expected_revision=made.mod_revision, purpose="test"
        ).unwrap()
        found = self.client.get("a/k", purpose="test").unwrap()
        assert found is not None
        self.assertEqual(found.value, b"2")
        self.client.delete("a/k", purpose="test").unwrap()
        self.assertIsNone(self.client.get("a/k", purpose="test").unwrap())

    def test_get_ignores_longer_keys_with_the_same_prefix(self) -> None:
        self.store.put("a/key-2", b"2")
        self.assertIsNone(self.client.get("a/key", purpose="test").unwrap())

    def test_comparison_of_a_revision_reads_no_value(self) -> None:
        """Guards against reading a large document to see if it changed."""
        revision = self.store.put("key", b"1")
        self.store.put("other", b"2")

        def compare() -> Result[bool, errors.PlatformError]:
            expected = [key_value_types.Guard("key", revision)]
            return self.client.compare_revisions(expected, purpose="test").map(
                lambda changed: "key" not in changed
            )

        before = (self.store.store.revision, len(self.store.calls))
        self.assertEqual(compare(), Ok(True))
        self.assertEqual(self.store.calls[before[1] :], [("POST", "/kv-txn")])
        self.assertEqual(self.store.store.revision, before[0])
        self.store.faults["txn_status"] = 403
        self.assertEqual(compare(), Ok(True))
        self.store.put("key", b"1")
        self.assertEqual(compare(), Ok(False))
        self.store.faults.clear()
        self.assertEqual(compare(), Ok(False))
        self.store.delete("key")
        self.assertEqual(compare(), Ok(False))
        self.store.faults["status"] = 503
        self.assertIsInstance(compare(), Err)

    def test_comparison_reads_what_has_changed(self) -> None:
        """Guards against taking a key that a response omits for deleted."""
        revisions = {
            name: self.store.put(name, name.encode()) for name in "abc"
        }
        self.store.put("b", b"later")
        self.store.delete("c")
        expected = [
            key_value_types.Guard(name, revision)
            for name, revision in revisions.items()
        ]
        for faults in ({}, {"txn_status": 403}, {"omits_items": True}):
            with self.subTest(faults):
                self.store.faults = dict(faults)
                changed = self.client.compare_revisions(
                    expected, purpose="test"
                ).unwrap()
                self.assertEqual(changed.keys(), {"b", "c"})
                found = changed["b"]
                assert found is not None
                self.assertEqual(found.value, b"later")
                self.assertIsNone(changed["c"])

    def test_end_of_a_lease_deletes_its_keys(self) -> None:
        holder = lease.LeaseHolder(self.client, ttl_s=5.0, purpose="test")
        holder.start().unwrap()
        holder.create_key("a/k", b"1").unwrap()
        holder.close()
        self.assertIsNone(self.client.get("a/k", purpose="test").unwrap())

    def test_expired_lease_cannot_be_renewed(self) -> None:
        lost = self.client.keep_alive(77, purpose="test")
        self.assertIsInstance(lost.err(), errors.AuthorityLostError)

    def test_refusals_are_reported_as_unavailable(self) -> None:
        for status in (429, 503):
            self.store.faults = {"status": status}
            failed = self.client.get("a/k", purpose="test")
            self.assertIsInstance(failed.err(), errors.PlatformUnavailableError)

    def test_closed_connections_cause_few_calls(self) -> None:
        """Guards against one read that becomes dozens of billed calls.

        The store closes each connection without a response. By default, the
        HTTP library repeats an idempotent call as many times as its
        connection pool is large.
        """
        self.store.faults = {"down": True}
        self.client.get("a/k", purpose="test")
        self.assertLessEqual(len(self.store.calls), 4)

    def test_changes_in_quick_succession_cause_few_calls(self) -> None:
        """Guards against thousands of billed calls when the fleet starts.

        Servers register one after the other. Each registration completes the
        watch call of each gateway, which would send the next call at once.
        """
        seen: list[str] = []
        watch = self.client.watch(
            "a/", lambda event: seen.append(event.kind), purpose="test"
        )
        self.addCleanup(watch.close)
        builders_platform.wait_until(lambda: len(self.store.calls) >= 2)
        for number in range(40):
            self.store.put(f"a/{number}", b"x")
            builders_platform.gevent.sleep(0.02)
        builders_platform.wait_until(lambda: len(seen) == 40)
        self.assertEqual(len(seen), 40)
        self.assertLess(len(self.store.calls), 20)

    def test_watch_reports_changes_and_deletions(self) -> None:
        seen: list[tuple[str, str]] = []
        self.store.put("a/1", b"x")
        watch = self.client.watch(
            "a/",
            lambda event: seen.append((event.kind, event.key_value.key)),
            purpose="test",
        )
        self.addCleanup(watch.close)
        builders_platform.wait_until(lambda: len(seen) == 1)
        self.store.put("a/2", b"x")
        self.store.put("b/2", b"x")
        self.store.delete("a/1")
        builders_platform.wait_until(lambda: len(seen) == 3)
        self.assertEqual(
            seen, [("put", "a/1"), ("put", "a/2"), ("delete", "a/1")]
        )


if __name__ == "__main__":
    unittest.main()
