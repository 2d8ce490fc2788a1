"""Answers count against crashes in the order of time, and are bounded."""

import datetime

from figford import crashrecords

SECOND = datetime.timedelta(seconds=1)


def survivals(*times: float) -> crashrecords.Survivals:
    found = crashrecords.Survivals()
    for at in times:
        found.add("t", at * SECOND)
    return found


def score(found: crashrecords.Survivals, *times: float) -> float:
    return found.score("t", [(at * SECOND, 1.0) for at in times])


def test_answers_take_crashes_off_but_none_in_advance() -> None:
    assert score(survivals(), 1, 2) == 2.0
    assert score(survivals(0, 0.5), 1, 2) == 2.0
    assert score(survivals(1.5), 1, 2) == 1.0
    assert score(survivals(3, 1.5), 1, 2) == 0.0
    assert score(survivals(3, 4, 5), 1, 2) == 0.0


def test_an_answer_clears_what_comes_soon_after_it() -> None:
    found = survivals(10)
    end = 10 * SECOND + crashrecords.RETENTION
    assert not found.is_cleared("t", 9 * SECOND)
    assert found.is_cleared("t", 10 * SECOND)
    assert found.is_cleared("t", end - SECOND)
    assert not found.is_cleared("t", end)
    assert not found.is_cleared("other", 10 * SECOND)


def test_more_answers_than_are_remembered_clear_what_came_before() -> None:
    found = survivals(*range(10, 10 + crashrecords.SURVIVALS_PER_TRAIT))
    assert found.were_forgotten("t", 9 * SECOND)
    assert found.is_cleared("t", 9 * SECOND)
    assert not found.were_forgotten("t", 10 * SECOND)


def test_the_least_recently_answered_trait_is_dropped_first() -> None:
    found = survivals(1)
    for number in range(crashrecords.MAX_TRAITS):
        found.add(str(number), SECOND)
    assert not found.times("t")
    assert found.times("0")
