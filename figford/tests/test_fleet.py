"""Fleet table: the newest report wins and the end of a process is final."""

import datetime

import attrs
import pytest

from figford import fleet
from figford import fleetmessages
from figford import signoffs

NOW = datetime.timedelta(seconds=100)
# Of the start that `report` names.
SIGN_OFF = signoffs.SignOff("u1", 5)
LATER = NOW + datetime.timedelta(seconds=1)


def report(**changes: object) -> fleetmessages.Registration:
    base = fleetmessages.Registration(
        upstream="u1",
        incarnation=5,
        sequence=1,
        service="s",
        address="10.0.0.1:80",
        data_centre="dc",
        slots=4,
    )
    return attrs.evolve(base, **changes)


def test_a_report_is_new_only_if_more_than_its_sequence_differs() -> None:
    table = fleet.FleetTable()
    assert table.report(report(), NOW)
    assert not table.report(report(sequence=2), NOW)
    assert table.report(report(sequence=3, leaving=True), NOW)


def test_a_late_report_is_ignored() -> None:
    table = fleet.FleetTable()
    table.report(report(sequence=3, leaving=True), NOW)
    assert not table.report(report(sequence=2), LATER)
    assert table.by_name["u1"].registration.leaving
    assert table.stale_reports == 1


def test_a_report_of_an_earlier_incarnation_is_ignored() -> None:
    table = fleet.FleetTable()
    table.report(report(incarnation=6), NOW)
    assert not table.report(report(incarnation=5, sequence=99), LATER)


def test_sequence_restarts_with_a_new_incarnation() -> None:
    table = fleet.FleetTable()
    table.report(report(sequence=50), NOW)
    assert table.report(report(incarnation=6, sequence=1), LATER)


def test_a_late_report_does_not_undo_a_sign_off() -> None:
    table = fleet.FleetTable()
    table.report(report(), NOW)
    assert table.sign_off(SIGN_OFF, NOW)
    assert not table.sign_off(SIGN_OFF, NOW)
    table.report(report(sequence=9), LATER)
    stored = table.by_name["u1"].registration
    assert stored.leaving and stored.signed_off


def test_signed_off_upstream_stays_present_until_its_retention_ends() -> None:
    """Otherwise its group would be dissolved as if the process had ended."""
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.sign_off(SIGN_OFF, NOW)
    assert [item.upstream for item in table.present()] == ["u1"]
    table.evict_ended(NOW + fleet.SIGNED_OFF_RETENTION * 2)
    assert table.present() == []


def test_a_newer_upstream_takes_over_an_address() -> None:
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.report(report(upstream="u2", incarnation=9), NOW)
    assert [item.upstream for item in table.present()] == ["u2"]


def test_a_delayed_report_does_not_take_its_old_address_back() -> None:
    table = fleet.FleetTable()
    table.report(report(upstream="u2", incarnation=9), NOW)
    assert not table.report(report(sequence=4), LATER)
    assert [item.upstream for item in table.present()] == ["u2"]


def test_silence_ends_with_a_beat_that_another_controller_heard() -> None:
    table = fleet.FleetTable()
    table.report(report(), NOW)
    much_later = NOW + fleet.SILENCE_TIMEOUT * 2
    assert table.is_silent("u1", much_later)
    table.beat("u1", 5, 2, much_later)
    assert not table.is_silent("u1", much_later)


def test_ended_upstreams_are_evicted_after_their_retention() -> None:
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.sign_off(SIGN_OFF, NOW)
    table.evict_ended(NOW + fleet.ENDED_RETENTION / 2)
    assert "u1" in table.by_name
    table.evict_ended(NOW + fleet.ENDED_RETENTION * 2)
    assert table.by_name == {}


def test_a_sign_off_merges_into_a_report_of_the_same_or_a_later_sequence() -> (
    None
):
    """Otherwise an upstream that signed off would be given work again."""
    sender = fleet.FleetTable()
    sender.report(report(sequence=2), NOW)
    sender.sign_off(SIGN_OFF, NOW)
    forwarded = sender.by_name["u1"].registration
    for sequence in (1, 2, 3, 9):
        table = fleet.FleetTable()
        table.report(report(sequence=sequence, slots=7), NOW)
        assert table.report(forwarded, LATER)
        stored = table.by_name["u1"].registration
        assert stored.leaving and stored.signed_off
        assert stored.sequence == max(2, sequence)
        assert stored.slots == (4 if sequence == 1 else 7)
        assert not table.report(forwarded, LATER)


def test_a_sign_off_does_not_hide_the_next_report() -> None:
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.sign_off(SIGN_OFF, NOW)
    table.report(report(sequence=2, slots=7), LATER)
    assert table.by_name["u1"].registration.slots == 7


def test_a_late_sign_off_does_not_count_as_a_report() -> None:
    """The upstream would count as heard although its seat is not known."""
    table = fleet.FleetTable()
    table.report(report(sequence=3), NOW)
    table.report(report(sequence=2, leaving=True, signed_off=True), LATER)
    assert table.by_name["u1"].heard_at == NOW


def test_a_sign_off_of_an_upstream_long_unheard_keeps_its_retention() -> None:
    """Its process may serve on; its group would be dissolved too early."""
    late = NOW + fleet.SIGNED_OFF_RETENTION * 2
    for sequence in (0, 1):
        received = fleet.FleetTable()
        received.report(report(), NOW)
        received.report(
            report(sequence=sequence, leaving=True, signed_off=True), late
        )
        received.evict_ended(late + fleet.SIGNED_OFF_RETENTION)
        assert received.present() != []
        received.evict_ended(late + fleet.SIGNED_OFF_RETENTION * 2)
        assert received.present() == []
    called = fleet.FleetTable()
    called.report(report(), NOW)
    called.sign_off(SIGN_OFF, late)
    called.evict_ended(late + fleet.SIGNED_OFF_RETENTION)
    assert called.present() != []


def test_a_sign_off_does_not_outlast_its_incarnation() -> None:
    table = fleet.FleetTable()
    table.report(report(sequence=9), NOW)
    signed_off = report(sequence=9, leaving=True, signed_off=True)
    table.report(signed_off, NOW)
    assert table.report(report(incarnation=6), LATER)
    assert not table.report(signed_off, LATER)
    stored = table.by_name["u1"].registration
    assert not stored.leaving and not stored.signed_off


def test_a_beat_does_not_hide_a_change_that_was_missed() -> None:
    """The seat would stay unknown while the upstream counts as heard."""
    seat = fleetmessages.FleetSeat("g", 1, 0, fleetmessages.SeatState.OPEN)
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.beat("u1", 5, 4, LATER)
    assert table.report(report(sequence=2, seat=seat), LATER * 2)
    known = table.by_name["u1"]
    assert known.registration.seat == seat
    assert known.heard_at == LATER
    assert not table.report(report(sequence=1), LATER * 2)


def test_content_is_not_forwarded_with_the_sequence_of_a_later_beat() -> None:
    """It would replace the newer content of another process."""
    behind = fleet.FleetTable()
    behind.report(report(), NOW)
    behind.beat("u1", 5, 4, LATER)
    other = fleet.FleetTable()
    other.report(report(sequence=2, staged=["m"]), NOW)
    for item in behind.all_registrations():
        assert not other.report(item, LATER)
    assert other.by_name["u1"].registration.staged == ["m"]


def test_only_a_newer_beat_shows_that_an_upstream_is_alive() -> None:
    table = fleet.FleetTable()
    table.report(report(sequence=2), NOW)
    table.beat("u1", 5, 4, LATER)
    for sequence in (2, 3, 4):
        table.beat("u1", 5, sequence, LATER * 2)
    table.beat("u1", 4, 9, LATER * 2)
    table.report(report(sequence=3), LATER * 2)
    assert table.by_name["u1"].heard_at == LATER
    table.report(report(sequence=5), LATER * 2)
    assert table.by_name["u1"].heard_at == LATER * 2


def test_an_end_assumed_before_the_latest_beat_is_ignored() -> None:
    """A controller that was cut off takes an upstream for ended too early."""
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.beat("u1", 5, 4, LATER)
    ended = report(sequence=2, leaving=True, signed_off=True, gone=True)
    assert table.report(ended, LATER)
    (present,) = table.present()
    assert present.signed_off and present.leaving
    table.report(attrs.evolve(ended, sequence=5), LATER)
    assert table.present() == []


@pytest.mark.parametrize("changes", [{"incarnation": 6}, {"sequence": 2}])
def test_an_upstream_that_moved_is_not_ended_at_its_former_address(
    changes: dict[str, int],
) -> None:
    """It would get no more requests although it is healthy."""
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.report(report(address="10.0.0.2:80", **changes), NOW)
    table.report(report(upstream="u2", incarnation=9), LATER)
    assert [item.upstream for item in table.present()] == ["u1", "u2"]


@pytest.mark.parametrize("changes", [{"incarnation": 6}, {"sequence": 2}])
def test_a_former_address_of_an_evicted_upstream_can_be_used(
    changes: dict[str, int],
) -> None:
    """The process would end with KeyError."""
    table = fleet.FleetTable()
    table.report(report(), NOW)
    table.report(report(address="10.0.0.2:80", **changes), NOW)
    late = NOW + fleet.ENDED_RETENTION * 2
    table.evict_ended(late)
    table.report(report(upstream="u2", incarnation=9), late)
    assert [item.upstream for item in table.present()] == ["u2"]


def test_a_sign_off_that_is_told_late_is_not_of_the_next_start() -> None:
    """The clock of the upstream's machine is behind; a link was cut."""
    sign_off = signoffs.SignOff("u1", 50_000, incarnation=40_000)
    age = datetime.timedelta(seconds=3)
    for incarnation, leaves in ((40_000, True), (49_500, False)):
        table = fleet.FleetTable()
        table.report(report(incarnation=incarnation), NOW)
        table.sign_off(sign_off, LATER, age)
        assert table.by_name["u1"].registration.signed_off == leaves


def test_a_sign_off_is_of_a_start_that_its_controller_did_not_know() -> None:
    """That one had been cut off from the controllers that it reported to."""
    sign_off = signoffs.SignOff("u1", 50_000, incarnation=40_000)
    table = fleet.FleetTable()
    table.report(report(incarnation=49_500), NOW)
    age = datetime.timedelta(seconds=0.5)
    table.sign_off(sign_off, LATER, age)
    assert table.by_name["u1"].registration.signed_off
