"""Seeds that once broke a promise; they are played again each time."""

ONCE_FAILED: dict[int, str] = {}
"""By seed: what the cause was."""
