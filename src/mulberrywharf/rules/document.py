"""The configuration document that operators write, as checked types.

Operators write it as JSON with comments; the key-value service holds it as
plain JSON. Unknown keys, wrong types and values out of range are refused by
the adapter at the end of this module. What spans several fields, such as
shares that add up to more than one, is checked in ``consistency``.
"""

from typing import Annotated, Literal, NotRequired

import pydantic
from typing_extensions import TypedDict

from mulberrywharf import settings

DOCUMENT_LIMIT_BYTES = 768 * 1024
"""Leaves room for the audit entries in a value of at most 1 MB."""

Share = settings.Share
Name = settings.Name
ModelName = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$")
]
TimeOfDay = Annotated[
    str, pydantic.Field(pattern=r"^([01][0-9]|2[0-3]):[0-5][0-9]$")
]
Seconds = Annotated[float, pydantic.Field(ge=0, le=86_400)]
Count = Annotated[int, pydantic.Field(ge=0, le=1_000_000)]
Rate = Annotated[float, pydantic.Field(ge=0, le=1e9)]
Priority = Annotated[int, pydantic.Field(ge=0, le=9)]
Path = Annotated[str, pydantic.Field(pattern=r"^/[!-~]*$", max_length=1024)]

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


@pydantic.with_config(_STRICT)
class Conditions(TypedDict, total=False):
    """What must hold for a rule to match; every given field must.

    Attributes:
        prefill_share_above: Prefill's share of the zone's work is larger.
        prefill_share_below: It is smaller.
        queue_delay_above_s: Requests wait longer for an engine.
        queue_delay_below_s: They wait less.
        engines_lost_above_count: More engines of the zone are lost.
        availability_zone: The rule is evaluated in this zone.
        between_utc: From the first time of day up to, but without, the
            second; a window may pass midnight.
        customer: This customer sends requests.
        model: Requests for this model arrive.
        requests_above_per_s: Rate of that customer or model; 0 if left out.
        requests_below_per_s: Rate of that customer or model.
        for_s: The others have held without a break for so long.
    """

    prefill_share_above: Share
    prefill_share_below: Share
    queue_delay_above_s: Seconds
    queue_delay_below_s: Seconds
    engines_lost_above_count: Count
    availability_zone: Name
    between_utc: Annotated[
        list[TimeOfDay], pydantic.Field(min_length=2, max_length=2)
    ]
    customer: Name
    model: ModelName
    requests_above_per_s: Rate
    requests_below_per_s: Rate
    for_s: Seconds


@pydantic.with_config(_STRICT)
class Roles(TypedDict, total=False):
    """How a zone's engines are split; all as shares or all as counts.

    Engines that no field asks for are ``mixed``.
    """

    prefill: Share
    decode: Share
    mixed: Share
    prefill_count: Count
    decode_count: Count
    mixed_count: Count


@pydantic.with_config(_STRICT)
class Load(TypedDict):
    """A model that a number of the zone's engines should have loaded."""

    model: ModelName
    adapter: NotRequired[ModelName]
    version: NotRequired[ModelName]
    engines_count: settings.PositiveCount


@pydantic.with_config(_STRICT)
class Drain(TypedDict):
    """An engine that should get no new work."""

    engine_id: Name


@pydantic.with_config(_STRICT)
class Limit(TypedDict):
    """A customer's rate while the rule matches."""

    customer: Name
    requests_per_s: Rate


@pydantic.with_config(_STRICT)
class Actions(TypedDict, total=False):
    """What is done while a rule matches.

    Attributes:
        roles: Split of the zone's engines.
        load: A model to load.
        drain: An engine to drain.
        limit: A limit on a customer.
        prefer_zone: Zone that gets requests first.
        hold: Leave every engine as it is.
    """

    roles: Roles
    load: Load
    drain: Drain
    limit: Limit
    prefer_zone: Name
    hold: Literal[True]


@pydantic.with_config(_STRICT)
class Rule(TypedDict):
    """One of the ordered rules; the first that matches counts."""

    name: Name
    when: Conditions
    then: Actions


@pydantic.with_config(_STRICT)
class Customer(TypedDict):
    """A customer: its key, its limits and its standing.

    Attributes:
        key_sha256_hex: SHA-256 of the bearer key, never the key itself.
        requests_per_s: Limit across the deployment.
        tokens_per_s: Limit across the deployment.
        weight: Its share when the fleet is short, relative to the others.
        priority: 0 goes first, 9 last.
    """

    key_sha256_hex: settings.Sha256Hex
    requests_per_s: Rate
    tokens_per_s: Rate
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)]
    priority: Priority


@pydantic.with_config(_STRICT)
class Service(TypedDict):
    """A plain service on backend servers.

    Attributes:
        idempotent_paths: Paths whose calls may be repeated.
        default_idempotent: Whether calls to other paths may be repeated.
        timeout_s: For one call.
    """

    idempotent_paths: list[Path]
    default_idempotent: bool
    timeout_s: settings.PositiveSeconds


@pydantic.with_config(_STRICT)
class Model(TypedDict):
    """A model that callers may name."""

    adapters: list[ModelName]
    versions: list[ModelName]


@pydantic.with_config(_STRICT)
class Shed(TypedDict):
    """Targets that decide when work is refused early."""

    first_token_target_ms: Annotated[float, pydantic.Field(gt=0, le=600_000)]
    between_tokens_target_ms: Annotated[float, pydantic.Field(gt=0, le=600_000)]


@pydantic.with_config(_STRICT)
class Document(TypedDict):
    """The whole configuration document of a deployment.

    Attributes:
        rules: In order; the first that matches counts.
        default: What is done when none matches.
        customers: By name.
        services: By name.
        models: By name.
        shed: Targets of admission.
    """

    rules: Annotated[list[Rule], pydantic.Field(max_length=1000)]
    default: Actions
    customers: NotRequired[dict[Name, Customer]]
    services: NotRequired[dict[Name, Service]]
    models: NotRequired[dict[ModelName, Model]]
    shed: NotRequired[Shed]


ADAPTER: pydantic.TypeAdapter[Document] = pydantic.TypeAdapter(Document)
