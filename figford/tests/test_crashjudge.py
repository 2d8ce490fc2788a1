"""The leader rules on crashes, proposes verdicts and probes them rarely."""

import datetime

from figford import crashjudge
from figford import evidence
from figford import fleetmessages

SECOND = datetime.timedelta(seconds=1)
NOW = 1000 * SECOND
WAIT = crashjudge.ANSWER_WAIT


def report(upstream: str, *suspects: fleetmessages.Suspect):
    return fleetmessages.CrashReport(upstream, 1, 0 * SECOND, list(suspects))


def request(name: str, *parts: str) -> fleetmessages.Suspect:
    return fleetmessages.Suspect(name, list(parts))


def leading_judge() -> crashjudge.CrashJudge:
    judge = crashjudge.CrashJudge()
    judge.start(3, NOW)
    assert judge.decide({}, NOW) == []
    return judge


def convict(judge: crashjudge.CrashJudge) -> datetime.timedelta:
    """Lets two crashes convict the part "d"; returns the time after."""
    judge.receive_crash("e1", report("u1", request("r1", "d")), NOW)
    judge.decide({}, NOW)
    judge.decide({}, NOW + WAIT)
    now = NOW + SECOND
    judge.receive_crash("e2", report("u2", request("r2", "d")), now)
    judge.decide({}, now)
    *_, proposal = judge.decide({}, now + WAIT)
    assert proposal == crashjudge.Propose(fleetmessages.Convict("part:d", 2))
    return now + WAIT


def verdict(probes: int = 0) -> dict[str, fleetmessages.Verdict]:
    return {"part:d": fleetmessages.Verdict("part:d", 2, probes)}


def test_entries_are_asked_before_a_crash_is_ruled_on() -> None:
    judge = leading_judge()
    crash = report("u1", request("r1", "a", "d"), request("r2", "b"))
    judge.receive_crash("e1", crash, NOW)
    query = fleetmessages.SurvivalQuery(["part:a", "part:b", "part:d"])
    assert judge.decide({}, NOW) == [crashjudge.Query(query)]
    known = fleetmessages.SurvivalReport(["part:a", "part:b"], [SECOND] * 2)
    judge.receive_survivals(known, NOW)
    assert judge.decide({}, NOW + WAIT) == [
        crashjudge.Ruling(["e1"], fleetmessages.CrashRuling("u1", 1, ["r1"]))
    ]


def test_nobody_waits_for_answers_that_change_nothing() -> None:
    judge = leading_judge()
    known = fleetmessages.SurvivalReport(["part:a"], [SECOND])
    judge.receive_survivals(known, NOW)
    judge.receive_crash("e1", report("u1", request("r1", "a")), NOW)
    query, ruling = judge.decide({}, NOW)
    assert ruling.message.blamed == []


def test_a_verdict_is_proposed_again_until_it_is_committed() -> None:
    judge = leading_judge()
    now = convict(judge)
    assert judge.decide({}, now) == []
    again = now + crashjudge.PROPOSAL_INTERVAL
    assert judge.decide({}, again) == [
        crashjudge.Propose(fleetmessages.Convict("part:d", 2))
    ]
    assert judge.decide(verdict(), again + SECOND) == []


def test_a_new_leader_judges_what_was_reported_before() -> None:
    judge = crashjudge.CrashJudge()
    judge.receive_crash("e1", report("u1", request("r1", "d")), NOW)
    now = NOW + SECOND
    judge.receive_crash("e1", report("u2", request("r2", "d")), now)
    judge.start(4, now)
    decisions = judge.decide({}, now) + judge.decide({}, now + WAIT)
    proposal = crashjudge.Propose(fleetmessages.Convict("part:d", 2))
    assert proposal in decisions


def test_probes_are_few_and_one_entry_makes_them() -> None:
    judge = leading_judge()
    now = convict(judge)
    demand = fleetmessages.VerdictDemand(["part:d"])
    assert judge.decide(verdict(), now) == []
    now += crashjudge.PROBE_INTERVALS[0]
    # Without demand there is none.
    assert judge.decide(verdict(), now) == []
    judge.receive_demand("e1", demand, now)
    judge.receive_demand("e2", demand, now)
    assert judge.decide(verdict(), now) == [
        crashjudge.Propose(fleetmessages.RecordProbe("part:d", 0))
    ]
    assert judge.decide(verdict(), now) == []
    assert judge.decide(verdict(1), now) == [
        crashjudge.Grant("e2", fleetmessages.ProbeGrant("part:d"))
    ]
    # The next one comes after a longer time, and there are three in all.
    now += crashjudge.PROBE_INTERVALS[0]
    judge.receive_demand("e1", demand, now)
    assert judge.decide(verdict(1), now) == []
    now += crashjudge.PROBE_INTERVALS[1]
    judge.receive_demand("e1", demand, now)
    assert judge.decide(verdict(1), now) == [
        crashjudge.Propose(fleetmessages.RecordProbe("part:d", 1))
    ]
    judge.decide(verdict(3), now)
    now += 10 * crashjudge.PROBE_INTERVALS[2]
    judge.receive_demand("e1", demand, now)
    assert judge.decide(verdict(3), now) == []


def test_a_new_leader_grants_no_probe_of_its_predecessor() -> None:
    judge = leading_judge()
    now = NOW + crashjudge.PROBE_INTERVALS[0]
    demand = fleetmessages.VerdictDemand(["part:d"])
    judge.decide(verdict(), NOW)
    judge.receive_demand("e1", demand, now)
    assert judge.decide(verdict(), now) != []
    judge.start(5, now)
    assert judge.decide(verdict(1), now) == []


def test_a_probe_that_is_answered_lifts_the_verdict() -> None:
    judge = leading_judge()
    judge.decide(verdict(), NOW)
    now = NOW + crashjudge.PROBE_INTERVALS[0]
    judge.receive_demand("e1", fleetmessages.VerdictDemand(["part:d"]), now)
    judge.decide(verdict(), now)
    judge.decide(verdict(1), now)
    survived = fleetmessages.SurvivalReport(["part:d"], [0 * SECOND])
    judge.receive_survivals(survived, now + SECOND)
    assert judge.decide(verdict(1), now + SECOND) == [
        crashjudge.Propose(fleetmessages.LiftVerdict("part:d"))
    ]


def test_the_idlest_verdict_makes_room_for_a_new_one() -> None:
    judge = leading_judge()
    count = crashjudge.MAX_VERDICTS
    verdicts = {
        f"part:{number}": fleetmessages.Verdict(f"part:{number}", 2)
        for number in range(count)
    }
    demanded = sorted(verdicts)[1:]
    judge.receive_demand("e1", fleetmessages.VerdictDemand(demanded), NOW)
    judge.receive_crash("e1", report("u1", request("r1", "d")), NOW)
    judge.receive_crash("e1", report("u2", request("r2", "d")), NOW + SECOND)
    now = NOW + 2 * SECOND
    decisions = judge.decide(verdicts, now) + judge.decide(
        verdicts, now + WAIT
    )
    proposed = [
        item.command
        for item in decisions
        if isinstance(item, crashjudge.Propose)
    ]
    assert proposed == [
        fleetmessages.LiftVerdict("part:0"),
        fleetmessages.Convict("part:d", 2),
    ]


def test_open_crashes_are_bounded() -> None:
    judge = crashjudge.CrashJudge()
    for number in range(1000):
        judge.receive_crash("e1", report(f"u{number}"), NOW)
    assert len(judge._open_by_key) == evidence.MAX_CRASHES


def test_a_ruling_is_logged_with_the_scores_of_its_suspects() -> None:
    judge = leading_judge()
    for number, at in ((1, 0 * SECOND), (2, SECOND)):
        crash = report(f"u{number}", request("r1"), request(f"s{number}"))
        judge.receive_crash("e1", crash, NOW + at)
        judge.decide({}, NOW + at)
        *_, ruling = [
            item
            for item in judge.decide({}, NOW + at + WAIT)
            if isinstance(item, crashjudge.Ruling)
        ]
    detail = dict(judge.ruling_detail(ruling.message, {}))
    assert detail["upstream"] == "u2" and detail["suspects"] == 2
    first, second = detail["scores"].split(",")
    assert first.startswith("r1/") and second.startswith("s2/")
    assert detail["blamed"] == "r1,s2"


def test_a_verdict_on_a_request_is_lifted_once_its_part_is_convicted() -> None:
    judge = leading_judge()
    now = convict(judge)
    verdicts = verdict() | {
        "request:r1": fleetmessages.Verdict("request:r1", 2),
        "request:r9": fleetmessages.Verdict("request:r9", 2),
    }
    now += crashjudge.PROPOSAL_INTERVAL
    assert judge.decide(verdicts, now) == [
        crashjudge.Propose(fleetmessages.LiftVerdict("request:r1"))
    ]


def judge_of_cleared_crashes() -> (
    tuple[crashjudge.CrashJudge, datetime.timedelta]
):
    """Returns a judge and when the last crash of a cleared part counts."""
    judge = leading_judge()
    answered = fleetmessages.SurvivalReport(["part:d"], [0 * SECOND])
    judge.receive_survivals(answered, NOW)
    now = NOW
    for index in range(3):
        assert judge.decide({}, now) == []
        at = now + 10 * SECOND
        crash = report(f"u{index}", request(f"r{index}", "d"))
        judge.receive_crash("e1", crash, at)
        judge.decide({}, at)
        now = at + crashjudge.CLEARED_WAIT
    return judge, now


def test_a_late_leader_reads_answers_before_it_convicts_a_part() -> None:
    """An answer that clears the part was unread when the crash counted."""
    judge, now = judge_of_cleared_crashes()
    assert judge.decide({}, now, now - SECOND / 2) == []
    answered = fleetmessages.SurvivalReport(["part:d"], [0 * SECOND])
    judge.receive_survivals(answered, now)
    assert judge.decide({}, now + SECOND, now) == []


def test_a_cleared_part_is_convicted_once_all_answers_were_read() -> None:
    judge, now = judge_of_cleared_crashes()
    assert judge.decide({}, now, now - SECOND / 2) == []
    convicted = crashjudge.Propose(fleetmessages.Convict("part:d", 3))
    assert judge.decide({}, now + SECOND / 40, now) == [convicted]
