"""Engines that every gateway prefers for the same prompt, without messages between gateways.

A gateway of a large fleet sees few calls, so it knows only for few engines which prompts they have
read. Without a common preference, each engine reads every shared part of the prompts, which costs
processing time and evicts other parts from its memory. This answers the load of a start, and of a
burst after one, when no gateway knows much yet.
"""

import math
from collections.abc import Iterable, Sequence

import attrs

from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.hashing import rendezvous_order

__all__ = ["HomeSettings", "PrefixHomes"]

Prefix = Sequence[tuple[str, int]]


@attrs.frozen
class HomeSettings:
    """How many engines are homes of a prompt.

    Attributes:
        shared_homes: Fraction of the engines that are homes of a shared part. All shared parts
            together must fit into the engines' memory, and a popular one must not fill its homes.
        min_homes: Minimum number of homes of a shared part, since one engine may leave.
        line_weight: Expected fraction of a conversation's earlier turns that its home still keeps.

    """

    shared_homes: float = 0.3
    min_homes: int = 2
    line_weight: float = 0.7


class PrefixHomes:
    """Expected number of cached tokens at each engine for one prompt.

    The first part of a prompt is shared by many conversations, the others belong to one of them.

    Args:
        prefix: Parts of the prompt in order, as pairs of id and tokens.
        engines: Engines that may serve it.

    """

    def __init__(
        self, prefix: Prefix, engines: Iterable[EngineKey], settings: HomeSettings
    ) -> None:
        self._prefix = prefix
        self._settings = settings
        self._ranks: dict[str, int] = {}
        self._homes = 0
        self._line_home: str | None = None
        if prefix:
            self._rank_engines([engine.id for engine in engines])

    def expected_tokens(self, engine: EngineKey, known_tokens: int) -> float:
        """Return how many leading tokens of the prompt an engine is expected to keep.

        Args:
            engine: The engine.
            known_tokens: Tokens that this gateway knows the engine to have read.

        """
        if not self._homes:
            return known_tokens
        shared_tokens = self._prefix[0][1]
        # Engines beyond the homes are next in line when these are full.
        beyond = self._ranks[engine.id] - self._homes + 1
        weight = min(1.0, max(0.0, 1.0 - beyond / self._homes)) if beyond > 0 else 1.0
        expected = weight * shared_tokens
        if engine.id == self._line_home:
            line_tokens = sum(tokens for _, tokens in self._prefix[1:])
            expected += self._settings.line_weight * line_tokens
        return max(known_tokens, expected)

    def _rank_engines(self, engine_ids: list[str]) -> None:
        order = rendezvous_order(self._prefix[0][0], engine_ids)
        self._ranks = {engine_id: rank for rank, engine_id in enumerate(order)}
        settings = self._settings
        wanted = max(settings.min_homes, math.ceil(settings.shared_homes * len(order)))
        self._homes = min(len(order), wanted)
        if len(self._prefix) > 1:
            # The first turn's own part identifies the conversation in all its later turns.
            homes = order[: self._homes]
            self._line_home = rendezvous_order(self._prefix[1][0], homes)[0]
