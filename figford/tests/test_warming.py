"""Warmed-up spares shorten repairs when many hosts are lost."""

import random

import pytest

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
    assert not warming.is_warm_up(group)
