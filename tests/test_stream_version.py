"""Tests of the decision at which software version a stream may go on."""

import math
import unittest

from mulberrywharf.policy import stream_version
from tests import builders_routes as build

SERVICE = "service"
LONG_TIMEOUT_S = 60.0


def key(version: str) -> int:
    found = stream_version.key_of(version)
    assert found is not None
    return found


V1, V2 = key("v1"), key("v2")


def seen(
    *recent: int | None, current: int | None = V1, is_complete: bool = True
) -> stream_version.SeenVersions:
    return stream_version.SeenVersions(
        frozenset() if current is None else frozenset({current}),
        frozenset(recent),
        is_complete,
    )


class DecideTest(unittest.TestCase):
    def test_known_version_is_kept(self) -> None:
        self.assertEqual(
            stream_version.decide(stream_version.Begun(V1), seen(V1, V2)),
            stream_version.Only(V1),
        )

    def test_stream_whose_version_is_gone_is_refused(self) -> None:
        for current in (V2, None):
            decided = stream_version.decide(
                stream_version.Begun(V1), seen(V1, V2, current=current)
            )
            self.assertEqual(decided, stream_version.Refused("version-gone"))

    def test_unknown_version_is_not_any_version(self) -> None:
        unknown = stream_version.Unknown("not-found")
        refused = stream_version.Refused("not-found")
        cases = {
            seen(V1): stream_version.Only(V1, is_inferred=True),
            seen(V1, V2): refused,
            seen(V1, None): refused,
            seen(None): refused,
            seen(): refused,
            seen(V1, is_complete=False): refused,
            seen(V2): stream_version.Refused("version-gone"),
        }
        for versions, expected in cases.items():
            with self.subTest(versions):
                decided = stream_version.decide(unknown, versions)
                self.assertEqual(decided, expected)

    def test_stream_of_another_request_is_refused(self) -> None:
        decided = stream_version.decide(stream_version.Foreign(), seen(V1))
        self.assertEqual(decided, stream_version.Refused("other-stream"))


class KeyTest(unittest.TestCase):
    def test_versions_differ_by_any_byte(self) -> None:
        names = ["v1", "V1", "v1 ", "1", "1.0", "x" * 1024, "x" * 1023, "é"]
        keys = {stream_version.key_of(name) for name in names}
        self.assertEqual(len(keys), len(names))

    def test_unknown_version_has_no_key(self) -> None:
        self.assertIsNone(stream_version.key_of(None))


class NeedsConfirmationTest(unittest.TestCase):
    def test_what_may_be_missing_is_confirmed(self) -> None:
        """Guards against decisions by a list that may lack a version."""
        single = stream_version.SeenVersions(
            frozenset({V1}), frozenset({V1}), True
        )
        several = single._replace(recent=frozenset({V1, V2}))
        unknown = stream_version.Unknown("not-named")
        for origin, seen, is_needed in (
            (unknown, single, True),
            (unknown, several, False),
            (unknown, single._replace(is_complete=False), False),
            (stream_version.Begun(V1), single, False),
            (stream_version.Begun(V2), several, False),
            (stream_version.Begun(V2), single, True),
            (stream_version.Foreign(), single, False),
        ):
            with self.subTest(origin=origin, seen=seen):
                self.assertEqual(
                    stream_version.needs_confirmation(origin, seen), is_needed
                )


class HistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = stream_version.VersionHistory()
        self.history.set_following(True, 0.0)
        self.history.set_contact(math.inf)
        self.history.set_confirmed(math.inf)

    def set_versions(self, now_s: float, *versions: str | None) -> None:
        self.history.set_servers(
            (
                build.server(
                    f"s{number}", role="decode", software_version=version
                )
                for number, version in enumerate(versions)
            ),
            now_s,
        )

    def test_versions_of_before_count_for_a_while(self) -> None:
        """Guards against a stream of a version that has just left."""
        self.set_versions(0.0, "v1", "v2")
        self.set_versions(40.0, "v2")
        left_s = 40.0 + stream_version.LEAST_LEFT_HOLD_S
        before = self.history.seen(SERVICE, left_s - 0.1)
        self.assertEqual(before.current, {V2})
        self.assertEqual(before.recent, {V1, V2})
        self.assertEqual(self.history.seen(SERVICE, left_s).recent, {V2})

    def test_versions_are_held_for_the_longest_streams(self) -> None:
        self.set_versions(0.0, "v1")
        self.history.set_longest_timeout(20.0)
        self.set_versions(50.0, "v2")
        self.assertEqual(self.history.seen(SERVICE, 89.9).recent, {V1, V2})
        self.assertEqual(self.history.seen(SERVICE, 90.0).recent, {V2})

    def test_version_that_returns_is_current(self) -> None:
        self.set_versions(0.0, "v1")
        self.set_versions(1.0)
        self.set_versions(2.0, "v1")
        self.assertEqual(self.history.seen(SERVICE, 3.0).current, {V1})

    def test_unknown_versions_stay_in_the_history(self) -> None:
        self.set_versions(0.0, "v1", None)
        self.assertEqual(self.history.seen(SERVICE, 0.0).current, {V1})
        self.assertEqual(self.history.seen(SERVICE, 0.0).recent, {V1, None})

    def test_engines_that_answer_nothing_new_are_not_current(self) -> None:
        engines = (
            build.server("s0", role="prefill", software_version="v1"),
            build.server("s1", role="decode", is_draining=True),
            build.server("s2", role="decode", software_version="v2"),
            build.server("s3", software_version="v3"),
        )
        self.history.set_servers(engines, 0.0)
        versions = self.history.seen(SERVICE, 0.0)
        self.assertEqual(versions.current, {V2})
        self.assertEqual(versions.recent, {V1, V2})

    def test_history_is_complete_once_it_was_followed_long_enough(
        self,
    ) -> None:
        """Guards against a gateway that started after a version had left."""
        hold_s = stream_version.LEAST_HOLD_S
        for now_s, is_complete in ((hold_s - 0.1, False), (hold_s, True)):
            versions = self.history.seen(SERVICE, now_s)
            self.assertEqual(versions.is_complete, is_complete)
        self.history.set_following(False, hold_s)
        self.history.set_following(True, hold_s + 1.0)
        self.assertFalse(self.history.seen(SERVICE, hold_s + 2).is_complete)

    def test_contact_and_confirmation_are_over_with_time(self) -> None:
        """Guards against a history that counts as confirmed long after."""
        limit_s = stream_version.CONTACT_LIMIT_S
        history = stream_version.VersionHistory()
        for ask, note in (
            (history.is_current, history.set_contact),
            (history.is_confirmed, history.set_confirmed),
        ):
            self.assertFalse(ask(0.0))
            note(100.0)
            note(90.0)
            self.assertTrue(ask(100.0 + limit_s))
            self.assertFalse(ask(100.1 + limit_s))

    def test_history_begins_anew_with_another_reading(self) -> None:
        """Guards against a version that came and left between two readings."""
        now_s = 10 * stream_version.LEAST_HOLD_S
        self.assertTrue(self.history.seen(SERVICE, now_s).is_complete)
        self.history.set_following(True, now_s, readings_count=2)
        self.assertFalse(self.history.seen(SERVICE, now_s + 1).is_complete)

    def test_complete_history_of_another_gateway_counts(self) -> None:
        self.set_versions(1.0, "v1")
        self.assertTrue(self.history.merge(SERVICE, [V2], 2.0, 2.1))
        versions = self.history.seen(SERVICE, 2.1)
        self.assertTrue(versions.is_complete)
        self.assertEqual(versions.recent, {V1, V2})
        self.assertFalse(self.history.seen("another", 2.1).is_complete)

    def test_history_of_another_gateway_counts_from_the_question(self) -> None:
        """Guards against a lent history that counts as newer than it is."""
        limit_s = stream_version.CONTACT_LIMIT_S
        self.set_versions(1.0, "v1")
        self.history.set_following(True, 5.0, readings_count=2)
        for asked_s, now_s in ((4.9, 5.1), (5.0, 5.1 + limit_s)):
            merged = self.history.merge(SERVICE, [V2], asked_s, now_s)
            self.assertFalse(merged)
            versions = self.history.seen(SERVICE, now_s)
            self.assertFalse(versions.is_complete)
            self.assertEqual(versions.recent, {V1})
        self.assertTrue(self.history.merge(SERVICE, [V2], 5.0, 5.0 + limit_s))
        hold_s = stream_version.LEAST_LEFT_HOLD_S
        versions = self.history.seen(SERVICE, 5.0 + hold_s)
        self.assertEqual(versions.recent, {V1})


class SourcesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = stream_version.VersionHistory()
        self.history.set_following(True, 0.0)
        self.now_s = 2 * stream_version.LEAST_HOLD_S
        self.history.set_servers(
            [
                build.server("s1", service="a", role="decode"),
                build.server(
                    "s2", service="b", role="decode", software_version="v2"
                ),
            ],
            self.now_s,
        )

    def is_single(self, service: str, after_s: float = 0.0) -> bool:
        return self.history.seen(service, self.now_s + after_s).is_single

    def test_moved_streams_count_until_they_have_ended(self) -> None:
        """Guards against the versions of the present service alone."""
        passed = {"b": {"a"}, "c": {"b"}}
        self.assertTrue(self.history.set_sources({}, passed, self.now_s))
        self.assertTrue(self.is_single("a"))
        for service in ("b", "c"):
            self.assertFalse(self.is_single(service, 39.0))
        self.assertFalse(self.history.set_sources({}, passed, self.now_s))
        hold_s = stream_version.LEAST_LEFT_HOLD_S
        self.assertTrue(self.is_single("b", hold_s))

    def test_split_streams_count_as_long_as_the_split_lasts(self) -> None:
        split = {"a": {"b"}, "b": {"a"}}
        self.history.set_sources(split, {}, self.now_s)
        self.assertFalse(self.is_single("a", 60.0))
        self.history.set_sources({}, {}, self.now_s + 60.0)
        hold_s = stream_version.LEAST_LEFT_HOLD_S
        self.assertFalse(self.is_single("a", 59.0 + hold_s))
        self.assertTrue(self.is_single("a", 60.0 + hold_s))


class LentSourcesTest(unittest.TestCase):
    def test_a_lent_history_lacks_services_that_routes_join_later(
        self,
    ) -> None:
        """Guards against streams joined where routes moved behind a start."""
        history = stream_version.VersionHistory()
        history.set_following(True, 0.0)
        history.set_servers(
            [
                build.server(
                    f"s-{service}",
                    service=service,
                    role="decode",
                    software_version="v1",
                )
                for service in ("a", "b")
            ],
            0.0,
        )
        self.assertTrue(history.merge("a", [V1], 1.0, 1.1))
        self.assertTrue(history.seen("a", 1.1).is_single)
        # An engine of v2 may have left service b before this gateway started.
        history.set_sources({}, {"a": {"b"}}, 2.0)
        self.assertFalse(history.seen("a", 2.0).is_single)
        self.assertFalse(history.merge("a", [V1], 1.9, 2.1))
        self.assertTrue(history.merge("a", [V1, V2], 2.1, 2.2))
        seen = history.seen("a", 2.2)
        self.assertTrue(seen.is_complete)
        self.assertEqual(seen.recent, {V1, V2})


class HoldTest(unittest.TestCase):
    def test_version_is_held_as_long_as_its_routes_streams_last(self) -> None:
        """Guards against a version forgotten as the longest route goes."""
        history = stream_version.VersionHistory()
        history.set_longest_timeout(LONG_TIMEOUT_S)
        older = build.server("s1", role="decode")
        newer = build.server("s2", role="decode", software_version="v2")
        history.set_following(True, 0.0)
        history.set_servers([older, newer], 200.0)
        history.set_servers([newer], 201.0)
        self.assertFalse(history.seen(SERVICE, 220.0).is_single)
        history.set_longest_timeout(5.0)
        self.assertFalse(history.seen(SERVICE, 220.0).is_single)

    def test_history_is_no_sooner_complete_as_its_longest_route_goes(
        self,
    ) -> None:
        """Guards against versions that left before the first reading."""
        history = stream_version.VersionHistory()
        history.set_longest_timeout(LONG_TIMEOUT_S)
        history.set_following(True, 0.0)
        history.set_servers([build.server("s1", role="decode")], 0.0)
        history.set_longest_timeout(5.0)
        self.assertFalse(history.seen(SERVICE, 20.0).is_complete)


if __name__ == "__main__":
    unittest.main()
