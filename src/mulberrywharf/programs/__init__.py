"""Entry points of the executables: arguments, startup and shutdown."""
