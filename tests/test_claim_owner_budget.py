"""Owners of claim shards under their budget of key-value calls."""

import unittest

import gevent

from mulberrywharf import fleet
from mulberrywharf.nodes import claim_owner, claims, links
from mulberrywharf.platform_service import key_value
from tests import builders_claims, builders_nodes

_OUTAGE_S = 2.0
_ASK_INTERVAL_S = 0.02


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

    def _ask_on(self) -> None:
        shard = 0
        while True:
            shard = (shard + 1) % claims.SHARD_COUNT
            self.owner.request_takeover(shard)
            gevent.sleep(_ASK_INTERVAL_S)

    def _owns_all(self) -> bool:
        return len(self.owner.owned_shards()) == claims.SHARD_COUNT

    def test_waiting_presses_do_not_use_up_the_calls(self) -> None:
        """Keyed payments stay refused long after an outage has ended.

        Symptom: claim shards without an owner for as long as callers press;
        the key-value service sees ten reads a second from each router and no
        write, and leases on shards lapse one after the other.
        Sequence: the service is away for two seconds while presses wait for
        their claims; each asks every few moments for a look at the owners.
        Cause: each question led to a look at once. The looks used up the
        budget that the taking of a shard and the renewal of the lease are
        paid from.
        """
        self.standin.set_faults(down=True)
        self.owner.start()
        asking = gevent.spawn(self._ask_on)
        self.addCleanup(asking.kill)
        gevent.sleep(_OUTAGE_S)
        self.standin.set_faults()
        builders_claims.wait_until(self._owns_all)
        # Longer than the lease: it is renewed whatever the callers do.
        for _ in range(50):
            gevent.sleep(0.1)
            self.assertTrue(self._owns_all())


if __name__ == "__main__":
    unittest.main()
