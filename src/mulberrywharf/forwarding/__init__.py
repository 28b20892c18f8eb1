"""Forwards requests to the servers that their route selects."""
