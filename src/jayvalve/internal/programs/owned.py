"""A program that this entry owns: its state and the writer that replicates it."""

from collections.abc import Iterable

import attrs

from jayvalve.internal.programs.copy_writer import CopyWriter
from jayvalve.internal.programs.history import Program

__all__ = ["OwnedProgram"]


@attrs.define(eq=False)
class OwnedProgram:
    """A program with the writer of its records.

    The program's state includes records that have no quorum yet: they are in the owner's
    store, and a later takeover may find them.

    Attributes:
        program: State of the program.
        writer: Writer that replicates the program's records.
        data_centres: Data centres of the processes by name.
        handing_over: Whether a hand-over to another entry has started.

    """

    program: Program
    writer: CopyWriter
    data_centres: dict[str, str]
    handing_over: bool = False

    async def append(
        self, record: bytes, timeout_s: float, sets: list[list[str]] | None = None
    ) -> None:
        """Apply a record that the program has just built, and wait for its quorum."""
        self.program.apply(record)
        await self.writer.commit(self.writer.add([record], sets), timeout_s)

    async def flush(self, timeout_s: float) -> None:
        """Wait until all records have their quorum."""
        await self.writer.commit(self.writer.count, timeout_s)

    async def change_members(
        self, members: list[str], data_centres: Iterable[tuple[str, str]], timeout_s: float
    ) -> None:
        """Replace the copy set.

        New members first receive the whole history. One record then names the previous sets
        and the new one, and writes need a quorum of each until a second record names only the
        new set.
        """
        self.data_centres.update(data_centres)
        if self.writer.sets == [members]:
            return
        if self.writer.sets[-1] != members:
            await self.writer.send_history(members, timeout_s)
            await self._write_members_record([*self.writer.sets, members], timeout_s)
        await self._write_members_record([members], timeout_s)

    async def _write_members_record(self, sets: list[list[str]], timeout_s: float) -> None:
        await self.append(self.program.members_record(sets), timeout_s, sets)
