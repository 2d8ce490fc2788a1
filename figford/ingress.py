"""The HTTP server of an entry for callers, on `twisted.web`.

Each request becomes one call. Its body is received completely before it is
placed, so that a slow caller never causes a truncated request to an
upstream.
"""

import datetime
import typing

import attrs
import logbook
from twisted.internet import interfaces
from twisted.python import failure as failures
from twisted.web import http
from zope import interface

from figford import errors
from figford import forwarder as forwarders
from figford import forwarding
from figford import problems
from figford import requesttargets
from figford import routes
from figford import wire

_log = logbook.Logger(__name__)

# Idle connections are closed this long after the idle timeout of callers, so
# that a new request does not cross with the close.
IDLE_SLACK_SECONDS = 2.0
# A process that just started has a route table after about a second.
NOT_READY_RETRY = datetime.timedelta(milliseconds=900)
NOT_READY_SPREAD = datetime.timedelta(milliseconds=600)
DEFAULT_REQUEST_TIMEOUT = datetime.timedelta(seconds=30)


@interface.implementer(interfaces.IPushProducer)
class CallerRequest(http.Request):
    """One request of a caller, which is also the responder of its call.

    It pauses the answer while the caller reads more slowly than it comes.
    """

    call: forwarding.ForwardedCall | None = None
    caller_gone = False

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles a complete request without parsing its body as a form."""
        self.content.seek(0, 0)
        self.method, self.uri = command, path
        self.clientproto = version
        self.notifyFinish().addErrback(self._caller_left)
        try:
            self._begin()
        except errors.Refusal as refusal:
            self.channel.factory.ingress.refused(refusal, self)
            self.refuse(refusal)

    def _begin(self) -> None:
        ingress: Ingress = self.channel.factory.ingress
        headers = [
            (name, value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        ingress.on_request()
        ingress.check_ready()
        head = ingress.forwarder.dialect.read_call(headers)
        now = ingress.forwarder.clock.now()
        found = requesttargets.read(
            self.uri, headers, needs_host=self.clientproto == b"HTTP/1.1"
        )
        route, account = ingress.forwarder.admit(found.host, found.path, head)
        body = self.content.read()
        if len(body) > ingress.limits.body_bytes:
            raise errors.TooLarge("the request body exceeds the size limit")
        remaining = (
            head.remaining if head.remaining else DEFAULT_REQUEST_TIMEOUT
        )
        deadline = now + min(remaining, route.timeout)
        ingress.check_can_finish(now, deadline)
        self.call = forwarding.ForwardedCall(
            forwarder=ingress.forwarder,
            route=route,
            account=account,
            head=head,
            method=self.method,
            target=found.target,
            headers=found.headers,
            body=body,
            responder=self,
            arrived_at=now,
            deadline=deadline,
        )
        ingress.forwarder.begin(self.call)

    def _caller_left(self, _: failures.Failure) -> None:
        self.caller_gone = True
        if self.call is not None:
            self.call.caller_left()

    # ---- Responder ------------------------------------------------------

    def begin(self, status: int, headers: wire.HeaderList) -> None:
        """Sends status and headers."""
        if self.caller_gone:
            return
        self.setResponseCode(status, http.RESPONSES.get(status, b"-"))
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        self._close_if_stopping()
        if self.call is not None:
            self.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Pauses the answer while the caller is slow."""
        if self.call is not None:
            self.call.pause()

    def resumeProducing(self) -> None:
        """Resumes the answer."""
        if self.call is not None:
            self.call.resume()

    def stopProducing(self) -> None:
        """Does nothing; the loss of the connection is reported elsewhere."""

    def _close_if_stopping(self) -> None:
        if self.channel.factory.ingress.stopping:
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
            self.channel.persistent = False

    def finish(self) -> None:
        """Completes the answer; ends the connection of a stopping entry.

        An answer that began before the stop did not announce that.
        """
        if not self.caller_gone:
            if self.channel.factory.ingress.stopping:
                self.channel.persistent = False
            if self.producer is not None:
                self.unregisterProducer()
            super().finish()

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        if not self.caller_gone:
            super().write(data)

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal as the whole answer."""
        if self.caller_gone:
            return
        content = problems.body(refusal)
        headers = problems.headers(refusal)
        if refusal.retry_after is not None:
            dialect = self.channel.factory.ingress.forwarder.dialect
            headers[b"retry-after"] = dialect.retry_after(refusal.retry_after)
        headers[b"content-length"] = str(len(content)).encode()
        self.begin(refusal.status, list(headers.items()))
        self.write(content)
        self.finish()

    def abort(self) -> None:
        """Aborts the connection, so that the answer looks incomplete."""
        if not self.caller_gone:
            self.channel.transport.abortConnection()


class CallerChannel(http.HTTPChannel):
    """One connection of a caller."""

    requestFactory = CallerRequest

    def connectionMade(self) -> None:
        """Registers the connection."""
        super().connectionMade()
        self.factory.ingress.channels.add(self)

    def requestDone(self, request: http.Request) -> None:
        """Waits for the next request, by the limits in force."""
        super().requestDone(request)
        self.apply_limits()

    def apply_limits(self) -> None:
        """Applies limits that have changed since the connection was made."""
        limits = self.factory.ingress.limits
        self.totalHeadersSize = limits.header_bytes * 2
        seconds = _idle_seconds(limits)
        # No timeout runs while a request is in progress.
        if self.timeOut not in (None, seconds):
            self.setTimeout(seconds)

    def connectionLost(self, reason: typing.Any) -> None:
        """Removes the connection."""
        self.factory.ingress.channels.discard(self)
        super().connectionLost(reason)


class CallerFactory(http.HTTPFactory):
    """Creates the protocols of callers' connections."""

    protocol = CallerChannel
    noisy = False

    def __init__(self, ingress: "Ingress", reactor: typing.Any) -> None:
        """Creates a factory without an access log."""
        super().__init__(reactor=reactor)
        self.ingress = ingress

    def buildProtocol(self, addr: object) -> CallerChannel:
        """Returns the protocol of a new connection."""
        channel = CallerChannel()
        channel.factory = self
        channel.callLater = self.reactor.callLater
        limits = self.ingress.limits
        channel.timeOut = _idle_seconds(limits)
        channel.totalHeadersSize = limits.header_bytes * 2
        return channel

    def log(self, request: object) -> None:
        """Writes no access log; each call logs its outcome."""


def _idle_seconds(limits: routes.CallerLimits) -> float:
    """Returns how long a connection may be idle."""
    return limits.idle_timeout.total_seconds() + IDLE_SLACK_SECONDS


@attrs.frozen
class _Stop:
    """The times of a graceful shutdown, see `Ingress.begin_stop`."""

    accept_until: datetime.timedelta
    ends_at: datetime.timedelta


class Ingress:
    """Accepts callers while the entry has a route table."""

    def __init__(
        self,
        forwarder: forwarders.Forwarder,
        on_request: typing.Callable[[], None],
    ) -> None:
        """Starts with no connections."""
        self.forwarder = forwarder
        self.on_request = on_request
        self.channels: set[CallerChannel] = set()
        self._stop: _Stop | None = None

    @property
    def stopping(self) -> bool:
        """Returns whether this entry stops."""
        return self._stop is not None

    def begin_stop(
        self, accept_until: datetime.timedelta, ends_at: datetime.timedelta
    ) -> None:
        """Closes connections with their answers from now on.

        After `accept_until`, only requests are accepted whose deadline is not
        after `ends_at`.
        """
        self._stop = _Stop(accept_until, ends_at)

    @property
    def limits(self) -> routes.CallerLimits:
        """Returns the limits of the route table in force."""
        return self.forwarder.table.limits

    def apply_limits(self) -> None:
        """Applies the limits of the route table in force to connections."""
        for channel in self.channels:
            channel.apply_limits()

    def check_ready(self) -> None:
        """Raises Draining while the entry has no route table."""
        if not self.forwarder.table.version:
            raise errors.Draining(
                "this entry has no route table yet",
                retry_after=NOT_READY_RETRY
                + NOT_READY_SPREAD * self.forwarder.rng.random(),
            )

    def check_can_finish(
        self, now: datetime.timedelta, deadline: datetime.timedelta
    ) -> None:
        """Raises Draining if a request may outlast this process."""
        stop = self._stop
        if stop is None or now <= stop.accept_until:
            return
        if deadline > stop.ends_at:
            raise errors.Draining(
                "this entry is stopping", retry_after=datetime.timedelta(0)
            )

    def refused(self, refusal: errors.Refusal, request: http.Request) -> None:
        """Logs and counts a request that was refused before its call began."""
        self.forwarder.metrics.outcome("", "", refusal.kind)
        _log.info(
            "request refused",
            kind=refusal.kind,
            detail=refusal.detail,
            host=(request.getHeader(b"host") or b"").decode("latin-1"),
            path=request.uri[:120].decode("latin-1"),
            table_version=self.forwarder.table.version,
        )

    def close_idle(self) -> None:
        """Closes the connections on which no request is in progress."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()
