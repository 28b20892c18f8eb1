"""``mulberry-gateway``: serves callers according to the operators' routes."""

# ruff: noqa: E402
import signal

# A reload that is requested before the settings have been read is none. The
# default action would end the process while it imports its modules.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import sys

import gevent
from loguru import logger
from result import Err, Result

from mulberrywharf import _wsgi, errors, gateway_settings, logs
from mulberrywharf.programs import _gateway, _startup

_STANDARD_OUTPUT = 1


def main() -> int:
    """Runs a gateway until SIGTERM or SIGINT."""
    path = ""

    def load(
        settings_path: str,
    ) -> Result[gateway_settings.GatewaySettings, errors.SettingsError]:
        nonlocal path
        path = settings_path
        return gateway_settings.load(settings_path)

    config = _startup.read_settings(
        prog="mulberry-gateway",
        description="Serves callers according to the operators' routes.",
        load=load,
    )
    if isinstance(config, int):
        return config
    return _startup.run_until_stopped(lambda: _run(config, path))


def _run(config: gateway_settings.GatewaySettings, path: str) -> None:
    writer = logs.LineWriter(_STANDARD_OUTPUT)
    logs.configure_output(
        writer,
        vm_id=config["vm_id"],
        availability_zone=config["availability_zone"],
        level=config.get("log_level", "INFO"),
    )
    gateway = _gateway.Gateway.from_config(config)
    gevent.signal_handler(signal.SIGTERM, gateway.stopping.set)
    gevent.signal_handler(signal.SIGINT, gateway.stopping.set)
    # Without a handler, SIGHUP ends the process and every request in it.
    gevent.signal_handler(signal.SIGHUP, _reload, gateway, path)
    gateway.start()
    _wsgi.announce_ready(program="gateway", **gateway.ports())
    writer.start()
    gateway.stopping.wait()
    gateway.stop()
    writer.close()


def _reload(gateway: _gateway.Gateway, path: str) -> None:
    """Reloads the settings file; keeps the old settings if it is invalid."""
    loaded = gateway_settings.load(path)
    if isinstance(loaded, Err):
        logger.error("settings not reloaded: {}", loaded.err_value.message)
        return
    gateway.reload(loaded.ok_value)


if __name__ == "__main__":
    sys.exit(main())
