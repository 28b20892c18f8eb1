"""Decodes the routes and server records in the platform's store."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

import orjson
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import errors, fleet, stated_numbers
from mulberrywharf.customers import directory
from mulberrywharf.platform import scaling, server_records
from mulberrywharf.policy import priority_levels
from mulberrywharf.routes import kinds, table

ROUTES_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_MS_PER_S = 1000.0
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1e6
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)

_DEFAULT_RANK = 5

_NUMBER_LIMIT = 2**53
"""Higher numbers count as this one. JSON carries integers up to it exactly, and
products of two of them are finite."""

_LEAST_LINK_BYTES_PER_S = 1.0
"""Transfer times are divided by it. A link without bandwidth is used last."""

_Field = TypeVar("_Field")


class StoredDocuments:
    """Decodes routes and server records.

    Attributes:
        routes_key: Key of the operators' routes.
        servers_prefix: Prefix of the keys of server records.
    """

    routes_key = ROUTES_KEY
    servers_prefix = SERVERS_PREFIX

    def decode_routes(
        self, value: bytes
    ) -> Result[table.RouteTable, errors.StoredConfigurationError]:
        """Decodes one version of the routes."""
        version = None
        try:
            document = orjson.loads(value)
            version = stated_numbers.count(document["version"], "version")
            return Ok(_route_table(version, document))
        except _DECODE_ERRORS as error:
            fault = errors.Fault(
                "document",
                repr(error),
                "set every required field of the routes",
            )
            return Err(
                errors.StoredConfigurationError(
                    ROUTES_KEY, [fault], version=version
                )
            )

    def decode_server(
        self, key: str, value: bytes
    ) -> Result[fleet.Server, errors.StoredRecordError]:
        """Decodes the record of one server.

        Other programs may write under the same prefix. A record in which a
        field is missing, has the wrong type or has a value that no server
        writes is therefore rejected as a whole.
        """
        return server_records.decode(self.server_id(key), value)

    def server_id(self, key: str) -> str:
        """Returns the id of the server whose record is stored under a key."""
        return key.removeprefix(SERVERS_PREFIX)


def _route_table(
    version: int,
    document: Mapping[str, Any],
) -> table.RouteTable:
    faults: list[errors.Fault] = []
    customers = _customers(document.get("tenants"), faults)
    services = _services(_list(document, "services"), faults)
    routes = _routes(_list(document, "routes"), services, faults)
    # A rank has no maximum. Priorities that are sent to engines have one.
    levels = priority_levels.assign(
        [route.priority for route in routes]
        + [
            entry.customer.priority
            for entry in customers or ()
            if entry.customer.priority is not None
        ]
    )
    return table.RouteTable(
        version,
        [route._replace(priority=levels[route.priority]) for route in routes],
        {
            name: service
            for name, service in services.items()
            if service is not None
        },
        _limits(document.get("limits"), faults),
        None
        if customers is None
        else directory.CustomerDirectory.from_config(
            [_with_level(entry, levels) for entry in customers]
        ),
        faults,
    )


def _with_level(
    entry: directory.CustomerKeys, levels: Mapping[int, int]
) -> directory.CustomerKeys:
    rank = entry.customer.priority
    if rank is None:
        return entry
    customer = entry.customer._replace(priority=levels[rank])
    return entry._replace(customer=customer)


def _customers(
    tenants: list[Any] | None, faults: list[errors.Fault]
) -> list[directory.CustomerKeys] | None:
    """Decodes the customers; None if requests need no key."""
    if tenants is None:
        return None
    if not isinstance(tenants, list):
        raise TypeError("tenants is not a list")
    customers = []
    for index, fields in enumerate(tenants):
        path = f"tenants[{index}]"
        try:
            customers.append(_customer(path, fields, faults))
        except _DECODE_ERRORS as error:
            faults.append(_fault(path, error, "its keys are unknown"))
    usable = directory.without_faults(customers)
    faults += usable.faults
    return usable.customers


def _customer(
    path: str, fields: Mapping[str, Any], faults: list[errors.Fault]
) -> directory.CustomerKeys:
    name, keys = _text(fields, "name"), fields["api-keys"]
    if not isinstance(keys, list):
        raise TypeError("api-keys is not a list")
    priority = fields.get("priority")
    if priority is not None and type(priority) is not int:
        message = f"{priority!r:.40} is not an integer"
        faults.append(
            errors.Fault(f"{path}.priority", message, "the route's applies")
        )
        priority = None
    texts = [key for key in keys if isinstance(key, str)]
    if len(texts) < len(keys):
        message = f"{len(keys) - len(texts)} of its keys are not texts"
        faults.append(
            errors.Fault(f"{path}.api-keys", message, "they are unknown")
        )
    return directory.CustomerKeys(directory.Customer(name, priority), texts)


def _fault(path: str, error: Exception, effect: str) -> errors.Fault:
    reason = str(error)
    if isinstance(error, KeyError):
        reason = f"{error.args[0]} is missing"
    return errors.Fault(path, reason, effect)


def _list(fields: Mapping[str, Any], name: str) -> list[Any]:
    value = fields[name]
    if not isinstance(value, list):
        raise TypeError(f"{name} is not a list")
    return value


class _Section(NamedTuple):
    """A part of the document whose fields are decoded one by one.

    Attributes:
        path: Its path in the document.
        fields: Its fields.
        faults: List to which faults of its fields are added.
    """

    path: str
    fields: Mapping[str, Any]
    faults: list[errors.Fault]

    def read(
        self, name: str, decode: Callable[[], _Field], fallback: _Field
    ) -> _Field:
        """Returns a decoded field, the fallback if it is faulty."""
        try:
            return decode()
        except _DECODE_ERRORS as error:
            effect = f"{fallback} applies" if fallback else "it does not apply"
            self.faults.append(_fault(f"{self.path}.{name}", error, effect))
            return fallback

    def read_flag(self, name: str) -> bool:
        """Returns a field that is true or false; False if it is faulty."""
        return self.read(name, lambda: _flag(self.fields, name), False)


def _routes(
    entries: Sequence[Any],
    services: Mapping[str, table.Service | None],
    faults: list[errors.Fault],
) -> list[table.Route]:
    """Decodes all routes but those whose requests can't be recognised."""
    routes = []
    for index, fields in enumerate(entries):
        path = f"routes[{index}]"
        try:
            route = _route(_Section(path, fields, faults))
        except _DECODE_ERRORS as error:
            faults.append(_fault(path, error, "it matches no request"))
            continue
        destinations = [
            destination
            for destination in route.destinations
            if services.get(destination.service, True) is not None
        ]
        routes.append(route._replace(destinations=tuple(destinations)))
    return routes


def _route(section: _Section) -> table.Route:
    """Decodes a route; it has no destination if it can't be used.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: Its host or prefix is
            missing or malformed.
    """
    fields = section.fields
    host, prefix = _text(fields, "host").lower(), _text(fields, "prefix")
    timeout_s = section.read(
        "timeout-ms", lambda: _number(fields, "timeout-ms") / _MS_PER_S, None
    )
    # A repeat might run a request twice that must run at most once.
    strictest_kind: kinds.RequestKind = kinds.AtMostOnce()
    no_destinations: tuple[table.Destination, ...] = ()
    destinations = section.read(
        "service", lambda: _destinations(fields), no_destinations
    )
    return table.Route(
        name=section.read("name", lambda: _text(fields, "name"), prefix),
        host=host,
        prefix=prefix,
        kind=section.read("kind", lambda: _kind(section), strictest_kind),
        timeout_s=timeout_s or 0.0,
        destinations=no_destinations if timeout_s is None else destinations,
        attempts_limit_count=section.read(
            "max-attempts", lambda: int(_number(fields, "max-attempts", 1)), 1
        ),
        priority=section.read(
            "priority",
            lambda: int(_number(fields, "priority", _DEFAULT_RANK)),
            _DEFAULT_RANK,
        ),
        target_s=section.read(
            "target-latency-ms",
            lambda: _seconds(fields, "target-latency-ms"),
            None,
        ),
        gap_target_s=section.read(
            "target-gap-ms", lambda: _seconds(fields, "target-gap-ms"), None
        ),
        # Despite its name, the field states that requests list the parts of
        # their prompt. No session is bound to a server.
        has_prompt=section.read_flag("session-affinity"),
        is_public=section.read_flag("public"),
    )


def _kind(section: _Section) -> kinds.RequestKind:
    match section.fields["kind"]:
        case "safe":
            return kinds.Idempotent()
        case "streaming":
            return kinds.EventStream(section.read_flag("resumable"))
        case "unsafe":
            return kinds.AtMostOnce()
        case other:
            raise ValueError(f"{other!r:.40} is not a kind of requests")


def _destinations(fields: Mapping[str, Any]) -> tuple[table.Destination, ...]:
    split = fields.get("traffic-split")
    if not split:
        return (table.Destination(_text(fields, "service"), 1.0),)
    return tuple(
        table.Destination(_text(part, "service"), _number(part, "weight"))
        for part in split
    )


def _seconds(fields: Mapping[str, Any], name: str) -> float | None:
    if fields.get(name) is None:
        return None
    return _number(fields, name) / _MS_PER_S


def _text(fields: Mapping[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a text")
    return value


def _flag(fields: Mapping[str, Any], name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise TypeError(f"{name} is neither true nor false")
    return value


def _number(
    fields: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a field that holds a finite number of 0 or more, limited."""
    value = fields[name] if default is None else fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is not a number")
    if not 0 <= value < math.inf:
        raise ValueError(f"{name} is {value}")
    if value > _NUMBER_LIMIT:
        logger.warning("routes: {} of {:g} is limited", name, value)
        return _NUMBER_LIMIT
    return value


def _services(
    entries: Sequence[Any], faults: list[errors.Fault]
) -> dict[str, table.Service | None]:
    """Decodes all services; None is one that can't be used."""
    services: dict[str, table.Service | None] = {}
    for index, fields in enumerate(entries):
        path = f"services[{index}]"
        name = None
        try:
            name = _text(fields, "name")
            services[name] = _service(_Section(path, fields, faults))
        except _DECODE_ERRORS as error:
            faults.append(_fault(path, error, "it is not used"))
            if name is not None:
                services[name] = None
    return services


def _service(section: _Section) -> table.Service:
    fields = section.fields
    engine = fields.get("engine")
    return table.Service(
        name=_text(fields, "name"),
        connections_limit_count=int(_number(fields, "max-connections")),
        engine=_engine(engine) if engine else None,
        scaling=scaling.decode(section.path, fields, section.faults),
    )


def _engine(fields: Mapping[str, Any]) -> table.EngineTraits:
    bits_per_s = _number(fields, "link-mbps") * _BITS_PER_MEGABIT
    return table.EngineTraits(
        slots_count=int(_number(fields, "slots")),
        kv_tokens=int(_number(fields, "kv-tokens")),
        kv_token_bytes=float(_number(fields, "kv-token-bytes")),
        link_bytes_per_s=max(
            bits_per_s / _BITS_PER_BYTE, _LEAST_LINK_BYTES_PER_S
        ),
        handle_ttl_s=float(_number(fields, "handle-ttl-s")),
        # ``most`` is the number of long polls that an engine accepts at once.
        event_readers_limit_count=int(_number(fields, "most", 0)),
    )


def _limits(
    fields: Any, faults: list[errors.Fault]
) -> table.CallerLimits | None:
    if not fields:
        return None
    if not isinstance(fields, dict):
        error = TypeError("it is not an object")
        faults.append(_fault("limits", error, "the built-in ones apply"))
        return None
    section = _Section("limits", fields, faults)

    def size_bytes(name: str) -> int | None:
        return section.read(name, lambda: int(_number(fields, name)), None)

    def duration_s(name: str) -> float | None:
        return section.read(
            name, lambda: _number(fields, name) / _MS_PER_S, None
        )

    return table.CallerLimits(
        header_bytes=size_bytes("max-header-bytes"),
        body_bytes=size_bytes("max-body-bytes"),
        header_timeout_s=duration_s("header-timeout-ms"),
        idle_timeout_s=duration_s("idle-timeout-ms"),
    )
