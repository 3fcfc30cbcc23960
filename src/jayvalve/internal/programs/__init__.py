"""Programs: identity, order, budget, history, copies and ownership."""

from jayvalve.internal.programs.budget import Amount, Budget, Reservation
from jayvalve.internal.programs.history import Agent, Intent, Program, StoredTurn
from jayvalve.internal.programs.identity import ProgramId, Term, check_organisation
from jayvalve.internal.programs.sequence import TurnCall, TurnSequence

__all__ = [
    "Agent",
    "Amount",
    "Budget",
    "Intent",
    "Program",
    "ProgramId",
    "Reservation",
    "StoredTurn",
    "Term",
    "TurnCall",
    "TurnSequence",
    "check_organisation",
]
