"""Announcements and submissions over HTTP: problems of invalid input."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest
from twisted.internet import address
from twisted.internet import testing

from figford import administration
from figford import messages
from figford.tools import demo

GOOD = {
    "upstream": "u",
    "incarnation": 1,
    "sequence": 1,
    "data_centre": "medellin",
    "fabric_domain": "f",
    "address": "127.0.0.1:9000",
    "kind": "engine",
    "load": {"running": 3},
}


class FakeEntry:
    """Records the announcements and submissions that it receives."""

    def __init__(self):
        self.announced = []
        self.submitted = []

    def announce(self, announcement):
        self.announced.append(announcement)

    def submit(self, command, on_outcome):
        self.submitted.append(command)
        on_outcome(self.outcome)

    def configuration(self):
        return messages.ConfigurationView(0, {})

    def in_force(self, version):
        return {"in_force": ["e"], "behind": []}


def post(root, path, body, lines=()):
    site = administration.UnloggedSite(root)
    channel = site.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
    transport = testing.StringTransport()
    channel.makeConnection(transport)
    head = [f"POST {path} HTTP/1.1", "Host: h", *lines]
    head.append(f"Content-Length: {len(body)}")
    channel.dataReceived("\r\n".join(head).encode() + b"\r\n\r\n" + body)
    head, _, answer = transport.value().partition(b"\r\n\r\n")
    status = int(head.split()[1])
    if b"chunked" in head.lower():
        answer = answer.split(b"\r\n")[1]
    return status, json.loads(answer)


def announce(entry, body):
    return post(administration.upstreams_root(entry), "/announce", body)


def test_announcement_is_accepted_with_its_load():
    entry = FakeEntry()
    status, _ = announce(entry, json.dumps([GOOD, GOOD]).encode())
    assert status == 200
    assert [item.load.running for item in entry.announced] == [3, 3]


@pytest.mark.parametrize(
    "change",
    [
        {"kind": "toaster"},
        {"sequence": "many"},
        {"seat": {"group": "g"}},
        {"more": 1},
        {"models": 3},
    ],
)
def test_invalid_announcement_refuses_the_whole_request(change):
    entry = FakeEntry()
    body = json.dumps([GOOD, {**GOOD, **change}]).encode()
    status, problem = announce(entry, body)
    assert status == 400
    assert problem["type"] == "urn:figford:bad-request"
    assert entry.announced == []


@given(raw=strategies.binary(max_size=200))
def test_hostile_announcements(raw):
    entry = FakeEntry()
    status, _ = announce(entry, raw)
    assert status in (200, 400)
    assert announce(entry, json.dumps(GOOD).encode())[0] == 200


@given(
    document=strategies.dictionaries(
        strategies.sampled_from(list(GOOD) + ["seat", "x"]),
        strategies.none()
        | strategies.integers()
        | strategies.text(max_size=5)
        | strategies.lists(strategies.integers(), max_size=2),
    )
)
def test_any_announcement_is_taken_or_refused(document):
    body = json.dumps({**GOOD, **document}).encode()
    assert announce(FakeEntry(), body)[0] in (200, 400)


def submit(entry, document, lines=(), key=None):
    port = administration.OperatorsPort(entry, key)
    return post(port.root(), "/submit", json.dumps(document).encode(), lines)


def submission(**changes):
    return {
        "submission": "s1",
        "base_version": 0,
        "author": "me",
        "document": demo.demo_configuration().to_document(),
        **changes,
    }


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (messages.Accepted(1), 200),
        (messages.Conflict(3, "other/s2"), 409),
        (None, 503),
    ],
)
def test_outcomes_of_submissions(outcome, status):
    entry = FakeEntry()
    entry.outcome = outcome
    assert submit(entry, submission())[0] == status


def test_invalid_configuration_is_reported_by_value_and_not_submitted():
    entry = FakeEntry()
    document = demo.demo_configuration().to_document()
    document["serving_groups"]["assistant"]["concurrency"] = -1
    document["typo"] = {}
    status, problem = submit(entry, submission(document=document))
    assert status == 422
    assert "serving_groups.assistant.concurrency" in problem["detail"]
    assert "typo" in problem["detail"]
    assert entry.submitted == []


@pytest.mark.parametrize(
    "changes",
    [{"submission": ""}, {"base_version": -1}, {"document": []}],
)
def test_malformed_submission_is_refused(changes):
    assert submit(FakeEntry(), submission(**changes))[0] == 400


def test_operator_key_guards_the_port():
    entry = FakeEntry()
    entry.outcome = messages.Accepted(1)
    key = b"0123456789abcdef"
    assert submit(entry, submission(), key=key)[0] == 401
    given_key = [f"Authorization: Bearer {key.decode()}"]
    assert submit(entry, submission(), given_key, key)[0] == 200


@pytest.mark.parametrize(
    "change",
    [
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:0"},
        {"address": "not an address"},
        {"sequence": 10**3000},
        {"incarnation": 1 << 64},
        {"sequence": -1},
        {"clock_ms": 10**30},
        {"upstream": "\ud800"},
        {"models": ["\ud800"]},
        {"highest_fence": -1},
        {"load": {"running": 10**30}},
    ],
)
def test_an_announcement_that_could_not_be_sent_on_is_refused(change):
    """It would end the entry that sends it on, or connects to it."""
    entry = FakeEntry()
    status, _ = announce(entry, json.dumps(GOOD | change).encode())
    assert status == 400
    assert not entry.announced
