"""Message handlers that give other processes access to the copies that this process stores."""

from jayvalve.internal.programs.copies import CopyStore
from jayvalve.internal.transport import HandlerTable, PeerContext
from jayvalve.internal.wire.messages import (
    Accepted,
    CopyAck,
    CopyRead,
    CopyRelease,
    CopyState,
    CopyWrite,
)

__all__ = ["register_copies"]


def register_copies(handlers: HandlerTable, store: CopyStore) -> None:
    """Register handlers that pass CopyWrite, CopyRead and CopyRelease to the store."""

    @handlers.on(CopyWrite)
    async def write(context: PeerContext, message: CopyWrite) -> CopyAck:
        return store.write(message)

    @handlers.on(CopyRead)
    async def read(context: PeerContext, message: CopyRead) -> CopyState:
        return store.read(message)

    @handlers.on(CopyRelease)
    async def release(context: PeerContext, message: CopyRelease) -> Accepted:
        return store.release(message)
