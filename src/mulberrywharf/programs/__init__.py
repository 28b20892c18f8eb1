"""The binaries: arguments, start and close."""
