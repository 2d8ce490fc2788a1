"""The replicated log: the last snapshot and the entries after it."""

import datetime

import attrs

from figford import messages


@attrs.define
class ReplicatedLog:
    """The last snapshot and the entries after it, ordered by index."""

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
        """Returns the term of an entry; None if the log doesn't contain it."""
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
        """Returns the log time of an entry in the log or of the snapshot."""
        if index == self.snapshot.index:
            return self.snapshot.at
        return self.entries[index - self.snapshot.index - 1].at

    def entries_after(self, index: int, limit: int) -> list[messages.Entry]:
        """Returns up to `limit` entries that follow `index`."""
        start = index - self.snapshot.index
        return self.entries[start : start + limit]

    def replace_from(self, entries: list[messages.Entry]) -> None:
        """Truncates the log at the first given index and appends entries."""
        kept_count = entries[0].index - self.snapshot.index - 1
        if not 0 <= kept_count <= len(self.entries):
            raise AssertionError("entries would leave a gap in the log")
        del self.entries[kept_count:]
        self.entries.extend(entries)

    def compact(self, snapshot: messages.Snapshot) -> None:
        """Replaces the entries that a snapshot covers by the snapshot."""
        local_term = self.term_at(snapshot.index)
        if local_term == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries.clear()
        self.snapshot = snapshot

    def voters(self) -> list[str]:
        """Returns the voters of the newest voter change or the snapshot."""
        return self.electorates()[-1]

    def electorates(self) -> list[list[str]]:
        """Returns the sets of voters of each of which a quorum is needed.

        While a change is in progress, these are the former voters and the new
        ones.
        """
        for entry in reversed(self.entries):
            if isinstance(entry.command, messages.VoterChange):
                change = entry.command
                if change.former is None:
                    return [change.voters]
                return [change.former, change.voters]
        return [self.snapshot.voters]

    def voters_at(self, index: int) -> list[str]:
        """Returns the voters in force at an index in the log."""
        count = index - self.snapshot.index
        for entry in reversed(self.entries[:count]):
            if isinstance(entry.command, messages.VoterChange):
                return entry.command.voters
        return self.snapshot.voters

    def voter_change_index(self) -> int:
        """Returns the index of the newest voter change, 0 if there is none."""
        for entry in reversed(self.entries):
            if isinstance(entry.command, messages.VoterChange):
                return entry.index
        return 0
