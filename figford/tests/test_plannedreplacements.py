"""A disk is lost just after a controller was replaced as planned.

From the moment at which a successor has run for `CATCH_UP`, the controller
that it replaces may end, and any one of the others may lose its disk: what was
acknowledged is read back, and changes are acknowledged again.
"""

import itertools

import attrs
import pytest

from figford import controllerdaemon
from figford import messages
from figford.tests import test_controller
from figford.tests import test_voterchanges

CATCH_UP_SECONDS = test_voterchanges.CATCH_UP.total_seconds()
SUCCESSOR = "c9"
# A lost disk's machine restarts after this long.
RESTART_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
STOP_DELAY_SECONDS = controllerdaemon.STOP_DELAY.total_seconds()
# The longest time for which a stopping process waits for the others.
LONGEST_STOP_SECONDS = 2.0
TICK_SECONDS = 0.02
REPLACEMENTS_IN_SERIES = 4
PAUSES_SECONDS = (0.0, 0.5, 1.9, 2.1)


def end_gracefully(net: test_controller.Net, name: str) -> None:
    """Stops a controller as SIGTERM does, and ends its process."""
    process = net.process_by_name[name]
    net.carry_out(process, process.state.begin_stop(net.now))
    net.run(STOP_DELAY_SECONDS)
    end = net.now + LONGEST_STOP_SECONDS * test_controller.SECOND
    while net.now < end and not process.state.may_end(net.now):
        net.run(TICK_SECONDS)
    net.kill(name)
    net.controllers.discard(name)


def end_suddenly(net: test_controller.Net, name: str) -> None:
    """Kills a controller, which says nothing before it ends."""
    net.kill(name)
    net.controllers.discard(name)


def freeze_and_end(net: test_controller.Net, name: str) -> None:
    """Ends a controller that was suspended before; its links stayed open."""
    net.process_by_name.pop(name)
    net.run(0.3)
    net.kill(name)
    net.controllers.discard(name)


def cut_off(net: test_controller.Net, name: str) -> None:
    """Cuts a controller off for good; it goes on running."""
    for other in net.process_by_name:
        net.cut.add(frozenset((name, other)))
    net.controllers.discard(name)


ENDS = {
    "SIGTERM": end_gracefully,
    "killed": end_suddenly,
    "frozen": freeze_and_end,
    "cut": cut_off,
}


@attrs.define
class Planned:
    """A deployment in which one controller's successor has started."""

    replacement: test_voterchanges.Replacement

    @property
    def net(self) -> test_controller.Net:
        """Returns the processes and the network."""
        return self.replacement.net

    def pick(self, role: str) -> str:
        """Returns a controller with a role; any one if nobody leads."""
        leader = self.replacement.leader()
        if leader is None:
            return self.net.rng.choice(self.replacement.live())
        followers = [
            name
            for name in self.replacement.live()
            if name not in (leader, SUCCESSOR)
        ]
        by_role = {
            "leader": leader,
            "follower": self.net.rng.choice(followers or [leader]),
            "successor": SUCCESSOR,
        }
        return by_role[role]

    def lose_disk(self, name: str) -> None:
        """Ends a controller; it restarts with an empty disk."""
        self.net.wipe(name)
        self.net.run(RESTART_SECONDS)
        self.net.start(name)

    def check(self) -> None:
        """Checks that the state is read back and can be changed."""
        last = self.replacement.last_acknowledged
        assert self.replacement.commit(RECOVERY_SECONDS)
        assert self.replacement.read() >= last


def make(seed: int, successor_seconds: float = CATCH_UP_SECONDS) -> Planned:
    """Returns a deployment whose successor has run for some seconds."""
    planned = Planned(test_voterchanges.make(seed))
    planned.net.start_controller(SUCCESSOR)
    planned.net.run(successor_seconds)
    return planned


@pytest.mark.parametrize(
    "replaced, lost, pause_seconds",
    list(
        itertools.product(
            ("leader", "follower"),
            ("leader", "follower", "successor"),
            PAUSES_SECONDS,
        )
    ),
)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("seed", range(2))
def test_a_disk_lost_after_a_planned_replacement_is_borne(
    seed: int, end: str, replaced: str, lost: str, pause_seconds: float
) -> None:
    """The controller that ended kept its vote for seconds of silence."""
    planned = make(seed)
    ENDS[end](planned.net, planned.pick(replaced))
    planned.net.run(pause_seconds)
    planned.lose_disk(planned.pick(lost))
    planned.check()


@pytest.mark.parametrize("seed", range(6))
def test_two_planned_replacements_in_a_row_bear_a_lost_disk(
    seed: int,
) -> None:
    """Each one leaves a vote to the next."""
    planned = make(seed)
    end_gracefully(planned.net, planned.pick("leader"))
    planned.net.start_controller("c8")
    planned.net.run(CATCH_UP_SECONDS)
    end_gracefully(planned.net, planned.pick("follower"))
    planned.lose_disk(planned.pick("leader"))
    planned.check()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("replaced", ["leader", "follower"])
def test_a_stop_before_the_successor_has_a_vote_is_borne(
    seed: int, replaced: str
) -> None:
    """The successor gets its vote while the other one stops, or after it."""
    planned = make(seed, planned_boot_seconds(seed))
    gone = planned.pick(replaced)
    end_gracefully(planned.net, gone)
    planned.net.run(CATCH_UP_SECONDS - planned_boot_seconds(seed))
    planned.lose_disk(planned.pick("leader"))
    planned.check()


def planned_boot_seconds(seed: int) -> float:
    """Returns how long a successor has run when the other one stops."""
    return 0.02 + 0.1 * seed


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("with_successor", [False, True])
def test_a_restarted_controller_votes_again(
    seed: int, with_successor: bool
) -> None:
    """A planned restart costs the vote only until the process is back."""
    replacement = test_voterchanges.make(seed)
    planned = Planned(replacement)
    if with_successor:
        planned.net.start_controller(SUCCESSOR)
        planned.net.run(CATCH_UP_SECONDS)
    before = replacement.voters()
    for role in ("leader", "follower"):
        name = planned.pick(role)
        end_gracefully(planned.net, name)
        planned.net.run(RESTART_SECONDS)
        planned.net.start_controller(name)
        planned.net.run(CATCH_UP_SECONDS)
        assert replacement.voters() == before
    planned.check()


@pytest.mark.parametrize("seed", range(4))
def test_a_stopping_leader_leaves_no_time_without_one(seed: int) -> None:
    """The others waited for an election timeout after its end."""
    planned = Planned(test_voterchanges.make(seed))
    end_gracefully(planned.net, planned.pick("leader"))
    assert planned.replacement.leader() is not None
    name = planned.replacement.leader()
    proposal = planned.net.read(name)
    planned.net.run(0.2)
    outcome = planned.net.outcome(name, proposal)
    assert isinstance(outcome, messages.VersionInForce)


@pytest.mark.parametrize("seed", range(4))
def test_controllers_that_all_stop_do_not_wait_for_each_other(
    seed: int,
) -> None:
    """With a spare voter they waited until the time for the stop was up."""
    planned = make(seed)
    for process in list(planned.net.process_by_name.values()):
        if process.name in planned.net.controllers:
            new_effects = process.state.begin_stop(planned.net.now)
            planned.net.carry_out(process, new_effects)
    planned.net.run(STOP_DELAY_SECONDS)
    for name in planned.replacement.live():
        assert planned.net.process_by_name[name].state.may_end(planned.net.now)


@pytest.mark.parametrize("seed", range(8))
def test_each_planned_replacement_of_a_series_bears_a_lost_disk(
    seed: int,
) -> None:
    """The kind of end, the lost disk and the time between are drawn."""
    replacement = test_voterchanges.make(seed)
    planned = Planned(replacement)
    rng = planned.net.rng
    for number in range(REPLACEMENTS_IN_SERIES):
        planned.net.start_controller(f"s{number}")
        planned.net.run(CATCH_UP_SECONDS)
        gone = replacement.draw_victim()
        ENDS[rng.choice(sorted(ENDS))](planned.net, gone)
        planned.net.run(rng.uniform(0.0, 2.5))
        planned.lose_disk(rng.choice(replacement.live()))
        planned.check()
        # Of one that was cut off, which reaches later controllers.
        planned.net.kill(gone)
        planned.net.run(CATCH_UP_SECONDS)


@pytest.mark.parametrize("replaced", ["leader", "follower"])
@pytest.mark.parametrize("seed", range(6))
def test_a_controller_ends_only_once_nobody_needs_its_vote(
    seed: int, replaced: str
) -> None:
    """It ended as the change that removes it was begun, not committed."""
    planned = make(seed)
    gone = planned.pick(replaced)
    voter = planned.net.process_by_name[gone].state.me.voter
    end_gracefully(planned.net, gone)
    leader = planned.replacement.leader()
    agreement = planned.net.process_by_name[leader].state.control.agreement
    assert voter not in agreement.members


@pytest.mark.parametrize("returns_seconds", [0.0, 0.6, 1.5, 6.0])
@pytest.mark.parametrize("pause_seconds", PAUSES_SECONDS)
@pytest.mark.parametrize("replaced", ["leader", "follower"])
def test_a_replaced_controller_that_is_back_once_more_does_no_harm(
    replaced: str, pause_seconds: float, returns_seconds: float
) -> None:
    """It was killed, and returns with its old vote around the lost disk."""
    planned = make(1)
    net = planned.net
    gone = planned.pick(replaced)
    net.kill(gone)
    net.run(pause_seconds)
    others = [name for name in planned.replacement.live() if name != gone]
    victim = net.rng.choice(others)
    net.wipe(victim)
    net.run(returns_seconds)
    net.start(gone)
    net.run(max(0.0, RESTART_SECONDS - returns_seconds))
    net.start(victim)
    planned.check()
