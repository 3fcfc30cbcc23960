"""Ids that callers choose, made distinct by their organisation.

Kept turns and budgets are stored under ids that callers choose. Under an id with its scope, a turn
of another organisation is an unknown turn wherever it is looked for, and two organisations that
choose the same id neither read nor replace what the other one has stored.
"""

from jayvalve.internal.organisations.keys import Organisation

__all__ = ["plain_id", "scoped_id"]

# Neither a header of a request nor the name of an organisation can contain it.
_SEPARATOR = "\n"


def scoped_id(organisation: Organisation | None, identifier: str) -> str:
    r"""Return an id in the scope of an organisation; without one, it stays as it is.

    >>> scoped_id(Organisation("acme"), "turn-1")
    'acme\nturn-1'
    >>> scoped_id(None, "turn-1")
    'turn-1'
    """
    return identifier if organisation is None else organisation.name + _SEPARATOR + identifier


def plain_id(scoped: str) -> str:
    r"""Return an id as the caller chose it.

    >>> plain_id("acme\nturn-1")
    'turn-1'
    """
    return scoped.rpartition(_SEPARATOR)[2]
