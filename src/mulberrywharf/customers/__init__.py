"""Identifies customers by the keys in their requests."""
