"""Operators' routes: which service a request goes to and what it may do."""
