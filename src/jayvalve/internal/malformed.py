"""What decoders raise for malformed input, and checks that several decoders share."""

import ipaddress
from typing import Any

__all__ = ["MALFORMED_ERRORS", "checked_address"]

# A decoder that reads fields of untrusted values may raise any of these: numbers that are not
# finite raise OverflowError, deeply nested documents RecursionError, short lists IndexError.
MALFORMED_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)

MAX_PORT = 65_535


def checked_address(host: Any, port: Any) -> tuple[str, int]:
    """Return an IPv4 address and a port.

    A malformed address must not reach a socket: a name would be looked up, which stops the event
    loop, and a port out of range raises an error that is not an OSError.

    Raises:
        ValueError: the host is not an IPv4 address, or the port is not from 1 to 65535.

    """
    ipaddress.IPv4Address(str(host))
    number = int(port)
    if isinstance(port, float | bool) or not 1 <= number <= MAX_PORT:
        raise ValueError(f"{port!r} is not a port from 1 to {MAX_PORT}")
    return str(host), number
