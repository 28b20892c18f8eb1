"""``mulberry-router``: serves callers from engines and backend servers."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import os
import signal
import sys

import gevent
from result import Err, Ok, Result

from mulberrywharf import _wsgi, errors, logs, settings
from mulberrywharf.programs import _router

_INTERRUPTED_EXIT_CODE = 130


def main() -> int:
    """Runs a router until SIGTERM, SIGINT or an operator's drain."""
    arguments = _arguments()
    loaded = _load(arguments.settings)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return 1
    config = loaded.ok_value
    if arguments.check_settings:
        print(f"{arguments.settings}: no fault found")
        return 0
    logs.configure(
        vm_id=config["vm_id"],
        availability_zone=config["availability_zone"],
        program="router",
        level=config.get("log_level", "INFO"),
    )
    router = _router.Router.from_config(config)
    _handle_signals(router)
    router.start()
    _wsgi.announce_ready(program="router", **router.ports())
    router.stopping.wait()
    router.stop()
    return 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="mulberry-router",
        description="Serves callers from engines and backend servers.",
    )
    parser.add_argument("--settings", required=True, help="JSON with comments")
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings, say what is wrong, and end",
    )
    return parser.parse_args()


def _load(path: str) -> Result[settings.Settings, errors.SettingsError]:
    loaded = settings.load(path)
    if isinstance(loaded, Ok) and "callers" not in loaded.ok_value:
        fault = errors.Fault(
            "callers", "a router needs it", "say where callers connect"
        )
        return Err(errors.SettingsError(path, [fault]))
    return loaded


def _handle_signals(router: _router.Router) -> None:
    """SIGTERM stops gracefully however often it comes.

    An impatient supervisor that sends it twice must not cut requests. Whoever
    really wants that has SIGKILL, or SIGINT a second time at a terminal.
    """

    def interrupt() -> None:
        if router.stopping.is_set():
            os._exit(_INTERRUPTED_EXIT_CODE)
        router.stopping.set()

    gevent.signal_handler(signal.SIGTERM, router.stopping.set)
    gevent.signal_handler(signal.SIGINT, interrupt)


if __name__ == "__main__":
    sys.exit(main())
