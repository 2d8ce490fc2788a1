"""Interfaces between the I/O-free decision logic and its environment."""

import datetime
import typing

from figford import messages


class Clock(typing.Protocol):
    """Source of time; tests and soaks replace it with virtual time."""

    def now(self) -> datetime.timedelta:
        """Returns monotonic time since an arbitrary start."""

    def wall(self) -> datetime.datetime:
        """Returns the time of day in UTC."""


class Journal(typing.Protocol):
    """Durable storage of one voter."""

    def append(self, records: list[messages.Record]) -> None:
        """Writes records; returns once they are synced to disk."""

    def load(self) -> list[messages.Record]:
        """Returns all records, oldest first.

        Raises StoreDamagedError where a record before the end is damaged.
        """


class WeightStore(typing.Protocol):
    """The rate-limited store of model weights."""

    def transfer_time(
        self, size_bytes: int, concurrent_loads: int
    ) -> datetime.timedelta:
        """Returns how long a load takes at this number of concurrent loads."""


class CacheEvents(typing.Protocol):
    """Prompt-prefix cache events of upstreams; may be late or lost."""

    def cache_event(self, event: messages.CacheEvent) -> None:
        """Handles one event, which is only a hint."""


class CacheTransfer(typing.Protocol):
    """Export and import of KV cache between replicas."""

    def export_cache(self, address: str, request: str) -> bytes:
        """Returns the KV cache of one request as an opaque value."""

    def import_cache(self, address: str, request: str, cache: bytes) -> None:
        """Loads a KV cache that another replica exported."""
