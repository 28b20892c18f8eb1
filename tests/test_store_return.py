"""Servers that left while a gateway could not reach the store.

The store did not answer three of nine gateways for 12.7 s and served the
others. Meanwhile a backend server announced that it leaves, and its record was
removed.
The gateways read all records again, because the store's history was dropped,
and kept the server as one whose lease may only have expired: it still got
requests 12 s after its announcement.

Operators allow a gateway 3 s after the store's return to stop using such
servers. That must hold with a dropped history, with connections that stay
silent, and with calls from before the return that fail after it.
"""

import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent

from mulberrywharf.forwarding import servers
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import key_value, key_value_types
from tests import builders_platform
from tests import builders_routes as build

HOLD_S = 0.6
CALL_TIMEOUT_S = 0.5
SILENT = {"silent": 30.0}
KEY = documents.SERVERS_PREFIX + "i-1"


def leave_unobserved(standin: Any) -> None:
    """Lets the server leave, with dropped history so that no watch shows it."""
    standin.put(KEY, build.server_value(state="draining"))
    standin.delete(KEY)
    standin.drop_history()


class LeavingServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.client = build.store_client(
            self.store.port, timeout_s=CALL_TIMEOUT_S
        )
        self.addCleanup(self.client.close)
        self.store.put(KEY, build.server_value())

    def start_list(self, client: Any) -> servers.ServerList:
        made = servers.ServerList(
            client, documents.StoredDocuments(), missing_hold_s=HOLD_S
        )
        made.start()
        self.addCleanup(made.close)
        return made

    def get(self) -> Any:
        return self.client.get(KEY, purpose="test")

    def test_silent_connections_do_not_delay_dropping_a_server(self) -> None:
        """Guards against requests to a server that left in an outage.

        The gateway has idle connections to the store when it stops responding.
        The server leaves, the history is dropped and the store returns, but the
        old connections stay silent. Each read of the records took one of them
        and failed, and each failure counted as an outage in which live servers
        lose their lease. 3.2 s after the store's return the gateway still sent
        requests to the server.
        """
        listed = self.start_list(self.client)
        self.assertTrue(wait_for(lambda: listed.usable("plain")))
        gevent.joinall([gevent.spawn(self.get) for _ in range(8)])
        self.store.faults = SILENT
        self.store.mute_connections()
        leave_unobserved(self.store)
        wait_for(lambda: self.client.outage_age_s() < 1.0)
        self.store.faults = {}
        self.assertTrue(
            builders_platform.wait_until(
                lambda: not listed.usable("plain"), limit_s=2.6
            )
        )

    def test_cut_watches_do_not_delay_dropping_a_server(self) -> None:
        """Guards against a cut watch that counts as an outage of the store."""
        self.store.faults = {"cut_watches_s": 0.15}
        listed = self.start_list(self.client)
        self.assertTrue(wait_for(lambda: listed.usable("plain")))
        for _ in range(10):
            gevent.sleep(0.3)
            self.assertGreater(self.client.outage_age_s(), 60.0)
        self.store.delete(KEY)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: not listed.usable("plain"), limit_s=HOLD_S
            )
        )

    def test_a_late_failure_of_an_old_call_does_not_delay_dropping_a_server(
        self,
    ) -> None:
        """Guards against keeping a server that left for too long.

        A call sent just before the store returns is never answered, while later
        calls are. It times out, and then the watch shows that the record is
        gone. The time in which records may come back was counted from that
        timeout, although it only shows that the store was away when the call
        was sent.
        """
        manual_client = _ManualWatchClient(self.client)
        listed = self.start_list(manual_client)
        manual_client.deliver("put", build.server_value())
        self.store.faults = SILENT
        late = gevent.spawn(self.get)
        gevent.sleep(0.05)
        self.store.faults = {}
        self.assertTrue(self.get().is_ok())
        returned_s = time.monotonic()
        gevent.sleep(CALL_TIMEOUT_S)
        late.join()
        manual_client.deliver("delete", b"")
        gone_s = returned_s + HOLD_S + 0.2 - time.monotonic()
        self.assertTrue(
            builders_platform.wait_until(
                lambda: not listed.usable("plain"), limit_s=gone_s
            )
        )

    def test_a_rate_limited_call_does_not_count_as_outage(self) -> None:
        """Guards against requests to a server for 2.4 s after it left.

        A call of this gateway exceeds the rate limit that all callers of the
        store share, and a server leaves a moment later. The refusal counted as
        an outage in which live servers lose their records, although the store
        accepts their writes all the time.
        """
        # The store's own watch may be refused too, and would then report the
        # deletion only after its retry delay. So events are delivered manually.
        manual_client = _ManualWatchClient(self.client)
        listed = self.start_list(manual_client)
        manual_client.deliver("put", build.server_value())
        self.assertTrue(listed.usable("plain"))
        self.store.faults = {"status": 429}
        self.assertTrue(self.get().is_err())
        manual_client.deliver("delete", b"")
        self.assertEqual(listed.usable("plain"), ())

    def test_after_dropped_history_records_are_read_again_at_once(self) -> None:
        """Guards against changes seen up to a second late after an outage.

        The store is silent for some seconds and drops its history; the first
        call after its return reports that. The read of all records waited for
        the long retry delay meant for a store that does not answer, although it
        had just answered.
        """
        listed = self.start_list(self.client)
        self.assertTrue(wait_for(lambda: listed.usable("plain")))
        with mock.patch("random.uniform", side_effect=max):
            self.store.faults = SILENT
            # A watch that is still waiting would be told of the dropped
            # history.
            gevent.sleep(1.0)
            leave_unobserved(self.store)
            # Long enough for the retry delay to grow to its limit.
            gevent.sleep(3.0)
            self.store.faults = {}
            unanswered_count = self.calls_of("/kv-watch")
            wait_for(lambda: self.calls_of("/kv-watch") > unanswered_count)
            readings_count = self.calls_of("/kv-range")
            self.assertTrue(
                builders_platform.wait_until(
                    lambda: self.calls_of("/kv-range") > readings_count,
                    limit_s=0.6,
                )
            )

    def calls_of(self, path: str) -> int:
        return sum(called == path for _, called in self.store.calls)


class _ManualWatchClient:
    """Client of the store whose watch delivers events given by the test."""

    def __init__(self, client: key_value.KeyValueClient):
        self._client = client
        self._on_change: Callable[[key_value_types.WatchEvent], None] | None
        self._on_change = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def watch(self, prefix: str, on_change: Any, **options: Any) -> Any:
        self._on_change = on_change
        self._on_reported = options["on_reported"]
        return self

    def close(self) -> None:
        """Does nothing: there is no real watch."""

    def deliver(self, kind: Any, value: bytes) -> None:
        assert self._on_change is not None
        kv = key_value_types.KeyValue(KEY, value, 1, 1, 0)
        self._on_change(key_value_types.WatchEvent(kind, kv))
        self._on_reported()


def wait_for(condition: Callable[[], object]) -> bool:
    return builders_platform.wait_until(condition)


if __name__ == "__main__":
    unittest.main()
