"""What a stopping entry does with the requests on its connections."""

import datetime
import random

import attrs
import pytest
from twisted.internet import task
from twisted.internet import testing

from figford import ingress as ingresses
from figford import metrics as metric_sets
from figford import routes
from figford.tests import test_entrydaemon
from figford import wire

SECOND = datetime.timedelta(seconds=1)
ACCEPT_TIME = 2.6 * SECOND
STOP_TIME = 7.6 * SECOND
ROUTE = routes.Route(
    name="r",
    host="h.example",
    prefix="/a/",
    retry_mode=routes.RetryMode.ONCE,
    timeout=8 * SECOND,
    objective=SECOND,
    priority=1,
    shares=(routes.Share("s", 1),),
    attempts=1,
    public=True,
)


class Dialect:
    """Reads the time that a caller has left."""

    def read_call(self, headers: wire.HeaderList) -> wire.CallHead:
        """Returns the head of a call."""
        left = dict(headers).get(b"Remaining", b"8000")
        return wire.CallHead(
            attempt="a",
            key=None,
            model=None,
            remaining=datetime.timedelta(milliseconds=int(left)),
        )

    def retry_after(self, after: datetime.timedelta) -> bytes:
        """Returns a number of seconds."""
        return str(after.total_seconds()).encode()


@attrs.define(eq=False)
class Forwarder:
    """Keeps the calls that begin."""

    clock: test_entrydaemon.Clock
    dialect: Dialect = attrs.field(factory=Dialect)
    table: routes.RouteTable = routes.RouteTable(version=1)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    metrics: metric_sets.Metrics = attrs.field(factory=metric_sets.Metrics)
    begun: list = attrs.field(factory=list)

    def admit(self, host: str, path: str, head: wire.CallHead) -> tuple:
        """Returns the only route."""
        return ROUTE, None

    def begin(self, call: object) -> None:
        """Records a call."""
        self.begun.append(call)


@attrs.define(eq=False)
class Caller:
    """A connection to a stopping entry."""

    clock: test_entrydaemon.Clock = attrs.field(factory=test_entrydaemon.Clock)
    transport: testing.StringTransport = attrs.field(
        factory=testing.StringTransport
    )
    # Of the connection's timeouts.
    timers: task.Clock = attrs.field(factory=task.Clock)
    forwarder: Forwarder = attrs.field(init=False)
    ingress: ingresses.Ingress = attrs.field(init=False)
    channel: ingresses.CallerChannel = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Connects."""
        self.forwarder = Forwarder(self.clock)
        self.ingress = ingresses.Ingress(self.forwarder, lambda: None)
        factory = ingresses.CallerFactory(self.ingress, self.timers)
        self.channel = factory.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def stop(self) -> None:
        """Begins the stop of the entry."""
        now = self.clock.now()
        self.ingress.begin_stop(now + ACCEPT_TIME, now + STOP_TIME)

    def send(self, remaining_ms: int = 8000) -> None:
        """Sends a request without a body."""
        self.channel.dataReceived(
            b"POST /a/x HTTP/1.1\r\nHost: h.example\r\n"
            b"Content-Length: 0\r\nRemaining: %d\r\n\r\n" % remaining_ms
        )

    def answer(self) -> None:
        """Lets the upstream answer the last request."""
        responder = self.forwarder.begun[-1].responder
        responder.begin(200, [(b"Content-Length", b"2")])
        responder.write(b"ok")
        responder.finish()


def test_a_connection_ends_with_an_answer_that_began_before_the_stop() -> None:
    """The next request came before the next look at idle connections."""
    caller = Caller()
    caller.send()
    responder = caller.forwarder.begun[0].responder
    responder.begin(200, [(b"Content-Length", b"2")])
    caller.stop()
    assert not caller.transport.disconnecting
    responder.write(b"ok")
    responder.finish()
    assert caller.transport.disconnecting
    assert b"onnection: close" not in caller.transport.value()
    caller.send()
    assert len(caller.forwarder.begun) == 1


def test_a_request_that_may_outlast_the_process_is_refused_at_once() -> None:
    """Its body came in while the entry stopped."""
    caller = Caller()
    caller.stop()
    caller.clock.time += ACCEPT_TIME + 0.1 * SECOND
    caller.send()
    written = caller.transport.value()
    assert written.startswith(b"HTTP/1.1 503 ")
    assert b"onnection: close" in written
    assert b"etry-After: 0" in written
    assert caller.transport.disconnecting
    assert not caller.forwarder.begun


@pytest.mark.parametrize(
    "remaining_ms, is_begun", [(1500, True), (5100, False)]
)
def test_a_request_is_taken_if_its_time_ends_before_the_process(
    remaining_ms: int, is_begun: bool
) -> None:
    caller = Caller()
    caller.stop()
    caller.clock.time += ACCEPT_TIME + 0.1 * SECOND
    caller.send(remaining_ms)
    assert bool(caller.forwarder.begun) is is_begun


def test_requests_are_taken_while_the_balancer_still_sends_callers() -> None:
    caller = Caller()
    caller.stop()
    caller.clock.time += ACCEPT_TIME
    caller.send()
    assert caller.forwarder.begun
    caller.answer()
    assert b"onnection: close" in caller.transport.value()
    assert caller.transport.disconnecting


def table_with(idle_timeout: datetime.timedelta) -> routes.RouteTable:
    """Returns a newer table with another limit on idle connections."""
    limits = routes.CallerLimits(idle_timeout=idle_timeout)
    return routes.RouteTable(version=2, limits=limits)


@pytest.mark.parametrize("is_busy", [False, True])
@pytest.mark.parametrize("seconds", [4, 60])
def test_a_kept_connection_follows_limits_that_change(
    seconds: int, is_busy: bool
) -> None:
    """It was closed by the limit in force when it was made."""
    caller = Caller()
    caller.send()
    if not is_busy:
        caller.answer()
    caller.forwarder.table = table_with(seconds * SECOND)
    caller.ingress.apply_limits()
    if is_busy:
        # No timeout ends an answer that takes long.
        caller.timers.advance(2 * seconds)
        caller.answer()
    caller.timers.advance(seconds)
    assert not caller.transport.disconnecting
    caller.timers.advance(ingresses.IDLE_SLACK_SECONDS + 1)
    assert caller.transport.disconnecting
