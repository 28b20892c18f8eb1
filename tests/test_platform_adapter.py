"""The adapter: documents, header fields, and the store as a dialect."""

import unittest

from result import Err, Ok

from mulberrywharf import errors, fleet
from mulberrywharf.forwarding import request
from mulberrywharf.platform import documents, requests
from mulberrywharf.platform_service import lease
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
    """What the head of a server's answer says of the server."""

    def head(self, status: int, **fields: str) -> request.AnswerHead:
        class Answer:
            status_code = status
            status_message = "Said"

            def items(self) -> list[tuple[str, str]]:
                return list(named.items())

            def header(self, name: str) -> str | None:
                return named.get(name)

        named = {name.replace("_", "-"): text for name, text in fields.items()}
        return requests.ServerDialect().read_head(Answer())

    def test_a_refusal_names_a_time_of_rest(self) -> None:
        for status in (429, 503):
            self.assertEqual(self.head(status, retry_after="1.5").rest_s, 1.5)
        self.assertIsNone(self.head(200, retry_after="1.5").rest_s)
        self.assertIsNone(self.head(421, retry_after="1.5").rest_s)

    def test_what_names_no_time_from_now_is_no_rest(self) -> None:
        """A malformed field takes a server away."""
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
                self.assertIsNone(self.head(503, retry_after=text).rest_s)

    def test_a_server_says_that_it_leaves(self) -> None:
        self.assertTrue(self.head(200, server_leaving="1").is_leaving)
        self.assertTrue(self.head(503, server_leaving="1").is_leaving)
        self.assertFalse(self.head(200, server_leaving="0").is_leaving)
        self.assertFalse(self.head(200).is_leaving)
        # It is another server that answers so.
        self.assertFalse(self.head(421, server_leaving="1").is_leaving)

    def test_the_caller_gets_the_fields_as_they_came(self) -> None:
        head = self.head(200, server_leaving="1", retry_after="7")
        self.assertIn(("server-leaving", "1"), head.fields)
        self.assertIn(("retry-after", "7"), head.fields)


class DocumentsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.documents = documents.StoredDocuments()

    def test_routes(self) -> None:
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
        self.assertEqual(routes.prompt_services(), {"engines"})
        engine = routes.services["engines"].engine
        assert engine is not None
        self.assertEqual(engine.link_bytes_per_s, 46.25e9)
        assert routes.limits is not None
        self.assertEqual(routes.limits.idle_timeout_s, 15.0)

    def test_an_unknown_kind_runs_once(self) -> None:
        document = build.routes_document()
        document["routes"][0]["kind"] = "queued"
        value = build.routes_value(1, routes=document["routes"])
        routes = self.documents.decode_routes(value).unwrap()
        route = routes.match(build.HOST, "/safe/x")
        assert route is not None
        self.assertEqual(route.kind, kinds.AtMostOnce())

    def test_a_malformed_document_is_an_error(self) -> None:
        for value in (b"", b"[]", b"{}", b'{"version": "x"}'):
            decoded = self.documents.decode_routes(value)
            self.assertIsInstance(decoded, Err)

    def test_server(self) -> None:
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

    def test_prompt_and_deadline(self) -> None:
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

    def test_malformed_fields_are_refused(self) -> None:
        for name, value in (
            ("x-mulberrywharf-deadline-ms", "soon"),
            ("x-mulberrywharf-token-usage", "1460"),
        ):
            self.assertIsInstance(self.read((name, value)), Err)

    def test_what_only_a_node_sets_is_not_passed_on(self) -> None:
        """A caller reads another caller's KV cache.

        Sequence: a request names a KV source. Cause: all header fields were
        passed on as they came.
        """
        fields = [(name, "forged") for name in FORGED]
        wanted = self.read(*fields, ("x-own", "1")).unwrap()
        self.assertEqual(wanted.fields, (("x-own", "1"),))
        sent = requests.ServerDialect().encode(
            request.Attempt(wanted, build.server("s1"), 1.0)
        )
        self.assertNotIn("forged", sent.headers.values())


class ServerDialectTest(unittest.TestCase):
    def test_a_handle_without_its_name_is_an_error(self) -> None:
        dialect = requests.ServerDialect()
        decoded = dialect.decode_handle(build.server(), b"{}")
        self.assertIsInstance(decoded, Err)


class StoreDialectTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.client = build.store_client(self.store.port)
        self.addCleanup(self.client.close)

    def test_keys_are_written_under_conditions(self) -> None:
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

    def test_get_is_not_misled_by_longer_keys(self) -> None:
        self.store.put("a/key-2", b"2")
        self.assertIsNone(self.client.get("a/key", purpose="test").unwrap())

    def test_a_lease_takes_its_keys_along(self) -> None:
        holder = lease.LeaseHolder(self.client, ttl_s=5.0, purpose="test")
        holder.start().unwrap()
        holder.create_key("a/k", b"1").unwrap()
        holder.close()
        self.assertIsNone(self.client.get("a/k", purpose="test").unwrap())

    def test_a_lapsed_lease_is_lost(self) -> None:
        lost = self.client.keep_alive(77, purpose="test")
        self.assertIsInstance(lost.err(), errors.AuthorityLostError)

    def test_refusals_mean_that_nothing_was_done(self) -> None:
        for status in (429, 503):
            self.store.faults = {"status": status}
            failed = self.client.get("a/k", purpose="test")
            self.assertIsInstance(failed.err(), errors.PlatformUnavailableError)

    def test_a_store_that_closes_connections_gets_few_calls(self) -> None:
        """One read becomes dozens of calls, each of them paid for.

        Sequence: the store closes each connection without an answer. Cause:
        the HTTP library sends an idempotent call again as often as its pool
        is large.
        """
        self.store.faults = {"down": True}
        self.client.get("a/k", purpose="test")
        self.assertLessEqual(len(self.store.calls), 4)

    def test_changes_that_follow_each_other_cost_few_calls(self) -> None:
        """A start of the fleet is paid for by thousands of calls.

        Sequence: servers register one after the other; each wakes the watch
        of each gateway. Cause: the next call was sent at once.
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

    def test_a_watch_brings_changes_and_deletions(self) -> None:
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
