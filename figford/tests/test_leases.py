"""The planner lease: at most one holder, found in time despite failures."""

import datetime
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from figford import effects
from figford import leases
from figford import messages
from figford import planning

TICK = datetime.timedelta(milliseconds=50)
NAMES = ["a", "b", "c", "d", "e"]


class Electorate:
    """Entries of one data centre with a witness, in virtual time.

    A message takes one tick, so that concurrent requests cross.
    """

    def __init__(self, count, seed):
        self.now = datetime.timedelta(seconds=100)
        self.names = NAMES[:count]
        self.rng = random.Random(seed)
        self.entries = {name: self.make_entry(name, 1) for name in self.names}
        self.witness = leases.LeaseVoter(self.now, waits_after_start=False)
        self.witness_reachable = True
        self.alive = set(self.names)
        self.network = []

    def make_entry(self, name, incarnation):
        rng = random.Random(self.rng.random())
        return planning.Planning(name, incarnation, "dc", rng, self.now)

    def restart(self, name):
        old = self.entries[name].incarnation
        self.entries[name] = self.make_entry(name, old + 1)

    def step(self, reachable):
        self.now += TICK
        arriving, self.network = self.network, []
        for source, target, message in arriving:
            if target in self.alive and reachable(source, target):
                self.deliver(source, target, message)
        for name in sorted(self.alive):
            entry = self.entries[name]
            self.send(name, entry.tick(self.names, self.now))
            self.ask_witness(entry)
        holders = [
            name
            for name in self.names
            if name in self.alive and self.entries[name].holds(self.now)
        ]
        assert len(holders) <= 1
        return holders

    def send(self, source, new_effects):
        for effect in new_effects:
            if isinstance(effect, effects.SendPeer):
                self.network.append((source, effect.instance, effect.message))

    def deliver(self, source, target, message):
        entry = self.entries[target]
        if isinstance(message, messages.LeaseRequest):
            vote = entry.answer(message, self.now)
            self.network.append((target, source, vote))
        else:
            self.send(target, entry.count_vote(message, self.names, self.now))

    def ask_witness(self, entry):
        asked = entry.witness_command(self.names)
        if asked is None or not self.witness_reachable:
            return
        round_, command = asked
        name, _, incarnation = command.candidate.partition("@")
        request = messages.LeaseRequest(
            "dc",
            name,
            int(incarnation),
            command.number,
            round_,
            command.duration,
        )
        granted = self.witness.vote(request, self.now)
        reply = messages.WitnessReply(granted, self.witness.number)
        entry.witness_replied(round_, reply, self.names, self.now)

    def wait_for_holder(self, seconds, reachable=lambda *_: True):
        for _ in range(int(seconds / TICK.total_seconds())):
            holders = self.step(reachable)
            if holders:
                return holders[0]
        return None


@pytest.mark.parametrize("count", [1, 2, 3, 4, 5])
@pytest.mark.parametrize("seed", range(10))
def test_another_entry_takes_over_when_the_holder_is_lost(count, seed):
    electorate = Electorate(count, seed)
    first = electorate.wait_for_holder(20)
    assert first is not None
    if count == 1:
        return
    number = electorate.entries[first].candidate.number
    electorate.alive.discard(first)
    second = electorate.wait_for_holder(20)
    assert second not in (None, first)
    assert electorate.entries[second].candidate.number > number


@pytest.mark.parametrize("seed", range(20))
def test_one_of_two_remaining_entries_wins_when_requests_cross(seed):
    """The remaining two of three entries need the votes of both."""
    electorate = Electorate(3, seed)
    electorate.alive = {"a", "b"}
    assert electorate.wait_for_holder(20) is not None
    # Votes that expire at different times must not block both candidates.
    for entry in electorate.entries.values():
        entry.candidate.release()
    electorate.entries["a"].voter.expires_at += datetime.timedelta(seconds=2)
    assert electorate.wait_for_holder(20) is not None


@pytest.mark.parametrize("seed", range(20))
def test_split_votes_of_five_are_resolved(seed):
    electorate = Electorate(5, seed)
    electorate.alive = {"a", "b", "c", "d"}
    pairs = ({"a", "b"}, {"c", "d"})
    cut_in_pairs = electorate.wait_for_holder(
        15, lambda one, other: any({one, other} <= pair for pair in pairs)
    )
    assert cut_in_pairs is None
    assert electorate.wait_for_holder(30) is not None


def test_two_entries_cut_off_together_need_no_witness():
    electorate = Electorate(2, 1)
    electorate.witness_reachable = False
    assert electorate.wait_for_holder(20)


def test_one_entry_of_two_needs_the_witness():
    electorate = Electorate(2, 1)
    electorate.alive = {"a"}
    electorate.witness_reachable = False
    assert electorate.wait_for_holder(20) is None
    electorate.witness_reachable = True
    assert electorate.wait_for_holder(20) == "a"


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_lease_is_kept_without_failures(count):
    electorate = Electorate(count, 3)
    first = electorate.wait_for_holder(20)
    for _ in range(1200):
        assert electorate.step(lambda *_: True) == [first]


def test_restarted_voter_waits_out_a_lease():
    voter = leases.LeaseVoter(datetime.timedelta(seconds=10))
    request = messages.LeaseRequest("dc", "a", 1, 5, 1, leases.DURATION)
    early = datetime.timedelta(seconds=10) + leases.DURATION / 2
    assert not voter.vote(request, early)
    assert voter.vote(
        request, datetime.timedelta(seconds=10) + leases.DURATION
    )


def test_vote_for_an_earlier_incarnation_does_not_count():
    candidate = leases.LeaseCandidate("a", 2, "dc", random.Random(1))
    now = datetime.timedelta(seconds=10)
    later = now + leases.CANDIDACY_JITTER
    candidate.next_request(now, True)
    request = candidate.next_request(later, True)
    late = messages.LeaseVote("b", "a", 1, request.round, True, 1)
    for voter in ("b", "c"):
        candidate.count_vote(
            messages.LeaseVote(voter, "a", 1, late.round, True, 1),
            ["a", "b", "c"],
            later,
        )
    assert not candidate.holds(later)


@settings(max_examples=120, derandomize=True, deadline=None)
@given(data=strategies.data())
def test_never_two_holders(data):
    count = data.draw(strategies.integers(2, 4))
    electorate = Electorate(count, data.draw(strategies.integers(0, 99)))
    cut = set()
    for _ in range(data.draw(strategies.integers(1, 12))):
        name = data.draw(strategies.sampled_from(electorate.names))
        other = data.draw(strategies.sampled_from(electorate.names))
        match data.draw(strategies.sampled_from(["restart", "cut", "lose"])):
            case "restart":
                electorate.restart(name)
            case "cut":
                cut ^= {frozenset((name, other))}
            case "lose":
                electorate.alive ^= {name}
        for _ in range(data.draw(strategies.integers(1, 160))):
            electorate.step(lambda a, b: frozenset((a, b)) not in cut)
