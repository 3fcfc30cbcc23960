"""Handling of KV caches during tool pauses, and moves of programs between endpoints."""

from jayvalve.internal.pauses.moves import Move, MovePlanner, MoveTimes
from jayvalve.internal.pauses.paused import PausedPrefixes
from jayvalve.internal.pauses.policy import MemoryState, PauseDecision, PausePolicy

__all__ = [
    "MemoryState",
    "Move",
    "MovePlanner",
    "MoveTimes",
    "PauseDecision",
    "PausePolicy",
    "PausedPrefixes",
]
