"""Benchmarks, the demo and the capacity slopes."""
