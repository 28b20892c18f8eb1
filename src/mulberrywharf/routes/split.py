"""Divides the requests of a route among its services by weight."""

import xxhash

from mulberrywharf.routes import table

_HASH_RANGE = 2.0**64


def service_of(route: table.Route, request_id: str) -> str:
    """Returns the service of one request.

    The request's id decides, so every node sends a request that comes again
    under the same id to the same service, without a word between nodes.

    Args:
        route: Its weights need not add up to anything.
        request_id: The caller's id of the request.
    """
    destinations = route.destinations
    if len(destinations) == 1:
        return destinations[0].service
    total = sum(destination.weight for destination in destinations)
    drawn = xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * total
    for destination in destinations:
        drawn -= destination.weight
        if drawn < 0:
            return destination.service
    return destinations[-1].service
