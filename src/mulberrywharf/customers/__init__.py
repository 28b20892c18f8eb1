"""Identifies customers by key, and admits and counts their requests."""
