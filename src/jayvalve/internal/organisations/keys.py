"""Digests of the keys by which requests name their organisation."""

import hashlib
import hmac
from collections.abc import Iterable

import attrs

__all__ = ["KeyTable", "Organisation", "bearer_token", "key_digest"]

_SCHEME = "bearer"


@attrs.frozen
class Organisation:
    """An organisation of the configuration.

    Attributes:
        name: Name in the configuration, in log lines and in the requests to engines.
        rank: Urgency of its requests, which takes precedence over that of the route, or None.
        rate_per_s: Number of requests per second that it may send; 0 means no limit.
        burst: Number of requests that it may send at once beyond its rate.

    """

    name: str
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


def key_digest(key: bytes, salt: bytes = b"") -> bytes:
    """Return the digest under which a key is kept.

    Keys are long random strings, so one round of SHA-256 is enough.
    """
    return hashlib.sha256(salt + key).digest()


def bearer_token(authorization: str | None) -> str | None:
    """Return the token of an Authorization header with the scheme Bearer, or None."""
    scheme, _, token = (authorization or "").partition(" ")
    return (token.strip() or None) if scheme.lower() == _SCHEME else None


class KeyTable:
    """Finds organisations by their keys, of which only digests are kept.

    Args:
        digests: Digest of each key, and the organisation that it belongs to.

    Raises:
        ValueError: A key belongs to two organisations.

    """

    def __init__(self, digests: Iterable[tuple[bytes, Organisation]] = ()) -> None:
        self._by_digest: dict[bytes, tuple[bytes, Organisation]] = {}
        for digest, organisation in digests:
            _, known = self._by_digest.setdefault(digest, (digest, organisation))
            if known.name != organisation.name:
                raise ValueError(f"{known.name!r} and {organisation.name!r} have the same key")

    @property
    def organisations(self) -> set[Organisation]:
        """The organisations that have a key."""
        return {organisation for _, organisation in self._by_digest.values()}

    def __repr__(self) -> str:
        return f"KeyTable({len(self._by_digest)} keys)"

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation that a key belongs to, or None.

        The lookup depends only on the digest, from which a caller learns nothing about a key, and
        the digests are compared in constant time.
        """
        digest = key_digest(key)
        found = self._by_digest.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return None
        return found[1]
