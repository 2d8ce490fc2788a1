"""What permits an entry wants, and what it can expect to get."""

import collections
import datetime
import typing

import attrs

from figford import fleetmessages
from figford import limits
from figford import placement as placements

# As many requests as arrived in this time are expected to need permits soon,
# well before the permits expire.
DEMAND_WINDOW = datetime.timedelta(milliseconds=500)
MAX_EXPECTED_PERMITS = 32
PERMIT_RATE_WINDOW = datetime.timedelta(seconds=2)


@attrs.define
class _RecentEvents:
    """The times of events within the last PERMIT_RATE_WINDOW, by key."""

    _times_by_key: dict[limits.Key, collections.deque[datetime.timedelta]] = (
        attrs.field(factory=dict)
    )

    def record(self, key: limits.Key, now: datetime.timedelta) -> None:
        """Records an event."""
        times = self._times_by_key.setdefault(key, collections.deque())
        times.append(now)
        while now - times[0] > PERMIT_RATE_WINDOW:
            times.popleft()

    def count(
        self,
        key: limits.Key,
        window: datetime.timedelta,
        now: datetime.timedelta,
    ) -> int:
        """Returns the number of events within the last `window`."""
        times = self._times_by_key.get(key, ())
        return sum(now - time <= window for time in times)


@attrs.define
class PermitDemand:
    """The demand of one entry for permits, by service and model."""

    placement: placements.Placement
    _arrivals: _RecentEvents = attrs.field(factory=_RecentEvents)
    _spent: _RecentEvents = attrs.field(factory=_RecentEvents)

    def record_arrival(self, key: limits.Key, now: datetime.timedelta) -> None:
        """Counts a new request, which may need a permit."""
        if self.placement.permits.table.by_upstream:
            self._arrivals.record(key, now)

    def record_spent(self, key: limits.Key, now: datetime.timedelta) -> None:
        """Counts a permit that was spent."""
        self._spent.record(key, now)

    def wants(
        self, queued: typing.Iterable[limits.Key], now: datetime.timedelta
    ) -> list[fleetmessages.PermitWant]:
        """Returns what the entry wants beyond the permits that it holds.

        `queued` has the key of each request that waits.
        """
        limited = self.placement.limited_targets()
        if not limited:
            return []
        waiting_by_key = collections.Counter(queued)
        wants = []
        for key in sorted(limited, key=str):
            want = self._want(key, waiting_by_key[key], limited[key], now)
            if want.waiting or want.expected:
                wants.append(want)
        return wants

    def _want(
        self,
        key: limits.Key,
        waiting: int,
        targets: list[placements.Target],
        now: datetime.timedelta,
    ) -> fleetmessages.PermitWant:
        permits = self.placement.permits
        held = sum(permits.held(target.upstream, now) for target in targets)
        arrivals = self._arrivals.count(key, DEMAND_WINDOW, now)
        expected = min(arrivals, MAX_EXPECTED_PERMITS)
        return fleetmessages.PermitWant(
            *key,
            waiting=max(0, waiting - held),
            expected=max(0, expected - max(0, held - waiting)),
            excluded=sorted(
                target.upstream
                for target in targets
                if not self.placement.has_capacity(target, now)
            ),
        )

    def expected_rates(
        self, entries: int | None, now: datetime.timedelta
    ) -> dict[limits.Key, float]:
        """Returns the permits a second to expect where all targets need them.

        It is an equal part of the limits, or what this entry got lately.
        """
        return {
            key: max(
                self._total_rate(targets) / (entries or 1),
                self._spent.count(key, PERMIT_RATE_WINDOW, now)
                / PERMIT_RATE_WINDOW.total_seconds(),
            )
            for key, targets in self.placement.limited_targets().items()
            if len(targets) == len(self.placement.targets(*key))
        }

    def _total_rate(self, targets: list[placements.Target]) -> float:
        by_upstream = self.placement.permits.table.by_upstream
        return sum(
            by_upstream[target.upstream].rate or 0.0 for target in targets
        )
