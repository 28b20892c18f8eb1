"""The path of one request, from its admission to its whole answer."""
