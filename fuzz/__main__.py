"""``python -m fuzz``: fuzzes real gateways or routers for some minutes."""

import argparse
import sys
import unittest

from fuzz import play, router_target, target

_S_PER_MINUTE = 60.0


class _Options:
    """What the runs below are to do."""

    seed = 1
    length_s = 0.0


class _GatewayRun(target.Target):
    """The run as a test, which closes the gateways at its end."""

    def test_gateways_stand_it(self) -> None:
        count = play.play(self, _Options.seed, _Options.length_s)
        print(f"seed {_Options.seed}: {count} examples")


class _RouterRun(router_target.RouterTarget):
    """The run as a test, which closes the routers at its end."""

    def test_routers_stand_it(self) -> None:
        count = play.play(self, _Options.seed, _Options.length_s)
        print(f"seed {_Options.seed}: {count} examples")


def main() -> int:
    """Runs the fuzzer; returns 1 if a process did not stand it."""
    parser = argparse.ArgumentParser(prog="fuzz", description=__doc__)
    parser.add_argument("--seed", type=int, default=_Options.seed)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument(
        "--routers", action="store_true", help="fuzz routers, not gateways"
    )
    arguments = parser.parse_args()
    _Options.seed = arguments.seed
    _Options.length_s = arguments.minutes * _S_PER_MINUTE
    case: unittest.TestCase = _GatewayRun("test_gateways_stand_it")
    if arguments.routers:
        case = _RouterRun("test_routers_stand_it")
    return 0 if unittest.TextTestRunner().run(case).wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
