"""Tests of the graceful shutdown of an entry."""

import datetime
import pathlib

import attrs
import pytest
from twisted.internet import testing

from figford import effects
from figford import endings
from figford import entrydaemon
from figford import errors
from figford import forwarding
from figford import nodesettings
from figford.platform import dialect

MS = datetime.timedelta(milliseconds=1)
TICK = 25 * MS


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


@attrs.define(eq=False)
class Channel:
    """A caller's connection."""

    requests: list = attrs.field(factory=list)
    closed: bool = False

    def loseConnection(self) -> None:
        """Records the close."""
        self.closed = True


@attrs.define(eq=False)
class Call:
    """A request in progress."""

    calls: dict = attrs.field(factory=dict)
    state: forwarding.State = forwarding.State.SENT

    def check(
        self, now: datetime.timedelta, read_until: datetime.timedelta
    ) -> None:
        """Does nothing: the request stays in progress."""

    def end_unanswered(self, cause: endings.Cause, detail: str) -> None:
        """Ends the request."""
        self.calls.pop(self, None)


def make_daemon(clock: Clock) -> entrydaemon.EntryDaemon:
    config = nodesettings.NodeSettings(
        instance="127.0.0.1",
        name="e1",
        data_centre="dc",
        links_address="127.0.0.1:7342",
        seeds=(),
        links_port=7340,
    )
    return entrydaemon.EntryDaemon(
        config,
        pathlib.Path("boot.json"),
        lambda path: config,
        testing.MemoryReactorClock(),
        clock=clock,
        dialect=dialect.PlatformDialect(),
        read_table=lambda packed: None,
        ready_factory=lambda ready, reactor: None,
    )


def pass_time(
    daemon: entrydaemon.EntryDaemon, duration: datetime.timedelta
) -> None:
    """Lets time pass with a tick whenever one is due."""
    clock = daemon.clock
    end = clock.time + duration
    while clock.time < end:
        clock.time = min(end, clock.time + TICK)
        daemon.tick()


def test_a_stopping_entry_is_not_ready_and_still_takes_requests() -> None:
    clock = Clock()
    daemon = make_daemon(clock)
    idle = Channel()
    daemon.ingress.channels.add(idle)
    daemon.stop()
    assert not daemon.state.ready and daemon.ingress.stopping
    pass_time(daemon, entrydaemon.BALANCER_REMOVAL_DELAY - MS)
    assert not idle.closed


def test_idle_connections_end_while_others_finish() -> None:
    """A later request on a kept-alive connection could not finish in time."""
    clock = Clock()
    daemon = make_daemon(clock)
    idle, busy = Channel(), Channel(requests=["request"])
    daemon.ingress.channels.update((idle, busy))
    daemon.forwarder.calls[Call()] = None
    daemon.stop()
    pass_time(daemon, entrydaemon.BALANCER_REMOVAL_DELAY)
    assert idle.closed and not busy.closed
    busy.requests.clear()
    daemon.tick()
    assert busy.closed


def test_unfinished_requests_are_aborted_before_the_stop_timeout() -> None:
    clock = Clock()
    daemon = make_daemon(clock)
    daemon.forwarder.calls[Call(daemon.forwarder.calls)] = None
    ended: list = []
    daemon.stopped.addCallback(ended.append)
    daemon.stop()
    clock.time += daemon.config.stop_timeout - entrydaemon.STOP_MARGIN - MS
    daemon.tick()
    assert not ended
    clock.time += MS
    daemon.tick()
    # Reads what has come until now before it ends the request.
    daemon.tick()
    assert ended == [False]


def test_an_entry_that_was_late_begins_only_what_ends_in_time() -> None:
    """It counted from when it ran again, and would have been killed."""
    clock = Clock()
    daemon = make_daemon(clock)
    for _ in range(2):
        clock.time += 30 * MS
        daemon.forwarder.tick()
    signalled_at = clock.time
    clock.time += 1500 * MS
    daemon.stop()
    with pytest.raises(errors.Draining):
        daemon.ingress.check_can_finish(
            signalled_at + 3000 * MS,
            signalled_at + daemon.config.stop_timeout - 300 * MS,
        )


@pytest.mark.parametrize("is_alone", [False, True])
def test_an_entry_that_was_late_reads_before_it_closes_what_is_idle(
    is_alone: bool,
) -> None:
    """Requests on idle and new connections lay unread and were reset."""
    clock = Clock()
    daemon = make_daemon(clock)
    idle = Channel()
    if not is_alone:
        daemon.ingress.channels.add(idle)
    ended: list = []
    daemon.stopped.addCallback(ended.append)
    daemon.stop()
    pass_time(daemon, 2 * entrydaemon.BALANCER_REMOVAL_DELAY / 3)
    clock.time += entrydaemon.BALANCER_REMOVAL_DELAY
    # The connection is accepted after this tick, and read after the next.
    for _ in range(2):
        daemon.tick()
        assert not idle.closed and not ended
    daemon.tick()
    assert idle.closed is not is_alone and bool(ended) is is_alone


def test_answers_are_sent_to_slow_callers_before_the_process_ends() -> None:
    """It ended though the end of an answer waited in its own buffer."""
    clock = Clock()
    daemon = make_daemon(clock)
    slow = Channel()
    daemon.ingress.channels.add(slow)
    ended: list = []
    daemon.stopped.addCallback(ended.append)
    daemon.stop()
    pass_time(daemon, entrydaemon.BALANCER_REMOVAL_DELAY)
    assert slow.closed and not ended
    daemon.ingress.channels.clear()
    daemon.tick()
    assert ended == [True]


def test_a_caller_that_reads_nothing_does_not_delay_the_end() -> None:
    clock = Clock()
    daemon = make_daemon(clock)
    daemon.ingress.channels.add(Channel())
    ended: list = []
    daemon.stopped.addCallback(ended.append)
    daemon.stop()
    clock.time += daemon.config.stop_timeout - entrydaemon.FLUSH_MARGIN - MS
    daemon.tick()
    assert not ended
    clock.time += MS
    daemon.tick()
    assert ended == [True]


def test_a_route_table_that_cannot_be_read_ends_no_entry() -> None:
    """All entries get it, and each one that started again."""
    daemon = make_daemon(Clock())
    table = daemon.forwarder.table

    def fail(document: bytes) -> None:
        raise KeyError("a field of another version")

    daemon.read_table = fail
    daemon.carry_out([effects.ConfigurationChanged(3)])
    assert daemon.forwarder.table is table


def test_an_entry_that_was_late_reads_before_it_ends_answers() -> None:
    """Their last bytes may lie unread, from before the last sixth."""
    clock = Clock()
    daemon = make_daemon(clock)
    daemon.forwarder.calls[Call(daemon.forwarder.calls)] = None
    ended: list = []
    daemon.stopped.addCallback(ended.append)
    daemon.forwarder.tick()
    daemon.stop()
    clock.time += daemon.config.stop_timeout * 5 / 6 - 100 * MS
    daemon.tick()
    daemon.forwarder.tick()
    clock.time += 1050 * MS
    daemon.tick()
    assert not ended
    for _ in range(2):
        clock.time += 30 * MS
        daemon.forwarder.tick()
        daemon.tick()
    assert ended == [False]


def test_an_entry_that_was_late_does_not_end_answers_too_soon() -> None:
    """A signal that came last is taken for one that came first.

    Only in the last sixth of the stop timeout may answers be cut.
    """
    clock = Clock()
    daemon = make_daemon(clock)
    daemon.forwarder.calls[Call(daemon.forwarder.calls)] = None
    ended: list = []
    daemon.stopped.addCallback(ended.append)
    for _ in range(2):
        clock.time += 30 * MS
        daemon.forwarder.tick()
    clock.time += 1500 * MS
    signalled_at = clock.time
    daemon.stop()
    clock.time = signalled_at + daemon.config.stop_timeout * 5 / 6 - MS
    daemon.tick()
    assert not ended
