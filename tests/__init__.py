"""Tests, one module for each concept."""
