"""Tests the planner, also by random orders, losses and restarts."""

import datetime

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from figford import assembly
from figford import effects
from figford import groups
from figford import leases
from figford import messages
from figford import operators

STEP = datetime.timedelta(milliseconds=500)
START = datetime.timedelta(seconds=100)
ENTRIES = frozenset({"e1", "e2"})


def engine(name, domain="f1", **more):
    return messages.Announcement(
        upstream=name,
        incarnation=1,
        sequence=1,
        data_centre="north",
        fabric_domain=domain,
        address=name,
        kind=messages.UpstreamKind.ENGINE,
        **more,
    )


def spec(replicas=1, **more):
    return operators.ServingGroup(
        name="chat",
        model="m",
        replicas={"north": replicas},
        shape=operators.Replica(instances=2),
        **more,
    )


def view(engines, serving_groups, missing=(), now=START):
    return assembly.View(
        serving_groups=serving_groups,
        policy=operators.Policy(name="p"),
        fresh={item.upstream: item for item in engines},
        missing={item.upstream: item for item in missing},
        silent_since={item.upstream: now for item in missing},
        entries=ENTRIES,
    )


def started_planner(now=START, number=1):
    planner = assembly.Planner("e1", "north")
    planner.start(number, now)
    return planner, now + assembly.LEARNING_TIME


def plan(planner, snapshot, now):
    return planner.plan(snapshot, now + leases.DURATION, now)


def orders(actions):
    return [item for item in actions if isinstance(item, effects.SendOrder)]


def test_forms_a_group_in_one_domain():
    planner, now = started_planner()
    engines = [engine("a"), engine("b", "f2"), engine("c", "f2")]
    sent = orders(plan(planner, view(engines, [spec()]), now))
    assert [item.upstream for item in sent] == ["b", "c"]
    assert {item.order.fence for item in sent} == {leases.fence(1, 1)}


def test_new_planner_collects_announcements_before_it_decides():
    planner, now = started_planner()
    early = now - datetime.timedelta(milliseconds=1)
    assert (
        plan(planner, view([engine("a"), engine("b")], [spec()]), early) == []
    )


def test_upstreams_that_ignore_fencing_get_no_early_order():
    planner, now = started_planner()
    engines = [engine("a", checks_fencing=False), engine("b")]
    snapshot = view(engines, [spec()])
    assert [
        item.upstream for item in orders(plan(planner, snapshot, now))
    ] == ["b"]
    later = START + leases.DURATION + assembly.ORDER_TIMEOUT
    sent = orders(plan(planner, snapshot, later))
    assert "a" in [item.upstream for item in sent]


def test_plan_without_a_lease_is_an_error():
    planner, now = started_planner()
    with pytest.raises(AssertionError):
        planner.plan(view([], []), now, now)


def seated(name, fence, rank, domain="f1", **more):
    seat = messages.Seat("chat.north.0", "chat", fence, rank, 2)
    more.setdefault("state", messages.UpstreamState.SERVING)
    return engine(name, domain, seat=seat, models=["m"], **more)


def test_complete_group_at_a_lower_fence_is_kept():
    planner, now = started_planner(number=9)
    engines = [seated("a", 5, 0), seated("b", 5, 1), seated("c", 7, 0)]
    sent = orders(plan(planner, view(engines, [spec()]), now))
    assert [item.upstream for item in sent] == ["c"]
    assert isinstance(sent[0].order, messages.ReleaseSeat)


def test_unwanted_group_is_drained_before_its_release():
    planner, now = started_planner()
    engines = [seated("a", 5, 0), seated("b", 5, 1)]
    snapshot = view(engines, [spec(replicas=0)])
    first = plan(planner, snapshot, now)
    assert not orders(first)
    (ask,) = [item.drain for item in first if not orders([item])]
    for instance, left in (("e1", 0), ("e2", 1)):
        reply = messages.DrainReply(
            ask.group, ask.fence, ask.number, instance, left
        )
        planner.drain_reply(reply, now)
    assert not orders(plan(planner, snapshot, now + STEP))
    reply = messages.DrainReply(ask.group, ask.fence, ask.number, "e2", 0)
    planner.drain_reply(reply, now + STEP)
    assert len(orders(plan(planner, snapshot, now + STEP))) == 2


def with_size(size):
    return attrs.evolve(spec(), shape=operators.Replica(instances=size))


@pytest.mark.parametrize("size", [1, 3, 9])
def test_group_of_another_size_is_drained_and_released(size):
    planner, now = started_planner()
    engines = [seated("a", 5, 0), seated("b", 5, 1), engine("c")]
    snapshot = view(engines, [with_size(size)])
    first = plan(planner, snapshot, now)
    assert not orders(first)
    assert [item.drain.fence for item in first] == [5]
    for instance in ENTRIES:
        planner.drain_reply(
            messages.DrainReply("chat.north.0", 5, 1, instance, 0), now
        )
    sent = orders(plan(planner, snapshot, now + STEP))
    assert [item.upstream for item in sent] == ["a", "b"]
    assert all(isinstance(i.order, messages.ReleaseSeat) for i in sent)
    free = view([engine("a"), engine("b"), engine("c")], [with_size(size)])
    sent = orders(plan(planner, free, now + 2 * STEP))
    # No domain has nine engines.
    assert len(sent) == (size if size <= 3 else 0)


@pytest.mark.parametrize(
    "changed", [with_size(3), attrs.evolve(spec(), model="other")]
)
def test_group_that_forms_for_a_former_configuration_is_given_up(changed):
    """It went on to load, and served before it was drained."""
    planner, now = started_planner()
    free = [engine("a"), engine("b"), engine("c")]
    assert len(orders(plan(planner, view(free, [spec()]), now))) == 2
    now += STEP
    plan(planner, view(free, [changed]), now)
    sent = orders(plan(planner, view(free, [changed]), now + STEP))
    assert len(sent) == changed.shape.instances
    assert {item.order.model for item in sent} == {changed.model}


def test_broken_group_takes_a_spare_after_the_hold():
    planner, now = started_planner()
    engines = [seated("a", 5, 0), engine("spare")]
    lost = [seated("b", 5, 1)]
    snapshot = view(engines, [spec()], lost, now)
    assert not orders(plan(planner, snapshot, now))
    for _ in range(200):
        now += STEP
        sent = orders(plan(planner, snapshot, now))
        if sent:
            break
    assert sorted(item.upstream for item in sent) == ["a", "spare"]
    assert planner.repairs_by_kind["replace"] == 1


def test_complete_group_that_was_replaced_is_drained_first():
    planner, now = started_planner(number=9)
    engines = [
        seated("a", 5, 0),
        seated("b", 5, 1),
        seated("c", 7, 0, "f2"),
        seated("d", 7, 1, "f2"),
    ]
    snapshot = view(engines, [spec()])
    first = plan(planner, snapshot, now)
    assert not orders(first)
    drained = [item.drain for item in first]
    assert [item.fence for item in drained] == [5]
    for instance in ENTRIES:
        planner.drain_reply(
            messages.DrainReply("chat.north.0", 5, 9, instance, 0), now
        )
    sent = orders(plan(planner, snapshot, now + STEP))
    assert [item.upstream for item in sent] == ["a", "b"]


def test_group_without_spares_moves_to_another_domain():
    planner, now = started_planner()
    engines = [seated("a", 5, 0), engine("c", "f2"), engine("d", "f2")]
    snapshot = view(engines, [spec()])
    plan(planner, snapshot, now)
    now += datetime.timedelta(seconds=6)
    sent = orders(plan(planner, snapshot, now))
    assert [item.upstream for item in sent] == ["c", "d"]
    assert planner.repairs_by_kind["move"] == 1


class PlannerMachine(stateful.RuleBasedStateMachine):
    """Engines that take or miss orders; planners that come and go."""

    def __init__(self):
        super().__init__()
        self.now = START
        self.number = 0
        self.engines = {
            f"{domain}{index}": engine(f"{domain}{index}", domain)
            for domain in ("x", "y")
            for index in range(3)
        }
        self.silent_since = {}
        self.replicas = 2
        self.new_planner()

    @stateful.rule()
    def new_planner(self):
        self.number += 1
        self.planner = assembly.Planner("e1", "north")
        self.planner.start(self.number, self.now)
        self.now += assembly.LEARNING_TIME

    @stateful.rule(replicas=strategies.integers(0, 2))
    def configure(self, replicas):
        self.replicas = replicas

    @stateful.rule(
        name=strategies.sampled_from(["x0", "x1", "y0", "y2"]),
        change=strategies.sampled_from(["silent", "back", "restart", "leave"]),
    )
    def change_engine(self, name, change):
        held = self.engines[name]
        if change == "silent":
            self.silent_since.setdefault(name, self.now)
            return
        self.silent_since.pop(name, None)
        if change == "restart":
            self.engines[name] = attrs.evolve(
                engine(name, held.fabric_domain),
                incarnation=held.incarnation + 1,
            )
        if change == "leave":
            self.engines[name] = attrs.evolve(
                held, state=messages.UpstreamState.LEAVING
            )

    @stateful.rule(
        steps=strategies.integers(1, 20),
        lost=strategies.sets(strategies.integers(0, 40), max_size=10),
    )
    def run(self, steps, lost):
        sent = 0
        for _ in range(steps):
            self.now += STEP
            seen = self.view()
            for action in plan(self.planner, seen, self.now):
                sent += 1
                if sent not in lost:
                    self.carry_out(action)
            self.check()

    def view(self):
        fresh = {
            name: item
            for name, item in self.engines.items()
            if name not in self.silent_since
        }
        return assembly.View(
            serving_groups=[spec(self.replicas)],
            policy=operators.Policy(name="p"),
            fresh=fresh,
            missing={name: self.engines[name] for name in self.silent_since},
            silent_since=dict(self.silent_since),
            entries=ENTRIES,
        )

    def carry_out(self, action):
        match action:
            case assembly.AskDrain(drain):
                for instance in ENTRIES:
                    reply = messages.DrainReply(
                        drain.group, drain.fence, drain.number, instance, 0
                    )
                    self.planner.drain_reply(reply, self.now)
            case effects.SendOrder(upstream, _, order):
                self.obey(upstream, order)

    def obey(self, name, order):
        held = self.engines[name]
        if name in self.silent_since or order.fence < held.highest_fence:
            return
        held = attrs.evolve(held, highest_fence=order.fence)
        match order:
            case messages.JoinGroup(seat=seat):
                held = attrs.evolve(
                    held,
                    seat=seat,
                    models=["m"],
                    state=messages.UpstreamState.SERVING,
                )
            case messages.ReleaseSeat():
                if held.seat and held.seat.group == order.group:
                    held = attrs.evolve(
                        held, seat=None, state=messages.UpstreamState.IDLE
                    )
        self.engines[name] = held

    def check(self):
        """Forming groups share no member, nor with whole groups' seats."""
        members = [
            (name, group)
            for group, forming in self.planner.forming_by_group.items()
            for name in forming.members
        ]
        names = [name for name, _ in members]
        assert len(names) == len(set(names))
        whole = groups.complete_groups(list(self.view().fresh.values()))
        for name, group in members:
            for other in whole.values():
                if name in other.member_names:
                    assert other.group == group

    def teardown(self):
        """Once nothing fails, what is wanted stands."""
        self.silent_since = {}
        for name, held in self.engines.items():
            if held.state is messages.UpstreamState.LEAVING:
                self.engines[name] = attrs.evolve(
                    engine(name, held.fabric_domain),
                    incarnation=held.incarnation + 1,
                )
        for _ in range(400):
            self.now += STEP
            for action in plan(self.planner, self.view(), self.now):
                self.carry_out(action)
        whole = groups.complete_groups(list(self.engines.values()))
        assert len(whole) == self.replicas


PlannerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestPlannerMachine = PlannerMachine.TestCase
