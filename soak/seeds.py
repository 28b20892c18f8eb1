"""Seeds that once broke a promise; they are played again each time."""

ONCE_FAILED: dict[int, str] = {
    2: "few served behind a restore: servers wrote their records only once",
    107: "503 for streams that had run: no engine was left for a repeat",
}
"""By seed: what the cause was."""
