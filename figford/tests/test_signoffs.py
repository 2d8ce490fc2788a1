"""The table of sign-offs has a bound and an end."""

import datetime

from figford import signoffs

NOW = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)


def test_a_repeated_sign_off_is_not_new() -> None:
    table = signoffs.SignOffTable()
    assert table.add(signoffs.SignOff("u1", 50), NOW)
    assert not table.add(signoffs.SignOff("u1", 50), NOW)
    assert not table.add(signoffs.SignOff("u1", 49), NOW)
    assert table.add(signoffs.SignOff("u1", 51), NOW)


def test_names_of_a_stranger_do_not_fill_the_table() -> None:
    table = signoffs.SignOffTable()
    for number in range(signoffs.MAX_SIGN_OFFS + 10):
        table.add(signoffs.SignOff(f"u{number}", 50), NOW)
    assert len(table.all()) == signoffs.MAX_SIGN_OFFS
    assert not table.covers("u0", 1)
    assert table.covers(f"u{signoffs.MAX_SIGN_OFFS}", 1)


def test_a_sign_off_ends_after_its_retention() -> None:
    table = signoffs.SignOffTable()
    table.add(signoffs.SignOff("u1", 50), NOW)
    table.evict(NOW + signoffs.RETENTION)
    assert table.covers("u1", 50)
    table.evict(NOW + signoffs.RETENTION + SECOND)
    assert not table.covers("u1", 50)
