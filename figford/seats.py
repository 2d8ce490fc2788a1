"""Derives the state of groups from announced seats for the planner."""

import attrs

from figford import messages
from figford import operators


@attrs.define
class SeatedGroup:
    """The announced state of one group at one fencing number.

    `present` are the members heard lately and `absent` the silent ones,
    both by rank.
    """

    fence: int
    present: dict[int, messages.Announcement] = attrs.field(factory=dict)
    absent: dict[int, messages.Announcement] = attrs.field(factory=dict)
    size: int = 0

    def add(self, announcement: messages.Announcement, is_fresh: bool) -> None:
        """Adds a member."""
        seat = announcement.seat
        if seat is None:
            raise AssertionError("announcement of a member without a seat")
        self.size = max(self.size, seat.size)
        members = self.present if is_fresh else self.absent
        members[seat.rank] = announcement

    @property
    def is_complete(self) -> bool:
        """Returns whether every rank has a fresh member."""
        return set(self.present) == set(range(self.size))

    @property
    def precedence(self) -> tuple[bool, int]:
        """Returns the sort key; the group of the highest is authoritative."""
        return self.is_complete, self.fence

    @property
    def healthy(self) -> list[messages.Announcement]:
        """Returns the present members that are not leaving, by rank."""
        return [
            self.present[rank]
            for rank in sorted(self.present)
            if not self.present[rank].leaving
        ]

    @property
    def domain(self) -> str:
        """Returns the fabric domain of the members."""
        for announcement in (*self.present.values(), *self.absent.values()):
            return announcement.fabric_domain
        return ""

    def fits(self, spec: operators.ServingGroup) -> bool:
        """Returns whether the specification allows the size and model."""
        if not spec.shape.allows(self.size):
            return False
        return all(
            spec.model in item.models
            for item in self.present.values()
            if item.state is messages.UpstreamState.SERVING
        )

    def meets_spec(self, spec: operators.ServingGroup) -> bool:
        """Returns whether the group is complete, stays and fits the spec."""
        stays = len(self.healthy) == len(self.present)
        return self.is_complete and stays and self.fits(spec)


def seated_groups(
    fresh: dict[str, messages.Announcement],
    missing: dict[str, messages.Announcement],
) -> dict[tuple[str, int], SeatedGroup]:
    """Returns all groups that have members, by name and fencing number."""
    by_fence: dict[tuple[str, int], SeatedGroup] = {}
    announcements = [(item, True) for item in fresh.values()]
    announcements += [(item, False) for item in missing.values()]
    for announcement, is_fresh in announcements:
        seat = announcement.seat
        if seat is None:
            continue
        group = by_fence.setdefault(
            (seat.group, seat.fence), SeatedGroup(seat.fence)
        )
        group.add(announcement, is_fresh)
    return by_fence


def authoritative_groups(
    by_fence: dict[tuple[str, int], SeatedGroup],
) -> dict[str, SeatedGroup]:
    """Returns each group at its authoritative fencing number.

    That is the highest number at which the group is complete. If it is
    complete at none, it is the highest number. A complete group at a lower
    number occurs when orders of the higher one were lost.
    """
    chosen: dict[str, SeatedGroup] = {}
    for (name, _), group in by_fence.items():
        best = chosen.get(name)
        if best is None or group.precedence > best.precedence:
            chosen[name] = group
    return chosen


def has_seat(
    announcement: messages.Announcement, group: str, fence: int
) -> bool:
    """Returns whether an upstream is in a group at a fencing number."""
    seat = announcement.seat
    return seat is not None and (seat.group, seat.fence) == (group, fence)
