"""A planner with emulated engines, in virtual time."""

import datetime
import random
import typing

import attrs

from figford import fleet as fleets
from figford import formations
from figford import groupplanner
from figford import loadrecord
from figford import placement as placements
from figford import routes
from figford import signoffs
from figford.tools import enginefleet

SECOND = datetime.timedelta(seconds=1)
STEP = datetime.timedelta(milliseconds=100)
BEAT = datetime.timedelta(milliseconds=1200)
# Longer than all loads and repairs of a test take together.
MAX_WAIT = 120 * SECOND
LARGE = routes.Model("large", 4, 0.67, 1.0, 16 * SECOND, 1.6 * SECOND)
SMALL = routes.Model("small", 2, 0.33, 0.6, 12 * SECOND, 1.1 * SECOND)
ENGINE = routes.Engine(
    slots=13, models=(LARGE, SMALL), loads_per_second=4.0, loads_at_once=6
)


@attrs.define
class World:
    """A planner with emulated engines; the planner can be replaced."""

    seed: int
    domains: int = 3
    # `ENGINE` where None.
    engine: routes.Engine | None = None
    now: datetime.timedelta = SECOND
    planner: groupplanner.Planner = attrs.field(factory=groupplanner.Planner)
    fleet: fleets.FleetTable = attrs.field(factory=fleets.FleetTable)
    engines: enginefleet.EngineFleet = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    doubted: set[str] = attrs.field(factory=set)
    signed_off: set[str] = attrs.field(factory=set)
    # Whether no request has arrived yet; then the weight store has no rate
    # limit.
    warming_up: bool = False
    # The choices of an entry that holds the configuration in force.
    placement: placements.Placement = attrs.field(init=False)
    _placed_at: tuple[int, routes.Engine] | None = None
    _beat_at: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    _results: list = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Starts engines in domains of eight and a first planner."""
        self.rng = random.Random(self.seed)
        self.placement = placements.Placement("dc", self.rng)
        self.engines = enginefleet.EngineFleet(
            {model.name: model for model in self.engine_settings().models},
            self.rng,
        )
        for index in range(self.domains * 8):
            self.add(f"e{index:02}", f"d{index // 8}")
        self.planner.start(1, self.now)
        # No earlier planner has ordered loads.
        self.planner.load_record = loadrecord.LoadRecord()

    def engine_settings(self) -> routes.Engine:
        """Returns the settings of all engines."""
        return ENGINE if self.engine is None else self.engine

    def change_models(self, *models: routes.Model) -> None:
        """Lets a configuration that names these models come into force."""
        self.engine = attrs.evolve(self.engine_settings(), models=models)
        self.engines.change_models(models)

    def _check_targets(self) -> None:
        """Checks that requests begin only in groups of their model's size."""
        state = (self.fleet.revision, self.engine_settings())
        if state != self._placed_at:
            self._placed_at = state
            self.placement.update(self.fleet, {"pool": state[1]})
        for model in self.engines.models.values():
            for target in self.placement.targets("pool", model.name):
                engine = self.engines.by_name.get(target.upstream)
                # Another writer may claim a seat for what is no engine.
                seat = engine.seat if engine is not None else None
                if seat is None or seat.epoch != target.epoch:
                    continue
                assert model.name not in self.engines.removed_models
                assert len(seat.members) == model.size

    def targets(self, model: str) -> int:
        """Returns how many groups of a model an entry may choose."""
        return len(self.placement.targets("pool", model))

    def add(self, name: str, domain: str) -> None:
        """Adds an engine with no weights."""
        self.engines.add(
            enginefleet.Engine(name, "pool", domain, "dc", f"10.0.0.1:{name}")
        )

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.now += STEP
            self.engines.advance(self.now)
            self._report()
            self._plan()
            self._check_targets()

    def run_until(self, condition: typing.Callable[[], bool]) -> None:
        """Advances time until a condition holds; fails after `MAX_WAIT`."""
        end = self.now + MAX_WAIT
        while not condition():
            assert self.now < end, "condition not met within the maximum wait"
            self.run(STEP.total_seconds())

    def _report(self) -> None:
        changed = {engine.name for engine in self.engines.changed}
        self.engines.changed.clear()
        for name, engine in self.engines.by_name.items():
            if not engine.up or engine.partitioned or name in self.signed_off:
                continue
            due = self.now - self._beat_at.get(name, -BEAT) >= BEAT
            if due or name in changed:
                self._beat_at[name] = self.now
                self.fleet.report(engine.report(), self.now)

    def view(self) -> formations.View:
        """Returns the planner's input at this time."""
        present = {item.upstream: item for item in self.fleet.present()}
        return formations.View(
            present,
            {name: self.fleet.by_name[name].heard_at for name in present},
            {
                name: self.fleet.by_name[name].in_touch_since
                for name in present
            },
            frozenset(
                name
                for name in present
                if self.fleet.is_silent(name, self.now)
            ),
            {"pool": self.engine_settings()},
            frozenset(self.doubted),
            self.warming_up,
        )

    def _plan(self) -> None:
        view = self.view()
        for order, result in self._results:
            self.planner.record_result(order, result, self.now)
        self._results = []
        for name in self.planner.queries_due(self.now):
            if name not in view.fleet:
                # The controller knows no address of it.
                continue
            incarnation = view.fleet[name].incarnation
            engine = self.engines.by_name.get(name)
            if engine and engine.up and not engine.partitioned:
                self.planner.query_answered(
                    name, engine.incarnation, engine.reply(self.now), self.now
                )
            else:
                self.planner.query_unanswered(name, incarnation, self.now)
        for order in self.planner.plan(view, self.now):
            engine = self.engines.by_name[order.upstream]
            result = formations.Result.UNSENT
            if not engine.partitioned:
                result = self.engines.order(order, self.now)
            self._results.append((order, result))

    def member(
        self, rank: int, model: str = "large", domain: str | None = None
    ) -> enginefleet.Engine:
        """Returns the member of this rank in a group of the model."""
        return next(
            engine
            for engine in self.engines.by_name.values()
            if engine.seat
            and engine.seat.model == model
            and len(engine.seat.members) > 1
            and engine.seat.members[rank] == engine.name
            and domain in (None, engine.domain)
        )

    def seats(self, domain: str | None = None) -> dict[str, tuple]:
        """Returns the group seats of all engines, or of those in a domain."""
        return {
            name: engine.seat.key
            for name, engine in self.engines.by_name.items()
            if engine.seat
            and len(engine.seat.members) > 1
            and domain in (None, engine.domain)
        }

    def spares(self) -> list[enginefleet.Engine]:
        """Returns the engines in no group other than a warm-up group."""
        in_groups = self.seats()
        return [
            engine
            for name, engine in self.engines.by_name.items()
            if name not in in_groups
        ]

    def group_domains(self, model: str) -> list[set[str]]:
        """Returns the domains that each group of a model spans."""
        return [
            {self.engines.by_name[name].domain for name in engine.seat.members}
            for engine in self.engines.by_name.values()
            if engine.up
            and engine.seat
            and engine.seat.model == model
            and len(engine.seat.members) > 1
            and engine.seat.members[0] == engine.name
        ]

    def sign_off(self, name: str) -> None:
        """Signs an engine off; it keeps running for a while."""
        self.signed_off.add(name)
        incarnation = self.engines.by_name[name].incarnation
        self.fleet.sign_off(signoffs.SignOff(name, incarnation), self.now)

    def stop_reports(self, name: str) -> None:
        """Stops an engine's reports until it changes; orders arrive."""
        self._beat_at[name] = self.now + MAX_WAIT

    def restart(self, name: str) -> None:
        """Restarts an engine under its name."""
        self.signed_off.discard(name)
        self.engines.restart(name)

    def replace_planner(self, told: bool = False) -> None:
        """Simulates a takeover by a controller that knows only the reports.

        One that was `told` heard its predecessor, and knows its loads.
        """
        predecessor = self.planner
        self.planner = groupplanner.Planner()
        if told:
            message = predecessor.load_record.told(self.now)
            self.planner.load_record.adopt(message.loads, self.now)
        self.planner.start(predecessor.term + 1, self.now, told)
        self._results = []
