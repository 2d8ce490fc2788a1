"""Derives the complete groups from the announcements of their members."""

import collections
import datetime
import enum

import attrs

from figford import membership
from figford import messages


class GroupState(enum.Enum):
    """Whether a group accepts new work."""

    SERVING = "serving"
    # All members are present, but some are leaving and refuse new work.
    CLOSING = "closing"


@attrs.frozen
class GroupView:
    """A group whose members are all present and announce the same group."""

    group: str
    serving_group: str
    fence: int
    state: GroupState
    members: tuple[messages.Announcement, ...]

    @property
    def address(self) -> str:
        """Returns the address of the member of rank 0."""
        return self.members[0].address

    @property
    def load(self) -> messages.Load:
        """Returns the load that the member of rank 0 reported."""
        return self.members[0].load

    @property
    def member_names(self) -> tuple[str, ...]:
        """Returns the names of the members by rank."""
        return tuple(member.upstream for member in self.members)


def complete_groups(
    fresh: list[messages.Announcement],
) -> dict[str, GroupView]:
    """Returns the complete groups among fresh announcements, by name.

    A group is complete when each of its ranks has a fresh member and all
    announce the same fencing number.
    """
    seats: dict[tuple[str, int], dict[int, messages.Announcement]]
    seats = collections.defaultdict(dict)
    for announcement in fresh:
        seat = announcement.seat
        if seat is not None and seat.size > 0:
            seats[seat.group, seat.fence][seat.rank] = announcement
    views: dict[str, GroupView] = {}
    for (group, fence), by_rank in seats.items():
        view = _view_of(group, fence, by_rank)
        if view is None:
            continue
        other = views.get(group)
        if other is None or other.fence < fence:
            views[group] = view
    _assert_disjoint(views)
    return views


def _view_of(
    group: str, fence: int, by_rank: dict[int, messages.Announcement]
) -> GroupView | None:
    first = by_rank.get(0)
    if first is None or first.seat is None:
        return None
    size = first.seat.size
    if set(by_rank) != set(range(size)):
        return None
    members = tuple(by_rank[rank] for rank in range(size))
    domains = {member.fabric_domain for member in members}
    sizes = {member.seat.size for member in members if member.seat}
    if len(domains) != 1 or len(sizes) != 1:
        return None
    states = {member.state for member in members}
    if states == {messages.UpstreamState.SERVING}:
        state = GroupState.SERVING
    elif states <= {
        messages.UpstreamState.SERVING,
        messages.UpstreamState.LEAVING,
    }:
        state = GroupState.CLOSING
    else:
        return None
    return GroupView(group, first.seat.serving_group, fence, state, members)


def _assert_disjoint(views: dict[str, GroupView]) -> None:
    names = [name for view in views.values() for name in view.member_names]
    if len(names) != len(set(names)):
        raise AssertionError("an instance is a member of two groups")


@attrs.define
class GroupTable:
    """Complete groups, computed again when the upstreams change."""

    upstreams: membership.UpstreamTable
    _views: dict[str, GroupView] = attrs.field(factory=dict)
    _revision: int = -1
    _valid_until: datetime.timedelta | None = None

    def by_group(self, now: datetime.timedelta) -> dict[str, GroupView]:
        """Returns the complete groups by name."""
        current = self._revision == self.upstreams.revision and (
            self._valid_until is None or now <= self._valid_until
        )
        if not current:
            self._views = complete_groups(self.upstreams.fresh(now))
            self._revision = self.upstreams.revision
            self._valid_until = self.upstreams.next_expiry(now)
        return self._views

    def load_of(self, view: GroupView) -> messages.Load:
        """Returns the latest load that the member of rank 0 reported."""
        known = self.upstreams.by_name.get(view.member_names[0])
        return known.announcement.load if known else view.load

    def is_intact(self, view: GroupView, now: datetime.timedelta) -> bool:
        """Returns whether work in progress on a group may continue.

        It may not once a member is silent, has restarted or has a seat in
        another group; members that finish and leave do not affect it.
        """
        for member in view.members:
            if self.upstreams.is_silent(member.upstream, now):
                return False
            current = self.upstreams.by_name[member.upstream].announcement
            if current.incarnation != member.incarnation:
                return False
            seat = current.seat
            if seat is not None and (seat.group, seat.fence) != (
                view.group,
                view.fence,
            ):
                return False
        return True
