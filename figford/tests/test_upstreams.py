"""The client for upstreams of the own interface, on connections in memory."""

import datetime
import typing

import attrs
import pytest
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
