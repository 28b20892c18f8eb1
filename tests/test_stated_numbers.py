"""Numbers that callers state: wrong ones are refused and harm nobody."""

import unittest
from typing import Any

from mulberrywharf import errors
from mulberrywharf.forwarding import request as forwarded
from mulberrywharf.forwarding import server_tracker
from mulberrywharf.platform import documents, requests
from mulberrywharf.routes import kinds, table
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
    def decode(self, part: str, name: str, value: Any) -> table.RouteTable:
        entries = build.routes_document()[part]
        entries[0][name] = value
        return self.decode_document(**{part: entries})

    def decode_document(self, **changes: Any) -> table.RouteTable:
        value = build.routes_value(**changes)
        return documents.StoredDocuments().decode_routes(value).unwrap()

    def assert_told(self, routes: table.RouteTable, path: str) -> None:
        (fault,) = routes.faults
        self.assertEqual(fault.path, path)

    def test_wrong_field_that_requests_match_costs_its_route(self) -> None:
        """Guards against routes in force that no request can match."""
        for name, value in (("prefix", {}), ("host", None)):
            with self.subTest(name=name):
                routes = self.decode("routes", name, value)
                self.assertIsNone(routes.match(build.HOST, "/safe/x"))
                self.assertEqual(routes.routes_count, 1)
                self.assert_told(routes, "routes[0]")

    def test_wrong_required_field_makes_its_route_unusable(self) -> None:
        """Guards against requests that match the route of a shorter prefix."""
        for name, value in (
            ("timeout-ms", -1),
            ("timeout-ms", "2000"),
            ("timeout-ms", True),
            ("service", []),
            ("traffic-split", [{"service": "plain", "weight": "1"}]),
        ):
            with self.subTest(name=name, value=value):
                routes = self.decode("routes", name, value)
                route = routes.match(build.HOST, "/safe/x")
                assert route is not None
                self.assertEqual(route.destinations, ())
                other = routes.match(build.HOST, "/stream/x")
                assert other is not None
                self.assertEqual(len(other.destinations), 2)
                path = "service" if name == "traffic-split" else name
                self.assert_told(routes, f"routes[0].{path}")

    def test_wrong_optional_field_has_its_default(self) -> None:
        for name, value, attribute, default in (
            ("name", 7, "name", "/safe/"),
            ("kind", None, "kind", kinds.AtMostOnce()),
            ("max-attempts", "2", "attempts_limit_count", 1),
            ("target-latency-ms", -0.5, "target_s", None),
            ("target-gap-ms", "x", "gap_target_s", None),
            ("priority", None, "priority", 5),
            ("priority", "2", "priority", 5),
            ("priority", -1, "priority", 5),
            ("priority", True, "priority", 5),
        ):
            with self.subTest(name=name, value=value):
                routes = self.decode("routes", name, value)
                route = routes.match(build.HOST, "/safe/x")
                assert route is not None
                self.assertEqual(getattr(route, attribute), default)
                self.assertEqual(len(route.destinations), 1)
                self.assert_told(routes, f"routes[0].{name}")

    def test_flag_that_is_no_boolean_opens_nothing(self) -> None:
        """Guards against a route without keys for the text of false."""
        for name, value, attribute in (
            ("public", "false", "is_public"),
            ("public", 1, "is_public"),
            ("session-affinity", "no", "has_prompt"),
        ):
            with self.subTest(name=name, value=value):
                routes = self.decode("routes", name, value)
                route = routes.match(build.HOST, "/safe/x")
                assert route is not None
                self.assertIs(getattr(route, attribute), False)
                self.assert_told(routes, f"routes[0].{name}")
        entries = build.routes_document()["routes"]
        entries[1]["resumable"] = "false"
        routes = self.decode_document(routes=entries)
        route = routes.match(build.HOST, "/stream/x")
        assert route is not None
        self.assertEqual(route.kind, kinds.EventStream(resumable=False))
        self.assert_told(routes, "routes[1].resumable")

    def test_wrong_service_costs_its_share_of_each_route(self) -> None:
        """Guards against engines that are sent requests as plain servers."""
        for name, value in (("max-connections", -1), ("engine", 7)):
            with self.subTest(name=name):
                routes = self.decode("services", name, value)
                self.assertEqual(list(routes.services), ["plain"])
                for path in ("/stream/x", "/safe/x"):
                    route = routes.match(build.HOST, path)
                    assert route is not None
                    self.assertEqual(route.services, {"plain"})
                self.assert_told(routes, "services[0]")

    def test_wrong_limit_leaves_the_built_in_one(self) -> None:
        """Guards against one limit that keeps all routes out of force."""
        names = (
            "max-header-bytes",
            "max-body-bytes",
            "header-timeout-ms",
            "idle-timeout-ms",
        )
        for index, name in enumerate(names):
            for value in (None, "1", -1, True):
                with self.subTest(name=name, value=value):
                    limits = {**build.routes_document()["limits"], name: value}
                    routes = self.decode_document(limits=limits)
                    assert routes.limits is not None
                    for other, found in enumerate(routes.limits):
                        self.assertEqual(found is None, other == index)
                    self.assert_told(routes, f"limits.{name}")
        self.assert_told(self.decode_document(limits=7), "limits")

    def test_numbers_of_engines_are_checked(self) -> None:
        for name, value in (
            ("kv-tokens", -1),
            ("slots", "48"),
            ("link-mbps", None),
            ("handle-ttl-s", -5),
        ):
            with self.subTest(name=name):
                engine = build.routes_document()["services"][0]["engine"]
                routes = self.decode(
                    "services", "engine", {**engine, name: value}
                )
                self.assertEqual(list(routes.services), ["plain"])
                (fault,) = routes.faults
                self.assertIn(name, fault.message)


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
