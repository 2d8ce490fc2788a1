"""The client for upstreams of the own interface, on connections in memory."""

import datetime
import typing

import attrs
import pytest
from twisted.internet import error as internet_errors
from twisted.internet import testing
from twisted.python import failure as failures

from figford import errors
from figford import messages
from figford import settings
from figford import upstreams

ADDRESS = "127.0.0.1:9000"
SECOND = datetime.timedelta(seconds=1)
# Of an answer (RFC 9110, section 15) they are no final status.
NO_STATUSES = (b"000", b"99", b"-1", b"600", b"999", b"1000")
ORDER = messages.ReleaseSeat(1, "g")


@attrs.define
class Clock:
    """A clock that stands still."""

    def now(self) -> datetime.timedelta:
        """Returns the same time."""
        return 100 * SECOND


class Transport(testing.StringTransport):
    """A connection that ends when it is closed."""

    is_closed = False

    def loseConnection(self) -> None:
        """Closes the connection."""
        self.abortConnection()

    def abortConnection(self) -> None:
        """Closes the connection at once."""
        self.is_closed = True


@attrs.define
class StreamEnd:
    """Records what a stream reported."""

    data: bytes = b""
    ends: list[errors.FigfordError | None] = attrs.field(factory=list)

    def stream_data(self, data: bytes) -> None:
        """Records a part of the body."""
        self.data += data

    def stream_ended(self, error: errors.FigfordError | None) -> None:
        """Records the end."""
        self.ends.append(error)


@attrs.define
class Bench:
    """A client and an upstream that tests simulate."""

    limits: settings.Limits = attrs.field(factory=settings.Limits)
    reactor: testing.MemoryReactorClock = attrs.field(
        factory=testing.MemoryReactorClock
    )
    results: list[typing.Any] = attrs.field(factory=list)
    client: upstreams.UpstreamClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the client."""
        self.client = upstreams.UpstreamClient(
            self.reactor, Clock(), self.limits
        )

    def call(self) -> "Connection":
        """Calls a plain service; `results` gets its answer or failure."""
        request = upstreams.PlainRequest(b"GET", ADDRESS, b"/x", [], b"")
        pending = self.client.call(request, 5 * SECOND)
        pending.addBoth(self.results.append)
        return self.connection()

    def connection(self) -> "Connection":
        """Accepts the newest connection."""
        factory = self.reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        transport = Transport()
        protocol.makeConnection(transport)
        return Connection(protocol, transport)

    def failure(self) -> type[Exception]:
        """Returns the type of the only result, which must be a failure."""
        (result,) = self.results
        assert isinstance(result, failures.Failure), result
        return result.type


@attrs.define
class Connection:
    """A connection from the client, as its upstream has it."""

    protocol: typing.Any
    transport: Transport

    def send(self, data: bytes) -> None:
        """Sends bytes to the client, unless it closed the connection."""
        if not self.transport.is_closed:
            self.protocol.dataReceived(data)

    def close(self) -> None:
        """Reports the end of the connection to the client."""
        reason = internet_errors.ConnectionAborted()
        self.protocol.connectionLost(failures.Failure(reason))


def answer(status: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b" -\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("status", NO_STATUSES)
def test_a_status_that_is_none_is_no_answer(status: bytes) -> None:
    """A worker in trouble answered 000, and its caller got that."""
    bench = Bench()
    connection = bench.call()
    connection.send(answer(status))
    assert bench.failure() is upstreams.BrokenAnswerError
    assert connection.transport.is_closed


@pytest.mark.parametrize("status", NO_STATUSES)
def test_an_order_or_stream_with_no_status_has_failed(status: bytes) -> None:
    bench = Bench()
    stream = StreamEnd()
    bench.client.stream(ADDRESS, {}, b"", stream)
    connection = bench.connection()
    connection.send(answer(status))
    assert [type(end) for end in stream.ends] == [upstreams.BrokenAnswerError]
    assert connection.transport.is_closed
    pending = bench.client.send_order(ADDRESS, ORDER, 105 * SECOND)
    pending.addBoth(bench.results.append)
    connection = bench.connection()
    connection.send(answer(status))
    assert bench.failure() is upstreams.BrokenAnswerError
    assert connection.transport.is_closed


@pytest.mark.parametrize("status", [b"200", b"404", b"599"])
def test_a_final_status_is_an_answer(status: bytes) -> None:
    bench = Bench()
    bench.call().send(answer(status))
    (result,) = bench.results
    assert (result.status, result.body) == (int(status), b"ok")


# What comes before the element of an answer that never ends, and what is
# repeated of it.
HEADS_WITHOUT_END = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "line": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
    "lines": (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n"),
    "folded line": (b"HTTP/1.1 200 OK\r\nX-L: x\r\n", b" xx\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "bytes": (b"", b"\x00\xff"),
    "line ends": (b"", b"\r\n"),
}
PACKET_BYTES = 4096
# What may have come when a connection is closed, with what is on its way.
CLOSED_AFTER_BYTES = 128 << 10


def send_without_end(
    connection: Connection, before: bytes, part: bytes
) -> int:
    """Sends until the connection is closed; returns the number of bytes."""
    connection.send(before)
    packet = part * (PACKET_BYTES // len(part))
    sent = 0
    while not connection.transport.is_closed:
        connection.send(packet)
        sent += len(packet)
        assert sent <= CLOSED_AFTER_BYTES, "the connection is still open"
    connection.close()
    return sent


@pytest.mark.parametrize("kind", HEADS_WITHOUT_END)
@pytest.mark.parametrize("reused", [False, True])
def test_a_head_without_end_is_cut(kind: str, reused: bool) -> None:
    """The entry kept all lines, and ran out of memory."""
    bench = Bench()
    connection = bench.call()
    if reused:
        connection.send(answer(b"200"))
        request = upstreams.PlainRequest(b"GET", ADDRESS, b"/x", [], b"")
        bench.results.clear()
        pending = bench.client.call(request, 5 * SECOND)
        pending.addBoth(bench.results.append)
        assert len(bench.reactor.tcpClients) == 1
    send_without_end(connection, *HEADS_WITHOUT_END[kind])
    assert bench.failure() is upstreams.BrokenAnswerError


@pytest.mark.parametrize("kind", HEADS_WITHOUT_END)
def test_a_stream_or_order_whose_head_has_no_end_is_cut(kind: str) -> None:
    bench = Bench()
    stream = StreamEnd()
    bench.client.stream(ADDRESS, {}, b"", stream)
    send_without_end(bench.connection(), *HEADS_WITHOUT_END[kind])
    assert [type(end) for end in stream.ends] == [upstreams.BrokenAnswerError]
    pending = bench.client.send_order(ADDRESS, ORDER, 105 * SECOND)
    pending.addBoth(bench.results.append)
    send_without_end(bench.connection(), *HEADS_WITHOUT_END[kind])
    assert isinstance(bench.results[0], failures.Failure)


def test_a_long_answer_after_its_head_is_whole() -> None:
    """Only the head is bounded so narrowly, and interim answers are read."""
    bench = Bench()
    connection = bench.call()
    connection.send(b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 3)
    size = 1 << 20
    connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size)
    connection.send(b"X-Long: %b\r\n\r\n" % (b"x" * 8000))
    for _ in range(size // PACKET_BYTES):
        connection.send(b"x" * PACKET_BYTES)
    (result,) = bench.results
    assert (result.status, len(result.body)) == (200, size)


def test_bodies_without_end_take_no_room_from_other_answers() -> None:
    """Each was bounded, but not all of them together."""
    endless_count = 12
    bench = Bench(settings.Limits(answer_bytes=16 << 20))
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    endless = [bench.call() for _ in range(endless_count)]
    small = bench.call()
    for connection in (*endless, small):
        connection.send(head)
    packet = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    sent = {id(connection): 0 for connection in endless}
    highest = 0
    for _ in range(400):
        small.send(b"1\r\ny\r\n")
        for connection in endless:
            if not connection.transport.is_closed:
                connection.send(packet)
                sent[id(connection)] += 65536
        open_bytes = sum(
            sent[id(connection)]
            for connection in endless
            if not connection.transport.is_closed
        )
        highest = max(highest, open_bytes)
    small.send(b"0\r\n\r\n")
    (whole,) = [
        result
        for result in bench.results
        if isinstance(result, upstreams.PlainAnswer)
    ]
    assert whole.body == b"y" * 400
    assert highest <= (32 << 20) + 65536
    assert all(connection.transport.is_closed for connection in endless)
