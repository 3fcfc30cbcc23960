"""Loopback proxy whose open channels can go silent for good, while new ones work."""

import asyncio
import contextlib


class Proxy:
    """Forwards channels to a target."""

    def __init__(self, target):
        self.target = target
        self.address = None
        self.server = None
        self.channels = []
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]

    def silence(self):
        """Drop from now on what either side sends on the channels that are open now."""
        count = 0
        for channel in self.channels:
            if not channel["silent"] and not channel["closed"]:
                count += 1
            channel["silent"] = True
        return count

    async def accept(self, reader, writer):
        channel = {"silent": False, "closed": False, "writers": [writer]}
        self.channels.append(channel)
        try:
            there_reader, there_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        channel["writers"].append(there_writer)
        for one, other in ((reader, there_writer), (there_reader, writer)):
            task = asyncio.ensure_future(self.pump(channel, one, other))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pump(self, channel, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not channel["silent"]:
                    writer.write(data)
                    await writer.drain()
        # The end of a silent channel reaches the other side as little as its data.
        if not channel["silent"]:
            channel["closed"] = True
            writer.close()

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for channel in self.channels:
            for writer in channel["writers"]:
                writer.transport.abort()
        await asyncio.sleep(0)
