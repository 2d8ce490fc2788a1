"""The emulated engines are as strict as the protocol."""

import datetime
import random

import pytest

from figford import formations
from figford import routes
from figford.tools import enginefleet

SECOND = datetime.timedelta(seconds=1)
NAMES = ("e0", "e1")
MODEL = routes.Model("m", len(NAMES), 1.0, 1.0, 4 * SECOND, SECOND)
READY_AT = 5 * SECOND
SeatState = enginefleet.SeatState
Action = formations.Action
Result = formations.Result


def started_fleet() -> enginefleet.EngineFleet:
    """Returns engines that are ready in the group `g1`, not yet open."""
    fleet = enginefleet.EngineFleet({"m": MODEL}, random.Random(1))
    for name in NAMES:
        fleet.add(enginefleet.Engine(name, "pool", "d", "dc", f"{name}:1"))
        assert send(fleet, name, Action.JOIN, READY_AT) is Result.BEGUN
    fleet.advance(2 * READY_AT)
    return fleet


def send(
    fleet: enginefleet.EngineFleet,
    name: str,
    action: Action,
    now: datetime.timedelta,
    epoch: int = 1,
    abort: bool = False,
) -> Result:
    """Sends an order for the group of this epoch."""
    order = formations.GroupOrder(
        upstream=name,
        incarnation=1,
        address="",
        action=action,
        fence=1,
        expected=None,
        group=f"g{epoch}",
        epoch=epoch,
        model="m",
        members=NAMES,
        abort=abort,
    )
    return fleet.order(order, now)


def head_state(fleet: enginefleet.EngineFleet) -> SeatState:
    """Returns the state of the head."""
    seat = fleet.by_name["e0"].seat
    assert seat is not None
    return seat.state


def test_a_member_is_not_taken_while_its_head_finishes_its_work() -> None:
    fleet = started_fleet()
    fleet.work_time = 3 * SECOND
    send(fleet, "e0", Action.OPEN, 10 * SECOND)
    assert send(fleet, "e0", Action.CLOSE, 11 * SECOND) is Result.BEGUN
    fleet.advance(13 * SECOND)
    assert head_state(fleet) is SeatState.CLOSING
    with pytest.raises(enginefleet.InvariantViolation):
        send(fleet, "e1", Action.JOIN, 13 * SECOND, epoch=2)
    fleet.advance(14 * SECOND)
    assert head_state(fleet) is SeatState.READY
    assert send(fleet, "e1", Action.JOIN, 14 * SECOND, epoch=2) is Result.BEGUN


def test_a_close_that_aborts_does_not_wait_for_work() -> None:
    fleet = started_fleet()
    fleet.work_time = 3 * SECOND
    send(fleet, "e0", Action.OPEN, 10 * SECOND)
    send(fleet, "e0", Action.CLOSE, 11 * SECOND)
    send(fleet, "e0", Action.CLOSE, 11 * SECOND, abort=True)
    assert head_state(fleet) is SeatState.READY


def test_a_closing_head_that_stalls_breaks_only_after_the_timeout() -> None:
    fleet = started_fleet()
    fleet.work_time = SECOND
    send(fleet, "e0", Action.OPEN, 10 * SECOND)
    fleet.crash("e1", 11 * SECOND)
    send(fleet, "e0", Action.CLOSE, 11 * SECOND)
    fleet.advance(14 * SECOND)
    assert head_state(fleet) is SeatState.CLOSING
    fleet.advance(11 * SECOND + enginefleet.STALL_TIMEOUT)
    assert head_state(fleet) is SeatState.BROKEN


def test_a_head_that_opens_after_it_lost_a_member_breaks() -> None:
    fleet = started_fleet()
    fleet.crash("e1", 10 * SECOND)
    fleet.advance(11 * SECOND)
    assert send(fleet, "e0", Action.OPEN, 12 * SECOND) is Result.BEGUN
    assert not fleet.serving("m")
    fleet.advance(12 * SECOND + enginefleet.STALL_TIMEOUT)
    assert head_state(fleet) is SeatState.BROKEN


def test_an_order_whose_reply_is_lost_takes_effect() -> None:
    fleet = started_fleet()
    fleet.lost_reply_share = 1.0
    assert send(fleet, "e0", Action.OPEN, 10 * SECOND) is Result.UNKNOWN
    assert head_state(fleet) is SeatState.OPEN


def test_a_reply_to_a_query_lags_behind_the_state() -> None:
    fleet = started_fleet()
    head = fleet.by_name["e0"]
    fleet.advance(11 * SECOND)
    send(fleet, "e0", Action.OPEN, 11 * SECOND)
    fleet.advance(11 * SECOND + enginefleet.REPORT_LAG / 2)
    reply = head.reply(11 * SECOND + enginefleet.REPORT_LAG / 2)
    assert reply.orders_begun == 1
    assert reply.seat is not None and reply.seat.state is SeatState.READY
    fleet.advance(12 * SECOND)
    reply = head.reply(12 * SECOND + enginefleet.REPORT_LAG)
    assert reply.orders_begun == 2
    assert reply.seat is not None and reply.seat.state is SeatState.OPEN
