"""Tests that all entries together stay within the retry budget."""

import datetime
import functools
import random
import typing

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figford import sharedbudget
from figford.tools import retrymeter
from figford.tools import retryworld

WINDOW = datetime.timedelta(seconds=10)
RATIO = 0.2
RESERVE = 130.0
# Upstreams begin to fail at this time, when entries have saved up retries.
TROUBLE_SECONDS = 15.0
SEEDS = range(6)


def make_budget(entries: int, reserve: float = RESERVE):
    """Returns the budget of an entry that was told the number at 0 s."""
    budget = sharedbudget.SharedBudget(
        sharedbudget.BudgetSettings(RATIO, reserve, WINDOW)
    )
    budget.set_entries(entries, datetime.timedelta(0))
    return budget


def withdrawn(
    budget: sharedbudget.SharedBudget, since: float, until: float
) -> int:
    """Returns how many retries an entry gets that always wants one."""
    step = datetime.timedelta(milliseconds=10)
    return sum(
        budget.try_withdraw(step * index)
        for index in range(int(since * 100), int(until * 100) + 1)
    )


def test_all_entries_stay_within_the_budget_in_every_window() -> None:
    rng = random.Random(7)
    budgets = [make_budget(7) for _ in range(7)]
    requests: list[datetime.timedelta] = []
    retries: list[datetime.timedelta] = []
    # From the start, and when all that can be saved up is.
    for step in (*range(4000), *range(10000, 14000)):
        now = step * datetime.timedelta(milliseconds=10)
        budget = rng.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        # Every request fails and needs a retry.
        if budget.try_withdraw(now):
            retries.append(now)
        recent_retries = [at for at in retries if now - at <= WINDOW]
        recent_requests = [at for at in requests if now - at <= WINDOW]
        assert len(recent_retries) <= RATIO * len(recent_requests) + RESERVE


def test_an_entry_without_requests_has_its_part_of_the_reserve() -> None:
    part = RESERVE / 10 * sharedbudget.SAFETY_FACTOR
    assert withdrawn(make_budget(10), 60, 70) == int(part)


def test_a_small_part_of_the_reserve_is_a_whole_retry() -> None:
    """Half of it was kept, less than one, and never used."""
    assert withdrawn(make_budget(90), 60, 70) == 1


def test_an_entry_that_has_started_has_what_accrued_since() -> None:
    part = RESERVE / 10 * sharedbudget.SAFETY_FACTOR
    accruing = part * (1 - sharedbudget.BURST_PART)
    assert withdrawn(make_budget(10), 0, 10) == int(accruing)


def test_an_entry_that_was_not_told_its_peers_uses_no_reserve() -> None:
    budget = sharedbudget.SharedBudget(
        sharedbudget.BudgetSettings(RATIO, RESERVE, WINDOW)
    )
    assert withdrawn(budget, 0, 60) == 0
    budget.set_entries(1, datetime.timedelta(seconds=60))
    assert withdrawn(budget, 60, 60) == 0


def test_a_service_that_is_new_to_an_entry_has_its_part_of_the_reserve():
    budgets = sharedbudget.SharedBudgets(
        sharedbudget.BudgetSettings(RATIO, RESERVE, WINDOW)
    )
    budgets.set_entries(10, datetime.timedelta(0))
    part = RESERVE / 10 * sharedbudget.SAFETY_FACTOR
    assert withdrawn(budgets.of("s"), 60, 70) == int(part)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["request", "retry", "entries", "new"]),
            strategies.floats(0, 4),
            strategies.integers(1, 9),
        ),
        max_size=60,
    )
)
def test_one_entry_keeps_to_its_part_in_any_order_of_events(steps) -> None:
    """Restarted or not, as long as the number of entries doesn't fall."""
    meter = retrymeter.RetryMeter(RATIO, RESERVE, WINDOW)
    now, entries = datetime.timedelta(0), 1
    budget = make_budget(entries)
    for number, (kind, seconds, count) in enumerate(steps):
        now += datetime.timedelta(seconds=seconds)
        match kind:
            case "request":
                for _ in range(count * 10):
                    meter.record_request(now)
                    budget.record_request(now)
            case "retry":
                while budget.try_withdraw(now):
                    meter.repeats.append(now)
            case "entries":
                entries += count - 1
                budget.set_entries(entries, now)
            case "new":
                budget = sharedbudget.SharedBudget(budget.settings)
                budget.set_entries(entries, now)
    for since in meter.repeats:
        repeats = meter.count(meter.repeats, since)
        before = WINDOW * sharedbudget.RETENTION_PART
        requests = sum(
            since - before <= at <= since + WINDOW for at in meter.requests
        )
        assert repeats <= RATIO * requests + RESERVE


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
        world = retryworld.RetryWorld(
            seed,
            load.entries,
            load.requests_per_second,
            lambda now: load.failing if now >= trouble else 0.0,
            attempts=load.attempts,
        )
        for seconds, event in events:
            world.at(
                TROUBLE_SECONDS + seconds, functools.partial(event, world)
            )
        world.run(TROUBLE_SECONDS + 25)
        found.append(world.meter.worst())
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
