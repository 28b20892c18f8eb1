"""Operators' routes, which assign requests to services."""
