"""Converts the messages between entry VMs to and from Cap'n Proto.

There is a writer and a reader for each class of ``nodes.messages``. The schema
is ``messages.capnp``; ``nodes.codec`` converts the result to bytes and frames.
"""

import functools
import math
from collections.abc import Callable, Iterable
from typing import Any

from mulberrywharf import errors, wire_numbers, wire_text
from mulberrywharf.nodes import messages

_DIGEST_BYTES = 16


@functools.singledispatch
def write(message: object, builder: Any) -> None:
    """Writes a message into the union of an envelope's builder.

    Args:
        message: One of ``messages.Message``.
        builder: A Cap'n Proto builder of the schema's ``Envelope``.
    """
    raise TypeError(f"no writer for messages of {type(message).__name__}")


@write.register
def _(message: messages.Heartbeat, builder: Any) -> None:
    body = builder.init("heartbeat")
    body.availabilityZone = wire_text.encodable(message.availability_zone)
    body.incarnation = _uint64(message.incarnation)
    body.stamp = _uint16(message.stamp)
    body.configVersion = _uint64(message.config_version)
    body.listHash = _uint64(message.list_hash)
    body.stamps = message.stamps
    body.suspicions = message.suspicions
    body.loads = message.loads
    body.loadAges = message.load_ages
    body.roundNumber = _uint64(message.round_number)
    body.liveDigest = _uint64(message.live_digest)
    demands = body.init("demands", len(message.demands))
    for entry, demand in zip(demands, message.demands, strict=True):
        entry.customer = wire_text.encodable(demand.customer)
        entry.requestsPerS = _rate(demand.requests_per_s)
        entry.tokensPerS = _rate(demand.tokens_per_s)


@write.register
def _(message: messages.Leaving, builder: Any) -> None:
    builder.init("leaving").incarnation = _uint64(message.incarnation)


@write.register
def _(message: messages.ConfigFetch, builder: Any) -> None:
    del message
    builder.configFetch = None


@write.register
def _(message: messages.ConfigDocument, builder: Any) -> None:
    builder.configDocument = message.document


@write.register
def _(message: messages.ClaimRequest, builder: Any) -> None:
    body = builder.init("claimRequest")
    body.claimId = message.claim_id
    body.bodyDigest = message.body_digest
    body.requestId = wire_text.encodable(message.request_id)
    body.token = _uint64(message.token)
    body.runnerIp = wire_text.encodable(message.runner_ip)
    body.runnerPort = _uint16(message.runner_port)
    body.runBoundS = wire_numbers.nonnegative(message.run_bound_s)


@write.register
def _(message: messages.ClaimComplete, builder: Any) -> None:
    body = builder.init("claimComplete")
    body.claimId = message.claim_id
    body.token = _uint64(message.token)
    body.status = _uint16(message.status)
    body.answerDigest = message.answer_digest
    body.answer = message.answer or b""
    body.hasAnswer = message.answer is not None


@write.register
def _(message: messages.ClaimRelease, builder: Any) -> None:
    body = builder.init("claimRelease")
    body.claimId = message.claim_id
    body.token = _uint64(message.token)


@write.register
def _(message: messages.ClaimWait, builder: Any) -> None:
    body = builder.init("claimWait")
    body.claimId = message.claim_id
    body.waitS = wire_numbers.nonnegative(message.wait_s)


@write.register
def _(message: messages.ClaimReply, builder: Any) -> None:
    body = builder.init("claimReply")
    body.kind = message.kind
    body.runnerVmId = wire_text.encodable(message.runner_vm_id)
    body.runnerIp = wire_text.encodable(message.runner_ip)
    body.runnerPort = _uint16(message.runner_port)
    body.status = _uint16(message.status)
    body.answerDigest = message.answer_digest
    body.answer = message.answer or b""
    body.hasAnswer = message.answer is not None
    body.requestId = wire_text.encodable(message.request_id)


@write.register
def _(message: messages.ShardHandover, builder: Any) -> None:
    builder.shardHandover = wire_numbers.saturated(
        message.shard, wire_numbers.UINT32_LIMIT
    )


@write.register
def _(message: messages.RatesFetch, builder: Any) -> None:
    body = builder.init("ratesFetch")
    body.customers = _texts(message.customers)
    body.models = _texts(message.models)


@write.register
def _(message: messages.Rates, builder: Any) -> None:
    body = builder.init("rates")
    body.customers = list(message.customers)
    body.models = list(message.models)


@write.register
def _(message: messages.LimitCall, builder: Any) -> None:
    builder.limitCall = message.body


def _uint16(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT16_LIMIT)


def _uint64(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT64_LIMIT)


def _rate(value: float) -> float:
    return wire_numbers.nonnegative(value, wire_numbers.FLOAT32_LIMIT)


def _texts(values: Iterable[str]) -> list[str]:
    return [wire_text.encodable(value) for value in values]


def read(reader: Any) -> messages.Message:
    """Reads the message in the union of an envelope's reader.

    Args:
        reader: A Cap'n Proto reader of the schema's ``Envelope``.

    Raises:
        BadFrameError: A field has an invalid value.
        KeyError: The schema has a message type without a reader here.
    """
    return _READERS[str(reader.which())](reader)


def _checked_digest(value: bytes) -> bytes:
    if len(value) != _DIGEST_BYTES:
        raise errors.BadFrameError("a digest has the wrong length")
    return bytes(value)


def _read_heartbeat(reader: Any) -> messages.Message:
    body = reader.heartbeat
    return messages.Heartbeat(
        body.availabilityZone,
        body.incarnation,
        body.stamp,
        body.configVersion,
        body.listHash,
        bytes(body.stamps),
        bytes(body.suspicions),
        bytes(body.loads),
        bytes(body.loadAges),
        body.roundNumber,
        body.liveDigest,
        tuple(
            messages.Demand(
                d.customer, *_checked_numbers((d.requestsPerS, d.tokensPerS))
            )
            for d in body.demands
        ),
    )


def _read_leaving(reader: Any) -> messages.Message:
    return messages.Leaving(reader.leaving.incarnation)


def _read_config_fetch(reader: Any) -> messages.Message:
    del reader
    return messages.ConfigFetch()


def _read_config_document(reader: Any) -> messages.Message:
    return messages.ConfigDocument(bytes(reader.configDocument))


def _read_claim_request(reader: Any) -> messages.Message:
    body = reader.claimRequest
    return messages.ClaimRequest(
        _checked_digest(body.claimId),
        _checked_digest(body.bodyDigest),
        body.requestId,
        body.token,
        body.runnerIp,
        body.runnerPort,
        *_checked_numbers((body.runBoundS,)),
    )


def _read_claim_complete(reader: Any) -> messages.Message:
    body = reader.claimComplete
    return messages.ClaimComplete(
        _checked_digest(body.claimId),
        body.token,
        body.status,
        _checked_digest(body.answerDigest),
        bytes(body.answer) if body.hasAnswer else None,
    )


def _read_claim_release(reader: Any) -> messages.Message:
    body = reader.claimRelease
    return messages.ClaimRelease(_checked_digest(body.claimId), body.token)


def _read_claim_wait(reader: Any) -> messages.Message:
    body = reader.claimWait
    return messages.ClaimWait(
        _checked_digest(body.claimId), *_checked_numbers((body.waitS,))
    )


def _read_claim_reply(reader: Any) -> messages.Message:
    body = reader.claimReply
    kind = body.kind
    if kind not in messages.CLAIM_REPLY_KINDS:
        raise errors.BadFrameError("a claim reply has an unknown kind")
    return messages.ClaimReply(
        kind,
        body.runnerVmId,
        body.runnerIp,
        body.runnerPort,
        body.status,
        bytes(body.answerDigest),
        bytes(body.answer) if body.hasAnswer else None,
        body.requestId,
    )


def _read_shard_handover(reader: Any) -> messages.Message:
    return messages.ShardHandover(reader.shardHandover)


def _read_rates_fetch(reader: Any) -> messages.Message:
    body = reader.ratesFetch
    return messages.RatesFetch(tuple(body.customers), tuple(body.models))


def _read_rates(reader: Any) -> messages.Message:
    body = reader.rates
    return messages.Rates(
        _checked_numbers(body.customers), _checked_numbers(body.models)
    )


def _checked_numbers(values: Any) -> tuple[float, ...]:
    numbers = tuple(values)
    # A single NaN would make the sum of rates NaN, is neither above nor below
    # any threshold, and as the time of a timer stops the event loop.
    if not all(math.isfinite(number) and number >= 0 for number in numbers):
        raise errors.BadFrameError("a number is negative or not finite")
    return numbers


def _read_limit_call(reader: Any) -> messages.Message:
    return messages.LimitCall(bytes(reader.limitCall))


_READERS: dict[str, Callable[[Any], messages.Message]] = {
    "heartbeat": _read_heartbeat,
    "leaving": _read_leaving,
    "configFetch": _read_config_fetch,
    "configDocument": _read_config_document,
    "claimRequest": _read_claim_request,
    "claimComplete": _read_claim_complete,
    "claimRelease": _read_claim_release,
    "claimWait": _read_claim_wait,
    "claimReply": _read_claim_reply,
    "shardHandover": _read_shard_handover,
    "ratesFetch": _read_rates_fetch,
    "rates": _read_rates,
    "limitCall": _read_limit_call,
}
