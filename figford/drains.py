"""The planner's record of drains of groups before planned changes."""

import datetime

import attrs

from figford import messages

REQUEST_INTERVAL = datetime.timedelta(milliseconds=500)
DRAIN_DURATION = datetime.timedelta(seconds=5)
# An entry's reply that it is idle expires before the entry's drain does.
IDLE_REPLY_LIFETIME = DRAIN_DURATION / 2
# An unreachable entry delays a planned change by no more than this.
DRAIN_TIMEOUT = datetime.timedelta(seconds=120)


@attrs.define
class Drain:
    """A group that gets no new work until nothing is in progress."""

    started_at: datetime.timedelta
    requested_at: datetime.timedelta | None = None
    idle_at_by_instance: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )

    def is_over(
        self, entries: frozenset[str], now: datetime.timedelta
    ) -> bool:
        """Returns whether all entries are idle or the drain timed out."""
        if now - self.started_at >= DRAIN_TIMEOUT:
            return True
        return all(
            instance in self.idle_at_by_instance
            and now - self.idle_at_by_instance[instance] < IDLE_REPLY_LIFETIME
            for instance in entries
        )


@attrs.define
class DrainTable:
    """The drains of one planner, by group and fencing number."""

    by_group: dict[tuple[str, int], Drain] = attrs.field(factory=dict)

    def clear(self) -> None:
        """Removes all drains."""
        self.by_group.clear()

    def end(self, group: str, fence: int) -> None:
        """Removes a drain that is no longer needed."""
        self.by_group.pop((group, fence), None)

    def is_over(
        self,
        group: str,
        fence: int,
        entries: frozenset[str],
        now: datetime.timedelta,
    ) -> bool:
        """Starts or continues a drain; returns whether it is over."""
        drain = self.by_group.get((group, fence))
        if drain is None:
            self.by_group[group, fence] = Drain(now)
            return False
        return drain.is_over(entries, now)

    def record_reply(
        self, reply: messages.DrainReply, now: datetime.timedelta
    ) -> None:
        """Records whether an entry has work left on a draining group."""
        drain = self.by_group.get((reply.group, reply.fence))
        if drain is None:
            return
        if reply.in_progress:
            drain.idle_at_by_instance.pop(reply.instance, None)
        else:
            drain.idle_at_by_instance[reply.instance] = now

    def keep_only(self, seated: set[tuple[str, int]]) -> None:
        """Ends the drains of groups that have no present members."""
        for key in set(self.by_group) - seated:
            del self.by_group[key]

    def take_due(self, now: datetime.timedelta) -> list[tuple[str, int]]:
        """Returns the drains whose requests are due, and marks them sent."""
        due = []
        for key, drain in sorted(self.by_group.items()):
            last_requested_at = drain.requested_at
            if (
                last_requested_at is None
                or now - last_requested_at >= REQUEST_INTERVAL
            ):
                drain.requested_at = now
                due.append(key)
        return due
