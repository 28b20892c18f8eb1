"""Ensures that one process at a time orders engines, and decides the orders."""
