"""Bearer tokens for the admin listener, of which only the hashes are kept."""

import hashlib
import hmac

from mulberrywharf.settings import OperatorsSettings

_SCHEME = "bearer "


class Tokens:
    """The operators' tokens that one process accepts."""

    def __init__(self, operator_by_hash: dict[str, str]):
        self._operator_by_hash = operator_by_hash

    @classmethod
    def from_config(cls, settings: OperatorsSettings) -> "Tokens":
        """Reads the tokens from the settings; without any, none is accepted.

        Args:
            settings: The ``operators`` section of the process's settings.
        """
        return cls(
            {
                token["token_sha256_hex"]: token["operator"]
                for token in settings.get("tokens", [])
            }
        )

    def operator(self, authorization: str) -> str | None:
        """Returns the operator to whom a token belongs, or None.

        Args:
            authorization: Value of the request's ``Authorization`` header,
                empty if it has none.
        """
        if not authorization.lower().startswith(_SCHEME):
            return None
        token = authorization[len(_SCHEME) :].strip()
        # WSGI decodes headers as Latin-1; encoding restores the sent bytes.
        digest = hashlib.sha256(token.encode("latin-1", "replace")).hexdigest()
        found = None
        # Compares every hash, so that the duration reveals nothing.
        for expected, operator in self._operator_by_hash.items():
            if hmac.compare_digest(digest, expected):
                found = operator
        return found
