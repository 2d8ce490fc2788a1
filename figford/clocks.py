"""The clock of a running process."""

import datetime
import time

import attrs

# Unlike the monotonic clock it counts the time for which an instance was
# suspended, so that a leader that was suspended knows that it may have been
# replaced.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


@attrs.frozen
class SystemClock:
    """Reads the time since the start of the instance and the time of day."""

    def now(self) -> datetime.timedelta:
        """Returns time since an arbitrary start, suspensions included."""
        return datetime.timedelta(seconds=time.clock_gettime(_CLOCK))

    def wall(self) -> datetime.datetime:
        """Returns the time of day in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)
