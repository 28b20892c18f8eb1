"""Tests how decisions on streams are told: errors, counters, log lines."""

import unittest
from collections.abc import Callable

from mulberrywharf import clock, errors, metrics
from mulberrywharf.forwarding import stream_versions, time_limits
from mulberrywharf.policy import stream_version
from tests import builders_routes as build

LIMIT = time_limits.TimeLimit(1_005.0, build.ManualClock())
GONE = (
    'mulberry_stream_continuations_total{by="attempt",'
    'result="version-gone",service="service"} 1'
)


class VersionGoneTest(unittest.TestCase):
    def test_version_that_leaves_before_an_attempt_is_told(self) -> None:
        """Guards against a refusal without a counter and a version."""
        history = build.version_history(build.server("s1", role="decode"))
        versions = stream_versions.StreamVersions(
            build.NoOrigins(),
            history,
            clock.SystemClock(),
            lambda limit_s: True,
        )
        version_key = stream_version.key_of("v1")
        assert version_key is not None
        routed_request = build.routed_request(0.0)
        versions.require_server(routed_request, "service", version_key, LIMIT)
        newer = build.server("s2", role="decode", software_version="v2")
        history.set_servers([newer], 1.0)
        with self.assertRaisesRegex(errors.StreamNotResumableError, r"\(v1\)"):
            versions.require_server(
                routed_request, "service", version_key, LIMIT
            )
        self.assertIn(GONE, metrics.render_text()[0].decode())


class ConfirmationTest(unittest.TestCase):
    """One version is listed here; another one has just been registered."""

    def setUp(self) -> None:
        self.history = build.version_history(build.server("s1", role="decode"))
        self.request = build.routed_request(0.0)._replace(last_event_id="2")

    def take_up(
        self, confirm: Callable[[], bool], version: str | None = None
    ) -> stream_version.VersionKey:
        origins = build.NoOrigins()
        routed_request = self.request
        if version is not None:
            key = stream_version.key_of(version)
            assert key is not None
            origin = stream_version.Begun(key)
            origins.find = (  # type: ignore[method-assign]
                lambda stream, limit_s: origin
            )
            routed_request = routed_request._replace(resumes="first")
        return stream_versions.StreamVersions(
            origins,
            self.history,
            clock.SystemClock(),
            lambda limit_s: confirm(),
        ).take_up(routed_request, "service", LIMIT)

    def see_newer(self) -> bool:
        newer = build.server("s2", role="decode", software_version="v2")
        now_s = clock.SystemClock().monotonic_s()
        self.history.set_servers([newer], now_s)
        return True

    def test_version_is_inferred_once_confirmed(self) -> None:
        self.assertEqual(
            self.take_up(lambda: True), stream_version.key_of("v1")
        )

    def test_version_is_not_inferred_unconfirmed(self) -> None:
        """Guards against a version inferred from a list of long ago."""
        with self.assertRaises(errors.StreamNotResumableError) as raised:
            self.take_up(lambda: False)
        self.assertEqual(
            raised.exception.retry_after_s,
            stream_versions.RETRY_AFTER_NO_REPLY_S,
        )

    def test_waits_leave_time_to_go_elsewhere(self) -> None:
        """Guards against refusals that arrive behind the caller's deadline."""
        limits_s: list[float] = []

        def wait(limit_s: float) -> bool:
            limits_s.append(limit_s)
            system_clock.now_s += limit_s
            return False

        def find(stream: object, limit_s: float) -> stream_version.Unknown:
            wait(limit_s)
            return stream_version.Unknown("no-reply")

        system_clock = build.ManualClock()
        limit = time_limits.TimeLimit(1_000.3, system_clock)
        origins = build.NoOrigins()
        origins.find = find  # type: ignore[method-assign]
        versions = stream_versions.StreamVersions(
            origins, self.history, clock.SystemClock(), wait
        )
        routed_request = self.request._replace(resumes="first")
        with self.assertRaises(errors.StreamNotResumableError) as raised:
            versions.take_up(routed_request, "service", limit)
        self.assertIsNotNone(raised.exception.retry_after_s)
        self.assertEqual(len(limits_s), 2)
        self.assertGreaterEqual(limit.left_s(), 0.07)

    def test_version_is_not_inferred_beside_one_that_appears(self) -> None:
        """Guards against a decision on what was seen before confirming."""
        with self.assertRaises(errors.StreamNotResumableError):
            self.take_up(self.see_newer)

    def test_stream_of_a_version_not_yet_seen_goes_on(self) -> None:
        """Guards against refusals by a gateway that learns of it late."""
        self.assertEqual(
            self.take_up(self.see_newer, "v2"), stream_version.key_of("v2")
        )

    def test_stream_of_a_version_seen_meanwhile_needs_no_other(self) -> None:
        """Guards against refusals by a gateway that stood still."""
        self.assertEqual(
            self.take_up(lambda: not self.see_newer(), "v2"),
            stream_version.key_of("v2"),
        )


if __name__ == "__main__":
    unittest.main()
