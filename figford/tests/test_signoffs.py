"""The table of sign-offs has a bound and an end."""

import datetime

import pytest

from figford import signoffs

NOW = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)
TIME_MS = 50_000


def test_a_repeated_sign_off_is_not_new() -> None:
    table = signoffs.SignOffTable()
    assert table.add(signoffs.SignOff("u1", 50), NOW)
    assert not table.add(signoffs.SignOff("u1", 50), NOW)
    assert not table.add(signoffs.SignOff("u1", 49), NOW)
    assert table.add(signoffs.SignOff("u1", 51), NOW)


def test_names_of_a_stranger_do_not_fill_the_table() -> None:
    table = signoffs.SignOffTable()
    for number in range(signoffs.MAX_SIGN_OFFS + 10):
        table.add(signoffs.SignOff(f"u{number}", TIME_MS), NOW)
    assert len(table.upstreams()) == signoffs.MAX_SIGN_OFFS
    assert not table.covers("u0", 1)
    assert table.covers(f"u{signoffs.MAX_SIGN_OFFS}", 1)


def test_a_sign_off_ends_after_its_retention() -> None:
    table = signoffs.SignOffTable()
    table.add(signoffs.SignOff("u1", TIME_MS), NOW)
    table.evict(NOW + signoffs.RETENTION)
    assert table.covers("u1", 1)
    table.evict(NOW + signoffs.RETENTION + SECOND)
    assert not table.covers("u1", 1)


def test_a_sign_off_of_a_later_start_is_new_whatever_the_clocks_say() -> None:
    """The clock of the controller that is called may be set back."""
    table = signoffs.SignOffTable()
    assert table.add(signoffs.SignOff("u1", TIME_MS, 40_000), NOW)
    assert table.add(signoffs.SignOff("u1", TIME_MS - 5_000, 44_000), NOW)
    assert not table.add(signoffs.SignOff("u1", TIME_MS, 40_000), NOW)
    assert table.covers("u1", 44_000)
    # Those that name no start go by their time.
    assert not table.add(signoffs.SignOff("u1", TIME_MS - 5_000), NOW)
    assert table.add(signoffs.SignOff("u1", TIME_MS), NOW)


def test_a_start_that_no_controller_knew_is_told_by_its_time() -> None:
    """Its report may be late; another start comes after the sign-off."""
    table = signoffs.SignOffTable()
    table.add(signoffs.SignOff("u1", TIME_MS), NOW)
    assert table.covers("u1", TIME_MS - signoffs.MIN_LIFE_MS)
    assert not table.covers("u1", TIME_MS - signoffs.MIN_LIFE_MS + 1)


@pytest.mark.parametrize("age_ms", [-1, 1 << 50, True, "1"])
def test_ages_are_bounded(age_ms: object) -> None:
    with pytest.raises(ValueError, match="ages_ms"):
        signoffs.SignOffs([signoffs.SignOff("u1", 50)], [age_ms])


def test_a_sign_off_that_is_told_again_keeps_its_age() -> None:
    """Controllers that link up again and again would keep it for ever."""
    table = signoffs.SignOffTable()
    table.add(signoffs.SignOff("u1", 50), NOW)
    later = NOW + signoffs.RETENTION - SECOND
    told = table.message(["u1", "u2"], later)
    assert [item.upstream for item in told.sign_offs] == ["u1"]
    age = datetime.timedelta(milliseconds=told.ages_ms[0])
    other = signoffs.SignOffTable()
    assert other.add(told.sign_offs[0], later, age)
    other.evict(later + 2 * SECOND)
    assert not other.covers("u1", 1)
    assert not other.add(told.sign_offs[0], later, age + 2 * SECOND)
