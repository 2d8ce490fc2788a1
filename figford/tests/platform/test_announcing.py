"""Heartbeats are read into registrations; malformed ones are refused."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from figford import errors
from figford import fleetmessages
from figford.platform import announcing

HEARTBEAT = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "casa-a",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m1", "version": 1, "adapters": []}],
    "staged": ["m1"],
    "domain": "d1",
    "group": {"name": "g7", "epoch": 12, "rank": 0, "state": "open"},
    "sequence": 4,
    "born": 1787659774445,
}


def read(**changes: object) -> fleetmessages.Registration:
    return announcing.read("i-1", json.dumps(HEARTBEAT | changes).encode())


def test_a_heartbeat_is_read_into_a_registration() -> None:
    found = read()
    assert found.upstream == "i-1" and found.data_centre == "casa-a"
    assert found.incarnation == 1787659774445
    assert found.models == ["m1"] and found.staged == ["m1"]
    assert found.seat == fleetmessages.FleetSeat(
        "g7", 12, 0, fleetmessages.SeatState.OPEN
    )


def test_an_upstream_that_drains_is_leaving() -> None:
    assert read(state="draining").leaving


def test_plain_upstreams_report_no_group() -> None:
    found = read(group=None, models=None, staged=None, domain=None)
    assert found.seat is None and found.models == [] and found.domain == ""


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "lost"},
        {"service": 3},
        {"address": "10.0.0.1"},
        {"address": None},
        {"slots": "13"},
        {"slots": True},
        {"sequence": None},
        {"born": 1.5},
        {"group": {"name": "g7"}},
        {"group": {"name": "g", "epoch": 1, "rank": 0, "state": "odd"}},
        {"models": [3]},
    ],
)
def test_a_wrong_field_is_an_error(changes: dict) -> None:
    with pytest.raises(errors.MessageError):
        read(**changes)


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    with pytest.raises(errors.MessageError):
        announcing.read("i-1", data)
