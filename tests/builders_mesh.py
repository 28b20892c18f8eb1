"""Starts nodes of a mesh in the test process, with sockets on loopback."""

from typing import NamedTuple

from result import Ok

from mulberrywharf import fleet
from mulberrywharf.nodes import links, mesh, server
from tests import builders_claims, builders_nodes

INTERVAL_S = 0.05
SUSPECT_AFTER_S = 1.0


class RawConfiguration(NamedTuple):
    version: int
    raw: bytes


class FakeConfiguration:
    """A configuration follower without a key-value service."""

    def __init__(self, version: int = 1):
        self.in_force = RawConfiguration(version, str(version).encode())

    def version(self):
        return self.in_force.version

    def current(self):
        return self.in_force

    def apply_if_newer(self, raw):
        offered = RawConfiguration(int(raw), raw)
        if offered.version <= self.in_force.version:
            return Ok(False)
        self.in_force = offered
        return Ok(True)


class MeshNode:
    """One node of the mesh, with its server and links."""

    def __init__(self, number: int, vm_list, zone="regina-hall", **options):
        name = f"{zone}-entry-{number}"
        self.server = server.NodeServer(
            "127.0.0.1", 0, name, builders_nodes.KEY
        )
        self.server.start()
        self.record = fleet.VmRecord(
            name,
            "entry",
            zone,
            fleet.Address("127.0.0.1", self.server.port),
        )
        self.vm_id = name
        self.links = links.Links(name, builders_nodes.KEY)
        self.configuration = FakeConfiguration()
        options.setdefault("interval_s", INTERVAL_S)
        options.setdefault("suspect_after_s", SUSPECT_AFTER_S)
        self.mesh = mesh.NodeMesh(
            name, zone, vm_list, self.configuration, self.links, **options
        )
        self.mesh.register(self.server)
        vm_list.records.append(self.record)

    def close(self):
        """Stops without a leaving notice, like a killed process."""
        self.mesh.close()
        self.links.close()
        self.server.close()


def start_zone(count: int, vm_list=None, **options):
    """Starts a zone of nodes, all of which are in the VM list already."""
    vm_list = vm_list or builders_claims.ListedVms()
    nodes = [MeshNode(n, vm_list, **options) for n in range(count)]
    for node in nodes:
        node.mesh.start()
    return vm_list, nodes
