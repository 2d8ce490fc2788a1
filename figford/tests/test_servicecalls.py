"""Repeatable calls of plain services, at the real dispatcher's budget."""

import collections
import datetime
import random
import typing

import attrs
import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure as failures
from twisted.web import client
from twisted.web import http_headers

from figford import dispatch
from figford import errors
from figford import groups
from figford import membership
from figford import operators
from figford import routing
from figford import servicecalls
from figford import settings
from figford import upstreams

SERVICE = operators.PlainService(name="shelters", prefix="/shelters")
REQUEST = upstreams.PlainRequest(b"GET", "", b"/shelters/1", [], b"")


@attrs.define
class Clock:
    """A clock whose time tests set."""

    time: datetime.timedelta = datetime.timedelta(seconds=100)

    def now(self) -> datetime.timedelta:
        """Returns the time that was set."""
        return self.time


@attrs.define
class Responder:
    """Records what a caller received."""

    status: int = 0
    refusal: errors.Refusal | None = None

    def begin(self, status: int, headers: object) -> None:
        """Records the status."""
        self.status = status

    def write(self, data: bytes) -> None:
        """Ignores the body."""

    def finish(self) -> None:
        """Ignores the end."""

    def refuse(self, refusal: errors.Refusal) -> None:
        """Records a refusal."""
        self.refusal = refusal


class Gateway:
    """The parts of a gateway that a call uses; some attempts fail."""

    def __init__(self, failing: int, started_at: datetime.timedelta) -> None:
        self.clock = Clock()
        self.dispatcher = dispatch.Dispatcher(
            groups.GroupTable(membership.UpstreamTable("north")),
            routing.Router(random.Random(1)),
            started_at=started_at,
        )
        self.client = self
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.internal_errors: list = []
        self._failing = failing

    def choose_service(self, name: str, tried: set[str]) -> str:
        """Returns an address that was not tried."""
        return f"127.0.0.1:{9000 + len(tried)}"

    def call(self, request: object, timeout: object) -> defer.Deferred:
        """Fails the first attempts and answers the next one."""
        self.outcomes["attempt"] += 1
        if self.outcomes["attempt"] <= self._failing:
            return defer.fail(upstreams.NothingSentError("refused"))
        return defer.succeed(upstreams.PlainAnswer(200, [], b"ok"))

    def on_internal_error(self, failure: object) -> None:
        """Records an error that is none of the upstream's."""
        self.internal_errors.append(failure)

    def service_call_ended(self, call: object, outcome: str) -> None:
        """Counts an outcome."""
        self.outcomes[outcome] += 1


@pytest.mark.parametrize(
    ("seconds_up", "failing", "attempts", "status"),
    [(60, 0, 1, 200), (60, 2, 3, 200), (60, 3, 3, 0), (0, 1, 1, 0)],
)
def test_a_read_is_repeated_within_the_retry_budget(
    seconds_up: int, failing: int, attempts: int, status: int
) -> None:
    """The budget was asked by names that it no longer has."""
    up = datetime.timedelta(seconds=seconds_up)
    gateway = Gateway(failing, Clock().time - up)
    responder = Responder()
    servicecalls.RepeatableCall(
        gateway, SERVICE, None, operators.RequestClass.STATUS, REQUEST,
        responder, gateway.clock.now(),
    ).begin()  # fmt: skip
    assert gateway.internal_errors == []
    assert gateway.outcomes["attempt"] == attempts
    assert responder.status == status
    assert (responder.refusal is None) is (status == 200)


def test_a_call_is_refused_as_its_process_ends() -> None:
    """Its caller's connection was reset; an answer may still come."""
    gateway = Gateway(0, Clock().time)
    answer: defer.Deferred = defer.Deferred()
    gateway.call = lambda request, timeout: answer
    responder = Responder()
    call = servicecalls.RepeatableCall(
        gateway, SERVICE, None, operators.RequestClass.STATUS, REQUEST,
        responder, gateway.clock.now(),
    )  # fmt: skip
    call.begin()
    call.end_unanswered()
    call.end_unanswered()
    assert responder.refusal.run_state is errors.RunState.UNKNOWN
    answer.callback(upstreams.PlainAnswer(200, [], b"ok"))
    assert responder.status == 0 and gateway.internal_errors == []


class Agent:
    """Returns a response that tests complete."""

    def __init__(self) -> None:
        self.pending: defer.Deferred = defer.Deferred()

    def request(self, *_: object) -> defer.Deferred:
        """Returns the response."""
        return self.pending


@attrs.define
class Response:
    """A response whose body arrives at once."""

    code: int = 200
    headers: http_headers.Headers = attrs.field(factory=http_headers.Headers)

    def deliverBody(self, collector: typing.Any) -> None:
        """Delivers the body and its end."""
        collector.dataReceived(b"ok")
        collector.connectionLost(failures.Failure(client.ResponseDone()))


def pending_call() -> tuple[task.Clock, Agent, defer.Deferred]:
    """Returns the reactor, the agent and the result of a call of 5 s."""
    reactor = task.Clock()
    upstream_client = upstreams.UpstreamClient(
        reactor, Clock(), settings.Limits()
    )
    agent = upstream_client._agent = Agent()
    return (
        reactor,
        agent,
        upstream_client.call(REQUEST, datetime.timedelta(seconds=5)),
    )


def test_an_answer_that_a_late_entry_has_not_read_is_not_timed_out() -> None:
    """Timers run before sockets are read: a booking's answer was lost."""
    reactor, agent, result = pending_call()
    reactor.advance(8)
    agent.pending.callback(Response())
    answers: list[upstreams.PlainAnswer] = []
    result.addCallback(answers.append)
    assert [answer.body for answer in answers] == [b"ok"]
    assert reactor.getDelayedCalls() == []


def test_a_call_is_cancelled_after_its_timeout() -> None:
    reactor, _, result = pending_call()
    reactor.advance(5)
    reactor.advance(upstreams.LAST_READ_SECONDS)
    errors_seen: list = []
    result.addErrback(lambda item: errors_seen.append(item.type))
    assert errors_seen == [upstreams.BrokenAnswerError]
    assert reactor.getDelayedCalls() == []
