"""Tokens and block hashes of prompts, as the stand-in model engine counts them."""

import re
from collections.abc import Iterable, Mapping

import xxhash

__all__ = ["BLOCK_TOKENS", "block_hashes", "count_tokens", "render_messages", "split_tokens"]

BLOCK_TOKENS = 16
_TOKEN = re.compile(r"\S{1,4}")


def split_tokens(text: str) -> list[str]:
    """Split text into tokens: words, cut into pieces of at most 4 characters."""
    return _TOKEN.findall(text)


def count_tokens(text: str) -> int:
    """Return the number of tokens of text."""
    return len(split_tokens(text))


def block_hashes(tokens: list[str]) -> list[int]:
    """Return the 64-bit hash of each full block of BLOCK_TOKENS tokens.

    A block's hash covers all blocks before it, so equal hashes mean equal prefixes.
    """
    hashes: list[int] = []
    previous = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        previous = xxhash.xxh3_64_intdigest(block.encode(), previous)
        hashes.append(previous)
    return hashes


def render_messages(messages: Iterable[Mapping[str, object]]) -> str:
    """Return the prompt text of chat messages.

    The text of a longer conversation starts with the text of the shorter one, so that the
    prefix cache matches across the turns of a program.
    """
    return "".join(f"{message.get('role')}: {message.get('content')}\n" for message in messages)
