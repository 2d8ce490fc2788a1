"""Warmed-up spares shorten repairs when many hosts are lost."""

import random

import pytest

from figford import forming
from figford import groupnames
from figford.tests import plannerworld
from figford import warming

SEEDS = (1, 2, 3, 4)
# As recorded on days of high load: a host is lost every 3 s and later replaced
# by a new one.
LOSSES = 10
BETWEEN_LOSSES_SECONDS = 3.0
UNTIL_DOUBTED_SECONDS = 0.8
STEP_SECONDS = 0.1


def group_seconds(seed: int) -> float:
    """Returns the serving time summed over all large groups."""
    world = plannerworld.World(seed=seed, domains=6)
    world.run(50)
    # A generator of its own, so that the same hosts are lost regardless of
    # the orders.
    losses = random.Random(seed)
    names = sorted(world.engines.by_name)
    served = 0.0
    steps = int(BETWEEN_LOSSES_SECONDS / STEP_SECONDS)
    for number in range(LOSSES):
        victim = world.engines.by_name[losses.choice(names)]
        names.remove(victim.name)
        world.engines.crash(victim.name, world.now)
        world.add(f"new{number:02}", victim.domain)
        for step in range(steps):
            world.run(STEP_SECONDS)
            served += world.engines.serving("large") * STEP_SECONDS
            if step * STEP_SECONDS >= UNTIL_DOUBTED_SECONDS and victim.seat:
                world.doubted = {victim.seat.members[0]}
    return served


def test_warmed_up_spares_raise_serving_time_under_losses(
    monkeypatch,
) -> None:
    served = [group_seconds(seed) for seed in SEEDS]
    monkeypatch.setattr(warming, "warm", lambda round_: None)
    without = [group_seconds(seed) for seed in SEEDS]
    assert sum(served) > sum(without)


@pytest.mark.parametrize("group", ["g1", "warmer", ""])
def test_other_groups_are_not_recognised_as_warm_ups(group) -> None:
    assert not groupnames.is_warm_up(group)


def test_the_last_spare_is_for_the_model_that_strands_more() -> None:
    """A large group that lost a member takes the domain's large spare."""
    world = plannerworld.World(seed=1)
    world.run(50)
    lost = world.member(1, domain="d0")
    world.engines.crash(lost.name, world.now)
    world.run(40)
    staged = [
        engine.staged for engine in world.spares() if engine.domain == "d0"
    ]
    assert staged == [["large"]]


def far_seconds(seed: int) -> float:
    """Returns the time that large groups span domains under losses.

    Hosts are lost one after another and none comes back.
    """
    world = plannerworld.World(seed=seed, domains=6)
    world.run(50)
    losses = random.Random(seed)
    names = sorted(world.engines.by_name)
    far = 0.0
    for _ in range(6):
        victim = world.engines.by_name[losses.choice(names)]
        names.remove(victim.name)
        world.engines.crash(victim.name, world.now)
        for _ in range(100):
            world.run(STEP_SECONDS)
            domains = world.group_domains("large")
            far += STEP_SECONDS * sum(len(item) > 1 for item in domains)
    return far


def test_spares_that_change_keep_groups_in_one_domain(monkeypatch) -> None:
    changed = [far_seconds(seed) for seed in SEEDS]
    monkeypatch.setattr(forming, "_model_without_spare", lambda *_: None)
    without = [far_seconds(seed) for seed in SEEDS]
    assert sum(changed) < sum(without)
