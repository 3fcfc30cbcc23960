"""Estimate of the prefixes cached at each endpoint, from late and incomplete events."""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs
import xxhash

__all__ = ["CacheEvent", "CacheEventKind", "CacheView", "Prefix"]

# A cached key is ignored once both the key and the last batch of events of its endpoint are
# older than this (docs/design.md section 3.8).
AGE_LIMIT_S = 30.0
# Factor by which each gap in the event numbers lowers the confidence in earlier keys, since
# a gap may hide an eviction. A lost batch covers about a second, in which few prefixes are
# evicted; with a factor of 0.5, programs left endpoints that still had their prefix.
GAP_CONFIDENCE = 0.9
MAX_KEYS_PER_ENDPOINT = 20_000


@attrs.frozen
class Prefix:
    """A prompt prefix: its keys, and the number of tokens up to and including each key.

    ``from_messages`` creates one key per message, which identifies all messages up to and
    including that one. ``from_program`` creates a single key, which is cheaper but finds no
    prefix shared between programs.
    """

    keys: tuple[str, ...]
    tokens: tuple[int, ...]

    @property
    def total_tokens(self) -> int:
        """Length of the prefix in tokens."""
        return self.tokens[-1] if self.tokens else 0

    @classmethod
    def from_program(cls, program: str, tokens: int) -> "Prefix":
        """Create a prefix that is identified by its program."""
        return cls((f"program:{program}",), (tokens,))

    @classmethod
    def from_messages(cls, messages: Sequence[bytes], tokens: Sequence[int]) -> "Prefix":
        """Create a prefix that is identified by chained hashes of serialized messages.

        ``tokens`` contains the length of each message in tokens; both must have the same length.
        """
        hasher = xxhash.xxh3_128()
        keys, totals, total = [], [], 0
        for message, count in zip(messages, tokens, strict=True):
            # The length makes the hash depend on message boundaries.
            hasher.update(len(message).to_bytes(8, "big"))
            hasher.update(message)
            total += count
            keys.append(hasher.hexdigest())
            totals.append(total)
        return cls(tuple(keys), tuple(totals))


class CacheEventKind(enum.StrEnum):
    """Kind of change in an endpoint's cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@attrs.frozen
class CacheEvent:
    """One event of an endpoint's cache event stream, numbered without gaps at the source.

    ``at_s`` is the time of the change at the endpoint.
    """

    sequence: int
    kind: CacheEventKind
    key: str = ""
    tokens: int = 0
    at_s: float = 0.0


@attrs.define
class _CachedKey:
    """A key believed to be cached at an endpoint.

    Attributes:
        tokens: Number of tokens up to and including the key.
        at_s: Time of the change at the endpoint or of the dispatch, whichever stored the key.
        gaps: Number of gaps in the endpoint's event numbers when the key was stored.

    """

    tokens: int
    at_s: float
    gaps: int


@attrs.define
class _EndpointCache:
    cached_keys: OrderedDict[str, _CachedKey] = attrs.field(factory=OrderedDict)
    next_sequence: int | None = None
    gaps: int = 0
    last_event_s: float = float("-inf")


class CacheView:
    """Estimates how much of a prefix each endpoint has cached.

    A key is trusted while its endpoint's event stream is alive: it is ignored once both the key
    and the last batch of events of its endpoint are older than the age limit. An event does not
    override a newer change or dispatch that is recorded for a key.
    """

    def __init__(
        self,
        age_limit_s: float = AGE_LIMIT_S,
        max_keys_per_endpoint: int = MAX_KEYS_PER_ENDPOINT,
    ) -> None:
        self._age_limit_s = age_limit_s
        self._max_keys = max_keys_per_endpoint
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
            newer = [(k, c) for k, c in cache.cached_keys.items() if c.at_s > event.at_s]
            cache.cached_keys = OrderedDict(newer)
            return
        existing = cache.cached_keys.get(event.key)
        if existing is not None and existing.at_s > event.at_s:
            return
        if event.kind is CacheEventKind.REMOVED:
            cache.cached_keys.pop(event.key, None)
        else:
            self._store(cache, event.key, event.tokens, event.at_s)

    def _store(self, cache: _EndpointCache, key: str, tokens: int, at_s: float) -> None:
        cache.cached_keys[key] = _CachedKey(tokens, at_s, cache.gaps)
        cache.cached_keys.move_to_end(key)
        while len(cache.cached_keys) > self._max_keys:
            cache.cached_keys.popitem(last=False)

    def note_dispatch(self, endpoint: str, prefix: Prefix, now: float) -> None:
        """Record a dispatch, which brings the prefix into the endpoint's cache."""
        cache = self._endpoints.setdefault(endpoint, _EndpointCache())
        for key, tokens in zip(prefix.keys, prefix.tokens, strict=True):
            self._store(cache, key, tokens, now)

    def forget_prefix(self, prefix: Prefix) -> None:
        """Drop all keys of a prefix, for example when its program has ended.

        Keys that it shares with other prefixes are dropped as well.
        """
        for cache in self._endpoints.values():
            for key in prefix.keys:
                cache.cached_keys.pop(key, None)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop all keys of an endpoint, for example after its restart."""
        self._endpoints.pop(endpoint, None)

    def cached_tokens(self, endpoint: str, prefix: Prefix, now: float) -> float:
        """Return the expected number of leading prefix tokens cached at the endpoint."""
        cache = self._endpoints.get(endpoint)
        if cache is None:
            return 0.0
        cutoff_s = now - self._age_limit_s
        stream_alive = cache.last_event_s >= cutoff_s
        expected = 0.0
        for key, tokens in zip(prefix.keys, prefix.tokens, strict=True):
            cached = cache.cached_keys.get(key)
            if cached is None or not (stream_alive or cached.at_s >= cutoff_s):
                break
            confidence = GAP_CONFIDENCE ** (cache.gaps - cached.gaps)
            expected = max(expected, min(cached.tokens, tokens) * confidence)
        return expected
