"""Virtual time: a discrete-event queue that runs events in order."""

import datetime
import hashlib
import heapq
import random
import typing

import attrs

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


def seconds(value: float) -> datetime.timedelta:
    """Returns a duration of a number of seconds."""
    return datetime.timedelta(seconds=value)


@attrs.define
class VirtualClock:
    """A virtual clock with a queue of scheduled events.

    Events that are due at the same time run in the order of scheduling.
    """

    rng: random.Random
    steps: int = 0
    _now: datetime.timedelta = seconds(1000)
    _queue: list[tuple[datetime.timedelta, int, typing.Callable]] = (
        attrs.field(factory=list)
    )
    _event_count: int = 0
    _hash: typing.Any = attrs.field(factory=hashlib.sha256)

    def now(self) -> datetime.timedelta:
        """Returns the virtual monotonic time."""
        return self._now

    def wall(self) -> datetime.datetime:
        """Returns the virtual time of day."""
        return EPOCH + self._now

    def after(
        self, delay: datetime.timedelta, action: typing.Callable[[], None]
    ) -> None:
        """Schedules an action to run after a delay."""
        self._event_count += 1
        due = self._now + max(delay, datetime.timedelta(0))
        heapq.heappush(self._queue, (due, self._event_count, action))

    def jitter(self, low: float, high: float) -> datetime.timedelta:
        """Returns a random duration between two numbers of seconds."""
        return seconds(self.rng.uniform(low, high))

    def record_event(self, *values: object) -> None:
        """Adds an event, with its time, to the digest of the run."""
        line = f"{self._now // seconds(1e-6)} {values}\n"
        self._hash.update(line.encode())

    @property
    def digest(self) -> str:
        """Returns the digest of all events recorded so far."""
        return self._hash.hexdigest()[:16]

    def step(self) -> None:
        """Advances the clock to the next event and runs it."""
        due, _, action = heapq.heappop(self._queue)
        self._now = due
        self.steps += 1
        action()
