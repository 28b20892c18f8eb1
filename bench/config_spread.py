"""Seconds from an accepted change to in force on nine followers.

The followers are processes of their own; the service is a stand-in of its
own, whose record of the write gives the instant of acceptance. All clocks
are this machine's. The second part makes each change just after the service
was down for a while, when the watches wait to reconnect. The last line of
the output is a JSON object.
"""

import argparse
import hashlib
import json
import os
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import gevent
from result import Ok

from mulberrywharf.platform_service import (
    call_budget,
    config_follower,
    config_store,
    configuration,
    http_calls,
    key_value,
)
from mulberrywharf.rules.document import Document

_DEPLOYMENT = "bench"
_WAIT_LIMIT_S = 30.0
_POLL_S = 0.002
_CALL_TIMEOUT_S = 2.0
_GENEROUS = call_budget.CallBudget(per_s=1000.0, burst_count=1000)


class Spread(NamedTuple):
    """One change.

    Attributes:
        version: The version it made.
        first_s: From acceptance to the first follower.
        last_s: From acceptance to the last follower.
    """

    version: int
    first_s: float
    last_s: float


class _Child:
    """A process of the bench and the lines that it has printed."""

    def __init__(self, module: str, *arguments: str):
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        assert self._process.stdout is not None
        os.set_blocking(self._process.stdout.fileno(), False)
        self._buffer = b""
        self.lines: list[str] = []

    def read(self) -> None:
        """Takes in what was printed since the last call."""
        assert self._process.stdout is not None
        while chunk := self._process.stdout.read():
            self._buffer += chunk
        *whole, self._buffer = self._buffer.split(b"\n")
        self.lines += [line.decode() for line in whole]

    def ready_port(self) -> int:
        """Waits for the READY line."""
        _wait(lambda: (self.read(), self.lines)[1])
        return int(json.loads(self.lines.pop(0).removeprefix("READY "))["port"])

    def close(self) -> None:
        """Ends the process."""
        self._process.send_signal(signal.SIGTERM)
        self._process.wait(timeout=10)


def _wait(condition: Callable[[], object]) -> None:
    end_s = time.monotonic() + _WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("a process of the bench did not get there")
        gevent.sleep(_POLL_S)


def _client(port: int) -> key_value.KeyValueClient:
    return key_value.KeyValueClient(
        [{"ip": "127.0.0.1", "port": port}],
        purpose_budgets={config_store.CHANGE_PURPOSE: _GENEROUS},
    )


def follow(port: int) -> None:
    """Runs one follower, printing each version and when it was in force."""
    client = _client(port)
    follower = config_follower.ConfigFollower(client, _DEPLOYMENT)
    follower.on_change(_print_version)
    follower.start()
    gevent.get_hub().join()


def _print_version(current: configuration.Configuration) -> None:
    line = {"version": current.version, "unix_s": time.time()}
    print(json.dumps(line), flush=True)


def _document(customers_count: int, change: int) -> Document:
    customers = {
        f"customer-{index}": {
            "key_sha256_hex": hashlib.sha256(str(index).encode()).hexdigest(),
            "requests_per_s": 5.0 + (change if index == 0 else 0),
            "tokens_per_s": 2000.0,
            "weight": 1.0,
            "priority": 5,
        }
        for index in range(customers_count)
    }
    document: Any = {
        "rules": [
            {
                "name": f"rule-{index}",
                "when": {"prefill_share_above": (index + 1) / 100},
                "then": {"roles": {"prefill": 0.5, "decode": 0.5}},
            }
            for index in reversed(range(20))
        ],
        "default": {"hold": True},
        "customers": customers,
    }
    return document


class Bench:
    """The processes, and the changes that are made."""

    def __init__(self, followers_count: int, customers_count: int):
        self._customers_count = customers_count
        self._service = _Child("standins.key_value")
        port = self._service.ready_port()
        self._control = http_calls.HttpCalls(
            {"ip": "127.0.0.1", "port": port}, _CALL_TIMEOUT_S
        )
        self._client = _client(port)
        self._store = config_store.ConfigStore(self._client, _DEPLOYMENT)
        self._version = 0
        self.value_bytes = 0
        self._followers = [
            _Child("bench.config_spread", "--follow", str(port))
            for _ in range(followers_count)
        ]
        self.change()

    def close(self) -> None:
        """Ends every process."""
        for child in (*self._followers, self._service):
            child.close()

    def change(self) -> Spread:
        """Makes one change and waits until every follower has it."""
        document = _document(self._customers_count, self._version)
        accepted = self._store.change(
            document, "bench", "", f"c{self._version}", self._version
        )
        assert isinstance(accepted, Ok), accepted
        self._version = accepted.ok_value.version
        self.value_bytes = len(accepted.ok_value.raw)
        _wait(lambda: all(self._in_force_unix_s()))
        accepted_unix_s = self._accepted_unix_s()
        delays_s = [s - accepted_unix_s for s in self._in_force_unix_s()]
        return Spread(self._version, min(delays_s), max(delays_s))

    def change_after_outage(self, outage_s: float) -> Spread:
        """Makes a change as soon as the service is back from an outage."""
        self._control.call("POST", "/standin/faults", {"down": True})
        gevent.sleep(outage_s)
        self._control.call("POST", "/standin/faults", {})
        return self.change()

    def _in_force_unix_s(self) -> Iterator[float]:
        """Yields when each follower ran the version, 0 if it does not."""
        for follower in self._followers:
            follower.read()
            last = json.loads(follower.lines[-1]) if follower.lines else {}
            is_there = last.get("version") == self._version
            yield last["unix_s"] if is_there else 0.0

    def _accepted_unix_s(self) -> float:
        log = self._control.call("GET", "/standin/log").unwrap().body
        return float(log["history"][-1]["unix_s"])


def _summary(spreads: list[Spread]) -> dict[str, float]:
    last_s = [spread.last_s for spread in spreads]
    return {
        "changes_count": len(spreads),
        "median_s": statistics.median(last_s),
        "worst_s": max(last_s),
        "first_follower_median_s": statistics.median(
            spread.first_s for spread in spreads
        ),
    }


def main() -> None:
    """Measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--followers", type=int, default=9)
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--customers", type=int, default=370)
    parser.add_argument("--outages", type=int, default=5)
    parser.add_argument("--outage-s", type=float, default=3.0)
    parser.add_argument("--follow", type=int, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.follow is not None:
        follow(arguments.follow)
        return
    bench = Bench(arguments.followers, arguments.customers)
    try:
        calm = [bench.change() for _ in range(arguments.changes)]
        value_bytes = bench.value_bytes
        after_outage = [
            bench.change_after_outage(arguments.outage_s)
            for _ in range(arguments.outages)
        ]
    finally:
        bench.close()
    result: dict[str, Any] = {
        "followers_count": arguments.followers,
        "value_bytes": value_bytes,
        "calm": _summary(calm),
        "outage_s": arguments.outage_s,
    }
    if after_outage:
        result["after_outage"] = _summary(after_outage)
    for name in ("calm", "after_outage"):
        if name in result:
            print(
                f"{name:14} median {result[name]['median_s']:.3f} s, "
                f"worst {result[name]['worst_s']:.3f} s "
                f"of {result[name]['changes_count']}"
            )
    print(json.dumps(result))


if __name__ == "__main__":
    main()
