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


class Connection:
    """A connection to a port that serves verdicts."""

    def __init__(self, factory: pages.PagesFactory) -> None:
        """Opens the connection."""
        self.channel = factory.buildProtocol(None)
        self.transport = testing.StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.channel.makeConnection(self.transport)

    @property
    def is_closed(self) -> bool:
        """Returns whether the process closed the connection."""
        return self.transport.disconnecting

    def send(self, data: bytes) -> None:
        """Sends bytes, unless the connection was closed."""
        if not self.is_closed:
            self.channel.dataReceived(data)


POST = b"POST /verdicts/lift HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


def make_factory(
    port: object,
) -> tuple[testing.MemoryReactorClock, pages.PagesFactory]:
    reactor = testing.MemoryReactorClock()
    return reactor, pages.PagesFactory(pages.MetricsRequest, port, reactor)


@pytest.mark.parametrize(
    "head",
    [CHUNKED, POST + b"Content-Length: 4000000000\r\n\r\n"],
)
def test_a_body_without_end_is_refused(head: bytes) -> None:
    """It was stored in a file of any size, which counts as memory."""
    port = Port()
    _, factory = make_factory(port)
    connection = Connection(factory)
    connection.send(head)
    for _ in range(pages.BODY_LIMIT_BYTES // 65536 + 1):
        connection.send(CHUNK)
    assert connection.is_closed
    assert connection.transport.value().startswith(b"HTTP/1.1 413 ")
    assert factory.sizes.received == 0
    assert call(port, "POST", "/verdicts/lift", b"part:d")[0] == 202


def test_all_bodies_together_are_bounded() -> None:
    _, factory = make_factory(Port())
    connections = [Connection(factory) for _ in range(20)]
    for connection in connections:
        connection.send(CHUNKED)
    for _ in range(pages.BODY_LIMIT_BYTES // 65536 - 1):
        for connection in connections:
            connection.send(CHUNK)
            assert factory.sizes.received <= pages.BODIES_LIMIT_BYTES
    assert any(connection.is_closed for connection in connections)
    for connection in connections:
        connection.channel.connectionLost(None)
    assert factory.sizes.received == 0


def test_a_request_that_never_arrives_whole_is_cut() -> None:
    """Each byte restarted the idle timeout."""
    reactor, factory = make_factory(Port())
    connection = Connection(factory)
    connection.send(POST + b"Content-Length: 1000\r\n\r\n")
    for _ in range(100):
        connection.send(b"x")
        reactor.advance(1)
    assert connection.is_closed


def test_an_idle_connection_serves_one_request_after_another() -> None:
    reactor, factory = make_factory(Port())
    connection = Connection(factory)
    body = b"Content-Length: 6\r\n\r\npart:d"
    for number in range(1, 6):
        connection.send(POST + body)
        reactor.advance(pages.IDLE_SECONDS - 1)
        assert connection.transport.value().count(b" 202 ") == number
    assert not connection.is_closed and factory.sizes.received == 0


@pytest.mark.parametrize("path", ["/verdicts", "/verdicts/lift", "/none"])
def test_processes_without_verdicts_have_no_such_page(path) -> None:
    assert call(object(), "POST", path)[0] == 404
