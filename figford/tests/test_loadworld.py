"""Load patterns played through the entries' real decisions."""

import datetime

import pytest

from figford import placement
from figford.tools import loadworld

SEEDS = (1, 2, 3)


def in_aim(scenario) -> float:
    """Returns the mean share of requests answered within their objective."""
    return sum(scenario(seed).share("in aim") for seed in SEEDS) / len(SEEDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_load_within_capacity_is_answered_in_time(seed: int) -> None:
    assert loadworld.moderate_load(seed).share("in aim") > 0.99


def test_reported_load_is_remembered_between_an_entrys_answers(
    monkeypatch,
) -> None:
    """Groups are lost one after another at the limit of capacity."""
    remembered = in_aim(loadworld.losses_at_the_limit)
    second = datetime.timedelta(seconds=1)
    monkeypatch.setattr(placement, "OTHERS_HALF_LIFE", second)
    assert remembered > in_aim(loadworld.losses_at_the_limit)


def test_entries_recover_from_overload() -> None:
    world = loadworld.overload_and_back(1)
    assert world.share("in aim", since=26) > 0.95


def test_entries_recover_from_overload_if_callers_leave() -> None:
    shares = [
        loadworld.overload_and_back(seed, callers_leave=True).share(
            "in aim", since=26
        )
        for seed in SEEDS
    ]
    assert sum(shares) / len(shares) > 0.95


@pytest.mark.parametrize("callers_leave", [False, True])
def test_silence_cuts_no_answer(callers_leave: bool) -> None:
    """In this world no upstream breaks off an answer."""
    world = loadworld.overload_with_pauses(1, callers_leave)
    assert world.count("cut") == 0
    assert world.events()["resumption-took-over"] > 0


def test_callers_leave_a_stream_that_stays_silent() -> None:
    world = loadworld.LoadWorld(
        1, entry_count=1, group_count=1, rate=4.0, callers_leave=True
    )
    world.stall_group("u0")
    world.run(1.9)
    assert world.share("left") == 0
    world.run(2.1)
    assert world.count("left") > 0
    assert world.share("left") == 1


@pytest.mark.parametrize(
    "scenario",
    [loadworld.moderate_load, loadworld.losses_at_the_limit],
)
def test_the_same_seed_gives_the_same_table(scenario) -> None:
    """Calls were checked in the order of their addresses in memory."""
    tables = [scenario(4).table() for _ in range(2)]
    assert tables[0] == tables[1]
