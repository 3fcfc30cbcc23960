"""Identity, turn order, budget, history, copies and ownership of programs."""

from jayvalve.internal.programs.acquisition import CopyReader, Location
from jayvalve.internal.programs.budget import Amount, Budget, Reservation
from jayvalve.internal.programs.copies import CopyStore
from jayvalve.internal.programs.copy_set import choose_copy_set
from jayvalve.internal.programs.copy_writer import CopyWriter, Send
from jayvalve.internal.programs.history import Agent, Intent, Program, StoredTurn
from jayvalve.internal.programs.identity import ProgramId, Term, check_organisation, root_key
from jayvalve.internal.programs.owned import OwnedProgram
from jayvalve.internal.programs.ownership import OwnershipTable
from jayvalve.internal.programs.sequence import TurnCall, TurnSequence

__all__ = [
    "Agent",
    "Amount",
    "Budget",
    "CopyReader",
    "CopyStore",
    "CopyWriter",
    "Intent",
    "Location",
    "OwnedProgram",
    "OwnershipTable",
    "Program",
    "ProgramId",
    "Reservation",
    "Send",
    "StoredTurn",
    "Term",
    "TurnCall",
    "TurnSequence",
    "check_organisation",
    "choose_copy_set",
    "root_key",
]
