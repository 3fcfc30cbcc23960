"""Validators whose error messages name the invalid argument."""

import re
from typing import TypeVar

from jayvalve.errors import InvalidRequestError

__all__ = ["check_identifier", "check_range", "check_type", "check_utf8"]

T = TypeVar("T")

MAX_IDENTIFIER_CHARACTERS = 128
_IDENTIFIER_PUNCTUATION = frozenset("-_.:@")
# Fast path of check_identifier, since a call of a program checks about 40 identifiers. It must
# accept the same values as the slower checks of length and characters in that function.
_IDENTIFIER_PATTERN = re.compile(rf"[A-Za-z0-9_.:@-]{{1,{MAX_IDENTIFIER_CHARACTERS}}}")


def check_type(expected: type[T], value: object, name: str) -> T:
    """Return value if it is an instance of expected, else raise InvalidRequestError.

    A bool is not accepted as an int.
    """
    if not isinstance(value, expected) or (expected is int and isinstance(value, bool)):
        raise InvalidRequestError(
            f"{name} must be {expected.__name__}, got {type(value).__name__} {value!r:.80}"
        )
    return value


def check_range(value: float, name: str, minimum: float, maximum: float) -> float:
    """Return value if minimum <= value <= maximum, else raise InvalidRequestError.

    NaN is rejected.
    """
    if not minimum <= value <= maximum:
        raise InvalidRequestError(f"{name}={value!r} must be between {minimum} and {maximum}")
    return value


def check_identifier(value: object, name: str) -> str:
    """Return value if it is a short ASCII identifier, else raise InvalidRequestError.

    Identifiers appear in logs, paths and hash keys, so only letters, digits and ``-_.:@``
    are allowed, up to 128 characters.
    """
    if isinstance(value, str) and _IDENTIFIER_PATTERN.fullmatch(value):
        return value
    text = check_type(str, value, name)
    if not 1 <= len(text) <= MAX_IDENTIFIER_CHARACTERS:
        raise InvalidRequestError(
            f"{name} must have 1 to {MAX_IDENTIFIER_CHARACTERS} characters, got {len(text)}"
        )
    for character in text:
        if not (character.isascii() and character.isalnum()) and (
            character not in _IDENTIFIER_PUNCTUATION
        ):
            raise InvalidRequestError(
                f"{name}={text!r} contains the invalid character {character!r}"
            )
    return text


def check_utf8(value: bytes, name: str) -> str:
    """Decode value as UTF-8 or raise InvalidRequestError."""
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError as error:
        raise InvalidRequestError(f"{name} is not UTF-8: {error}") from error
