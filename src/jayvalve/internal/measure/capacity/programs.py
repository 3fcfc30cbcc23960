"""Benches of programs, turns, history and lookups, in the owner and in a copy."""

import asyncio
import itertools
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from jayvalve.internal.measure.capacity.bench import state_bench, usage
from jayvalve.internal.programs import Amount, CopyStore, OwnershipTable, ProgramId
from jayvalve.internal.programs.acquisition import CopyReader
from jayvalve.internal.programs.records import chain
from jayvalve.internal.timing import Clock
from jayvalve.internal.wire import encode
from jayvalve.internal.wire.messages import CopyAck, CopyRead, CopyState, CopyWrite

__all__ = ["generate_text"]

OWNER = "entry-0#1"
PEERS = [(OWNER, "dc-0"), ("sidecar-1#1", "dc-1"), ("sidecar-2#1", "dc-2")]
UNBOUNDED_BYTES = 1 << 40
# English text has about 1.3 tokens per word.
TOKENS_PER_WORD = 1.3
VOCABULARY = 8000
TURN_TOKENS = 400
# A single copy is too small to measure: it may fit into memory that the allocator has free.
COPY_COUNT = 16
Costs = dict[str, tuple[float, str]]


_WORDS = [f"{rank:x}{'aeioust'[rank % 7]}n" for rank in range(1, VOCABULARY)]
_WEIGHTS = list(itertools.accumulate(1 / rank for rank in range(1, VOCABULARY)))


def generate_text(tokens: int, rng: random.Random) -> str:
    """Return words with Zipf-distributed frequencies, which compress about as well as prose."""
    count = max(1, int(tokens / TOKENS_PER_WORD))
    return " ".join(rng.choices(_WORDS, cum_weights=_WEIGHTS, k=count))


def _texts(turns: int, rng: random.Random) -> list[tuple[str, str]]:
    return [
        (generate_text(TURN_TOKENS // 2, rng), generate_text(TURN_TOKENS // 2, rng))
        for _ in range(turns)
    ]


async def _acknowledge(name: str, message: Any, timeout_s: float) -> Any:
    """Answer like a copy, without storing the records in this process."""
    if isinstance(message, CopyWrite):
        count = message.sequence + len(message.records)
        return CopyAck(True, message.epoch, message.handover, count)
    return CopyState(False, members=[name])


def _table() -> tuple[OwnershipTable, CopyStore]:
    clock = Clock()
    store = CopyStore(OWNER, clock, UNBOUNDED_BYTES)

    async def epoch(reason: str) -> int:
        return 1

    table = OwnershipTable(store, "dc-0", _acknowledge, lambda: PEERS, epoch, clock)
    return table, store


async def _run_turn(
    table: OwnershipTable, identity: ProgramId, number: int, messages: list[Any], answer: bytes
) -> None:
    program = table.get(identity).program
    intent = program.intent_record(
        identity.name,
        turn=number,
        request_id=f"request-{number}",
        attempt_id=f"1-{number}",
        amount=Amount(1, 1),
        endpoint="engine-1",
        incarnation=1,
    )
    await table.append(identity, intent)
    turn = program.turn_record(
        f"1-{number}",
        used=Amount(1, 1),
        verdict="ran",
        status=200,
        digest="0" * 32,
        answer=answer,
        messages=messages,
    )
    await table.append(identity, turn)


async def _fill(
    table: OwnershipTable, identity: ProgramId, texts: list[tuple[str, str]]
) -> list[Any]:
    messages: list[Any] = []
    for number, (question, answer) in enumerate(texts, 1):
        messages = [
            *messages,
            {"role": "user", "content": question},
            {"role": "assistant", "content": answer},
        ]
        await _run_turn(table, identity, number, messages, answer.encode())
    return messages


def _run(work: Callable[[], Awaitable[Costs]]) -> Costs:
    return asyncio.run(work())


@state_bench("programs", (250, 500, 1000, 2000), (20, 40, 60, 80))
def measure_programs(size: int, seed: int) -> Costs:
    """Measure programs in the owner, without turns."""

    async def work() -> Costs:
        table, store = _table()
        await table.join()
        with usage() as measured:
            for number in range(size):
                await table.create(ProgramId("org", f"p{number}"), [None, None, None])
        return {
            "owner_memory_per_program": (measured.memory_bytes, "bytes"),
            "owner_cpu_per_program_start": (measured.cpu_s, "s"),
        }

    return _run(work)


@state_bench("turns", (40, 80, 160, 320), (5, 10, 15, 20))
def measure_turns(size: int, seed: int) -> Costs:
    """Measure turns of TURN_TOKENS tokens in one program of the owner."""

    async def work() -> Costs:
        table, store = _table()
        await table.join()
        identity = ProgramId("org", "p")
        await table.create(identity, [None, None, None])
        texts = _texts(size, random.Random(seed))
        with usage() as measured:
            await _fill(table, identity, texts)
        return {
            "owner_memory_per_turn": (measured.memory_bytes, "bytes"),
            "owner_cpu_per_turn": (measured.cpu_s, "s"),
            "copy_bytes_per_turn": (store.bytes_held, "bytes"),
        }

    return _run(work)


@state_bench("history", (16_000, 32_000, 64_000, 128_000), (2000, 4000, 6000, 8000))
def measure_history(size: int, seed: int) -> Costs:
    """Measure history tokens of one program: in owner, copy, takeover and request body."""

    async def work() -> Costs:
        table, store = _table()
        await table.join()
        identity = ProgramId("org", "p")
        await table.create(identity, [None, None, None])
        texts = _texts(size // TURN_TOKENS, random.Random(seed))
        with usage() as owner:
            messages = await _fill(table, identity, texts)
        records = store.records(identity.key)
        with usage() as copy:
            for _ in range(COPY_COUNT):
                _copy(identity, records)
        with usage() as rebuild:
            type(table.get(identity).program).from_records(identity, records)
        with usage() as body:
            json.loads(json.dumps({"messages": messages}, ensure_ascii=False).encode())
        raw = len(json.dumps(messages, ensure_ascii=False).encode())
        return {
            "owner_memory_per_history_token": (owner.memory_bytes, "bytes"),
            "history_raw_bytes_per_token": (raw, "bytes"),
            "copy_bytes_per_history_token": (sum(map(len, records)), "bytes"),
            "copy_memory_per_history_token": (copy.memory_bytes / COPY_COUNT, "bytes"),
            "copy_cpu_per_history_token": (copy.cpu_s / COPY_COUNT, "s"),
            "takeover_cpu_per_history_token": (rebuild.cpu_s, "s"),
            "call_json_cpu_per_history_token": (body.cpu_s, "s"),
        }

    return _run(work)


# Keeps the copies alive, so that their memory is still in use when it is measured.
_retained_stores: list[CopyStore] = []


def _copy(identity: ProgramId, records: list[bytes]) -> None:
    store = CopyStore("sidecar-1#1", Clock(), UNBOUNDED_BYTES)
    members = [name for name, _ in PEERS]
    for sequence, data in enumerate(records):
        # bytes(bytearray()) gives the copy memory of its own, as if the data had been received.
        owned = bytes(bytearray(data))
        start = store.checksum(identity.key, sequence)
        store.write(
            CopyWrite(identity.key, "org", 1, 0, sequence, [owned], chain(start, [owned]), members)
        )
    _retained_stores.append(store)


@state_bench("lookups", (100, 200, 400, 800), (10, 20, 30, 40))
def measure_lookups(size: int, seed: int) -> Costs:
    """Measure lookups of unknown programs among 1010 processes, in the process that makes them."""

    async def work() -> Costs:
        sent = {"messages": 0, "bytes": 0}

        async def send(name: str, message: CopyRead, timeout_s: float) -> CopyState:
            reply = CopyState(False, members=[name])
            sent["messages"] += 1
            sent["bytes"] += len(encode(1, 0, message)) + len(encode(1, 3, reply))
            return reply

        peers = [f"sidecar-{number}#1" for number in range(1009)]
        reader = CopyReader(CopyStore(OWNER, Clock()), send, lambda: peers)
        with usage() as measured:
            for number in range(size):
                await reader.lookup(f"org/p{number}")
        return {
            "lookup_cpu": (measured.cpu_s, "s"),
            "lookup_messages": (sent["messages"], "messages"),
            "lookup_bytes": (sent["bytes"], "bytes"),
        }

    return _run(work)
