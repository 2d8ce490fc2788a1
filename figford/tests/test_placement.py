"""Tests that requests go to the least loaded open heads with capacity."""

import datetime
import random

import attrs

from figford import fleet as fleets
from figford import fleetmessages
from figford import groupnames
from figford import placement
from figford import routes

NOW = datetime.timedelta(seconds=100)
TICK = datetime.timedelta(milliseconds=10)
NO_TIME = datetime.timedelta(0)
ENGINE = routes.Engine(
    slots=13,
    models=(routes.Model("m", 2, 1.0, 1.0, NO_TIME, NO_TIME),),
    cross_domain_factor=2.5,
    step_ms=6.0,
    step_ms_per_sequence=0.5,
    prefill_tokens_per_second=46000.0,
    steps_per_pass=5,
    typical_prompt_tokens=1000.0,
)
SEAT = fleetmessages.FleetSeat("g1", 7, 0, fleetmessages.SeatState.OPEN)


def head(name: str, **changes: object) -> fleetmessages.Registration:
    base = fleetmessages.Registration(
        upstream=name,
        incarnation=1,
        sequence=1,
        service="pool",
        address=f"10.0.0.1:{name[1:]}",
        data_centre="dc",
        slots=2,
        models=["m"],
        seat=SEAT,
    )
    return attrs.evolve(base, **changes)


def placed(*heads: fleetmessages.Registration) -> placement.Placement:
    fleet = fleets.FleetTable()
    for item in heads:
        fleet.report(item, NOW)
    placer = placement.Placement("dc", random.Random(1))
    placer.update(fleet, {"pool": ENGINE})
    return placer


def test_only_open_heads_are_targets() -> None:
    states = fleetmessages.SeatState
    placer = placed(
        head("u1"),
        head("u2", seat=attrs.evolve(SEAT, rank=1)),
        head("u3", seat=attrs.evolve(SEAT, state=states.READY)),
        head("u4", seat=attrs.evolve(SEAT, state=states.CLOSING)),
        head("u5", seat=None),
        head("u6", leaving=True),
        head("u7", gone=True),
    )
    assert [item.upstream for item in placer.targets("pool", "m")] == ["u1"]
    assert placer.services("m") == {"pool"}


def test_a_full_target_gets_no_more_requests() -> None:
    placer = placed(head("u1"))
    for _ in range(2):
        target = placer.choose("pool", "m", (), NOW)
        assert target is not None
        placer.started(target, NOW)
    assert placer.choose("pool", "m", (), NOW) is None
    placer.finished(target)
    assert placer.choose("pool", "m", (), NOW) is not None


def test_load_of_other_entries_counts_and_decays() -> None:
    placer = placed(head("u1"))
    target = placer.targets("pool", "m")[0]
    placer.load_reported(target, 8, NOW)
    assert placer.choose("pool", "m", (), NOW) is None
    later = NOW + 4 * placement.OTHERS_HALF_LIFE
    assert placer.choose("pool", "m", (), later) == target


def test_the_less_loaded_of_two_is_chosen() -> None:
    placer = placed(head("u1"), head("u2"))
    busy = placer.targets("pool", "m")[0]
    placer.load_reported(busy, 1, NOW)
    chosen = {placer.choose("pool", "m", (), NOW).upstream for _ in range(20)}
    assert chosen == {"u2"}


def test_a_target_that_failed_twice_is_ejected_for_a_time() -> None:
    placer = placed(head("u1"), head("u2"))
    target = placer.targets("pool", "m")[0]
    placer.failed(target, NOW)
    placer.failed(target, NOW)
    for _ in range(20):
        assert placer.choose("pool", "m", (), NOW + TICK).upstream == "u2"
    later = NOW + placement.INITIAL_EJECTION_TIME + TICK
    assert placer.target_state("u1").ejected_until <= later


def test_a_silent_target_is_the_last_resort() -> None:
    placer = placed(head("u1"), head("u2"))
    placer.silent = frozenset({"u1"})
    assert placer.choose("pool", "m", (), NOW).upstream == "u2"
    assert placer.choose("pool", "m", {"u2"}, NOW).upstream == "u1"


def test_a_target_in_the_same_data_centre_is_preferred() -> None:
    placer = placed(head("u1", data_centre="far"), head("u2"))
    chosen = {placer.choose("pool", "m", (), NOW).upstream for _ in range(20)}
    assert chosen == {"u2"}


def test_a_group_that_spans_domains_is_not_preferred() -> None:
    other = attrs.evolve(SEAT, group="g2")
    placer = placed(
        head("u1", domain="d1"),
        head("u2", seat=attrs.evolve(SEAT, rank=1), domain="d2"),
        head("u3", seat=other, domain="d1"),
        head("u4", seat=attrs.evolve(other, rank=1), domain="d1"),
    )
    slowdown = {
        item.upstream: item.slowdown for item in placer.targets("pool", "m")
    }
    assert slowdown == {"u1": 2.5, "u3": 1.0}
    chosen = {placer.choose("pool", "m", (), NOW).upstream for _ in range(20)}
    assert chosen == {"u3"}


def test_a_group_that_spans_domains_is_used_once_others_are_full() -> None:
    """Such a group answers later when idle than others when nearly full."""
    other = attrs.evolve(SEAT, group="g2")
    placer = placed(
        head("u1", domain="d1", slots=13),
        head("u2", seat=attrs.evolve(SEAT, rank=1), domain="d2"),
        head("u3", seat=other, domain="d1", slots=13),
    )
    chosen = []
    for _ in range(16):
        target = placer.choose("pool", "m", (), NOW)
        placer.started(target, NOW)
        chosen.append(target.upstream)
    assert chosen == ["u3"] * 13 + ["u1"] * 3


def test_an_upstream_that_started_again_is_not_ejected() -> None:
    """It came back under its name, and former failures kept it ejected."""
    placer = placed(head("u1"))
    former = placer.choose("pool", "m", (), NOW)
    placer.started(former, NOW)
    for _ in range(2):
        placer.failed(former, NOW)
    assert placer.choose("pool", "m", (), NOW) is None
    fleet = fleets.FleetTable()
    fleet.report(head("u1", incarnation=2), NOW)
    placer.update(fleet, {"pool": ENGINE})
    target = placer.choose("pool", "m", (), NOW)
    assert target is not None
    # A failure of the former one that is noticed late says nothing of it.
    placer.failed(former, NOW)
    placer.leaving_noticed(former)
    placer.finished(former)
    assert placer.choose("pool", "m", (), NOW) == target


def test_only_groups_of_their_models_size_are_targets() -> None:
    """Requests began in groups of the size that a former table named."""
    seats = [
        attrs.evolve(SEAT, group=groupnames.group_name(number, size))
        for number, size in enumerate((2, 3, 1), start=1)
    ]
    heads = [head(f"u{seat.group[1]}", seat=seat) for seat in seats]
    assert [item.upstream for item in placed(*heads).targets("pool", "m")] == [
        "u1"
    ]


def test_a_model_that_is_not_configured_has_no_targets() -> None:
    """Groups served a model that no table named."""
    placer = placed(head("u1", models=["m", "former"]))
    assert placer.services("former") == set()
    assert placer.services("m") == {"pool"}
