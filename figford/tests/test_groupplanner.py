"""Groups are formed, opened and dissolved, and never serve incomplete."""

import collections
import random

import attrs
import pytest

from figford import fleet as fleets
from figford import formations
from figford import forming
from figford import planrounds
from figford.tests import plannerworld
from figford.tests.plannerworld import BEAT
from figford.tests.plannerworld import ENGINE
from figford.tests.plannerworld import LARGE
from figford.tests.plannerworld import SECOND
from figford.tests.plannerworld import SMALL
from figford.tests.plannerworld import World
from figford.tools import enginefleet

# A weight store that takes 4 loads a second, a tenth more, and 3.
LOADS_IN_WINDOW = 4 * 5 * 1.1 + 3


def test_engines_serve_by_the_shares_of_the_models() -> None:
    world = World(seed=1)
    world.run(40)
    assert world.engines.serving("large") == 3
    assert world.engines.serving("small") == 3
    # Each domain keeps a spare for each model that has groups there.
    spares = world.spares()
    assert {engine.domain for engine in spares} == {"d0", "d1", "d2"}
    assert sorted(engine.staged for engine in spares) == (
        [["large"]] * 3 + [["small"]] * 3
    )


def test_a_group_that_lost_a_member_serves_again_after_a_warm_join() -> None:
    world = World(seed=1)
    world.run(40)
    world.add("spare", "d0")
    world.run(40)
    before = world.engines.serving("large")
    # Not the head, so that the head has to detect the loss.
    victim = world.member(1, domain="d0")
    world.engines.crash(victim.name, world.now)
    world.run(30)
    assert world.engines.serving("large") >= before


def test_a_warmed_up_spare_joins_faster_than_staged_weights() -> None:
    world = World(seed=1)
    world.run(40)
    before = world.engines.serving("large")
    world.member(1, domain="d0").leaving = True
    world.run_until(lambda: world.engines.serving("large") < before)
    began = world.now
    world.run_until(lambda: world.engines.serving("large") == before)
    # The time includes close, leave, join and open; a join of staged
    # weights alone would take `LARGE.warm_load_time`.
    assert world.now - began < LARGE.warm_load_time


def test_a_new_planner_frees_members_of_a_partly_ordered_group() -> None:
    """The previous planner ended between its join orders."""
    world = World(seed=1)
    world.run(40)
    spare = next(e for e in world.spares() if e.staged == ["large"])
    order = formations.GroupOrder(
        upstream=spare.name,
        incarnation=1,
        address=spare.address,
        action=formations.Action.JOIN,
        fence=1,
        expected=None,
        group="half",
        epoch=world.planner.next_epoch(),
        model="large",
        members=(spare.name, "x1", "x2", "x3"),
    )
    world.engines.order(order, world.now)
    world.replace_planner()
    world.run(5)
    assert (
        spare.name
        in {
            name
            for item in world.planner.formation_by_key.values()
            if item.phase is formations.Phase.FREED
            for name in item.members.values()
        }
        or spare.seat is None
    )


def test_a_spare_with_a_pending_order_still_counts_as_spare() -> None:
    world = World(seed=1)
    world.run(40)
    spares = {
        engine.staged[0]: engine
        for engine in world.spares()
        if engine.domain == "d0"
    }
    world.engines.crash(spares["small"].name, world.now)
    world.run(fleets.SILENCE_TIMEOUT.total_seconds() + 1)
    member = world.planner.member_by_name[spares["large"].name]
    member.pending = member.last_order
    world.add("fresh", "d0")
    world.run(20)
    assert world.engines.by_name["fresh"].staged == ["small"]


@pytest.mark.parametrize("seed", [2, 3])
def test_hosts_become_spares_only_after_groups_are_formed(seed: int) -> None:
    """Hosts report two at a time, and the weight store is slow."""
    world = World(seed=seed, domains=0, warming_up=True)
    names = [(f"e{index:02}", f"d{index % 6}") for index in range(48)]
    random.Random(seed).shuffle(names)

    def all_serve() -> bool:
        for name, domain in names[:2]:
            world.add(name, domain)
        del names[:2]
        bare = collections.Counter(
            engine.domain
            for engine in world.spares()
            if not engine.staged and not engine.staging
        )
        assert not [
            engine.name
            for engine in world.spares()
            if engine.staging and bare[engine.domain] > SMALL.size
        ]
        return (
            world.engines.serving("large") == 6
            and world.engines.serving("small") == 6
        )

    world.run_until(all_serve)


def test_a_new_planner_uses_spares_that_warmed_up() -> None:
    world = World(seed=1)
    world.run(40)
    before = world.engines.serving("large")
    world.replace_planner()
    world.run(2)
    world.member(1, domain="d0").leaving = True
    world.run(BEAT.total_seconds())
    world.run(LARGE.warm_load_time.total_seconds())
    assert world.engines.serving("large") == before


def test_a_new_planner_forms_groups_of_remaining_members() -> None:
    """It knows the members of groups that other planners formed."""
    world = World(seed=1)
    world.run(40)
    for engine in world.spares():
        world.engines.crash(engine.name, world.now)
    world.replace_planner()
    world.run(2)
    for domain in ("d0", "d1"):
        victim = world.member(1, domain=domain)
        world.engines.crash(victim.name, world.now)
    # The heads detect the loss, and the remaining members wait in vain for
    # hosts of their own domain.
    world.run(enginefleet.STALL_TIMEOUT.total_seconds() + 4)
    assert {"d0", "d1"} in world.group_domains("large")


def test_a_stalled_group_is_dissolved_before_its_stall_timeout() -> None:
    """Entries doubt its head, and the lost member does not reply."""
    world = World(seed=1)
    world.run(40)
    victim = world.member(1)
    head = world.engines.by_name[victim.seat.members[0]]
    key = head.seat.key
    world.engines.crash(victim.name, world.now)
    world.run(0.8)
    world.doubted.add(head.name)
    before = world.now
    while head.seat is not None and head.seat.key == key:
        world.run(0.1)
    assert world.now - before < enginefleet.STALL_TIMEOUT - 0.8 * SECOND


def test_a_complete_group_is_kept_when_entries_doubt_it() -> None:
    world = World(seed=1)
    world.run(40)
    seats = world.seats()
    world.doubted.update(seats)
    world.run(20)
    assert seats == world.seats()


def test_a_group_that_is_partitioned_as_a_whole_is_kept() -> None:
    """Entries on this side see it fail; those on its side are served."""
    world = World(seed=1)
    world.run(40)
    seats = world.seats("d0")
    for name in seats:
        world.engines.by_name[name].partitioned = True
    world.run(1.2)
    world.doubted.update(seats)
    world.run(4)
    for name in seats:
        world.engines.by_name[name].partitioned = False
    world.doubted.clear()
    world.run(12)
    assert seats == world.seats("d0")


def test_a_new_planner_adopts_groups_and_moves_no_member() -> None:
    world = World(seed=2)
    world.run(40)
    seats = world.seats()
    world.replace_planner()
    world.run(20)
    assert seats == world.seats()


def test_a_partitioned_head_keeps_its_group() -> None:
    world = World(seed=3)
    world.run(40)
    head = world.member(0)
    key = head.seat.key
    for name in key[2]:
        world.engines.by_name[name].partitioned = True
    world.run(12)
    for name in key[2]:
        world.engines.by_name[name].partitioned = False
    world.run(10)
    assert head.seat is not None and head.seat.key == key
    assert head.seat.state is enginefleet.SeatState.OPEN


def test_a_head_that_signed_off_is_closed_before_its_members_move() -> None:
    """It stops reporting but keeps serving; seen on a day of releases."""
    world = World(seed=7)
    world.run(40)
    head = world.member(0)
    others = set(head.seat.members[1:])
    key = head.seat.key
    world.sign_off(head.name)
    world.add("spare", head.domain)
    # The emulator raises InvariantViolation if a member joins another group
    # while the head is open.
    world.run(40)
    assert all(world.engines.by_name[name].seat.key != key for name in others)


def test_a_head_that_reports_again_is_closed_before_it_joins() -> None:
    """Only the head was cut off; its members moved to other groups."""
    world = World(seed=3)
    world.run(40)
    head = world.member(0)
    key = head.seat.key
    head.partitioned = True
    world.run(20)
    others = [world.engines.by_name[name] for name in key[2][1:]]
    assert all(other.seat is None or other.seat.key != key for other in others)
    # The emulated head has not stalled yet and still reports that it is open.
    head.stalled_at = None
    head.seat.state = enginefleet.SeatState.OPEN
    head.partitioned = False
    # The emulator raises InvariantViolation if an open head joins another
    # group.
    world.run(30)
    assert head.seat is None or head.seat.key != key


def test_a_cross_domain_group_is_formed_again_when_it_fits_in_one() -> None:
    world = World(seed=1)
    world.run(40)
    for domain in ("d0", "d1"):
        for engine in world.spares():
            if engine.domain == domain and engine.staged == ["large"]:
                world.engines.crash(engine.name, world.now)
    victim = world.member(1, domain="d0")
    world.engines.crash(victim.name, world.now)
    world.run(12)

    assert {"d0", "d2"} in world.group_domains("large")
    world.add("fresh", "d0")
    world.run(30)
    found = world.group_domains("large")
    assert all(len(domains) == 1 for domains in found)
    assert world.engines.serving("large") == 3


def test_idle_spares_stage_weights_of_a_model_that_lacks_groups() -> None:
    """Five of six groups lost a member; all spares have other weights."""
    world = World(seed=1, domains=6)
    world.run(70)
    for engine in world.spares():
        if engine.staged == ["large"]:
            world.engines.crash(engine.name, world.now)
    for index in range(5):
        victim = world.member(1, domain=f"d{index}")
        world.engines.crash(victim.name, world.now)
    world.run(6)
    # Without loads, only groups that span domains can form again.
    assert world.engines.serving("large") <= 4
    world.run(40)
    found = world.group_domains("large")
    assert sum(len(domains) == 1 for domains in found) >= 5


def test_members_of_a_crashed_head_serve_again() -> None:
    world = World(seed=4)
    world.run(40)
    head = world.member(0)
    others = set(head.seat.members[1:])
    world.engines.crash(head.name, world.now)
    world.add("spare", head.domain)
    world.run(40)
    assert others <= set(world.seats())


def test_loads_stay_within_the_rate_of_the_weight_store() -> None:
    world = World(seed=5, domains=6)
    world.run(300)
    assert world.engines.load_times
    assert world.engines.most_loads(5 * SECOND) <= LOADS_IN_WINDOW


@pytest.mark.parametrize("seed", [5, 6, 7, 8])
@pytest.mark.parametrize(("late_share", "cut"), [(0.35, 28), (0.6, 0)])
def test_late_orders_begin_no_loads_beside_those_of_the_next_window(
    seed: int, late_share: float, cut: int
) -> None:
    """New hosts, late orders and a cut; seen on reserva-kiosco."""
    world = World(seed=seed, domains=6)
    world.run(60)
    world.engines.load_times.clear()
    world.engines.delayed_order_share = late_share
    for index in range(46):
        world.add(f"n{index:02}", f"d{index % 6}")
        if index % 9 == 8:
            world.run(0.1)
    world.run(1.5)
    names = world.rng.sample(sorted(world.engines.by_name), cut)
    for name in names:
        world.engines.by_name[name].partitioned = True
    world.run(5)
    for name in names:
        world.engines.by_name[name].partitioned = False
    world.run(25)
    assert len(world.engines.load_times) >= 40
    assert world.engines.most_loads(5 * SECOND) <= LOADS_IN_WINDOW


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("late_share", [0.0, 0.35])
@pytest.mark.parametrize(
    ("interval", "told"),
    [(3.0, False), (3.0, True), (6.0, False), (6.0, True)],
)
def test_new_planners_begin_no_loads_beside_those_of_their_predecessors(
    seed: int, late_share: float, interval: float, told: bool
) -> None:
    world = World(seed=seed, domains=6)
    world.engines.delayed_order_share = late_share
    for _ in range(6):
        world.run(interval)
        world.replace_planner(told)
    world.run(60)
    assert len(world.engines.load_times) >= 48
    assert world.engines.most_loads(5 * SECOND) <= LOADS_IN_WINDOW


@pytest.mark.parametrize("told", [False, True])
def test_a_new_planner_loads_at_once_where_no_host_may_be_loading(
    told: bool,
) -> None:
    world = World(seed=1, domains=6)
    world.run(60)
    world.engines.load_times.clear()
    for index in range(46):
        world.add(f"n{index:02}", f"d{index % 6}")
    world.replace_planner(told)
    world.run(3)
    assert world.engines.load_times


@pytest.mark.parametrize("seed", range(1, 4))
def test_hosts_that_crash_and_return_stay_within_the_rate_of_the_weight_store(
    seed: int,
) -> None:
    """Replaced hosts, new hosts, crashes, lost replies and late orders."""
    world = World(seed=seed, domains=6)
    world.run(60)
    world.engines.delayed_order_share = 0.3
    world.engines.lost_reply_share = 0.2
    for index in range(24):
        world.add(f"n{index:02}", f"d{index % 6}")
    for name in world.rng.sample(sorted(world.engines.by_name), 22):
        world.engines.crash(name, world.now)
        world.add(f"r{name}", world.engines.by_name[name].domain)
    for _ in range(14):
        world.run(2)
        up = [name for name, it in world.engines.by_name.items() if it.up]
        name = world.rng.choice(sorted(up))
        world.engines.crash(name, world.now)
        world.run(0.5)
        world.restart(name)
    world.run(30)
    assert world.engines.most_loads(5 * SECOND) <= LOADS_IN_WINDOW


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("late_share", [0.0, 0.6])
def test_loads_that_begin_after_the_first_request_count(
    seed: int, late_share: float
) -> None:
    """Before it the weight store has no rate limit."""
    world = World(seed=seed, domains=6, warming_up=True)
    world.engines.delayed_order_share = late_share
    world.run(2)
    world.warming_up = False
    world.engines.load_times.clear()
    world.run(60)
    assert world.engines.most_loads(5 * SECOND) <= LOADS_IN_WINDOW


def _dissolved_at_deadline(world: World) -> list[formations.Note]:
    return [
        note
        for note in world.planner.notes
        if note.cause is formations.Cause.DEADLINE
    ]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("late_share", [0.0, 0.35])
def test_groups_that_load_beside_others_are_not_dissolved_at_a_deadline(
    seed: int, late_share: float
) -> None:
    """All hosts load after the first request; seen on reserva-kiosco."""
    world = World(seed=seed, domains=6)
    world.engines.loads_at_once = 6
    world.engines.delayed_order_share = late_share
    world.run(150)
    assert not _dissolved_at_deadline(world)
    assert world.engines.serving("large") == 6
    assert world.engines.serving("small") == 6


def test_loads_that_never_end_hold_back_no_spares_for_good() -> None:
    """Hosts whose load was given up report no weights."""
    world = World(seed=1, domains=6)
    world.run(70)
    for index in range(6):
        world.add(f"n{index}", f"d{index}")
    world.run(5)
    for index in range(6):
        # Without a notice, as if the load had been cancelled.
        assert world.engines.by_name[f"n{index}"].staging is not None
        world.engines.by_name[f"n{index}"].staging = None
    world.add("spare", "d0")
    world.run(60)
    assert world.engines.by_name["spare"].staged


def test_groups_with_more_members_than_may_load_at_once_are_formed() -> None:
    """Groups of 12, where 10 loads a second may begin."""
    models = attrs.evolve(LARGE, size=12), attrs.evolve(SMALL, size=6)
    engine = attrs.evolve(ENGINE, models=models)
    world = World(seed=1, domains=0, engine=engine)
    for index in range(54):
        world.add(f"e{index:02}", f"d{index // 27}")
    world.run(60)
    assert world.engines.serving("large") == 3
    assert world.engines.most_loads(5 * SECOND) <= LOADS_IN_WINDOW


def test_groups_begin_to_load_one_after_another() -> None:
    """Loads that begin first take least, so the first group serves soonest."""
    world = World(seed=1, domains=6)
    for _ in range(30):
        world.run(0.1)
        notes, world.planner.notes = world.planner.notes, []
        assert sum(note.event == "forming" for note in notes) <= 1
    assert len(world.engines.load_times) > ENGINE.loads_at_once


def test_a_new_planner_keeps_groups_that_load_beside_others() -> None:
    world = World(seed=1, domains=6)
    world.engines.loads_at_once = 6
    world.run(12)
    world.replace_planner(told=True)
    world.run(120)
    assert not _dissolved_at_deadline(world)


def test_spares_load_only_what_the_weight_store_takes_at_once() -> None:
    """A group that lost a member loads its replacement meanwhile."""
    world = World(seed=1, domains=6)
    world.run(60)
    world.engines.loads_at_once = 6
    world.engines.load_times.clear()
    for index in range(12):
        world.add(f"n{index:02}", f"d{index % 6}")
    world.run(10)
    assert 0 < len(world.engines.load_times) <= 6


def test_a_member_that_leaves_is_replaced_after_its_head_closed() -> None:
    world = World(seed=6)
    world.run(40)
    engine = world.member(1)
    engine.leaving = True
    world.run(8)
    head = (
        world.engines.by_name[engine.seat.members[0]] if engine.seat else None
    )
    assert (
        head is None
        or head.seat is None
        or (
            head.seat.state is not enginefleet.SeatState.OPEN
            or engine.name not in head.seat.members
        )
    )


@pytest.mark.parametrize("seed", range(12))
def test_nothing_is_partial_or_in_two_groups_under_faults(seed: int) -> None:
    """Random crashes, restarts, partitions, late orders and planners."""
    world = World(seed=seed)
    world.engines.delayed_order_share = 0.3
    world.run(30)
    for _ in range(60):
        names = sorted(world.engines.by_name)
        name = world.rng.choice(names)
        engine = world.engines.by_name[name]
        match world.rng.randrange(6):
            case 0 if engine.up:
                world.engines.crash(name, world.now)
            case 1 if not engine.up:
                world.restart(name)
            case 5 if engine.up:
                world.sign_off(name)
            case 2:
                engine.partitioned = not engine.partitioned
            case 3:
                world.replace_planner()
            case 4 if engine.up:
                world.engines.crash(name, world.now)
                world.restart(name)
        world.run(world.rng.uniform(0.2, 4.0))
    for name, engine in world.engines.by_name.items():
        engine.partitioned = False
        if not engine.up or name in world.signed_off:
            world.restart(name)
    world.engines.delayed_order_share = 0.0
    world.run(240)
    # All hosts serve again, except for spares and hosts that do not make up
    # a group: with two of them idle, a domain of eight serves with six.
    idle = collections.Counter(engine.domain for engine in world.spares())
    assert all(idle[f"d{index}"] <= 3 for index in range(3))
    assert sum(idle.values()) <= 7
    assert world.engines.serving("large") >= 2
    assert world.engines.serving("small") >= 2


def notes_of(world: World, event: str) -> list[formations.Note]:
    return [note for note in world.planner.notes if note.event == event]


def test_a_group_freed_by_a_leave_of_its_head_is_noted_once() -> None:
    world = World(seed=6)
    world.run(40)
    leaving = world.member(1)
    group, epoch, members = leaving.seat.key
    world.planner.notes.clear()
    leaving.leaving = True
    world.run(8)
    (note,) = [
        note
        for note in notes_of(world, "freed")
        if (note.group, note.epoch) == (group, epoch)
    ]
    assert note.cause is formations.Cause.HEAD_LEFT
    assert note.detail == "head left"
    seated = dict(note.fields)["seated"].split(",")
    # The head has reported since that it left; the others still wait.
    assert sorted(item.split("/")[0] for item in seated) == sorted(members[1:])


def test_an_abandoned_group_names_the_silent_members_that_did_not_leave() -> (
    None
):
    """They are ordered to leave once they report."""
    world = World(seed=3)
    world.run(40)
    head = world.member(0)
    group, epoch, members = head.seat.key
    silent = {members[0], members[1]}
    for name in silent:
        world.engines.by_name[name].partitioned = True
    world.planner.notes.clear()
    world.run(20)
    (note,) = [
        note
        for note in notes_of(world, "abandoned")
        if (note.group, note.epoch) == (group, epoch)
    ]
    assert note.cause is formations.Cause.HEAD_LOST
    silence_ms = {
        name: int(milliseconds)
        for name, _, milliseconds in (
            item.partition("/")
            for item in dict(note.fields)["seated"].split(",")
        )
    }
    assert silence_ms.keys() == set(members)
    assert {name for name in members if silence_ms[name] >= 8000} == silent
    assert all(silence_ms[name] < 2000 for name in set(members) - silent)


def test_a_forming_group_names_the_former_seats_of_its_members() -> None:
    world = World(seed=6)
    world.run(40)
    leaving = world.member(1)
    group, epoch, members = leaving.seat.key
    world.planner.notes.clear()
    leaving.leaving = True
    world.run(8)
    former = [
        item
        for note in notes_of(world, "forming")
        for item in dict(note.fields).get("former", "").split(",")
        if item
    ]
    # The head has reported that it left, and spares have no seat but in a
    # warm-up group.
    assert sorted(former) == [
        f"{name}/{group}/{epoch}/ready/freed" for name in sorted(members[2:])
    ]


def test_a_group_of_members_without_a_seat_names_no_former_seats() -> None:
    world = World(seed=1)
    world.run(40)
    forming = notes_of(world, "forming")
    assert forming and not any(note.fields for note in forming)


def test_the_id_of_a_lost_member_is_logged_but_not_counted() -> None:
    world = World(seed=2)
    world.run(40)
    victim = world.member(1)
    world.doubted = {victim.seat.members[0]}
    world.planner.notes.clear()
    world.engines.crash(victim.name, world.now)
    world.run(3)
    (note,) = notes_of(world, "dissolving")
    assert note.detail == f"member {victim.name} lost"
    assert note.cause is formations.Cause.MEMBER_LOST


def test_the_id_of_a_member_lost_before_open_is_not_counted() -> None:
    world = World(seed=2)
    world.run(5)
    victim = world.member(1)
    assert victim.seat.state is enginefleet.SeatState.JOINING
    world.engines.crash(victim.name, world.now)
    world.run(5)
    (note,) = notes_of(world, "dissolving")
    assert note.detail == f"lost {victim.name}"
    assert note.cause is formations.Cause.LOST_BEFORE_OPEN


def test_a_group_of_other_ranks_than_its_models_is_dissolved() -> None:
    """A new planner knows ranks 1 and 2 of a model that has two members."""
    world = World(seed=1)
    world.run(40)
    head = world.member(0)
    for name in (head.name, head.seat.members[3]):
        world.fleet.by_name[name].registration = attrs.evolve(
            world.fleet.by_name[name].registration, seat=None
        )
        world.stop_reports(name)
    for name in head.seat.members[1:3]:
        world.engines.by_name[name].seat.model = "small"
        world.fleet.report(world.engines.by_name[name].report(), world.now)
    key = head.seat.key[:2]
    world.replace_planner()
    world.run(planrounds.ADOPTION_WAIT.total_seconds() + 2)
    assert key not in world.planner.formation_by_key


@pytest.mark.parametrize("rank", [0, 1])
def test_a_second_claim_to_a_rank_does_not_hide_its_member(rank: int) -> None:
    """Another writer reports the seat of a member that serves."""
    world = World(seed=1)
    world.run(40)
    seats = world.seats()
    claimed = world.member(rank).report()
    other = attrs.evolve(
        claimed, upstream="z", address="10.0.0.2:80", domain=""
    )
    world.fleet.report(other, world.now)
    world.run(20)
    assert world.seats() == seats


def test_a_model_in_surplus_is_reduced_though_a_member_is_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An upstream took over its address; its former group still serves."""
    world = World(seed=1)
    world.run(40 + forming.REBALANCE_WAIT.total_seconds())
    heads = [
        engine
        for engine in world.engines.by_name.values()
        if engine.seat
        and engine.seat.model == "large"
        and len(engine.seat.members) > 1
        and engine.seat.members[0] == engine.name
    ]
    gone = {head.seat.members[1] for head in heads}
    for name in gone:
        victim = world.engines.by_name[name]
        other = attrs.evolve(
            victim.report(),
            upstream=f"other-{name}",
            service="plain",
            seat=None,
            staged=[],
        )
        world.engines.crash(name, world.now)
        world.fleet.report(other, world.now)
    models = (
        attrs.evolve(LARGE, share=SMALL.share),
        attrs.evolve(SMALL, share=LARGE.share),
    )
    engine = attrs.evolve(plannerworld.ENGINE, models=models)
    monkeypatch.setattr(plannerworld, "ENGINE", engine)
    world.planner.notes.clear()
    world.run(0.1)
    (note,) = notes_of(world, "dissolving")
    assert note.cause is formations.Cause.MODEL_IN_SURPLUS
    (chosen,) = [head for head in heads if head.seat.key[0] == note.group]
    reserved = {
        name
        for name, member in world.planner.member_by_name.items()
        if member.reserved_for == "small"
    }
    assert reserved == set(chosen.seat.members) - gone
