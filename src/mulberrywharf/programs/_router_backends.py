"""The engines and backend servers that a router sends requests to."""

import random
from collections.abc import Callable

import gevent

from mulberrywharf import clock, fleet, settings, supervised_task
from mulberrywharf.backend_servers import client, directory
from mulberrywharf.engines import load_reader
from mulberrywharf.policy import prefix_index
from mulberrywharf.programs import _router_drains, _router_platform
from mulberrywharf.requests import places

_INTERVAL_S = 0.25


class Backends:
    """Engines and backend servers, kept up to date with the VM list.

    Attributes:
        loads: Reads the engines' loads.
        places: Allocates request slots at engines.
        servers: Selects backend servers.
        client: Sends requests to backend servers.
    """

    def __init__(
        self,
        config: settings.Settings,
        platform: _router_platform.Platform,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        index = prefix_index.PrefixIndex.from_config()
        self.loads = load_reader.LoadReader.from_config(
            config.get("engines"), sink=index, now=system_clock, rng=rng
        )
        self.places = places.EnginePlaces(
            self.loads, index, system_clock=system_clock, rng=rng
        )
        self.servers = directory.ServiceDirectory(
            config["availability_zone"], rng
        )
        self.client = client.BackendClient()
        self._vm_list = platform.vm_list
        self._drains = _router_drains.DrainWatch(
            platform.key_value, config["deployment"], self.loads.set_drained
        )
        self._vm_list_version = 0
        self._callbacks: list[Callable[[list[fleet.VmRecord]], None]] = []
        self._backend_addresses: frozenset[fleet.Address] = frozenset()
        self._greenlet: gevent.Greenlet | None = None

    def has_vm_list(self) -> bool:
        """Tells whether a VM list was received, so that targets are known."""
        return self._vm_list_version > 0

    def on_vm_list(
        self, callback: Callable[[list[fleet.VmRecord]], None]
    ) -> None:
        """Registers a callback that gets each new VM list."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Starts to read loads and to follow the VM list."""
        self.loads.start()
        self.places.start()
        self._drains.start()
        self._greenlet = supervised_task.spawn(
            "router-backends", self._follow_vm_list
        )

    def close(self) -> None:
        """Stops all of this and closes the connections."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._drains.close()
        self.places.close()
        self.loads.close()
        self.client.close()

    def _follow_vm_list(self) -> None:
        while True:
            if self._vm_list.version() != self._vm_list_version:
                self._apply_vm_list()
            gevent.sleep(_INTERVAL_S)

    def _apply_vm_list(self) -> None:
        self._vm_list_version = self._vm_list.version()
        vms = self._vm_list.vms()
        self.loads.set_vms(vms)
        self.servers.set_vms(vms)
        addresses = frozenset(
            vm.address
            for vm in vms
            if vm.kind == "backend" and vm.state == "live"
        )
        for address in self._backend_addresses - addresses:
            self.client.forget(address)
        self._backend_addresses = addresses
        for callback in self._callbacks:
            callback(vms)
