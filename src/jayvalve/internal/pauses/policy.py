"""What happens to a program's KV cache during a tool pause (InferCept).

The candidates are compared by the memory they waste, in token-seconds: keeping wastes the
prefix for the expected rest of the pause, dropping wastes the memory of the prefix and of
the batch while the prefix is rebuilt, exporting wastes the prefix during both transfers.
"""

import enum

import attrs

from jayvalve.internal.pauses.durations import PauseDurations

__all__ = ["MemoryCosts", "PauseDecision", "PausePolicy"]

DEFAULT_PAUSE_S = 5.0
MAX_TOOLS = 1024


class PauseDecision(enum.StrEnum):
    """What to do with a paused program's KV cache."""

    KEEP = "keep"
    EXPORT = "export"
    DROP = "drop"


@attrs.frozen
class MemoryCosts:
    """State and rates of the endpoint that holds the prefix.

    Attributes:
        rebuild_tokens_per_s: Rate at which the engine computes a prefix.
        transfer_tokens_per_s: Rate of export and import; 0 if the engine can do neither.
        memory_tokens: KV memory of the engine.
        free_tokens: Part of it that no prefix uses.
        export_free_tokens: Room for exported prefixes.
        stalled_share: Share of the engine's memory whose programs wait during a rebuild.

    """

    rebuild_tokens_per_s: float
    transfer_tokens_per_s: float = 0.0
    memory_tokens: float = 1.0
    free_tokens: float = 0.0
    export_free_tokens: float = 0.0
    stalled_share: float = 0.1


class PausePolicy:
    """Decides between keeping, exporting and dropping, from the pauses seen per tool."""

    def __init__(self, default_pause_s: float = DEFAULT_PAUSE_S) -> None:
        self._default_s = default_pause_s
        self._tools: dict[str, PauseDurations] = {}

    def observe(self, tool: str, pause_s: float) -> None:
        """Record a finished pause; tools beyond the bound share the default estimate."""
        durations = self._tools.get(tool)
        if durations is None:
            if len(self._tools) >= MAX_TOOLS:
                return
            durations = self._tools[tool] = PauseDurations()
        durations.observe(pause_s)

    def expected_remaining_s(self, tool: str, elapsed_s: float = 0.0) -> float:
        """Return the expected rest of a pause that has lasted elapsed_s."""
        durations = self._tools.get(tool)
        if durations is None:
            return max(self._default_s, elapsed_s)
        return durations.expected_remaining_s(elapsed_s, self._default_s)

    def decide(
        self, tool: str, prefix_tokens: float, costs: MemoryCosts, elapsed_s: float = 0.0
    ) -> PauseDecision:
        """Return the decision at the start of a pause, or after elapsed_s of it."""
        waste = self.waste(tool, prefix_tokens, costs, elapsed_s)
        return min(waste, key=lambda decision: waste[decision])

    def waste(
        self, tool: str, prefix_tokens: float, costs: MemoryCosts, elapsed_s: float = 0.0
    ) -> dict[PauseDecision, float]:
        """Return the wasted token-seconds of each decision that is possible.

        Memory that nobody needs is not wasted: the cost of keeping grows from zero, while
        the free memory exceeds half of the whole, to its full value when none is free.
        """
        remaining_s = self.expected_remaining_s(tool, elapsed_s)
        free_share = costs.free_tokens / max(1.0, costs.memory_tokens)
        pressure = min(1.0, max(0.0, 1.0 - 2.0 * free_share))
        rebuild_s = prefix_tokens / costs.rebuild_tokens_per_s
        stalled_tokens = costs.stalled_share * costs.memory_tokens
        waste = {
            PauseDecision.KEEP: remaining_s * prefix_tokens * pressure,
            PauseDecision.DROP: rebuild_s * (prefix_tokens / 2.0 + stalled_tokens),
        }
        if costs.transfer_tokens_per_s > 0.0 and prefix_tokens <= costs.export_free_tokens:
            transfer_s = 2.0 * prefix_tokens / costs.transfer_tokens_per_s
            waste[PauseDecision.EXPORT] = transfer_s * prefix_tokens
        return waste
