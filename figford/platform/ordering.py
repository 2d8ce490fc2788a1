"""Encodes orders to the platform's upstreams and decodes their answers."""

import json

from figford import errors
from figford import formations
from figford.platform import announcing

REPORT_TARGET = b"/figford/report"
ORDER_TARGET = b"/figford/order"

_RESULT_BY_STATUS = {
    200: formations.Result.HELD,
    202: formations.Result.BEGUN,
    409: formations.Result.REFUSED,
    # The fence number or epoch is lower than one that the upstream has seen.
    412: formations.Result.FENCED,
    421: formations.Result.ANOTHER,
}


def body(order: formations.GroupOrder, fencing: bool) -> bytes:
    """Returns the body of an order."""
    item: dict[str, object] = {"op": order.action.value}
    if fencing:
        item["fence"] = order.fence
    if order.expected is not None:
        item["expected"] = order.expected
    match order.action:
        case formations.Action.STAGE:
            item["model"] = order.model
        case formations.Action.JOIN:
            item["model"] = order.model
            item["members"] = list(order.members)
    if order.action is not formations.Action.STAGE:
        item["group"] = order.group
        item["epoch"] = order.epoch
    if order.action is formations.Action.CLOSE:
        item["close_mode"] = "abort" if order.abort else "wait"
    return json.dumps(item, separators=(",", ":")).encode()


def result(status: int) -> formations.Result:
    """Returns the result of an order that an HTTP status stands for."""
    return _RESULT_BY_STATUS.get(status, formations.Result.UNKNOWN)


def read_report(report: bytes) -> formations.OrderCountReply:
    """Returns the count of orders and the seat in an upstream's report.

    Raises MessageError if the report can't be read.
    """
    try:
        item = json.loads(report)
        # Orders that started an action since the upstream's process started.
        count = item["sequence"]
        seat = announcing.read_seat(item.get("group"))
        return formations.OrderCountReply(count, seat)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        RecursionError,
    ) as error:
        raise errors.MessageError("report can't be read") from error
