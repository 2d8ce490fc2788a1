"""Which traits are convicted, and which are not.

Crashes in these tests are `(seconds, requests)`, and a request is written as
its digest and its prompt parts: `"r1 a b"`.
"""

import datetime

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figford import crashrecords
from figford import evidence
from figford import fleetmessages

SECOND = datetime.timedelta(seconds=1)
NOW = 1000 * SECOND


def suspect(text: str) -> fleetmessages.Suspect:
    request, *parts = text.split()
    return fleetmessages.Suspect(request, parts)


def table_of(
    crashes: list[tuple[float, list[str]]],
    survivals: list[tuple[float, str]] = [],
) -> evidence.EvidenceTable:
    """Returns a table; survivals are `(seconds, part)`."""
    table = evidence.EvidenceTable()
    for number, (at, requests) in enumerate(crashes):
        report = fleetmessages.CrashReport(
            f"u{number}", 1, 0 * SECOND, [suspect(text) for text in requests]
        )
        assert table.add_crash(report, NOW + at * SECOND)
    for at, part in survivals:
        table.add_survival(evidence.part_trait(part), NOW + at * SECOND)
    return table


def judged(*args) -> set[str]:
    return set(table_of(*args).judge(()))


def test_a_part_is_convicted_after_crashes_under_two_requests() -> None:
    assert judged([(0, ["r1 a"])]) == set()
    assert judged([(0, ["r1 a"]), (1, ["r2 a"])]) == {"part:a"}


def test_a_part_is_convicted_after_a_request_and_its_repeat() -> None:
    assert judged([(0, ["r1 a"]), (1, ["r1 a"])]) == {"part:a"}


def test_a_call_without_parts_is_convicted_by_its_repeats() -> None:
    assert judged([(0, ["r1"]), (1, ["r2"])]) == set()
    assert judged([(0, ["r1"]), (1, ["r1"])]) == {"request:r1"}


def test_parts_of_sound_answers_take_no_blame() -> None:
    crashes = [(0, ["r1 a d", "r3 a", "r4 b"]), (1, ["r2 a d", "r5 b"])]
    cleared = [(-5, "a"), (-9, "b")]
    assert judged(crashes, cleared) == {"part:d"}


def test_blame_is_shared_while_nothing_tells_requests_apart() -> None:
    crashes = [(0, ["r1 a", "r2 b"]), (1, ["r3 a", "r4 c"])]
    assert judged(crashes) == set()
    # A third crash tells them apart.
    assert judged([*crashes, (2, ["r5 a"])]) == {"part:a"}


def test_answers_after_a_crash_clear_a_part() -> None:
    crashes = [(0, ["r1 a"]), (2, ["r2 a"])]
    assert judged(crashes, [(1, "a")]) == set()
    assert judged(crashes, [(3, "a")]) == set()


def test_popular_parts_survive_many_crashes() -> None:
    crashes = [(at, [f"r{at} a", f"s{at} a"]) for at in range(50)]
    answers = [(at + 0.5, "a") for at in range(-5, 50)]
    assert judged(crashes, answers) == set()


def test_a_popular_part_that_begins_to_crash_is_convicted() -> None:
    crashes = [(at, [f"r{at} a"]) for at in range(3)]
    answers = [(-1, "a"), (-2, "a"), (-3, "a")]
    assert judged(crashes[:2], answers) == set()
    assert judged(crashes, answers) == {"part:a"}


def test_crashes_at_the_same_moment_count_once() -> None:
    assert judged([(0, ["r1 a"]), (0.1, ["r2 a"])]) == set()


def test_parts_that_always_come_together_need_more_crashes() -> None:
    crashes = [(at, [f"r{at} a b"]) for at in range(3)]
    assert judged(crashes[:2]) == set()
    assert judged(crashes) == {"part:a", "part:b"}


def test_a_convicted_part_explains_the_crashes_of_its_companions() -> None:
    crashes = [(0, ["r1 a d"]), (1, ["r2 b d"]), (2, ["r3 a d"])]
    assert judged(crashes) == {"part:d"}
    assert table_of(crashes).judge({"part:d"}) == {}


def test_two_parts_are_told_apart() -> None:
    crashes = [
        (0, ["r1 d"]),
        (1, ["r2 e"]),
        (2, ["r3 d", "r4 e"]),
        (3, ["r5 d"]),
        (4, ["r6 e"]),
    ]
    assert judged(crashes) == {"part:d", "part:e"}


def test_evidence_ends() -> None:
    table = table_of([(0, ["r1 a"])])
    late = fleetmessages.CrashReport("u9", 1, 0 * SECOND, [suspect("r2 a")])
    table.add_crash(late, NOW + crashrecords.RETENTION + SECOND)
    assert table.judge(()) == {}


def test_reports_of_one_crash_are_merged() -> None:
    table = evidence.EvidenceTable()
    first = fleetmessages.CrashReport("u1", 1, 0 * SECOND, [suspect("r1 a")])
    second = fleetmessages.CrashReport("u1", 1, 0 * SECOND, [suspect("r2 b")])
    assert table.add_crash(first, NOW)
    assert table.add_crash(second, NOW)
    assert not table.add_crash(second, NOW)
    assert table.blamed_requests("u1", 1) == ["r1", "r2"]
    table.add_survival("part:a", NOW - SECOND)
    assert table.blamed_requests("u1", 1) == ["r2"]
    assert table.unclear_traits("u1", 1) == (["part:b"], True)
    table.add_survival("part:b", NOW - SECOND)
    assert table.blamed_requests("u1", 1) == []
    assert table.unclear_traits("u1", 1) == (["part:a", "part:b"], False)


def test_an_attacker_fills_no_memory_and_clears_no_popular_part() -> None:
    table = evidence.EvidenceTable()
    for number in range(20_000):
        at = NOW + number * SECOND / 100
        table.add_survival(f"part:{number}", at)
        table.add_survival("part:popular", at)
        table.add_survival(f"request:{number}", at)
        if number % 20 == 0:
            report = fleetmessages.CrashReport(
                f"u{number}", 1, 0 * SECOND, [suspect(f"r{number} n{number}")]
            )
            table.add_crash(report, at)
    assert table.last_survival("part:popular") is not None
    assert (
        len(table._part_survivals._times_by_trait) <= crashrecords.MAX_TRAITS
    )
    assert (
        len(table._request_survivals._times_by_trait)
        <= crashrecords.MAX_TRAITS
    )
    assert len(table._crash_by_incarnation) <= evidence.MAX_CRASHES


@pytest.mark.parametrize("late", [False, True])
def test_answers_that_are_told_late_count_from_when_they_came(late) -> None:
    table = table_of([(0, ["r1 a"]), (2, ["r2 a"])])
    times = [-1, 1]
    for at in reversed(times) if late else times:
        table.add_survival("part:a", NOW + at * SECOND)
    assert table.judge(()) == {}
    assert table.score("part:a", ()) == evidence.CLEARED_WEIGHT


_REQUESTS = strategies.lists(
    strategies.sampled_from(["r1 a", "r2 a b", "r3 b", "r4 c d", "r5", "r6"]),
    max_size=4,
    unique=True,
)


@hypothesis.given(
    crashes=strategies.lists(
        strategies.tuples(strategies.integers(0, 30), _REQUESTS), max_size=12
    ),
    answers=strategies.lists(
        strategies.tuples(
            strategies.integers(-5, 35), strategies.sampled_from("abcd")
        ),
        max_size=20,
    ),
)
def test_each_conviction_has_two_crashes_and_ends_the_case(
    crashes, answers
) -> None:
    table = table_of(crashes, answers)
    found = table.judge(())
    assert all(count >= 2 for count in found.values())
    for trait in found:
        at_least = evidence.PART_THRESHOLD - 1e-3
        assert table.score(trait, ()) >= min(at_least, 1.0)
    # What is convicted explains its crashes.
    assert table.judge(set(found)) == {}


def test_parts_of_different_requests_are_convicted_one_by_one() -> None:
    """All upstreams are few, so that each crash has requests with both."""
    crashes = [(at, [f"r{at} d", f"s{at} e"]) for at in range(3)]
    [first] = judged(crashes)
    assert first in {"part:d", "part:e"}
    other = "e" if first == "part:d" else "d"
    more = [(at + 3, [f"t{at} {other}"]) for at in range(2)]
    assert set(table_of(crashes + more).judge({first})) == {f"part:{other}"}


def test_all_requests_with_a_part_add_to_its_blame() -> None:
    crashes = [(at, [f"r{at} d", f"s{at} d", f"t{at} b"]) for at in range(3)]
    assert judged(crashes) == {"part:d"}


def test_a_later_crash_under_a_former_incarnation_is_another_one() -> None:
    """Its sender did not know yet that the upstream had started again."""
    table = evidence.EvidenceTable()
    report = fleetmessages.CrashReport("u1", 1, 0 * SECOND, [suspect("r1")])
    assert table.add_crash(report, NOW)
    assert not table.add_crash(report, NOW + evidence.RESTART_TIME)
    assert table.judge(()) == {}
    assert table.add_crash(report, NOW + 4 * SECOND)
    assert table.judge(()) == {"request:r1": 2}


def test_a_verdict_on_a_part_ends_those_on_its_requests() -> None:
    crashes = [(0, ["r1 a", "s1 b"]), (1, ["r1 a", "s2 c"])]
    table = table_of(crashes, [(-1, "b"), (-1, "c")])
    assert set(table.judge(())) == {"part:a"}
    assert table.covered_requests({"part:a"}) == {"request:r1"}
    assert table.covered_requests({"request:r1"}) == set()


def doubtful(
    number: int, upstream: str = "", incarnation: int = 1
) -> fleetmessages.CrashReport:
    """Returns an unconfirmed report of a crash under the request "r1"."""
    return fleetmessages.CrashReport(
        upstream or f"u{number}",
        incarnation,
        0 * SECOND,
        [suspect("r1")],
        confirmed=False,
    )


def test_unconfirmed_crashes_convict_nothing() -> None:
    """A network resets the only connections to three sound upstreams."""
    table = evidence.EvidenceTable()
    for number in range(3):
        assert table.add_crash(doubtful(number), NOW + number * SECOND)
    assert not table.settle_unconfirmed(lambda *_: None)
    assert table.judge(()) == {}


def test_crashes_count_once_their_upstreams_are_known_to_have_ended() -> None:
    table = evidence.EvidenceTable()
    for number in range(3):
        table.add_crash(doubtful(number), NOW + number * SECOND)
    assert table.settle_unconfirmed(
        lambda upstream, *_: {"u0": True, "u1": False}.get(upstream)
    )
    assert table.judge(()) == {}
    assert table.settle_unconfirmed(lambda *_: True)
    assert table.judge(()) == {"request:r1": 2}


def test_another_entry_confirms_a_crash() -> None:
    table = evidence.EvidenceTable()
    for number in range(2):
        report = doubtful(number)
        table.add_crash(report, NOW + number * SECOND)
        confirmed = attrs.evolve(report, confirmed=True)
        table.add_crash(confirmed, NOW + number * SECOND)
    assert table.judge(()) == {"request:r1": 2}


def test_a_later_unconfirmed_crash_disproves_the_one_before() -> None:
    """Connections to one upstream are reset again and again."""
    table = evidence.EvidenceTable()
    for number in range(3):
        at = NOW + 2 * number * evidence.RESTART_TIME
        assert table.add_crash(doubtful(number, "u1"), at)
    assert table.settle_unconfirmed(lambda *_: True)
    assert table.judge(()) == {}


def closed_at_once(request: str, sent_after: float) -> dict:
    """Returns changes to a report: its suspect got no answer at all."""
    return {
        "suspects": [suspect(request)],
        "closed_sent_after": {request: sent_after * SECOND},
    }


@pytest.mark.parametrize("first", [0, 1])
def test_what_is_sent_after_a_crash_is_not_blamed_for_it(first) -> None:
    """Sound reads of upstreams that had crashed were refused by a verdict.

    The reports of two entries come in either order.
    """
    table = evidence.EvidenceTable()
    for number in range(3):
        cause = doubtful(number)
        late = attrs.evolve(cause, **closed_at_once("r2", -0.001))
        reports = [(cause, 0), (late, 0.4)]
        if first:
            reports.reverse()
        for report, at in reports:
            received = attrs.evolve(report, age=(0.5 - at) * SECOND)
            table.add_crash(received, NOW + (number + 0.5) * SECOND)
        assert table.blamed_requests(f"u{number}", 1) == ["r1"]
    table.settle_unconfirmed(lambda *_: True)
    assert set(table.judge(())) == {"request:r1"}
    assert table.score("request:r2", ()) == 0.0


def test_what_is_closed_at_once_may_have_caused_a_crash() -> None:
    """It was sent before the first connection broke, or the only one."""
    table = evidence.EvidenceTable()
    for number in range(2):
        fast = attrs.evolve(doubtful(number), **closed_at_once("r2", -0.01))
        for report in (doubtful(number), fast):
            table.add_crash(report, NOW + number * SECOND)
    table.settle_unconfirmed(lambda *_: True)
    assert table.blamed_requests("u1", 1) == ["r1", "r2"]


def test_what_an_upstream_accepted_may_have_caused_its_crash() -> None:
    """What was taken for a crash before was a network fault."""
    table = evidence.EvidenceTable()
    reset = attrs.evolve(doubtful(0), suspects=[suspect("r2")])
    table.add_crash(reset, NOW)
    for sent_after in (-0.01, 0.3):
        closed = attrs.evolve(reset, **closed_at_once("r1", sent_after))
        table.add_crash(closed, NOW + SECOND / 2)
    assert table.blamed_requests("u0", 1) == ["r2"]
    table.add_crash(doubtful(0), NOW + SECOND / 2)
    assert table.blamed_requests("u0", 1) == ["r2", "r1"]
    later = attrs.evolve(reset, **closed_at_once("r1", 0.1))
    table.add_crash(later, NOW + SECOND / 2)
    assert table.blamed_requests("u0", 1) == ["r2", "r1"]
