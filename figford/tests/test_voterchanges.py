"""Controllers are replaced one after another, in virtual time.

With one dead voter whose successor has run for `CATCH_UP`, any one more may
fail: the others still elect a leader, acknowledge changes and read them back.
"""

import datetime
import itertools

import attrs
import pytest

from figford import fleetmessages
from figford import messages
from figford.tests import test_controller

CATCH_UP = datetime.timedelta(seconds=4)
START_SECONDS = 3.0
# What the start of a process takes until it opens its links.
BOOT_SECONDS = (0.2, 1.2)
SUCCESSOR_SECONDS = (0.0, 2.0)
ELECTION_SECONDS = 8.0
REPLACEMENTS = 4
SEEDS = range(12)


@attrs.define
class Replacement:
    """Draws how controllers are lost and what happens beside it."""

    net: test_controller.Net
    numbers: itertools.count = attrs.field(factory=lambda: itertools.count(10))
    last_acknowledged: int = 0

    def live(self) -> list[str]:
        """Returns the controllers that run."""
        return sorted(self.net.controllers & set(self.net.process_by_name))

    def leader(self) -> str | None:
        """Returns the settled leader."""
        for name in self.live():
            if self.net.process_by_name[name].state.is_settled_leader:
                return name
        return None

    def voters(self) -> set[str]:
        """Returns the voters in the leader's log."""
        state = self.net.process_by_name[self.leader()].state
        return set(state.control.agreement.voters)

    def draw_victim(self) -> str:
        """Returns the leader or any other controller."""
        leader = self.leader()
        others = [name for name in self.live() if name != leader]
        if leader is not None and self.net.rng.random() < 0.4:
            return leader
        return self.net.rng.choice(others)

    def lose(self, name: str) -> str:
        """Ends a controller for good or with its disk; starts a successor.

        Returns the name of the successor.
        """
        rng = self.net.rng
        self.net.wipe(name)
        self.net.run(rng.uniform(*SUCCESSOR_SECONDS))
        if rng.random() < 0.3:
            successor = name
        else:
            self.net.controllers.discard(name)
            successor = f"c{next(self.numbers)}"
        return successor

    def start(self, successor: str) -> None:
        """Starts a successor, whose process needs a while to boot."""
        boot = self.net.rng.uniform(*BOOT_SECONDS)
        self.net.run(boot)
        self.net.start_controller(successor)
        self.net.run(CATCH_UP.total_seconds() - boot)

    def commit(self, timeout_seconds: float) -> bool:
        """Submits versions until one is acknowledged."""
        end = self.net.now + timeout_seconds * test_controller.SECOND
        while self.net.now < end:
            name = self.net.rng.choice(self.live())
            proposal = self.net.submit(name)
            version = self.net.submitted
            self.net.run(0.5)
            outcome = self.net.outcome(name, proposal)
            if isinstance(outcome, fleetmessages.RoutesStored):
                self.last_acknowledged = version
                return True
        return False

    def read(self) -> int:
        """Returns the version that a read confirms; 0 if none does."""
        for _ in range(20):
            name = self.net.rng.choice(self.live())
            proposal = self.net.read(name)
            self.net.run(1)
            outcome = self.net.outcome(name, proposal)
            if isinstance(outcome, messages.VersionInForce):
                return outcome.routes_version
        return 0


def make(seed: int, **options: object) -> Replacement:
    """Returns a deployment that has acknowledged a version."""
    net = test_controller.Net(
        seed, entries=("e1",), voter_silence_timeout=CATCH_UP / 2, **options
    )
    replacement = Replacement(net)
    net.run(START_SECONDS)
    assert replacement.commit(5)
    return replacement


@pytest.mark.parametrize("seed", SEEDS)
def test_a_second_loss_after_the_catch_up_time_is_borne(seed: int) -> None:
    """A dead voter counted beside its successor for longer than that."""
    replacement = make(seed)
    for _ in range(REPLACEMENTS):
        successor = replacement.lose(replacement.draw_victim())
        replacement.start(successor)
        last = replacement.last_acknowledged
        assert replacement.commit(ELECTION_SECONDS)
        assert replacement.last_acknowledged > last
    assert replacement.read() >= replacement.last_acknowledged


@pytest.mark.parametrize("seed", SEEDS)
def test_a_successor_that_dies_is_replaced_again(seed: int) -> None:
    """It may not have a vote beside the one whose place it takes."""
    replacement = make(seed)
    victim = replacement.draw_victim()
    first = replacement.lose(victim)
    replacement.net.start_controller(first)
    replacement.net.run(replacement.net.rng.uniform(0.1, 3.9))
    replacement.start(replacement.lose(first))
    assert replacement.commit(ELECTION_SECONDS)
    replacement.start(replacement.lose(replacement.draw_victim()))
    assert replacement.commit(ELECTION_SECONDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_voter_that_was_replaced_neither_votes_nor_disturbs(
    seed: int,
) -> None:
    """It was only cut off, and returns with its old log."""
    replacement = make(seed)
    net = replacement.net
    away = replacement.draw_victim()
    for other in net.process_by_name:
        net.cut.add(frozenset((away, other)))
    net.run(1)
    replacement.start("c10")
    assert replacement.commit(ELECTION_SECONDS)
    leader = replacement.leader()
    term = net.process_by_name[leader].state.control.agreement.term
    assert f"{away}.first" not in replacement.voters()
    net.cut.clear()
    net.run(0.2)
    assert replacement.leader() == leader
    net.run(CATCH_UP.total_seconds())
    agreement = net.process_by_name[leader].state.control.agreement
    assert (agreement.leading, agreement.term) == (True, term)
    # It is a voter again; the number of voters is even, and all are live.
    assert replacement.voters() >= {f"{away}.first"}
    net.kill(replacement.draw_victim())
    assert replacement.commit(ELECTION_SECONDS)


def test_a_leader_that_was_suspended_removes_no_voter() -> None:
    """It has not heard the others meanwhile, though they are well."""
    replacement = make(1)
    net = replacement.net
    net.start_controller("c10")
    net.run(3)
    leader = replacement.leader()
    before = replacement.voters()
    assert len(before) == 4
    suspended = net.process_by_name.pop(leader)
    net.run(CATCH_UP.total_seconds())
    net.process_by_name[leader] = suspended
    net.run(1)
    assert f"{leader}.first" in before
    assert suspended.state.control.agreement.leading is False
    net.run(CATCH_UP.total_seconds())
    assert replacement.voters() == before


def test_a_quorum_never_has_fewer_disks_than_may_be_lost() -> None:
    """Voters that are cut off one after another may return without disks."""
    founders = ("c1", "c2", "c3", "c4", "c5", "c6")
    replacement = make(2, founders=founders, fault_tolerance=2)
    net = replacement.net
    net.run(2)
    leader = replacement.leader()
    others = [name for name in replacement.live() if name != leader]
    for name in others[:3]:
        for other in net.process_by_name:
            net.cut.add(frozenset((name, other)))
        net.run(CATCH_UP.total_seconds() + 1)
    assert len(replacement.voters()) == 5


def test_two_learners_get_votes_though_one_of_them_hangs() -> None:
    """The one that is listed first does not keep the other waiting."""
    replacement = make(3)
    net = replacement.net
    net.start_controller("c0")
    net.process_by_name["c0"].unsynced = Hanging()
    net.run(0.5)
    successor = replacement.lose(replacement.draw_victim())
    replacement.start(successor)
    replacement.start(replacement.lose(successor))
    assert replacement.commit(ELECTION_SECONDS)


class Hanging(list):
    """Batches of a disk that never completes a write."""

    def __bool__(self) -> bool:
        """Returns false, so that nothing is written."""
        return False
