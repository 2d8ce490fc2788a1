"""What the announced seats say of groups, for the planner."""

import attrs

from figford import messages
from figford import operators


@attrs.define
class SeatedGroup:
    """The announced state of one group at one fencing number.

    `present` and `absent` are the members that are heard or silent, by
    rank.
    """

    fence: int
    present: dict[int, messages.Announcement] = attrs.field(factory=dict)
    absent: dict[int, messages.Announcement] = attrs.field(factory=dict)
    size: int = 0

    def add(self, announcement: messages.Announcement, is_fresh: bool) -> None:
        """Counts a member in."""
        seat = announcement.seat
        if seat is None:
            raise AssertionError("a member without a seat")
        self.size = max(self.size, seat.size)
        side = self.present if is_fresh else self.absent
        side[seat.rank] = announcement

    @property
    def whole(self) -> bool:
        """Returns whether a fresh member sits on every rank."""
        return set(self.present) == set(range(self.size))

    @property
    def precedence(self) -> tuple[bool, int]:
        """Returns by what the state that counts is chosen."""
        return self.whole, self.fence

    @property
    def healthy(self) -> list[messages.Announcement]:
        """Returns the members that are there and stay, by rank."""
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
        """Returns whether the group has a size and model it may have."""
        smallest = spec.shape.minimum_instances or spec.shape.instances
        if not smallest <= self.size <= spec.shape.instances:
            return False
        return all(
            spec.model in item.models
            for item in self.present.values()
            if item.state is messages.UpstreamState.SERVING
        )

    def needs_nothing(self, spec: operators.ServingGroup) -> bool:
        """Returns whether the group is whole, as wanted, and stays."""
        stays = len(self.healthy) == len(self.present)
        return self.whole and stays and self.fits(spec)


def seated_groups(
    fresh: dict[str, messages.Announcement],
    missing: dict[str, messages.Announcement],
) -> dict[tuple[str, int], SeatedGroup]:
    """Returns all groups that have members, by name and fencing number."""
    found: dict[tuple[str, int], SeatedGroup] = {}
    everyone = [(item, True) for item in fresh.values()]
    everyone += [(item, False) for item in missing.values()]
    for announcement, is_fresh in everyone:
        seat = announcement.seat
        if seat is None:
            continue
        group = found.setdefault(
            (seat.group, seat.fence), SeatedGroup(seat.fence)
        )
        group.add(announcement, is_fresh)
    return found


def groups_that_count(
    found: dict[tuple[str, int], SeatedGroup],
) -> dict[str, SeatedGroup]:
    """Returns each group at the fencing number that counts.

    That is the highest one; but a group that is whole at a lower one counts
    before one that is not, as when orders were lost.
    """
    chosen: dict[str, SeatedGroup] = {}
    for (name, _), group in found.items():
        best = chosen.get(name)
        if best is None or group.precedence > best.precedence:
            chosen[name] = group
    return chosen


def sits(announcement: messages.Announcement, group: str, fence: int) -> bool:
    """Returns whether an upstream sits in a group at a fencing number."""
    seat = announcement.seat
    return seat is not None and (seat.group, seat.fence) == (group, fence)
