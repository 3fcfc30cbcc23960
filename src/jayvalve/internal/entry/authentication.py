"""Tokens of callers, kept as salted hashes."""

import hashlib
import hmac
import itertools
import secrets
from collections import OrderedDict
from collections.abc import Iterable

from jayvalve.errors import UnauthorizedError
from jayvalve.internal.settings import CallerToken

__all__ = ["DEFAULT_ORGANISATION", "TokenTable", "hash_token"]

DEFAULT_ORGANISATION = "default"
SALT_BYTES = 16
# About 200 bytes each; above the number of organisations of the target.
MAX_KNOWN_TOKENS = 40_000


def hash_token(organisation: str, token: str, salt: str | None = None) -> CallerToken:
    """Return the settings entry for a token; a fresh salt is drawn if none is given.

    Tokens are long random strings, so one round of SHA-256 is enough.
    """
    chosen = salt if salt is not None else secrets.token_hex(SALT_BYTES)
    digest = hashlib.sha256(bytes.fromhex(chosen) + token.encode()).hexdigest()
    return CallerToken(organisation, chosen, digest)


class TokenTable:
    """Maps bearer tokens to organisations.

    Each caller has its own salt, so a token that was not seen yet is compared with all of
    them, unless it names its organisation (``ORGANISATION.SECRET``). The result is kept under
    a keyed hash, from which the token cannot be found.
    """

    def __init__(self, callers: Iterable[CallerToken]) -> None:
        self._callers = list(callers)
        self._by_organisation: dict[str, list[CallerToken]] = {}
        for caller in self._callers:
            self._by_organisation.setdefault(caller.organisation, []).append(caller)
        self._secret = secrets.token_bytes(SALT_BYTES)
        self._known: OrderedDict[bytes, str] = OrderedDict()

    def replace(self, other: "TokenTable") -> None:
        """Take over the tokens of another table."""
        self._callers = list(other._callers)

    def organisation(self, authorization: str | None) -> str:
        """Return the organisation of an Authorization header.

        Without configured callers everyone belongs to DEFAULT_ORGANISATION.

        Raises:
            UnauthorizedError: the header is missing or its token is unknown.
        """
        if not self._callers:
            return DEFAULT_ORGANISATION
        scheme, _, token = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise UnauthorizedError("a bearer token is required")
        name = hmac.digest(self._secret, token.strip().encode(), "sha256")
        found = self._known.get(name)
        if found is None:
            found = self._find(token.strip())
            if len(self._known) >= MAX_KNOWN_TOKENS:
                self._known.popitem(last=False)
        self._known[name] = found
        self._known.move_to_end(name)
        return found

    def _find(self, token: str) -> str:
        named = self._by_organisation.get(token.rpartition(".")[0], [])
        for caller in itertools.chain(named, self._callers):
            candidate = hash_token(caller.organisation, token, caller.salt)
            if hmac.compare_digest(candidate.hash, caller.hash):
                return caller.organisation
        raise UnauthorizedError("the bearer token is unknown")
