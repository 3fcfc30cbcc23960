"""Decision on a program's KV cache during a tool pause, as in InferCept.

The options are compared by the memory that they waste, in token-seconds. Keeping wastes the
memory of the prefix for the expected rest of the pause. Dropping wastes the memory of the
stalled batch and, on average, half of the memory of the prefix while the prefix is rebuilt.
Exporting wastes the memory of the prefix during the export and the import.
"""

import enum

import attrs

from jayvalve.internal.pauses.durations import PauseDurations

__all__ = ["MemoryState", "PauseDecision", "PausePolicy"]

DEFAULT_PAUSE_S = 5.0
MAX_TOOLS = 1024


class PauseDecision(enum.StrEnum):
    """What to do with a paused program's KV cache."""

    KEEP = "keep"
    EXPORT = "export"
    DROP = "drop"


@attrs.frozen
class MemoryState:
    """Memory state and rates of the endpoint that stores the prefix.

    Attributes:
        rebuild_tokens_per_s: Rate at which the engine computes a prefix, in tokens per second.
        transfer_tokens_per_s: Rate of export and import, or 0 if the engine supports neither.
        memory_tokens: Size of the KV cache memory of the engine.
        free_tokens: Part of this memory that no prefix uses.
        export_free_tokens: Free space for exported prefixes.
        stalled_share: Share of the engine's memory that belongs to programs stalled by a
            rebuild.

    """

    rebuild_tokens_per_s: float
    transfer_tokens_per_s: float = 0.0
    memory_tokens: float = 1.0
    free_tokens: float = 0.0
    export_free_tokens: float = 0.0
    stalled_share: float = 0.1


class PausePolicy:
    """Decides whether to keep, export or drop a cache, based on the observed pauses per tool."""

    def __init__(self, default_pause_s: float = DEFAULT_PAUSE_S) -> None:
        self._default_pause_s = default_pause_s
        self._tools: dict[str, PauseDurations] = {}

    def observe(self, tool: str, pause_s: float) -> None:
        """Record a finished pause of a tool.

        At most MAX_TOOLS tools are recorded; all further tools use the default estimate.
        """
        durations = self._tools.get(tool)
        if durations is None:
            if len(self._tools) >= MAX_TOOLS:
                return
            durations = self._tools[tool] = PauseDurations()
        durations.observe(pause_s)

    def expected_remaining_s(self, tool: str, elapsed_s: float = 0.0) -> float:
        """Return the expected remaining time of a pause that has lasted elapsed_s."""
        durations = self._tools.get(tool)
        if durations is None:
            return max(self._default_pause_s, elapsed_s)
        return durations.expected_remaining_s(elapsed_s, self._default_pause_s)

    def decide(
        self, tool: str, prefix_tokens: float, memory: MemoryState, elapsed_s: float = 0.0
    ) -> PauseDecision:
        """Return the decision with the least waste after elapsed_s of a pause."""
        waste = self.waste(tool, prefix_tokens, memory, elapsed_s)
        return min(waste, key=lambda decision: waste[decision])

    def waste(
        self, tool: str, prefix_tokens: float, memory: MemoryState, elapsed_s: float = 0.0
    ) -> dict[PauseDecision, float]:
        """Return the wasted token-seconds of each possible decision.

        Memory that nobody needs is not wasted. Keeping therefore costs nothing while at least
        half of the memory is free; below that, the cost grows linearly to its full value when
        no memory is free.
        """
        remaining_s = self.expected_remaining_s(tool, elapsed_s)
        free_share = memory.free_tokens / max(1.0, memory.memory_tokens)
        pressure = min(1.0, max(0.0, 1.0 - 2.0 * free_share))
        rebuild_s = prefix_tokens / memory.rebuild_tokens_per_s
        stalled_tokens = memory.stalled_share * memory.memory_tokens
        waste = {
            PauseDecision.KEEP: remaining_s * prefix_tokens * pressure,
            PauseDecision.DROP: rebuild_s * (prefix_tokens / 2.0 + stalled_tokens),
        }
        if memory.transfer_tokens_per_s > 0.0 and prefix_tokens <= memory.export_free_tokens:
            transfer_s = 2.0 * prefix_tokens / memory.transfer_tokens_per_s
            waste[PauseDecision.EXPORT] = transfer_s * prefix_tokens
        return waste
