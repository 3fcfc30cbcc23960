"""Which prefixes are cached at which endpoint, from late and incomplete events."""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs
import xxhash

__all__ = ["CacheEvent", "CacheEventKind", "CacheView", "Prefix"]

# Cache views older than this are ignored (docs/design.md section 3.8).
AGE_LIMIT_S = 30.0
# A gap may hide an eviction, so each gap lowers the trust in what was known before it. A lost
# batch covers about a second, in which few prefixes are evicted; a factor of 0.5 made
# programs leave endpoints that still had their prefix.
GAP_CONFIDENCE = 0.9
MAX_ENTRIES_PER_ENDPOINT = 20_000


@attrs.frozen
class Prefix:
    """A prompt prefix as keys with the tokens up to and including each key.

    ``from_messages`` gives one key a message, each of which identifies all messages up to it.
    ``from_program`` gives a single key, which is cheaper and finds no prefix shared between
    programs.
    """

    keys: tuple[str, ...]
    tokens: tuple[int, ...]

    @property
    def total_tokens(self) -> int:
        """Length of the prefix."""
        return self.tokens[-1] if self.tokens else 0

    @classmethod
    def from_program(cls, program: str, tokens: int) -> "Prefix":
        """Identify the prefix by its program."""
        return cls((f"program:{program}",), (tokens,))

    @classmethod
    def from_messages(cls, messages: Sequence[bytes], tokens: Sequence[int]) -> "Prefix":
        """Identify the prefix by chained hashes of serialized messages.

        ``tokens`` holds the length of each message; both have the same length.
        """
        hasher = xxhash.xxh3_128()
        keys, totals, total = [], [], 0
        for message, count in zip(messages, tokens, strict=True):
            hasher.update(len(message).to_bytes(8, "big"))
            hasher.update(message)
            total += count
            keys.append(hasher.hexdigest())
            totals.append(total)
        return cls(tuple(keys), tuple(totals))


class CacheEventKind(enum.StrEnum):
    """What happened to a prefix in an endpoint's cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@attrs.frozen
class CacheEvent:
    """One event of an endpoint's cache stream, numbered without holes at the source."""

    sequence: int
    kind: CacheEventKind
    key: str = ""
    tokens: int = 0
    at_s: float = 0.0


@attrs.define
class _Entry:
    tokens: int
    at_s: float
    gaps: int


@attrs.define
class _EndpointCache:
    entries: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    next_sequence: int | None = None
    gaps: int = 0
    last_event_s: float = float("-inf")


class CacheView:
    """Estimates how much of a prefix each endpoint has cached.

    An entry is trusted while its endpoint's event stream is alive: it is ignored once both
    the entry and the last event of its endpoint are older than the age limit. An event that
    is older than an own dispatch to the same prefix does not undo that dispatch.
    """

    def __init__(
        self,
        age_limit_s: float = AGE_LIMIT_S,
        max_entries_per_endpoint: int = MAX_ENTRIES_PER_ENDPOINT,
    ) -> None:
        self._age_limit_s = age_limit_s
        self._max_entries = max_entries_per_endpoint
        self._endpoints: dict[str, _EndpointCache] = {}

    def observe_events(self, endpoint: str, events: Iterable[CacheEvent], now: float) -> None:
        """Apply a batch of events; an empty batch shows that the stream is alive."""
        cache = self._endpoints.setdefault(endpoint, _EndpointCache())
        cache.last_event_s = now
        for event in events:
            if cache.next_sequence is not None and event.sequence < cache.next_sequence:
                continue
            if cache.next_sequence is not None and event.sequence > cache.next_sequence:
                cache.gaps += 1
            cache.next_sequence = event.sequence + 1
            self._apply(cache, event)

    def _apply(self, cache: _EndpointCache, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.CLEARED:
            newer = [(k, e) for k, e in cache.entries.items() if e.at_s > event.at_s]
            cache.entries = OrderedDict(newer)
            return
        known = cache.entries.get(event.key)
        if known is not None and known.at_s > event.at_s:
            return
        if event.kind is CacheEventKind.REMOVED:
            cache.entries.pop(event.key, None)
        else:
            self._store(cache, event.key, event.tokens, event.at_s)

    def _store(self, cache: _EndpointCache, key: str, tokens: int, at_s: float) -> None:
        cache.entries[key] = _Entry(tokens, at_s, cache.gaps)
        cache.entries.move_to_end(key)
        while len(cache.entries) > self._max_entries:
            cache.entries.popitem(last=False)

    def note_dispatch(self, endpoint: str, prefix: Prefix, now: float) -> None:
        """Record that an own dispatch brings the prefix into the endpoint's cache."""
        cache = self._endpoints.setdefault(endpoint, _EndpointCache())
        for key, tokens in zip(prefix.keys, prefix.tokens, strict=True):
            self._store(cache, key, tokens, now)

    def forget_prefix(self, prefix: Prefix) -> None:
        """Drop what is known of a prefix, for example when its program has ended."""
        for cache in self._endpoints.values():
            for key in prefix.keys:
                cache.entries.pop(key, None)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop what is known of an endpoint, for example after its restart."""
        self._endpoints.pop(endpoint, None)

    def cached_tokens(self, endpoint: str, prefix: Prefix, now: float) -> float:
        """Return the expected number of leading prefix tokens cached at the endpoint."""
        cache = self._endpoints.get(endpoint)
        if cache is None:
            return 0.0
        oldest = now - self._age_limit_s
        stream_alive = cache.last_event_s >= oldest
        expected = 0.0
        for key, tokens in zip(prefix.keys, prefix.tokens, strict=True):
            entry = cache.entries.get(key)
            if entry is None or not (stream_alive or entry.at_s >= oldest):
                break
            confidence = GAP_CONFIDENCE ** (cache.gaps - entry.gaps)
            expected = max(expected, min(entry.tokens, tokens) * confidence)
        return expected
