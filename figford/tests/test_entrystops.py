"""The graceful shutdown of an entry with the own interface."""

import datetime
import pathlib

import attrs
import pytest
from twisted.internet import address
from twisted.internet import error as internet_errors
from twisted.internet import testing
from twisted.python import failure

from figford import daemon as daemons
from figford import settings

MS = datetime.timedelta(milliseconds=1)


@attrs.define
class Clock:
    """A clock that tests advance."""

    time: datetime.timedelta = datetime.timedelta(seconds=100)

    def now(self) -> datetime.timedelta:
        """Returns the current test time."""
        return self.time

    def wall(self) -> datetime.datetime:
        """Returns a fixed time of day."""
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class Transport(testing.StringTransport):
    """A connection that ends once its data has left, if it is to end."""

    unsent = False

    def leave(self) -> None:
        """Sends the data, and closes the connection if that was asked for."""
        self.unsent = False
        self.close_if_sent()

    def loseConnection(self) -> None:
        """Closes the connection once the data has left."""
        super().loseConnection()
        self.close_if_sent()

    def close_if_sent(self) -> None:
        """Reports the end of the connection once."""
        if self.disconnecting and not self.unsent and self.protocol:
            protocol, self.protocol = self.protocol, None
            protocol.connectionLost(
                failure.Failure(internet_errors.ConnectionDone())
            )


@attrs.define(eq=False)
class Call:
    """A request in progress."""

    calls: dict
    is_queued: bool = False

    def check_timeouts(self, now: object, read_until: object) -> None:
        """Does nothing: the request stays in progress."""

    def end_unanswered(self) -> None:
        """Ends the request."""
        self.calls.clear()


@attrs.define
class Bench:
    """An entry whose ports are not open, and how its shutdown ended."""

    clock: Clock
    entry: daemons.Entry
    ended: list[bool] = attrs.field(factory=list)

    def connect(self) -> Transport:
        """Opens a caller's connection."""
        transport = Transport()
        site = self.entry.caller_site
        channel = site.buildProtocol(address.IPv4Address("TCP", "::", 1))
        transport.protocol = channel
        channel.makeConnection(transport)
        return transport

    def tick(self, duration: datetime.timedelta) -> None:
        """Lets time pass and runs the periodic tasks once."""
        self.clock.time += duration
        self.entry.gateway.tick()
        self.entry._tick()


@pytest.fixture(name="bench")
def fixture_bench(tmp_path: pathlib.Path) -> Bench:
    secret = tmp_path / "secret"
    secret.write_text("s" * 32)
    secret.chmod(0o600)
    clock = Clock()
    config = settings.Settings(
        deployment="d",
        instance="e1",
        data_centre="north",
        secret_file=str(secret),
    )
    entry = daemons.Entry(config, testing.MemoryReactorClock(), clock=clock)
    bench = Bench(clock, entry)
    entry.stopped.addCallback(bench.ended.append)
    return bench


def test_an_entry_ends_after_slow_callers_have_their_answers(bench) -> None:
    """It ended when no request was left; unsent data was lost."""
    slow, idle = bench.connect(), bench.connect()
    slow.unsent = True
    bench.entry.stop()
    bench.tick(daemons.BALANCER_REMOVAL_DELAY)
    bench.tick(100 * MS)
    assert idle.protocol is None and slow.protocol is not None
    assert bench.ended == []
    slow.leave()
    bench.tick(100 * MS)
    assert bench.ended == [True]


def test_a_request_that_is_being_received_is_refused_before_the_end(
    bench,
) -> None:
    """Its connection was reset as the process ended."""
    caller = bench.connect()
    caller.protocol.dataReceived(
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"
    )
    bench.entry.stop()
    bench.tick(daemons.BALANCER_REMOVAL_DELAY)
    assert bench.ended == []
    caller.protocol.dataReceived(b"x")
    assert caller.value().startswith(b"HTTP/1.1 503 ")
    bench.tick(100 * MS)
    bench.tick(100 * MS)
    assert bench.ended == [True]


def test_a_caller_that_reads_nothing_does_not_delay_the_end(bench) -> None:
    bench.connect().unsent = True
    bench.entry.stop()
    bench.tick(bench.entry.config.stop_timeout - MS)
    assert bench.ended == []
    bench.tick(MS)
    assert bench.ended == [False]


def test_an_entry_without_connections_ends_at_once(bench) -> None:
    bench.entry.stop()
    bench.tick(daemons.BALANCER_REMOVAL_DELAY - MS)
    assert bench.ended == []
    bench.tick(MS)
    assert bench.ended == [True]


def test_an_entry_that_was_late_ends_in_time_after_the_signal(bench) -> None:
    """It counted from when it ran again, and would have been killed."""
    bench.connect().unsent = True
    for _ in range(2):
        bench.tick(100 * MS)
    signalled_at = bench.clock.time
    bench.clock.time += 4000 * MS
    bench.entry.stop()
    bench.entry._tick()
    stop_timeout = bench.entry.config.stop_timeout
    bench.tick(signalled_at + stop_timeout - bench.clock.time)
    assert bench.ended == [False]


def test_the_balancer_has_its_time_also_after_a_late_signal(bench) -> None:
    bench.tick(100 * MS)
    bench.clock.time += 4000 * MS
    bench.entry.stop()
    bench.tick(daemons.BALANCER_REMOVAL_DELAY - MS)
    assert bench.ended == []
    bench.tick(MS)
    assert bench.ended == [True]


def test_unfinished_requests_end_before_the_stop_timeout(bench) -> None:
    """They were reset at the stop timeout, without a refusal."""
    calls = bench.entry.gateway._model_call_by_request
    calls["r"] = Call(calls)
    caller = bench.connect()
    caller.unsent = True
    bench.entry.stop()
    bench.tick(bench.entry.config.stop_timeout - daemons.STOP_MARGIN - MS)
    assert calls
    bench.tick(MS)
    assert not calls and bench.ended == []
    caller.leave()
    bench.tick(100 * MS)
    assert bench.ended == [False]
