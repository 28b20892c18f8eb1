"""Decisions on typed views; nothing here opens a socket or sleeps."""
