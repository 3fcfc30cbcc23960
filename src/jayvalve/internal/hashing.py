"""Checksums, key partitions and rendezvous hashing.

Every process computes the same results without shared state.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["digest", "partition", "rendezvous_order"]


def digest(*parts: bytes) -> str:
    """Return a 128-bit checksum of the joined parts, which are not copied, in hexadecimal."""
    state = xxhash.xxh3_128()
    for part in parts:
        state.update(part)
    return state.hexdigest()


def partition(key: str, partitions: int) -> int:
    """Return the partition, from 0 to partitions - 1, that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % partitions


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes by descending weight for key (highest random weight hashing).

    When one of n nodes joins or leaves, the first node changes for only about 1/n of the keys.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(
        nodes,
        key=lambda node: (xxhash.xxh3_64_intdigest(node.encode(), seed), node),
        reverse=True,
    )
