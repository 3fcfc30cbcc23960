"""Programs: identity, order, budget, history, copies and ownership."""

from jayvalve.internal.programs.budget import Amount, Budget, Reservation
from jayvalve.internal.programs.identity import ProgramId, Term, check_organisation
from jayvalve.internal.programs.sequence import TurnCall, TurnSequence

__all__ = [
    "Amount",
    "Budget",
    "ProgramId",
    "Reservation",
    "Term",
    "TurnCall",
    "TurnSequence",
    "check_organisation",
]
