"""Runs a router's requests, from admission to the end of their answers."""
