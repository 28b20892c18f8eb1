"""Communication between this process and the routers on other entry VMs."""

from mulberrywharf.nodes.claim_client import ClaimClient
from mulberrywharf.nodes.claim_owner import ClaimOwner
from mulberrywharf.nodes.claims import ClaimGranted, ClaimMet
from mulberrywharf.nodes.links import Links
from mulberrywharf.nodes.mesh import NodeMesh
from mulberrywharf.nodes.server import NodeServer

__all__ = [
    "ClaimClient",
    "ClaimGranted",
    "ClaimMet",
    "ClaimOwner",
    "Links",
    "NodeMesh",
    "NodeServer",
]
