"""Consensus among voters, fuzzed against a record of committed entries."""

import datetime
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from figford import agreement
from figford import control
from figford import messages
from figford.tests import test_controller

VOTERS = ["a.1", "b.1", "c.1"]
STEP = datetime.timedelta(milliseconds=50)


class Member:
    """A voter and its simulated disk, which keeps only synced records."""

    def __init__(self, voter, records):
        self.voter = voter
        self.disk = list(records)
        self.unsynced = []
        self.start_count = 0
        self.start(datetime.timedelta(0))

    def start(self, now):
        self.start_count += 1
        rng = random.Random(f"{self.voter}{self.start_count}")
        self.agreement = agreement.Agreement(self.voter, rng)
        self.agreement.restore(self.disk, now)
        self.unsynced = []
        self.applied = self.agreement.commit_index


def voter_records(voter):
    first = messages.Entry(
        1, 1, datetime.timedelta(0), messages.VoterChange(VOTERS)
    )
    return [
        messages.Identity(voter),
        messages.HardState(1, None),
        messages.Appended([first]),
    ]


class Oracle:
    """The list of committed entries, and what members send and write."""

    def take(self, member, output):
        member.unsynced.append((output.records, output.sends))
        for entry in output.committed:
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, "two entries committed at one index"

    def sync(self, member):
        batches, member.unsynced = member.unsynced, []
        for records, sends in batches:
            member.disk.extend(records)
            for addressed in sends:
                self.network.append((member.voter, addressed))
        log = member.agreement.log
        self.take(
            member,
            member.agreement.synced(log.last_index, log.last_term, self.now),
        )


class Cluster(Oracle, stateful.RuleBasedStateMachine):
    """Three voters; the oracle is the list of committed entries."""

    def __init__(self):
        super().__init__()
        self.now = datetime.timedelta(0)
        self.members = {v: Member(v, voter_records(v)) for v in VOTERS}
        self.network = []
        self.committed = {}
        self.acknowledged = {}
        self.cut = set()
        self.proposed = 0

    @stateful.rule(
        voter=strategies.sampled_from(VOTERS),
        steps=strategies.integers(1, 40),
    )
    def pass_time(self, voter, steps):
        self.now += STEP * steps
        member = self.members[voter]
        self.take(member, member.agreement.tick(self.now))

    @stateful.rule(voter=strategies.sampled_from(VOTERS))
    def sync_disk(self, voter):
        self.sync(self.members[voter])

    @stateful.rule(data=strategies.data())
    def deliver(self, data):
        if not self.network:
            return
        index = data.draw(strategies.integers(0, len(self.network) - 1))
        self.pass_message(index)

    @stateful.rule()
    def deliver_all_and_sync(self):
        for _ in range(20):
            for member in self.members.values():
                self.sync(member)
            if not self.network:
                return
            while self.network:
                self.pass_message(0)

    def pass_message(self, index):
        source, addressed = self.network.pop(index)
        if frozenset((source, addressed.voter)) in self.cut:
            return
        member = self.members[addressed.voter]
        self.take(member, member.agreement.handle(addressed.message, self.now))

    @stateful.rule(voter=strategies.sampled_from(VOTERS))
    def propose(self, voter):
        member = self.members[voter]
        if not member.agreement.leading:
            return
        self.proposed += 1
        command = messages.Submit(f"s{self.proposed}", 0, {}, voter)
        self.take(member, member.agreement.propose(command, self.now)[1])

    @stateful.rule(voter=strategies.sampled_from(VOTERS))
    def crash(self, voter):
        self.members[voter].start(self.now)

    @stateful.rule(voter=strategies.sampled_from(VOTERS))
    def compact(self, voter):
        chosen = self.members[voter].agreement
        self.take(
            self.members[voter], chosen.compact(chosen.commit_index, b"")
        )

    @stateful.rule(pair=strategies.sampled_from([(0, 1), (0, 2), (1, 2)]))
    def cut_or_heal(self, pair):
        key = frozenset((VOTERS[pair[0]], VOTERS[pair[1]]))
        self.cut ^= {key}

    @stateful.invariant()
    def one_leader_per_term(self):
        terms = [
            member.agreement.term
            for member in self.members.values()
            if member.agreement.leading
        ]
        assert len(terms) == len(set(terms))

    @stateful.invariant()
    def log_time_never_goes_back(self):
        for member in self.members.values():
            times = [entry.at for entry in member.agreement.log.entries]
            assert times == sorted(times)

    def teardown(self):
        """Once all is well, everything committed is still there."""
        self.cut = set()
        for _ in range(400):
            self.now += STEP
            for member in self.members.values():
                self.take(member, member.agreement.tick(self.now))
                self.sync(member)
            while self.network:
                self.pass_message(0)
        leaders = [
            m.agreement for m in self.members.values() if m.agreement.settled
        ]
        assert len(leaders) == 1
        log = leaders[0].log
        for index, entry in self.committed.items():
            if index > log.snapshot.index:
                assert log.entries[index - log.snapshot.index - 1] == entry


Cluster.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
)
TestCluster = Cluster.TestCase


def elected_leader(voter="a.1"):
    member = Member(voter, control.bootstrap_records(voter))
    now = datetime.timedelta(seconds=5)
    member.agreement.tick(now)
    return member.agreement, now


def test_single_voter_commits_only_after_sync():
    leader, now = elected_leader()
    assert leader.leading
    assert not leader.settled
    output = leader.synced(leader.log.last_index, leader.log.last_term, now)
    assert [entry.index for entry in output.committed] == [1, 2]
    assert leader.settled


def test_voters_change_one_at_a_time():
    leader, now = elected_leader()
    leader.synced(leader.log.last_index, leader.log.last_term, now)
    with pytest.raises(AssertionError):
        leader.propose_voters(["a.1", "b.1", "c.1"], now)
    assert leader.propose_voters(["a.1", "b.1"], now) is not None
    # The first change is not committed yet, so a second is refused.
    assert leader.propose_voters(["a.1"], now) is None


def test_replica_with_a_blank_disk_starts_no_election():
    blank = agreement.Agreement("a.2", random.Random(1))
    blank.restore([messages.Identity("a.2")], datetime.timedelta(0))
    output = blank.tick(datetime.timedelta(hours=1))
    assert output.sends == []


def test_leader_cut_off_steps_down():
    leader, now = elected_leader()
    leader.synced(leader.log.last_index, leader.log.last_term, now)
    leader.propose_voters(["a.1", "b.1"], now)
    later = now + agreement.ELECTION_TIMEOUT * 3
    leader.tick(later)
    leader.tick(later + agreement.ELECTION_TIMEOUT * 2)
    assert not leader.leading


def test_log_time_is_not_the_leaders_clock():
    leader, now = elected_leader()
    leader.synced(leader.log.last_index, leader.log.last_term, now)
    index, _ = leader.propose(
        messages.Noop(), now + datetime.timedelta(seconds=7)
    )
    entry = leader.log.entries[index - 1]
    assert entry.at == datetime.timedelta(seconds=7)


@pytest.mark.parametrize("known", [False, True])
def test_a_leader_of_two_is_replaced_once_another_knows_a_third(known):
    """A leader tells of three voters before another voter knows them."""
    cluster = Cluster()
    first = messages.Entry(
        1, 1, datetime.timedelta(0), messages.VoterChange(["a.1", "b.1"])
    )
    for voter in ("a.1", "b.1"):
        records = [*voter_records(voter)[:2], messages.Appended([first])]
        cluster.members[voter] = Member(voter, records)
    cluster.members["c.1"] = Member("c.1", [messages.Identity("c.1")])
    leader = cluster.members["a.1"]
    cluster.pass_time("a.1", 40)
    cluster.deliver_all_and_sync()
    cluster.pass_time("a.1", 10)
    leader.agreement.set_learners({"c.1"}, cluster.now)
    cluster.deliver_all_and_sync()
    change = leader.agreement.propose_voters(VOTERS, cluster.now)
    cluster.take(leader, change)
    if known:
        cluster.deliver_all_and_sync()
    assert leader.agreement.voters == VOTERS
    cluster.cut = {frozenset(("a.1", other)) for other in ("b.1", "c.1")}
    for _ in range(100):
        for voter in ("b.1", "c.1"):
            cluster.pass_time(voter, 20)
        cluster.deliver_all_and_sync()
    others = [cluster.members[voter].agreement for voter in ("b.1", "c.1")]
    assert any(other.leading for other in others) is known


def pre_vote_times(member: Member, seconds: float) -> list[datetime.timedelta]:
    """Returns when a voter whose messages are lost asks for pre-votes."""
    step = datetime.timedelta(milliseconds=10)
    now = datetime.timedelta(0)
    times = []
    while now < datetime.timedelta(seconds=seconds):
        now += step
        if any(
            isinstance(sent.message, messages.VoteRequest)
            for sent in member.agreement.tick(now).sends
        ):
            times.append(now)
    return times


@pytest.mark.parametrize("voter", VOTERS)
def test_a_failed_first_election_is_soon_followed_by_another(voter) -> None:
    """All voters restarted, and two of them split the first votes."""
    times = pre_vote_times(Member(voter, voter_records(voter)), 8)
    waits = [after - before for before, after in zip(times, times[1:])]
    assert waits[0] <= 2 * agreement.FIRST_ELECTION_TIMEOUT + STEP
    assert waits[-1] >= agreement.ELECTION_TIMEOUT


@pytest.mark.parametrize("wiped", ["c1", "c2", "c3"])
def test_survivors_of_a_restart_elect_a_leader_soon(wiped) -> None:
    """All controllers restart and one has lost its disk."""
    waits = sorted(restart_wait(seed, wiped) for seed in range(20))
    # Before, one in five took longer than an ordinary election.
    assert waits[17] <= 2 * agreement.ELECTION_TIMEOUT


def restart_wait(seed: int, wiped: str) -> datetime.timedelta:
    """Returns how long it takes until a controller leads."""
    net = test_controller.Net(seed=seed)
    net.run(6)
    for name in test_controller.CONTROLLERS:
        net.kill(name)
    del net.disk_by_name[wiped]
    for name in test_controller.CONTROLLERS:
        net.start(name)
    started_at = net.now
    while not any(
        net.process_by_name[name].state.is_settled_leader
        for name in test_controller.CONTROLLERS
    ):
        net.run(0.02)
    return net.now - started_at
