"""The clock of a running process."""

import datetime
import time

import attrs


@attrs.frozen
class SystemClock:
    """Reads monotonic time and the time of day."""

    def now(self) -> datetime.timedelta:
        """Returns monotonic time since an arbitrary start."""
        return datetime.timedelta(seconds=time.monotonic())

    def wall(self) -> datetime.datetime:
        """Returns the time of day in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)
