"""Messages of an owner that gives up a program: hand-over to a successor, release of copies."""

import asyncio
from collections.abc import Iterable

from jayvalve.errors import HistoryUnavailableError, JayvalveError, StaleTermError
from jayvalve.internal.programs.copy_writer import Send
from jayvalve.internal.programs.history import Program
from jayvalve.internal.programs.identity import ProgramId, Term
from jayvalve.internal.programs.records import EMPTY_CHAIN, chain
from jayvalve.internal.wire.messages import CopyRelease, HandOver

__all__ = ["build_hand_over", "check_hand_over", "release_copies"]


def build_hand_over(
    identity: ProgramId, term: Term, records: list[bytes], members: list[str]
) -> HandOver:
    """Return the message that hands a program over to a successor, with the successor's term."""
    return HandOver(
        identity.root.key,
        identity.organisation,
        term.epoch,
        term.handover,
        records,
        chain(EMPTY_CHAIN, records),
        members,
    )


def check_hand_over(message: HandOver) -> Program:
    """Return the program in a hand-over.

    Raises:
        HistoryUnavailableError: the message or one of its records is corrupted.
        WrongOrganisationError: a record belongs to another program or organisation.

    """
    if chain(EMPTY_CHAIN, message.records) != message.checksum:
        raise HistoryUnavailableError(f"hand-over of {message.program} has a wrong checksum")
    return Program.from_records(ProgramId.from_key(message.program), message.records)


async def release_copies(
    send: Send, members: Iterable[str], message: CopyRelease, timeout_s: float
) -> set[str]:
    """Send a release to members and return the members that it did not reach."""
    unreached: set[str] = set()

    async def send_release(name: str) -> None:
        try:
            await send(name, message, timeout_s)
        except StaleTermError:
            # A newer owner has the program and is responsible for releasing it.
            return
        except (JayvalveError, TimeoutError):
            unreached.add(name)

    await asyncio.gather(*map(send_release, members))
    return unreached
