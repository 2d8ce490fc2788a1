"""A request that comes again is convicted by its own crashes and answers."""

import pytest

from figford import evidence
from figford.tests.test_evidence import judged
from figford.tests.test_evidence import NOW
from figford.tests.test_evidence import SECOND
from figford.tests.test_evidence import table_of


def crashes_until_conviction(
    times: list[float],
    request: str,
    others: list[list[str]],
    survivals: list[tuple[float, str]] = [],
    before: list[tuple[float, list[str]]] = [],
) -> int | None:
    """Returns how many crashes it takes to convict a request."""
    crashes = [(at, [request, *some]) for at, some in zip(times, others)]
    name = evidence.request_trait(request.split()[0])
    for count in range(1, len(crashes) + 1):
        if name in judged([*before, *crashes[:count]], survivals):
            return count
    return None


NO_OTHERS = [[]] * 6
RECORDED_TIMES = [5.330, 5.420, 5.522, 14.466, 14.577, 14.764]
SERIES_TIMES = [47.577, 47.636, 47.743, 54.862, 54.919, 55.061]


@pytest.mark.parametrize("times", [RECORDED_TIMES, SERIES_TIMES])
def test_crashes_of_a_whole_service_in_a_row_are_not_one_crash(times) -> None:
    """Three upstreams crashed within 200 ms, and all counted as one."""
    assert crashes_until_conviction(times, "r1", NO_OTHERS) == 2


@pytest.mark.parametrize("count", [1, 5])
def test_others_in_the_batch_do_not_dilute_a_repeat(count) -> None:
    others = [[f"s{n}{i}" for i in range(count)] for n in range(6)]
    assert crashes_until_conviction(SERIES_TIMES, "r1", others) == 2


def test_other_crashes_do_not_hide_a_request_that_comes_again() -> None:
    before = [(number * 0.3 - 8, [f"s{number}"]) for number in range(24)]
    found = crashes_until_conviction(
        RECORDED_TIMES, "r1", NO_OTHERS, before=before
    )
    assert found in (2, 3)


def test_answers_to_others_with_its_part_do_not_clear_a_request() -> None:
    """Its part is popular; the others in each crash have unclear parts."""
    others = [[f"s{number} n{number}"] for number in range(6)]
    answers = [(at / 2, "a") for at in range(-20, 40)]
    found = crashes_until_conviction(RECORDED_TIMES, "r1 a", others, answers)
    assert found == 2
    assert judged([(1, ["r1 a"]), (2, ["r1 a"])], answers) == {"request:r1"}


def test_two_requests_in_the_same_crashes_are_told_apart_or_convicted() -> (
    None
):
    """Two are in each crash: the second one does not tell which it was."""
    crashes = [(at, ["r1", "r2"]) for at in range(3)]
    assert judged(crashes[:2]) == set()
    assert judged(crashes) == {"request:r1", "request:r2"}
    assert judged([*crashes[:2], (2, ["r1"])]) == {"request:r1"}


@pytest.mark.parametrize("at", [-1, 1, 3])
def test_an_answer_clears_the_request_that_it_answers(at) -> None:
    crashes = [(0, ["r1"]), (2, ["r1"])]
    table = table_of(crashes)
    table.add_survival("request:r1", NOW + at * SECOND)
    assert table.judge(()) == {}


def test_a_request_that_was_answered_once_is_convicted_at_its_third() -> None:
    table = table_of([(at, ["r1"]) for at in range(3)])
    table.add_survival("request:r1", NOW - SECOND)
    assert table.judge(()) == {"request:r1": 3}


def test_a_request_that_comes_again_after_hours_is_convicted() -> None:
    crashes = [(hours * 3600, ["r1 a"]) for hours in (0, 5, 10, 40)]
    assert judged(crashes[:2]) == set()
    assert judged(crashes[:3]) == {"request:r1"}
    assert judged([crashes[0], crashes[1], crashes[3]]) == set()
