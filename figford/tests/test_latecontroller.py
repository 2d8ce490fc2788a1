"""A controller that was late runs its timers before it reads.

It leads alone, and plans for emulated engines, in virtual time.
"""

import datetime
import random

import attrs
import pytest

from figford import agreement
from figford import control
from figford import controller
from figford import controllerdaemon
from figford import effects
from figford import fleetmessages
from figford import formations
from figford import membership
from figford import messages
from figford import planrounds
from figford import routes
from figford.tests import plannerworld
from figford.tools import enginefleet

SECOND = plannerworld.SECOND
MS = SECOND / 1000
TICK = 25 * MS
BEAT = plannerworld.BEAT
SERVICES = (routes.Service("pool", 10, plannerworld.ENGINE),)


def lone_controller(now: datetime.timedelta) -> controller.Controller:
    """Returns a controller whose vote is the only one."""
    records = control.bootstrap_records("c1.first", ["c1.first"])
    rng = random.Random(1)
    me = messages.Peer("c1", 1, 0, "dc", "c1:1", voter="c1.first")
    peers = membership.PeerTable(me)
    disk = control.Control(peers, agreement.Agreement("c1.first", rng))
    state = controller.Controller(peers, disk, rng, now)
    state.start(records, now)
    state.table = routes.RouteTable(services=SERVICES)
    return state


@attrs.define
class World:
    """The controller and eight engines of one domain."""

    now: datetime.timedelta = 10 * SECOND
    state: controller.Controller = attrs.field(init=False)
    engines: enginefleet.EngineFleet = attrs.field(init=False)
    # Engines whose reports are lost.
    muted: set[str] = attrs.field(factory=set)
    # Queries that were sent and not answered yet.
    queries: list[controller.QueryOrderCount] = attrs.field(factory=list)
    changes: list[effects.StateChanged] = attrs.field(factory=list)
    _unread: list = attrs.field(factory=list)
    _reported_at: dict[str, datetime.timedelta] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Starts the controller and the engines."""
        self.state = lone_controller(self.now)
        self.engines = enginefleet.EngineFleet(
            {model.name: model for model in plannerworld.ENGINE.models},
            random.Random(1),
        )
        for index in range(8):
            name = f"e{index}"
            self.engines.add(
                enginefleet.Engine(name, "pool", "d", "dc", f"10.0.0.1:{name}")
            )

    def run(self, duration: datetime.timedelta) -> None:
        """Advances time; the controller runs."""
        end = self.now + duration
        while self.now < end:
            self._pass_time()
            self.read()
            self.tick()

    def pause(self, duration: datetime.timedelta) -> None:
        """Advances time; the controller does not run."""
        end = self.now + duration
        while self.now < end:
            self._pass_time()

    def read(self) -> None:
        """Lets the controller read what has arrived."""
        unread, self._unread = self._unread, []
        for item in unread:
            self.state.report(item, self.now)
        queries, self.queries = self.queries, []
        for query in queries:
            engine = self.engines.by_name[query.upstream]
            self.state.planner.query_answered(
                query.upstream,
                query.incarnation,
                engine.reply(self.now),
                self.now,
            )

    def tick(self) -> None:
        """Runs the timers of the controller."""
        self.carry_out(self.state.tick(self.now))

    def _pass_time(self) -> None:
        self.now += TICK
        self.engines.advance(self.now)
        changed = {engine.name for engine in self.engines.changed}
        self.engines.changed.clear()
        for name, engine in self.engines.by_name.items():
            reported_at = self._reported_at.get(name, -BEAT)
            if name in changed or self.now - reported_at >= BEAT:
                self._reported_at[name] = self.now
                if name not in self.muted:
                    self._unread.append(engine.report())

    def carry_out(self, new_effects: list) -> None:
        """Executes effects at once, except for queries."""
        for effect in new_effects:
            match effect:
                case effects.PersistRecords():
                    self.carry_out(
                        self.state.synced(
                            effect.last_index, effect.last_term, self.now
                        )
                    )
                case controller.SendGroupOrder(order):
                    result = self.engines.order(order, self.now)
                    self.state.order_ended(order, result, self.now)
                case controller.QueryOrderCount():
                    self.queries.append(effect)
                case effects.StateChanged():
                    self.changes.append(effect)

    # ---- Groups ---------------------------------------------------------

    def formation(self, model: str = "large") -> formations.Formation | None:
        """Returns the planner's record of a group of a model."""
        return next(
            (
                item
                for item in self.state.planner.formation_by_key.values()
                if item.model == model and not item.is_given_up
            ),
            None,
        )

    def run_to(self, phase: formations.Phase) -> formations.Formation:
        """Advances time until a group of the large model has a phase."""
        end = self.now + plannerworld.MAX_WAIT
        while True:
            assert self.now < end, "no such group within the maximum wait"
            self.run(TICK)
            found = self.formation()
            if found is not None and found.phase is phase:
                return found

    def run_until_due(self, name: str, lead: datetime.timedelta) -> None:
        """Advances time until a report of an engine is due within `lead`."""
        while self._reported_at[name] + BEAT - self.now != lead:
            self.run(TICK)

    def doubt(self, name: str) -> None:
        """Lets an entry report that an engine fails."""
        incarnation = self.engines.by_name[name].incarnation
        doubt = fleetmessages.UpstreamDoubt(name, incarnation, True)
        self.carry_out(self.state.receive("p1", doubt, self.now))

    def is_whole(self, group: formations.Formation) -> bool:
        """Returns whether all members have seats and the head is open."""
        key = (group.group, group.epoch)
        engines = [self.engines.by_name[name] for name in members(group)]
        return all(
            item.seat and item.seat.key[:2] == key for item in engines
        ) and (engines[0].report().seat.state is fleetmessages.SeatState.OPEN)


def members(group: formations.Formation) -> list[str]:
    """Returns the members by rank."""
    return [group.members[rank] for rank in sorted(group.members)]


def serving_world() -> tuple[World, formations.Formation]:
    """Returns a world with a group that has served for a while."""
    world = World()
    group = world.run_to(formations.Phase.SERVING)
    world.run(6 * SECOND)
    assert world.is_whole(group)
    return world, group


def end_pause(world: World) -> None:
    """Runs the timers first, then reads, as a reactor does."""
    world.tick()
    world.read()
    world.run(5 * SECOND)


def test_a_late_controller_gives_up_no_head_whose_report_lies_unread() -> None:
    """One report of a doubted head was lost, and the next one was unread."""
    world, group = serving_world()
    world.run_until_due(group.head, BEAT)
    world.doubt(group.head)
    world.muted.add(group.head)
    world.run(1.5 * BEAT)
    world.muted.clear()
    world.pause(planrounds.DOUBTED_HEAD_SILENCE_TIMEOUT + TICK - 1.5 * BEAT)
    end_pause(world)
    assert world.is_whole(group)


def test_a_head_that_sends_no_report_is_given_up_still() -> None:
    world, group = serving_world()
    world.run_until_due(group.head, BEAT)
    world.doubt(group.head)
    world.muted.add(group.head)
    world.run(planrounds.DOUBTED_HEAD_SILENCE_TIMEOUT)
    assert world.is_whole(group)
    world.run(controller.PLAN_INTERVAL + 3 * TICK)
    assert not world.is_whole(group)


@pytest.mark.parametrize("pause", [0.8 * SECOND, 4 * SECOND])
def test_a_late_controller_dissolves_no_group_that_opened_in_time(
    pause: datetime.timedelta,
) -> None:
    """Its head serves, and the report of that is unread at the deadline."""
    world = World()
    group = world.run_to(formations.Phase.OPENING)
    group.deadline = world.now + 0.7 * SECOND
    world.pause(pause)
    end_pause(world)
    assert world.is_whole(group)
    assert group.phase is formations.Phase.SERVING


def doubtful_member(world: World, group: formations.Formation) -> str:
    """Runs until a member whose report was lost is queried; returns it."""
    name = group.members[1]
    world.run_until_due(name, BEAT)
    world.doubt(group.head)
    world.muted.add(name)
    while name not in [query.upstream for query in world.queries]:
        world.run(TICK)
    return name


def time_out_queries(world: World) -> None:
    """Ends the queries without an answer."""
    queries, world.queries = world.queries, []
    for query in queries:
        world.state.query_unanswered(query, world.now)


@pytest.mark.parametrize("tick_first", [False, True])
def test_a_late_controller_loses_no_member_whose_reply_lies_unread(
    tick_first: bool,
) -> None:
    """Its query timed out before the reply was read; its next report came."""
    world, group = serving_world()
    name = doubtful_member(world, group)
    world.pause(0.5 * SECOND)
    if tick_first:
        world.tick()
    time_out_queries(world)
    world.run(0.4 * SECOND)
    world.muted.remove(name)
    world.run(5 * SECOND)
    assert world.is_whole(group)


def test_a_member_that_does_not_reply_is_lost_still() -> None:
    world, group = serving_world()
    doubtful_member(world, group)
    queries, world.queries = world.queries, []
    world.run(controllerdaemon.REPORT_QUERY_TIMEOUT)
    world.queries = queries
    time_out_queries(world)
    world.run(0.4 * SECOND)
    assert not world.is_whole(group)


def test_a_late_controller_reads_answers_before_it_rules_on_a_crash() -> None:
    """An answer that clears one of two suspects was unread."""
    world = World()
    world.run(2 * SECOND)
    suspects = [
        fleetmessages.Suspect("r1", ["a"]),
        fleetmessages.Suspect("r2", ["b"]),
    ]
    crash = fleetmessages.CrashReport("e0", 1, 0 * SECOND, suspects)
    world.carry_out(world.state.receive("p1", crash, world.now))
    world.pause(0.2 * SECOND)
    world.tick()
    answered = fleetmessages.SurvivalReport(["part:b"], [SECOND])
    world.carry_out(world.state.receive("p1", answered, world.now))
    world.run(2 * TICK)
    (ruled,) = [item for item in world.changes if item.event == "crash ruled"]
    assert dict(ruled.detail)["blamed"] == "r1"


def test_a_controller_in_time_rules_on_a_crash_after_the_wait() -> None:
    world = World()
    world.run(2 * SECOND)
    suspect = fleetmessages.Suspect("r1", ["a"])
    crash = fleetmessages.CrashReport("e0", 1, 0 * SECOND, [suspect])
    world.carry_out(world.state.receive("p1", crash, world.now + 24 * MS))
    world.run(3 * TICK)
    assert "crash ruled" not in [item.event for item in world.changes]
    world.run(TICK)
    assert "crash ruled" in [item.event for item in world.changes]
