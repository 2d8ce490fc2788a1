"""Groups whose upstreams take joins by epoch: orders, members, formations.

The leader of the replicated log plans; its term is the fencing number and
the high part of every epoch, so that a name and an epoch never stand for
two lists of members.
"""

import datetime
import enum

import attrs

from figford import fleetmessages
from figford import routes

# Members of a group that does not come up are given to others after this
# long beyond the time that loads need.
FORMING_SLACK = datetime.timedelta(seconds=6)


class Action(enum.Enum):
    """What an order asks of an upstream."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@attrs.frozen
class GroupOrder:
    """One order; `expected` is the count of orders the upstream began."""

    upstream: str
    incarnation: int
    address: str
    action: Action
    fence: int
    expected: int | None
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    abort: bool = False


class Result(enum.Enum):
    """What came of an order."""

    BEGUN = "begun"
    HELD = "held"
    REFUSED = "refused"
    FENCED = "fenced"
    ANOTHER = "another"
    UNKNOWN = "unknown"
    UNSENT = "unsent"


@attrs.define
class Member:
    """What the planner knows of the orders to one upstream's life."""

    incarnation: int
    begun: int | None = 0
    pending: GroupOrder | None = None
    ask_due: bool = False
    is_fenced: bool = False
    # What it answered last, once it does not report by itself any more.
    has_replied: bool = False
    reported_seat: fleetmessages.FleetSeat | None = None
    asked_at: datetime.timedelta = datetime.timedelta(0)
    replied_at: datetime.timedelta = datetime.timedelta(0)
    unanswered_at: datetime.timedelta | None = None
    last_order: GroupOrder | None = None
    last_order_at: datetime.timedelta = datetime.timedelta(0)
    free_since: datetime.timedelta | None = None
    # The group and epoch that it left last, on an order.
    left_group: tuple[str, int] | None = None
    # The weights that it was ordered to stage.
    staging: str = ""
    # The model that a group in surplus was given up for.
    reserved_for: str = ""
    # Whether it was in a group before, which makes it no mere spare.
    had_group: bool = False
    # The model of its last group, which it joins again in a moment.
    warm_model: str = ""


class Phase(enum.Enum):
    """How far a group is, as the planner sees it."""

    FORMING = "forming"
    OPENING = "opening"
    SERVING = "serving"
    DISSOLVING = "dissolving"
    FREED = "freed"


@attrs.define
class Formation:
    """A group under one name and epoch; `members` starts with the head."""

    group: str
    epoch: int
    service: str
    model: str
    members: dict[int, str]
    incarnations: dict[int, int]
    phase: Phase
    since: datetime.timedelta
    deadline: datetime.timedelta
    reason: str = ""
    spans_domains: bool = False
    loads: int = 0
    # Whether its work is lost anyway and need not be waited for.
    abort: bool = False
    # Whether another planner formed it, so that its list is not known.
    adopted: bool = False

    @property
    def head(self) -> str:
        """Returns the upstream that serves for the group."""
        return self.members.get(0, "")


@attrs.frozen
class OrderCountReply:
    """An upstream's own count of orders begun, and its seat."""

    begun: int
    seat: fleetmessages.FleetSeat | None


@attrs.frozen
class View:
    """What a round of planning sees.

    `doubted` are upstreams that entries lately saw failing. Before the
    first request of all (`warming_up`) the weight store has no rate limit.
    """

    fleet: dict[str, fleetmessages.Registration]
    heard_at: dict[str, datetime.timedelta]
    silent: frozenset[str]
    engines: dict[str, routes.Engine]
    doubted: frozenset[str] = frozenset()
    warming_up: bool = False


@attrs.frozen
class Note:
    """A change of a group that is worth a log line."""

    event: str
    group: str
    epoch: int
    detail: str
