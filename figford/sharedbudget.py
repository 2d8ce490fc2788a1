"""The budget of repeated requests that all entries share.

Each entry keeps to its part, so that the sum holds also while entries
can't reach each other: a share of its own requests, and of the reserve.
"""

import collections
import datetime

import attrs

# Requests of this entry count in full only over a whole window, and the
# number of entries may be out of date, so a part is left unused.
SAFETY_FACTOR = 0.7


@attrs.define
class SharedBudget:
    """Repeats of one service at one entry, in a sliding window.

    >>> budget = SharedBudget(0.5, 2.0, datetime.timedelta(seconds=10))
    >>> now = datetime.timedelta(0)
    >>> budget.record_request(now)
    >>> [budget.take(now, entries=2) for _ in range(2)]
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
        """Counts a request of a caller."""
        self._requests.append(now)

    def take(self, now: datetime.timedelta, entries: int) -> bool:
        """Takes one repeat; returns whether there was one."""
        for counted in (self._requests, self._retries):
            while counted and now - counted[0] > self.window:
                counted.popleft()
        allowed = self.ratio * len(self._requests) * SAFETY_FACTOR
        allowed += self.reserve / max(1, entries) * SAFETY_FACTOR
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True
