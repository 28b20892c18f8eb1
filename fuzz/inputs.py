"""What is drawn: bytes and numbers that come from outside a gateway."""

import json
import zlib
from typing import Any

import xxhash
from hypothesis import strategies as st

from mulberrywharf.crashes import crash_codec
from mulberrywharf.nodes import codec, messages
from mulberrywharf.peers import (
    datagrams,
    handover_codec,
    notice_codec,
    queue_codec,
)
from mulberrywharf.policy import load_estimates, part_caches
from mulberrywharf.routes import kinds
from tests import builders_nodes, callers_fixture, cluster
from tests import builders_routes as build

_PREFIX = "x-mulberrywharf-"
_VISIBLE = st.text(
    st.characters(min_codepoint=0x20, max_codepoint=0x7E), max_size=40
)
NUMBERS = st.one_of(
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.sampled_from((0, -1, 1, 2**16, 2**32, 2**64, 10_000_000, 545_579)),
)
_NUMBER_TEXTS = st.one_of(
    NUMBERS.map(str), _VISIBLE, st.integers(1, 5000).map(lambda n: "9" * n)
)
_PAIRS = st.lists(_NUMBER_TEXTS, min_size=0, max_size=4).map(",".join)
_PARTS = st.lists(
    st.tuples(st.sampled_from(("aa", "bb", "", "cc")), _NUMBER_TEXTS).map(
        ":".join
    ),
    max_size=6,
).map(",".join)

_FIELDS = st.fixed_dictionaries(
    {},
    optional={
        _PREFIX + "deadline-ms": _NUMBER_TEXTS,
        _PREFIX + "model": _VISIBLE,
        _PREFIX + "token-usage": _PAIRS,
        _PREFIX + "prompt-prefix": _PARTS,
        _PREFIX + "request-priority": _NUMBER_TEXTS,
        _PREFIX + "credential": _VISIBLE,
        _PREFIX + "kv-source": _VISIBLE,
        "last-event-id": _NUMBER_TEXTS,
        "resumes": _VISIBLE,
        "expect": st.sampled_from(("100-continue", "x")),
        "connection": st.sampled_from(("close", "keep-alive", "upgrade")),
        "content-length": _NUMBER_TEXTS,
        "transfer-encoding": st.sampled_from(("chunked", "gzip", "")),
    },
)


@st.composite
def requests(draw: st.DrawFn) -> bytes:
    """Draws a request that is sound but for its fields, or any bytes."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=2000))
    body = draw(_VISIBLE).encode()
    fields = {"host": build.HOST, _PREFIX + "request-id": "fuzzed"}
    fields["content-length"] = str(len(body))
    fields |= draw(_FIELDS)
    method = draw(st.sampled_from(("POST", "GET", "HEAD", "PUT", "X")))
    target = draw(st.sampled_from(("/safe/x", "/stream/x", "/", "/%zz", "*")))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


_COMPLETIONS = st.fixed_dictionaries(
    {"model": st.just(cluster.MODEL) | _VISIBLE},
    optional={
        "prompt": _VISIBLE | st.lists(NUMBERS | _VISIBLE, max_size=3),
        "messages": st.lists(
            st.fixed_dictionaries(
                {"role": _VISIBLE, "content": _VISIBLE | NUMBERS}
            ),
            max_size=2,
        ),
        "max_tokens": st.integers(0, 3) | NUMBERS | _VISIBLE,
        "stream": st.booleans() | NUMBERS,
        "n": NUMBERS,
        "temperature": NUMBERS,
    },
)
_ROUTER_FIELDS = st.fixed_dictionaries(
    {"authorization": st.just(f"Bearer {callers_fixture.CUSTOMER_KEY}")},
    optional={
        "x-mulberry-deadline-ms": _NUMBER_TEXTS,
        "idempotency-key": _VISIBLE,
        "last-event-id": _NUMBER_TEXTS,
        "expect": st.sampled_from(("100-continue", "x")),
        "content-length": _NUMBER_TEXTS,
        "transfer-encoding": st.sampled_from(("chunked", "gzip", "")),
    },
)


@st.composite
def router_requests(draw: st.DrawFn) -> bytes:
    """Draws a request of a router's caller."""
    body = json.dumps(draw(_COMPLETIONS)).encode()
    if draw(st.integers(0, 4)) == 0:
        body = draw(st.binary(max_size=200))
    fields = {"host": "router", "content-length": str(len(body))}
    fields |= draw(_ROUTER_FIELDS)
    path = draw(
        st.sampled_from(
            (
                "/v1/completions",
                "/v1/chat/completions",
                f"/services/{cluster.SERVICE}/echo",
                "/v1/models",
                "/%zz",
            )
        )
    )
    method = draw(st.sampled_from(("POST", "POST", "GET", "X")))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


@st.composite
def router_frames(draw: st.DrawFn) -> bytes:
    """Draws a message between routers, damaged or not."""
    message = draw(st.sampled_from(builders_nodes.one_of_each_message()))
    flat = zlib.decompress(
        codec.encode(messages.Envelope("entry-1", 7, message))
    )
    return draw(st.just(flat) | damaged(flat))


SERVER_FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "X-Mulberrywharf-Request-Id": st.sampled_from(("sound", "another")),
        "X-Mulberrywharf-Response-Signature": _VISIBLE,
        "X-Mulberrywharf-Instance-Load": _PAIRS,
        # A server that leaves, or states a small limit, gets no requests.
        "Server-Limit": st.sampled_from(("-1", "nan", "1e300", "x", "9" * 400)),
        "Server-Leaving": st.sampled_from(("0", "2", "yes")),
        "Retry-After": _NUMBER_TEXTS,
        "Content-Type": st.sampled_from(("text/event-stream", "text/plain")),
        "Keep-Alive": _NUMBER_TEXTS.map("timeout={}".format),
    },
)
"""Header fields of a server's answer."""

_JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, _VISIBLE),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(_VISIBLE, inner, max_size=3)
    ),
    max_leaves=8,
)


_NO_VERSIONS = st.sampled_from((-1, 0, 2**70, "x", None, [], {}))


@st.composite
def records(draw: st.DrawFn) -> bytes:
    """Draws a record of a server, with some fields replaced."""
    record: dict[str, Any] = json.loads(build.server_value())
    for name in draw(st.sets(st.sampled_from(sorted(record)), max_size=4)):
        record[name] = draw(_JSON)
    return json.dumps(record).encode()


@st.composite
def routes(draw: st.DrawFn) -> dict[str, Any]:
    """Draws a routes document, with some of its fields replaced.

    Its version is the next one unless it is none that could stay in force.
    """
    document = build.routes_document()
    del document["version"]
    if draw(st.integers(0, 4)) == 0:
        document["version"] = draw(_NO_VERSIONS)
    for _ in range(draw(st.integers(0, 3))):
        part = draw(st.sampled_from(document["routes"] + document["services"]))
        part[draw(st.sampled_from(sorted(part)))] = draw(_JSON)
    return document


@st.composite
def gateway_datagrams(draw: st.DrawFn) -> bytes:
    """Draws a datagram that a gateway may send, with any numbers in it."""
    number = draw(NUMBERS)
    key = draw(st.integers(0, 2**32 - 1))
    parts = (part_caches.HeldPart(key, number),)
    kind = draw(st.sampled_from((b"n", b"q", b"c", b"r", b"t")))
    if kind == b"n":
        body = notice_codec.encode(
            notice_codec.Notice(
                key,
                key,
                (notice_codec.Placement(key, number, parts, number),),
                notice_codec.SeenRevisions(number, number, number),
                (notice_codec.Load(key, number, number, number),),
                (notice_codec.Demand(key, number),),
                role_loads=(
                    notice_codec.RoleLoad(
                        key, True, load_estimates.Load(number, number)
                    ),
                ),
            )
        )
    elif kind == b"q":
        body = queue_codec.encode(
            queue_codec.PromptUpdate(
                key, key, key, "placed", number, number, parts, number, number
            )
        )
    elif kind == b"c":
        end = crash_codec.ReportedEnd(key, key, True, number, key)
        body = crash_codec.encode(crash_codec.CrashReport((end,)))
    else:
        body = draw(st.binary(max_size=200))
    if draw(st.booleans()):
        body = draw(damaged(body))
    return datagrams.frame_datagram(kind, body)


_KINDS = st.sampled_from(
    (kinds.Idempotent(), kinds.AtMostOnce(), kinds.EventStream(True))
)
_SECONDS = st.floats() | st.floats(0.0, 5.0)


@st.composite
def handovers(draw: st.DrawFn) -> tuple[str, bytes]:
    """Draws a request that a gateway may hand over, and its service."""
    service = draw(st.sampled_from(("plain", "engines", "none")))
    fields = {name.title(): value for name, value in draw(_FIELDS).items()}
    handed = handover_codec.HandedRequest(
        draw(st.sampled_from(("GET", "POST", "X y"))),
        draw(st.sampled_from(("/safe/x", "/stream/x", "*", ""))),
        draw(_VISIBLE),
        tuple(fields.items()),
        draw(_VISIBLE).encode(),
        service,
        handover_codec.HandedRoute(
            draw(_VISIBLE),
            draw(_KINDS),
            draw(st.integers(-(2**40), 2**40)),
            draw(st.integers(-(2**40), 2**40)),
            draw(st.none() | _SECONDS),
            draw(st.none() | _SECONDS),
        ),
        draw(_SECONDS),
        draw(_SECONDS),
        draw(st.none() | _VISIBLE),
        draw(_VISIBLE),
        draw(st.booleans()),
        draw(st.booleans()),
        draw(st.none() | st.integers(0, 2**63)),
        draw(st.booleans()),
        draw(st.booleans()),
    )
    body = handover_codec.encode(handed)
    if draw(st.booleans()):
        message = draw(damaged(body[handover_codec.CHECKSUM_BYTES :]))
        body = xxhash.xxh3_64_digest(message) + message
    return service, body


@st.composite
def damaged(draw: st.DrawFn, body: bytes) -> bytes:
    """Draws a message with some bytes changed, and perhaps its end cut off."""
    changed = bytearray(body)
    places = st.integers(0, max(0, len(body) - 1))
    for place in draw(st.lists(places, max_size=4)):
        changed[place : place + 1] = draw(st.binary(max_size=2))
    return bytes(
        changed[: draw(places) + 1] if draw(st.booleans()) else changed
    )
