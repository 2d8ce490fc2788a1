"""Counts requests that crash upstreams, and those that come after the bound.

The bounds are the users': of the requests with a part that crashes upstreams,
at most `ALLOWED` reach upstreams later than `WINDOW` after the fifth crash; of
the repeats of one request, after the third.
"""

import datetime

import attrs

PART_CRASHES = 5
REQUEST_CRASHES = 3
WINDOW = datetime.timedelta(seconds=3)
ALLOWED = 3
_ORDINALS = {REQUEST_CRASHES: "third", PART_CRASHES: "fifth"}


@attrs.define
class CrashMeter:
    """The crashes and the late requests of one prompt part or request.

    >>> meter, second = CrashMeter(), datetime.timedelta(seconds=1)
    >>> for at in range(5):
    ...     meter.record_crash(at * second)
    >>> [meter.record_request(at * second) for at in (6, 8, 8, 8)]
    [None, None, None, None]
    >>> meter.record_request(9 * second)
    '4 requests came 3 s after the fifth crash; allowed 3'
    """

    counted_crashes: int = PART_CRASHES
    crashes: int = 0
    requests: int = 0
    late: int = 0
    _counted_crash_at: datetime.timedelta | None = None

    def record_crash(self, now: datetime.timedelta) -> None:
        """Counts a crash of an upstream."""
        self.crashes += 1
        if self.crashes == self.counted_crashes:
            self._counted_crash_at = now

    def record_request(self, now: datetime.timedelta) -> str | None:
        """Counts a request; returns a description if there are too many."""
        self.requests += 1
        if self._counted_crash_at is None or (
            now - self._counted_crash_at <= WINDOW
        ):
            return None
        self.late += 1
        if self.late <= ALLOWED:
            return None
        return (
            f"{self.late} requests came {WINDOW.total_seconds():.0f} s after"
            f" the {_ORDINALS[self.counted_crashes]} crash; allowed {ALLOWED}"
        )
