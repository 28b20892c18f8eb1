"""Proves that processes of two builds serve together as one fleet.

  python -m proofs.rolling_upgrade --other-python PYTHON

PYTHON is the interpreter of a virtual environment in which the other build is
installed. Every second gateway, router and controller runs that build, over the
stand-ins of this one. Then the processes of the other build stop, and this one
continues over what they stored. The exit code is 1 if a check fails.
"""

import argparse
import sys
import unittest

from proofs import mixed_builds

_MODULES = (
    "proofs.upgrade_gateways",
    "proofs.upgrade_handovers",
    "proofs.upgrade_routers",
)


def main() -> int:
    """Runs the proof; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other-python", required=True, metavar="PYTHON")
    mixed_builds.pythons[1] = parser.parse_args().other_python
    suite = unittest.defaultTestLoader.loadTestsFromNames(_MODULES)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
