"""Tests that all entries together stay within the retry budget."""

import datetime
import random

from figford import sharedbudget

WINDOW = datetime.timedelta(seconds=10)
RATIO = 0.2
RESERVE = 130.0


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
