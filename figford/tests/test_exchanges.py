"""Exchanges: matching of answers to requests, and connection reuse."""

import datetime

import attrs
import pytest
from twisted.internet import error as internet_errors
from twisted.internet import task
from twisted.internet.testing import StringTransport
from twisted.python import failure as failures

from figford import exchanges
from figford.platform import dialect
from figford import wire

SECOND = datetime.timedelta(seconds=1)
OK = (
    b"HTTP/1.1 200 OK\r\nFigford-Attempt-Id: a1\r\n"
    b"Figford-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
)


@attrs.define
class Clock:
    """A clock whose time tests set."""

    time: datetime.timedelta = 100 * SECOND

    def now(self) -> datetime.timedelta:
        """Returns the time that was set."""
        return self.time


@attrs.define
class Receiver:
    """Records what an exchange reported."""

    status: int = 0
    body: bytes = b""
    ends: list = attrs.field(factory=list)

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Records the status."""
        self.status = head.status

    def answer_data(self, data: bytes) -> None:
        """Records a part of the body."""
        self.body += data

    def answer_ended(self) -> None:
        """Records a complete answer."""
        self.ends.append("whole")

    def answer_failed(self, failure: exchanges.Failure) -> None:
        """Records a failure."""
        self.ends.append(failure)


class Transport(StringTransport):
    """A transport without a socket behind it."""

    aborted = False

    def getHandle(self) -> "Transport":
        """Returns itself, which accepts socket options."""
        return self

    def setsockopt(self, *options: int) -> None:
        """Ignores an option."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignores an option."""

    def abortConnection(self) -> None:
        """Records that the connection was aborted."""
        self.aborted = True


@attrs.define
class Bench:
    """A pool with one connection whose upstream the test simulates."""

    clock: Clock = attrs.field(factory=Clock)
    receiver: Receiver = attrs.field(factory=Receiver)
    transport: Transport = attrs.field(factory=Transport)
    pool: exchanges.Pool = attrs.field(init=False)
    connection: exchanges.Connection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Opens the connection and sends one request."""
        self.pool = exchanges.Pool(
            task.Clock(), self.clock, dialect.PlatformDialect()
        )
        self.connection = exchanges.Connection(self.pool, "u:1")
        self.connection.makeConnection(self.transport)
        self.connection.begin(self.exchange())

    def exchange(self) -> exchanges.Exchange:
        """Returns a request."""
        return exchanges.Exchange(
            b"POST", b"/x", [(b"Host", b"h")], b"body", self.receiver, "a1"
        )

    def lose(self, kind: type[Exception]) -> None:
        """Closes the connection with an error of this type."""
        self.connection.connectionLost(failures.Failure(kind()))

    def kept(self) -> int:
        """Returns the number of idle connections in the pool."""
        return sum(map(len, self.pool._idle_by_address.values()))


def test_a_request_is_sent_whole_with_its_length() -> None:
    sent = Bench().transport.value()
    assert sent.startswith(b"POST /x HTTP/1.1\r\nHost: h\r\n")
    assert sent.endswith(b"Content-Length: 4\r\n\r\nbody")


def test_a_connection_is_kept_after_a_whole_answer() -> None:
    bench = Bench()
    for byte in OK:
        bench.connection.dataReceived(bytes([byte]))
    assert bench.receiver.body == b"ok"
    assert bench.receiver.ends == ["whole"] and bench.kept() == 1
    bench.transport.clear()
    bench.pool.send("u:1", bench.exchange())
    assert bench.transport.value().startswith(b"POST /x")


def test_old_connection_is_not_reused_for_non_repeatable_calls() -> None:
    bench = Bench()
    bench.connection.dataReceived(OK)
    bench.clock.time += 2 * SECOND
    assert bench.pool._take_idle("u:1", SECOND) is None
    assert bench.pool._take_idle("u:1", None) is bench.connection


def test_a_connection_is_closed_before_the_upstream_closes_it() -> None:
    bench = Bench()
    bench.connection.dataReceived(
        OK.replace(b"Content", b"Keep-Alive: timeout=2\r\nContent", 1)
    )
    bench.clock.time += 2 * SECOND - exchanges.KEEP_ALIVE_MARGIN
    assert bench.pool._take_idle("u:1", None) is None


def test_an_answer_to_another_request_is_not_delivered() -> None:
    bench = Bench()
    bench.connection.dataReceived(OK.replace(b"a1", b"a0"))
    assert bench.receiver.status == 0 and bench.receiver.body == b""
    assert bench.receiver.ends == [exchanges.Failure.INVALID]
    assert bench.transport.aborted and bench.kept() == 0


def test_bytes_after_an_answer_end_the_connection() -> None:
    bench = Bench()
    bench.connection.dataReceived(OK + b"HTTP/1.1 200 OK\r\n")
    assert bench.receiver.ends == ["whole"]
    assert bench.transport.aborted and bench.kept() == 0


def test_bytes_without_a_request_end_the_connection() -> None:
    bench = Bench()
    bench.connection.dataReceived(OK)
    bench.connection.dataReceived(OK)
    assert bench.transport.aborted
    assert bench.receiver.ends == ["whole"]


@pytest.mark.parametrize(
    ("kind", "end"),
    [
        (internet_errors.ConnectionDone, "whole"),
        (internet_errors.ConnectionLost, exchanges.Failure.BROKEN),
    ],
)
def test_an_answer_without_a_length_ends_only_with_a_clean_close(
    kind: type[Exception], end: object
) -> None:
    bench = Bench()
    bench.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nFigford-Attempt-Id: a1\r\n\r\nsome"
    )
    bench.lose(kind)
    assert bench.receiver.body == b"some"
    assert bench.receiver.ends == [end] and bench.kept() == 0


def test_an_answer_that_is_cut_short_is_broken() -> None:
    bench = Bench()
    bench.connection.dataReceived(OK[:-1])
    bench.lose(internet_errors.ConnectionDone)
    assert bench.receiver.ends == [exchanges.Failure.BROKEN]


def test_bytes_that_are_no_answer_are_invalid() -> None:
    bench = Bench()
    bench.connection.dataReceived(b"\x00\x01rubbish\r\n\r\n")
    assert bench.receiver.ends == [exchanges.Failure.INVALID]


def test_connection_close_is_obeyed() -> None:
    bench = Bench()
    bench.connection.dataReceived(
        OK.replace(b"Content", b"Connection: close\r\nContent", 1)
    )
    assert bench.receiver.ends == ["whole"] and bench.kept() == 0


def test_cancelled_exchange_aborts_its_connection_and_reports_nothing() -> (
    None
):
    bench = Bench()
    exchange = bench.connection._exchange
    exchange.cancel()
    bench.connection.dataReceived(OK)
    assert bench.transport.aborted and bench.receiver.ends == []


def test_no_more_idle_connections_are_kept_than_the_request_allows() -> None:
    bench = Bench()
    other = exchanges.Connection(bench.pool, "u:1")
    other.makeConnection(Transport())
    exchange = bench.exchange()
    exchange.max_idle_connections = 1
    other.begin(exchange)
    bench.connection.dataReceived(OK)
    assert bench.kept() == 1
    other.dataReceived(OK)
    assert bench.kept() == 1 and bench.transport.disconnecting
