"""``mulberryctl``: the operators' command line."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import sys
from collections.abc import Sequence

from loguru import logger

from mulberrywharf.programs import _ctl_run


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        arguments: Arguments after the program name; None for those of this
            process.
    """
    logger.remove()
    logger.add(sys.stderr, level="WARNING", format="{level}: {message}")
    return _ctl_run.run(arguments, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
