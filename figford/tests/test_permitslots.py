"""The keeper keeps free what entries that can't hear it may use."""

import datetime

import attrs
import pytest

from figford import fleetmessages
from figford import limits
from figford import membership
from figford import messages
from figford import permitslots

SECOND = datetime.timedelta(seconds=1)
NOW = 1000 * SECOND
NAMES = ("e1", "e2", "e3", "e4")


def peer(name: str, voter: str | None = None) -> messages.Peer:
    return messages.Peer(name, 1, 1, "dc", f"{name}:1", voter=voter)


def new_table(
    *heard: str, now: datetime.timedelta = NOW
) -> permitslots.SlotTable:
    """Returns the table of a keeper; it heard all entries at NOW.

    It heard those in `heard` at `now`. All have a part of a quarter.
    """
    peers = membership.PeerTable(peer("c1", "c1.first"))
    peers.update_from_peer(peer("c2", "c2.first"), NOW)
    for name in NAMES:
        peers.update_from_peer(peer(name), NOW)
    for name in heard:
        newer = attrs.evolve(peer(name), sequence=2)
        peers.update_from_peer(newer, now)
    shares = [fleetmessages.SlotShare(name, len(NAMES)) for name in NAMES]
    return permitslots.SlotTable(peers, shares, NOW)


@pytest.mark.parametrize(
    "silence, part",
    [
        (limits.CONTACT_TIMEOUT, 1.0),
        (limits.CONTACT_TIMEOUT + 0.1 * SECOND, 0.5),
        (limits.ISOLATED_SERVICE, 0.5),
        (permitslots.RESERVATION_TIME, 1.0),
    ],
)
def test_the_part_of_silent_entries_is_kept_free_for_a_time(
    silence: datetime.timedelta, part: float
) -> None:
    now = NOW + silence
    assert new_table("e1", "e2", now=now).unreserved_part(now) == part


def test_a_part_is_free_before_and_after_an_entry_uses_its_slots() -> None:
    assert limits.CONTACT_TIMEOUT < limits.ISOLATION_TIMEOUT
    assert limits.ISOLATED_SERVICE < permitslots.RESERVATION_TIME


def test_a_new_keeper_keeps_free_what_it_never_heard() -> None:
    table = new_table()
    table.peers.by_instance.clear()
    assert table.unreserved_part(NOW) == 0.0
    assert [share.entry for share in table.wanted_shares(NOW)] == list(NAMES)
    later = NOW + permitslots.RESERVATION_TIME
    assert table.unreserved_part(later) == 1.0
    assert table.wanted_shares(later) == []


def test_an_entry_that_stopped_keeps_no_part() -> None:
    now = NOW + permitslots.STOPPED_ENTRY_RETENTION + SECOND
    table = new_table("e1", "e2", "e3", now=now)
    assert table.unreserved_part(now) == 0.75
    known = table.peers.by_instance["e4"]
    known.peer = attrs.evolve(known.peer, draining=True)
    assert table.wanted_shares(now) == [
        fleetmessages.SlotShare(name, 3) for name in NAMES[:3]
    ]
    assert table.unreserved_part(now) == 1.0


def test_a_silent_entry_keeps_the_part_that_it_was_told() -> None:
    now = NOW + 2 * SECOND
    table = new_table("e1", "e2", "e3", now=now)
    table.peers.update_from_peer(peer("e0"), now)
    wanted = table.wanted_shares(now)
    assert {share.entry: share.divisor for share in wanted} == {
        "e0": 5,
        "e1": 5,
        "e2": 5,
        "e3": 5,
        "e4": 4,
    }
    table.shares = wanted
    assert table.unreserved_part(now) == 0.75


def test_linked_entries_are_told_of_their_slots_once() -> None:
    table = new_table()
    told = table.changes({"e1", "e3", "c2"}, 7, SECOND)
    assert {name: slot.index for name, slot in told.items()} == {
        "e1": 0,
        "e3": 2,
    }
    assert all(slot.entries == 4 and slot.term == 7 for slot in told.values())
    assert table.changes({"e1", "e3"}, 7, SECOND) == {}
    table.forget("e3")
    assert set(table.changes({"e1", "e3"}, 7, SECOND)) == {"e3"}
    # One that joins changes everyone's slots once that is committed.
    table.peers.update_from_peer(peer("e0"), NOW)
    assert table.changes({"e0", "e1", "e3"}, 7, SECOND) == {}
    table.shares = table.wanted_shares(NOW)
    told = table.changes({"e0", "e1", "e3"}, 7, SECOND)
    assert {name: slot.index for name, slot in told.items()} == {
        "e0": 0,
        "e1": 1,
        "e3": 3,
    }
