"""An entry hears of an upstream only when what is known of it changes."""

import datetime

import attrs

from figford import entry as entries
from figford import fleet as fleets
from figford import fleetmessages
from figford import membership
from figford import messages

SECOND = datetime.timedelta(seconds=1)
NOW = 100 * SECOND
PAST_RETENTION = fleets.ENDED_RETENTION + SECOND


def report(upstream: str, **changes: object) -> fleetmessages.Registration:
    base = fleetmessages.Registration(
        upstream=upstream,
        incarnation=5,
        sequence=1,
        service="s",
        address=f"{upstream}:80",
        data_centre="dc",
        slots=4,
    )
    return attrs.evolve(base, **changes)


def new_entry() -> entries.EntryState:
    me = messages.Peer("e1", 1, 0, "dc", "e1:1", voter=None)
    return entries.EntryState(membership.PeerTable(me))


def update(
    state: entries.EntryState,
    now: datetime.timedelta,
    *registrations: fleetmessages.Registration,
) -> list[entries.Effect]:
    message = fleetmessages.FleetUpdate(list(registrations))
    return state.receive("c1", message, now)


def present(state: entries.EntryState) -> list[str]:
    return [item.upstream for item in state.fleet.present()]


def test_an_upstream_that_does_not_change_is_kept() -> None:
    """It would get no more requests although it is healthy."""
    state = new_entry()
    update(state, NOW, report("u1"))
    for count in range(1, 4):
        now = NOW + PAST_RETENTION * count
        update(state, now, report("u2", slots=count, sequence=count))
        assert present(state) == ["u1", "u2"]


def test_an_ended_upstream_is_evicted_after_its_retention() -> None:
    """The retention begins when the entry learns of the end."""
    for end in (
        {"leaving": True, "signed_off": True},
        {"leaving": True, "signed_off": True, "sequence": 2},
        {"leaving": True, "gone": True, "sequence": 2},
    ):
        state = new_entry()
        update(state, NOW, report("u1"))
        ended_at = NOW + PAST_RETENTION
        update(state, ended_at, report("u1", **end))
        update(state, ended_at + fleets.ENDED_RETENTION, report("u2"))
        assert "u1" in state.fleet.by_name
        update(state, ended_at + PAST_RETENTION, report("u3"))
        assert set(state.fleet.by_name) == {"u2", "u3"}


def test_a_late_report_does_not_restore_an_unchanged_upstream() -> None:
    """An upstream that signed off would be sent requests again."""
    for end in (
        {"leaving": True, "signed_off": True},
        {"leaving": True, "gone": True, "sequence": 3},
    ):
        state = new_entry()
        update(state, NOW, report("u1"))
        ended_at = NOW + PAST_RETENTION
        update(state, ended_at, report("u1", **end))
        update(state, ended_at + SECOND, report("u2"))
        update(state, ended_at + 2 * SECOND, report("u1", sequence=2))
        assert state.fleet.by_name["u1"].registration.leaving


def test_an_upstream_whose_address_was_taken_over_is_evicted() -> None:
    state = new_entry()
    update(state, NOW, report("u1"))
    taken_at = NOW + PAST_RETENTION
    update(state, taken_at, report("u2", incarnation=6, address="u1:80"))
    update(state, taken_at + fleets.ENDED_RETENTION, report("u3"))
    assert "u1" in state.fleet.by_name
    update(state, taken_at + PAST_RETENTION, report("u4"))
    assert set(state.fleet.by_name) == {"u2", "u3", "u4"}


def test_upstreams_whose_end_is_never_told_stay_limited() -> None:
    """A crashed upstream sends nothing; records would accumulate."""
    state = new_entry()
    limit = fleets.MAX_PRESENT
    items = [report(f"u{index:05}") for index in range(limit)]
    update(state, NOW, *items)
    assert len(state.fleet.by_name) == limit
    changed = report("u00000", sequence=2, slots=5)
    update(state, NOW + SECOND, changed)
    effects = update(state, NOW + 2 * SECOND, report("new"), report("newer"))
    assert effects == [entries.FleetChanged()]
    assert len(state.fleet.by_name) == limit
    assert {"u00000", "new", "newer"} <= set(state.fleet.by_name)
