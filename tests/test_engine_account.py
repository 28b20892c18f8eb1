"""What a gateway believes of engines."""

import unittest

from mulberrywharf import clock
from mulberrywharf.forwarding import engine_account, server_book
from tests import builders_routes as build

_MEMORY_TOKENS = 400_000


class _Notices:
    gateways_count = 30

    def __init__(self, *, hears: bool):
        self._hears = hears

    def hears_of(self, server: object) -> bool:
        return self._hears

    def add(self, *_: object) -> None:
        """Tells nobody."""


def _account(*, hears: bool) -> engine_account.EngineAccount:
    return engine_account.EngineAccount(
        server_book.ServerBook("zone-a"),
        clock.SystemClock(),
        _Notices(hears=hears),
        lambda _: _MEMORY_TOKENS,
    )


class HomeTest(unittest.TestCase):
    def cached_tokens(self, *, hears: bool, is_home: bool) -> int:
        parts = build.prompt(shared_tokens=13_000, own_tokens=3_000).parts
        view = _account(hears=hears).view(
            build.server(), parts, 1.0, is_home=is_home
        )
        return view.cached_tokens

    def test_the_home_holds_a_part_where_not_all_is_heard(self) -> None:
        """Each availability zone reads each part anew.

        Symptom: a third of all tokens read are of parts that another engine
        holds. Sequence: gateways hear of the placements of their own zone
        only; a part was read for another zone. Cause: a part nobody was heard
        to place counted as held nowhere, and was read wherever it was idle.
        """
        self.assertEqual(self.cached_tokens(hears=False, is_home=True), 13_000)
        self.assertEqual(self.cached_tokens(hears=False, is_home=False), 0)

    def test_where_all_is_heard_only_that_counts(self) -> None:
        self.assertEqual(self.cached_tokens(hears=True, is_home=True), 0)


if __name__ == "__main__":
    unittest.main()
