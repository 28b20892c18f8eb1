"""Numbers that callers state: wrong ones are refused and harm nobody."""

import json
import unittest

from mulberrywharf import errors
from mulberrywharf.forwarding import request as forwarded
from mulberrywharf.forwarding import server_tracker
from mulberrywharf.platform import documents, requests
from tests import builders_addresses, builders_gateways
from tests import builders_routes as build
from tests import test_gateway as case
from tests.test_plain_call import CallCase, answer

FADED_S = 3 * server_tracker.REPORT_TIME_CONSTANT_S

GOOD = {
    "x-mulberrywharf-model": "m",
    "x-mulberrywharf-token-usage": "16000,50",
    "x-mulberrywharf-prompt-prefix": "aa:13000,bb:3000",
    "x-mulberrywharf-deadline-ms": "3000",
}
CONTRADICTION = {
    "x-mulberrywharf-token-usage": "13000,12",
    "x-mulberrywharf-prompt-prefix": "aa:13300,bb:3720",
}
EXCESS = {
    "x-mulberrywharf-token-usage": "100000000,12",
    "x-mulberrywharf-prompt-prefix": "aa:99000000,bb:1000000",
}
WRONG = (
    CONTRADICTION,
    EXCESS,
    {"x-mulberrywharf-token-usage": "16000"},
    {"x-mulberrywharf-token-usage": "16000,50,1"},
    {"x-mulberrywharf-token-usage": "-16000,50"},
    {"x-mulberrywharf-token-usage": "16000,-50"},
    {"x-mulberrywharf-token-usage": "+16000,50"},
    {"x-mulberrywharf-token-usage": "16_000,50"},
    {"x-mulberrywharf-token-usage": "16000.5,50"},
    {"x-mulberrywharf-token-usage": "16000,100000000"},
    {"x-mulberrywharf-token-usage": "9" * 5000 + ",50"},
    {"x-mulberrywharf-prompt-prefix": "aa:13000,bb:-3000"},
    {"x-mulberrywharf-prompt-prefix": "aa:13000,bb"},
    {"x-mulberrywharf-prompt-prefix": "aa:1e3,bb:1"},
    {"x-mulberrywharf-deadline-ms": "nan"},
    {"x-mulberrywharf-deadline-ms": "inf"},
    {"x-mulberrywharf-deadline-ms": "-1"},
    {"x-mulberrywharf-deadline-ms": "1e400"},
    {"last-event-id": "9" * 5000},
)


class DialectTest(unittest.TestCase):
    def read(self, **changes: str) -> forwarded.RoutedRequest:
        return (
            requests.CallerDialect()
            .read(
                method="POST",
                target="/stream/x",
                fields={**GOOD, **changes}.items(),
                body=b"",
                now_s=100.0,
            )
            .unwrap()
        )

    def test_wrong_numbers_are_refused_with_the_field_and_its_value(
        self,
    ) -> None:
        """Guards against numbers that later code is not made for."""
        for number, changes in enumerate(WRONG):
            with self.subTest(number=number):
                read = requests.CallerDialect().read(
                    method="POST",
                    target="/stream/x",
                    fields={**GOOD, **changes}.items(),
                    body=b"",
                    now_s=100.0,
                )
                error = read.unwrap_err()
                self.assertIsInstance(error, errors.BadRequestError)
                self.assertTrue(
                    any(name in error.message for name in changes),
                    error.message,
                )
                self.assertLess(len(error.message), 400)

    def test_numbers_up_to_the_limits_are_taken(self) -> None:
        most = requests.TOKENS_LIMIT_COUNT
        prompt = self.read(
            **{
                "x-mulberrywharf-token-usage": f"{most},{most}",
                "x-mulberrywharf-prompt-prefix": f"aa:{most - 1},bb:1",
            }
        ).prompt
        assert prompt is not None
        self.assertEqual(prompt.tokens, most)
        self.assertEqual(sum(part.tokens for part in prompt.parts), most)

    def test_parts_may_leave_tokens_out(self) -> None:
        fewer = {"x-mulberrywharf-prompt-prefix": "aa:13000,bb:0"}
        self.assertIsNotNone(self.read(**fewer).prompt)

    def test_long_deadlines_end_within_a_day(self) -> None:
        for text, left_s in (("1500.5", 1.5005), ("0", 0.0), ("9" * 12, 86400)):
            changes = {"x-mulberrywharf-deadline-ms": text}
            self.assertAlmostEqual(
                self.read(**changes).deadline_s, 100.0 + left_s
            )


class RoutesDocumentTest(unittest.TestCase):
    def test_version_with_a_wrong_field_is_rejected_as_a_whole(self) -> None:
        """Guards against routes in force that no request can match."""
        for part, name, value in (
            ("routes", "prefix", {}),
            ("routes", "name", 7),
            ("routes", "host", None),
            ("routes", "timeout-ms", -1),
            ("routes", "timeout-ms", "2000"),
            ("routes", "timeout-ms", True),
            ("routes", "max-attempts", "2"),
            ("routes", "target-latency-ms", -0.5),
            ("routes", "service", []),
            ("services", "name", None),
            ("services", "max-connections", -1),
        ):
            with self.subTest(part=part, name=name, value=value):
                document = build.routes_document()
                document[part][0][name] = value
                decoded = documents.StoredDocuments().decode_routes(
                    json.dumps(document).encode()
                )
                self.assertIsInstance(
                    decoded.unwrap_err(), errors.StoredConfigurationError
                )

    def test_numbers_of_engines_are_checked(self) -> None:
        for name, value in (
            ("kv-tokens", -1),
            ("slots", "48"),
            ("link-mbps", None),
            ("handle-ttl-s", -5),
        ):
            with self.subTest(name=name):
                document = build.routes_document()
                document["services"][0]["engine"][name] = value
                decoded = documents.StoredDocuments().decode_routes(
                    json.dumps(document).encode()
                )
                self.assertTrue(decoded.is_err())


class StatedLoadTest(unittest.TestCase):
    def test_no_server_holds_more_than_its_slots_and_a_queue(self) -> None:
        for load, limited in (
            (forwarded.ReportedLoad(3, 1, 6), (3, 1)),
            (forwarded.ReportedLoad(6, 24, 6), (6, 24)),
            (forwarded.ReportedLoad(999_999, 0, 999_999), (6, 0)),
            (forwarded.ReportedLoad(0, 999_999, 6), (0, 24)),
        ):
            with self.subTest(load=load):
                self.assertEqual(load.limited_to(6)[:2], limited)


class StatedLoadOfAnswerTest(CallCase):
    def test_a_load_that_no_server_holds_fades_like_a_full_one(self) -> None:
        """Guards against servers that look full for many seconds.

        Their answers once stated 65,536 running requests of 545,579 slots.
        """
        for stated in ("65536,1,545579", "0,999999,6"):
            with self.subTest(stated=stated):
                field = f"x-mulberrywharf-instance-load: {stated}\r\n"
                server = self.respond_with(answer(extra=field.encode()))
                start = self.call(server).head.server
                faded_s = self.clock.monotonic_s() + FADED_S
                self.assertLess(
                    self.tracker.others_in_flight_count(start, faded_s),
                    build.server().slots_count,
                )


class GatewayTest(case.GatewayCase):
    def test_requests_with_wrong_numbers_end_no_gateway(self) -> None:
        """Guards against a gateway that one request of any customer ends."""
        self.write_routes()
        net = builders_addresses.claim_net(self)
        gateways = [
            self.start(f"entry-{number}", nodes_listen=f"{net}.{number}:7661")
            for number in (1, 2)
        ]
        self.wait_ready()
        self.assertTrue(builders_gateways.know_each_other(gateways))
        for changes in (CONTRADICTION, EXCESS):
            fields = "".join(
                f"{name}: {value}\r\n"
                for name, value in {**GOOD, **changes}.items()
                if name != "x-mulberrywharf-deadline-ms"
            )
            with self.subTest(changes=changes):
                answer = self.ask("/stream/x", fields=fields)
                self.assertEqual(answer.status, 400)
        for _ in range(20):
            answer = self.ask("/stream/x", fields=case.PROMPT_FIELDS)
            self.assertEqual(answer.status, 200)
        runs = self.decodes[0].runs + self.decodes[1].runs
        self.assertEqual(len(runs), 20)
        self.assertEqual([one.poll() for one in gateways], [None, None])


if __name__ == "__main__":
    unittest.main()
