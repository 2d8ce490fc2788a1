"""Leader election and log replication among the voters, as in Raft.

A state machine without I/O. Each call returns an `Output`: records to sync
first, then messages to send, entries that are now committed and a snapshot
to load. The caller sends messages only after the records of this and all
earlier outputs are synced, and reports each sync by calling `synced`.
"""

import datetime
import enum
import random
import typing

import attrs

from figford import messages
from figford import replicatedlog

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=150)
ELECTION_TIMEOUT = datetime.timedelta(milliseconds=900)
# After a start there may be no leader, and a pre-vote does not disturb an
# existing one, so the first election need not wait for ELECTION_TIMEOUT.
FIRST_ELECTION_TIMEOUT = datetime.timedelta(milliseconds=250)
# The wait for the first leader doubles with every other of these elections.
MAX_FIRST_ELECTIONS = 4
ENTRIES_PER_APPEND = 200
# Maximum replication lag at which a learner is promoted to voter.
PROMOTION_LAG_ENTRIES = 20
PROMOTION_SILENCE = HEARTBEAT_INTERVAL * 2


class Role(enum.Enum):
    """Role of a voter in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define
class Output:
    """The work that a call hands to its caller, to be done in this order."""

    records: list[messages.Record] = attrs.field(factory=list)
    sends: list[messages.Addressed] = attrs.field(factory=list)
    snapshot_to_load: messages.Snapshot | None = None
    committed: list[messages.Entry] = attrs.field(factory=list)
    confirmed_reads: list[str] = attrs.field(factory=list)


@attrs.define
class Progress:
    """Replication progress of one follower, as known to the leader."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    last_reply_at: datetime.timedelta = datetime.timedelta(0)


@attrs.define
class _PendingRead:
    read_id: str
    round: int
    index: int


@attrs.define
class Agreement:
    """One voter, or a learner until a voter change adds it."""

    voter: str
    rng: random.Random
    log: replicatedlog.ReplicatedLog = attrs.field(
        factory=replicatedlog.ReplicatedLog
    )
    term: int = 0
    voted_for: str | None = None
    role: Role = Role.FOLLOWER
    leader: str | None = None
    commit_index: int = 0
    check_quorum: bool = True
    # The smallest quorum that may go on without a voter whose disk is lost.
    minimum_quorum: int = 2
    # The voters whose disks are known to be lost, which never vote again.
    lost_voters: frozenset[str] = frozenset()
    # Of these, the one that was known when this voter last asked for votes.
    _excluded: str | None = None
    _synced_index: int = 0
    _votes: set[str] = attrs.field(factory=set)
    _progress_by_voter: dict[str, Progress] = attrs.field(factory=dict)
    _learners: set[str] = attrs.field(factory=set)
    _reads: list[_PendingRead] = attrs.field(factory=list)
    _round: int = 0
    _term_start_index: int = 0
    _leader_since: datetime.timedelta = datetime.timedelta(0)
    _log_time_base: datetime.timedelta = datetime.timedelta(0)
    _leader_heard_at: datetime.timedelta = datetime.timedelta(0)
    _election_due: datetime.timedelta = datetime.timedelta(0)
    # Elections that this voter started before it heard a leader.
    _first_elections: int = 0
    _heartbeat_due: datetime.timedelta = datetime.timedelta(0)
    _quorum_check_due: datetime.timedelta = datetime.timedelta(0)

    # ---- Restoring and reading state ------------------------------------

    def restore(
        self, records: list[messages.Record], now: datetime.timedelta
    ) -> Output:
        """Restores the state from journal records; called before all else."""
        for record in records:
            self._restore_record(record)
        self.commit_index = self.log.snapshot.index
        self._synced_index = self.log.last_index
        jitter = 1 + self.rng.random()
        self._election_due = now + FIRST_ELECTION_TIMEOUT * jitter
        output = Output()
        if self.log.snapshot.index:
            output.snapshot_to_load = self.log.snapshot
        return output

    def _restore_record(self, record: messages.Record) -> None:
        match record:
            case messages.HardState(term, voted_for):
                self.term = term
                self.voted_for = voted_for
            case messages.Appended(entries):
                self.log.replace_from(entries)
            case messages.Compacted(snapshot):
                self.log.compact(snapshot)
            case messages.Identity(voter):
                self.voter = voter

    @property
    def voters(self) -> list[str]:
        """Returns the voters of the newest change, committed or not."""
        return self.log.voters()

    @property
    def members(self) -> list[str]:
        """Returns the voters, and the former ones while they change."""
        return sorted(set().union(*self.log.electorates()))

    @property
    def changes_voters(self) -> bool:
        """Returns whether a change of the voters is in progress."""
        return (
            len(self.log.electorates()) > 1
            or self.log.voter_change_index() > self.commit_index
        )

    @property
    def leading(self) -> bool:
        """Returns whether this voter leads its term."""
        return self.role is Role.LEADER

    @property
    def settled(self) -> bool:
        """Returns whether this voter leads and has committed in its term."""
        return self.leading and self.commit_index >= self._term_start_index

    def hears_leader(self, now: datetime.timedelta) -> bool:
        """Returns whether this voter leads or heard its leader recently.

        A leader counts only once it has committed in its term.
        """
        if self.leading:
            return self.settled
        heard_recently = now - self._leader_heard_at < ELECTION_TIMEOUT * 2
        return self.leader is not None and heard_recently

    def all_records(self) -> list[messages.Record]:
        """Returns the records from which `restore` rebuilds this state."""
        records: list[messages.Record] = [messages.Identity(self.voter)]
        if self.log.snapshot.index:
            records.append(messages.Compacted(self.log.snapshot))
        records.append(messages.HardState(self.term, self.voted_for))
        if self.log.entries:
            records.append(messages.Appended(list(self.log.entries)))
        return records

    # ---- Events ---------------------------------------------------------

    def tick(self, now: datetime.timedelta) -> Output:
        """Starts elections, sends heartbeats and checks the quorum."""
        output = Output()
        if self.leading:
            self._tick_as_leader(now, output)
        elif now >= self._election_due and self.voter in self.members:
            self._start_pre_vote(now, output)
        return output

    def synced(self, index: int, term: int, now: datetime.timedelta) -> Output:
        """Records that entries up to `index` are on this voter's disk."""
        output = Output()
        if self.log.term_at(index) == term:
            self._synced_index = max(self._synced_index, index)
        if self.leading:
            self._advance_commit(now, output)
        return output

    def propose(
        self,
        command: messages.Command,
        now: datetime.timedelta,
    ) -> tuple[int, Output]:
        """Appends a command as leader; returns its index."""
        if not self.leading:
            raise AssertionError("only the leader can propose commands")
        output = Output()
        index = self._append_as_leader(command, now, output)
        self._replicate(now, output)
        return index, output

    def propose_voters(
        self,
        voters: list[str],
        now: datetime.timedelta,
    ) -> Output | None:
        """Proposes a change of the voters.

        Returns None if this voter is not a settled leader or an earlier
        change is in progress. A change adds or removes one voter, so each
        majority of the former voters and each of the new ones have a voter in
        common. Half of an even number need not: then a quorum of the former
        voters is needed as well until the change is committed, and the leader
        ends it by a second entry.
        """
        if len(set(voters) ^ set(self.voters)) != 1:
            raise AssertionError("a change adds or removes one voter")
        if not self.settled or self.changes_voters:
            return None
        halves = any(_may_halve(item) for item in (self.voters, voters))
        command = messages.VoterChange(
            sorted(voters), former=self.voters if halves else None
        )
        return self.propose(command, now)[1]

    def read(self, read_id: str, now: datetime.timedelta) -> Output | None:
        """Starts a read that a quorum must confirm.

        Returns None if this voter is not a settled leader.
        """
        if not self.settled:
            return None
        output = Output()
        self._round += 1
        self._reads.append(
            _PendingRead(read_id, self._round, self.commit_index)
        )
        self._replicate(now, output)
        self._confirm_reads(output)
        return output

    def set_learners(
        self, learners: set[str], now: datetime.timedelta
    ) -> None:
        """Sets the learners that the leader replicates its log to."""
        self._learners = learners - set(self.members)
        if self.leading:
            self._refresh_progress(now)

    @property
    def learners(self) -> set[str]:
        """Returns the learners that the leader replicates its log to."""
        return self._learners

    def caught_up(self, learner: str, now: datetime.timedelta) -> bool:
        """Returns whether a learner can be promoted to voter now.

        The learner must be close to the leader's log and have replied
        recently: a dead replica that becomes a voter counts against the
        quorum.
        """
        if not self.replies(learner, now):
            return False
        match_index = self._progress_by_voter[learner].match_index
        return self.log.last_index - match_index <= PROMOTION_LAG_ENTRIES

    def all_reply(self, now: datetime.timedelta) -> bool:
        """Returns whether all other voters have replied recently."""
        return all(self.replies(voter, now) for voter in self._other_voters())

    def replies(self, voter: str, now: datetime.timedelta) -> bool:
        """Returns whether a voter or learner confirmed entries recently."""
        progress = self._progress_by_voter.get(voter)
        if progress is None or not progress.match_index:
            return False
        return now - progress.last_reply_at <= PROMOTION_SILENCE

    def transfer_leadership(
        self, candidates: typing.Iterable[str], now: datetime.timedelta
    ) -> tuple[str, Output] | None:
        """Asks one of the candidates to take over as leader at once.

        Returns the voter that was asked; None if no candidate has replied
        recently and has the whole log, without which it can't be elected.
        """
        for voter in sorted(candidates):
            progress = self._progress_by_voter.get(voter)
            if progress is None or not self.replies(voter, now):
                continue
            if progress.match_index < self.log.last_index:
                continue
            request = messages.TransferLeadership(self.term)
            return voter, Output(sends=[messages.Addressed(voter, request)])
        return None

    def compact(self, index: int, state: bytes) -> Output:
        """Replaces the log up to a committed index by a snapshot."""
        if index > self.commit_index:
            raise AssertionError("snapshot would cover uncommitted entries")
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot.index:
            return Output()
        snapshot = messages.Snapshot(
            index=index,
            term=term,
            voters=self.log.voters_at(index),
            state=state,
            at=self.log.time_at(index),
        )
        self.log.compact(snapshot)
        return Output(records=[messages.Compacted(snapshot)])

    def handle(
        self, message: messages.AgreementMessage, now: datetime.timedelta
    ) -> Output:
        """Handles a message from another voter."""
        output = Output()
        if message.term > self.term and not self._term_is_tentative(message):
            self._become_follower(message.term, None, now, output)
        match message:
            case messages.VoteRequest():
                self._on_vote_request(message, now, output)
            case messages.VoteReply():
                self._on_vote_reply(message, now, output)
            case messages.Append():
                self._on_append(message, now, output)
            case messages.InstallSnapshot():
                self._on_snapshot(message, now, output)
            case messages.AppendReply():
                self._on_append_reply(message, now, output)
            case messages.TransferLeadership():
                self._on_transfer(message, now, output)
        return output

    # ---- Elections ------------------------------------------------------

    @staticmethod
    def _term_is_tentative(message: messages.AgreementMessage) -> bool:
        """Returns whether the term belongs to a pre-vote and has not begun."""
        match message:
            case messages.VoteRequest(preliminary=True):
                return True
            case messages.VoteReply(preliminary=True, granted=True):
                return True
        return False

    def _reset_election(self, now: datetime.timedelta) -> None:
        """Waits for a leader; until the first one is heard, not as long.

        After a restart of all voters nobody leads, and two of them that start
        an election at once must not both wait for `ELECTION_TIMEOUT`.
        """
        jitter = 1 + self.rng.random()
        timeout = ELECTION_TIMEOUT
        if not self._leader_heard_at and not self.leading:
            first = FIRST_ELECTION_TIMEOUT * 2 ** (self._first_elections // 2)
            timeout = min(timeout, first)
        self._election_due = now + timeout * jitter

    def _become_follower(
        self,
        term: int,
        leader: str | None,
        now: datetime.timedelta,
        output: Output,
    ) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = None
            output.records.append(messages.HardState(term, None))
        self.role = Role.FOLLOWER
        self.leader = leader
        self._reads.clear()
        self._reset_election(now)

    def _start_pre_vote(self, now: datetime.timedelta, output: Output) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader = None
        self._first_elections = min(
            self._first_elections + 1, MAX_FIRST_ELECTIONS
        )
        self._votes = {self.voter}
        self._exclude_lost_voter()
        self._reset_election(now)
        self._request_votes(self.term + 1, True, output)
        self._count_votes(now, output)

    def _start_election(self, now: datetime.timedelta, output: Output) -> None:
        self.role = Role.CANDIDATE
        self.term += 1
        self.voted_for = self.voter
        self._votes = {self.voter}
        self._exclude_lost_voter()
        self._reset_election(now)
        output.records.append(messages.HardState(self.term, self.voter))
        self._request_votes(self.term, False, output)
        self._count_votes(now, output)

    def _on_transfer(
        self,
        request: messages.TransferLeadership,
        now: datetime.timedelta,
        output: Output,
    ) -> None:
        """Starts an election without a pre-vote; the leader asked for it."""
        is_current = request.term == self.term and not self.leading
        if is_current and self.voter in self.members:
            self._start_election(now, output)

    def _request_votes(
        self, term: int, preliminary: bool, output: Output
    ) -> None:
        request = messages.VoteRequest(
            term=term,
            candidate=self.voter,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            preliminary=preliminary,
        )
        for voter in self._other_voters():
            output.sends.append(messages.Addressed(voter, request))

    def _on_vote_request(
        self,
        request: messages.VoteRequest,
        now: datetime.timedelta,
        output: Output,
    ) -> None:
        log_up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.preliminary:
            granted = (
                log_up_to_date
                and request.term > self.term
                and not self._heard_leader_recently(now)
            )
        else:
            granted = (
                log_up_to_date
                and request.term == self.term
                and self.voted_for in (None, request.candidate)
            )
        if granted and not request.preliminary:
            self.voted_for = request.candidate
            self._reset_election(now)
            output.records.append(
                messages.HardState(self.term, self.voted_for)
            )
        term = request.term if granted else self.term
        reply = messages.VoteReply(
            term, self.voter, granted, request.preliminary
        )
        output.sends.append(messages.Addressed(request.candidate, reply))

    def _heard_leader_recently(self, now: datetime.timedelta) -> bool:
        if self.leading:
            return True
        heard_recently = now - self._leader_heard_at < ELECTION_TIMEOUT
        return self.leader is not None and heard_recently

    def _on_vote_reply(
        self,
        reply: messages.VoteReply,
        now: datetime.timedelta,
        output: Output,
    ) -> None:
        expected = {
            Role.PRE_CANDIDATE: (True, self.term + 1),
            Role.CANDIDATE: (False, self.term),
        }.get(self.role)
        if not reply.granted or expected != (reply.preliminary, reply.term):
            return
        self._votes.add(reply.voter)
        self._count_votes(now, output)

    def _count_votes(self, now: datetime.timedelta, output: Output) -> None:
        if not self._is_quorum(self._votes):
            return
        match self.role:
            case Role.PRE_CANDIDATE:
                self._start_election(now, output)
            case Role.CANDIDATE:
                self._become_leader(now, output)

    def _become_leader(self, now: datetime.timedelta, output: Output) -> None:
        self.role = Role.LEADER
        self.leader = self.voter
        self._progress_by_voter = {}
        self._refresh_progress(now)
        self._quorum_check_due = now + ELECTION_TIMEOUT
        self._leader_since = now
        self._log_time_base = self.log.last_time
        self._term_start_index = self._append_as_leader(
            messages.Noop(), now, output
        )
        self._replicate(now, output)

    # ---- Leading --------------------------------------------------------

    def _other_voters(self) -> list[str]:
        return [voter for voter in self.members if voter != self.voter]

    def _exclude_lost_voter(self) -> None:
        """Chooses the lost voter without which votes are counted.

        It stays the same for as long as this voter leads, so that all votes
        and replies that count were given after its loss.
        """
        lost = self.lost_voters & set(self.members)
        self._excluded = min(lost, default=None)

    def _is_quorum(self, voters: set[str]) -> bool:
        """Returns whether voters are a quorum of each electorate."""
        return all(
            self._is_quorum_of(electorate, voters)
            for electorate in self.log.electorates()
        )

    def _is_quorum_of(self, electorate: list[str], voters: set[str]) -> bool:
        """Returns whether voters are a quorum of an electorate.

        That is a majority. If one of an even number has lost its disk, half
        of them, without that one, are enough: they have a voter in common
        with each majority, and with each other half without it. Halves
        without different voters would each contain a vote that was given
        before the disk of its voter was lost, and after the other's loss.
        """
        present = voters & set(electorate)
        count = len(electorate)
        if 2 * len(present) > count:
            return True
        if self._excluded not in electorate:
            return False
        if not _may_halve(electorate) or count < 2 * self.minimum_quorum:
            return False
        return 2 * len(present - {self._excluded}) >= count

    def _refresh_progress(self, now: datetime.timedelta) -> None:
        targets = (set(self.members) | self._learners) - {self.voter}
        for voter in sorted(targets - set(self._progress_by_voter)):
            self._progress_by_voter[voter] = Progress(
                next_index=self.log.last_index + 1, last_reply_at=now
            )
        for voter in set(self._progress_by_voter) - targets:
            del self._progress_by_voter[voter]

    def _append_as_leader(
        self,
        command: messages.Command,
        now: datetime.timedelta,
        output: Output,
    ) -> int:
        at = self._log_time_base + (now - self._leader_since)
        entry = messages.Entry(self.log.last_index + 1, self.term, at, command)
        self.log.replace_from([entry])
        output.records.append(messages.Appended([entry]))
        if isinstance(command, messages.VoterChange):
            self._refresh_progress(now)
        return entry.index

    def _tick_as_leader(self, now: datetime.timedelta, output: Output) -> None:
        if now >= self._quorum_check_due:
            self._check_quorum(now, output)
        if self.leading and now >= self._heartbeat_due:
            self._round += 1
            self._replicate(now, output)

    def _check_quorum(self, now: datetime.timedelta, output: Output) -> None:
        self._quorum_check_due = now + ELECTION_TIMEOUT
        heard = {self.voter}
        for voter, progress in self._progress_by_voter.items():
            if now - progress.last_reply_at <= ELECTION_TIMEOUT:
                heard.add(voter)
        if self.check_quorum and not self._is_quorum(heard):
            self._become_follower(self.term, None, now, output)

    def _replicate(self, now: datetime.timedelta, output: Output) -> None:
        self._heartbeat_due = now + HEARTBEAT_INTERVAL
        for voter, progress in self._progress_by_voter.items():
            message = self._next_message(progress)
            output.sends.append(messages.Addressed(voter, message))

    def _next_message(
        self, progress: Progress
    ) -> messages.Append | messages.InstallSnapshot:
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            return messages.InstallSnapshot(
                self.term, self.voter, self.log.snapshot, self._round
            )
        entries = self.log.entries_after(previous, ENTRIES_PER_APPEND)
        # Advanced before the reply arrives; a failure reply moves it back.
        progress.next_index += len(entries)
        return messages.Append(
            term=self.term,
            leader=self.voter,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit=self.commit_index,
            round=self._round,
        )

    def _on_append_reply(
        self,
        reply: messages.AppendReply,
        now: datetime.timedelta,
        output: Output,
    ) -> None:
        progress = self._progress_by_voter.get(reply.voter)
        if not self.leading or reply.term != self.term or progress is None:
            return
        progress.last_reply_at = now
        progress.acked_round = max(progress.acked_round, reply.round)
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            self._advance_commit(now, output)
        else:
            progress.next_index = max(
                progress.match_index + 1,
                min(reply.match_index, self.log.last_index) + 1,
            )
        self._confirm_reads(output)
        behind = progress.next_index <= self.log.last_index
        if behind or not reply.success:
            message = self._next_message(progress)
            output.sends.append(messages.Addressed(reply.voter, message))

    def _advance_commit(self, now: datetime.timedelta, output: Output) -> None:
        index = self._replicated_index()
        # Entries of earlier terms are committed only along with one of this
        # term, never by counting replicas.
        if index > self.commit_index and (
            self.log.term_at(index) == self.term
        ):
            self._commit_to(index, output)
            self._end_voter_change(now, output)

    def _replicated_index(self) -> int:
        """Returns the highest index that a quorum has synced."""
        index_by_voter = {
            voter: self._progress_by_voter[voter].match_index
            for voter in self._other_voters()
        }
        index_by_voter[self.voter] = self._synced_index
        for index in sorted(set(index_by_voter.values()), reverse=True):
            voters = {
                voter
                for voter, synced in index_by_voter.items()
                if synced >= index
            }
            if index <= self.commit_index or self._is_quorum(voters):
                return index
        return self.commit_index

    def _end_voter_change(
        self, now: datetime.timedelta, output: Output
    ) -> None:
        """Appends the end of a change of the voters once it is committed."""
        is_open = len(self.log.electorates()) > 1
        if is_open and self.log.voter_change_index() <= self.commit_index:
            end = messages.VoterChange(self.voters)
            self._append_as_leader(end, now, output)
            self._replicate(now, output)

    def _commit_to(self, index: int, output: Output) -> None:
        if index > self.log.last_index:
            raise AssertionError("commit index is past the end of the log")
        start = self.commit_index - self.log.snapshot.index
        stop = index - self.log.snapshot.index
        output.committed.extend(self.log.entries[start:stop])
        self.commit_index = index

    def _confirm_reads(self, output: Output) -> None:
        waiting = []
        for pending in self._reads:
            acked = {self.voter}
            for voter, progress in self._progress_by_voter.items():
                if progress.acked_round >= pending.round:
                    acked.add(voter)
            if self._is_quorum(acked):
                output.confirmed_reads.append(pending.read_id)
            else:
                waiting.append(pending)
        self._reads = waiting

    # ---- Following ------------------------------------------------------

    def _accept_leader(
        self,
        message: messages.Append | messages.InstallSnapshot,
        now: datetime.timedelta,
        output: Output,
    ) -> bool:
        """Accepts the sender as leader unless its term is older."""
        if message.term < self.term:
            self._reply(message, False, self.log.last_index, output)
            return False
        if self.leading:
            raise AssertionError("another voter leads in the same term")
        self._become_follower(message.term, message.leader, now, output)
        self._leader_heard_at = now
        return True

    def _on_append(
        self,
        message: messages.Append,
        now: datetime.timedelta,
        output: Output,
    ) -> None:
        if not self._accept_leader(message, now, output):
            return
        previous = message.previous_index
        local_term = self.log.term_at(previous)
        if previous < self.log.snapshot.index:
            # Entries up to the snapshot are committed, so they match.
            self._reply(message, True, self.log.snapshot.index, output)
            return
        if local_term != message.previous_term:
            hint = min(self.log.last_index, previous - 1)
            self._reply(message, False, max(hint, self.commit_index), output)
            return
        self._store_entries(message.entries, output)
        last = previous + len(message.entries)
        commit = min(message.commit, last)
        if commit > self.commit_index:
            self._commit_to(commit, output)
        self._reply(message, True, last, output)

    def _store_entries(
        self, entries: list[messages.Entry], output: Output
    ) -> None:
        for position, entry in enumerate(entries):
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.commit_index:
                raise AssertionError(
                    "append would overwrite a committed entry"
                )
            new_entries = entries[position:]
            self.log.replace_from(new_entries)
            self._synced_index = min(self._synced_index, entry.index - 1)
            output.records.append(messages.Appended(new_entries))
            return

    def _on_snapshot(
        self,
        message: messages.InstallSnapshot,
        now: datetime.timedelta,
        output: Output,
    ) -> None:
        if not self._accept_leader(message, now, output):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.compact(snapshot)
            self.commit_index = snapshot.index
            output.records.append(messages.Compacted(snapshot))
            output.snapshot_to_load = snapshot
        self._reply(message, True, snapshot.index, output)

    def _reply(
        self,
        message: messages.Append | messages.InstallSnapshot,
        success: bool,
        match_index: int,
        output: Output,
    ) -> None:
        reply = messages.AppendReply(
            self.term, self.voter, success, match_index, message.round
        )
        output.sends.append(messages.Addressed(message.leader, reply))


def _may_halve(electorate: list[str]) -> bool:
    """Returns whether half of the voters may be a quorum, if one is lost.

    Half of two is one voter, whose disk alone would hold what is committed.
    """
    return len(electorate) % 2 == 0 and len(electorate) > 2
