"""Entries that share a retry budget beside failing upstreams, in virtual time.

Callers' requests go to the entries that run; a part of the attempts fails, and
the entry's budget decides about each retry. A restarted entry has a new
budget. Other ways to share the budget replace it, for comparison.
"""

import collections
import datetime
import random
import typing

import attrs

from figford import sharedbudget
from figford.tools import retrymeter

STEP = datetime.timedelta(milliseconds=20)
SECOND = datetime.timedelta(seconds=1)
WINDOW = 10 * SECOND
RATIO = 0.2
RESERVE = 134.0


class Budget(typing.Protocol):
    """Decides about the retries of one entry."""

    def set_entries(self, entries: int, now: datetime.timedelta) -> None:
        """Sets how many entries share the budget."""

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a caller's request."""

    def try_withdraw(self, now: datetime.timedelta) -> bool:
        """Withdraws one retry; returns whether one was left."""


def product_budget(reserve: float = RESERVE) -> Budget:
    """Returns the budget of the product's entries."""
    return sharedbudget.SharedBudget(
        sharedbudget.BudgetSettings(RATIO, reserve, WINDOW)
    )


@attrs.define
class PartOfProcess:
    """For comparison: a part of ratio and reserve in a sliding window.

    The memory of what was spent ends with the process. With `waits`, a new
    process uses no reserve in its first window.
    """

    factor: float = 0.7
    waits: bool = False
    reserve: float = RESERVE
    _entries: int = 1
    _started_at: datetime.timedelta = datetime.timedelta(0)
    _requests: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )
    _retries: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )

    def set_entries(self, entries: int, now: datetime.timedelta) -> None:
        """Sets how many entries share the budget."""
        self._started_at = self._started_at or now
        self._entries = entries

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a caller's request."""
        self._requests.append(now)

    def try_withdraw(self, now: datetime.timedelta) -> bool:
        """Withdraws one retry; returns whether one was left."""
        for counted in (self._requests, self._retries):
            while counted and now - counted[0] > WINDOW:
                counted.popleft()
        allowed = RATIO * len(self._requests) * self.factor
        if not (self.waits and now - self._started_at <= WINDOW):
            allowed += self.reserve / self._entries * self.factor
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True


@attrs.define
class Keeper:
    """For comparison: a leader that grants the reserve in single retries.

    A grant counts as spent until it has expired and a window has passed. A
    new leader grants nothing for as long.
    """

    reserve: float = RESERVE * 0.9
    validity: datetime.timedelta = SECOND
    delay: datetime.timedelta = datetime.timedelta(milliseconds=50)
    _granted: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )
    _grants_from: datetime.timedelta = datetime.timedelta(0)

    def take_over(self, now: datetime.timedelta) -> None:
        """Starts a new leader, which knows no grants."""
        self._granted.clear()
        self._grants_from = now + self.validity + WINDOW

    def grant(self, now: datetime.timedelta) -> bool:
        """Grants one retry; returns whether one was left."""
        counted_for = self.validity + WINDOW
        while self._granted and now - self._granted[0] > counted_for:
            self._granted.popleft()
        if now < self._grants_from or len(self._granted) >= self.reserve:
            return False
        self._granted.append(now)
        return True


@attrs.define
class GrantedBudget:
    """For comparison: the own ratio, and retries that a keeper grants.

    Each retry that was not left asks for one, which comes after a delay.
    """

    keeper: Keeper
    own: Budget = attrs.field(factory=lambda: product_budget(reserve=0.0))
    _granted: list[datetime.timedelta] = attrs.field(factory=list)

    def set_entries(self, entries: int, now: datetime.timedelta) -> None:
        """Ignores the number, which the keeper need not know."""

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a caller's request."""
        self.own.record_request(now)

    def try_withdraw(self, now: datetime.timedelta) -> bool:
        """Withdraws one retry; returns whether one was left."""
        if self.own.try_withdraw(now):
            return True
        keeper = self.keeper
        self._granted = [
            at for at in self._granted if now - at <= keeper.validity
        ]
        if self._granted and now - self._granted[0] >= keeper.delay:
            self._granted.pop(0)
            return True
        if keeper.grant(now):
            self._granted.append(now)
        return False


@attrs.define
class Entry:
    """One entry, which runs from a time on."""

    budget: Budget
    up_from: datetime.timedelta


@attrs.define
class RetryWorld:
    """Entries, the requests of callers, and a meter of what arrives.

    `failing` returns the part of attempts that fail at a time.
    """

    seed: int
    entries: int
    requests_per_second: float
    failing: typing.Callable[[datetime.timedelta], float]
    make_budget: typing.Callable[[], Budget] = product_budget
    attempts: int = 2
    meter: retrymeter.RetryMeter = attrs.field(
        factory=lambda: retrymeter.RetryMeter(RATIO, RESERVE, WINDOW)
    )
    now: datetime.timedelta = datetime.timedelta(0)
    entry_by_name: dict[str, Entry] = attrs.field(factory=dict)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    _requests: int = 0
    _events: list[tuple[datetime.timedelta, typing.Callable[[], None]]] = (
        attrs.field(factory=list)
    )
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts the entries."""
        self._rng = random.Random(self.seed)
        for index in range(self.entries):
            self._start(f"e{index}", self.entries, self.now)

    # ---- Entries --------------------------------------------------------

    def at(self, seconds: float, event: typing.Callable[[], None]) -> None:
        """Schedules an event."""
        self._events.append((seconds * SECOND, event))

    def _start(
        self, name: str, entries: int, up_from: datetime.timedelta
    ) -> None:
        budget = self.make_budget()
        budget.set_entries(entries, up_from)
        self.entry_by_name[name] = Entry(budget, up_from)

    def restart(self, share: float, down_seconds: float = 0.5) -> None:
        """Restarts a part of the entries, which then know nothing."""
        names = sorted(self.entry_by_name)
        for name in self._rng.sample(names, round(share * len(names))):
            up_from = self.now + down_seconds * SECOND
            self._start(name, self.entries, up_from)

    def restart_one(self, index: int, down_seconds: float) -> None:
        """Restarts one entry, as a planned stop does."""
        self._start(
            f"e{index}", self.entries, self.now + down_seconds * SECOND
        )

    def join(self, count: int) -> None:
        """Adds entries; all are told the new number."""
        first = self.entries
        self.entries += count
        for entry in self.entry_by_name.values():
            entry.budget.set_entries(self.entries, self.now)
        for index in range(first, self.entries):
            self._start(f"e{index}", self.entries, self.now)

    def leave(self, count: int) -> None:
        """Removes entries; the number that was told stays the same."""
        for name in sorted(self.entry_by_name)[:count]:
            del self.entry_by_name[name]

    # ---- Time -----------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.now += STEP
            due = [item for item in self._events if item[0] <= self.now]
            self._events = [
                item for item in self._events if item[0] > self.now
            ]
            for _, event in due:
                event()
            expected = self.requests_per_second * (STEP / SECOND)
            for _ in range(int(expected + self._rng.random())):
                self._request()

    def _request(self) -> None:
        self._requests += 1
        name = f"r{self._requests}"
        self.meter.record_request(self.now)
        running = [
            entry
            for entry in self.entry_by_name.values()
            if entry.up_from <= self.now
        ]
        if not running:
            self.outcomes["no entry"] += 1
            return
        entry = self._rng.choice(running)
        entry.budget.record_request(self.now)
        for attempt in range(self.attempts):
            if attempt:
                self.outcomes["retry wanted"] += 1
                if not entry.budget.try_withdraw(self.now):
                    break
                self.outcomes["retry"] += 1
            self.meter.record_arrival(name, self.now)
            if self._rng.random() >= self.failing(self.now):
                self.outcomes["served by a retry"] += bool(attempt)
                self.outcomes["served"] += 1
                return
        self.outcomes["failed"] += 1
