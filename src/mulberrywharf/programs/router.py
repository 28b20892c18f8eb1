"""``mulberry-router``: serves callers from engines and backend servers."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import os
import signal
import sys

import gevent
from result import Err, Ok, Result

from mulberrywharf import _wsgi, errors, settings
from mulberrywharf.programs import _router, _startup

_INTERRUPTED_EXIT_CODE = 130


def main() -> int:
    """Runs a router until SIGTERM, SIGINT or an operator's drain."""
    config = _startup.read_settings(
        prog="mulberry-router",
        description="Serves callers from engines and backend servers.",
        load=_load,
    )
    if isinstance(config, int):
        return config
    return _startup.run_until_stopped(lambda: _run(config))


def _run(config: settings.Settings) -> None:
    _startup.configure_logs(config, "router")
    router = _router.Router.from_config(config)
    _handle_signals(router)
    router.start()
    _wsgi.announce_ready(program="router", **router.ports())
    router.stopping.wait()
    router.stop()


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
