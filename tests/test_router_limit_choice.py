"""Tests which engine a router chooses while request limits are used up."""

import types
import unittest
from typing import Any

from result import Ok

from mulberrywharf import clock, fleet, server_limits
from mulberrywharf.policy import limit_grants, request_limits
from mulberrywharf.requests import generation

ENGINE = fleet.VmRecord(
    "engine-1", "engine", "zone-a", fleet.Address("127.0.0.1", 1)
)


class RefusingOnce:
    """Refuses the first claim; its wait has passed at once."""

    def __init__(self) -> None:
        self.claims_count = 0

    def note_statement(self, *_: Any) -> None:
        """Does nothing."""

    def claim(
        self, _: Any, statement: limit_grants.LimitStatement, __: float
    ) -> limit_grants.Grant:
        self.claims_count += 1
        return limit_grants.Grant(self.claims_count > 1, 0.0, statement)


class ChoiceTest(unittest.TestCase):
    def test_a_refused_claim_is_made_again(self) -> None:
        """A caller got 503 as the wait of a refused claim had just passed."""
        claims: Any = RefusingOnce()
        limits = server_limits.ServerLimits(clock.SystemClock(), claims)
        limits.note_answer(
            fleet.ServerStart(ENGINE.vm_id),
            request_limits.RequestLimit(10.0),
            may_end=True,
        )
        slot: Any = types.SimpleNamespace(
            choice=types.SimpleNamespace(decode=ENGINE),
            release=lambda failed: None,
        )
        places: Any = types.SimpleNamespace(
            acquire=lambda *_: slot, now_s=lambda: 0.0
        )
        view = types.SimpleNamespace(vm=ENGINE)
        attempts: Any = generation._Attempts.__new__(generation._Attempts)
        attempts._engine_limits = limits
        attempts._places = places
        attempts._reader = types.SimpleNamespace(view=lambda _: view)
        attempts._slot_request = types.SimpleNamespace(deadline_s=1.0)
        attempts._slot = None
        attempts._has_token = False
        self.assertEqual(attempts.choose_engine(frozenset()), Ok(view))


if __name__ == "__main__":
    unittest.main()
