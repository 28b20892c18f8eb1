"""Seeds that once broke a promise; they are played again each time."""

ONCE_FAILED: dict[int, str] = {
    2: "few served behind a restore: servers wrote their records only once",
    13: "malformed limits were taken for ones that a restarted gateway knows;"
    " once a crashing request was sent 4 times late, not traced",
    107: "503 for streams that had run: no engine was left for a repeat",
    135: "the crashing request completed where a server was told to answer byte"
    " for byte, which cleared it",
}
"""By seed: what the cause was."""
