"""Counts the repeats that reach a service, in every window.

The bound is the users': in any window, a service gets at most `ratio` times
the requests that callers sent for it, plus `reserve`, as arrivals beyond the
first of each request, from all entries and all their processes together. The
requests are those of that window, of the one before it or of the one half a
window before it, whichever has most.
"""

import bisect
import datetime

import attrs


@attrs.frozen
class Excess:
    """The window with the most repeats of what it allows."""

    since: datetime.timedelta
    repeats: int
    allowed: float

    @property
    def part(self) -> float:
        """Returns the repeats as a part of what is allowed."""
        return self.repeats / self.allowed


@attrs.define
class RetryMeter:
    """The requests for one service and their arrivals at its upstreams.

    >>> second = datetime.timedelta(seconds=1)
    >>> meter = RetryMeter(0.5, 1.0, 10 * second)
    >>> for request in ("a", "b"):
    ...     meter.record_request(0 * second)
    ...     for _ in range(3):
    ...         _ = meter.record_arrival(request, 1 * second)
    >>> meter.worst()
    Excess(since=datetime.timedelta(seconds=1), repeats=4, allowed=2.0)
    """

    ratio: float
    reserve: float
    window: datetime.timedelta
    requests: list[datetime.timedelta] = attrs.field(factory=list)
    repeats: list[datetime.timedelta] = attrs.field(factory=list)
    _arrived: set[str] = attrs.field(factory=set)

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a request that a caller sent, whether it arrives or not."""
        self.requests.append(now)

    def record_arrival(self, request: str, now: datetime.timedelta) -> bool:
        """Counts an arrival, also a rejected one; tells if it is a repeat."""
        is_repeat = request in self._arrived
        if is_repeat:
            self.repeats.append(now)
        self._arrived.add(request)
        return is_repeat

    def violation(self, now: datetime.timedelta) -> str | None:
        """Returns a description if the window that ends now has too many."""
        since = now - self.window
        repeats = self.count(self.repeats, since)
        allowed = self.allowed(since)
        if repeats <= allowed:
            return None
        return f"{repeats} repeats in a window; allowed {allowed:.0f}"

    def allowed(self, since: datetime.timedelta) -> float:
        """Returns how many repeats may come in the window from a time on."""
        requests = max(
            self.count(self.requests, since - back)
            for back in (0 * self.window, self.window / 2, self.window)
        )
        return self.ratio * requests + self.reserve

    def count(
        self, times: list[datetime.timedelta], since: datetime.timedelta
    ) -> int:
        """Returns how many of some times are in the window from a time on."""
        end = bisect.bisect_right(times, since + self.window)
        return end - bisect.bisect_left(times, since)

    def worst(self) -> Excess:
        """Returns the worst of the windows that begin with a repeat."""
        return max(
            (
                Excess(since, self.count(self.repeats, since),
                       self.allowed(since))
                for since in self.repeats
            ),
            key=lambda excess: excess.part,
            default=Excess(datetime.timedelta(0), 0, self.reserve),
        )  # fmt: skip
