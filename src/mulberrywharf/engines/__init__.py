"""Requests, orders, loads and cache events of the engines."""
