"""What an entry refuses, reports and judges by itself."""

import datetime

from figford import crashguard
from figford import crashrecords
from figford import evidence
from figford import fleetmessages

SECOND = datetime.timedelta(seconds=1)
NOW = 1000 * SECOND
DEADLY = fleetmessages.Suspect("r1", ["a", "d"])
SOUND = fleetmessages.Suspect("r2", ["a"])


def verdicts(revision: int, *traits: str) -> fleetmessages.Verdicts:
    return fleetmessages.Verdicts(
        revision, [fleetmessages.Verdict(trait, 2) for trait in traits]
    )


def crash(guard: crashguard.CrashGuard, number: int, now) -> None:
    """Records a crash under a request with the part "d"."""
    item = fleetmessages.Suspect(f"r{number}", ["a", "d"])
    guard.collector.record(
        f"u{number}", 1, f"u{number}:1", item, now - SECOND, now
    )
    (found,) = guard.take_settled(lambda _: False, now + SECOND)
    guard.record_crash(found.report, now + SECOND)


def test_only_requests_with_a_convicted_trait_are_refused() -> None:
    guard = crashguard.CrashGuard()
    assert guard.convicted_trait(lambda: DEADLY) is None
    assert guard.apply(verdicts(1, "part:d", "request:r9"))
    assert guard.convicted_trait(lambda: DEADLY) == "part:d"
    assert guard.convicted_trait(lambda: SOUND) is None
    repeat = fleetmessages.Suspect("r9", [])
    assert guard.convicted_trait(lambda: repeat) == "request:r9"


def test_older_verdicts_change_nothing() -> None:
    guard = crashguard.CrashGuard()
    assert guard.apply(verdicts(4, "part:d"))
    assert not guard.apply(verdicts(3))
    assert guard.convicted_trait(lambda: DEADLY) == "part:d"
    assert guard.apply(verdicts(5))
    assert guard.convicted_trait(lambda: DEADLY) is None


def test_answers_clear_the_parts_of_requests() -> None:
    guard = crashguard.CrashGuard()
    assert guard.may_be_blamed(SOUND, NOW)
    guard.record_survival(SOUND, NOW)
    assert not guard.may_be_blamed(SOUND, NOW)
    assert guard.may_be_blamed(DEADLY, NOW)
    assert guard.may_be_blamed(SOUND, NOW + crashrecords.RETENTION)


def test_requests_without_parts_are_repeated_at_once() -> None:
    plain = fleetmessages.Suspect("r3", [])
    assert not crashguard.CrashGuard().may_be_blamed(plain, NOW)


def test_a_query_is_answered_and_later_answers_are_reported() -> None:
    guard = crashguard.CrashGuard()
    guard.record_survival(SOUND, NOW)
    query = fleetmessages.SurvivalQuery(["part:a", "part:d"])
    assert guard.answer_query(query, NOW + SECOND) == (
        fleetmessages.SurvivalReport(["part:a"], [SECOND])
    )
    assert guard.take_survivals(NOW) is None
    reports = 0
    for number in range(20):
        guard.record_survival(SOUND, NOW + number * SECOND)
        reports += guard.take_survivals(NOW + number * SECOND) is not None
    assert reports == crashguard.REPORTS_PER_QUERY


def test_without_a_leader_the_entry_judges_by_itself() -> None:
    guard = crashguard.CrashGuard()
    guard.record_survival(SOUND, NOW)
    crash(guard, 1, NOW + SECOND)
    crash(guard, 2, NOW + 2 * SECOND)
    assert guard.judge_alone(True, NOW + 3 * SECOND) == []
    assert guard.judge_alone(False, NOW + 3 * SECOND) == ["part:d"]
    assert guard.convicted_trait(lambda: DEADLY) == "part:d"
    assert guard.convicted_trait(lambda: SOUND) is None
    # The leader gets the evidence, and takes over.
    reports = guard.recent_reports(NOW + 3 * SECOND)
    assert [item.age for item in reports] == [2 * SECOND, SECOND]
    assert guard.judge_alone(True, NOW + 4 * SECOND) == []
    assert guard.convicted_trait(lambda: DEADLY) == "part:d"
    now = NOW + 4 * SECOND + crashguard.OWN_VERDICT_OVERLAP
    assert guard.judge_alone(True, now) == []
    assert guard.convicted_trait(lambda: DEADLY) is None


def test_a_probe_is_used_once_and_in_time() -> None:
    guard = crashguard.CrashGuard()
    grant = fleetmessages.ProbeGrant("part:d")
    assert not guard.take_probe("part:d", NOW)
    guard.grant_probe(grant, NOW)
    assert guard.take_probe("part:d", NOW)
    assert not guard.take_probe("part:d", NOW)
    guard.grant_probe(grant, NOW)
    assert not guard.take_probe("part:d", NOW + crashguard.PROBE_VALIDITY)
    # Its answer is reported.
    guard.record_survival(DEADLY, NOW)
    assert "part:d" in guard.take_survivals(NOW).traits


def test_demand_is_told_now_and_then() -> None:
    guard = crashguard.CrashGuard()
    assert guard.take_demand(NOW) is None
    guard.record_refused("part:d")
    assert guard.take_demand(NOW).traits == ["part:d"]
    guard.record_refused("part:d")
    assert guard.take_demand(NOW + SECOND / 2) is None
    assert guard.take_demand(NOW + SECOND).traits == ["part:d"]


def test_a_request_that_the_leader_asks_about_is_on_trial_for_a_while() -> (
    None
):
    guard = crashguard.CrashGuard()
    again, other = (fleetmessages.Suspect(name, ["a"]) for name in "rs")
    assert not guard.is_on_trial(lambda: again, NOW)
    traits = ["part:a", evidence.request_trait("r")]
    guard.answer_query(fleetmessages.SurvivalQuery(traits), NOW)
    assert guard.is_on_trial(lambda: again, NOW)
    assert not guard.is_on_trial(lambda: other, NOW)
    end = NOW + crashguard.TRIAL_TIME
    assert not guard.is_on_trial(lambda: again, end)
    guard.answer_query(fleetmessages.SurvivalQuery([]), end)
    assert guard._trial_end_by_trait == {}
