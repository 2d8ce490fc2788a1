"""Messages about upstreams between controllers and entries."""

import datetime
import enum

import attrs

from figford import bounds


class SeatState(enum.Enum):
    """State of a member in its group; a head that is `OPEN` serves."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class FleetSeat:
    """The group membership that an upstream reports."""

    group: str = attrs.field(validator=bounds.is_text)
    epoch: int = attrs.field(validator=bounds.is_count)
    rank: int = attrs.field(validator=bounds.is_count)
    state: SeatState


def is_open_head(seat: FleetSeat | None) -> bool:
    """Returns whether an upstream with this seat takes requests."""
    return seat is not None and seat.rank == 0 and seat.state is SeatState.OPEN


@attrs.frozen
class Registration:
    """An upstream's description of itself, or the record of its end.

    `incarnation` is its start time in Unix milliseconds; `sequence`
    increases with each of its reports. An upstream that signed off takes no
    new work but may finish what is in progress; `gone` means that its
    process has ended.
    """

    upstream: str = attrs.field(validator=bounds.is_text)
    incarnation: int = attrs.field(validator=bounds.is_count)
    sequence: int = attrs.field(validator=bounds.is_count)
    service: str = attrs.field(validator=bounds.is_text)
    address: str = attrs.field(validator=bounds.is_text)
    data_centre: str = attrs.field(validator=bounds.is_text)
    slots: int = attrs.field(validator=bounds.is_count)
    leaving: bool = False
    domain: str = attrs.field(default="", validator=bounds.is_text)
    models: list[str] = attrs.field(factory=list, validator=bounds.are_texts)
    staged: list[str] = attrs.field(factory=list, validator=bounds.are_texts)
    seat: FleetSeat | None = None
    signed_off: bool = False
    gone: bool = False


@attrs.frozen
class FleetUpdate:
    """Registrations that are new or changed since they were last sent."""

    registrations: list[Registration]


@attrs.frozen
class FleetBeats:
    """Upstreams that reported to the sender without any change.

    The three lists are parallel.
    """

    upstreams: list[str]
    incarnations: list[int]
    sequences: list[int]


@attrs.frozen
class CallersSeen:
    """Reports that an entry has received its first request of a caller."""


@attrs.frozen
class KnownLoad:
    """A load from the weight store that a planner ordered.

    `number` is how many orders the upstream had begun. `ordered_ago` is the
    time since the last such order; `begun_ago` is None if the load may still
    begin.
    """

    upstream: str
    incarnation: int
    number: int
    model: str
    ordered_ago: datetime.timedelta
    begun_ago: datetime.timedelta | None


@attrs.frozen
class LoadsTold:
    """All loads that count against the weight store's rate.

    The planner tells the other controllers, one of which succeeds it.
    """

    loads: list[KnownLoad]


@attrs.frozen
class UpstreamDoubt:
    """An entry's observation that an upstream fails or works again."""

    upstream: str
    incarnation: int
    failing: bool


@attrs.frozen
class UpstreamLimit:
    """An upstream's limit in requests per second, from all entries together.

    `rate` is None if the upstream names no limit.
    """

    upstream: str
    incarnation: int
    rate: float | None


@attrs.frozen
class UpstreamLimits:
    """Limits that the sender knows, and the ends of some."""

    limits: list[UpstreamLimit]


@attrs.frozen
class PermitWant:
    """The permits that an entry wants for a model of a service.

    `waiting` requests are queued; `expected` more are likely to come soon.
    Permits of the `excluded` upstreams would be of no use to the entry.
    """

    service: str
    model: str | None
    waiting: int
    expected: int
    excluded: list[str] = attrs.field(factory=list)


@attrs.frozen
class PermitRequest:
    """All that an entry wants; replaces its earlier requests."""

    sequence: int
    wants: list[PermitWant]


@attrs.frozen
class Permit:
    """The right to send `count` requests to an upstream with a limit."""

    upstream: str
    incarnation: int
    count: int


@attrs.frozen
class PermitGrant:
    """Permits from the leader of `term`.

    They expire some time after the entry sent the request `sequence`.
    """

    term: int
    sequence: int
    permits: list[Permit]


@attrs.frozen
class SlotShare:
    """The part of each limit that an entry has as slots: 1 / `divisor`."""

    entry: str
    divisor: int


@attrs.frozen
class AssignSlots:
    """Command: these entries, in this order, may use slots of limits."""

    shares: list[SlotShare]


@attrs.frozen
class PermitSlot:
    """The time slots that an entry uses while it hears no leader.

    A slot of a limit lasts as long as the limit takes for one request. Of
    `entries` slots, the one with the number `index` is the entry's. Slot 0
    began `elapsed` before this message was sent.
    """

    term: int
    index: int
    entries: int
    elapsed: datetime.timedelta


@attrs.frozen
class Suspect:
    """A request that was beginning when its upstream crashed.

    `request` is the same for the caller's repeats of it; `parts` are the
    prompt parts that it may share with other requests.
    """

    request: str
    parts: list[str]


@attrs.frozen
class CrashReport:
    """An upstream's crash, and the sender's requests that were beginning.

    It is not `confirmed` if the address still accepted a connection but
    closed it at once, as a proxy does for a crashed upstream and a network
    fault for a sound one.
    """

    upstream: str
    incarnation: int
    # Time since the crash.
    age: datetime.timedelta
    suspects: list[Suspect]
    confirmed: bool = True
    # The suspects whose connections were closed at once, and how long after
    # the crash each was sent.
    closed_sent_after: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )


@attrs.frozen
class SurvivalQuery:
    """Asks for answers with these traits that went on past the beginning."""

    traits: list[str]


@attrs.frozen
class SurvivalReport:
    """The time since the latest such answer, by trait; parallel lists."""

    traits: list[str]
    ages: list[datetime.timedelta]


@attrs.frozen
class CrashRuling:
    """The requests that a crash is blamed on; the others may be repeated."""

    upstream: str
    incarnation: int
    blamed: list[str]


@attrs.frozen
class Verdict:
    """A trait of requests that crashes upstreams; they are refused."""

    trait: str
    crashes: int
    # Requests that were let through to test whether the trait still crashes.
    probes: int = 0


@attrs.frozen
class Verdicts:
    """All verdicts in force; a higher revision replaces a lower one."""

    revision: int
    verdicts: list[Verdict]


@attrs.frozen
class VerdictDemand:
    """Traits of requests that the sender refused lately."""

    traits: list[str]


@attrs.frozen
class ProbeGrant:
    """Lets the receiver send one request with a convicted trait."""

    trait: str


@attrs.frozen
class Convict:
    """Command: refuse requests with a trait."""

    trait: str
    crashes: int


@attrs.frozen
class RecordProbe:
    """Command: one request with a convicted trait is let through.

    Nothing happens if there were not `probes` before it.
    """

    trait: str
    probes: int


@attrs.frozen
class LiftVerdict:
    """Command: no longer refuse requests with a trait."""

    trait: str


@attrs.frozen
class FleetStatus:
    """Status that the leading controller sends to the entries.

    `silent` lists the upstreams whose reports reach no controller;
    `entries` counts the entries that share the retry budget.
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
    """Requests a route table newer than `version`."""

    version: int


@attrs.frozen
class StoreRoutes:
    """Command: puts a route table in force unless a newer one already is."""

    version: int
    document: bytes


@attrs.frozen
class RoutesStored:
    """A route table of this or a higher version is in force."""

    version: int
