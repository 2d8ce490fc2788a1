"""Orders carry fence and expected count; statuses map to results."""

import json

import attrs
import pytest

from figford import errors
from figford import fleetmessages
from figford import formations
from figford.platform import ordering

ORDER = formations.GroupOrder(
    upstream="i-1",
    incarnation=1,
    address="10.0.0.1:80",
    action=formations.Action.JOIN,
    fence=4,
    expected=2,
    group="g7",
    epoch=12,
    model="m1",
    members=("i-1", "i-2"),
)


def body(**changes: object) -> dict:
    order = attrs.evolve(ORDER, **changes)
    return json.loads(ordering.body(order, fencing=True))


def test_a_join_names_group_epoch_model_and_members() -> None:
    assert body() == {
        "op": "join",
        "fence": 4,
        "expected": 2,
        "model": "m1",
        "members": ["i-1", "i-2"],
        "group": "g7",
        "epoch": 12,
    }


def test_orders_to_a_group_name_only_the_group() -> None:
    for action in (formations.Action.OPEN, formations.Action.LEAVE):
        assert set(body(action=action)) == {
            "op",
            "fence",
            "expected",
            "group",
            "epoch",
        }
    assert body(action=formations.Action.CLOSE)["close_mode"] == "wait"
    assert "group" not in body(action=formations.Action.STAGE)


def test_the_fence_is_omitted_without_fencing() -> None:
    assert "fence" not in json.loads(ordering.body(ORDER, fencing=False))


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (200, formations.Result.HELD),
        (202, formations.Result.BEGUN),
        (409, formations.Result.REFUSED),
        (412, formations.Result.FENCED),
        (421, formations.Result.ANOTHER),
        (500, formations.Result.UNKNOWN),
    ],
)
def test_statuses_map_to_results(
    status: int, result: formations.Result
) -> None:
    assert ordering.result(status) is result


def test_the_count_of_orders_and_the_seat_are_read_from_a_report() -> None:
    assert ordering.read_report(b'{"sequence": 3}').orders_begun == 3
    reply = ordering.read_report(
        b'{"sequence": 1, "group": {"name": "g", "epoch": 4, "rank": 0,'
        b' "state": "closing"}}'
    )
    assert reply.seat.state is fleetmessages.SeatState.CLOSING
    for wrong in (b"", b"[]", b"{}", b'{"sequence": true}'):
        with pytest.raises(errors.MessageError):
            ordering.read_report(wrong)
