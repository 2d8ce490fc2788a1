"""The time slots of limits that the keeper assigns to entries.

An entry that hears no keeper uses its slots; until it is heard again, the
keeper grants only what the slots of such entries leave.
"""

import datetime

import attrs

from figford import fleetmessages
from figford import limits
from figford import membership

# An entry may hear the keeper for a while after the keeper last heard it.
RESERVATION_TIME = limits.ISOLATED_SERVICE + limits.ISOLATION_TIMEOUT
# An entry that was stopping when it was last heard has exited after this time.
STOPPED_ENTRY_RETENTION = datetime.timedelta(seconds=30)


@attrs.define
class SlotTable:
    """The slots of all entries, and what linked ones were told of them."""

    peers: membership.PeerTable
    _told_by_entry: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def entries(self, now: datetime.timedelta) -> list[str]:
        """Returns the entries with slots: live ones, or behind a cut."""
        return [
            name
            for name, known in sorted(self.peers.by_instance.items())
            if known.peer.voter is None
            and known.heard_at is not None
            and now - known.heard_at < RESERVATION_TIME
            and not (
                known.peer.draining
                and now - known.heard_at > STOPPED_ENTRY_RETENTION
            )
        ]

    def unreserved_part(self, now: datetime.timedelta) -> float:
        """Returns the part of each limit that isolated entries don't use."""
        entries = self.entries(now)
        isolated = sum(
            now - self.peers.by_instance[name].heard_at
            > limits.CONTACT_TIMEOUT
            for name in entries
        )
        return 1.0 - isolated / max(1, len(entries))

    def forget(self, entry: str) -> None:
        """Records that an entry must be told anew."""
        self._told_by_entry.pop(entry, None)

    def forget_all(self) -> None:
        """Records that all entries must be told anew."""
        self._told_by_entry.clear()

    def changes(
        self,
        links: set[str],
        term: int,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> dict[str, fleetmessages.PermitSlot]:
        """Returns the slots to tell linked entries, by entry.

        `elapsed` is the time since the slots with the number 0 began.
        """
        entries = self.entries(now)
        changed = {}
        for index, name in enumerate(entries):
            slot = (index, len(entries))
            if name in links and self._told_by_entry.get(name) != slot:
                self._told_by_entry[name] = slot
                changed[name] = fleetmessages.PermitSlot(term, *slot, elapsed)
        return changed
