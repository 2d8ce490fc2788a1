"""The time slots of limits that the keeper assigns to entries.

An entry that hears no keeper uses its slots; until it is heard again, the
keeper grants only what the slots of such entries leave. The log holds who may
have slots, so that a new keeper knows entries that it never heard.
"""

import datetime
import math

import attrs

from figford import fleetmessages
from figford import limits
from figford import membership

# An entry may hear the keeper for a while after the keeper last heard it.
RESERVATION_TIME = limits.ISOLATED_SERVICE + limits.ISOLATION_TIMEOUT
# An entry that was stopping when it was last heard has exited after this time.
STOPPED_ENTRY_RETENTION = datetime.timedelta(seconds=30)
# Silent entries may have been lost for good, so live ones together have no
# less than the whole budget divided by this.
MAX_DILUTION = 2
ROUNDING = 1e-9


@attrs.define
class SlotTable:
    """The entries with slots, as committed, and what they were told.

    `leading_since` is when this controller began to lead: entries that it
    has not heard may have been heard by others until then.
    """

    peers: membership.PeerTable
    shares: list[fleetmessages.SlotShare] = attrs.field(factory=list)
    leading_since: datetime.timedelta = datetime.timedelta(0)
    # Largest number of entries that were live at the same time.
    _most_live: int = 0
    _told_by_entry: dict[str, fleetmessages.SlotShare] = attrs.field(
        factory=dict
    )

    # ---- Who has slots --------------------------------------------------

    def wanted_shares(
        self, now: datetime.timedelta
    ) -> list[fleetmessages.SlotShare]:
        """Returns what should be committed: all entries that may serve.

        One that is silent keeps the part that it was told.
        """
        divisor_by_entry = {
            share.entry: share.divisor for share in self.shares
        }
        names = {
            name for name in divisor_by_entry if not self._has_ended(name, now)
        }
        names |= {
            peer.instance
            for peer in self.peers.live(now)
            if peer.voter is None and not peer.draining
        }
        return [
            fleetmessages.SlotShare(
                name,
                (
                    len(names)
                    if self._is_heard(name, now)
                    else divisor_by_entry.get(name, len(names))
                ),
            )
            for name in sorted(names)
        ]

    def unreserved_part(self, now: datetime.timedelta) -> float:
        """Returns the part of each limit that isolated entries don't use."""
        reserved = sum(
            1 / share.divisor
            for share in self.shares
            if not self._is_heard(share.entry, now)
            and not self._has_ended(share.entry, now)
        )
        return max(0.0, 1.0 - reserved)

    # ---- Who shares budgets ---------------------------------------------

    def count_sharing(self, now: datetime.timedelta) -> int:
        """Returns the divisor of the part of a budget for each live entry.

        An entry that fell silent may serve on behind a cut with the part that
        it was told, so it counts for a while, and what live ones share is
        what those parts leave. Those behind a cut were live together, so no
        more silent ones count; this controller may not have heard them.
        """
        live = {
            peer.instance for peer in self.peers.live(now) if not peer.voter
        }
        part_by_entry = {
            share.entry: 1 / share.divisor for share in self.shares
        }
        heard = self._heard_entries()
        silent = {
            name
            for name in {*part_by_entry, *heard} - live
            if not self._has_ended(name, now)
        }
        self._most_live = max(self._most_live, len(live))
        most = max(self._most_live, len(silent - heard))
        parts = sorted(
            (part_by_entry.get(name, 0.0) for name in silent), reverse=True
        )[:most]
        left = max(1.0 - sum(parts), 1 / MAX_DILUTION)
        return max(
            1,
            len(live) + len(parts),
            math.ceil(len(live) / left - ROUNDING),
        )

    def _heard_entries(self) -> set[str]:
        """Returns the remembered entries that this controller has heard."""
        return {
            name
            for name, known in self.peers.by_instance.items()
            if known.peer.voter is None and known.heard_at is not None
        }

    def _is_heard(self, name: str, now: datetime.timedelta) -> bool:
        known = self.peers.by_instance.get(name)
        return (
            known is not None
            and known.heard_at is not None
            and now - known.heard_at <= limits.CONTACT_TIMEOUT
        )

    def _has_ended(self, name: str, now: datetime.timedelta) -> bool:
        """Returns whether an entry can't be using its slots any more."""
        known = self.peers.by_instance.get(name)
        if known is None or known.heard_at is None:
            return now - self.leading_since >= RESERVATION_TIME
        silence = now - known.heard_at
        return silence >= RESERVATION_TIME or (
            known.peer.draining and silence > STOPPED_ENTRY_RETENTION
        )

    # ---- Telling entries ------------------------------------------------

    def forget(self, entry: str) -> None:
        """Records that an entry must be told anew."""
        self._told_by_entry.pop(entry, None)

    def start(self, now: datetime.timedelta) -> None:
        """Starts a term as the keeper; all entries must be told anew."""
        self.leading_since = now
        self._told_by_entry.clear()

    def changes(
        self, links: set[str], term: int, elapsed: datetime.timedelta
    ) -> dict[str, fleetmessages.PermitSlot]:
        """Returns the slots to tell linked entries, by entry.

        `elapsed` is the time since the slots with the number 0 began.
        """
        changed = {}
        for index, share in enumerate(self.shares):
            name = share.entry
            if name in links and self._told_by_entry.get(name) != share:
                self._told_by_entry[name] = share
                changed[name] = fleetmessages.PermitSlot(
                    term, index % share.divisor, share.divisor, elapsed
                )
        return changed
