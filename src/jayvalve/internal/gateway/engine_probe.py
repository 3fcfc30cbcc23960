"""Check whether anything answers at the address of an engine."""

import asyncio
import enum

from jayvalve.internal.gateway.http_client import (
    BrokenConnectionError,
    ClientRequest,
    HttpPool,
    NotSentError,
)

__all__ = ["PROBE_TIMEOUT_S", "ProbeResult", "is_down", "probe_engine"]

# Timeout of the answer to a check, in seconds, after its connection is established.
PROBE_TIMEOUT_S = 0.4
# A process that serves its address closes no connection within this time in seconds, unless it has
# too many. Then it answers on others.
_CLOSED_AT_ONCE_S = 0.15


class ProbeResult(enum.StrEnum):
    """What a check has shown."""

    REFUSED = "refused"
    SILENT = "silent"
    ANSWERED = "answered"


async def is_down(pool: HttpPool, address: tuple[str, int]) -> bool:
    """Return whether nothing serves an address: it refuses connections, or closes them at once.

    A supervisor may go on listening for a process that has ended. An address that does not answer
    may be cut off, and does not count as down. A connection that stays open is kept for the next
    request.
    """
    for _ in range(2):
        try:
            connection = await pool.open(address)
        except NotSentError as error:
            return error.is_refusal
        await asyncio.sleep(_CLOSED_AT_ONCE_S)
        if not connection.stream.has_unread_bytes:
            pool.give_back(connection)
            return False
        connection.stream.close()
    return True


async def probe_engine(
    pool: HttpPool, address: tuple[str, int], health_path: str | None
) -> ProbeResult:
    """Return whether an address refuses connections, is silent, or answers.

    Without a health path, an address that keeps connections open counts as answering. The answer
    may come from another incarnation of the engine.
    """
    if health_path is None:
        return ProbeResult.REFUSED if await is_down(pool, address) else ProbeResult.ANSWERED
    host, port = address
    request = ClientRequest(address, "GET", health_path, (("Host", f"{host}:{port}"),))
    try:
        connection = await pool.open(address)
    except NotSentError as error:
        return ProbeResult.REFUSED if error.is_refusal else ProbeResult.SILENT
    exchange = pool.send_on(connection, request)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            await exchange.head()
            await exchange.body()
    except TimeoutError:
        return ProbeResult.SILENT
    except BrokenConnectionError:
        # Engines reset connections beyond their limit.
        return ProbeResult.SILENT
    finally:
        exchange.abort()
    return ProbeResult.ANSWERED
