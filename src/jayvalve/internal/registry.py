"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from jayvalve.errors import InvalidSettingsError

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to implementations of one kind.

    >>> policies = Registry("routing policy")
    >>> @policies.register("first")
    ... def choose_first(candidates):
    ...     return candidates[0]
    >>> policies.get("first")([3, 4])
    3
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def __repr__(self) -> str:
        return f"Registry({self._kind!r})"

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))

    @property
    def names(self) -> list[str]:
        """The registered names in alphabetical order."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under name.

        The decorator raises ValueError if the name is already registered.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the implementation, or raise InvalidSettingsError that lists the known names."""
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.names)
            raise InvalidSettingsError(
                f"unknown {self._kind} {name!r}; known names: {known}"
            ) from None
