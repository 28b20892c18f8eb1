"""Structured logs: one JSON object a line on standard error.

Each line carries the node, the availability zone and whatever the caller
bound, such as ``request_id``.
"""

import sys

from loguru import logger


def configure(
    *, vm_id: str, availability_zone: str, program: str, level: str = "INFO"
) -> None:
    """Sends structured log lines of this process to standard error.

    Args:
        vm_id: Name of this entry VM.
        availability_zone: Where it stands.
        program: Name of the running binary.
        level: Lowest level that is written.
    """
    logger.remove()
    logger.configure(
        extra={
            "vm_id": vm_id,
            "availability_zone": availability_zone,
            "program": program,
        }
    )
    # With diagnose on, a traceback prints the values of local variables, and
    # those of a listener hold callers' and operators' bearer tokens.
    logger.add(
        sys.stderr, level=level, serialize=True, backtrace=False, diagnose=False
    )
