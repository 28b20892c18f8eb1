"""Admits requests by customer key, unless the key may have been revoked."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from mulberrywharf import errors
from mulberrywharf.customers import directory
from mulberrywharf.routes import table

UNKNOWN_KEY_AGE_LIMIT_S = 2.5
"""Maximum age of the confirmation for rejecting an unknown key with 401. With
an older one, the key may have been added since; new keys must be in force
within 3 s."""

WAIT_LIMIT_S = 1.0
"""Longest time that a request waits for the configuration to be confirmed,
which takes a few milliseconds while the key-value service responds."""

WAIT_SHARE = 1 / 3
"""Largest part of the remaining request time spent on that wait."""

UNCONFIRMED_RETRY_S = 0.5


class Freshness(Protocol):
    """Tells how recently the configuration was confirmed as the newest."""

    def now_s(self) -> float:
        """Returns the time of a clock that also runs while suspended."""
        ...

    def is_confirmed(self, at_s: float, age_s: float) -> bool:
        """Tells whether it was confirmed at most ``age_s`` before ``at_s``."""
        ...

    def wait_confirmed(self, at_s: float, age_s: float, limit_s: float) -> bool:
        """Requests a confirmation; waits until ``is_confirmed`` is true."""
        ...


class AdmittedRequest(NamedTuple):
    """The result of admitting a request.

    Attributes:
        customer: The customer that makes it, None if it was admitted without
            one.
        routes: The route table that it was admitted with; it is made from the
            configuration.
    """

    customer: directory.Customer | None
    routes: table.RouteTable


class CustomerAdmission:
    """Admits requests by customer key.

    A gateway that cannot reach the key-value service must not accept revoked
    keys either. With a revocation bound, a key is therefore valid only if the
    configuration was confirmed as the newest within that bound before the
    request arrived.
    """

    def __init__(self, freshness: Freshness, revocation_bound_s: float | None):
        """Creates the object that admits requests.

        Args:
            freshness: Confirms that the configuration is the newest.
            revocation_bound_s: Longest time that a revoked key may be used,
                None for no bound.
        """
        self._freshness = freshness
        self._bound_s = revocation_bound_s

    def admit(
        self,
        routes_in_force: Callable[[], table.RouteTable],
        is_public: Callable[[table.RouteTable], bool],
        key_digests: frozenset[directory.KeyDigest],
        remaining_s: float,
    ) -> AdmittedRequest:
        """Returns the customer of a request and the route table used.

        Args:
            routes_in_force: Returns the route table in force.
            is_public: Tells whether a route table admits this request without
                a key.
            key_digests: Digests of the keys in the request.
            remaining_s: Time left until the deadline of the request.

        Raises:
            UnknownCustomerError: The key is missing or unknown.
            UnconfirmedKeyError: The key may have been revoked, or added, since
                the configuration was last confirmed.
        """
        routes = routes_in_force()
        if routes.customers is None:
            return AdmittedRequest(None, routes)
        if is_public(routes):
            return AdmittedRequest(_find_customer(routes, key_digests), routes)
        if len(key_digests) != 1:
            raise errors.UnknownCustomerError(
                f"the request shows {len(key_digests)} keys",
                advice="Send exactly one customer key.",
            )
        arrived_s = self._freshness.now_s()
        wait_s = min(WAIT_LIMIT_S, WAIT_SHARE * max(0.0, remaining_s))
        wait_until_s = arrived_s + wait_s
        if self._bound_s is not None and not self._confirm(
            arrived_s, self._bound_s, wait_until_s
        ):
            raise _unconfirmed_key()
        customer = _find_customer(routes_in_force(), key_digests)
        if customer is None and not self._confirm(
            arrived_s, UNKNOWN_KEY_AGE_LIMIT_S, wait_until_s
        ):
            raise _unconfirmed_key()
        # The confirmation may have loaded a newer configuration.
        routes = routes_in_force()
        customer = _find_customer(routes, key_digests)
        if customer is None and routes.customers is not None:
            (key_digest,) = key_digests
            # The text form of a digest begins with the word "key".
            raise errors.UnknownCustomerError(
                f"no customer holds the {key_digest}",
                advice="Send a key that is in force.",
            )
        return AdmittedRequest(customer, routes)

    def _confirm(self, at_s: float, age_s: float, wait_until_s: float) -> bool:
        if self._freshness.is_confirmed(at_s, age_s):
            return True
        limit_s = max(0.0, wait_until_s - self._freshness.now_s())
        return self._freshness.wait_confirmed(at_s, age_s, limit_s)


def _find_customer(
    routes: table.RouteTable, key_digests: frozenset[directory.KeyDigest]
) -> directory.Customer | None:
    if routes.customers is None or len(key_digests) != 1:
        return None
    (key_digest,) = key_digests
    return routes.customers.find(key_digest)


def _unconfirmed_key() -> errors.UnconfirmedKeyError:
    return errors.UnconfirmedKeyError(
        "this gateway can't tell whether the key is in force",
        retry_after_s=UNCONFIRMED_RETRY_S,
    )
