"""``mulberry-router``: relays requests to engines and backend servers."""

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
    """Runs a router until SIGTERM, SIGINT or an operator's drain request."""
    config = _startup.read_settings(
        prog="mulberry-router",
        description="Relays requests to engines and backend servers.",
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
            "callers", "required for a router", "set callers.listen"
        )
        return Err(errors.SettingsError(path, [fault]))
    return loaded


def _handle_signals(router: _router.Router) -> None:
    """Installs the handlers for SIGTERM and SIGINT.

    SIGTERM always stops gracefully, even if repeated: a supervisor that sends
    it twice must not interrupt requests. SIGKILL, or a second SIGINT at a
    terminal, ends the process immediately.
    """

    def interrupt() -> None:
        if router.stopping.is_set():
            os._exit(_INTERRUPTED_EXIT_CODE)
        router.stopping.set()

    gevent.signal_handler(signal.SIGTERM, router.stopping.set)
    gevent.signal_handler(signal.SIGINT, interrupt)


if __name__ == "__main__":
    sys.exit(main())
