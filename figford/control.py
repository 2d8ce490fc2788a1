"""The part of an entry with a disk: its share in the replicated log."""

import datetime
import random
import typing

import attrs

from figford import agreement as agreements
from figford import effects
from figford import ledger as ledgers
from figford import membership
from figford import messages

VOTERS_LIMIT = 7
SNAPSHOT_EVERY_ENTRIES = 500
# A voter that is silent this long gives its place to a disk that is there;
# freezes and cuts of a few seconds pass before that.
VOTER_SILENCE = datetime.timedelta(seconds=8)
# Below this number a silent voter keeps its vote, so that a cut never
# shrinks the quorum.
FEWEST_VOTERS = 3
VOTER_REVIEW_EVERY = datetime.timedelta(seconds=1)
# A claim on the answer of a proposal lapses with the proposal's retries.
WAITING_LIMIT = 10_000
# Versions that are left out after a recovery by hand.
RECOVERY_GAP = 1_000


@attrs.define
class _Awaited:
    """A proposal whose entry is in the log but not committed."""

    proposal: str
    term: int


def founding_records(
    voter: str, others: typing.Iterable[str] = ()
) -> list[messages.Record]:
    """Returns the records of a first voter of a new deployment.

    Voters that are founded together write the same first entry.
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
    """A disk made the only voter, and what is known of the loss."""

    records: list[messages.Record]
    voter: str
    former_voters: list[str]
    last_index: int
    version: int


def recover(records: list[messages.Record], new_name: str) -> Recovery:
    """Returns records that make a surviving disk the only voter.

    It votes under a new name, so that former voters that come back can
    count it in no quorum of theirs. What they accepted and this disk does
    not hold is lost; versions go on after a gap.
    """
    voter = agreements.Agreement(new_name, random.Random(0))
    voter.restore(records, datetime.timedelta(0))
    log = voter.log
    former = log.voters()
    last_index = log.last_index
    held = ledgers.Ledger()
    if log.snapshot.index:
        held.load(log.snapshot)
    for entry in log.entries:
        held.apply(entry)
    version = held.state.version
    term = voter.term + 1
    commands: list[messages.Command] = [messages.VoterChange([new_name])]
    if version:
        commands.append(messages.RaiseVersion(version + RECOVERY_GAP))
    for command in commands:
        entry = messages.Entry(log.last_index + 1, term, log.last_at, command)
        log.replace_from([entry])
    voter.voter = new_name
    voter.term = term
    voter.voted_for = None
    return Recovery(voter.all_records(), new_name, former, last_index, version)


@attrs.define
class Control:
    """Agreement and ledger of one disk.

    Proposals answered here come out as results for the proposal desk.
    """

    peers: membership.PeerTable
    agreement: agreements.Agreement
    ledger: ledgers.Ledger = attrs.field(factory=ledgers.Ledger)
    _awaited_by_index: dict[int, _Awaited] = attrs.field(factory=dict)
    _review_due: datetime.timedelta = datetime.timedelta(0)
    _led_since: datetime.timedelta = datetime.timedelta(0)
    _results: list[messages.ProposalResult] = attrs.field(factory=list)

    def restore(
        self, records: list[messages.Record], now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Loads the journal's records."""
        return self._convert(self.agreement.restore(records, now))

    def take_results(self) -> list[messages.ProposalResult]:
        """Returns the results that came up since the last call."""
        results, self._results = self._results, []
        return results

    def hears_quorum(self, now: datetime.timedelta) -> bool:
        """Returns whether this disk leads or heard a leader lately."""
        return self.agreement.hears_leader(now)

    def leader_instance(self) -> str | None:
        """Returns the instance of the leader, as far as it is known."""
        leader = self.agreement.leader
        return self.peers.instance_of_voter(leader) if leader else None

    # ---- Events ---------------------------------------------------------

    def tick(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Runs elections, heartbeats and the review of the voters."""
        result = self._convert(self.agreement.tick(now))
        if not self.agreement.leading:
            self._led_since = now
        if self.agreement.leading and now >= self._review_due:
            self._review_due = now + VOTER_REVIEW_EVERY
            result += self._review_voters(now)
        return result

    def receive(
        self, addressed: messages.Addressed, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Handles an agreement message; one for another disk is dropped."""
        if addressed.voter != self.agreement.voter:
            return []
        return self._convert(self.agreement.handle(addressed.message, now))

    def synced(
        self, index: int, term: int, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Notes that the log is on disk up to an entry."""
        return self._convert(self.agreement.synced(index, term, now))

    def propose(
        self, proposal: messages.Proposal, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Appends a command, or reads, as the leader."""
        if isinstance(proposal.command, messages.ReadVersion):
            output = self.agreement.read(proposal.proposal, now)
            if output is None:
                return self._no_result(proposal)
            return self._convert(output)
        if len(self._awaited_by_index) >= WAITING_LIMIT:
            return self._no_result(proposal)
        index, output = self.agreement.propose(proposal.command, now)
        self._awaited_by_index[index] = _Awaited(
            proposal.proposal, self.agreement.term
        )
        return self._convert(output)

    def _no_result(self, proposal: messages.Proposal) -> list[effects.Effect]:
        self._results.append(
            messages.ProposalResult(proposal.proposal, messages.Undecided())
        )
        return []

    # ---- Outputs --------------------------------------------------------

    def _convert(self, output: agreements.Output) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        sends = []
        for addressed in output.sends:
            instance = self.peers.instance_of_voter(addressed.voter)
            if instance is not None:
                sends.append(effects.SendPeer(instance, addressed))
        if output.records or sends:
            log = self.agreement.log
            result.append(
                effects.Durable(
                    output.records, sends, log.last_index, log.last_term
                )
            )
        if output.restored is not None:
            self.ledger.load(output.restored)
        for entry in output.committed:
            self._apply(entry)
        for read in output.confirmed_reads:
            outcome = messages.VersionInForce(
                self.ledger.state.version, self.ledger.state.routes_version
            )
            self._results.append(messages.ProposalResult(read, outcome))
        if output.committed:
            result += self._compact()
        return result

    def _apply(self, entry: messages.Entry) -> None:
        outcome = self.ledger.apply(entry)
        awaited = self._awaited_by_index.pop(entry.index, None)
        if awaited is None:
            return
        same = awaited.term == entry.term
        self._results.append(
            messages.ProposalResult(
                awaited.proposal, outcome if same else messages.Undecided()
            )
        )

    def _compact(self) -> list[effects.Effect]:
        applied = self.ledger.applied_index
        held = applied - self.agreement.log.snapshot.index
        if held < SNAPSHOT_EVERY_ENTRIES:
            return []
        self.agreement.compact(applied, self.ledger.dump())
        return [effects.RewriteJournal(self.agreement.all_records())]

    # ---- Voters ---------------------------------------------------------

    def _review_voters(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Drops voters whose disk was replaced; votes live disks in."""
        voters = self.agreement.voters
        lost = [voter for voter in voters if self._disk_is_lost(voter, now)]
        if not lost and len(voters) > FEWEST_VOTERS:
            lost = [voter for voter in voters if self._is_gone(voter, now)]
        if lost:
            kept = [voter for voter in voters if voter != lost[0]]
            return self._change_voters(kept, now)
        learner = self._next_learner(now)
        self.agreement.set_learners({learner} if learner else set(), now)
        if learner and self.agreement.caught_up(learner, now):
            return self._change_voters([*voters, learner], now)
        return []

    def _change_voters(
        self, voters: list[str], now: datetime.timedelta
    ) -> list[effects.Effect]:
        output = self.agreement.propose_voters(voters, now)
        if output is None:
            return []
        changed = effects.StateChanged(
            "voters changed", (("voters", ",".join(sorted(voters))),)
        )
        return [*self._convert(output), changed]

    def _disk_is_lost(self, voter: str, now: datetime.timedelta) -> bool:
        """Returns whether the voter's instance is back with another disk."""
        instance = voter.rpartition(".")[0]
        known = self.peers.by_instance.get(instance)
        if known is None or not self.peers.is_live(instance, now):
            return False
        return known.peer.voter != voter

    def _is_gone(self, voter: str, now: datetime.timedelta) -> bool:
        """Returns whether a voter was not heard for too long."""
        if voter == self.agreement.voter:
            return False
        instance = self.peers.instance_of_voter(voter)
        known = self.peers.by_instance.get(instance or "")
        if known is None or known.heard_at is None:
            return now - self._led_since > VOTER_SILENCE
        return now - known.heard_at > VOTER_SILENCE

    def _next_learner(self, now: datetime.timedelta) -> str | None:
        """Returns the disk to vote in next: fewest voters in its place."""
        voters = set(self.agreement.voters)
        if len(voters) >= VOTERS_LIMIT:
            return None
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
        if not candidates:
            return None
        chosen = min(
            candidates,
            key=lambda peer: (
                count_by_data_centre.get(peer.data_centre, 0),
                peer.instance,
            ),
        )
        return chosen.voter
