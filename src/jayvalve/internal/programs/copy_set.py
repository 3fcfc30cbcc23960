"""Choice of the processes that store a program's copies, and their quorums."""

from collections.abc import Callable, Collection, Iterable

from jayvalve.internal.hashing import rendezvous_order

__all__ = ["COPY_SET_SIZE", "choose_copy_set", "has_quorum", "read_quorum", "write_quorum"]

COPY_SET_SIZE = 3


def choose_copy_set(root: str, owner: str, members: Iterable[tuple[str, str]]) -> list[str]:
    """Return the owner followed by the other processes that store the program's copies.

    Each further process is chosen from the data centres with the fewest copies, so that no data
    centre is used again before all others are used. Ties are resolved by the rendezvous order
    of the root program.

    Args:
        root: Key of the root program.
        owner: Name of the owner.
        members: Names and data centres of the live processes.

    """
    data_centres = dict(members)
    order = [name for name in rendezvous_order(root, data_centres) if name != owner]
    chosen = [owner]
    use_counts = {data_centres.get(owner): 1}
    while order and len(chosen) < COPY_SET_SIZE:
        next_member = min(order, key=lambda name: use_counts.get(data_centres[name], 0))
        order.remove(next_member)
        chosen.append(next_member)
        use_counts[data_centres[next_member]] = use_counts.get(data_centres[next_member], 0) + 1
    return chosen


def write_quorum(size: int) -> int:
    """Return W, the number of members that must store a record before it is acknowledged."""
    return min(2, size)


def read_quorum(size: int) -> int:
    """Return R, the number of members that a read must reach.

    Since W + R > N, a takeover sees each acknowledged record.
    """
    return size - write_quorum(size) + 1


def has_quorum(
    sets: list[list[str]],
    answered: Collection[str],
    *,
    read: bool,
    has_ended: Callable[[str], bool] = lambda name: False,
) -> bool:
    """Return whether the members in answered are a quorum of each set.

    The quorum is a read quorum if read is true, otherwise a write quorum.

    If at least one member of a set answered, the members that have ended permanently are
    counted as well: they can acknowledge no further records, and normally each member stores
    each record.
    """
    needed = read_quorum if read else write_quorum
    return all(_is_quorum(members, answered, needed(len(members)), has_ended) for members in sets)


def _is_quorum(
    members: list[str], answered: Collection[str], needed: int, has_ended: Callable[[str], bool]
) -> bool:
    answers = sum(name in answered for name in members)
    if answers >= needed:
        return True
    ended = sum(name not in answered and has_ended(name) for name in members)
    return answers > 0 and answers + ended >= needed
