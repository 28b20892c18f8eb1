"""Nodes that own and request claims, in this process, on one stand-in."""

import gevent

from mulberrywharf import fleet
from mulberrywharf.nodes import claim_client, claim_owner, links, server
from mulberrywharf.platform_service import call_budget, key_value
from standins import key_value as key_value_standin
from tests import builders_nodes

DEPLOYMENT = "prairie"
LEASE_TTL_S = 1.0
POLL_INTERVAL_S = 0.1


class ListedVms:
    """A VM list that the test fills."""

    def __init__(self) -> None:
        self.records: list[fleet.VmRecord] = []

    def vms(self) -> list[fleet.VmRecord]:
        return list(self.records)


class ClaimNode:
    """The claim owner and claim client of one entry VM, with real sockets."""

    def __init__(self, name: str, store_port: int, vm_list: ListedVms, **extra):
        self.server = server.NodeServer(
            "127.0.0.1", 0, name, builders_nodes.KEY
        )
        self.server.start()
        address = fleet.Address("127.0.0.1", self.server.port)
        self.record = fleet.VmRecord(name, "entry", "regina-hall", address)
        self.links = links.Links(name, builders_nodes.KEY)
        budget = call_budget.CallBudget(1000.0, 1000)
        self.store = key_value.KeyValueClient(
            [{"ip": "127.0.0.1", "port": store_port}],
            timeout_s=0.5,
            purpose_budgets=dict.fromkeys(claim_owner.PURPOSE_BUDGETS, budget),
        )
        options = {
            "lease_ttl_s": LEASE_TTL_S,
            "poll_interval_s": POLL_INTERVAL_S,
            "shard_count": 1,
            **extra,
        }
        self.owner = claim_owner.ClaimOwner(
            self.store,
            vm_list,
            self.links,
            self.record,
            DEPLOYMENT,
            **options,
        )
        self.owner.register(self.server)
        self.client = claim_client.ClaimClient(
            self.store,
            self.links,
            self.owner,
            name,
            fleet.Address("127.0.0.1", 8080),
            DEPLOYMENT,
            shard_count=options["shard_count"],
        )
        vm_list.records.append(self.record)

    def kill(self) -> None:
        """Stops like a killed process: no handover, the lease must expire."""
        self.owner.close()
        self.links.close()
        self.server.close()

    def close(self) -> None:
        self.client.close()
        self.kill()
        self.store.close()


def start_standin() -> key_value_standin.KeyValueStandin:
    standin = key_value_standin.KeyValueStandin(
        writes_per_s=5000.0, reads_per_s=20000.0
    )
    standin.start()
    return standin


def wait_until(condition, timeout_s: float = 20.0) -> None:
    """Waits until a condition holds; fails after the timeout."""
    with gevent.Timeout(timeout_s, AssertionError("condition not met")):
        while not condition():
            gevent.sleep(0.01)
