"""Settings of a gateway, read from JSON with comments and checked."""

import ipaddress
from typing import Annotated, Any, Literal, NotRequired

import pydantic
from result import Err, Result
from typing_extensions import TypedDict

from mulberrywharf import errors, settings

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)


def _check_host_port(text: str) -> str:
    ip, _, port = text.rpartition(":")
    ipaddress.ip_address(ip)
    if not 0 <= int(port) <= 65_535:
        raise ValueError(f"{port} is not a TCP port; allowed are 0 to 65535")
    return text


HostPort = Annotated[str, pydantic.AfterValidator(_check_host_port)]
"""An IP address and a TCP port, such as ``10.0.0.1:8080``."""

NodeName = Annotated[str, pydantic.Field(min_length=1, max_length=128)]
Ratio = Annotated[float, pydantic.Field(ge=0, le=10, strict=False)]
Milliseconds = Annotated[float, pydantic.Field(gt=0, le=1e8, strict=False)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400, strict=False)]
Count = Annotated[float, pydantic.Field(ge=0, le=1e9, strict=False)]


@pydantic.with_config(_STRICT)
class RepeatSettings(TypedDict):
    """Limits on repeats at a second server, for all gateways together.

    Attributes:
        ratio: Allowed repeats per request in a window.
        window_s: Length of the window.
        allowance_count: Allowed repeats per window on top of the ratio.
    """

    ratio: Ratio
    window_s: Seconds
    allowance_count: Count


@pydantic.with_config(_STRICT)
class RoleSettings(TypedDict):
    """Settings for changing the roles of engines.

    Attributes:
        turn_ms: Minimum time between orders from two VMs to the same engine.
    """

    turn_ms: Milliseconds


@pydantic.with_config(_STRICT)
class RevocationSettings(TypedDict):
    """Limits how long a revoked customer key stays usable.

    Attributes:
        bound_ms: Longest time that a revoked key may be used, also at a
            gateway that cannot reach the key-value service.
    """

    bound_ms: Milliseconds


@pydantic.with_config(_STRICT)
class UsageSettings(TypedDict):
    """Settings for reporting customers' usage.

    Attributes:
        window_s: Length of a reporting window.
        late_s: Time after the end of a window within which its report is due.
    """

    window_s: Seconds
    late_s: Seconds


@pydantic.with_config(_STRICT)
class DutySettings(TypedDict):
    """Settings for platform calls made by one gateway at a time.

    Attributes:
        platform: Address of the operators' platform.
        lease_ms: Minimum time between the calls of successive holders.
        checks_fencing: Whether the platform rejects a fencing number lower than
            one it has seen.
        usage: Set to report customers' usage.
    """

    platform: HostPort
    lease_ms: Milliseconds
    checks_fencing: bool
    usage: NotRequired[UsageSettings]


@pydantic.with_config(_STRICT)
class GatewaySettings(TypedDict):
    """The complete settings file of a gateway.

    Attributes:
        vm_id: Name of the VM.
        availability_zone: Availability zone of the VM.
        callers_listen: Address that callers connect to.
        operators_listen: Address for readiness, health and metrics.
        nodes_listen: Address for other gateways: UDP for their messages, TCP
            for requests that they hand over.
        store: Address of the key-value service.
        repeats: Limits on repeated requests.
        grace_s: Time between a request to stop and the forced end.
        roles: Set if gateways may change the roles of engines.
        revocation: Set to limit how long a revoked key stays usable.
        duties: Set to call the operators' platform from one gateway.
        log_level: Lowest log level that is written.
    """

    vm_id: NodeName
    availability_zone: NodeName
    callers_listen: HostPort
    operators_listen: HostPort
    nodes_listen: HostPort
    store: HostPort
    repeats: RepeatSettings
    grace_s: Seconds
    roles: NotRequired[RoleSettings]
    revocation: NotRequired[RevocationSettings]
    duties: NotRequired[DutySettings]
    log_level: NotRequired[Literal["DEBUG", "INFO", "WARNING", "ERROR"]]


_ADAPTER: "pydantic.TypeAdapter[Any]" = pydantic.TypeAdapter(GatewaySettings)


def load(path: str) -> Result[GatewaySettings, errors.SettingsError]:
    """Reads and checks the settings file at ``path``."""
    text = settings.read_text(path)
    if isinstance(text, Err):
        return text
    return settings.parse_with(_ADAPTER, text.ok_value, path)


def endpoint(text: str) -> settings.Endpoint:
    """Splits a valid ``ip:port`` into its two parts."""
    ip, _, port = text.rpartition(":")
    return settings.Endpoint(ip=ip, port=int(port))
