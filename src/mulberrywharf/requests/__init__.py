"""Runs requests, from their admission to the end of their answers."""
