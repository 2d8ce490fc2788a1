"""Fakes of an instance's dependencies: weights, cache events, KV caches."""

import datetime
import random

import attrs

from figford import messages
from figford import ports


@attrs.define
class FakeWeightStore:
    """A weight store whose bandwidth concurrent loads share evenly.

    >>> store = FakeWeightStore(gigabytes_per_second=2.0)
    >>> store.transfer_time(10 * 10**9, 1)
    datetime.timedelta(seconds=5)
    >>> store.transfer_time(10 * 10**9, 4)
    datetime.timedelta(seconds=20)
    """

    gigabytes_per_second: float

    def transfer_time(
        self, size_bytes: int, concurrent_loads: int
    ) -> datetime.timedelta:
        """Returns the duration of one of several concurrent loads."""
        rate = self.gigabytes_per_second * 1e9 / max(1, concurrent_loads)
        return datetime.timedelta(seconds=size_bytes / rate)


@attrs.define
class FakeCacheEvents:
    """Delivers cache events late, out of order and with losses."""

    rng: random.Random
    target: ports.CacheEvents
    loss_probability: float = 0.1
    _delayed: list[messages.CacheEvent] = attrs.field(factory=list)

    def publish(self, event: messages.CacheEvent) -> None:
        """Queues an event, or drops it at random."""
        if self.rng.random() >= self.loss_probability:
            self._delayed.append(event)

    def deliver_delayed(self) -> None:
        """Delivers the queued events in random order."""
        delayed, self._delayed = self._delayed, []
        self.rng.shuffle(delayed)
        for event in delayed:
            self.target.cache_event(event)


@attrs.define
class FakeCacheTransfer:
    """A KV cache transfer that keeps caches in memory.

    They are stored by upstream address and request.
    """

    _cache_by_request: dict[tuple[str, str], bytes] = attrs.field(factory=dict)

    def export_cache(self, address: str, request: str) -> bytes:
        """Returns the KV cache of one request; empty where there is none."""
        return self._cache_by_request.get((address, request), b"")

    def import_cache(self, address: str, request: str, cache: bytes) -> None:
        """Stores a KV cache that another replica exported.

        >>> transfer = FakeCacheTransfer()
        >>> transfer.import_cache("a", "r", b"kv")
        >>> transfer.export_cache("a", "r")
        b'kv'
        """
        self._cache_by_request[address, request] = cache
