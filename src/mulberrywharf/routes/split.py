"""Distributes the requests of a route among its services by weight."""

import xxhash

from mulberrywharf.routes import table

_HASH_RANGE = 2.0**64


def service_of(route: table.Route, request_id: str) -> str:
    """Returns the service that a request is sent to.

    The choice depends only on a hash of the request id, so all nodes send
    repeats of a request to the same service without coordination.

    Args:
        route: Route of the request; its weights may have any sum.
        request_id: Request id that the caller set.
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
