"""Which software began each resumable stream, as far as this process knows."""

from collections import OrderedDict

import attrs
from loguru import logger

__all__ = ["OriginTable", "StreamOrigin"]

_log = logger.bind(part="stream_origins")


@attrs.frozen
class StreamOrigin:
    """What began a stream; only engines of the same service and version can go on with it.

    Attributes:
        service: Name of the service.
        version: Version of the software of its engine.

    """

    service: str
    version: str


class OriginTable:
    """Origins of the streams heard of last.

    Args:
        max_streams: Maximum number of streams; the oldest are dropped. One takes about 300 bytes.

    """

    def __init__(self, max_streams: int = 8192) -> None:
        self._max_streams = max_streams
        # None stands for a stream of which different origins were told.
        self._origins: OrderedDict[str, StreamOrigin | None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def __contains__(self, stream_id: str) -> bool:
        return stream_id in self._origins

    def get(self, stream_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is unknown or was told differently."""
        return self._origins.get(stream_id)

    def add(self, stream_id: str, origin: StreamOrigin) -> None:
        """Keep the origin of a stream.

        The id of an attempt is used once, so a second origin is a fault of whoever chose the id.
        The stream then counts as one that nobody knows.
        """
        known = self._origins.setdefault(stream_id, origin)
        if known != origin:
            _log.bind(stream=stream_id, known=str(known), told=str(origin)).warning(
                "two origins of one stream; it cannot be resumed"
            )
            self._origins[stream_id] = None
        while len(self._origins) > self._max_streams:
            self._origins.popitem(last=False)
