"""Calls of idle gateways to the platform's store, by kind, at several sizes.

Run as ``python -m bench.store_calls``. On the operators' platform a server's
record changes only with its state, so one changes now and then, as the routes
do. Watches that wait are dropped at intervals if ``--hang`` is given.
"""

import argparse
import collections
import itertools
import random
import statistics

import gevent
from loguru import logger

from bench import store_restores

SIZES = (9, 61, 195, 340)
LENGTH_S = 20.0
CHANGE_INTERVAL_S = 20.0
"""4,300 configurations a day."""

SERVER_INTERVAL_S = 5.0
"""Interval between changes of servers' records."""

_HANG_INTERVAL_S = 5.0


class Calls:
    """Calls of a fleet, each second by kind.

    Attributes:
        by_second: How many calls of each kind.
    """

    def __init__(self) -> None:
        self.by_second: list[collections.Counter[str]] = []

    def mean_per_s(self, kind: str) -> float:
        """Returns the mean number of calls of a kind in a second."""
        return statistics.fmean(second[kind] for second in self.by_second)

    def peak_writes_per_s(self) -> int:
        """Returns the most calls in a second that count as writes."""
        return max(second["kv-txn"] for second in self.by_second)


def _change(played: store_restores.FleetStore) -> None:
    for number in itertools.count(1):
        gevent.sleep(SERVER_INTERVAL_S)
        played.write_server(number % store_restores.SERVERS_COUNT, number)
        if number % (CHANGE_INTERVAL_S // SERVER_INTERVAL_S) == 0:
            played.write_routes()


def _hang(played: store_restores.FleetStore) -> None:
    while True:
        gevent.sleep(_HANG_INTERVAL_S)
        played.standin.hang_watches()


def play(gateways_count: int, *, hangs: bool) -> Calls:
    """Counts the calls of a fleet once it has started."""
    logger.remove()
    played = store_restores.FleetStore()
    rng = random.SystemRandom()
    net = f"127.{rng.randint(1, 254)}"
    workers = store_restores.start_workers(
        played.standin.port, net, gateways_count
    )
    tasks = [gevent.spawn(_change, played)]
    if hangs:
        tasks.append(gevent.spawn(_hang, played))
    found = Calls()
    try:
        gevent.sleep(store_restores.SETTLED_S)
        for _ in range(int(LENGTH_S)):
            before_count = len(played.standin.calls)
            gevent.sleep(1.0)
            kinds = collections.Counter(
                path.split("/")[1]
                for _, path in played.standin.calls[before_count:]
            )
            found.by_second.append(kinds)
        return found
    finally:
        gevent.killall(tasks)
        for worker in workers:
            worker.kill()
            worker.wait()
        played.close()


def main() -> None:
    """Prints one line a size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--hang", action="store_true")
    arguments = parser.parse_args()
    for size in arguments.sizes.split(","):
        calls = play(int(size), hangs=arguments.hang)
        kinds = sorted({kind for one in calls.by_second for kind in one})
        means = ", ".join(
            f"{kind} {calls.mean_per_s(kind):.1f}" for kind in kinds
        )
        print(
            f"{size} gateways: {means} a second; at most"
            f" {calls.peak_writes_per_s()} writes in one second",
            flush=True,
        )


if __name__ == "__main__":
    main()
