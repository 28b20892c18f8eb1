"""Computes hashes by which requests and parts of prompts are recognized."""

import functools
import hashlib
from collections.abc import Iterable

_FINGERPRINT_BYTES = 8
_PART_KEYS_CACHED_COUNT = 4_096


def fingerprint(texts: Iterable[str], body: bytes) -> int:
    """Returns the 64-bit fingerprint of a request.

    The hash is cryptographic, so that nobody can construct a request with the
    fingerprint of another caller's request to get that request blocked.

    Args:
        texts: Parts that identify the request besides its body, such as its
            path.
        body: Body of the request.
    """
    digest = _hash_texts(texts)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


@functools.lru_cache(_PART_KEYS_CACHED_COUNT)
def part_key(service: str, model: str, part_id: str) -> int:
    """Returns the 64-bit key of a part of prompts for a model of a service."""
    digest = _hash_texts((service, model, part_id))
    return int.from_bytes(digest.digest(), "big")


def _hash_texts(texts: Iterable[str]) -> "hashlib.blake2b":
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for text in texts:
        encoded = text.encode("latin-1", "replace")
        # The length prefix separates the texts: no text can be read as two.
        digest.update(b"%d:%b" % (len(encoded), encoded))
    return digest
