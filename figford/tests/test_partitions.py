"""No member is in two groups while parts of groups are cut off and return.

The emulated engines raise InvariantViolation if a member joins another group
while the head of its group serves, or if an incomplete group opens.
"""

import collections
import copy
import datetime
import random

import attrs
import pytest

from figford import fleet as fleets
from figford import formations
from figford import groupplanner
from figford import planrounds
from figford.tests.plannerworld import BEAT
from figford.tests.plannerworld import SECOND
from figford.tests.plannerworld import STEP
from figford.tests.plannerworld import World
from figford.tools import enginefleet

# Each schedule runs once per seed and share of late orders; half as many
# replies are lost.
SEEDS = range(3)
DELAYED_ORDER_SHARES = (0.0, 0.3)
START_SECONDS = 35
FAULTS = 16
CUT_SECONDS = (1.0, 14.0)
REBIRTH_SECONDS = (0.0, 3.0)
# A process that signed off serves on for this long before it exits.
DRAIN_SECONDS = (2.0, 15.0)
# How long requests in progress keep a head closing.
WORK_SECONDS = (0.0, 3.0)
BETWEEN_FAULTS_SECONDS = (0.5, 6.0)
# From the begin of a cut to the takeover by another planner.
TAKEOVER_SECONDS = 4
# Longer than the waits for loads and for the balance of the models.
SETTLE_SECONDS = 240


@attrs.define
class Schedule:
    """Random faults in a world; the generator is its own."""

    world: World
    rng: random.Random
    # When engines that are cut off return.
    returns: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    # When engines exit, and when they start again.
    exits: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    starts: dict[str, datetime.timedelta] = attrs.field(factory=dict)

    def _after(
        self, seconds: tuple[float, float], at: datetime.timedelta
    ) -> datetime.timedelta:
        return at + self.rng.uniform(*seconds) * SECOND

    def heads(self) -> list[enginefleet.Engine]:
        """Returns the heads of all groups of more than one member."""
        return [
            engine
            for engine in self.world.engines.by_name.values()
            if engine.up
            and engine.seat
            and len(engine.seat.members) > 1
            and engine.seat.members[0] == engine.name
        ]

    def cut(self, names: list[str]) -> None:
        """Cuts engines off; they return within a beat of each other."""
        end = self._after(CUT_SECONDS, self.world.now)
        for name in names:
            engine = self.world.engines.by_name[name]
            if not engine.partitioned:
                engine.partitioned = True
                self.returns[name] = end + self.rng.random() * BEAT

    def cut_domains(self) -> None:
        """Cuts off a data centre, which holds one domain or two."""
        chosen = self.rng.sample(
            ("d0", "d1", "d2"), self.rng.choice((1, 1, 2))
        )
        self.cut(
            [
                engine.name
                for engine in self.world.engines.by_name.values()
                if engine.domain in chosen
            ]
        )

    def cut_group(self) -> None:
        """Cuts off a random part of a group, more often with its head."""
        heads = self.heads()
        if not heads:
            return
        members = list(self.rng.choice(heads).seat.members)
        names = [name for name in members[1:] if self.rng.random() < 0.6]
        if self.rng.random() < 0.7:
            names.append(members[0])
        self.cut(names)

    def crash_behind_cut(self) -> None:
        """Ends an engine that is cut off; it starts again there."""
        names = [
            name
            for name in self.returns
            if self.world.engines.by_name[name].up
        ]
        if names:
            name = self.rng.choice(names)
            self.world.engines.crash(name, self.world.now)
            self.starts[name] = self._after(REBIRTH_SECONDS, self.world.now)

    def crash(self) -> None:
        """Ends any engine; it starts again."""
        name = self.rng.choice(sorted(self.world.engines.by_name))
        if self.world.engines.by_name[name].up:
            self.world.engines.crash(name, self.world.now)
            self.starts[name] = self._after(REBIRTH_SECONDS, self.world.now)

    def sign_off(self) -> None:
        """Signs off an engine that isn't cut off."""
        names = [
            engine.name
            for engine in self.world.engines.by_name.values()
            if engine.up
            and not engine.partitioned
            and engine.name not in self.world.signed_off
        ]
        if names:
            name = self.rng.choice(names)
            self.world.sign_off(name)
            self.exits[name] = self._after(DRAIN_SECONDS, self.world.now)

    def replace_planner(self) -> None:
        """Lets another controller take over."""
        self.world.replace_planner()

    def doubt(self) -> None:
        """Lets entries doubt the heads that are stalled or cut off."""
        self.world.doubted = {
            head.name
            for head in self.heads()
            if head.stalled_at is not None or head.partitioned
        }

    def run(self, seconds: float) -> None:
        """Advances time; engines return, exit and start when they are due."""
        end = self.world.now + seconds * SECOND
        while self.world.now < end:
            now = self.world.now
            for name in _due(self.returns, now):
                self.world.engines.by_name[name].partitioned = False
            for name in _due(self.exits, now):
                if self.world.engines.by_name[name].up:
                    self.world.engines.crash(name, now)
                    self.starts[name] = self._after(REBIRTH_SECONDS, now)
            for name in _due(self.starts, now):
                if not self.world.engines.by_name[name].up:
                    self.world.restart(name)
            if self.rng.random() < 0.1:
                self.doubt()
            self.world.run(STEP.total_seconds())

    def end(self) -> None:
        """Ends all faults and waits until groups are formed again."""
        self.returns.clear()
        self.exits.clear()
        self.starts.clear()
        for name, engine in self.world.engines.by_name.items():
            engine.partitioned = False
            if not engine.up or name in self.world.signed_off:
                self.world.restart(name)
        self.world.doubted.clear()
        self.world.engines.delayed_order_share = 0.0
        self.world.engines.lost_reply_share = 0.0
        self.world.run(SETTLE_SECONDS)


def _due(
    at_by_name: dict[str, datetime.timedelta], now: datetime.timedelta
) -> list[str]:
    """Removes and returns the names whose time has come."""
    names = [name for name, at in at_by_name.items() if at <= now]
    for name in names:
        del at_by_name[name]
    return names


def run_schedule(seed: int, delayed_order_share: float) -> World:
    """Runs one random schedule to its end; raises InvariantViolation."""
    world = World(seed=seed)
    world.run(START_SECONDS)
    world.engines.delayed_order_share = delayed_order_share
    world.engines.lost_reply_share = delayed_order_share / 2
    schedule = Schedule(world, random.Random(seed))
    world.engines.work_time = schedule.rng.uniform(*WORK_SECONDS) * SECOND
    faults = (
        [schedule.cut_domains, schedule.cut_group] * 3
        + [schedule.crash_behind_cut, schedule.replace_planner] * 2
        + [schedule.crash, schedule.sign_off]
    )
    for _ in range(FAULTS):
        schedule.rng.choice(faults)()
        schedule.run(schedule.rng.uniform(*BETWEEN_FAULTS_SECONDS))
    schedule.end()
    return world


def assert_all_serve(world: World) -> None:
    """Asserts that only spares and hosts too few for a group are idle."""
    idle = collections.Counter(engine.domain for engine in world.spares())
    assert all(idle[f"d{index}"] <= 3 for index in range(3))
    assert sum(idle.values()) <= 7
    assert world.engines.serving("large") >= 2
    assert world.engines.serving("small") >= 2


@pytest.mark.parametrize("delayed_order_share", DELAYED_ORDER_SHARES)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_member_of_a_cut_off_group_is_in_two_groups(
    seed: int, delayed_order_share: float
) -> None:
    assert_all_serve(run_schedule(seed, delayed_order_share))


def cut_for_longer_than_silence(
    world: World, names: list[str], takeover: bool = False
) -> None:
    """Cuts engines off until the planner counts silent heads as lost."""
    for name in names:
        world.engines.by_name[name].partitioned = True
    lost_at = world.now + planrounds.HEAD_SILENCE_TIMEOUT
    world.run(TAKEOVER_SECONDS)
    if takeover:
        world.replace_planner()
    world.run((lost_at - world.now).total_seconds())


def return_one_by_one(world: World, names: list[str]) -> None:
    """Lets engines report again within a beat, then waits for groups."""
    for name in names:
        world.engines.by_name[name].partitioned = False
        world.run(BEAT.total_seconds() / len(names))
    world.run(60)


@pytest.mark.parametrize("takeover", [False, True])
def test_members_do_not_join_while_a_cut_off_head_returns_last(
    takeover: bool,
) -> None:
    """The whole data centre was cut off; its spares return first."""
    world = World(seed=1)
    world.run(40)
    head = world.member(0, domain="d0")
    others = list(head.seat.members[1:])
    names = [
        engine.name
        for engine in world.engines.by_name.values()
        if engine.domain == "d0" and engine.name not in head.seat.members
    ]
    cut_for_longer_than_silence(world, [head.name, *names, *others], takeover)
    return_one_by_one(world, [*names, *others, head.name])
    assert_all_serve(world)


@pytest.mark.parametrize("takeover", [False, True])
def test_members_do_not_join_after_only_another_member_left(
    takeover: bool,
) -> None:
    """The head and two of four members were cut off; the head is last."""
    world = World(seed=1)
    world.run(40)
    head = world.member(0, domain="d0")
    first, second, heard = head.seat.members[1:]
    cut_for_longer_than_silence(world, [head.name, first, second], takeover)
    world.run(0.2)
    assert head.seat.state is enginefleet.SeatState.OPEN
    heard_seat = world.engines.by_name[heard].seat
    assert heard_seat is None or heard_seat.key != head.seat.key
    return_one_by_one(world, [first, second, head.name])
    assert_all_serve(world)


def test_a_join_is_not_repeated_after_the_former_head_opened_late() -> None:
    """The group was freed while the order to open it was still on its way."""
    world = World(seed=1)
    world.run(40)
    head = world.member(0, domain="d0")
    key = head.seat.key
    first, second, _ = head.seat.members[1:]
    cut_for_longer_than_silence(world, [head.name, first, second])
    head.seat.state = enginefleet.SeatState.READY
    world.engines.work_time = 3 * SECOND
    # Only late orders, so that no join takes effect.
    world.engines.delayed_order_share = 1.0
    for name in (first, second, head.name):
        world.engines.by_name[name].partitioned = False
    world.run(0.4)
    world.engines.delayed_order_share = 0.0
    assert head.seat.key == key
    head.seat.state = enginefleet.SeatState.OPEN
    world.engines.changed.append(head)
    world.run(60)
    assert_all_serve(world)


def whole_group(world: World) -> list[enginefleet.Engine]:
    """Returns the members of a group, the head first."""
    names = world.member(0).seat.members
    return [world.engines.by_name[name] for name in names]


def test_a_member_first_heard_after_its_group_was_given_up_leaves() -> None:
    """The planner that took over did not know it, and its head is cut off."""
    world = World(seed=0)
    world.run(40)
    members = whole_group(world)
    members[3].partitioned = True
    world.replace_planner()
    world.fleet = fleets.FleetTable()
    world.run(1.3)
    members[0].partitioned = True
    world.run(10)
    members[3].partitioned = False
    world.run(20)
    members[0].partitioned = False
    world.run(20)
    assert_all_serve(world)


def test_members_leave_first_if_another_takes_the_heads_address() -> None:
    """The head still serves under it."""
    world = World(seed=0)
    world.run(40)
    head, *_ = whole_group(world)
    other = attrs.evolve(
        head.report(), upstream="other", service="plain", seat=None, staged=[]
    )
    world.fleet.report(other, world.now)
    # The emulator raises InvariantViolation if a member joins without it.
    world.run(20)


def test_members_leave_first_if_their_head_signed_off_long_ago() -> None:
    """It serves on out of reach, past `SIGNED_OFF_RETENTION`."""
    world = World(seed=0)
    world.run(40)
    members = whole_group(world)
    for engine in members:
        engine.partitioned = True
    world.sign_off(members[0].name)
    world.run(fleets.SIGNED_OFF_RETENTION.total_seconds() + 2)
    world.fleet.evict_ended(world.now)
    for engine in members[1:]:
        engine.partitioned = False
    world.run(20)


def test_members_leave_first_if_their_records_were_evicted() -> None:
    """A group without records may still be open."""
    world = World(seed=0)
    world.run(40)
    members = whole_group(world)
    for engine in members:
        engine.partitioned = True
    world.run(4)
    for engine in members:
        del world.fleet.by_name[engine.name]
    world.run(10)
    for engine in reversed(members):
        engine.partitioned = False
        world.run(0.3)
    world.run(20)
    assert_all_serve(world)


@pytest.mark.parametrize("cut_seconds", [5, 9, 14])
def test_whole_groups_are_kept_if_their_heads_report_last(
    cut_seconds: float,
) -> None:
    """The data centre's members return within a beat of each other."""
    world = World(seed=1)
    world.run(40)
    seats = world.seats("d0")
    heads = {members[0] for _, _, members in seats.values()}
    names = sorted(seats, key=lambda name: (name in heads, name))
    for name in names:
        world.engines.by_name[name].partitioned = True
    world.run(1)
    world.doubted.update(heads)
    world.run(cut_seconds - 1)
    return_one_by_one(world, names)
    assert world.seats("d0") == seats
    assert all(
        world.engines.by_name[name].seat.state is enginefleet.SeatState.OPEN
        for name in heads
    )


def test_a_head_that_does_not_return_with_its_members_is_lost() -> None:
    world = World(seed=1)
    world.run(40)
    head, *others = whole_group(world)
    for engine in (head, *others):
        engine.partitioned = True
    world.run(9)
    for engine in others:
        engine.partitioned = False
    world.run(planrounds.HEAD_RETURN_WAIT.total_seconds() + 3)
    assert all(
        engine.seat is None or engine.seat.members[0] != head.name
        for engine in others
    )


def member_with_stale_record(
    world: World, heard_seconds_ago: float, **content: object
) -> enginefleet.Engine:
    """Returns a member of an open group that a new planner takes for free.

    Its record has other content, as of before it joined the group.
    """
    spare = next(
        engine
        for engine in world.spares()
        if engine.domain == "d0" and engine.staged == ["large"]
    )
    record = copy.deepcopy(world.fleet.by_name[spare.name])
    world.engines.crash(world.member(1, domain="d0").name, world.now)
    world.run_until(
        lambda: spare.seat is not None
        and len(spare.seat.members) > 1
        and world.member(0, domain="d0").seat.state
        is enginefleet.SeatState.OPEN
    )
    world.run(1)
    world.replace_planner()
    record.heard_at = world.now - heard_seconds_ago * SECOND
    record.registration = attrs.evolve(record.registration, **content)
    world.fleet.by_name[spare.name] = record
    world.stop_reports(spare.name)
    return spare


def run_with_beats(
    world: World, engine: enginefleet.Engine, seconds: float
) -> None:
    """Advances time; another controller sends the engine's beats."""
    end = world.now + seconds * SECOND
    while world.now < end:
        engine.sequence += 1
        world.fleet.beat(
            engine.name, engine.incarnation, engine.sequence, world.now
        )
        world.run(BEAT.total_seconds())


@pytest.mark.parametrize("heard_seconds_ago", [0.9, 1.2])
def test_a_member_of_which_a_new_planner_missed_reports_does_not_join(
    heard_seconds_ago: float,
) -> None:
    """It was a spare when the new planner heard it last."""
    world = World(seed=1)
    world.run(40)
    member = member_with_stale_record(world, heard_seconds_ago, seat=None)
    # The emulator raises InvariantViolation if it joins another group.
    world.run(8)
    assert len(member.seat.members) > 1


def test_beats_do_not_outdate_a_reply_that_names_a_seat() -> None:
    """The new planner hears beats, but missed the report of the seat."""
    world = World(seed=1)
    world.run(40)
    member = member_with_stale_record(world, 0, seat=None)
    run_with_beats(world, member, 8)
    assert len(member.seat.members) > 1


def test_a_refused_join_is_not_repeated_to_a_member_of_another_group() -> None:
    """The new planner takes it for a host without weights and orders."""
    world = World(seed=1)
    world.run(40)
    member = member_with_stale_record(
        world, 0, seat=None, staged=[], models=[]
    )
    for number in range(5):
        world.add(f"new{number}", "d0")
    run_with_beats(world, member, 8)
    assert len(member.seat.members) > 1


def order_of_another_group(
    world: World, member: enginefleet.Engine
) -> formations.GroupOrder:
    """Returns an order to a member of a group to join a new one."""
    epoch = world.planner.next_epoch()
    return formations.GroupOrder(
        upstream=member.name,
        incarnation=member.incarnation,
        address=member.address,
        action=formations.Action.JOIN,
        fence=world.planner.term,
        expected=member.orders_begun,
        group=f"g{epoch:x}",
        epoch=epoch,
        model="large",
        members=(member.name, "x1", "x2", "x3"),
    )


def test_a_late_order_of_the_previous_planner_takes_no_member() -> None:
    """It arrives after a new planner has opened the member's group."""
    world = World(seed=1)
    world.run(40)
    head, *others = whole_group(world)
    head.seat.state = enginefleet.SeatState.READY
    world.fleet.report(head.report(), world.now)
    member = others[-1]
    order = order_of_another_group(world, member)
    world.engines.delayed_order_share = 1.0
    assert world.engines.order(order, world.now) is formations.Result.UNKNOWN
    world.engines.delayed_order_share = 0.0
    world.replace_planner()
    # The emulator raises InvariantViolation if the member joins.
    world.run(enginefleet.DELAYED_ORDER_SECONDS[1] + 1)
    assert head.seat.state is enginefleet.SeatState.OPEN
    assert member.seat.key == head.seat.key


def test_a_member_that_a_late_order_took_is_ordered_again() -> None:
    """The new planner's join has a lower epoch and is refused like a fence."""
    world = World(seed=1)
    world.run(40)
    head, *others = whole_group(world)
    head.seat.state = enginefleet.SeatState.READY
    world.fleet.report(head.report(), world.now)
    order = order_of_another_group(world, others[-1])
    world.replace_planner()
    world.run(groupplanner.TAKEOVER_WAIT.total_seconds())
    assert world.engines.order(order, world.now) is formations.Result.BEGUN
    world.run(60)
    assert not world.planner.member_by_name[others[-1].name].is_fenced
    assert_all_serve(world)


def test_a_takeover_does_not_delay_the_release_of_a_lost_head() -> None:
    """How long members have been in touch outlives the planner."""
    world = World(seed=1)
    world.run(40)
    head, *others = whole_group(world)
    world.engines.crash(head.name, world.now)
    lost_at = world.now + planrounds.HEAD_SILENCE_TIMEOUT
    world.run(planrounds.HEAD_SILENCE_TIMEOUT.total_seconds() - 2)
    world.replace_planner()
    world.run((lost_at - world.now).total_seconds() + 0.5)
    assert all(
        engine.seat is None or engine.seat.members[0] != head.name
        for engine in others
    )


def test_no_member_is_lost_before_reports_are_settled() -> None:
    """After a pause of the controller all reports are old."""
    world = World(seed=1)
    world.run(40)
    head, member, *_ = whole_group(world)
    head.partitioned = member.partitioned = True
    world.run(planrounds.HEAD_SILENCE_TIMEOUT.total_seconds() - 1)
    world.planner.query_unanswered(member.name, 1, world.now - 5 * SECOND)
    world.now += 2 * SECOND
    view = world.view()
    later = planrounds.Round(world.planner, view, world.now)
    unsettled = planrounds.Round(
        world.planner, attrs.evolve(view, settled=False), world.now
    )
    assert later.head_is_lost(head.name)
    assert not unsettled.head_is_lost(head.name)
    others = [name for name in head.seat.members if name not in (member.name,)]
    assert later.is_lost(member.name, others[-1])
    assert not unsettled.is_lost(member.name, others[-1])
