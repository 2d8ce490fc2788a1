"""Voters change and lose their disks, fuzzed against the committed entries.

So many disks are lost at once as the deployment tolerates. Whatever is cut off
or restarts meanwhile, nothing that was committed is lost or replaced.
"""

import datetime

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from figford import control
from figford import messages
from figford.tests import test_agreement

STEP = test_agreement.STEP
MAX_VOTERS = 7


class ChangingCluster(test_agreement.Oracle, stateful.RuleBasedStateMachine):
    """Voters that are added, removed, cut off, restarted and wiped."""

    founder_count = 4
    tolerance = 1

    def __init__(self):
        super().__init__()
        self.now = datetime.timedelta(0)
        names = [f"{name}.0" for name in "abcdefg"[: self.founder_count]]
        self.members = {}
        self.generation = 0
        self.lost = set()
        for voter in names:
            self.add(voter, control.bootstrap_records(voter, names))
        self.network = []
        self.committed = {}
        self.cut = set()
        self.proposed = 0

    def add(self, voter, records):
        member = test_agreement.Member(voter, records)
        member.agreement.minimum_quorum = self.tolerance + 1
        self.members[voter] = member

    def draw(self, data):
        return self.members[
            data.draw(strategies.sampled_from(sorted(self.members)))
        ]

    def leaders(self):
        return [
            member
            for member in self.members.values()
            if member.agreement.settled
        ]

    @stateful.rule(data=strategies.data(), steps=strategies.integers(1, 40))
    def pass_time(self, data, steps):
        self.now += STEP * steps
        member = self.draw(data)
        self.take(member, member.agreement.tick(self.now))

    @stateful.rule(data=strategies.data())
    def sync_disk(self, data):
        self.sync(self.draw(data))

    @stateful.rule(data=strategies.data())
    def deliver(self, data):
        if self.network:
            last = len(self.network) - 1
            self.pass_message(data.draw(strategies.integers(0, last)))

    @stateful.rule(count=strategies.integers(1, 12))
    def deliver_some_and_sync(self, count):
        for _ in range(count):
            for member in list(self.members.values()):
                self.sync(member)
            for _ in range(len(self.network)):
                self.pass_message(0)

    @stateful.rule(steps=strategies.integers(5, 60))
    def run(self, steps):
        """All run on, so that leaders are elected where they can be."""
        for _ in range(steps):
            self.now += STEP
            for member in list(self.members.values()):
                self.take(member, member.agreement.tick(self.now))
                self.sync(member)
            for _ in range(len(self.network)):
                self.pass_message(0)

    def pass_message(self, index):
        source, addressed = self.network.pop(index)
        member = self.members.get(addressed.voter)
        is_cut = frozenset((source, addressed.voter)) in self.cut
        if member is None or source not in self.members or is_cut:
            return
        self.take(member, member.agreement.handle(addressed.message, self.now))

    @stateful.rule(data=strategies.data())
    def propose(self, data):
        member = self.draw(data)
        if member.agreement.leading:
            self.proposed += 1
            command = messages.Submit(f"s{self.proposed}", 0, {}, "a")
            self.take(member, member.agreement.propose(command, self.now)[1])

    @stateful.rule(data=strategies.data())
    def crash(self, data):
        member = self.draw(data)
        known = member.agreement.lost_voters
        member.start(self.now)
        member.agreement.minimum_quorum = self.tolerance + 1
        member.agreement.lost_voters = known

    @stateful.rule(data=strategies.data())
    def cut_or_heal(self, data):
        one, other = self.draw(data).voter, self.draw(data).voter
        if one != other:
            self.cut ^= {frozenset((one, other))}

    @stateful.rule()
    def heal(self):
        self.cut.clear()

    @stateful.rule(data=strategies.data())
    def change_voters(self, data):
        """The leader adds a learner or removes any voter, one at a time."""
        for member in self.leaders():
            chosen = member.agreement
            learners = set(self.members) - set(chosen.voters)
            chosen.set_learners(learners, self.now)
            ready = sorted(
                voter
                for voter in learners
                if chosen.caught_up(voter, self.now)
            )
            changes = [
                [*chosen.voters, voter]
                for voter in ready
                if len(chosen.voters) < MAX_VOTERS
            ]
            if len(chosen.voters) > 2 * self.tolerance + 1:
                changes += [
                    [other for other in chosen.voters if other != voter]
                    for voter in chosen.voters
                    if voter != chosen.voter
                ]
            if changes:
                change = data.draw(strategies.sampled_from(changes))
                output = chosen.propose_voters(change, self.now)
                if output is not None:
                    self.take(member, output)

    @stateful.rule(data=strategies.data())
    def lose_disk(self, data):
        """A voter restarts with an empty disk, under a new name."""
        counted = set()
        for member in self.members.values():
            counted |= set(member.agreement.members) & self.lost
        if len(counted) >= self.tolerance:
            return
        victim = self.draw(data).voter
        # A new disk that has no vote yet is not one of those that count.
        if victim not in self.any_electorate():
            return
        del self.members[victim]
        self.lost.add(victim)
        self.generation += 1
        fresh = f"{victim.partition('.')[0]}.{self.generation}"
        self.add(fresh, [messages.Identity(fresh)])

    def any_electorate(self):
        found = set()
        for member in self.members.values():
            found |= set(member.agreement.members)
        return found

    @stateful.rule(data=strategies.data())
    def hear_of_lost_disks(self, data):
        member = self.draw(data)
        member.agreement.lost_voters = frozenset(self.lost)

    @stateful.invariant()
    def one_leader_per_term(self):
        terms = [
            member.agreement.term
            for member in self.members.values()
            if member.agreement.leading
        ]
        assert len(terms) == len(set(terms))

    def teardown(self):
        """Once all is well, everything committed is still there."""
        self.cut = set()
        for member in self.members.values():
            member.agreement.lost_voters = frozenset(self.lost)
        self.run(400)
        leaders = [member.agreement for member in self.leaders()]
        assert len(leaders) == 1
        for index, entry in self.committed.items():
            assert leaders[0].log.entries[index - 1] == entry


class LargerCluster(ChangingCluster):
    """Six voters, of which two may lose their disks at once."""

    founder_count = 6
    tolerance = 2


SETTINGS = settings(
    max_examples=80,
    stateful_step_count=80,
    deadline=None,
    derandomize=True,
)
ChangingCluster.TestCase.settings = SETTINGS
LargerCluster.TestCase.settings = SETTINGS
TestChangingCluster = ChangingCluster.TestCase
TestLargerCluster = LargerCluster.TestCase
