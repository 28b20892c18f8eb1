"""Settings of a router or controller, read from JSON with comments.

Unknown keys, wrong types, values out of range and addresses that are not IP
addresses are faults. All faults are reported at once, each with its path and
what to write instead.
"""

import ipaddress
import pathlib
from typing import Annotated, Any, Literal, NotRequired

import json5
import pydantic
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import errors


def _check_ip(text: str) -> str:
    ipaddress.ip_address(text)
    return text


Ip = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$")
]
PositiveSeconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
PositiveCount = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Sha256Hex = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]

DEFAULT_LEASE_TTL_S = 10.0
DEFAULT_CLOCK_MARGIN_S = 0.5
DEFAULT_ORDER_USER_TIMEOUT_S = 2.0

_RENEWALS_IN_LEASE_COUNT = 3
"""A holder renews its lease at least once per third of its length."""

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)


@pydantic.with_config(_STRICT)
class Endpoint(TypedDict):
    """An IP address and a TCP port; with port 0, the kernel chooses one."""

    ip: Ip
    port: Port


@pydantic.with_config(_STRICT)
class CallersSettings(TypedDict):
    """The listener for callers.

    Attributes:
        listen: Address to listen on.
        body_limit_bytes: Largest accepted request body.
        header_limit_bytes: Largest accepted request head.
        default_deadline_s: Deadline of requests that do not set one.
        drain_notice_s: Time between turning readiness off and closing the
            listener in a planned stop, so that the load balancer notices.
    """

    listen: Endpoint
    body_limit_bytes: NotRequired[PositiveCount]
    header_limit_bytes: NotRequired[PositiveCount]
    default_deadline_s: NotRequired[PositiveSeconds]
    drain_notice_s: NotRequired[Annotated[float, pydantic.Field(ge=0, le=600)]]


@pydantic.with_config(_STRICT)
class OperatorToken(TypedDict):
    """An operator who may use the admin listener and mulberryctl."""

    operator: Name
    token_sha256_hex: Sha256Hex


@pydantic.with_config(_STRICT)
class OperatorsSettings(TypedDict):
    """The admin listener: health, readiness, metrics, status."""

    listen: Endpoint
    tokens: NotRequired[list[OperatorToken]]


@pydantic.with_config(_STRICT)
class NodesSettings(TypedDict):
    """Traffic between entry VMs.

    Attributes:
        listen: Address that other entry VMs connect to.
        key_hex: Shared key that authenticates every frame, 32 bytes.
        heartbeat_interval_s: Time between heartbeats to another entry VM.
        suspect_after_s: Time without a heartbeat after which another entry VM
            is suspected to have failed.
    """

    listen: Endpoint
    key_hex: Sha256Hex
    heartbeat_interval_s: NotRequired[PositiveSeconds]
    suspect_after_s: NotRequired[PositiveSeconds]


@pydantic.with_config(_STRICT)
class PlatformSettings(TypedDict):
    """Addresses of the platform's services.

    Attributes:
        key_value: Endpoints of the key-value service, tried in order.
        vm_list: Endpoint of the VM list.
        weight_store: Endpoint of the weight store.
        call_timeout_s: Timeout of one call.
    """

    key_value: Annotated[list[Endpoint], pydantic.Field(min_length=1)]
    vm_list: Endpoint
    weight_store: NotRequired[Endpoint]
    call_timeout_s: NotRequired[PositiveSeconds]


@pydantic.with_config(_STRICT)
class EnginesSettings(TypedDict):
    """How routers and controllers communicate with engines.

    Attributes:
        fencing_checking_kinds: Engine kinds that refuse an old fencing number.
        load_interval_s: Time between reads of an engine's load.
        connect_timeout_s: Timeout of opening a connection.
        idle_timeout_s: Time without data after which a stream counts as
            broken.
    """

    fencing_checking_kinds: NotRequired[list[Name]]
    load_interval_s: NotRequired[PositiveSeconds]
    connect_timeout_s: NotRequired[PositiveSeconds]
    idle_timeout_s: NotRequired[PositiveSeconds]


@pydantic.with_config(_STRICT)
class ControllerSettings(TypedDict):
    """The controller's lease and its planning.

    Attributes:
        lease_ttl_s: Length of the controller's lease.
        clock_margin_s: Allowed error between clocks.
        order_user_timeout_s: Time after which the kernel drops unacknowledged
            bytes of an order.
        evaluate_interval_s: Time between evaluations of the rules.
        role_change_away_s: Time for which an engine is unavailable during a
            role change.
        goodput_weight: Weight of the goodput that a role change gains.
        role_change_weight: Weight of the cost of a role change.
    """

    lease_ttl_s: NotRequired[PositiveSeconds]
    clock_margin_s: NotRequired[PositiveSeconds]
    order_user_timeout_s: NotRequired[PositiveSeconds]
    evaluate_interval_s: NotRequired[PositiveSeconds]
    role_change_away_s: NotRequired[PositiveSeconds]
    goodput_weight: NotRequired[Annotated[float, pydantic.Field(ge=0)]]
    role_change_weight: NotRequired[Annotated[float, pydantic.Field(ge=0)]]


@pydantic.with_config(_STRICT)
class Settings(TypedDict):
    """The complete settings file of a router or a controller."""

    deployment: Name
    vm_id: Name
    availability_zone: Name
    region: Name
    callers: NotRequired[CallersSettings]
    operators: OperatorsSettings
    nodes: NodesSettings
    platform: PlatformSettings
    engines: NotRequired[EnginesSettings]
    controller: NotRequired[ControllerSettings]
    log_level: NotRequired[Literal["DEBUG", "INFO", "WARNING", "ERROR"]]


_SETTINGS_ADAPTER = pydantic.TypeAdapter(Settings)

_ADVICE_BY_ERROR_TYPE = {
    "missing": "add this field",
    "extra_forbidden": (
        "remove this field or correct its name, including the unit suffix"
    ),
    "string_pattern_mismatch": (
        "see docs/operators/settings.md for the allowed format"
    ),
}


def check_document(
    adapter: "pydantic.TypeAdapter[Any]", document: object
) -> list[errors.Fault]:
    """Returns every fault that the adapter finds in a parsed document."""
    try:
        adapter.validate_python(document)
    except pydantic.ValidationError as error:
        return [_fault(detail) for detail in error.errors()]
    return []


def _fault(detail: Any) -> errors.Fault:
    path = ".".join(str(part) for part in detail["loc"]) or "document"
    advice = _ADVICE_BY_ERROR_TYPE.get(
        detail["type"], "see docs/operators/settings.md for the allowed values"
    )
    return errors.Fault(path, detail["msg"], advice)


def parse(text: str, source: str) -> Result[Settings, errors.SettingsError]:
    """Parses and checks settings written as JSON with comments.

    Args:
        text: Content of the file.
        source: Name of the file, for messages.

    Returns:
        The checked settings, or every fault found.
    """
    parsed = parse_with(_SETTINGS_ADAPTER, text, source)
    if isinstance(parsed, Err):
        return parsed
    faults = _lease_faults(parsed.ok_value)
    if faults:
        return Err(errors.SettingsError(source, faults))
    return Ok(parsed.ok_value)


def parse_with(
    adapter: "pydantic.TypeAdapter[Any]", text: str, source: str
) -> Result[Any, errors.SettingsError]:
    """Parses JSON with comments and checks it with an adapter.

    Args:
        adapter: Checks the document.
        text: Content of the file.
        source: Name of the file, for messages.

    Returns:
        The checked document, or every fault found.
    """
    try:
        document = json5.loads(text)
    except (ValueError, RecursionError) as error:
        fault = errors.Fault(
            "document", str(error), "write valid JSON; comments are allowed"
        )
        return Err(errors.SettingsError(source, [fault]))
    faults = check_document(adapter, document)
    if faults:
        return Err(errors.SettingsError(source, faults))
    return Ok(document)


def _lease_faults(config: Settings) -> list[errors.Fault]:
    """Rejects a lease that leaves no time for orders between renewals.

    The controller sends no orders during the last ``order_user_timeout_s``
    plus ``clock_margin_s`` of its lease. If the time before that is shorter
    than the renewal interval, it takes the lease and steps down repeatedly
    and never sends an order.
    """
    controller = config.get("controller", {})
    ttl_s = controller.get("lease_ttl_s", DEFAULT_LEASE_TTL_S)
    reserved_s = controller.get(
        "clock_margin_s", DEFAULT_CLOCK_MARGIN_S
    ) + controller.get("order_user_timeout_s", DEFAULT_ORDER_USER_TIMEOUT_S)
    shortest_s = (
        reserved_s * _RENEWALS_IN_LEASE_COUNT / (_RENEWALS_IN_LEASE_COUNT - 1)
    )
    if ttl_s > shortest_s:
        return []
    return [
        errors.Fault(
            "controller.lease_ttl_s",
            f"a lease of {ttl_s} s leaves no time for orders between renewals",
            f"write more than {shortest_s} s, or lower clock_margin_s or "
            "order_user_timeout_s",
        )
    ]


def load(path: str) -> Result[Settings, errors.SettingsError]:
    """Reads and checks the settings file at ``path``."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    return parse(text.ok_value, path)


def read_text(path: str) -> Result[str, errors.SettingsError]:
    """Returns the content of the settings file at ``path``, unchecked."""
    try:
        return Ok(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        fault = errors.Fault(
            "file", str(error), "give the path of a readable UTF-8 file"
        )
        return Err(errors.SettingsError(path, [fault]))
