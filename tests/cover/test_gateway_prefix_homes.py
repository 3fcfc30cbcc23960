"""Gateways that know nothing of each other send the same prompts to the same engines."""

import collections
import random

from testtools import TestCase

from jayvalve.internal.gateway.model import EngineKey
from jayvalve.internal.gateway.placement import (
    Candidate,
    PlacementNeed,
    PlacementSettings,
    PrefixMemory,
    choose_engine,
)
from jayvalve.internal.gateway.prefix_homes import HomeSettings, PrefixHomes

ENGINES = [EngineKey(f"i-{number}", 1) for number in range(22)]
SHARED_TOKENS = 12_600
OWN_TOKENS = 1_000
SLOTS = 12


def place(prefix, memory, loads, rng, settings):
    """Return the engine that a gateway chooses for a prompt."""
    homes = PrefixHomes(prefix, ENGINES, settings) if settings else None
    candidates = []
    for engine in ENGINES:
        known = memory.cached_tokens(prefix, engine)
        cached = homes.expected_tokens(engine, known) if homes else known
        candidates.append(
            Candidate(engine, SLOTS, loads[engine], 0.25, False, cached_tokens=cached)
        )
    need = PlacementNeed(sum(tokens for _, tokens in prefix), 250)
    return choose_engine(candidates, need, PlacementSettings(), rng).candidate.key


class PrefixHomesTests(TestCase):
    def tokens_read(self, settings, gateways=30, calls=1500):
        """Return the tokens that engines read for the calls of a start, and the highest load.

        Each gateway has a memory of its own. Engines keep what they have read; their load is that
        of the last 130 calls, half of the slots.
        """
        rng = random.Random(5)
        memories = [PrefixMemory() for _ in range(gateways)]
        kept = collections.defaultdict(set)
        running = collections.deque()
        loads = collections.Counter()
        tokens_read = highest = 0
        for number in range(calls):
            shared = f"shared-{min(rng.randrange(16), rng.randrange(16))}"
            prefix = ((shared, SHARED_TOKENS), (f"own-{number}", OWN_TOKENS))
            memory = rng.choice(memories)
            engine = place(prefix, memory, loads, rng, settings)
            memory.record(prefix, engine)
            tokens_read += OWN_TOKENS + (0 if shared in kept[engine] else SHARED_TOKENS)
            kept[engine].add(shared)
            running.append(engine)
            loads[engine] += 1
            highest = max(highest, loads[engine])
            if len(running) > 130:
                loads[running.popleft()] -= 1
        return tokens_read, highest

    def test_shared_parts_are_read_by_few_engines(self):
        """Guards against a start in which each engine reads every shared part.

        The load is 22 engines with half of their slots taken, 30 gateways and 16 shared parts.
        """
        without, _ = self.tokens_read(None)
        with_homes, highest_load = self.tokens_read(HomeSettings())
        self.assertLess(with_homes, 0.8 * without)
        self.assertLessEqual(highest_load, SLOTS)

    def test_a_conversation_returns_to_its_engine_through_any_gateway(self):
        """Guards against turns whose history is read again whenever the gateway changes."""
        rng = random.Random(3)
        same = 0
        for number in range(100):
            first = (("shared", 512), (f"line-{number}", 654))
            later = (*first, (f"turn-{number}", 654))
            loads = collections.Counter(dict.fromkeys(ENGINES, 3))
            engine = place(first, PrefixMemory(), loads, rng, HomeSettings())
            same += engine == place(later, PrefixMemory(), loads, rng, HomeSettings())
        self.assertGreater(same, 80)

    def test_calls_leave_full_homes(self):
        """Guards against a popular prompt that waits at its homes while other engines are free."""
        rng = random.Random(2)
        prefix = (("shared", SHARED_TOKENS), ("own", OWN_TOKENS))
        homes = PrefixHomes(prefix, ENGINES, HomeSettings())
        loads = collections.Counter(
            {
                engine: 3 * SLOTS
                for engine in ENGINES
                if homes.expected_tokens(engine, 0) >= SHARED_TOKENS
            }
        )
        engine = place(prefix, PrefixMemory(), loads, rng, HomeSettings())
        self.assertEqual(0, loads[engine])

    def test_calls_without_a_prompt_have_no_homes(self):
        """Guards against plain calls that are placed by the hash of nothing."""
        self.assertEqual(0, PrefixHomes((), ENGINES, HomeSettings()).expected_tokens(ENGINES[0], 0))

    def test_an_engine_that_leaves_moves_few_homes(self):
        """Guards against engines that read everything again when one of them leaves."""
        moved = 0
        for number in range(50):
            prefix = ((f"shared-{number}", 100), ("own", 10))
            before = PrefixHomes(prefix, ENGINES, HomeSettings(line_weight=0.0))
            after = PrefixHomes(prefix, ENGINES[:-1], HomeSettings(line_weight=0.0))
            moved += sum(
                (before.expected_tokens(engine, 0) >= 100)
                != (after.expected_tokens(engine, 0) >= 100)
                for engine in ENGINES[:-1]
            )
        self.assertLess(moved, 50)
