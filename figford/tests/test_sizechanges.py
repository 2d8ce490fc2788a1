"""Groups follow a configuration that changes what they must be."""

import datetime

import attrs
import pytest

from figford import formations
from figford import groupnames
from figford import groupplanner
from figford import planrounds
from figford import shortages
from figford.tests.plannerworld import LARGE
from figford.tests.plannerworld import SECOND
from figford.tests.plannerworld import SMALL
from figford.tests.plannerworld import World
from figford.tools import enginefleet

# A close, a leave, a join of weights that are there and an open, each with
# its report.
CHANGE_SECONDS = 4.0
# More than all hosts together.
UNFILLABLE = 25


def with_size(model, size: int):
    """Returns a model with another size."""
    return attrs.evolve(model, size=size)


def served_world(seed: int = 1) -> World:
    """Returns a world in which groups of both models serve."""
    world = World(seed=seed)
    world.run(60)
    assert world.targets("large") and world.targets("small")
    return world


def open_heads(world: World, model: str) -> list[enginefleet.Engine]:
    """Returns the heads of the groups of a model that are open."""
    return [
        engine
        for engine in world.engines.by_name.values()
        if engine.up
        and engine.seat
        and engine.seat.model == model
        and engine.seat.state is enginefleet.SeatState.OPEN
    ]


def sizes(world: World, model: str) -> set[int]:
    """Returns the sizes of the groups of a model that are open."""
    return {len(head.seat.members) for head in open_heads(world, model)}


def run_until_only(world: World, model: str, size: int) -> float:
    """Runs until only groups of a size serve a model; returns how long."""
    began = world.now
    world.run_until(
        lambda: bool(world.targets(model)) and sizes(world, model) == {size}
    )
    return (world.now - began).total_seconds()


@pytest.mark.parametrize("size", [2, 3, 5, 8])
def test_groups_of_a_models_former_size_are_formed_anew(size: int) -> None:
    """They went on serving, and requests began in groups of that size."""
    world = served_world()
    world.change_models(with_size(LARGE, size), SMALL)
    # Members have the weights: a load takes longer.
    assert run_until_only(world, "large", size) <= CHANGE_SECONDS
    world.run(120)
    assert sizes(world, "large") == {size}
    assert world.targets("large") >= 1


def test_a_change_of_one_models_size_leaves_other_groups_alone() -> None:
    world = served_world()
    seats = {
        name: engine.seat.key
        for name, engine in world.engines.by_name.items()
        if engine.seat and engine.seat.model == "small"
    }
    world.change_models(with_size(LARGE, 3), SMALL)
    world.run(CHANGE_SECONDS)
    assert sizes(world, "large") == {3}
    for name, key in seats.items():
        engine = world.engines.by_name[name]
        assert engine.seat is not None and engine.seat.key == key


def test_streams_that_had_begun_are_finished_before_a_change_of_size() -> None:
    """The head closes and waits; only then its members join again."""
    world = served_world()
    world.engines.work_time = 6 * SECOND
    heads = open_heads(world, "large")
    world.change_models(with_size(LARGE, 3), SMALL)
    world.run(4)
    assert {head.seat.state for head in heads} == {
        enginefleet.SeatState.CLOSING
    }
    assert run_until_only(world, "large", 3) <= 6 + CHANGE_SECONDS


def test_groups_that_form_for_a_former_size_are_never_opened() -> None:
    """They were held until their deadline; their loads are used."""
    world = World(seed=1)
    world.run(6)
    assert not world.targets("large")
    loads = len(world.engines.load_times)
    world.change_models(with_size(LARGE, 3), SMALL)
    waited = run_until_only(world, "large", 3)
    assert waited <= LARGE.load_time.total_seconds() + CHANGE_SECONDS
    forming_loads = len(world.engines.load_times) - loads
    # Hosts that had not begun load once; none loads twice.
    assert forming_loads + loads <= len(world.engines.by_name)


def test_a_size_that_the_fleet_cannot_fill_holds_and_orders_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = served_world()
    small = world.targets("small")
    world.change_models(with_size(LARGE, UNFILLABLE), SMALL)
    world.run(shortages.SHORTAGE_WAIT.total_seconds() + CHANGE_SECONDS)
    assert not world.targets("large")
    assert not sizes(world, "large")
    sent = record_orders(monkeypatch)
    world.run(240)
    assert sent and not [order for order in sent if order.model == "large"]
    assert world.targets("small") > small
    # It is served again once the size fits.
    world.change_models(LARGE, SMALL)
    world.run(120)
    assert world.targets("large")


def record_orders(
    monkeypatch: pytest.MonkeyPatch,
) -> list[formations.GroupOrder]:
    """Returns a list that receives the orders from now on."""
    sent: list[formations.GroupOrder] = []
    execute = enginefleet.EngineFleet.order

    def order(
        fleet: enginefleet.EngineFleet,
        item: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> formations.Result:
        sent.append(item)
        return execute(fleet, item, now)

    monkeypatch.setattr(enginefleet.EngineFleet, "order", order)
    return sent


def test_an_unfillable_only_model_gets_no_orders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(seed=1)
    world.change_models(SMALL)
    world.run(60)
    assert world.targets("small")
    world.change_models(with_size(SMALL, UNFILLABLE))
    world.run(CHANGE_SECONDS)
    sent = record_orders(monkeypatch)
    world.run(60)
    assert not sent


def test_a_model_that_is_not_configured_gives_up_its_instances() -> None:
    """Its groups held their members for good, and the new model got none."""
    world = World(seed=1)
    world.change_models(SMALL)
    world.run(60)
    assert world.targets("small")
    began = world.now
    other = attrs.evolve(LARGE, name="other", size=3)
    world.change_models(other)
    world.run_until(lambda: world.targets("other") > 0)
    waited = (world.now - began).total_seconds()
    assert waited <= other.load_time.total_seconds() + CHANGE_SECONDS
    assert not world.targets("small")
    world.run(180)
    assert world.targets("other") >= 6


def test_a_reservation_for_a_removed_model_ends() -> None:
    """Members of a dissolved group were kept for a model without a name."""
    world = served_world()
    for member in world.planner.member_by_name.values():
        member.reserved_for = "large"
    world.change_models(SMALL)
    world.run(120)
    assert world.targets("small") >= 9


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize("seconds", [0.1, 0.3, 1.0])
@pytest.mark.parametrize("size", [2, 3, 5])
def test_a_successor_finishes_a_change_of_size(
    size: int, seconds: float, told: bool
) -> None:
    """It adopts groups of both sizes from the reports of their members."""
    world = served_world()
    world.change_models(with_size(LARGE, size), SMALL)
    world.run(seconds)
    world.replace_planner(told)
    takeover = groupplanner.TAKEOVER_WAIT.total_seconds()
    assert run_until_only(world, "large", size) <= takeover + CHANGE_SECONDS
    kept = {
        head.seat.key
        for head in open_heads(world, "large")
        if world.engines.by_name[head.name].domain
        == world.engines.by_name[head.seat.members[-1]].domain
    }
    world.run(20)
    # Groups of the new size are kept, whoever formed them.
    assert kept <= {head.seat.key for head in open_heads(world, "large")}


def test_a_successor_closes_groups_of_a_size_that_changed_before() -> None:
    """The predecessor ended before it gave any order."""
    world = served_world()
    world.replace_planner()
    world.change_models(with_size(LARGE, 3), SMALL)
    takeover = groupplanner.TAKEOVER_WAIT.total_seconds()
    assert run_until_only(world, "large", 3) <= takeover + CHANGE_SECONDS


@pytest.mark.parametrize("size", [2, 6])
def test_groups_with_names_of_a_former_version_are_formed_anew(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their names don't tell the size, and a new planner adopts them."""
    with monkeypatch.context() as patch:
        patch.setattr(groupnames, "group_name", lambda e, _: f"g{e:x}")
        world = served_world()
    world.replace_planner()
    world.run(4)
    seats = world.seats()
    world.run(20)
    assert world.seats() == seats
    # An entry can't tell the sizes of these groups.
    monkeypatch.setattr(World, "_check_targets", lambda _: None)
    world.change_models(with_size(LARGE, size), SMALL)
    wait = planrounds.ADOPTION_WAIT.total_seconds()
    world.run(wait + CHANGE_SECONDS)
    assert sizes(world, "large") == {size}


@pytest.mark.parametrize("pause", [0.1, 0.5, 1.5])
def test_two_changes_of_size_in_a_row(pause: float) -> None:
    world = served_world()
    world.change_models(with_size(LARGE, 3), SMALL)
    world.run(pause)
    world.change_models(LARGE, SMALL)
    assert run_until_only(world, "large", 4) <= 2 * CHANGE_SECONDS
    world.run(60)
    assert world.targets("large") >= 3


def change_at_random(world: World) -> None:
    """Changes sizes, shares and the models that are named."""
    models = [
        attrs.evolve(
            model,
            size=world.rng.choice((1, 2, 3, 4, 5, 8, UNFILLABLE)),
            share=world.rng.choice((0.0, 0.33, 0.67)),
        )
        for model in (LARGE, SMALL, attrs.evolve(SMALL, name="other"))
    ]
    world.change_models(*world.rng.sample(models, world.rng.randint(1, 3)))


@pytest.mark.parametrize("seed", range(12))
def test_changes_beside_faults_leave_groups_that_serve(seed: int) -> None:
    world = World(seed=seed)
    world.engines.delayed_order_share = 0.1
    world.engines.lost_reply_share = 0.1
    world.engines.work_time = 2 * SECOND
    world.run(40)
    for _ in range(40):
        name = world.rng.choice(sorted(world.engines.by_name))
        engine = world.engines.by_name[name]
        match world.rng.randrange(5):
            case 0:
                change_at_random(world)
            case 1 if engine.up:
                world.engines.crash(name, world.now)
            case 1:
                world.restart(name)
            case 2:
                engine.partitioned = not engine.partitioned
            case 3:
                world.replace_planner(world.rng.random() < 0.5)
            case 4 if engine.up:
                world.sign_off(name)
        world.run(world.rng.uniform(0.2, 4.0))
    for name, engine in world.engines.by_name.items():
        engine.partitioned = False
        if not engine.up or name in world.signed_off:
            world.restart(name)
    world.engines.delayed_order_share = 0.0
    world.engines.lost_reply_share = 0.0
    world.change_models(with_size(LARGE, 3), SMALL)
    world.run(240)
    assert sizes(world, "large") == {3}
    assert sizes(world, "small") == {2}
    assert world.targets("large") >= 2
    assert world.targets("small") >= 2
