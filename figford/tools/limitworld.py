"""Entries, a keeper and upstreams with limits, in virtual time.

The entries are forwarders with the real decisions; what they send arrives at
emulated upstreams that name limits. Messages take one step. Other ways to
share a limit replace the permits of the entries, for comparison.
"""

import bisect
import collections
import datetime
import random
import typing
import zlib

import attrs

from figford import errors
from figford import exchanges
from figford import fleet as fleets
from figford import fleetmessages
from figford import forwarder as forwarders
from figford import forwarding
from figford import limitkeeper
from figford import limits
from figford import metrics
from figford import permits
from figford import placement
from figford import routes
from figford import sharedbudget
from figford import wire

STEP = datetime.timedelta(milliseconds=10)
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
TICK_STEPS = 3
SERVICE = "app"
SERVICE_TIME = datetime.timedelta(milliseconds=40)
SLOTS = 8
WINDOW = datetime.timedelta(seconds=4)
ROUTE = routes.Route(
    "r", "h", "/", routes.RetryMode.IDEMPOTENT, 4 * SECOND,
    500 * MILLISECOND, (routes.Share(SERVICE, 1),), attempts=2,
)  # fmt: skip


class Dialect:
    """A dialect without headers."""

    def request_headers(
        self, headers: wire.HeaderList, outgoing: wire.Outgoing
    ) -> wire.HeaderList:
        """Returns no headers."""
        return []


@attrs.define
class Clock:
    """Virtual time."""

    time: datetime.timedelta = 100 * SECOND

    def now(self) -> datetime.timedelta:
        """Returns the present time."""
        return self.time


@attrs.define
class Upstream:
    """An upstream that names a limit, or None, and counts its requests."""

    name: str
    rate: float | None
    arrivals: list[datetime.timedelta] = attrs.field(factory=list)

    def most_in_window(self, since: datetime.timedelta) -> int:
        """Returns the most requests in any window that ends after a time."""
        return max(
            (
                index + 1 - bisect.bisect_right(self.arrivals, at - WINDOW)
                for index, at in enumerate(self.arrivals)
                if at >= since
            ),
            default=0,
        )


@attrs.define
class EqualShares(permits.Permits):
    """For comparison: each entry has an equal part of every limit."""

    index: int = 0
    entries: int = 1
    # The tokens of each upstream, and when they were counted.
    _bucket_by_upstream: dict[str, tuple[float, datetime.timedelta]] = (
        attrs.field(factory=dict)
    )

    def held(self, upstream: str, now: datetime.timedelta) -> int:
        """Adds what the entry's own bucket allowed since the last call."""
        limit = self.table.by_upstream[upstream]
        rate = (limit.rate or 0.0) * self.part(upstream)
        tokens, at = self._bucket_by_upstream.get(
            upstream, (self._first_tokens(upstream), now)
        )
        tokens = min(1.0 + rate / 4, tokens + rate * ((now - at) / SECOND))
        self._bucket_by_upstream[upstream] = (tokens, now)
        return int(tokens)

    def _first_tokens(self, upstream: str) -> float:
        """Returns tokens as of a bucket that has been in use for long."""
        return (zlib.crc32(f"{self.index}/{upstream}".encode()) % 1000) / 1000

    def part(self, upstream: str) -> float:
        """Returns this entry's part of a limit."""
        return 1 / self.entries

    def withdraw(
        self, upstream: str, incarnation: int, now: datetime.timedelta
    ) -> None:
        """Spends a token."""
        if self.limited(upstream, incarnation):
            tokens, at = self._bucket_by_upstream[upstream]
            self._bucket_by_upstream[upstream] = (tokens - 1.0, at)


@attrs.define
class OneOwner(EqualShares):
    """For comparison: one entry, chosen by hash, has the whole limit."""

    _owner_by_upstream: dict[str, int] = attrs.field(factory=dict)

    def part(self, upstream: str) -> float:
        """Returns 1 at the owner, else 0."""
        owner = self._owner_by_upstream.get(upstream)
        if owner is None:
            owner = zlib.crc32(upstream.encode()) % self.entries
            self._owner_by_upstream[upstream] = owner
        return float(owner == self.index)


def kept_permits(index: int, entries: int) -> permits.Permits:
    """Returns the permits of an entry that asks the keeper for them."""
    return permits.Permits()


@attrs.define
class Responder:
    """Counts how requests ended."""

    outcomes: collections.Counter

    def begin(self, status: int, headers: wire.HeaderList) -> None:
        """Counts an answer."""
        self.outcomes[status] += 1

    def write(self, data: bytes) -> None:
        """Ignores the body."""

    def finish(self) -> None:
        """Ignores the end."""

    def refuse(self, refusal: errors.Refusal) -> None:
        """Counts a refusal."""
        self.outcomes[refusal.status] += 1

    def abort(self) -> None:
        """Counts an aborted answer."""
        self.outcomes["aborted"] += 1


@attrs.define(eq=False)
class Pool:
    """Delivers the requests of one entry to the upstreams."""

    world: "LimitWorld"

    def send(
        self,
        address: str,
        exchange: exchanges.Exchange,
        max_idle: datetime.timedelta | None = None,
    ) -> None:
        """Delivers a request; its answer comes after SERVICE_TIME."""
        exchange.sent = True
        upstream = self.world.upstream_by_name[address]
        self.world.later(STEP, lambda: self._arrive(upstream, exchange))

    def _arrive(
        self, upstream: Upstream, exchange: exchanges.Exchange
    ) -> None:
        upstream.arrivals.append(self.world.clock.now())
        notice = wire.LimitNotice(upstream.rate)
        self.world.later(SERVICE_TIME, lambda: _answer(exchange, notice))

    def drop(self, address: str) -> None:
        """Keeps no connections."""


def _answer(exchange: exchanges.Exchange, notice: wire.LimitNotice) -> None:
    receiver = exchange.receiver
    if receiver is not None:
        receiver.answer_began(
            wire.AnswerHead(200, [], signed=True, limit=notice)
        )
        receiver.answer_ended()


@attrs.define
class LimitWorld:
    """Entries that send requests to upstreams, some of which have limits.

    Entry i gets a part of the requests that is proportional to
    `(i + 1) ** -skew`.
    """

    seed: int
    entries: int
    rates: list[float | None]
    requests_per_second: float
    skew: float = 1.0
    make_permits: typing.Callable[[int, int], permits.Permits] = kept_permits
    clock: Clock = attrs.field(factory=Clock)
    keeper: limitkeeper.LimitKeeper = attrs.field(
        factory=limitkeeper.LimitKeeper
    )
    table: limits.LimitTable = attrs.field(factory=limits.LimitTable)
    upstream_by_name: dict[str, Upstream] = attrs.field(factory=dict)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    messages: collections.Counter = attrs.field(factory=collections.Counter)
    entry_forwarders: list[forwarders.Forwarder] = attrs.field(factory=list)
    # Entries that can't reach the keeper.
    isolated: set[int] = attrs.field(factory=set)
    _rng: random.Random = attrs.field(init=False)
    _due: list = attrs.field(factory=list)
    _scheduled: int = 0
    _steps: int = 0
    _attempts: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the upstreams and the entries; the keeper starts."""
        self._rng = random.Random(self.seed)
        fleet = fleets.FleetTable()
        for index, rate in enumerate(self.rates):
            name = f"u{index:03}"
            self.upstream_by_name[name] = Upstream(name, rate)
            registration = fleetmessages.Registration(
                name, 1, 1, SERVICE, name, "dc", SLOTS
            )
            fleet.report(registration, self.clock.now())
        for index in range(self.entries):
            self.entry_forwarders.append(self._forwarder(index, fleet))
        self.keeper.start(1, self.clock.now())

    def _forwarder(
        self, index: int, fleet: fleets.FleetTable
    ) -> forwarders.Forwarder:
        own = self.make_permits(index, self.entries)
        rng = random.Random(f"{self.seed}/{index}")
        forwarder = forwarders.Forwarder(
            self.clock, Pool(self), Dialect(),
            placement.Placement("dc", rng, permits=own), metrics.Metrics(),
            sharedbudget.BudgetSettings(0.2, 100, 10 * SECOND), rng,
            entries=self.entries,
        )  # fmt: skip
        forwarder.apply_route_table(
            routes.RouteTable(1, (ROUTE,), (routes.Service(SERVICE, 10),))
        )
        forwarder.fleet_changed(fleet)
        forwarder.on_limit = lambda limit: self.later(
            STEP, lambda: self._limit_told(limit)
        )
        slot = fleetmessages.PermitSlot(
            1, index, self.entries, datetime.timedelta(0)
        )
        own.keeper_heard("keeper", 1, self.clock.now())
        own.assign_slot("keeper", slot, self.clock.now())
        return forwarder

    # ---- Messages -------------------------------------------------------

    def later(
        self, delay: datetime.timedelta, event: typing.Callable[[], None]
    ) -> None:
        """Schedules an event."""
        self._scheduled += 1
        item = (self.clock.now() + delay, self._scheduled, event)
        bisect.insort(self._due, item)

    def _limit_told(self, limit: fleetmessages.UpstreamLimit) -> None:
        if self.table.apply(limit):
            for forwarder in self.entry_forwarders:
                self.messages["limits"] += 1
                if forwarder.permits.apply(limit):
                    forwarder.permits_changed()

    def _grant(self) -> None:
        now = self.clock.now()
        if not self.keeper.due(now):
            return
        part = 1 - len(self.isolated) / self.entries
        grants = self.keeper.grant(
            self.table, lambda name, incarnation: [(SERVICE, None)], part, now
        )
        for entry, grant in grants.items():
            self.messages["grants"] += 1
            if int(entry) not in self.isolated:
                self.later(STEP, lambda e=entry, g=grant: self._granted(e, g))

    def _granted(self, entry: str, grant: fleetmessages.PermitGrant) -> None:
        forwarder = self.entry_forwarders[int(entry)]
        if forwarder.permits.receive_grant("keeper", grant, self.clock.now()):
            forwarder.permits_changed()

    # ---- Time -----------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        end = self.clock.now() + seconds * SECOND
        weights = [(i + 1) ** -self.skew for i in range(self.entries)]
        while self.clock.now() < end:
            self.clock.time += STEP
            self._steps += 1
            while self._due and self._due[0][0] <= self.clock.now():
                self._due.pop(0)[2]()
            expected = self.requests_per_second * (STEP / SECOND)
            count = int(expected + self._rng.random())
            for index in self._rng.choices(
                range(self.entries), weights, k=count
            ):
                self._request(self.entry_forwarders[index])
            self._tick()

    def _tick(self) -> None:
        """Runs a third of the entries in each step, and the keeper."""
        now = self.clock.now()
        for index in range(self._steps % TICK_STEPS, self.entries, TICK_STEPS):
            forwarder = self.entry_forwarders[index]
            if index not in self.isolated:
                forwarder.permits.keeper_heard("keeper", 1, now)
            forwarder.tick()
            request = forwarder.permit_request()
            if request is not None and index not in self.isolated:
                self.messages["requests"] += 1
                self.keeper.receive_request(str(index), request, now)
        self._grant()

    def _request(self, forwarder: forwarders.Forwarder) -> None:
        self._attempts += 1
        now = self.clock.now()
        forwarder.begin(
            forwarding.ForwardedCall(
                forwarder, ROUTE, None,
                wire.CallHead(f"a{self._attempts}", 4 * SECOND, None),
                b"POST", b"/", [], b"", Responder(self.outcomes),
                now, now + 4 * SECOND,
            )  # fmt: skip
        )

    # ---- Results --------------------------------------------------------

    def limited(self) -> list[Upstream]:
        """Returns the upstreams that name limits."""
        return [
            upstream
            for upstream in self.upstream_by_name.values()
            if upstream.rate is not None
        ]

    def admitted_part(self, since: datetime.timedelta) -> float:
        """Returns what limited upstreams got, of what they allow."""
        admitted = sum(
            at >= since
            for upstream in self.limited()
            for at in upstream.arrivals
        )
        allowed = sum(upstream.rate for upstream in self.limited()) * (
            (self.clock.now() - since) / SECOND
        )
        return admitted / allowed

    def worst_excess(self, since: datetime.timedelta) -> float:
        """Returns the most requests in a window beyond what it allows."""
        return max(
            upstream.most_in_window(since) - upstream.rate * (WINDOW / SECOND)
            for upstream in self.limited()
        )
