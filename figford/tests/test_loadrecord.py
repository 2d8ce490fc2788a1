"""Loads from the weight store count until they can't begin any more."""

import datetime

import attrs

from figford import fleetmessages
from figford import formations
from figford import loadrecord
from figford import routes

SECOND = datetime.timedelta(seconds=1)
Result = formations.Result


def _order(
    action: formations.Action = formations.Action.JOIN,
    model: str = "large",
    expected: int = 0,
) -> formations.GroupOrder:
    return formations.GroupOrder(
        "e1", 1, "10.0.0.1:1", action, 1, expected, "g1", 1, model, ("e1",)
    )


def test_an_unanswered_load_counts_until_it_has_begun() -> None:
    record = loadrecord.LoadRecord()
    record.record_order(_order(), SECOND)
    record.record_result(_order(), Result.UNKNOWN, 2 * SECOND)
    assert record.counted(12 * SECOND) == 1
    record.record_count("e1", 1, 1, 12 * SECOND)
    assert record.counted(17 * SECOND) == 1
    assert record.counted(18 * SECOND) == 0
    assert [note.late_ms for note in record.notes] == [None, 11000]


def test_repeats_of_an_order_are_one_load() -> None:
    record = loadrecord.LoadRecord()
    for at in (1, 3):
        record.record_order(_order(), at * SECOND)
        record.record_result(_order(), Result.UNKNOWN, (at + 1) * SECOND)
    assert record.counted(4 * SECOND) == 1
    # One of them was refused; the other may still begin.
    record.record_result(_order(), Result.REFUSED, 4 * SECOND)
    assert record.counted(4 * SECOND) == 1


def test_a_refused_or_unsent_load_does_not_count() -> None:
    for result in (Result.REFUSED, Result.FENCED, Result.UNSENT):
        record = loadrecord.LoadRecord()
        record.record_order(_order(), SECOND)
        record.record_result(_order(), result, SECOND)
        assert record.counted(SECOND) == 0


def test_a_load_whose_number_was_used_by_another_order_never_begins() -> None:
    record = loadrecord.LoadRecord()
    record.record_order(_order(formations.Action.STAGE), SECOND)
    record.record_result(
        _order(formations.Action.STAGE), Result.UNKNOWN, 2 * SECOND
    )
    record.record_result(
        _order(formations.Action.LEAVE, ""), Result.BEGUN, 3 * SECOND
    )
    assert record.counted(3 * SECOND) == 0


def test_an_order_that_was_never_answered_expires() -> None:
    record = loadrecord.LoadRecord()
    record.record_order(_order(), SECOND)
    record.record_result(_order(), Result.UNKNOWN, 2 * SECOND)
    assert record.counted(18 * SECOND) == 1
    assert record.counted(19 * SECOND) == 0


def test_joins_of_hosts_that_stage_other_weights_cause_loads() -> None:
    registration = fleetmessages.Registration(
        "e1", 1, 1, "pool", "10.0.0.1:1", "dc", 13, False,
        domain="d0", staged=["large"],
    )  # fmt: skip
    member = formations.Member(1)
    assert not loadrecord.causes_load(_order(), registration, member)
    member.staging = "small"
    assert loadrecord.causes_load(_order(), registration, member)
    assert loadrecord.causes_load(
        _order(model="small"), registration, formations.Member(1)
    )


ENGINE = routes.Engine(
    slots=13, models=(), loads_per_second=4.0, loads_at_once=6
)


def test_a_planner_knows_the_loads_that_its_predecessor_told_of() -> None:
    predecessor = loadrecord.LoadRecord()
    predecessor.record_order(_order(), SECOND)
    predecessor.record_result(_order(), Result.UNKNOWN, 2 * SECOND)
    successor = loadrecord.LoadRecord()
    # The clocks of two processes differ.
    successor.adopt(predecessor.told(4 * SECOND).loads, 104 * SECOND)
    successor.start(True, 105 * SECOND)
    assert successor.is_undecided("e1", 1)
    assert successor.counted(117 * SECOND) == 1
    assert successor.counted(119 * SECOND) == 0


def test_loads_that_a_planner_no_longer_tells_of_do_not_count() -> None:
    planner = loadrecord.LoadRecord()
    other = loadrecord.LoadRecord()
    planner.record_order(_order(), SECOND)
    other.adopt(planner.told(SECOND).loads, SECOND)
    planner.record_result(_order(), Result.REFUSED, SECOND)
    other.adopt(planner.told(SECOND).loads, SECOND)
    assert other.counted(SECOND) == 0


def test_loads_that_a_predecessor_may_not_have_told_of_are_limited() -> None:
    for heard, most in ((False, 20), (True, 10)):
        record = loadrecord.LoadRecord()
        record.start(heard, SECOND)
        assert record.most_missed(ENGINE, 6 * SECOND) == most
        assert record.most_missed(ENGINE, 6.1 * SECOND) == 0
        assert record.allows(ENGINE, 10, 10, SECOND)
        assert not record.allows(ENGINE, 1, 20, SECOND)


def test_hosts_that_have_begun_no_order_do_not_load() -> None:
    bare = fleetmessages.Registration(
        "e1", 1, 1, "pool", "10.0.0.1:1", "dc", 13, False, domain="d0"
    )
    member = formations.Member(1)
    assert loadrecord.may_be_loading(bare, member)
    member.has_replied = True
    assert not loadrecord.may_be_loading(bare, member)
    member.orders_begun = 1
    assert loadrecord.may_be_loading(bare, member)
    for state, expected in (("joining", True), ("open", False)):
        seat = fleetmessages.FleetSeat(
            "g1", 1, 0, fleetmessages.SeatState(state)
        )
        seated = attrs.evolve(bare, seat=seat)
        assert loadrecord.may_be_loading(seated, member) is expected
