"""Interfaces between the decisions and the outside."""

import datetime
import typing

from figford import messages


class Clock(typing.Protocol):
    """Time, passed in so that tests and soaks can make it virtual."""

    def now(self) -> datetime.timedelta:
        """Returns monotonic time since an arbitrary start."""

    def wall(self) -> datetime.datetime:
        """Returns the time of day in UTC."""


class Journal(typing.Protocol):
    """Durable storage of one voter."""

    def append(self, records: list[messages.Record]) -> None:
        """Writes records and returns after they are synced."""

    def load(self) -> list[messages.Record]:
        """Returns all records, oldest first.

        Raises StoreDamagedError where a record before the end is damaged.
        """


class WeightStore(typing.Protocol):
    """The rate-limited store of model weights."""

    def transfer_time(
        self, size_bytes: int, concurrent_loads: int
    ) -> datetime.timedelta:
        """Returns how long a load takes beside the others under way."""


class CacheEvents(typing.Protocol):
    """Prompt-prefix cache events that upstreams publish, late and gappy."""

    def cache_event(self, event: messages.CacheEvent) -> None:
        """Takes one event, as a hint."""


class CacheTransfer(typing.Protocol):
    """Export and import of KV cache between replicas."""

    def export_cache(self, address: str, request: str) -> bytes:
        """Returns the KV cache of one request as an opaque value."""

    def import_cache(self, address: str, request: str, cache: bytes) -> None:
        """Loads a KV cache that another replica exported."""
