"""What a gateway believes of engines."""

import unittest

from mulberrywharf import clock, fleet
from mulberrywharf.forwarding import (
    engine_account,
    engine_loads,
    prompt_parts,
    request,
    server_book,
)
from mulberrywharf.peers import codec
from mulberrywharf.policy import (
    part_caches,
    part_homes,
    prompt_placement,
    usual_load,
)
from mulberrywharf.routes import table
from tests import builders_routes as build

_MEMORY_TOKENS = 400_000


_HEARD = build.server("near", availability_zone="zone-a", role="decode")
_UNHEARD = build.server("far", availability_zone="zone-b", role="decode")


class _Notices:
    gateways_count = 30

    def hears_of(self, server: fleet.Server) -> bool:
        return server.availability_zone == "zone-a"

    def add(self, *_: object) -> None:
        """Tells nobody."""


def _account_at(
    known: tuple[fleet.Server, ...],
) -> tuple[engine_account.EngineAccount, server_book.ServerBook]:
    book = server_book.ServerBook("zone-a")
    account = engine_account.EngineAccount(
        book, clock.SystemClock(), _Notices(), lambda _: _MEMORY_TOKENS
    )
    account.follow(known)
    return account, book


class HomeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.account, _ = _account_at((_HEARD, _UNHEARD))

    def cached_tokens(self, server: fleet.Server, *, is_home: bool) -> int:
        prompt = build.prompt(shared_tokens=13_000, own_tokens=3_000)
        parts = prompt_parts.chain_of(prompt)
        view = self.account.view(server, parts, 1.0, is_home=is_home)
        return view.cached_tokens

    def place_nearby(self, part_key: int) -> None:
        """Lets the engine nearby hold a part."""
        key = codec.key_of_server(_HEARD.start)
        part = part_caches.HeldPart(part_key, 1_000)
        placement = codec.Placement(key, 0.1, (part,))
        self.account.on_notice(codec.Notice(1, 1, (placement,)))

    def test_homes_hold_parts_as_often_as_those_that_are_heard(self) -> None:
        """Each availability zone reads each part anew.

        Symptom: a third of all tokens read are of parts that another engine
        holds. Sequence: gateways hear of the placements of their own zone
        only; a part was read for another zone. Cause: a part nobody was heard
        to place counted as held nowhere, and was read wherever it was idle.
        """
        for _ in range(10):
            for part_key in range(20):
                self.place_nearby(part_key)
        self.assertGreater(self.cached_tokens(_UNHEARD, is_home=True), 12_000)
        self.assertEqual(self.cached_tokens(_UNHEARD, is_home=False), 0)

    def test_placements_away_from_home_say_nothing(self) -> None:
        away = [
            part_key
            for part_key in range(2_000)
            if part_homes.homes(part_key, (_HEARD, _UNHEARD), 1) == [_UNHEARD]
        ]
        self.assertGreater(len(away), 100)
        for part_key in away:
            self.place_nearby(part_key)
            self.place_nearby(part_key)
        self.assertEqual(self.cached_tokens(_UNHEARD, is_home=True), 0)

    def place_at_home_nearby(self, number: int, shared_id: str) -> None:
        """Places a prompt whose own part is new and its longest."""
        parts = (
            request.PromptPart(shared_id, 2_000),
            request.PromptPart(f"own-{number}", 6_000),
        )
        prompt = request.Prompt("m", 8_000, 100, parts)
        plan = prompt_placement.plans(
            prompt_placement.PromptShape(8_000, 2_000, 18_432.0, 46e9),
            self.account.speeds("service"),
            [],
            [prompt_placement.EngineView(_HEARD)],
        )[0]
        self.account.record_placement(
            build.routed(0.0, prompt=prompt),
            table.Service("service", 100, build.ENGINE),
            plan,
        )

    def test_what_a_prompt_shares_with_nobody_says_nothing(self) -> None:
        """Homes in other zones are believed empty in a large fleet.

        Symptom: parts that their home holds are read anew. Sequence: prompts
        whose own part is longer than the shared one go to the home of the
        shared one, which holds it. Cause: the longest part of all counted as
        the one with a home; a prompt's own is new each time, and a miss.
        """
        at_home = next(
            shared_id
            for shared_id in map(str, range(100))
            if part_homes.homes(
                part_caches.chain([(shared_id, 1)])[0].held.key,
                (_HEARD, _UNHEARD),
                1,
            )
            == [_HEARD]
        )
        for number in range(200):
            self.place_at_home_nearby(number, at_home)
        self.assertGreater(self.cached_tokens(_UNHEARD, is_home=True), 12_000)

    def test_after_a_start_nothing_is_believed_held(self) -> None:
        """First prompts are read at half speed, and come late.

        Sequence: all engines are empty; each home is believed to hold its
        parts, so decode engines are asked to read them. Cause: a belief that
        no outcome could correct.
        """
        for part_key in range(20):
            self.place_nearby(part_key)
        self.assertEqual(self.cached_tokens(_UNHEARD, is_home=True), 0)


class LoadTest(unittest.TestCase):
    """What engines told one gateway, told on to others."""

    def setUp(self) -> None:
        self.told_at = _account_at((_HEARD, _UNHEARD))
        self.hearing = _account_at((_HEARD, _UNHEARD))

    def running_share(self, account: engine_account.EngineAccount) -> float:
        return account.view(_HEARD, (), 1.0).running_share

    def test_a_load_is_known_to_who_was_not_told_it(self) -> None:
        """Prompts go to engines whose batch is full, and start late.

        Sequence: each of 80 gateways has an answer of an engine every five
        seconds, which tells its load; batches fill within one. Cause: what an
        engine told one gateway was known to that one alone.
        """
        account, book = self.told_at
        now_s = clock.SystemClock().monotonic_s()
        book.reported(_HEARD.start, request.ReportedLoad(6, 3, 6), now_s)
        loads = account.loads.reported("zone-a")
        self.assertEqual([load.requests_count for load in loads], [9])
        self.assertEqual(account.loads.reported("zone-b"), ())
        hearing, _ = self.hearing
        self.assertEqual(self.running_share(hearing), 0.0)
        hearing.on_notice(codec.Notice(1, 1, (), loads=loads))
        self.assertGreater(self.running_share(hearing), 1.0)

    def test_what_is_newer_stays(self) -> None:
        hearing, book = self.hearing
        now_s = clock.SystemClock().monotonic_s()
        book.reported(_HEARD.start, request.ReportedLoad(0, 0, 6), now_s)
        old = codec.Load(codec.key_of_server(_HEARD.start), 9, 0.4)
        hearing.on_notice(codec.Notice(1, 1, (), loads=(old,)))
        self.assertEqual(self.running_share(hearing), 0.0)

    def test_old_loads_are_not_told(self) -> None:
        account, book = self.told_at
        old_s = clock.SystemClock().monotonic_s()
        old_s -= engine_loads.RELAYED_LOAD_MAX_AGE_S + 0.1
        book.reported(_HEARD.start, request.ReportedLoad(6, 3, 6), old_s)
        self.assertEqual(account.loads.reported("zone-a"), ())


class FadingTest(unittest.TestCase):
    """What an engine told a while ago."""

    def setUp(self) -> None:
        self.engines = tuple(
            build.server(f"e{n}", availability_zone="zone-a", role="decode")
            for n in range(4)
        )
        self.account, self.book = _account_at(self.engines)
        self.now_s = clock.SystemClock().monotonic_s()

    def tell(self, number: int, count: int, age_s: float = 0.0) -> None:
        self.book.note_requests_count(
            self.engines[number].start, count, self.now_s - age_s
        )

    def running_share(self, number: int) -> float:
        return self.account.view(self.engines[number], (), 1.0).running_share

    def test_an_engine_that_was_not_heard_is_as_busy_as_others(self) -> None:
        """Streams pause whenever an engine has told nothing for a second.

        Sequence: engines run thirty streams each; one answers nobody for two
        seconds. Its load has faded to nothing, so all gateways let it read
        their prompts, between the tokens of its streams. Cause: not to know
        was taken for idle.
        """
        for number in range(3):
            self.tell(number, 4)
        self.tell(3, 4, age_s=5.0)
        told = self.running_share(0)
        self.assertGreater(told, 0.0)
        self.assertAlmostEqual(self.running_share(3), told, places=1)

    def test_an_engine_that_has_just_told_it_is_idle_is(self) -> None:
        for number in range(3):
            self.tell(number, 6)
        self.tell(3, 0)
        self.assertLess(self.running_share(3), 0.1)

    def test_where_none_told_lately_none_is_busy(self) -> None:
        for number in range(4):
            self.tell(number, 6, age_s=20.0)
        self.assertLess(self.running_share(0), 0.01)


class UnheardTest(unittest.TestCase):
    """Engines of other zones in a fleet that is told by zones."""

    def setUp(self) -> None:
        self.account, self.book = _account_at((_HEARD, _UNHEARD))
        self.now_s = clock.SystemClock().monotonic_s()

    def view(self, server: fleet.Server) -> prompt_placement.EngineView:
        return self.account.view(server, (), 1.0)

    def make_busy(self, server: fleet.Server, requests_count: int) -> None:
        load = request.ReportedLoad(requests_count, 0, server.slots_count)
        self.book.reported(server.start, load, self.now_s)

    def test_engines_elsewhere_are_as_busy_as_those_nearby(self) -> None:
        """Streams pause for longer than callers accept in a large fleet.

        Symptom: of 60 gateways' streams a fifth pauses too long, while on 18
        gateways with the same load for each a twentieth does. Sequence: each
        gateway hears of the work of its own zone; engines elsewhere look idle
        beside these, so it reads its prompts there, between the tokens of
        their streams. Gateways there do the same the other way round. Cause:
        its own few prompts counted as all that those engines had to do.
        """
        self.make_busy(_HEARD, 4)
        near, far = self.view(_HEARD), self.view(_UNHEARD)
        self.assertGreater(near.running_share, 0.0)
        self.assertAlmostEqual(far.running_share, near.running_share, places=2)

    def test_queues_elsewhere_are_as_long_as_those_nearby(self) -> None:
        key = codec.key_of_server(_HEARD.start)
        self.account.on_notice(codec.Notice(1, 1, (codec.Placement(key, 0.8),)))
        self.assertGreater(self.view(_HEARD).wait_s, 0.7)
        self.assertGreater(self.view(_UNHEARD).wait_s, 0.7)

    def test_what_is_known_of_a_busier_engine_holds(self) -> None:
        self.make_busy(_HEARD, 2)
        self.make_busy(_UNHEARD, 5)
        self.assertGreater(
            self.view(_UNHEARD).running_share, self.view(_HEARD).running_share
        )

    def tell(self, load: usual_load.Load, zone: str = "zone-b") -> None:
        """Lets a gateway of another zone tell how busy its engines are."""
        told = codec.RoleLoad(codec.key_of(_UNHEARD.service), False, load)
        notice = codec.Notice(
            1, 1, (), zone_key=codec.key_of(zone), role_loads=(told,)
        )
        self.account.on_notice(notice)

    def test_another_zone_is_as_busy_as_it_told(self) -> None:
        """Callers are refused while engines of another zone are idle.

        Sequence: many callers come in one zone; its gateways take the engines
        of the others to be as busy as their own. Cause: nothing that another
        zone knows of its engines reached them.
        """
        self.make_busy(_HEARD, 6)
        self.tell(usual_load.Load(0.25, 0.125))
        far = self.view(_UNHEARD)
        self.assertAlmostEqual(far.running_share, 0.25, places=2)
        self.assertAlmostEqual(far.wait_s, 0.125, places=2)

    def test_what_a_third_zone_told_says_nothing(self) -> None:
        self.tell(usual_load.Load(0.75, 0.5), zone="zone-c")
        self.assertEqual(self.view(_UNHEARD).running_share, 0.0)

    def test_what_was_told_long_ago_is_not_believed(self) -> None:
        """Engines that have long been idle get no work.

        Sequence: a zone tells that its engines are full, and is cut off.
        Cause: its last word was believed for as long as no other came.
        """
        self.tell(usual_load.Load(2.0, 5.0))
        kinds = self.account.loads._zone_loads
        for kind, (load, told_s) in list(kinds.items()):
            kinds[kind] = load, told_s - usual_load.TOLD_AGE_S - 0.1
        self.assertEqual(self.view(_UNHEARD).running_share, 0.0)

    def test_what_is_told_of_the_own_zone(self) -> None:
        self.make_busy(_HEARD, 3)
        self.make_busy(_UNHEARD, 6)
        (told,) = self.account.loads.of_roles()
        self.assertEqual(told.service_key, codec.key_of(_HEARD.service))
        self.assertFalse(told.is_prefill)
        share = 3 / _HEARD.slots_count
        self.assertAlmostEqual(told.load.running_share, share, places=2)

    def test_without_engines_nearby_those_elsewhere_count_as_known(
        self,
    ) -> None:
        account, _ = _account_at((_UNHEARD,))
        self.assertEqual(account.view(_UNHEARD, (), 1.0).running_share, 0.0)


class CountedPartsTest(unittest.TestCase):
    """What the owner of an engine's queue knows of the parts it holds."""

    def setUp(self) -> None:
        self.account, _ = _account_at((_HEARD,))
        self.account._memory_tokens = lambda _: 10_000
        self.key = codec.key_of_server(_HEARD.start)
        self.parts = tuple(
            part_caches.HeldPart(number, 2_000) for number in (1, 2)
        )

    def test_parts_of_others_prompts_are_held(self) -> None:
        self.assertEqual(self.account.held_count(self.key, (1, 2)), 0)
        self.account.note_counted(self.key, self.parts[:1], 100)
        self.assertEqual(self.account.held_count(self.key, (1, 2)), 1)
        self.account.note_counted(self.key, self.parts, 100)
        self.assertEqual(self.account.held_count(self.key, (1, 2)), 2)

    def test_what_nobody_shares_makes_room_for_nothing_else(self) -> None:
        """Parts are believed held that were dropped long ago.

        Sequence: prompts that share nothing fill the engine's memory. Cause:
        only shared parts were counted.
        """
        self.account.note_counted(self.key, self.parts, 100)
        for _ in range(4):
            self.account.note_counted(self.key, (), 2_500)
        self.assertEqual(self.account.held_count(self.key, (1, 2)), 0)

    def test_an_engine_that_is_not_listed_holds_nothing(self) -> None:
        self.account.note_counted(7, self.parts, 100)
        self.assertEqual(self.account.held_count(7, (1,)), 0)


if __name__ == "__main__":
    unittest.main()
