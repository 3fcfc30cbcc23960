"""Choice of the processes that hold a program's copies, and their quorums."""

from collections.abc import Collection, Iterable

from jayvalve.internal.hashing import rendezvous_order

__all__ = ["COPY_SET_SIZE", "choose_copy_set", "has_answers", "read_quorum", "write_quorum"]

COPY_SET_SIZE = 3


def choose_copy_set(root: str, owner: str, members: Iterable[tuple[str, str]]) -> list[str]:
    """Return the owner and the holders of its copies, owner first.

    members holds (instance, data centre) pairs. The order is the rendezvous order of the root
    program; a data centre is used again only when all others are used.
    """
    centres = dict(members)
    order = [name for name in rendezvous_order(root, centres) if name != owner]
    chosen = [owner]
    used = {centres.get(owner): 1}
    while order and len(chosen) < COPY_SET_SIZE:
        best = min(order, key=lambda name: used.get(centres[name], 0))
        order.remove(best)
        chosen.append(best)
        used[centres[best]] = used.get(centres[best], 0) + 1
    return chosen


def write_quorum(size: int) -> int:
    """Return W, the members that must hold a record before it is acknowledged."""
    return min(2, size)


def read_quorum(size: int) -> int:
    """Return R; with W + R > N a takeover sees each acknowledged record."""
    return size - write_quorum(size) + 1


def has_answers(sets: list[list[str]], answered: Collection[str], *, read: bool) -> bool:
    """Return whether those who answered are a quorum of each set."""
    needed = read_quorum if read else write_quorum
    return all(
        sum(name in answered for name in members) >= needed(len(members)) for members in sets
    )
