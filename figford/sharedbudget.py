"""A retry budget that all entries share.

Each entry may use a fraction of its own requests and its part of the reserve,
so that the total is kept even while entries can't reach each other.
"""

import collections
import datetime

import attrs

# Part of the budget stays unused, because an entry's requests count in full
# only over a whole window and the number of entries may be stale.
SAFETY_FACTOR = 0.7


@attrs.define
class SharedBudget:
    """Retries of one service at one entry, in a sliding window.

    >>> budget = SharedBudget(0.5, 2.0, datetime.timedelta(seconds=10))
    >>> now = datetime.timedelta(0)
    >>> budget.record_request(now)
    >>> [budget.try_withdraw(now, entries=2) for _ in range(2)]
    [True, False]
    """

    ratio: float
    reserve: float
    window: datetime.timedelta
    _requests: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )
    _retries: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a caller's request."""
        self._requests.append(now)

    def try_withdraw(
        self, now: datetime.timedelta, entries: int | None
    ) -> bool:
        """Withdraws one retry; returns whether one was left.

        An entry that does not know how many share the reserve uses none.
        """
        for counted in (self._requests, self._retries):
            while counted and now - counted[0] > self.window:
                counted.popleft()
        allowed = self.ratio * len(self._requests) * SAFETY_FACTOR
        if entries is not None:
            allowed += self.reserve / max(1, entries) * SAFETY_FACTOR
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True
