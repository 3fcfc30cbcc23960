"""Finds the organisation of a request by its key."""

from collections.abc import Sequence

from jayvalve.errors import UnauthorizedError
from jayvalve.internal.gateway.model import Route
from jayvalve.internal.organisations import KeyTable, Organisation, bearer_token

__all__ = ["identify_organisation"]


def identify_organisation(
    keys: KeyTable, route: Route, credentials: Sequence[str]
) -> Organisation | None:
    """Return the organisation whose key a request carries.

    Args:
        keys: Keys of the configuration in force.
        route: Route of the request. If it is public, a request without a known key is of nobody.
        credentials: Values of the headers that may carry the key. Of several, none counts.

    Raises:
        UnauthorizedError: The route is not public, and the request carries no known key.

    """
    token = bearer_token(credentials[0]) if len(credentials) == 1 else None
    # Headers are read as Latin-1, so this restores the bytes that were sent.
    found = keys.find(token.encode("latin1")) if token is not None else None
    if found is None and not route.public:
        # The answer does not tell a withdrawn key from one that never existed.
        raise UnauthorizedError("the request carries no valid key of an organisation")
    return found
