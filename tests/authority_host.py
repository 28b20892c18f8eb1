"""Runs the external systems of one zone in a single process.

The key-value service, the VM list, the weight store and the engines are
stand-ins. Connections to each engine, and of each controller to the key-value
service, go through a fault-injecting proxy. ``POST /proxies`` sets the faults
of a proxy.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
from collections.abc import Iterable
from typing import Any

from mulberrywharf import _wsgi
from standins import (
    _http,
    engine,
    fault_proxy,
    key_value,
    vm_list,
    weight_store,
)


class Host:
    """The stand-ins of one zone and their proxies."""

    def __init__(self, arguments: argparse.Namespace):
        self._proxies: dict[str, fault_proxy.FaultProxy] = {}
        self.key_value = key_value.KeyValueStandin(
            writes_per_s=0.0, reads_per_s=0.0
        )
        self.key_value.start()
        self.vm_list = vm_list.VmListStandin()
        self.vm_list.start()
        for index in range(arguments.controllers):
            self._add_proxy(f"key-value-{index}", self.key_value.port)
        self.weight_store = weight_store.WeightStoreStandin(
            loads_per_s=arguments.loads_per_s
        )
        self.weight_store.start()
        self.engine_ports: dict[str, int] = {}
        for index in range(arguments.engines):
            self._start_engine(index, arguments)

    def _add_proxy(self, name: str, port: int) -> None:
        proxy = fault_proxy.FaultProxy(("127.0.0.1", port))
        proxy.start()
        self._proxies[name] = proxy

    def _start_engine(self, index: int, arguments: argparse.Namespace) -> None:
        engine_id = f"engine-{index}"
        seconds = str(arguments.role_change_s)
        running = engine.Engine(
            engine.parse_arguments(
                [
                    f"--engine-id={engine_id}",
                    f"--checks-fencing={'true' if index % 2 else 'false'}",
                    f"--role-change-s={seconds}",
                    f"--load-model-s={seconds}",
                ]
            )
        )
        running.start()
        server = _http.start_server("127.0.0.1", 0, running.application)
        self.engine_ports[engine_id] = server.port
        self._add_proxy(engine_id, server.port)

    def proxy_ports(self) -> dict[str, int]:
        """Returns the port of each proxy, by name."""
        return {name: proxy.port for name, proxy in self._proxies.items()}

    def application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles ``POST /proxies`` with the proxy's name and fault fields."""
        fields = _http.read_json(environ)
        self._proxies[fields.pop("name")].set_faults(**fields)
        return _http.send_reply(_http.Reply(200, {}), start_response)


def main() -> None:
    """Runs the host until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--controllers", type=int, default=2)
    parser.add_argument("--role-change-s", type=float, default=0.3)
    parser.add_argument("--loads-per-s", type=float, default=0.0)
    host = Host(parser.parse_args())
    control = _http.start_server("127.0.0.1", 0, host.application)
    _http.end_on_sigterm()
    _wsgi.announce_ready(
        name="zone",
        port=control.port,
        key_value=host.key_value.port,
        vm_list=host.vm_list.port,
        weight_store=host.weight_store.port,
        engines=host.engine_ports,
        proxies=host.proxy_ports(),
    )
    control.serve_forever()


if __name__ == "__main__":
    main()
