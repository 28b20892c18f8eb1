"""``mulberry-gateway``: serves callers by the operators' routes."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import signal
import sys

import gevent

from mulberrywharf import _wsgi, gateway_settings, logs
from mulberrywharf.programs import _gateway, _startup

_STANDARD_OUTPUT = 1


def main() -> int:
    """Runs a gateway until SIGTERM or SIGINT."""
    config = _startup.read_settings(
        prog="mulberry-gateway",
        description="Serves callers by the operators' routes.",
        load=gateway_settings.load,
    )
    if isinstance(config, int):
        return config
    return _startup.run_until_stopped(lambda: _run(config))


def _run(config: gateway_settings.GatewaySettings) -> None:
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
    gateway.start()
    _wsgi.announce_ready(program="gateway", **gateway.ports())
    writer.start()
    gateway.stopping.wait()
    gateway.stop()
    writer.close()


if __name__ == "__main__":
    sys.exit(main())
