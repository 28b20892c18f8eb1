"""Names for what callers ask, equal each time that the same is asked."""

import hashlib
from collections.abc import Iterable

_FINGERPRINT_BYTES = 8


def fingerprint(texts: Iterable[str], body: bytes) -> int:
    """Returns 64 bits of a request.

    Nobody can make another request that shares them, and so have a caller's
    own refused: the hash is a cryptographic one.

    Args:
        texts: What tells the request from others, such as its path.
        body: Its body.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for text in texts:
        encoded = text.encode("latin-1", "replace")
        # With its length before it no text can pass for two.
        digest.update(b"%d:%b" % (len(encoded), encoded))
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")
