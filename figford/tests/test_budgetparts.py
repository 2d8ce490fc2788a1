"""The parts of the retry budget that entries use never exceed the whole.

Controllers and entries run in virtual time. An entry that is cut off uses the
part that it was told last.
"""

import random

import pytest

from figford import permitslots
from figford.tests.test_controller import CONTROLLERS
from figford.tests.test_controller import Net

ENTRIES = ("e1", "e2", "e3", "e4", "e5", "e6")
SITES = ({"c1", "e1", "e2"}, {"c2", "e3", "e4"}, {"c3", "e5", "e6"})
SEEDS = range(5)
ROUNDING = 1e-9


def used_parts(net: Net) -> float:
    """Returns the sum of the parts that all running entries use."""
    told = [
        net.process_by_name[name].status
        for name in net.entries
        if name in net.process_by_name
    ]
    return sum(1 / status.entries for status in told if status is not None)


def cut_site(net: Net, inside: set[str]) -> None:
    outside = (set(net.entries) | set(CONTROLLERS)) - inside
    net.cut |= {frozenset((a, b)) for a in inside for b in outside}


@pytest.fixture(name="net", params=SEEDS)
def fixture_net(request):
    net = Net(request.param, entries=ENTRIES)
    net.run(6)
    return net


def test_all_entries_together_have_the_whole_budget(net) -> None:
    assert used_parts(net) == pytest.approx(1.0)


def test_restarted_entries_take_no_part_of_others(net) -> None:
    rng = random.Random(net.seed)
    for _ in range(8):
        for name in rng.sample(ENTRIES, 4):
            net.kill(name)
        for _ in range(10):
            net.run(0.05)
            assert used_parts(net) <= 1.0 + ROUNDING
        for name in ENTRIES:
            if name not in net.process_by_name:
                net.start(name)
        for _ in range(20):
            net.run(0.05)
            assert used_parts(net) <= 1.0 + ROUNDING


def test_a_new_leader_counts_entries_that_it_never_heard(net) -> None:
    """It counted only those on its side of the cut."""
    inside = SITES[net.seed % 3]
    cut_site(net, inside)
    net.run(5)
    for name in CONTROLLERS:
        if name not in inside:
            net.kill(name)
            net.start(name)
    for _ in range(200):
        net.run(0.1)
        assert used_parts(net) <= 1.0 + ROUNDING


@pytest.mark.parametrize("seed", SEEDS)
def test_an_entry_that_is_cut_off_keeps_its_larger_part(seed: int) -> None:
    """Entries that joined meanwhile took equal parts besides."""
    net = Net(seed, entries=ENTRIES[:2])
    net.run(6)
    net.cut |= {frozenset(("e1", controller)) for controller in CONTROLLERS}
    net.run(4)
    net.entries = ENTRIES
    for name in ENTRIES[2:]:
        net.start(name)
    # News of the last one is on its way to the first ones.
    net.run(0.1)
    for _ in range(100):
        net.run(0.1)
        assert used_parts(net) <= 1.0 + ROUNDING


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_lost_for_good_leave_their_parts_to_others(seed: int) -> None:
    net = Net(seed, entries=ENTRIES)
    net.run(6)
    for name in ENTRIES[:4]:
        net.kill(name)
    net.run(permitslots.RESERVATION_TIME.total_seconds() + 5)
    assert used_parts(net) == pytest.approx(1.0)


def test_restarts_of_all_controllers_in_series(net) -> None:
    rng = random.Random(net.seed)
    for _ in range(6):
        net.cut.clear()
        cut_site(net, rng.choice(SITES))
        net.run(rng.uniform(0.5, 5))
        for name in rng.sample(CONTROLLERS, 2):
            net.kill(name)
            net.start(name)
        for _ in range(40):
            net.run(0.1)
            assert used_parts(net) <= 1.0 + ROUNDING
