"""Who may use the admin listener: bearer tokens, kept only as hashes."""

import hashlib
import hmac

from mulberrywharf.settings import OperatorsSettings

_SCHEME = "bearer "


class Tokens:
    """The operators' tokens of one process."""

    def __init__(self, operator_by_hash: dict[str, str]):
        self._operator_by_hash = operator_by_hash

    @classmethod
    def from_config(cls, settings: OperatorsSettings) -> "Tokens":
        """Takes the tokens from the settings; none means nobody may."""
        return cls(
            {
                token["token_sha256_hex"]: token["operator"]
                for token in settings.get("tokens", [])
            }
        )

    def operator(self, authorization: str) -> str | None:
        """Returns the operator whose token it is, or None.

        Args:
            authorization: The request's header, empty when it has none.
        """
        if not authorization.lower().startswith(_SCHEME):
            return None
        token = authorization[len(_SCHEME) :].strip()
        # A WSGI header is text in Latin-1; this gives the bytes that came.
        seen = hashlib.sha256(token.encode("latin-1", "replace")).hexdigest()
        found = None
        # Every hash is compared, so that the time tells nothing.
        for expected, operator in self._operator_by_hash.items():
            if hmac.compare_digest(seen, expected):
                found = operator
        return found
