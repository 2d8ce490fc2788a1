"""Exchanges: matching of answers to requests, and connection reuse."""

import datetime

import attrs
import h11
import hypothesis
from hypothesis import strategies
import pytest
from twisted.internet import error as internet_errors
from twisted.internet import protocol
from twisted.internet import task
from twisted.internet.testing import MemoryReactorClock
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
    bench.pool.send("u:1", attrs.evolve(bench.exchange(), attempt="a2"))
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


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize(
    "informational", [b"", b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"]
)
def test_an_answer_whose_head_stops_midway_never_begins(
    informational: bytes, kept: bool
) -> None:
    """Operators saw status 200 with an empty body that was framed as whole."""
    head = informational + OK[: OK.index(b"\r\n\r\n") + 3]
    for size in range(1, len(head) + 1):
        bench = Bench()
        if kept:
            bench.connection.dataReceived(OK)
            bench.receiver = Receiver()
            bench.connection.begin(bench.exchange())
        bench.connection.dataReceived(head[:size])
        bench.lose(internet_errors.ConnectionDone)
        assert bench.receiver == Receiver(ends=[exchanges.Failure.BROKEN])
        assert bench.kept() == 0


def test_bytes_that_are_no_answer_are_invalid() -> None:
    bench = Bench()
    bench.connection.dataReceived(b"\x00\x01rubbish\r\n\r\n")
    assert bench.receiver.ends == [exchanges.Failure.INVALID]


@pytest.mark.parametrize(
    "status", [b"000", b"099", b"-1", b"0200", b"101", b"600", b"999"]
)
def test_a_status_that_is_none_is_no_answer(status: bytes) -> None:
    """A worker in trouble answered 000, and its caller got that."""
    bench = Bench()
    bench.connection.dataReceived(OK.replace(b"200 OK", status + b" -"))
    assert bench.receiver == Receiver(ends=[exchanges.Failure.INVALID])
    assert bench.kept() == 0


def test_interim_answers_without_end_are_cut() -> None:
    """Until its deadline, a call read and dropped one after the other."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    bench = Bench()
    for _ in range(1000):
        if not bench.transport.aborted:
            bench.connection.dataReceived(interim)
    assert bench.receiver == Receiver(ends=[exchanges.Failure.INVALID])


def test_some_interim_answers_are_read() -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    bench = Bench()
    for _ in range(3):
        bench.connection.dataReceived(interim * 8 + OK)
        assert bench.receiver.ends == ["whole"]
        bench.receiver = Receiver()
        bench.connection.begin(bench.exchange())


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


NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nFigford-Attempt-Id: a1\r\n"
    b"Figford-Not-Executed: 1\r\nContent-Length: 1000000\r\n\r\n"
)


def test_the_rest_of_an_answer_is_ignored_for_some_bytes_only() -> None:
    bench = Bench()
    exchange = bench.connection._exchange
    bench.connection.dataReceived(NOT_RUN)
    exchange.ignore_rest(bench.clock.now())
    bench.connection.dataReceived(b"x" * exchanges.IGNORED_LIMIT_BYTES)
    assert not bench.transport.aborted
    bench.connection.dataReceived(b"x")
    assert bench.transport.aborted and bench.receiver.ends == []


def test_the_rest_of_an_answer_is_ignored_for_some_time_only() -> None:
    bench = Bench()
    bench.pool._open.add(bench.connection)
    exchange = bench.connection._exchange
    bench.connection.dataReceived(NOT_RUN)
    exchange.ignore_rest(bench.clock.now())
    bench.clock.time += exchanges.IGNORED_TIMEOUT
    bench.pool.close_expired()
    assert not bench.transport.aborted
    bench.clock.time += SECOND
    bench.pool.close_expired()
    assert bench.transport.aborted and bench.receiver.ends == []


def test_many_small_chunks_are_reported_as_one() -> None:
    reported = []

    class Recorder(Receiver):
        def answer_data(self, data: bytes) -> None:
            reported.append(data)

    bench = Bench(receiver=Recorder())
    bench.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nFigford-Attempt-Id: a1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 5000
    )
    assert reported == [b"x" * 5000]
    bench.connection.dataReceived(b"2\r\nyz\r\n0\r\n\r\n")
    assert reported[1:] == [b"yz"] and bench.receiver.ends == ["whole"]


def test_a_paused_answer_that_ended_leaves_a_usable_connection() -> None:
    bench = Bench()
    exchange = bench.connection._exchange
    exchange.pause()
    assert bench.transport.producerState == "paused"
    bench.connection.dataReceived(OK)
    assert bench.transport.producerState == "producing"
    assert bench.kept() == 1


def test_a_paused_exchange_stays_paused_on_its_connection() -> None:
    bench = Bench()
    bench.connection.dataReceived(OK)
    exchange = attrs.evolve(bench.exchange(), paused=True)
    bench.connection.begin(exchange)
    assert bench.transport.producerState == "paused"
    exchange.resume()
    assert bench.transport.producerState == "producing"


_ELEMENTS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"Figford-Attempt-Id: a1\r\n",
    b"Content-Type: text/event-stream\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 5\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"5\r\n",
    b"hello",
    b"id: 1\ndata: x\n\n",
    b"0\r\n\r\n",
    b"\xff\x00",
    b"x" * 70_000,
]


@hypothesis.given(
    pieces=strategies.lists(
        strategies.one_of(
            strategies.sampled_from(_ELEMENTS), strategies.binary(max_size=8)
        ),
        max_size=30,
    ),
    cut=strategies.sampled_from([None, 1, 7, 1000]),
    clean=strategies.booleans(),
)
def test_any_bytes_end_an_exchange_at_most_once(pieces, cut, clean) -> None:
    """Bytes that are no answer end it with a failure, and are not kept."""
    bench = Bench()
    data = b"".join(pieces)
    size = cut or max(1, len(data))
    for start in range(0, min(len(data), 20 * size), size):
        if not bench.transport.aborted:
            bench.connection.dataReceived(data[start : start + size])
    assert len(bench.connection._http._receive_buffer) <= 32_000 + size
    if not bench.transport.aborted:
        bench.lose(
            internet_errors.ConnectionDone
            if clean
            else internet_errors.ConnectionLost
        )
    assert len(bench.receiver.ends) == 1
    if not clean and bench.receiver.ends == ["whole"]:
        assert b"HTTP/1.1 200 OK" in data


def probed(pool: exchanges.Pool) -> tuple[list, protocol.Protocol]:
    """Returns what a probe will report, and the connection it opened."""
    results: list = []
    pool.probe("127.0.0.1:1", results.append)
    *_, factory, _, _ = pool.reactor.tcpClients[0]
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    return results, connection


def probing_pool() -> exchanges.Pool:
    return exchanges.Pool(
        MemoryReactorClock(), Clock(), dialect.PlatformDialect()
    )


def test_a_probe_that_stays_open_is_kept_for_the_next_request() -> None:
    pool = probing_pool()
    results, _ = probed(pool)
    assert results == [] and pool.is_connected("127.0.0.1:1")
    pool.reactor.advance(exchanges.PROBE_SECONDS)
    assert results == [exchanges.ProbeResult.OPEN]
    assert pool._take_idle("127.0.0.1:1", None) is not None


def test_a_probe_that_is_closed_at_once_tells_nothing() -> None:
    pool = probing_pool()
    results, connection = probed(pool)
    connection.connectionLost(
        failures.Failure(internet_errors.ConnectionLost())
    )
    pool.reactor.advance(exchanges.PROBE_SECONDS)
    assert results == [exchanges.ProbeResult.CLOSED]
    assert pool._take_idle("127.0.0.1:1", None) is None


def test_a_probe_that_is_refused_reports_it() -> None:
    pool = probing_pool()
    results: list = []
    pool.probe("127.0.0.1:1", results.append)
    *_, factory, _, _ = pool.reactor.tcpClients[0]
    factory.clientConnectionFailed(
        None, failures.Failure(internet_errors.ConnectionRefusedError())
    )
    assert results == [exchanges.ProbeResult.UNREACHABLE]


# ---- A second copy of an earlier answer ---------------------------------

REFUSAL = NOT_RUN.replace(b"1000000", b"0")


def test_a_second_copy_of_a_refusal_is_no_answer_to_the_next_request() -> None:
    bench = Bench()
    bench.connection.dataReceived(REFUSAL)
    next_receiver = Receiver()
    bench.pool.send(
        "u:1", attrs.evolve(bench.exchange(), receiver=next_receiver,
                            attempt="a2")
    )  # fmt: skip
    bench.connection.dataReceived(REFUSAL)
    assert next_receiver.status == 0
    assert next_receiver.ends == [exchanges.Failure.INVALID]
    assert bench.transport.aborted and bench.kept() == 0


def test_a_second_copy_of_a_refusal_closes_an_idle_connection() -> None:
    bench = Bench()
    bench.connection.dataReceived(REFUSAL)
    assert bench.kept() == 1
    bench.connection.dataReceived(REFUSAL)
    assert bench.transport.aborted
    assert bench.pool._take_idle("u:1", None) is None


def test_an_attempt_never_goes_twice_over_one_connection() -> None:
    """A second copy of its first answer would be taken for the second one.

    A caller may use an id again.
    """
    bench = Bench()
    bench.pool.reactor = MemoryReactorClock()
    bench.connection.address = "127.0.0.1:1"
    for attempt in ("a1", "a2"):
        bench.connection.dataReceived(REFUSAL.replace(b"a1", attempt.encode()))
        bench.transport.clear()
        again = attrs.evolve(bench.exchange(), attempt="a1")
        bench.pool.send("127.0.0.1:1", again)
        assert bench.transport.value() == b""
        other = attrs.evolve(bench.exchange(), attempt=f"{attempt}+")
        other.attempt = "a2" if attempt == "a1" else "a3"
        bench.pool.send("127.0.0.1:1", other)
        assert bench.transport.value().startswith(b"POST /x")
    assert len(bench.pool.reactor.tcpClients) == 2


def test_a_connection_remembers_a_bounded_number_of_attempts() -> None:
    bench = Bench()
    for number in range(3 * exchanges.REMEMBERED_ATTEMPTS):
        bench.connection._exchange = None
        bench.connection._http = h11.Connection(h11.CLIENT)
        bench.connection.begin(
            attrs.evolve(bench.exchange(), attempt=f"b{number}")
        )
    assert len(bench.connection._attempts) == exchanges.REMEMBERED_ATTEMPTS


@pytest.mark.parametrize("is_late", [True, False])
def test_a_connection_that_a_late_process_finds_open_is_used(
    is_late: bool,
) -> None:
    """Its timer was due before it saw that the upstream had accepted."""
    pool = exchanges.Pool(
        MemoryReactorClock(), Clock(), dialect.PlatformDialect()
    )
    receiver = Receiver()
    exchange = exchanges.Exchange(
        b"POST", b"/x", [(b"Host", b"h")], b"", receiver, "a1"
    )
    pool.send("127.0.0.1:9", exchange)
    *_, factory, timeout_seconds, _ = pool.reactor.tcpClients[0]
    # The reactor's own timeout ends the attempt without reading.
    assert timeout_seconds > 10 * exchanges.CONNECT_TIMEOUT_SECONDS
    pool.reactor.advance(exchanges.CONNECT_TIMEOUT_SECONDS)
    assert receiver.ends == []
    if is_late:
        factory.buildProtocol(None).makeConnection(Transport())
        pool.reactor.advance(1)
        assert exchange.sent and receiver.ends == []
    else:
        pool.reactor.advance(exchanges.READ_SECONDS)
        assert receiver.ends == [exchanges.Failure.NOT_SENT]
    assert pool.reactor.getDelayedCalls() == []
