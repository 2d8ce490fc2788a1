"""Counts the requests that reach an upstream which names a limit.

The bound is the users': from `GRACE` after the limit was first named, at most
`FACTOR` times what it allows in any `WINDOW`, plus `RESERVE` requests, of
those that arrive `TOLD_DELAY` after the first answer that names it, from all
entries together.
"""

import collections
import datetime

import attrs

GRACE = datetime.timedelta(seconds=3)
TOLD_DELAY = datetime.timedelta(milliseconds=500)
WINDOW = datetime.timedelta(seconds=4)
FACTOR = 1.5
RESERVE = 5


@attrs.define
class LimitMeter:
    """The limit of one upstream and the requests that reach it.

    >>> meter, second = LimitMeter(), datetime.timedelta(seconds=1)
    >>> meter.set_rate(1.0)
    >>> meter.record_answer(0 * second)
    >>> [meter.record_request(second + 0.1 * i * second) for i in range(12)]
    ... # doctest: +NORMALIZE_WHITESPACE
    [None, None, None, None, None, None, None, None, None, None, None, None]
    >>> meter.record_request(3 * second)
    'a limit of 1.0 a second got 13 requests in 4 s; allowed 11'
    """

    rate: float | None = None
    total: int = 0
    most: int = 0
    _named_at: datetime.timedelta | None = None
    _arrivals: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )

    def set_rate(self, rate: float | None) -> None:
        """Sets the limit to name from now on, or none."""
        self.rate = rate
        self.total = self.most = 0
        self._named_at = None
        self._arrivals.clear()

    def record_answer(self, now: datetime.timedelta) -> None:
        """Records an answer, which names the limit."""
        if self.rate is not None and self._named_at is None:
            self._named_at = now

    def allowed(self) -> float:
        """Returns how many requests may come in one window."""
        return FACTOR * (self.rate or 0.0) * WINDOW.total_seconds() + RESERVE

    def record_request(self, now: datetime.timedelta) -> str | None:
        """Counts a request; returns a description if there are too many."""
        if self._named_at is None or now - self._named_at < TOLD_DELAY:
            return None
        self.total += 1
        self._arrivals.append(now)
        while now - self._arrivals[0] > WINDOW:
            self._arrivals.popleft()
        if now - self._named_at < GRACE:
            return None
        count = len(self._arrivals)
        self.most = max(self.most, count)
        if count <= self.allowed():
            return None
        return (
            f"a limit of {self.rate} a second got {count} requests in "
            f"{WINDOW.total_seconds():.0f} s; allowed {self.allowed():.0f}"
        )
