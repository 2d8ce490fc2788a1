"""Messages about upstreams between controllers and entries."""

import enum

import attrs


class SeatState(enum.Enum):
    """How far a member is in its group; `OPEN` heads serve."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class FleetSeat:
    """The group that an upstream says it belongs to."""

    group: str
    epoch: int
    rank: int
    state: SeatState


@attrs.frozen
class Registration:
    """What an upstream says of itself, or its end (`gone`).

    `incarnation` is the time of its start in Unix milliseconds; `sequence`
    rises with each of its reports. One that signed off takes no new work
    but may go on with what it has; `gone` says that its process ended.
    """

    upstream: str
    incarnation: int
    sequence: int
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    domain: str = ""
    models: list[str] = attrs.field(factory=list)
    staged: list[str] = attrs.field(factory=list)
    seat: FleetSeat | None = None
    signed_off: bool = False
    gone: bool = False


@attrs.frozen
class FleetUpdate:
    """Registrations that are new or differ from what was told before."""

    registrations: list[Registration]


@attrs.frozen
class FleetBeats:
    """Upstreams heard first-hand with nothing new to say.

    The three lists belong together by position.
    """

    upstreams: list[str]
    incarnations: list[int]
    sequences: list[int]


@attrs.frozen
class CallersSeen:
    """Tells that the first request of a caller reached an entry."""


@attrs.frozen
class UpstreamDoubt:
    """What an entry saw of a target: it fails, or it works again."""

    upstream: str
    incarnation: int
    failing: bool


@attrs.frozen
class FleetStatus:
    """What the leading controller tells entries beside registrations.

    `silent` are upstreams that no controller hears; `entries` counts the
    entries that share the budget of repeated requests.
    """

    silent: list[str]
    entries: int


@attrs.frozen
class RoutesView:
    """A route table in the form in which it was submitted, compressed."""

    version: int
    document: bytes


@attrs.frozen
class RoutesPull:
    """Asks for a route table newer than `version`."""

    version: int


@attrs.frozen
class StoreRoutes:
    """Command: takes a route table into force unless a newer one is."""

    version: int
    document: bytes


@attrs.frozen
class RoutesStored:
    """A route table of this or a higher version is in force."""

    version: int
