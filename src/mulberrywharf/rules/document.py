"""Types of the configuration document that operators write.

Operators write the document as JSON with comments; the key-value service
stores it as plain JSON. ``ADAPTER`` rejects unknown keys, wrong types and
values out of range. ``consistency`` validates constraints that span several
fields, such as shares that add up to more than one.
"""

from typing import Annotated, Literal, NotRequired

import pydantic
from typing_extensions import TypedDict

from mulberrywharf import settings

DOCUMENT_LIMIT_BYTES = 768 * 1024
"""Leaves room for the audit entries in a stored value of at most 1 MB."""

LEAST_RATE_PER_S = 1e-6


def _usable_rate(rate_per_s: float) -> float:
    # Waits are divided by it, and callers are told the result.
    if 0 < rate_per_s < LEAST_RATE_PER_S:
        raise ValueError(
            f"{rate_per_s} is neither 0 nor at least {LEAST_RATE_PER_S}"
        )
    return rate_per_s


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
Rate = Annotated[
    float,
    pydantic.Field(ge=0, le=1e9),
    pydantic.AfterValidator(_usable_rate),
]
Priority = Annotated[int, pydantic.Field(ge=0, le=9)]
Path = Annotated[str, pydantic.Field(pattern=r"^/[!-~]*$", max_length=1024)]

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


@pydantic.with_config(_STRICT)
class Conditions(TypedDict, total=False):
    """The conditions of a rule; the rule matches when all given ones are true.

    Attributes:
        prefill_share_above: Prefill's share of the zone's work, 0 to 1, is
            above this value.
        prefill_share_below: Prefill's share of the zone's work, 0 to 1, is
            below this value.
        queue_delay_above_s: Prefilling the waiting prompts would take longer
            than this, in seconds.
        queue_delay_below_s: Prefilling the waiting prompts would take less time
            than this, in seconds.
        engines_lost_above_count: More engines of the zone than this are lost.
        availability_zone: The rule is evaluated in this zone.
        between_utc: Start (inclusive) and end (exclusive) of a daily time
            window in UTC; the window may span midnight.
        customer: This customer sends requests.
        model: Requests for this model arrive.
        requests_above_per_s: The request rate of the customer or model is
            above this value. Defaults to 0 if ``requests_below_per_s`` is
            absent as well.
        requests_below_per_s: The request rate of the customer or model is
            below this value.
        for_s: All other conditions have been true continuously for this long,
            in seconds.
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
    """The share or number of a zone's engines in each role.

    Either all fields are shares or all are counts. Engines that no field
    assigns get the role ``mixed``.
    """

    prefill: Share
    decode: Share
    mixed: Share
    prefill_count: Count
    decode_count: Count
    mixed_count: Count


@pydantic.with_config(_STRICT)
class Load(TypedDict):
    """A model and the number of the zone's engines that should load it."""

    model: ModelName
    adapter: NotRequired[ModelName]
    version: NotRequired[ModelName]
    engines_count: settings.PositiveCount


@pydantic.with_config(_STRICT)
class Drain(TypedDict):
    """An engine that should receive no new requests."""

    engine_id: Name


@pydantic.with_config(_STRICT)
class Limit(TypedDict):
    """A limit on a customer's request rate while the rule matches."""

    customer: Name
    requests_per_s: Rate


@pydantic.with_config(_STRICT)
class Actions(TypedDict, total=False):
    """The actions that apply while a rule matches.

    Attributes:
        roles: Share or number of the zone's engines in each role.
        load: A model to load.
        drain: An engine to drain.
        limit: A rate limit for a customer.
        prefer_zone: The zone to which requests are sent first.
        hold: Leave all engines unchanged.
    """

    roles: Roles
    load: Load
    drain: Drain
    limit: Limit
    prefer_zone: Name
    hold: Literal[True]


@pydantic.with_config(_STRICT)
class Rule(TypedDict):
    """One of the ordered rules; only the first that matches applies."""

    name: Name
    when: Conditions
    then: Actions


@pydantic.with_config(_STRICT)
class Customer(TypedDict):
    """A customer's key, limits, weight and priority.

    Attributes:
        key_sha256_hex: SHA-256 of the bearer key, never the key itself.
        requests_per_s: Request rate limit across the deployment.
        tokens_per_s: Token rate limit across the deployment.
        weight: The customer's share, relative to the other customers, when
            the fleet lacks capacity.
        priority: 0 is served first, 9 last.
    """

    key_sha256_hex: settings.Sha256Hex
    requests_per_s: Rate
    tokens_per_s: Rate
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)]
    priority: Priority


@pydantic.with_config(_STRICT)
class Service(TypedDict):
    """A service that runs on backend servers.

    Attributes:
        idempotent_paths: Paths whose calls may be retried.
        default_idempotent: Whether calls to other paths may be retried.
        timeout_s: Timeout of one call, in seconds.
    """

    idempotent_paths: list[Path]
    default_idempotent: bool
    timeout_s: settings.PositiveSeconds


@pydantic.with_config(_STRICT)
class Model(TypedDict):
    """A model that callers may request, with its adapters and versions."""

    adapters: list[ModelName]
    versions: list[ModelName]


@pydantic.with_config(_STRICT)
class Shed(TypedDict):
    """Latency targets; requests that would miss them are refused early."""

    first_token_target_ms: Annotated[float, pydantic.Field(gt=0, le=600_000)]
    between_tokens_target_ms: Annotated[float, pydantic.Field(gt=0, le=600_000)]


@pydantic.with_config(_STRICT)
class Document(TypedDict):
    """The whole configuration document of a deployment.

    Attributes:
        rules: The ordered rules; only the first that matches applies.
        default: The actions that apply when no rule matches.
        customers: Customers by name.
        services: Services by name.
        models: Models by name.
        shed: Latency targets; requests that would miss them are refused early.
    """

    rules: Annotated[list[Rule], pydantic.Field(max_length=1000)]
    default: Actions
    customers: NotRequired[dict[Name, Customer]]
    services: NotRequired[dict[Name, Service]]
    models: NotRequired[dict[ModelName, Model]]
    shed: NotRequired[Shed]


ADAPTER: pydantic.TypeAdapter[Document] = pydantic.TypeAdapter(Document)
