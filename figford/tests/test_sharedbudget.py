"""Tests that all entries together stay within the retry budget."""

import datetime
import functools
import random
import typing

import attrs
import pytest

from figford import sharedbudget
from figford.tests.platform import retrymeter
from figford.tools import retryworld

WINDOW = datetime.timedelta(seconds=10)
RATIO = 0.2
RESERVE = 130.0
# Upstreams begin to fail at this time, when entries have saved up retries.
TROUBLE_SECONDS = 15.0
SEEDS = range(6)


def test_all_entries_stay_within_the_budget_in_every_window() -> None:
    rng = random.Random(7)
    budgets = [
        sharedbudget.SharedBudget(RATIO, RESERVE, WINDOW) for _ in range(7)
    ]
    requests: list[datetime.timedelta] = []
    retries: list[datetime.timedelta] = []
    for step in range(4000):
        now = step * datetime.timedelta(milliseconds=10)
        budget = rng.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        # Every request fails and needs a retry.
        if budget.try_withdraw(now, entries=7):
            retries.append(now)
        recent_retries = [at for at in retries if now - at <= WINDOW]
        recent_requests = [at for at in requests if now - at <= WINDOW]
        assert len(recent_retries) <= RATIO * len(recent_requests) + RESERVE


def test_an_entry_without_requests_has_its_part_of_the_reserve() -> None:
    budget = sharedbudget.SharedBudget(RATIO, RESERVE, WINDOW)
    now = datetime.timedelta(seconds=1)
    taken = sum(budget.try_withdraw(now, entries=10) for _ in range(100))
    assert taken == int(RESERVE / 10 * sharedbudget.SAFETY_FACTOR)


# ---- Entries that restart, join and leave ------------------------------


@attrs.frozen
class Load:
    """The entries and their traffic; failed attempts are made again."""

    entries: int = 8
    requests_per_second: float = 74.0
    failing: float = 0.8
    attempts: int = 2


# The reserve is small beside the ratio at this size.
LARGE = Load(entries=40, requests_per_second=800.0, failing=1.0, attempts=3)
HARSH = Load(failing=1.0, attempts=3)


def worst_window(
    load: Load, *events: tuple[float, typing.Callable]
) -> retrymeter.Excess:
    """Returns the worst window of all seeds.

    Events come some seconds after upstreams have begun to fail.
    """
    trouble = datetime.timedelta(seconds=TROUBLE_SECONDS)
    found = []
    for seed in SEEDS:
        meter = retrymeter.RetryMeter(RATIO, retryworld.RESERVE, WINDOW)
        world = retryworld.RetryWorld(
            seed,
            load.entries,
            load.requests_per_second,
            lambda now: load.failing if now >= trouble else 0.0,
            meter,
            attempts=load.attempts,
        )
        for seconds, event in events:
            world.at(
                TROUBLE_SECONDS + seconds, functools.partial(event, world)
            )
        world.run(TROUBLE_SECONDS + 25)
        found.append(meter.worst())
    return max(found, key=lambda excess: excess.part)


def restart(share: float, down_seconds: float = 0.5) -> typing.Callable:
    """Returns an event that restarts a part of the entries."""
    return lambda world: world.restart(share, down_seconds)


@pytest.mark.parametrize("load", [Load(), HARSH], ids=["some", "all"])
@pytest.mark.parametrize("gap_seconds", [0.9, 2.4])
@pytest.mark.parametrize("share", [0.6, 1.0])
def test_restarts_in_series_spend_no_reserve_again(
    share: float, gap_seconds: float, load: Load
) -> None:
    """What was spent was forgotten, and the reserve was there again."""
    kills = [(2 + kill * gap_seconds, restart(share)) for kill in range(4)]
    assert worst_window(load, *kills).part <= 1.0


@pytest.mark.parametrize("seconds", [0.6, 1.2, 2.0])
def test_a_restart_after_a_burst_spends_no_ratio_again(seconds) -> None:
    """Retries saved up before a restart came on top of those after it."""
    assert worst_window(LARGE, (seconds, restart(1.0))).part <= 1.0


@pytest.mark.parametrize("seconds", [0.6, 1.2, 2.0])
def test_traffic_that_moves_takes_no_ratio_along(seconds: float) -> None:
    """Entries spend what they saved up and are gone; others get theirs."""
    moved = (seconds, lambda world: world.leave(30))
    assert worst_window(LARGE, moved).part <= 1.0


@pytest.mark.parametrize("requests_per_second", [2.0, 20.0])
def test_restarts_in_series_at_low_traffic(requests_per_second) -> None:
    load = Load(
        requests_per_second=requests_per_second, failing=1.0, attempts=30
    )
    kills = [(2.0 + kill, restart(1.0, 0.1)) for kill in range(6)]
    assert worst_window(load, *kills).part <= 1.0


def test_entries_that_join_spend_no_more_than_their_part() -> None:
    joins = [(1.0 + join, lambda world: world.join(4)) for join in range(4)]
    assert worst_window(HARSH, *joins).part <= 1.0


def test_entries_that_never_end_stay_within_the_budget() -> None:
    assert worst_window(LARGE).part <= 1.0
    assert worst_window(HARSH).part <= 1.0
