"""Validation of callers' requests."""

import json
import re
import unittest

import hypothesis
from hypothesis import strategies

from mulberrywharf import errors
from mulberrywharf.callers import _completion_body
from tests import callers_fixture as fixture

_CHUNKED = b"transfer-encoding: chunked"
_COMPLETIONS = "/v1/completions"


def _raw_request(*lines: bytes, body: bytes = b"") -> bytes:
    return b"\r\n".join([*lines, b"", b""]) + body


def _response_count(response: bytes) -> int:
    return len(re.findall(rb"HTTP/1\.1 [0-9]{3} ", response))


class _ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.generations = fixture.FakeGenerations(
            lambda: iter([fixture.last_batch("yes ", 0)])
        )
        self.server = fixture.caller_server(generations=self.generations)
        self.server.start()
        self.addCleanup(self.server.close)

    def send(self, data: bytes) -> bytes:
        return fixture.exchange(self.server.port, data)

    def send_completion(self, body: object, *headers: bytes) -> bytes:
        data = json.dumps(body).encode()
        return self.send(
            fixture.request_bytes("POST", _COMPLETIONS, data, *headers)
        )


class RequestParsingTest(_ServerTest):
    def test_ambiguous_heads_are_rejected_and_the_connection_closed(
        self,
    ) -> None:
        """Guards against request smuggling.

        If the router accepted ambiguous lengths, line ends or folded headers,
        a proxy in front of it could see the end of a request at another place.
        A caller could then hide a second request in the first, and an answer
        would reach another caller on the shared connection.
        """
        hidden = b"GET /v1/models HTTP/1.1\r\nhost: router\r\n\r\n"
        head = fixture.head_lines("POST", _COMPLETIONS)
        cases = {
            "both lengths": _raw_request(
                *head, _CHUNKED, body=b"0\r\n\r\n" + hidden
            ),
            "two lengths": _raw_request(
                *head, b"content-length: 4", body=hidden
            ),
            "signed length": _raw_request(
                *head[:3], b"content-length: +0", body=hidden
            ),
            "grouped length": _raw_request(
                *head[:3], b"content-length: 1_0", body=hidden
            ),
            "unknown coding": _raw_request(
                *head[:3], b"transfer-encoding: gzip, chunked", body=hidden
            ),
            "space before colon": _raw_request(
                *head[:3], b"content-length : 0", body=hidden
            ),
            "folded header": _raw_request(*head, b"x-a: b", b" c", body=hidden),
            "bare line feeds": b"\n".join([*head, b"", b""]) + hidden,
            "bare carriage return": _raw_request(
                *head, b"x-a: b\rc", body=hidden
            ),
            "NUL": _raw_request(*head, b"x-a: b\0c", body=hidden),
            "absolute target": _raw_request(
                b"POST http://other/v1/completions HTTP/1.1", *head[1:]
            ),
            "old version": _raw_request(
                b"POST /v1/completions HTTP/0.9", *head[1:]
            ),
        }
        for name, data in cases.items():
            with self.subTest(name):
                response = self.send(data)
                self.assertEqual(_response_count(response), 1)
                self.assertEqual(fixture.status_of(response), 400)
                self.assertEqual(
                    fixture.head_of(response)["connection"], "close"
                )
                problem = fixture.problem_of(response)
                self.assertEqual(problem["outcome"], "not-run")

    def test_malformed_chunks_are_rejected(self) -> None:
        head = fixture.head_lines("POST", _COMPLETIONS)[:3]
        response = self.send(
            _raw_request(*head, _CHUNKED, body=b"zz\r\nabc\r\n")
        )
        self.assertEqual(fixture.status_of(response), 400)
        self.assertEqual(_response_count(response), 1)

    def test_truncated_body_is_rejected(self) -> None:
        head = fixture.head_lines("POST", _COMPLETIONS)[:3]
        response = self.send(
            _raw_request(*head, b"content-length: 90", body=b"{}")
        )
        self.assertEqual(fixture.status_of(response), 400)

    def test_chunked_body_is_read(self) -> None:
        head = fixture.head_lines("POST", _COMPLETIONS)[:3]
        body = json.dumps({"model": "tagger", "prompt": "hi"}).encode()
        chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        response = self.send(_raw_request(*head, _CHUNKED, body=chunks))
        self.assertEqual(fixture.status_of(response), 200)


class SizeLimitsTest(_ServerTest):
    def test_oversized_requests_are_rejected(self) -> None:
        head = fixture.head_lines("POST", _COMPLETIONS)
        large = b"a" * 1_000_001
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(large), large)
        cases = {
            "announced body": _raw_request(
                *head[:3], b"content-length: 99000000000"
            ),
            "chunked body": _raw_request(*head[:3], _CHUNKED, body=chunk),
            "header fields": _raw_request(*head, b"x-a: " + b"a" * 40_000),
            "target": _raw_request(b"GET /" + b"a" * 9000 + b" HTTP/1.1"),
        }
        for name, data in cases.items():
            with self.subTest(name):
                response = self.send(data)
                self.assertIn(fixture.status_of(response), (413, 414))
                problem = fixture.problem_of(response)
                self.assertEqual(
                    problem["type"], "urn:mulberrywharf:request-too-large"
                )


class FieldValidationTest(_ServerTest):
    def test_invalid_values_are_rejected(self) -> None:
        good = {"model": "tagger", "prompt": "hi"}
        cases: list[tuple[object, bytes, int]] = [
            (good, b"x-mulberry-deadline-ms: soon", 400),
            (good, b"x-mulberry-deadline-ms: -1", 400),
            (good, b"x-mulberry-deadline-ms: 99999999999", 400),
            (good, b"x-mulberry-priority: 10", 400),
            (good, b"idempotency-key: " + b"k" * 256, 400),
            (good, b"x-mulberry-idempotent: maybe", 400),
            ([], b"x-a: b", 400),
            ({**good, "model": 7}, b"x-a: b", 400),
            ({**good, "model": "unheard-of"}, b"x-a: b", 404),
            ({**good, "prompt": ["a"]}, b"x-a: b", 400),
            ({**good, "prompt": "\ud800"}, b"x-a: b", 400),
            ({**good, "max_tokens": 0}, b"x-a: b", 400),
            ({**good, "max_tokens": True}, b"x-a: b", 400),
            ({**good, "stream": "yes"}, b"x-a: b", 400),
            ({**good, "n": 2}, b"x-a: b", 400),
        ]
        for body, header, status in cases:
            with self.subTest(body=body, header=header[:40]):
                response = self.send_completion(body, header)
                self.assertEqual(fixture.status_of(response), status)
                problem = fixture.problem_of(response)
                self.assertEqual(problem["outcome"], "not-run")
        self.assertEqual(self.generations.completions, [])

    def test_unknown_customer_keys_are_rejected(self) -> None:
        for value in (b"", b"Bearer wrong", b"Basic a2V5"):
            with self.subTest(value):
                response = self.send(
                    _raw_request(
                        b"GET /v1/models HTTP/1.1",
                        b"host: router",
                        b"authorization: " + value,
                    )
                )
                self.assertEqual(fixture.status_of(response), 401)

    def test_callers_cannot_set_internal_fields(self) -> None:
        """Guards against a caller that reads another customer's KV cache.

        Callers and the system's own processes share one namespace of fields,
        so a router must remove the extension object for engines and internal
        headers from a caller's request.
        """
        self.send_completion(
            {
                "model": "tagger",
                "prompt": "hi",
                "mulberry": {"kv_source": {"ip": "127.0.0.1"}},
            },
            b"x-mulberry-fencing: 1",
            b"x-mulberry-priority: 2",
        )
        completion = self.generations.completions[0]
        self.assertNotIn("mulberry", completion.body)
        names = [name for name, _ in completion.caller.fields]
        self.assertNotIn("x-mulberry-fencing", names)
        self.assertEqual(completion.caller.priority, 2)

    def test_adapter_is_parsed_from_the_model_name(self) -> None:
        self.send_completion({"model": "tagger:names", "prompt": "hi"})
        completion = self.generations.completions[0]
        self.assertEqual(
            (completion.model, completion.adapter), ("tagger", "names")
        )

    def test_without_configuration_the_answer_is_a_problem_document(
        self,
    ) -> None:
        server = fixture.caller_server()
        server._current_configuration = lambda: None
        server.start()
        self.addCleanup(server.close)
        data = fixture.request_bytes("GET", "/v1/models")
        response = fixture.exchange(server.port, data)
        self.assertEqual(fixture.status_of(response), 503)
        self.assertEqual(fixture.problem_of(response)["outcome"], "not-run")
        self.assertIn("retry-after", fixture.head_of(response))


class ArbitraryBytesTest(_ServerTest):
    def check_response(self, response: bytes) -> None:
        if not response:
            return
        for found in re.findall(rb"HTTP/1\.1 ([0-9]{3}) ", response):
            self.assertLess(int(found), 500)
        if fixture.status_of(response) >= 400:
            self.assertEqual(fixture.problem_of(response)["outcome"], "not-run")

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_get_a_valid_response(self, data: bytes) -> None:
        self.check_response(self.send(data))

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(strategies.binary(max_size=100), strategies.binary())
    def test_any_header_and_body_get_a_valid_response(
        self, header: bytes, body: bytes
    ) -> None:
        data = fixture.request_bytes("POST", _COMPLETIONS, body, header)
        self.check_response(self.send(data))

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                ["model", "prompt", "messages", "max_tokens", "stream", "n"]
            ),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.integers()
                | strategies.text(max_size=8)
                | strategies.just("tagger"),
                lambda inner: (
                    strategies.lists(inner, max_size=2)
                    | strategies.dictionaries(
                        strategies.sampled_from(["content", "role"]), inner
                    )
                ),
                max_leaves=4,
            ),
        )
    )
    def test_any_json_gets_a_valid_response(
        self, body: dict[str, object]
    ) -> None:
        for path in (_COMPLETIONS, "/v1/chat/completions"):
            data = json.dumps(body).encode()
            self.check_response(
                self.send(fixture.request_bytes("POST", path, data))
            )


class ErrorTypesTest(unittest.TestCase):
    def test_every_error_status_has_a_reason_phrase(self) -> None:
        from mulberrywharf.callers import problems

        for kind in errors.RequestError.__subclasses__():
            with self.subTest(kind.__name__):
                self.assertNotIn("Error", problems.status_line(kind.status))


class BodyNumbersTest(unittest.TestCase):
    def test_numbers_that_no_engine_can_read_are_refused(self) -> None:
        """Guards against a body for engines that is no JSON."""
        for number in ("1e400", "-1e400", "9" * 21, "9" * 5_000):
            with self.subTest(number[:30]):
                body = f'{{"model": "m", "temperature": {number}}}'.encode()
                with self.assertRaises(errors.BadRequestError) as raised:
                    _completion_body.json_object(body)
                self.assertIn(number[:30], raised.exception.message)
                self.assertLess(len(raised.exception.message), 200)


if __name__ == "__main__":
    unittest.main()
