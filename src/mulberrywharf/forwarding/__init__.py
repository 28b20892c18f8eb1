"""The path of a request that a route leads to a server."""
