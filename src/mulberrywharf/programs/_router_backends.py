"""The router's side of engines and backend servers."""

import random

import gevent

from mulberrywharf import clock, fleet, settings
from mulberrywharf.backend_servers import client, directory
from mulberrywharf.engines import loads
from mulberrywharf.policy import prefix_index
from mulberrywharf.programs import _router_drains, _router_platform
from mulberrywharf.requests import places

_INTERVAL_S = 0.25


class Backends:
    """Engines and backend servers, kept in step with the VM list.

    Attributes:
        loads: What is known of the engines' loads.
        places: Gives out places at engines.
        servers: Chooses backend servers.
        client: Speaks to backend servers.
    """

    def __init__(
        self,
        config: settings.Settings,
        platform: _router_platform.Platform,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        index = prefix_index.PrefixIndex.from_config()
        self.loads = loads.LoadReader.from_config(
            config.get("engines"), sink=index, now=system_clock, chance=rng
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
        self._version = 0
        self._backends: frozenset[fleet.Address] = frozenset()
        self._greenlet: gevent.Greenlet | None = None

    def knows_vms(self) -> bool:
        """Whether a VM list was taken, so that there is somewhere to send."""
        return self._version > 0

    def start(self) -> None:
        """Begins to read loads and to follow the VM list."""
        self.loads.start()
        self.places.start()
        self._drains.start()
        self._greenlet = gevent.spawn(self._follow)

    def close(self) -> None:
        """Ends all that."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._drains.close()
        self.places.close()
        self.loads.close()
        self.client.close()

    def _follow(self) -> None:
        while True:
            if self._vm_list.version() != self._version:
                self._take_vms()
            gevent.sleep(_INTERVAL_S)

    def _take_vms(self) -> None:
        self._version = self._vm_list.version()
        vms = self._vm_list.vms()
        self.loads.set_vms(vms)
        self.servers.set_vms(vms)
        backends = frozenset(
            vm.address
            for vm in vms
            if vm.kind == "backend" and vm.state == "live"
        )
        for address in self._backends - backends:
            self.client.forget(address)
        self._backends = backends
