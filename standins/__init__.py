"""Small stand-ins of the systems outside, for tests, demo and bench."""
