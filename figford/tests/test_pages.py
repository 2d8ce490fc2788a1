"""The pages that operators read, and the one that lifts a verdict."""

import json

import attrs
import pytest
from twisted.internet import testing

from figford import pages


@attrs.define
class Port:
    """A process with one verdict, which can be lifted."""

    lifted: list[str] = attrs.field(factory=list)

    def list_verdicts(self) -> list[dict]:
        """Returns one verdict."""
        return [{"trait": "part:d", "crashes": 2, "probes": 0}]

    def lift_verdict(self, trait: str) -> bool:
        """Records the trait; returns whether it has a verdict."""
        self.lifted.append(trait)
        return trait == "part:d"


def call(port: object, method: str, path: str, body: bytes = b""):
    """Returns the status and the body of an answer."""
    factory = pages.PagesFactory(
        pages.MetricsRequest, port, testing.MemoryReactorClock()
    )
    channel = factory.buildProtocol(None)
    transport = testing.StringTransport()
    channel.makeConnection(transport)
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    channel.dataReceived(head.encode() + body)
    answer_head, _, answer_body = transport.value().partition(b"\r\n\r\n")
    return int(answer_head.split()[1]), answer_body


def test_verdicts_are_listed() -> None:
    status, body = call(Port(), "GET", "/verdicts")
    assert status == 200
    assert json.loads(body) == Port().list_verdicts()


@pytest.mark.parametrize(
    "method, body, status, lifted",
    [
        ("POST", b"part:d\n", 202, ["part:d"]),
        ("POST", b"part:e", 404, ["part:e"]),
        ("POST", b"x" * 1000, 404, ["x" * pages.MAX_TRAIT_BYTES]),
        ("GET", b"", 404, []),
    ],
)
def test_a_verdict_is_lifted_by_a_post(method, body, status, lifted) -> None:
    port = Port()
    assert call(port, method, "/verdicts/lift", body)[0] == status
    assert port.lifted == lifted


@pytest.mark.parametrize("path", ["/verdicts", "/verdicts/lift", "/none"])
def test_processes_without_verdicts_have_no_such_page(path) -> None:
    assert call(object(), "POST", path)[0] == 404
