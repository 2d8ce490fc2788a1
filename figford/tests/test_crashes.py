"""A crash is told from a broken connection, and its suspects are named."""

import datetime

import attrs
import pytest

from figford import crashes
from figford import fleetmessages
from figford import wire

MS = datetime.timedelta(milliseconds=1)
NOW = datetime.timedelta(seconds=100)
SENT_AT = NOW - datetime.timedelta(seconds=1)
SUSPECT = fleetmessages.Suspect("r1", ["a"])


def head(*parts: str) -> wire.CallHead:
    return wire.CallHead("a1", None, None, parts=parts)


def test_a_crash_names_the_requests_that_were_beginning() -> None:
    collector = crashes.CrashCollector()
    collector.record("u1", 7, "u1:1", SUSPECT, SENT_AT, NOW)
    collector.record("u1", 7, "u1:1", None, SENT_AT, NOW + MS)
    collector.record("u1", 7, "u1:1", SUSPECT, SENT_AT, NOW + MS)
    assert collector.take_settled(lambda _: False, NOW + MS) == []
    now = NOW + crashes.SETTLE_TIME
    report = fleetmessages.CrashReport("u1", 7, crashes.SETTLE_TIME, [SUSPECT])
    assert collector.take_settled(lambda _: False, now) == [
        crashes.Crash(report, answering=1, address="u1:1")
    ]
    assert collector.take_settled(lambda _: False, now) == []


def test_a_crash_tells_which_connections_were_closed_at_once() -> None:
    """A proxy closes what it accepts for an upstream that has crashed."""
    collector = crashes.CrashCollector()
    late = fleetmessages.Suspect("r2", [])
    collector.record("u1", 7, "u1:1", SUSPECT, SENT_AT, NOW)
    collector.record("u1", 7, "u1:1", late, NOW + MS, NOW + 2 * MS)
    now = NOW + crashes.SETTLE_TIME
    (crash,) = collector.take_settled(lambda _: False, now)
    assert crash.report.suspects == [SUSPECT, late]
    assert crash.report.closed_sent_after == {"r2": MS}


def test_a_reset_connection_beside_others_is_no_crash() -> None:
    collector = crashes.CrashCollector()
    collector.record("u1", 7, "u1:1", SUSPECT, SENT_AT, NOW)
    now = NOW + crashes.SETTLE_TIME
    assert collector.take_settled(lambda _: True, now) == [
        crashes.Reset("u1", 7)
    ]
    assert collector.take_settled(lambda _: True, now) == []


IDENTITY = crashes.RequestIdentity(
    "acme", "h", b"POST", b"/x", ("p", "q"), b""
)


@pytest.mark.parametrize(
    "changed",
    [
        {"caller": "beta"},
        {"host": "i"},
        {"method": b"GET"},
        {"target": b"/y"},
        {"target": b"/x?a"},
        {"target": b"/%2Fx"},
        {"body": b"b"},
        {"parts": ("p", "r")},
        {"parts": ("p",)},
    ],
)
def test_other_requests_have_other_digests(changed: dict) -> None:
    digest = crashes.request_digest(IDENTITY)
    other = attrs.evolve(IDENTITY, **changed)
    assert digest != crashes.request_digest(other)
    assert digest == crashes.request_digest(attrs.evolve(IDENTITY))


def test_what_a_crash_names_is_bounded() -> None:
    collector = crashes.CrashCollector()
    parts = tuple(f"{number:x}" * 50 for number in range(1000))
    names = crashes.part_names(head(*parts))
    assert len(names) == crashes.MAX_PARTS
    assert max(map(len, names)) == crashes.PART_NAME_LENGTH
    for number in range(1000):
        suspect = fleetmessages.Suspect(str(number), names)
        collector.record("u1", 7, "u1:1", suspect, SENT_AT, NOW)
    crash = collector.take_settled(lambda _: False, NOW + 1000 * MS)[0]
    assert len(crash.report.suspects) == crashes.MAX_SUSPECTS
