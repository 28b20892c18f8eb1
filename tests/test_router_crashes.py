"""Requests that end each server which runs them, through real routers."""

import unittest

from tests import cluster

_PROMPT = "ends whoever runs it"
_ATTEMPTS_COUNT = 4
_ENGINES_COUNT = 4
_BLOCKED = "urn:mulberrywharf:crashing-request"


class RouterCrashTest(unittest.TestCase):
    """Servers end one after the other under a request that comes again."""

    def start(self, **shape: int) -> cluster.Cluster:
        started = cluster.Cluster(cluster.Shape(**shape)).start()
        self.addCleanup(started.close)
        return started

    def alive_count(self, members: list[cluster.Member]) -> int:
        return sum(member.process.poll() is None for member in members)

    def test_engines(self) -> None:
        fleet = self.start(engines_per_zone=_ENGINES_COUNT)
        for engine in fleet.engines:
            engine.set_faults(crash_on=_PROMPT)
        caller = fleet.caller()
        answers = [caller.complete(_PROMPT, 20) for _ in range(_ATTEMPTS_COUNT)]
        self.assertEqual(self.alive_count(fleet.engines), _ENGINES_COUNT - 2)
        self.assertEqual(answers[-1].json()["type"], _BLOCKED)
        self.assertEqual(answers[-1].status, 503)
        self.assertTrue(caller.complete("another", 5).is_whole())

    def test_backend_servers(self) -> None:
        fleet = self.start(backends_per_zone=_ENGINES_COUNT)
        for backend in fleet.backends:
            backend.set_faults(crash=1)
        caller = fleet.caller()
        fields = {"x-mulberry-idempotent": "true"}
        answers = [
            caller.call("/echo", b"ends it", **fields)
            for _ in range(_ATTEMPTS_COUNT)
        ]
        self.assertEqual(self.alive_count(fleet.backends), _ENGINES_COUNT - 2)
        self.assertEqual(answers[-1].json()["type"], _BLOCKED)


if __name__ == "__main__":
    unittest.main()
