"""What it costs a controller to ask its zone's routers for rates.

Real frames over loopback, the routers' servers in the same process; each
setting is one zone and so many names that its rules ask for. The routers of
the larger zones are asked every ten seconds, so a setting is measured over
some cycles.
"""

import argparse
import itertools
import json
import time

import gevent

from mulberrywharf import clock, fleet, rules
from mulberrywharf.nodes import links, rates, server
from mulberrywharf.programs import _controller_rates

_ZONE = "zone-0"
_KEY = b"k" * 32
_SETTLE_S = 12.0
_READ_INTERVAL_S = 1.0

# An IPv4 header with TCP header and timestamps, for the segment and its ACK.
_WIRE_OVERHEAD_BYTES = 2 * 52

_ROUTERS_COUNTS = (3, 43)
_NAMES_COUNTS = (0, 1, 8, 32)


def _document(names_count: int) -> rules.Document:
    return {
        "rules": [
            {
                "name": f"rule-{number}",
                "when": {
                    "customer": f"customer-{number:03d}",
                    "requests_above_per_s": 5.0,
                },
                "then": {"hold": True},
            }
            for number in range(names_count)
        ],
        "default": {"hold": True},
        "customers": {},
        "services": {},
        "models": {},
        "shed": {
            "first_token_target_ms": 1300.0,
            "between_tokens_target_ms": 28.0,
        },
    }


def _start_routers(count: int) -> list[server.NodeServer]:
    # Figures that differ, since equal ones would deflate too well.
    customers = {f"customer-{n:03d}": 1.0 + n / 7 for n in range(370)}
    started = []
    for number in range(count):
        router = server.NodeServer("127.0.0.1", 0, f"entry-{number}", _KEY)
        rates.register_rates_handler(router, lambda: (customers, {}))
        router.start()
        started.append(router)
    return started


def run_one(
    routers_count: int, names_count: int, measure_s: float
) -> dict[str, float]:
    """Runs one setting and returns its figures."""
    routers = _start_routers(routers_count)
    vms = [
        fleet.VmRecord(
            f"entry-{number}",
            "entry",
            _ZONE,
            fleet.Address("127.0.0.1", router.port),
        )
        for number, router in enumerate(routers)
    ]
    node_links = links.Links("entry-0", _KEY)
    asking = _controller_rates.ZoneRates(
        _ZONE,
        node_links=node_links,
        vms=lambda: vms,
        clock=clock.SystemClock(),
    )
    asking.start()
    document = _document(names_count)
    situation = rules.Situation(_ZONE, 0)
    _read_for(asking, situation, document, _SETTLE_S)
    traffic = node_links.traffic
    before = (traffic.sent_bytes, traffic.received_bytes, traffic.sent_count)
    began_s = time.monotonic()
    ages = _read_for(asking, situation, document, measure_s)
    took_s = time.monotonic() - began_s
    sent, received, questions = (
        (after - first) / took_s
        for after, first in zip(
            (traffic.sent_bytes, traffic.received_bytes, traffic.sent_count),
            before,
            strict=True,
        )
    )
    asking.close()
    for router in routers:
        router.close()
    frames = sent + received
    return {
        "routers_count": routers_count,
        "names_count": names_count,
        "questions_per_s": questions,
        "sent_bytes_per_s": sent,
        "received_bytes_per_s": received,
        "wire_bytes_per_s": frames + 2 * questions * _WIRE_OVERHEAD_BYTES,
        "oldest_age_s": max(ages),
    }


def _read_for(
    asking: _controller_rates.ZoneRates,
    situation: rules.Situation,
    document: rules.Document,
    duration_s: float,
) -> list[float]:
    ages = []
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        ages.append(asking.add_to(situation, document).rates_age_s)
        gevent.sleep(_READ_INTERVAL_S)
    return ages


def main() -> int:
    """Runs all settings at once and prints a line for each.

    Nearly all of the time is waiting, so they do not disturb each other's
    bytes; the processor time is that of all, so ``--only`` runs one.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--measure-s", type=float, default=30.0)
    parser.add_argument(
        "--only", nargs=2, type=int, help="routers and names of one setting"
    )
    arguments = parser.parse_args()
    settings = list(itertools.product(_ROUTERS_COUNTS, _NAMES_COUNTS))
    if arguments.only:
        settings = [tuple(arguments.only)]
    began_s, began_cpu_s = time.monotonic(), time.process_time()
    running = [
        gevent.spawn(run_one, routers, names, arguments.measure_s)
        for routers, names in settings
    ]
    for each in running:
        each.join()
        print(json.dumps(each.get()))
    core_share = (time.process_time() - began_cpu_s) / (
        time.monotonic() - began_s
    )
    print(json.dumps({"core_share_of_all_with_routers": core_share}))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
