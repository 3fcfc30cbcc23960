"""A process that serves half of each answer through an entry's handler for callers, and waits."""

import asyncio
import sys

from tornado.httpserver import HTTPServer
from tornado.web import Application

from jayvalve.internal.entry.authentication import TokenTable
from jayvalve.internal.entry.commands import ChatCompletionsHandler
from jayvalve.internal.wire.messages import Chunk, ResponseHead
from tests.ports import HOST

__all__ = ["PART"]

PART = b"data: 1\n\n"


async def _serve(forward):
    yield ResponseHead(200, {"Content-Type": "text/event-stream"})
    yield Chunk(0, PART)
    await asyncio.Event().wait()


async def _main(port):
    settings = {"tokens": TokenTable(()), "serve": _serve}
    server = HTTPServer(Application([("/x", ChatCompletionsHandler, settings)]))
    server.listen(port, HOST)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1])))
