"""Data types of group planning: orders, members, formations, planner input.

The leader of the replicated log plans. Its term is the fencing number and
the high part of every epoch, so that a group name and an epoch never
identify two different lists of members.
"""

import datetime
import enum

import attrs

from figford import bounds
from figford import fleetmessages
from figford import routes

# A group may take this long to open, in addition to the time for its loads.
# After that it is dissolved, which frees its members for other groups.
FORMING_SLACK = datetime.timedelta(seconds=6)


class Action(enum.Enum):
    """The action that an order requests from an upstream."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@attrs.frozen
class GroupOrder:
    """An order; `expected` is the number of orders the upstream has begun."""

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
    """The result of an order."""

    BEGUN = "begun"
    HELD = "held"
    REFUSED = "refused"
    FENCED = "fenced"
    ANOTHER = "another"
    UNKNOWN = "unknown"
    UNSENT = "unsent"


@attrs.define
class Member:
    """The planner's record of one upstream incarnation and its orders."""

    incarnation: int
    orders_begun: int | None = 0
    pending: GroupOrder | None = None
    query_due: bool = False
    is_fenced: bool = False
    # The last reply to a query; used once the upstream has signed off and
    # no longer reports.
    has_replied: bool = False
    # The sequence of the last report's content, and the same at the reply.
    content_sequence: int = 0
    replied_sequence: int = -1
    reported_seat: fleetmessages.FleetSeat | None = None
    queried_at: datetime.timedelta = datetime.timedelta(0)
    replied_at: datetime.timedelta = datetime.timedelta(0)
    unanswered_at: datetime.timedelta | None = None
    last_order: GroupOrder | None = None
    last_order_at: datetime.timedelta = datetime.timedelta(0)
    free_since: datetime.timedelta | None = None
    # The group and epoch that it last left on an order.
    left_group: tuple[str, int] | None = None
    # The weights that it was ordered to stage.
    staging: str = ""
    # The model that this member's group, in surplus, was dissolved for.
    reserved_for: str = ""
    # Whether it has accepted an order of this term, so that it refuses those
    # of earlier terms that are still on their way.
    accepted_order: bool = False
    # Whether it has been in a group other than a warm-up group, unlike a
    # host that has only been a spare.
    had_group: bool = False
    # The model of its last group; joining the same model again is fast.
    warm_model: str = ""


class Phase(enum.Enum):
    """The phase of a group as the planner sees it."""

    FORMING = "forming"
    OPENING = "opening"
    SERVING = "serving"
    DISSOLVING = "dissolving"
    # The head may still serve, out of reach; each member is free once it
    # has left.
    ABANDONED = "abandoned"
    # The head has left, is broken or was restarted, so all members are free.
    FREED = "freed"


class Cause(enum.Enum):
    """Why a group changed its phase; counted, so no value holds an id."""

    OPEN = "open"
    HEAD_REPORTS_AGAIN = "head reports again"
    HEAD_BROKEN = "head broken"
    HEAD_CLOSING = "head closing"
    LOST_BEFORE_OPEN = "lost before open"
    DEADLINE = "not open before the deadline"
    NOT_ALL_ORDERED = "not all members were ordered to join"
    HEAD_IS_SILENT = "head silent"
    HEAD_NOT_OPEN = "head not open"
    MEMBER_LEAVING = "member leaving"
    MEMBER_LOST = "member lost"
    HEAD_RETURNED = "head reports again after release"
    FITS_IN_ONE_DOMAIN = "fits in one domain"
    MODEL_IN_SURPLUS = "model in surplus"
    SIZE_CHANGED = "size of the model changed"
    MODEL_REMOVED = "model not configured"
    HEAD_ENDED = "head ended"
    HEAD_GONE = "head gone"
    BROKEN = "broken"
    HEAD_LOST = "head lost"
    HEAD_LEFT = "head left"


@attrs.define
class Formation:
    """A group with one name and epoch; rank 0 in `members` is the head."""

    group: str
    epoch: int
    service: str
    model: str
    members: dict[int, str]
    incarnations: dict[int, int]
    phase: Phase
    since: datetime.timedelta
    deadline: datetime.timedelta
    # The number of members that it was formed with; None if unknown.
    size: int | None = None
    cause: Cause | None = None
    spans_domains: bool = False
    loads: int = 0
    # Whether to close without waiting for requests in progress, which are
    # lost already.
    abort: bool = False
    # Whether another planner formed it, so that its list of members is
    # known only from reports.
    adopted: bool = False

    @property
    def head(self) -> str:
        """Returns the upstream that serves requests for the group."""
        return self.members.get(0, "")

    @property
    def is_given_up(self) -> bool:
        """Returns whether the planner keeps no members for the group."""
        return self.phase in (Phase.ABANDONED, Phase.FREED)


@attrs.frozen
class OrderCountReply:
    """An upstream's reply to a query: its count of orders and its seat."""

    orders_begun: int = attrs.field(validator=bounds.is_count)
    seat: fleetmessages.FleetSeat | None


@attrs.frozen
class View:
    """The input of one planning round.

    `heard_at` is the time of an upstream's last report; since
    `in_touch_since` none was missing.
    `doubted` holds the upstreams that entries recently saw failing. Before
    the first request of the deployment (`warming_up`) the weight store has
    no rate limit. After a start or a pause of this process its reports are
    not `settled`, so that no one's silence means a loss yet. Reports that
    arrived until `read_until` have been read, all until now where None;
    silence and deadlines count only up to it.
    """

    fleet: dict[str, fleetmessages.Registration]
    heard_at: dict[str, datetime.timedelta]
    in_touch_since: dict[str, datetime.timedelta]
    silent: frozenset[str]
    engines: dict[str, routes.Engine]
    doubted: frozenset[str] = frozenset()
    warming_up: bool = False
    settled: bool = True
    read_until: datetime.timedelta | None = None


@attrs.frozen
class Note:
    """A change of a group that is logged and counted by event and cause.

    `detail` is the text that is logged as the cause; `fields` are logged
    beside it.
    """

    event: str
    group: str
    epoch: int
    detail: str
    cause: Cause | None = None
    fields: tuple[tuple[str, str], ...] = ()
