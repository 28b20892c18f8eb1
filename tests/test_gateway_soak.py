"""A short run of the soak; ``bench.gateway_soak`` runs it at length."""

import unittest

from bench import gateway_soak

SEEDS = (1, 2)
LENGTH_S = 3.0


class SoakTest(unittest.TestCase):
    def test_no_promise_is_broken(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = gateway_soak.Soak(seed, LENGTH_S)
                self.assertEqual(soak.run(), [])
                self.assertGreater(len(soak.calls), 50)
                self.assertGreater(soak.faults.total(), 3)


class ChecksTest(unittest.TestCase):
    """The checks find what they are meant to find."""

    def call(self, **changes: object) -> gateway_soak.Call:
        made = gateway_soak.Call(
            "id-1",
            "unsafe",
            200,
            "X-Mulberrywharf-Response-Signature: s",
            b"s:id-1",
            True,
            0,
            1.0,
            2.0,
        )
        return made._replace(**changes)

    def broken(self, call: gateway_soak.Call, runs_count: int = 1) -> list[str]:
        return list(gateway_soak.Soak(1, 0.0)._broken_by(call, runs_count))

    def test_a_good_answer(self) -> None:
        self.assertEqual(self.broken(self.call()), [])

    def test_what_must_not_be(self) -> None:
        stream = self.call(kind="stream")
        cut = stream._replace(is_whole=False)
        for call, runs_count in (
            (self.call(), 2),
            (self.call(status=503), 1),
            (self.call(status=0), 1),
            (self.call(status=404), 0),
            (self.call(head=""), 1),
            (self.call(body=b"s:id-2"), 1),
            (self.call(is_whole=False), 1),
            (cut._replace(body=b"id: 2\ndata: id-1 2\n\n"), 1),
            (cut._replace(body=b"id: 1\ndata: id-2 1\n\n"), 1),
            (stream._replace(body=b"id: 1\ndata: id-1 1\n\n"), 1),
        ):
            with self.subTest(call=call):
                self.assertEqual(len(self.broken(call, runs_count)), 1)


if __name__ == "__main__":
    unittest.main()
