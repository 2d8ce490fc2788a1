"""The consensus replica of an entry that has a disk."""

import datetime
import random
import typing

import attrs

from figford import agreement as agreements
from figford import effects
from figford import ledger as ledgers
from figford import membership
from figford import messages

MAX_VOTERS = 7
SNAPSHOT_INTERVAL_ENTRIES = 500
# A voter that is silent this long is replaced by a live replica. Process
# pauses and network cuts of a few seconds end before that.
VOTER_SILENCE_TIMEOUT = datetime.timedelta(seconds=8)
VOTER_REVIEW_INTERVAL = datetime.timedelta(milliseconds=100)
# A longer gap between two ticks means that this process was suspended; what
# others sent meanwhile was not received.
PAUSE_THRESHOLD = datetime.timedelta(seconds=1)
# The part of the time for a graceful shutdown within which a replica waits
# until others have taken over its vote.
VOTE_RELEASE_PART = 0.25
# Proposals beyond this number are answered as undecided; their origin retries
# them until their deadline.
MAX_PENDING_PROPOSALS = 10_000
# Number of versions that a manual recovery skips, as lost voters may have
# committed them.
RECOVERY_VERSION_GAP = 1_000


@attrs.define
class _PendingProposal:
    """A proposal whose entry is in the log but not yet committed."""

    proposal: str
    term: int


def bootstrap_records(
    voter: str, others: typing.Iterable[str] = ()
) -> list[messages.Record]:
    """Returns the first records of a voter of a new deployment.

    Voters that are bootstrapped together write the same first entry.
    """
    voters = sorted({voter, *others})
    first = messages.Entry(
        1, 1, datetime.timedelta(0), messages.VoterChange(voters)
    )
    return [
        messages.Identity(voter),
        messages.HardState(1, None),
        messages.Appended([first]),
    ]


@attrs.frozen
class Recovery:
    """The records of the remaining voter, and the state that they contain."""

    records: list[messages.Record]
    voter: str
    former_voters: list[str]
    last_index: int
    version: int


def recover(records: list[messages.Record], new_name: str) -> Recovery:
    """Returns records that make a surviving replica the only voter.

    The replica votes under a new name, so that former voters that return
    can't count it in their quorum. Entries that they committed and that this
    replica lacks are lost; the version skips RECOVERY_VERSION_GAP numbers.
    """
    voter = agreements.Agreement(new_name, random.Random(0))
    voter.restore(records, datetime.timedelta(0))
    log = voter.log
    former = log.voters()
    last_index = log.last_index
    ledger = ledgers.Ledger()
    if log.snapshot.index:
        ledger.load(log.snapshot)
    for entry in log.entries:
        ledger.apply(entry)
    version = ledger.state.version
    term = voter.term + 1
    commands: list[messages.Command] = [messages.VoterChange([new_name])]
    if version:
        commands.append(messages.RaiseVersion(version + RECOVERY_VERSION_GAP))
    for command in commands:
        entry = messages.Entry(
            log.last_index + 1, term, log.last_time, command
        )
        log.replace_from([entry])
    voter.voter = new_name
    voter.term = term
    voter.voted_for = None
    return Recovery(voter.all_records(), new_name, former, last_index, version)


@attrs.define
class Control:
    """The consensus state machine and the ledger of one replica.

    `take_results` returns the outcomes of proposals and reads, for the
    proposal tracker.
    """

    peers: membership.PeerTable
    agreement: agreements.Agreement
    ledger: ledgers.Ledger = attrs.field(factory=ledgers.Ledger)
    voter_silence_timeout: datetime.timedelta = VOTER_SILENCE_TIMEOUT
    # The number of replicas whose disks may be lost at once.
    fault_tolerance: int = 1
    _pending_by_index: dict[int, _PendingProposal] = attrs.field(factory=dict)
    _review_due: datetime.timedelta = datetime.timedelta(0)
    _leader_since: datetime.timedelta = datetime.timedelta(0)
    # When this process started or last ran on after it was suspended.
    _resumed_at: datetime.timedelta = datetime.timedelta(0)
    _ticked_at: datetime.timedelta = datetime.timedelta(0)
    _results: list[messages.ProposalResult] = attrs.field(factory=list)
    # When it was first seen that a voter's instance has another disk.
    _replaced_at_by_voter: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Sets how many voters may go on without one whose disk is lost."""
        self.agreement.minimum_quorum = self.fault_tolerance + 1

    def restore(
        self, records: list[messages.Record], now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Restores the state from journal records."""
        return self._process_output(self.agreement.restore(records, now))

    def take_results(self) -> list[messages.ProposalResult]:
        """Returns and clears the results since the last call."""
        results, self._results = self._results, []
        return results

    def hears_quorum(self, now: datetime.timedelta) -> bool:
        """Returns whether this replica leads or heard its leader recently."""
        return self.agreement.hears_leader(now)

    def may_end(self, now: datetime.timedelta) -> bool:
        """Returns whether a stopping replica need not wait any longer.

        It waits until another voter leads. Its vote is given up if enough
        voters remain, or a live replica may take its place; until that change
        is committed, it counts. If all voters stop, nobody takes over.
        """
        members = self.agreement.members
        others = [voter for voter in members if voter != self.agreement.voter]
        has_vote = len(others) < len(members)
        if not has_vote or all(self._is_stopping(voter) for voter in others):
            return True
        if self.agreement.leading:
            return not self._may_take_over(others, now)
        return not (
            self.agreement.changes_voters
            or self._has_spare()
            or self._promotable(now)
        )

    def leader_instance(self) -> str | None:
        """Returns the instance of the leader, None if it is unknown."""
        leader = self.agreement.leader
        return self.peers.instance_of_voter(leader) if leader else None

    # ---- Events ---------------------------------------------------------

    def tick(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Runs elections, heartbeats and the periodic review of the voters."""
        if not self.agreement.leading:
            self.agreement.lost_voters = self._lost_voters(now)
        result = self._process_output(self.agreement.tick(now))
        if now - self._ticked_at > PAUSE_THRESHOLD:
            self._resumed_at = now
        self._ticked_at = now
        if not self.agreement.leading:
            self._leader_since = now
        if self.agreement.leading and now >= self._review_due:
            self._review_due = now + VOTER_REVIEW_INTERVAL
            result += self._review_voters(now)
        return result

    def receive(
        self, addressed: messages.Addressed, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Handles an agreement message; drops one for another voter.

        A voter is named after its disk, so messages for a disk that this
        instance has lost are dropped.
        """
        if addressed.voter != self.agreement.voter:
            return []
        return self._process_output(
            self.agreement.handle(addressed.message, now)
        )

    def synced(
        self, index: int, term: int, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Records that the log is synced to disk up to an entry."""
        return self._process_output(self.agreement.synced(index, term, now))

    def propose(
        self, proposal: messages.Proposal, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Appends a command or starts a read, as the leader."""
        if isinstance(proposal.command, messages.ReadVersion):
            output = self.agreement.read(proposal.proposal, now)
            if output is None:
                return self._report_undecided(proposal)
            return self._process_output(output)
        if len(self._pending_by_index) >= MAX_PENDING_PROPOSALS:
            return self._report_undecided(proposal)
        index, output = self.agreement.propose(proposal.command, now)
        self._pending_by_index[index] = _PendingProposal(
            proposal.proposal, self.agreement.term
        )
        return self._process_output(output)

    def _report_undecided(
        self, proposal: messages.Proposal
    ) -> list[effects.Effect]:
        self._results.append(
            messages.ProposalResult(proposal.proposal, messages.Undecided())
        )
        return []

    # ---- Outputs --------------------------------------------------------

    def _process_output(
        self, output: agreements.Output
    ) -> list[effects.Effect]:
        """Applies an output; returns the effects that it requires."""
        result: list[effects.Effect] = []
        sends = []
        for addressed in output.sends:
            instance = self.peers.instance_of_voter(addressed.voter)
            if instance is not None:
                sends.append(effects.SendPeer(instance, addressed))
        if output.records or sends:
            log = self.agreement.log
            result.append(
                effects.PersistRecords(
                    output.records, sends, log.last_index, log.last_term
                )
            )
        if output.snapshot_to_load is not None:
            self.ledger.load(output.snapshot_to_load)
        for entry in output.committed:
            self._apply(entry)
        for read_id in output.confirmed_reads:
            outcome = messages.VersionInForce(
                self.ledger.state.version, self.ledger.state.routes_version
            )
            self._results.append(messages.ProposalResult(read_id, outcome))
        if output.committed:
            result += self._compact()
        return result

    def _apply(self, entry: messages.Entry) -> None:
        outcome = self.ledger.apply(entry)
        pending = self._pending_by_index.pop(entry.index, None)
        if pending is None:
            return
        same_term = pending.term == entry.term
        self._results.append(
            messages.ProposalResult(
                pending.proposal,
                outcome if same_term else messages.Undecided(),
            )
        )

    def _compact(self) -> list[effects.Effect]:
        applied = self.ledger.applied_index
        entry_count = applied - self.agreement.log.snapshot.index
        if entry_count < SNAPSHOT_INTERVAL_ENTRIES:
            return []
        self.agreement.compact(applied, self.ledger.dump())
        return [effects.RewriteJournal(self.agreement.all_records())]

    # ---- Voters ---------------------------------------------------------

    def _review_voters(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Removes replaced or unreachable voters; promotes live learners.

        Each change adds or removes one voter. None of them reduces the number
        of live voters that may fail before the quorum is lost, and none lets
        a quorum be smaller than `fault_tolerance + 1`:

        - An even number loses a dead voter if enough voters remain.
        - An even number of voters takes a learner: the quorum stays the same.
        - An odd number loses a dead voter: the quorum stays the same.
        - An odd number takes a learner, which raises the quorum, only while
          all voters reply.

        A voter whose process stops counts as dead, so that its end is not a
        loss. If this replica stops, it only lets another one take over.
        """
        if self.peers.me.draining:
            return self._transfer_leadership(now)
        voters = self.agreement.voters
        dead = self._dead_voters(now)
        learners = self._waiting_learners(now)
        if len(voters) >= MAX_VOTERS and not dead:
            learners = []
        self.agreement.set_learners(set(learners), now)
        caught_up = [
            learner
            for learner in learners
            if self.agreement.caught_up(learner, now)
            and not self._is_stopping(learner)
        ]
        has_even_count = len(voters) % 2 == 0
        if has_even_count and caught_up and not (dead and self._has_spare()):
            return self._change_voters([*voters, caught_up[0]], now)
        for voter in dead:
            if self._may_remove(voter, bool(caught_up), now):
                kept = [other for other in voters if other != voter]
                return self._change_voters(kept, now)
        can_grow = len(voters) < MAX_VOTERS and self.agreement.all_reply(now)
        if caught_up and can_grow:
            return self._change_voters([*voters, caught_up[0]], now)
        return []

    def _dead_voters(self, now: datetime.timedelta) -> list[str]:
        """Returns the voters that won't reply for long.

        Those with lost disks come first, those that still reply last.
        """
        voters = self.agreement.voters
        replaced = [
            voter for voter in voters if self._disk_was_replaced(voter, now)
        ]
        silent = [
            voter for voter in voters if self._is_unreachable(voter, now)
        ]
        stopping = [voter for voter in voters if self._is_stopping(voter)]
        return [*replaced, *silent, *stopping]

    def _may_remove(
        self, voter: str, has_successor: bool, now: datetime.timedelta
    ) -> bool:
        """Returns whether a dead voter can be removed now.

        A silent or stopping voter may return, so without a successor it is
        removed only while more voters remain than tolerate the loss of
        `fault_tolerance`. One that still replies stays until the successor
        has its vote.
        """
        if self._has_spare():
            return True
        if len(self.agreement.voters) % 2 == 0:
            return False
        if self._is_stopping(voter) and self.agreement.replies(voter, now):
            return False
        return has_successor or self._disk_was_replaced(voter, now)

    def _has_spare(self) -> bool:
        """Returns whether one voter less still bears `fault_tolerance`."""
        return len(self.agreement.voters) > 2 * self.fault_tolerance + 1

    def _change_voters(
        self, voters: list[str], now: datetime.timedelta
    ) -> list[effects.Effect]:
        output = self.agreement.propose_voters(voters, now)
        if output is None:
            return []
        changed = effects.StateChanged(
            "voters changed", (("voters", ",".join(sorted(voters))),)
        )
        return [*self._process_output(output), changed]

    def _transfer_leadership(
        self, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Asks another voter to lead, if one can."""
        candidates = self._may_take_over(self.agreement.voters, now)
        asked = self.agreement.transfer_leadership(candidates, now)
        if asked is None:
            return []
        voter, output = asked
        changed = effects.StateChanged(
            "leadership transferred", (("voter", voter),)
        )
        return [*self._process_output(output), changed]

    def _may_take_over(
        self, voters: list[str], now: datetime.timedelta
    ) -> list[str]:
        """Returns the voters that can lead in place of this replica."""
        return [
            voter
            for voter in voters
            if voter != self.agreement.voter
            and self.agreement.replies(voter, now)
            and not self._is_stopping(voter)
        ]

    def _promotable(self, now: datetime.timedelta) -> list[str]:
        """Returns the live replicas without a vote that go on running."""
        return [
            learner
            for learner in self._waiting_learners(now)
            if not self._is_stopping(learner)
        ]

    def _is_stopping(self, voter: str) -> bool:
        """Returns whether the process of a voter or learner stops."""
        if voter == self.agreement.voter:
            return self.peers.me.draining
        known = self.peers.by_instance.get(
            self.peers.instance_of_voter(voter) or ""
        )
        return known is not None and known.peer.draining

    def _disk_was_replaced(self, voter: str, now: datetime.timedelta) -> bool:
        """Returns whether the voter's instance is live with another disk."""
        instance = voter.rpartition(".")[0]
        known = self.peers.by_instance.get(instance)
        if known is None or not self.peers.is_live(instance, now):
            return False
        return known.peer.voter != voter

    def _lost_voters(self, now: datetime.timedelta) -> frozenset[str]:
        """Returns the voters whose instances said that they have other disks.

        What is known of an instance may be older than its vote, so only what
        it says after the difference was seen counts.
        """
        replaced_at = {
            voter: self._replaced_at_by_voter.get(voter, now)
            for voter in self.agreement.members
            if self._disk_was_replaced(voter, now)
        }
        self._replaced_at_by_voter = replaced_at
        return frozenset(
            voter
            for voter, seen_at in replaced_at.items()
            if self._heard_at(voter.rpartition(".")[0]) > seen_at
        )

    def _heard_at(self, instance: str) -> datetime.timedelta:
        known = self.peers.by_instance.get(instance)
        if known is None or known.heard_at is None:
            return datetime.timedelta(0)
        return known.heard_at

    def _is_unreachable(self, voter: str, now: datetime.timedelta) -> bool:
        """Returns whether a voter was silent beyond the silence timeout."""
        if voter == self.agreement.voter:
            return False
        instance = self.peers.instance_of_voter(voter)
        known = self.peers.by_instance.get(instance or "")
        heard_at = self._leader_since
        if known is not None and known.heard_at is not None:
            heard_at = known.heard_at
        silent_since = max(heard_at, self._resumed_at)
        return now - silent_since > self.voter_silence_timeout

    def _waiting_learners(self, now: datetime.timedelta) -> list[str]:
        """Returns live replicas without a vote.

        Those of data centres with the fewest voters come first.
        """
        voters = set(self.agreement.voters)
        count_by_data_centre: dict[str, int] = {}
        for peer in self.peers.all_peers():
            if peer.voter in voters:
                count = count_by_data_centre.get(peer.data_centre, 0)
                count_by_data_centre[peer.data_centre] = count + 1
        candidates = [
            peer
            for peer in self.peers.live(now)
            if peer.voter is not None and peer.voter not in voters
        ]
        candidates.sort(
            key=lambda peer: (
                count_by_data_centre.get(peer.data_centre, 0),
                peer.instance,
            )
        )
        return [peer.voter for peer in candidates if peer.voter is not None]
