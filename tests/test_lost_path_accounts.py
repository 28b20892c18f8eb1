"""Tests who settles keys, usage and limits of handed over requests."""

import time

import gevent

from standins.operators_platform import OperatorsPlatformStandin
from tests import (
    builders_customers,
    builders_paths,
    builders_platform,
    test_server_limit,
)

_KEY_FIELDS = f"x-mulberrywharf-credential: {builders_customers.KEY}\r\n"
_NEW_KEY_FIELDS = "x-mulberrywharf-credential: new-key\r\n"
_USAGE_WINDOW_S = 2.0
_LATE_S = 10.0


class AccountsCase(builders_paths.PathCase):
    """Two gateways, the first of which reaches no server."""

    tenants = builders_customers.tenants()

    def setUp(self) -> None:
        super().setUp()
        self.served_count = 0

    def start_two(self, **settings: object) -> None:
        self.start_gateways(2, **settings)
        self.reset([0])
        self.call_both()
        gevent.sleep(1.0)

    def call_both(self) -> None:
        """Calls each kind of server at the gateway without a path."""
        for path in ("/safe/x", "/stream/x"):
            answer = self.call(0, path, self.fields(path))
            self.assertEqual(answer.status, 200)
            self.served_count += 1

    def fields(self, path: str) -> str:
        prompt = builders_paths.SHORT_PROMPT_FIELDS
        return _KEY_FIELDS + (prompt if path.startswith("/stream/") else "")


class KeysTest(AccountsCase):
    def test_keys_are_checked_by_the_first_gateway(self) -> None:
        """Guards against keys that count as long as any gateway knows them."""
        self.start_two()
        self.views[1].is_held = True
        self.tenants = [{"name": "ann", "api-keys": ["new-key"]}]
        self.write_routes(2)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.call(0, "/safe/x", _NEW_KEY_FIELDS).status == 200
            )
        )
        self.assertEqual(self.call(0, "/safe/x", _KEY_FIELDS).status, 401)
        self.assertEqual(self.call(1, "/safe/x", _NEW_KEY_FIELDS).status, 401)

    def test_servers_receive_the_name_of_the_customer(self) -> None:
        self.start_two()
        self.call_both()
        servers = (self.plain, self.prefill, *self.decodes)
        fields = [one for server in servers for one in server.request_headers]
        names = {one.get("HTTP_X_MULBERRYWHARF_TENANT_ID") for one in fields}
        self.assertEqual(names, {"ann"})
        self.assertNotIn("-of-ann", str(fields))


class UsageTest(AccountsCase):
    def test_usage_is_reported_once(self) -> None:
        platform = OperatorsPlatformStandin()
        platform.start()
        self.addCleanup(platform.close)
        self.start_two(
            duties={
                "platform": f"127.0.0.1:{platform.port}",
                "lease_ms": 1000,
                "checks_fencing": True,
                "usage": {"window_s": _USAGE_WINDOW_S, "late_s": _LATE_S},
            }
        )
        for _ in range(10):
            self.call_both()

        def reported_count() -> int:
            return sum(
                counts.get("ann", 0) for counts in platform.usage.values()
            )

        self.assertTrue(
            builders_platform.wait_until(
                lambda: reported_count() >= self.served_count,
                _LATE_S + 3 * _USAGE_WINDOW_S,
            )
        )
        gevent.sleep(2 * _USAGE_WINDOW_S)
        self.assertEqual(reported_count(), self.served_count)


class LimitTest(AccountsCase):
    """A server got more than the limit that it stated in its answers."""

    tenants = ()

    def test_limits_hold_for_requests_of_several_gateways(self) -> None:
        self.plain.limits = (str(test_server_limit.LIMIT_PER_S),)
        self.start_gateways(3)
        self.reset([0, 1])
        until_s = time.monotonic() + 9.0
        callers = [
            gevent.spawn(self._call_until, number % 3, until_s)
            for number in range(12)
        ]
        gevent.joinall(callers, raise_error=True)
        arrivals_s = [arrival.at_s for arrival in self.plain.arrivals]
        bound_s = arrivals_s[0] + test_server_limit.BOUND_FROM_S
        counted_s = [at_s for at_s in arrivals_s if at_s >= bound_s]
        self.assertLessEqual(
            test_server_limit.most_in_window(counted_s),
            test_server_limit.ALLOWED_FACTOR
            * test_server_limit.LIMIT_PER_S
            * test_server_limit.WINDOW_S
            + test_server_limit.ALLOWED_EXTRA_COUNT,
        )
        self.assertGreaterEqual(len(counted_s), test_server_limit.LIMIT_PER_S)

    def _call_until(self, number: int, until_s: float) -> None:
        while time.monotonic() < until_s:
            self.call(number, "/safe/x")
            gevent.sleep(0.3)


if __name__ == "__main__":
    import unittest

    unittest.main()
