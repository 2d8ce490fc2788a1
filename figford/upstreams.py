"""Sends model requests, service calls and orders to upstreams over HTTP.

Retries by the HTTP library are disabled; callers of this module decide on
them.
"""

import datetime
import json
import typing

import attrs
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_errors
from twisted.internet import protocol
from twisted.python import failure as failures
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from figford import answerbuffers
from figford import codec
from figford import errors
from figford import messages
from figford import settings
from figford import wire

POOLED_CONNECTIONS_PER_UPSTREAM = 64
POOLED_IDLE_SECONDS = 50
# Of the head of an answer, with all interim answers before it.
HEAD_LIMIT_BYTES = 64 << 10
# An answer may lie unread when its timeout is due, if this process was late.
LAST_READ_SECONDS = 0.05
# Hop-by-hop headers, which are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class NothingSentError(errors.FigfordError):
    """The attempt ended before any byte went to the upstream."""


class BrokenAnswerError(errors.FigfordError):
    """The upstream's answer is incomplete or missing."""


class AnswerTooLargeError(errors.FigfordError):
    """The upstream's answer exceeds the size limit."""


class _Connection(client.HTTP11ClientProtocol):
    """A connection that is closed if the head of an answer has no end.

    The library bounds each line of a head, but not their number.
    """

    _head_bytes: int | None = None

    def __init__(
        self,
        on_quiescent: typing.Callable,
        buffers: answerbuffers.AnswerBuffers,
    ) -> None:
        """Creates the protocol of a connection that is being opened."""
        super().__init__(on_quiescent)
        self._buffers = buffers

    def request(self, request: typing.Any) -> defer.Deferred:
        """Sends a request; counts what comes until its answer's head ends."""
        self._head_bytes = 0
        return super().request(request).addBoth(self._head_ended)

    def _head_ended(self, result: typing.Any) -> typing.Any:
        self._head_bytes = None
        return result

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._head_bytes is not None:
            self._head_bytes += len(data)
        super().dataReceived(data)
        if (self._head_bytes or 0) > HEAD_LIMIT_BYTES:
            self._buffers.refused += 1
            self.transport.abortConnection()


class _ConnectionFactory(protocol.Factory):
    """Creates the connections of a pool."""

    noisy = False

    def __init__(
        self,
        on_quiescent: typing.Callable,
        buffers: answerbuffers.AnswerBuffers,
    ) -> None:
        self._on_quiescent = on_quiescent
        self._buffers = buffers

    def buildProtocol(self, addr: object) -> _Connection:
        """Returns the protocol of a new connection."""
        return _Connection(self._on_quiescent, self._buffers)


class _ConnectionPool(client.HTTPConnectionPool):
    """A pool of connections whose answers have bounded heads."""

    def __init__(
        self,
        reactor: typing.Any,
        buffers: answerbuffers.AnswerBuffers,
        persistent: bool,
    ) -> None:
        super().__init__(reactor, persistent)
        self._factory = lambda on_quiescent, _: _ConnectionFactory(
            on_quiescent, buffers
        )


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Produces a body that is in memory."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: typing.Any) -> defer.Deferred:
        """Writes the whole body at once."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Does nothing; the body is already written."""

    def resumeProducing(self) -> None:
        """Does nothing; the body is already written."""

    def stopProducing(self) -> None:
        """Does nothing; the body is already written."""


class _GuardedEndpoint:
    """Connects, then checks whether bytes may be sent."""

    def __init__(
        self, inner: typing.Any, may_send: typing.Callable[[], bool]
    ) -> None:
        self._inner = inner
        self._may_send = may_send

    def connect(self, factory: typing.Any) -> defer.Deferred:
        """Returns the connection; fails if nothing may be sent any more."""

        def check(connected: typing.Any) -> typing.Any:
            if self._may_send():
                return connected
            connected.transport.abortConnection()
            raise NothingSentError("the call ended before it was sent")

        return self._inner.connect(factory).addCallback(check)


@interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Creates endpoints for IP addresses."""

    def __init__(
        self,
        reactor: typing.Any,
        timeout: datetime.timedelta,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self._may_send = may_send

    def endpointForURI(self, uri: client.URI) -> typing.Any:
        """Returns the endpoint of an upstream's address."""
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            uri.host.decode(),
            uri.port,
            timeout=self._timeout.total_seconds(),
        )
        if self._may_send is None:
            return endpoint
        return _GuardedEndpoint(endpoint, self._may_send)


class StreamReceiver(typing.Protocol):
    """Receives the parts of a streamed answer."""

    def stream_data(self, data: bytes) -> None:
        """Receives bytes as they arrive."""

    def stream_ended(self, error: errors.FigfordError | None) -> None:
        """Is called at the end of the body; `error` is None if complete."""


class StreamAttempt(protocol.Protocol):
    """One streamed request; nothing is reported after `cancel`."""

    def __init__(self, receiver: StreamReceiver) -> None:
        """Creates an attempt that reports to a receiver."""
        self._receiver: StreamReceiver | None = receiver
        self._pending_response: defer.Deferred | None = None
        self._connected = False

    def begin(self, pending_response: defer.Deferred) -> None:
        """Waits for the response."""
        self._pending_response = pending_response
        pending_response.addCallbacks(self._responded, self._failed)

    def cancel(self) -> None:
        """Cancels the request, so that the upstream stops its work."""
        self._receiver = None
        if self._connected:
            self.transport.loseConnection()
        elif self._pending_response is not None:
            self._pending_response.cancel()

    def pause(self) -> None:
        """Stops reading while the caller reads too slowly."""
        if self._connected:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continues reading."""
        if self._connected:
            self.transport.resumeProducing()

    def _end(self, error: errors.FigfordError | None) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.stream_ended(error)

    def _responded(self, response: typing.Any) -> None:
        self._pending_response = None
        if self._receiver is None:
            response.deliverBody(_BodyDiscarder())
        elif response.code == http.CONFLICT:
            # The engine states that it is not in the named group, so it has
            # not run the request.
            response.deliverBody(_BodyDiscarder())
            self._end(NothingSentError("the upstream is not in the group"))
        elif response.code != http.OK:
            response.deliverBody(_BodyDiscarder())
            self._end(BrokenAnswerError(f"upstream status {response.code}"))
        else:
            response.deliverBody(self)

    def _failed(self, failure: failures.Failure) -> None:
        self._pending_response = None
        if failure.check(internet_errors.ConnectError):
            self._end(NothingSentError("the upstream can't be reached"))
        else:
            self._end(BrokenAnswerError(failure.type.__name__))

    def connectionMade(self) -> None:
        """Marks the connection as open when the body begins."""
        self._connected = True

    def dataReceived(self, data: bytes) -> None:
        """Forwards bytes to the receiver."""
        if self._receiver is not None:
            self._receiver.stream_data(data)

    def connectionLost(
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Reports the end of the body."""
        self._connected = False
        if reason.check(client.ResponseDone):
            self._end(None)
        else:
            self._end(
                BrokenAnswerError(
                    "the connection closed before the answer was complete"
                )
            )


class _BodyDiscarder(protocol.Protocol):
    """Discards a body and closes its connection."""

    def connectionMade(self) -> None:
        """Closes the connection."""
        self.transport.loseConnection()


class _Collector(protocol.Protocol):
    """Collects a body up to a limit."""

    def __init__(
        self, limit: int, buffers: answerbuffers.AnswerBuffers
    ) -> None:
        self.done: defer.Deferred = defer.Deferred(self._cancelled)
        self._limit = limit
        self._buffers = buffers
        self._finished = False
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        """Stores the bytes; fails once the limit is exceeded."""
        if self._finished:
            return
        self._parts.append(data)
        self._buffers.add(self, len(data))
        if self._buffers.size_of(self) > self._limit:
            self._buffers.refused += 1
            self.give_up()

    def give_up(self) -> None:
        """Gives the body up, as it or all together are too large."""
        self.transport.loseConnection()
        self._finish(AnswerTooLargeError("the answer is too large"))

    def connectionLost(
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Reports the body if it is complete, an error otherwise."""
        if reason.check(client.ResponseDone):
            self._finish(None)
        else:
            self._finish(
                BrokenAnswerError(
                    "the connection closed before the answer was complete"
                )
            )

    def _cancelled(self, _: defer.Deferred) -> None:
        self._finished = True
        self._buffers.remove(self)
        self.transport.loseConnection()

    def _finish(self, error: errors.FigfordError | None) -> None:
        if self._finished:
            return
        self._finished = True
        self._buffers.remove(self)
        parts, self._parts = self._parts, []
        if error is None:
            self.done.callback(b"".join(parts))
        else:
            self.done.errback(error)


@attrs.frozen
class PlainRequest:
    """A request to a plain service."""

    method: bytes
    address: str
    uri: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@attrs.frozen
class PlainAnswer:
    """The complete answer of a plain service."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def content_type(self) -> str:
        """Returns the content type; defaults to that of arbitrary bytes."""
        for name, value in self.headers:
            if name.lower() == b"content-type":
                return value.decode("latin-1")
        return "application/octet-stream"


@attrs.define
class UpstreamClient:
    """Sends requests and orders to upstreams."""

    reactor: typing.Any
    clock: typing.Any
    limits: settings.Limits
    _pool: client.HTTPConnectionPool = attrs.field(init=False)
    _agent: client.Agent = attrs.field(init=False)
    buffers: answerbuffers.AnswerBuffers = attrs.field(
        factory=answerbuffers.AnswerBuffers
    )

    def __attrs_post_init__(self) -> None:
        """Creates the connection pool for streams and repeatable calls."""
        self._pool = _ConnectionPool(
            self.reactor, self.buffers, persistent=True
        )
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = POOLED_CONNECTIONS_PER_UPSTREAM
        self._pool.cachedConnectionTimeout = POOLED_IDLE_SECONDS
        self._agent = client.Agent.usingEndpointFactory(
            self.reactor,
            _EndpointFactory(self.reactor, self.limits.connect_timeout),
            self._pool,
        )

    def _pool_of_one(self) -> _ConnectionPool:
        """Returns a pool whose connection is closed after one request."""
        return _ConnectionPool(self.reactor, self.buffers, persistent=False)

    def close(self) -> defer.Deferred:
        """Closes idle connections; the result fires when they are closed."""
        return self._pool.closeCachedConnections()

    def stream(
        self,
        address: str,
        headers: dict[bytes, bytes],
        body: bytes,
        receiver: StreamReceiver,
    ) -> StreamAttempt:
        """Posts a model request and streams its answer to the receiver."""
        attempt = StreamAttempt(receiver)
        fields = http_headers.Headers(
            {name: [value] for name, value in headers.items()}
        )
        attempt.begin(
            _request(
                self._agent,
                b"POST",
                f"http://{address}/v1/chat/completions".encode(),
                fields,
                BytesProducer(body),
            )
        )
        return attempt

    def call(
        self,
        request: PlainRequest,
        timeout: datetime.timedelta,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> defer.Deferred:
        """Calls a plain service; the result is a PlainAnswer.

        Fails with NothingSentError only if certainly no byte was sent, and
        with BrokenAnswerError or AnswerTooLargeError otherwise. `may_send`
        is called once, on a new connection, just before the first byte.
        """
        agent = self._agent
        if may_send is not None:
            agent = client.Agent.usingEndpointFactory(
                self.reactor,
                _EndpointFactory(
                    self.reactor, self.limits.connect_timeout, may_send
                ),
                self._pool_of_one(),
            )
        fields = http_headers.Headers()
        for name, value in request.headers:
            fields.addRawHeader(name, value)
        producer = BytesProducer(request.body) if request.body else None
        pending_response = _request(
            agent,
            request.method,
            b"http://" + request.address.encode() + request.uri,
            fields,
            producer,
        )
        pending_response.addCallback(self._collect)
        self._add_timeout(pending_response, timeout)
        pending_response.addErrback(_translate_failure)
        return pending_response

    def _add_timeout(
        self, pending_response: defer.Deferred, timeout: datetime.timedelta
    ) -> None:
        """Cancels a call after its timeout, unless its answer can be read."""

        def read_first() -> None:
            nonlocal delayed
            delayed = self.reactor.callLater(
                LAST_READ_SECONDS, pending_response.cancel
            )

        def ended(result: typing.Any) -> typing.Any:
            if delayed.active():
                delayed.cancel()
            return result

        delayed = self.reactor.callLater(timeout.total_seconds(), read_first)
        pending_response.addBoth(ended)

    def _collect(self, response: typing.Any) -> defer.Deferred:
        headers = [
            (name, value)
            for name, values in response.headers.getAllRawHeaders()
            for value in values
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        collector = _Collector(self.limits.answer_bytes, self.buffers)
        response.deliverBody(collector)
        return collector.done.addCallback(
            lambda body: PlainAnswer(response.code, headers, body)
        )

    def send_order(
        self,
        address: str,
        order: messages.Order,
        valid_until: datetime.timedelta,
    ) -> defer.Deferred:
        """Sends an order on a new connection while it is still valid.

        The validity is checked on the open connection, right before the
        first byte. Fails with OrderRefusedError or a connection error.
        """
        agent = client.Agent.usingEndpointFactory(
            self.reactor,
            _EndpointFactory(
                self.reactor,
                self.limits.connect_timeout,
                lambda: self.clock.now() < valid_until,
            ),
            self._pool_of_one(),
        )
        body = json.dumps(codec.to_plain(order, messages.Order)).encode()
        pending_response = _request(
            agent,
            b"POST",
            f"http://{address}/orders".encode(),
            http_headers.Headers({b"content-type": [b"application/json"]}),
            BytesProducer(body),
        )
        pending_response.addCallback(self._collect)
        remaining = (valid_until - self.clock.now()).total_seconds()
        pending_response.addTimeout(max(0.0, remaining), self.reactor)
        pending_response.addCallback(_check_order)
        return pending_response


def _request(
    agent: client.Agent,
    method: bytes,
    uri: bytes,
    fields: http_headers.Headers,
    producer: BytesProducer | None,
) -> defer.Deferred:
    """Sends a request; the result is a response with a valid status."""
    pending_response = agent.request(method, uri, fields, producer)
    return pending_response.addCallback(_check_status)


def _check_status(response: typing.Any) -> typing.Any:
    """Returns a response; closes its connection if its status is none."""
    if response.code in wire.FINAL_STATUSES:
        return response
    response.deliverBody(_BodyDiscarder())
    raise BrokenAnswerError(f"the upstream's status is {response.code}")


def _check_order(answer: PlainAnswer) -> None:
    if answer.status != http.OK:
        raise errors.OrderRefusedError(f"status {answer.status}")


def _translate_failure(failure: failures.Failure) -> failures.Failure:
    """Converts failures of the HTTP library to errors of figford."""
    if failure.check(errors.FigfordError):
        return failure
    if failure.check(internet_errors.ConnectError):
        raise NothingSentError("the upstream can't be reached")
    raise BrokenAnswerError(failure.type.__name__)
