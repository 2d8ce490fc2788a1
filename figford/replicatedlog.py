"""The entries of the replicated log that are kept after a snapshot."""

import datetime

import attrs

from figford import messages


@attrs.define
class ReplicatedLog:
    """Entries after the last snapshot, in order of their index."""

    snapshot: messages.Snapshot = messages.Snapshot(0, 0, [], b"")
    entries: list[messages.Entry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """Returns the index of the newest entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Returns the term of the newest entry."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None where it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    @property
    def last_time(self) -> datetime.timedelta:
        """Returns the log time of the newest entry."""
        return self.time_at(self.last_index)

    def time_at(self, index: int) -> datetime.timedelta:
        """Returns the log time of an entry that is held."""
        if index == self.snapshot.index:
            return self.snapshot.at
        return self.entries[index - self.snapshot.index - 1].at

    def entries_after(self, index: int, limit: int) -> list[messages.Entry]:
        """Returns at most `limit` entries that follow `index`."""
        start = index - self.snapshot.index
        return self.entries[start : start + limit]

    def replace_from(self, entries: list[messages.Entry]) -> None:
        """Drops the entries from the first given index on; adds these."""
        kept_count = entries[0].index - self.snapshot.index - 1
        if not 0 <= kept_count <= len(self.entries):
            raise AssertionError("entries leave a gap in the log")
        del self.entries[kept_count:]
        self.entries.extend(entries)

    def compact(self, snapshot: messages.Snapshot) -> None:
        """Replaces the entries that a snapshot covers by it."""
        local_term = self.term_at(snapshot.index)
        if local_term == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries.clear()
        self.snapshot = snapshot

    def voters(self) -> list[str]:
        """Returns the voters named by the newest entry that names any."""
        for entry in reversed(self.entries):
            if isinstance(entry.command, messages.VoterChange):
                return entry.command.voters
        return self.snapshot.voters

    def voters_at(self, index: int) -> list[str]:
        """Returns the voters in force at an index that is held."""
        count = index - self.snapshot.index
        for entry in reversed(self.entries[:count]):
            if isinstance(entry.command, messages.VoterChange):
                return entry.command.voters
        return self.snapshot.voters

    def voter_change_index(self) -> int:
        """Returns the index of the newest voter change that is held."""
        for entry in reversed(self.entries):
            if isinstance(entry.command, messages.VoterChange):
                return entry.index
        return 0
