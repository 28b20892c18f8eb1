"""A gateway whom the store turned away, and which has it back.

Requests reached backend servers 12 s after these had announced that they
leave. The store had not answered three of nine gateways for 12.7 s and served
the others; in that time a server announced its leaving and its record was
removed. Operators give a gateway 3 s behind the store's return. Its servers
that left must be out of use by then, however the return goes: with its history
dropped, with connections that stay silent, with calls from before the return
that fail behind it. The evidence was the count of arrivals at the server after
the return, and log lines of plays with the same faults: the present was read
because the history was gone, and the server was kept as one that may only have
lost its lease.
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


def leave_unheard(standin: Any) -> None:
    """Lets the server announce its leaving and go, and no watch see it."""
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

    def test_silent_connections_do_not_keep_a_server(self) -> None:
        """A server that left gets requests for seconds after an outage.

        Symptom: 3.2 s after the store's return a gateway still sends to a
        server that left in the outage. Sequence: the gateway has idle
        connections to the store; the store falls silent for it, the server
        announces its leaving and goes, the history is dropped; the store
        returns, but the connections from before stay silent. Cause: each
        reading of the present took one of them and failed, and each such
        failure counted as an outage in which live servers lose their lease.
        """
        listed = self.start_list(self.client)
        self.assertTrue(wait_for(lambda: listed.usable("plain")))
        gevent.joinall([gevent.spawn(self.get) for _ in range(8)])
        self.store.faults = SILENT
        self.store.mute_connections()
        leave_unheard(self.store)
        wait_for(lambda: self.client.trouble_age_s() < 1.0)
        self.store.faults = {}
        self.assertTrue(
            builders_platform.wait_until(
                lambda: not listed.usable("plain"), limit_s=2.6
            )
        )

    def test_a_call_from_before_the_return_does_not_keep_a_server(
        self,
    ) -> None:
        """A server that left is kept for longer than its record may miss.

        Sequence: a call is sent just before the store returns and is never
        answered; other calls are; the call fails by its timeout; the watch
        finds that the record is gone. Cause: the time in which records may
        come back was counted from that failure, which tells of the time when
        the call was sent.
        """
        watching = _WatchByHand(self.client)
        listed = self.start_list(watching)
        watching.bring("put", build.server_value())
        self.store.faults = SILENT
        late = gevent.spawn(self.get)
        gevent.sleep(0.05)
        self.store.faults = {}
        self.assertTrue(self.get().is_ok())
        returned_s = time.monotonic()
        gevent.sleep(CALL_TIMEOUT_S)
        late.join()
        watching.bring("delete", b"")
        gone_s = returned_s + HOLD_S + 0.2 - time.monotonic()
        self.assertTrue(
            builders_platform.wait_until(
                lambda: not listed.usable("plain"), limit_s=gone_s
            )
        )

    def test_a_call_beyond_the_rate_is_no_outage(self) -> None:
        """A server that left in calm times gets requests for 2.4 s more.

        Sequence: a call of this gateway is refused for the rate of calls that
        all share; a server leaves a moment later. Cause: the refusal counted
        as an outage, in which live servers lose their records, although the
        store takes their writes all the while.
        """
        # By hand: the store's watch may meet the refusal as well, and then
        # tells of the leaving only behind its pause.
        watching = _WatchByHand(self.client)
        listed = self.start_list(watching)
        watching.bring("put", build.server_value())
        self.assertTrue(listed.usable("plain"))
        self.store.faults = {"status": 429}
        self.assertTrue(self.get().is_err())
        watching.bring("delete", b"")
        self.assertEqual(listed.usable("plain"), ())

    def test_a_dropped_history_is_read_over_at_once(self) -> None:
        """Gateways learn of changes up to a second late behind an outage.

        Sequence: the store is silent for some seconds and drops its history;
        the first call after its return says so. Cause: the reading of the
        present waited for the long pause that is meant for a store that does
        not answer, although it just had.
        """
        listed = self.start_list(self.client)
        self.assertTrue(wait_for(lambda: listed.usable("plain")))
        with mock.patch("random.uniform", side_effect=max):
            self.store.faults = SILENT
            # The watch that waits would still be told of the dropped history.
            gevent.sleep(1.0)
            leave_unheard(self.store)
            # Long enough for the pause to grow to its limit.
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


class _WatchByHand:
    """The client of the store, whose watch brings what a test hands it."""

    def __init__(self, client: key_value.KeyValueClient):
        self._client = client
        self._on_change: Callable[[key_value_types.WatchEvent], None] | None
        self._on_change = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def watch(self, prefix: str, on_change: Any, **options: Any) -> Any:
        self._on_change = on_change
        return self

    def close(self) -> None:
        """Ends no watch: there is none."""

    def bring(self, kind: Any, value: bytes) -> None:
        assert self._on_change is not None
        kv = key_value_types.KeyValue(KEY, value, 1, 1, 0)
        self._on_change(key_value_types.WatchEvent(kind, kv))


def wait_for(condition: Callable[[], object]) -> bool:
    return builders_platform.wait_until(condition)


if __name__ == "__main__":
    unittest.main()
