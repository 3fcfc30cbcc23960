"""Tokens of callers, stored as salted hashes."""

import hmac
import itertools
import secrets
from collections import OrderedDict
from collections.abc import Iterable

from jayvalve.errors import UnauthorizedError
from jayvalve.internal.organisations import bearer_token, key_digest
from jayvalve.internal.settings import CallerToken

__all__ = ["DEFAULT_ORGANISATION", "TokenTable", "hash_token"]

DEFAULT_ORGANISATION = "default"
SALT_BYTES = 16
# A cached token takes about 200 bytes. The limit is above the number of organisations in the target
# deployment.
MAX_KNOWN_TOKENS = 40_000


def hash_token(organisation: str, token: str, salt: str | None = None) -> CallerToken:
    """Return the settings entry for a token; a new salt is generated if none is given."""
    used_salt = salt if salt is not None else secrets.token_hex(SALT_BYTES)
    digest = key_digest(token.encode(), bytes.fromhex(used_salt))
    return CallerToken(organisation, used_salt, digest.hex())


class TokenTable:
    """Maps bearer tokens to organisations.

    Each caller has its own salt, so a token seen for the first time is hashed and compared once
    per caller, unless it names its organisation (``ORGANISATION.SECRET``). The result is cached
    under a keyed hash, from which the token cannot be recovered.
    """

    def __init__(self, callers: Iterable[CallerToken]) -> None:
        self._callers = list(callers)
        self._by_organisation: dict[str, list[CallerToken]] = {}
        for caller in self._callers:
            self._by_organisation.setdefault(caller.organisation, []).append(caller)
        self._secret = secrets.token_bytes(SALT_BYTES)
        self._known: OrderedDict[bytes, str] = OrderedDict()

    def replace(self, other: "TokenTable") -> None:
        """Replace the tokens that are compared one by one with those of another table.

        Tokens of the old table that are cached or name their organisation remain valid.
        """
        self._callers = list(other._callers)

    def organisation(self, authorization: str | None) -> str:
        """Return the organisation that an Authorization header identifies.

        Without configured callers, every request belongs to DEFAULT_ORGANISATION.

        Raises:
            UnauthorizedError: the header is missing or its token is unknown.
        """
        if not self._callers:
            return DEFAULT_ORGANISATION
        token = bearer_token(authorization)
        if token is None:
            raise UnauthorizedError("a bearer token is required")
        cache_key = hmac.digest(self._secret, token.encode(), "sha256")
        found = self._known.get(cache_key)
        if found is None:
            found = self._find(token)
            if len(self._known) >= MAX_KNOWN_TOKENS:
                self._known.popitem(last=False)
        self._known[cache_key] = found
        self._known.move_to_end(cache_key)
        return found

    def _find(self, token: str) -> str:
        likely = self._by_organisation.get(token.rpartition(".")[0], [])
        for caller in itertools.chain(likely, self._callers):
            candidate = hash_token(caller.organisation, token, caller.salt)
            if hmac.compare_digest(candidate.hash, caller.hash):
                return caller.organisation
        raise UnauthorizedError("the bearer token is unknown")
