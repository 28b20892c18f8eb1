"""``mulberry-router``: serves callers from the fleet's engines."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import signal
import sys

import gevent
import gevent.event
from result import Err

from mulberrywharf import _wsgi, fleet, logs, settings
from mulberrywharf.callers import server


def main() -> int:
    """Runs a router until SIGTERM."""
    parser = argparse.ArgumentParser(
        prog="mulberry-router", description="Serves callers from engines."
    )
    parser.add_argument("--settings", required=True, help="JSON with comments")
    parser.add_argument(
        "--engine", action="append", default=[], help="ip:port of an engine"
    )
    arguments = parser.parse_args()
    loaded = settings.load(arguments.settings)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return 1
    node = loaded.ok_value
    logs.configure(
        vm_id=node["vm_id"],
        availability_zone=node["availability_zone"],
        program="router",
    )
    engines = [_address(text) for text in arguments.engine]
    callers = server.CallerServer(node["callers"]["listen"], engines)
    stopping = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    callers.start()
    _wsgi.announce_ready(program="router", callers=callers.port)
    stopping.wait()
    callers.close()
    return 0


def _address(text: str) -> fleet.Address:
    ip, port = text.rsplit(":", 1)
    return fleet.Address(ip, int(port))


if __name__ == "__main__":
    sys.exit(main())
