"""Requests go to open heads with room, the least busy first."""

import datetime
import random

import attrs

from figford import fleet as fleets
from figford import fleetmessages
from figford import placement
from figford import routes

NOW = datetime.timedelta(seconds=100)
MOMENT = datetime.timedelta(milliseconds=10)
ENGINE = routes.Engine(
    slots=13,
    models=(),
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
    made = placement.Placement("dc", random.Random(1))
    made.update(fleet, {"pool": ENGINE})
    return made


def test_only_open_heads_are_targets() -> None:
    states = fleetmessages.SeatState
    made = placed(
        head("u1"),
        head("u2", seat=attrs.evolve(SEAT, rank=1)),
        head("u3", seat=attrs.evolve(SEAT, state=states.READY)),
        head("u4", seat=attrs.evolve(SEAT, state=states.CLOSING)),
        head("u5", seat=None),
        head("u6", leaving=True),
        head("u7", gone=True),
    )
    assert [item.upstream for item in made.targets("pool", "m")] == ["u1"]
    assert made.services("m") == {"pool"}


def test_a_full_target_gets_nothing_more() -> None:
    made = placed(head("u1"))
    for _ in range(2):
        target = made.choose("pool", "m", (), NOW)
        assert target is not None
        made.started(target, NOW)
    assert made.choose("pool", "m", (), NOW) is None
    made.finished(target)
    assert made.choose("pool", "m", (), NOW) is not None


def test_what_other_entries_sent_counts_and_fades() -> None:
    made = placed(head("u1"))
    target = made.targets("pool", "m")[0]
    made.loaded(target, 8, NOW)
    assert made.choose("pool", "m", (), NOW) is None
    later = NOW + 4 * placement.OTHERS_HALF_LIFE
    assert made.choose("pool", "m", (), later) == target


def test_the_less_busy_of_two_is_chosen() -> None:
    made = placed(head("u1"), head("u2"))
    busy = made.targets("pool", "m")[0]
    made.loaded(busy, 1, NOW)
    chosen = {made.choose("pool", "m", (), NOW).upstream for _ in range(20)}
    assert chosen == {"u2"}


def test_a_target_that_failed_twice_is_left_alone_for_a_while() -> None:
    made = placed(head("u1"), head("u2"))
    target = made.targets("pool", "m")[0]
    made.failed(target, NOW)
    made.failed(target, NOW)
    for _ in range(20):
        assert made.choose("pool", "m", (), NOW + MOMENT).upstream == "u2"
    later = NOW + placement.FIRST_CLOSED + MOMENT
    assert made.standing("u1").closed_until <= later


def test_a_silent_target_is_the_last_way() -> None:
    made = placed(head("u1"), head("u2"))
    made.silent = frozenset({"u1"})
    assert made.choose("pool", "m", (), NOW).upstream == "u2"
    assert made.choose("pool", "m", {"u2"}, NOW).upstream == "u1"


def test_a_target_of_the_own_data_centre_is_preferred() -> None:
    made = placed(head("u1", data_centre="far"), head("u2"))
    chosen = {made.choose("pool", "m", (), NOW).upstream for _ in range(20)}
    assert chosen == {"u2"}


def test_a_group_that_spans_domains_gets_less() -> None:
    other = attrs.evolve(SEAT, group="g2")
    made = placed(
        head("u1", domain="d1"),
        head("u2", seat=attrs.evolve(SEAT, rank=1), domain="d2"),
        head("u3", seat=other, domain="d1"),
        head("u4", seat=attrs.evolve(other, rank=1), domain="d1"),
    )
    slower = {item.upstream: item.slower for item in made.targets("pool", "m")}
    assert slower == {"u1": 2.5, "u3": 1.0}
    chosen = {made.choose("pool", "m", (), NOW).upstream for _ in range(20)}
    assert chosen == {"u3"}


def test_a_group_that_spans_domains_is_used_once_others_are_full() -> None:
    """Even idle it answers later than others that are nearly full."""
    other = attrs.evolve(SEAT, group="g2")
    made = placed(
        head("u1", domain="d1", slots=13),
        head("u2", seat=attrs.evolve(SEAT, rank=1), domain="d2"),
        head("u3", seat=other, domain="d1", slots=13),
    )
    chosen = []
    for _ in range(16):
        target = made.choose("pool", "m", (), NOW)
        made.started(target, NOW)
        chosen.append(target.upstream)
    assert chosen == ["u3"] * 13 + ["u1"] * 3
