"""Clients of the engines: requests, orders, load reports and cache events."""
