"""Identifiers of programs and the terms of their owners."""

import attrs
from attrs.validators import ge, instance_of

from jayvalve.errors import InvalidRequestError, WrongOrganisationError
from jayvalve.internal.validation import check_identifier

__all__ = ["ProgramId", "Term", "check_organisation", "root_key"]

# Limits the depth of the budget tree, which each reservation traverses.
MAX_LEVELS = 8


@attrs.frozen(order=True)
class Term:
    """Term of a program's owner. Each later owner has a higher term.

    Attributes:
        epoch: Epoch that an entry acquired with a record in the log; 0 if the program has never
            had an owner.
        handover: Number of planned hand-overs under that epoch.

    """

    epoch: int = attrs.field(validator=[instance_of(int), ge(0)])
    handover: int = attrs.field(default=0, validator=[instance_of(int), ge(0)])

    def successor(self) -> "Term":
        """Return the term of the next owner after a planned hand-over."""
        return Term(self.epoch, self.handover + 1)


@attrs.frozen
class ProgramId:
    """Identifier of a root program, or of a sub-agent as ``root.child``, in an organisation."""

    organisation: str
    name: str

    @classmethod
    def parse(cls, organisation: object, name: object) -> "ProgramId":
        """Validate an organisation and a name and return the identifier.

        Raises:
            InvalidRequestError: organisation or name is not valid.

        """
        checked = cls(check_identifier(organisation, "organisation"), check_identifier(name, "id"))
        levels = checked.name.split(".")
        if not all(levels) or len(levels) > MAX_LEVELS:
            raise InvalidRequestError(
                f"id={checked.name!r} must have 1 to {MAX_LEVELS} non-empty parts separated by dots"
            )
        return checked

    @classmethod
    def from_key(cls, key: str) -> "ProgramId":
        """Return the identifier that has the given key."""
        organisation, separator, name = key.partition("/")
        if not separator:
            raise InvalidRequestError(f"program key {key!r} has no organisation")
        return cls.parse(organisation, name)

    @property
    def root(self) -> "ProgramId":
        """Identifier of the root program."""
        return ProgramId(self.organisation, self.name.split(".", 1)[0])

    @property
    def parent(self) -> "ProgramId | None":
        """Identifier of the program that started this one, or None for a root program."""
        head, separator, _ = self.name.rpartition(".")
        return ProgramId(self.organisation, head) if separator else None

    @property
    def key(self) -> str:
        """Key of the program in messages and hashes.

        It contains the organisation, since two organisations may choose the same name. Neither
        part contains "/".
        """
        return f"{self.organisation}/{self.name}"

    def child(self, name: str) -> "ProgramId":
        """Return the identifier of a sub-agent."""
        return ProgramId.parse(self.organisation, f"{self.name}.{name}")


def root_key(key: str) -> str:
    """Return the key of the root program.

    Only dots after the "/" separate sub-agents, since an organisation's name may contain dots.
    """
    organisation, separator, name = key.rpartition("/")
    return f"{organisation}{separator}{name.split('.', 1)[0]}"


def check_organisation(expected: str, organisation: str) -> None:
    """Raise WrongOrganisationError unless both organisations are the same."""
    if expected != organisation:
        # The message does not name the organisations, so that a caller cannot find out which
        # one has the program.
        raise WrongOrganisationError("no such program in this organisation")
