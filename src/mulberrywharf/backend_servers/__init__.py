"""Plain services that run beside the engines."""
