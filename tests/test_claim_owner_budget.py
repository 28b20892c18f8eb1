"""Owners of claim shards with a limited budget of key-value calls."""

import unittest

import gevent

from mulberrywharf import fleet
from mulberrywharf.nodes import claim_owner, claims, links
from mulberrywharf.platform_service import key_value
from tests import builders_claims, builders_nodes

_OUTAGE_S = 2.0
_TAKEOVER_REQUEST_INTERVAL_S = 0.02


class ClaimOwnerBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.standin = builders_claims.start_standin()
        self.addCleanup(self.standin.close)
        store = key_value.KeyValueClient(
            [{"ip": "127.0.0.1", "port": self.standin.port}],
            timeout_s=0.5,
            purpose_budgets=claim_owner.PURPOSE_BUDGETS,
        )
        self.addCleanup(store.close)
        record = fleet.VmRecord(
            "r1", "entry", "regina-hall", fleet.Address("127.0.0.1", 1)
        )
        vm_list = builders_claims.ListedVms()
        vm_list.records.append(record)
        node_links = links.Links("r1", builders_nodes.KEY)
        self.addCleanup(node_links.close)
        self.owner = claim_owner.ClaimOwner(
            store,
            vm_list,
            node_links,
            record,
            builders_claims.DEPLOYMENT,
            lease_ttl_s=2.0,
            poll_interval_s=0.4,
        )
        self.addCleanup(self.owner.close)

    def _request_takeovers(self) -> None:
        shard = 0
        while True:
            shard = (shard + 1) % claims.SHARD_COUNT
            self.owner.request_takeover(shard)
            gevent.sleep(_TAKEOVER_REQUEST_INTERVAL_S)

    def _owns_all(self) -> bool:
        return len(self.owner.owned_shards()) == claims.SHARD_COUNT

    def test_waiting_requests_do_not_exhaust_the_call_budget(self) -> None:
        """Claims stay unavailable long after an outage of the service.

        The key-value service is down for two seconds while requests wait for
        their claims, and each repeatedly requests a scan for owners. When
        every such request caused a scan at once, the scans used up the budget
        for acquiring shards and renewing the lease. Shards stayed without an
        owner as long as callers sent requests: the service received ten reads
        per second from each router and no write, and leases on shards expired
        one after the other.
        """
        self.standin.set_faults(down=True)
        self.owner.start()
        requesting = gevent.spawn(self._request_takeovers)
        self.addCleanup(requesting.kill)
        gevent.sleep(_OUTAGE_S)
        self.standin.set_faults()
        builders_claims.wait_until(self._owns_all)
        # Longer than the lease, which must be renewed despite the requests.
        for _ in range(50):
            gevent.sleep(0.1)
            self.assertTrue(self._owns_all())


if __name__ == "__main__":
    unittest.main()
