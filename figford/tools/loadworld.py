"""Entries and batching engines under load and faults, in virtual time.

The entries are forwarders with the real decisions on placing, waiting and
refusing. The engines run requests in passes: a pass takes longer the more
requests run, admits waiting ones while slots are free, and ends with an event
of each. Callers come back once after a refusal, when they were told to. They
may leave a stream that is silent for long.
"""

import collections
import datetime
import heapq
import random
import typing

import attrs
import logbook
import typer

from figford import errors
from figford import exchanges
from figford import fleet as fleets
from figford import fleetmessages
from figford import forwarder as forwarders
from figford import forwarding
from figford import metrics
from figford import placement
from figford import routes
from figford import sharedbudget
from figford.tools import limitworld
from figford import wire

SECOND = limitworld.SECOND
MILLISECOND = limitworld.MILLISECOND
START = 100 * SECOND
TICK = 20 * MILLISECOND
NETWORK_DELAY = MILLISECOND
WINDOW_SECONDS = 2
SERVICE = "pool"
MODEL = "m"
SLOTS = 13
# Requests beyond the slots that an engine queues before it rejects some.
ENGINE_QUEUE = 13
TOKENS_PER_PASS = 6
# Callers that leave do so after a silence of this length at least.
MIN_PATIENCE = 2 * SECOND
OUTCOMES = (
    "in aim", "late", "refused", "failed", "left", "cut", "expired"
)  # fmt: skip
PREFILL_TOKENS_PER_SECOND = 56_000.0
ENGINE = routes.Engine(
    slots=SLOTS,
    models=(routes.Model(MODEL, 6, 1.0, 1.0, 16 * SECOND, 1.6 * SECOND),),
    step_ms=6.45,
    step_ms_per_sequence=0.482,
    prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
    cross_domain_factor=3.0,
    steps_per_pass=TOKENS_PER_PASS,
    typical_prompt_tokens=1100.0,
)


@attrs.frozen
class Kind:
    """One kind of request and its share of all."""

    name: str
    share: float
    prompt_tokens: int
    output_tokens: int
    objective: datetime.timedelta
    budget: datetime.timedelta = 6 * SECOND
    # The longest pause between two events that callers accept.
    gap_target: datetime.timedelta = 300 * MILLISECOND

    @property
    def patience(self) -> datetime.timedelta:
        """Returns the silence after which callers may leave a stream."""
        return max(MIN_PATIENCE, 4 * self.objective, 8 * self.gap_target)

    @property
    def route(self) -> routes.Route:
        """Returns the route of these requests."""
        return routes.Route(
            self.name, "h", f"/{self.name}/", routes.RetryMode.STREAM,
            self.budget, self.objective, (routes.Share(SERVICE, 1),),
            attempts=2, resumable=True,
        )  # fmt: skip


KINDS = (
    Kind("notes", 0.55, 1460, 174, 400 * MILLISECOND, 8 * SECOND),
    Kind(
        "checks", 0.45, 2000, 24, 400 * MILLISECOND, 5 * SECOND,
        200 * MILLISECOND,
    ),  # fmt: skip
)


@attrs.define(eq=False)
class _Work:
    """A request at an engine."""

    exchange: exchanges.Exchange
    kind: Kind
    prefilled: bool = False
    events: int = 0


@attrs.define(eq=False)
class Engine:
    """The head of a group.

    A group that lost a member is `stalled`: it takes requests and answers
    none.
    """

    world: "LoadWorld"
    name: str
    slowdown: float = 1.0
    stalled: bool = False
    waiting: list[_Work] = attrs.field(factory=list)
    running: list[_Work] = attrs.field(factory=list)
    rejected: int = 0
    _in_pass: bool = False

    def arrive(self, work: _Work) -> None:
        """Queues a request, or rejects it if the queue is full."""
        if work.exchange.receiver is None:
            return
        self._discard_cancelled()
        if len(self.waiting) >= ENGINE_QUEUE:
            self.rejected += 1
            self._answer(work, 503)
            return
        self.waiting.append(work)
        self.begin_pass()

    def _discard_cancelled(self) -> None:
        self.waiting = [
            work for work in self.waiting if work.exchange.receiver is not None
        ]
        self.running = [
            work for work in self.running if work.exchange.receiver is not None
        ]

    def begin_pass(self) -> None:
        """Admits waiting requests and runs one pass, unless one is running."""
        if self._in_pass or self.stalled:
            return
        self._discard_cancelled()
        free = SLOTS - len(self.running)
        self.running += self.waiting[:free]
        del self.waiting[:free]
        if not self.running:
            return
        self._in_pass = True
        seconds = sum(
            work.kind.prompt_tokens / PREFILL_TOKENS_PER_SECOND
            for work in self.running
            if not work.prefilled
        )
        step_ms = ENGINE.step_ms + ENGINE.step_ms_per_sequence * len(
            self.running
        )
        seconds += TOKENS_PER_PASS * step_ms / 1000
        self.world.later(seconds * self.slowdown * SECOND, self._end_pass)

    def _end_pass(self) -> None:
        self._in_pass = False
        if self.stalled:
            return
        for work in list(self.running):
            work.prefilled = True
            work.events += 1
            if work.events == 1:
                self._answer(work, 200)
            if work.exchange.receiver is not None:
                work.exchange.receiver.answer_data(
                    b"id: %d\ndata: x\n\n" % work.events
                )
            if work.events * TOKENS_PER_PASS >= work.kind.output_tokens:
                self.running.remove(work)
                receiver, work.exchange.receiver = work.exchange.receiver, None
                if receiver is not None:
                    receiver.answer_ended()
        self.begin_pass()

    def pause(self, duration: datetime.timedelta) -> None:
        """Stands still for a time; the running requests go on after it."""
        self.stalled = True
        self.world.later(duration, self._resume)

    def _resume(self) -> None:
        self.stalled = False
        self.begin_pass()

    def _answer(self, work: _Work, status: int) -> None:
        if work.exchange.receiver is None:
            return
        load = wire.UpstreamLoad(len(self.running), len(self.waiting), SLOTS)
        work.exchange.receiver.answer_began(
            wire.AnswerHead(
                status, [], signed=status == 200, not_run=status == 503,
                streamed=status == 200, load=load,
            )  # fmt: skip
        )


@attrs.define(eq=False)
class Pool:
    """Delivers the requests of one entry to the engines."""

    world: "LoadWorld"

    def send(
        self,
        address: str,
        exchange: exchanges.Exchange,
        max_idle: datetime.timedelta | None = None,
    ) -> None:
        """Delivers a request."""
        exchange.sent = True
        world = self.world
        kind = world.kind_by_path[exchange.target]
        work = _Work(exchange, kind)
        engine = world.engine_by_name[address]
        world.later(NETWORK_DELAY, lambda: engine.arrive(work))

    def is_connected(self, address: str) -> bool:
        """Returns true: no connection breaks."""
        return True

    def drop(self, address: str) -> None:
        """Keeps no connections."""


@attrs.define(eq=False)
class Caller:
    """One request of a caller, with its repeat after a refusal.

    An answer that is cut before its deadline counts as `cut`, one that is cut
    at it as `expired`.
    """

    world: "LoadWorld"
    kind: Kind
    asked_at: datetime.timedelta
    tries: int = 0
    began_at: datetime.timedelta | None = None
    # When the present try was sent, or its last event came.
    _heard_at: datetime.timedelta = datetime.timedelta(0)

    def ask(self) -> None:
        """Sends the request to a random entry."""
        world = self.world
        now = world.clock.now()
        remaining = self.asked_at + self.kind.budget - now
        self.tries += 1
        world.attempts += 1
        forwarder = world.rng.choice(world.entries)
        route = world.route_by_kind[self.kind.name]
        call = forwarding.ForwardedCall(
            forwarder, route, None,
            wire.CallHead(
                f"a{world.attempts}", remaining, None, model=MODEL,
                prompt_tokens=self.kind.prompt_tokens,
                output_tokens=self.kind.output_tokens,
            ),
            b"POST", b"/" + self.kind.name.encode(), [], b"", self,
            now, now + remaining,
        )  # fmt: skip
        self._heard_at = now
        forwarder.begin(call)
        if world.callers_leave:
            self._leave_if_silent(call)

    def _leave_if_silent(self, call: forwarding.ForwardedCall) -> None:
        """Leaves a stream that has been silent for long, else waits."""
        if call.state is forwarding.State.ENDED:
            return
        world = self.world
        leaves_at = self._heard_at + self.kind.patience
        if world.clock.now() >= leaves_at:
            call.caller_left()
            world.record(self, "left")
            return
        world.later(
            leaves_at - world.clock.now(), lambda: self._leave_if_silent(call)
        )

    def begin(self, status: int, headers: wire.HeaderList) -> None:
        """Records when the answer began."""
        self.began_at = self.world.clock.now()

    def write(self, data: bytes) -> None:
        """Records when the last event came."""
        self._heard_at = self.world.clock.now()

    def finish(self) -> None:
        """Records an answer."""
        began_at = self.began_at or self.world.clock.now()
        in_time = began_at - self.asked_at <= self.kind.objective
        self.world.record(self, "in aim" if in_time else "late")

    def refuse(self, refusal: errors.Refusal) -> None:
        """Comes back once, if there is time."""
        left = self.asked_at + self.kind.budget - self.world.clock.now()
        after = refusal.retry_after
        if refusal.status != 503 or self.tries > 1 or after is None:
            kind = "refused" if refusal.status == 503 else "failed"
            self.world.record(self, kind)
            return
        self.world.later(min(after, left / 3), self.ask)

    def abort(self) -> None:
        """Records a cut answer."""
        in_time = self.world.clock.now() < self.asked_at + self.kind.budget
        self.world.record(self, "cut" if in_time else "expired")


@attrs.define
class LoadWorld:
    """Entries, engines and callers; `rate` is in requests per second."""

    seed: int
    entry_count: int
    group_count: int
    rate: float
    kinds: tuple[Kind, ...] = KINDS
    callers_leave: bool = False
    clock: limitworld.Clock = attrs.field(factory=limitworld.Clock)
    engine_by_name: dict[str, Engine] = attrs.field(factory=dict)
    entries: list[forwarders.Forwarder] = attrs.field(factory=list)
    rng: random.Random = attrs.field(init=False)
    fleet: fleets.FleetTable = attrs.field(factory=fleets.FleetTable)
    kind_by_path: dict[bytes, Kind] = attrs.field(factory=dict)
    route_by_kind: dict[str, routes.Route] = attrs.field(factory=dict)
    # By the start of a window, in seconds, and the kind.
    outcomes: dict[tuple[int, str], collections.Counter] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    attempts: int = 0
    _due: list = attrs.field(factory=list)
    _scheduled: int = 0
    _reports: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the engines and the entries, and starts the callers."""
        self.rng = random.Random(self.seed)
        for kind in self.kinds:
            self.kind_by_path[b"/" + kind.name.encode()] = kind
            self.route_by_kind[kind.name] = kind.route
        for index in range(self.group_count):
            self.open_group(f"u{index}")
        for index in range(self.entry_count):
            self.entries.append(self._make_entry(index))
            offset = TICK * index / self.entry_count
            self.later(offset, lambda i=index: self._tick(i))
        self._schedule_arrival()

    def _make_entry(self, index: int) -> forwarders.Forwarder:
        rng = random.Random(f"{self.seed}/{index}")
        forwarder = forwarders.Forwarder(
            self.clock, Pool(self), limitworld.Dialect(),
            placement.Placement("dc", rng), metrics.Metrics(),
            sharedbudget.BudgetSettings(0.2, 130, 10 * SECOND), rng,
            entries=self.entry_count,
        )  # fmt: skip
        table = routes.RouteTable(
            1,
            tuple(self.route_by_kind.values()),
            (routes.Service(SERVICE, 400, ENGINE),),
        )
        forwarder.apply_route_table(table)
        forwarder.fleet_changed(self.fleet)
        return forwarder

    # ---- Faults ---------------------------------------------------------

    def open_group(self, name: str, slowdown: float = 1.0) -> None:
        """Opens a group with a head of this name."""
        engine = Engine(self, name, slowdown)
        self.engine_by_name[name] = engine
        states = fleetmessages.SeatState
        self._report(name, name, 0, states.OPEN)
        if slowdown > 1.0:
            self._report(f"{name}-far", name, 1, states.READY, "far")
        self._tell_entries()

    def close_group(self, name: str) -> None:
        """Takes a group out of the fleet."""
        self._report(name, name, 0, fleetmessages.SeatState.CLOSING)
        self._tell_entries()

    def stall_group(self, name: str) -> None:
        """Makes a group stand still, as after the loss of a member."""
        self.engine_by_name[name].stalled = True

    def pause_groups(self, count: int, interval: datetime.timedelta) -> None:
        """Makes some groups stand still for 1 to 2 s in each interval."""
        for name in self.rng.sample(sorted(self.engine_by_name), count):
            duration = self.rng.uniform(1.0, 2.0) * SECOND
            self.engine_by_name[name].pause(duration)
        self.later(interval, lambda: self.pause_groups(count, interval))

    def _report(
        self,
        name: str,
        group: str,
        rank: int,
        state: fleetmessages.SeatState,
        domain: str = "near",
    ) -> None:
        """Reports an engine and its seat to the fleet."""
        self._reports += 1
        seat = fleetmessages.FleetSeat(group, 1, rank, state)
        self.fleet.report(fleetmessages.Registration(
            name,
            1,
            self._reports,
            SERVICE,
            name,
            "dc",
            SLOTS,
            models=[MODEL],
            seat=seat,
            domain=domain,
            ),  # fmt: skip
            self.clock.now(),
        )

    def _tell_entries(self) -> None:
        for forwarder in self.entries:
            self.later(
                NETWORK_DELAY, lambda f=forwarder: f.fleet_changed(self.fleet)
            )

    # ---- Time -----------------------------------------------------------

    def later(
        self, delay: datetime.timedelta, event: typing.Callable[[], None]
    ) -> None:
        """Schedules an event."""
        self._scheduled += 1
        item = (self.clock.now() + delay, self._scheduled, event)
        heapq.heappush(self._due, item)

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        end = self.clock.now() + seconds * SECOND
        while self._due[0][0] <= end:
            self.clock.time, _, event = heapq.heappop(self._due)
            event()
        self.clock.time = end

    def _schedule_arrival(self) -> None:
        wait = self.rng.expovariate(self.rate or 1e-9) * SECOND
        self.later(min(wait, SECOND), self._arrive)

    def _arrive(self) -> None:
        weights = [kind.share for kind in self.kinds]
        (kind,) = self.rng.choices(self.kinds, weights)
        Caller(self, kind, self.clock.now()).ask()
        self._schedule_arrival()

    def _tick(self, index: int) -> None:
        self.entries[index].tick()
        self.later(TICK, lambda: self._tick(index))

    # ---- Results --------------------------------------------------------

    def record(self, caller: Caller, outcome: str) -> None:
        """Counts how a request ended, in the window in which it came."""
        seconds = int((caller.asked_at - START) / SECOND)
        window = seconds // WINDOW_SECONDS * WINDOW_SECONDS
        self.outcomes[window, caller.kind.name][outcome] += 1

    def share(
        self, outcome: str, since: float = 0.0, until: float = 1e9
    ) -> float:
        """Returns the share of the requests that ended so."""
        counted: collections.Counter[str] = collections.Counter()
        for (window, _), outcomes in self.outcomes.items():
            if since <= window < until:
                counted += outcomes
        return counted[outcome] / max(1, counted.total())

    def count(self, outcome: str) -> int:
        """Returns the number of requests that ended so."""
        return sum(counts[outcome] for counts in self.outcomes.values())

    def events(self) -> collections.Counter[str]:
        """Returns the events that the entries counted in their metrics."""
        events: collections.Counter[str] = collections.Counter()
        for forwarder in self.entries:
            for labels, value in forwarder.metrics.events.get_all():
                events[labels["event"]] += value
        return events

    def table(self) -> list[str]:
        """Returns the lines of a table by window."""
        names = " ".join(f"{name:>7}" for name in OUTCOMES)
        lines = [f"from second  {names}"]
        for window in sorted({window for window, _ in self.outcomes}):
            end = window + WINDOW_SECONDS
            shares = [
                f"{100 * self.share(name, window, end):7.1f}"
                for name in OUTCOMES
            ]
            lines.append(f"{window:11d}  " + " ".join(shares))
        return lines


# ---- Scenarios ----------------------------------------------------------


def losses_at_the_limit(seed: int, callers_leave: bool = False) -> LoadWorld:
    """Plays three losses of six groups, one after the other, at full load.

    Each group is replaced by one that spans domains, in the end by one that
    does not.
    """
    world = LoadWorld(
        seed, entry_count=8, group_count=6, rate=34.0,
        callers_leave=callers_leave,
    )  # fmt: skip
    world.run(6)
    for index in range(3):
        world.stall_group(f"u{index}")
        world.run(2.4)
        world.close_group(f"u{index}")
        world.run(3.6)
        world.open_group(f"far{index}", ENGINE.cross_domain_factor)
    world.run(14)
    for index in range(3):
        world.open_group(f"near{index}")
    world.run(10)
    return world


def overload_and_back(
    seed: int, callers_leave: bool = False, pausing_groups: int = 0
) -> LoadWorld:
    """Plays many entries before a dozen full groups, then half of the load."""
    world = LoadWorld(
        seed, entry_count=74, group_count=12, rate=88.0,
        callers_leave=callers_leave,
    )  # fmt: skip
    if pausing_groups:
        world.pause_groups(pausing_groups, 3 * SECOND)
    world.run(24)
    world.rate = 50.0
    world.run(8)
    return world


def overload_with_pauses(seed: int, callers_leave: bool = False) -> LoadWorld:
    """Plays the same load while two of the groups pause now and then."""
    return overload_and_back(seed, callers_leave, pausing_groups=2)


def moderate_load(seed: int, callers_leave: bool = False) -> LoadWorld:
    """Plays a load that six groups can serve in time."""
    world = LoadWorld(
        seed, entry_count=8, group_count=6, rate=28.0,
        callers_leave=callers_leave,
    )  # fmt: skip
    world.run(24)
    return world


SCENARIOS = (
    losses_at_the_limit, overload_and_back, overload_with_pauses,
    moderate_load,
)  # fmt: skip


def main(seed: int = 1, callers_leave: bool = False) -> None:
    """Prints the shares of requests by their end, in windows of 2 s."""
    logbook.NullHandler().push_application()
    for scenario in SCENARIOS:
        world = scenario(seed, callers_leave)
        print(scenario.__name__.replace("_", " "))
        print("\n".join(world.table()))
        print(
            " ".join(
                f"{name}={count:.0f}"
                for name, count in sorted(world.events().items())
            )
        )


if __name__ == "__main__":
    typer.run(main)
