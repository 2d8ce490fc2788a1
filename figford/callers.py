"""The HTTP server for callers' requests to models and plain services."""

import datetime
import hashlib
import json
import typing

import attrs
from twisted.internet import interfaces
from twisted.internet import tcp
from twisted.web import http
from twisted.web import resource
from twisted.web import server
from zope import interface

from figford import access
from figford import dispatch
from figford import errors
from figford import gateway as gateways
from figford import modelcalls
from figford import operators
from figford import problems
from figford import routing
from figford import servicecalls
from figford import settings
from figford import upstreams

CHAT_PATH = b"/v1/chat/completions"
HEALTH_PATH = b"/health"
KEY_LENGTH_LIMIT = 200
MESSAGES_LIMIT = 1_000
HEADER_COUNT_LIMIT = 100
# Headers of a caller that are not forwarded to a plain service.
_STRIPPED_HEADERS = upstreams.HOP_BY_HOP_HEADERS | {
    b"authorization",
    b"expect",
}


class CallerRequest(server.Request):
    """A request with limits on its size and on the time to receive it."""

    def __init__(self, channel: http.HTTPChannel, *args: typing.Any) -> None:
        """Creates a request that has not been received yet."""
        super().__init__(channel, *args)
        self._received = 0
        self._refused = False
        self._arrival_timeout: typing.Any = None

    @property
    def _site(self) -> "CallerSite":
        return self.channel.site

    @property
    def _limits(self) -> settings.Limits:
        return self._site.limits

    def gotLength(self, length: int | None) -> None:
        """Starts the arrival timeout; refuses a body that is too long."""
        super().gotLength(length)
        self._arrival_timeout = self._site.reactor.callLater(
            self._limits.request_timeout.total_seconds(),
            self._arrival_timed_out,
        )
        if length is not None and length > self._limits.body_bytes:
            self._refuse_early(
                errors.TooLarge("the request body is too large")
            )

    def handleContentChunk(self, data: bytes) -> None:
        """Receives a part of the body, up to the limit."""
        self._received += len(data)
        if self._refused:
            return
        if self._received > self._limits.body_bytes:
            self._refuse_early(
                errors.TooLarge("the request body is too large")
            )
            return
        super().handleContentChunk(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles the request after all of it has arrived."""
        self._cancel_arrival_timeout()
        if self._refused:
            return
        super().requestReceived(command, path, version)

    def connectionLost(self, reason: typing.Any) -> None:
        """Cancels the arrival timeout when the caller disconnects."""
        self._cancel_arrival_timeout()
        super().connectionLost(reason)

    def _cancel_arrival_timeout(self) -> None:
        timeout_call, self._arrival_timeout = self._arrival_timeout, None
        if timeout_call is not None and timeout_call.active():
            timeout_call.cancel()

    def _arrival_timed_out(self) -> None:
        self._arrival_timeout = None
        self._refuse_early(
            errors.SlowCaller("the request did not arrive in time")
        )

    def _refuse_early(self, refusal: errors.Refusal) -> None:
        """Refuses a request before its body is complete and disconnects."""
        if self._refused or self._disconnected:
            return
        self._refused = True
        self._cancel_arrival_timeout()
        self._site.count_refusal(refusal)
        body = problems.body(refusal)
        head = f"HTTP/1.1 {refusal.status} Refused\r\n".encode()
        fields = {
            **problems.headers(refusal),
            b"content-length": str(len(body)).encode(),
            b"connection": b"close",
        }
        lines = [name + b": " + value for name, value in fields.items()]
        self.channel.transport.write(
            head + b"\r\n".join(lines) + b"\r\n\r\n" + body
        )
        self.channel.loseConnection()


class CallerSite(server.Site):
    """The site of the callers' port, with a limit on open connections."""

    def __init__(
        self,
        root: resource.Resource,
        limits: settings.Limits,
        reactor: typing.Any,
        count_refusal: typing.Callable[[errors.Refusal], None],
    ) -> None:
        """Creates a site without connections."""
        super().__init__(
            root,
            requestFactory=CallerRequest,
            timeout=int(limits.idle_timeout.total_seconds()),
            reactor=reactor,
        )
        self.limits = limits
        self.count_refusal = count_refusal
        self.displayTracebacks = False
        self.channels: set[typing.Any] = set()

    def buildProtocol(self, addr: object) -> typing.Any:
        """Returns the protocol of a connection; None over the limit."""
        if len(self.channels) >= self.limits.connections:
            self.count_refusal(
                errors.TooManyRequests("too many open connections")
            )
            return None
        channel = super().buildProtocol(addr)
        self.channels.add(channel)
        channel._channel.totalHeadersSize = self.limits.header_bytes
        channel._channel.maxHeaders = HEADER_COUNT_LIMIT
        lost = channel.connectionLost

        def connection_lost(reason: typing.Any) -> None:
            self.channels.discard(channel)
            lost(reason)

        channel.connectionLost = connection_lost
        return channel

    def close_idle(self) -> None:
        """Closes connections without requests once their answers are sent."""
        for channel in [item._channel for item in self.channels]:
            if not channel.requests and not channel.transport.disconnecting:
                _close_when_sent(channel)

    def log(self, request: typing.Any) -> None:
        """Writes no access log; requests are counted in metrics."""


def _close_when_sent(channel: typing.Any) -> None:
    """Closes a connection after all of its data was sent."""
    channel.loseConnection()
    below_tls = getattr(channel.transport, "transport", None)
    if below_tls is not None:
        # TLS alone would wait until the caller confirms the end.
        below_tls.loseConnection()


@interface.implementer(interfaces.IPushProducer)
class HttpResponder:
    """Sends the answer of a call to its caller."""

    def __init__(self, request: server.Request) -> None:
        """Wraps a request."""
        self._request = request
        self._call: typing.Any = None
        self._finished = False

    def attach(self, call: typing.Any) -> None:
        """Sets the call that is notified when the caller disconnects."""
        self._call = call
        self._request.notifyFinish().addErrback(self._caller_left)

    def _caller_left(self, _: object) -> None:
        if not self._finished:
            self._finished = True
            self._call.caller_left()

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Sends status and headers."""
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.responseHeaders.setRawHeaders(name, [value])
        if hasattr(self._call, "pause"):
            self._request.registerProducer(self, True)

    def write(self, data: bytes) -> None:
        """Sends a part of the body at once."""
        if self._finished:
            return
        self._request.write(data)
        transport = self._request.channel.transport
        if isinstance(transport, tcp.Connection):
            # Otherwise the reactor would first handle all sockets that have
            # data to read.
            transport.doWrite()

    def finish(self) -> None:
        """Completes the answer."""
        if self._finished:
            return
        self._finished = True
        if self._request.producer is not None:
            self._request.unregisterProducer()
        self._request.finish()

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal as the whole answer."""
        if self._finished:
            return
        self._finished = True
        problems.write(self._request, refusal)

    def abort(self) -> None:
        """Aborts the connection."""
        self._finished = True
        self._request.channel.abortConnection()

    def pauseProducing(self) -> None:
        """Pauses the call while the caller reads too slowly."""
        self._call.pause()

    def resumeProducing(self) -> None:
        """Resumes the call when the caller reads again."""
        self._call.resume()

    def stopProducing(self) -> None:
        """Does nothing; `notifyFinish` reports the end of the connection."""


@attrs.frozen
class ChatBody:
    """The fields of a model request's body that figford uses."""

    model: str
    prompt: str
    streaming: bool


def read_chat_body(body: bytes) -> ChatBody:
    """Returns the used fields of a chat request; raises BadRequest."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.BadRequest("the body is not JSON") from error
    if not isinstance(document, dict):
        raise errors.BadRequest("the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str):
        raise errors.BadRequest("model must be a string")
    chat_messages = document.get("messages")
    if (
        not isinstance(chat_messages, list)
        or not 0 < len(chat_messages) <= MESSAGES_LIMIT
    ):
        raise errors.BadRequest(
            f"messages must be a list of 1 to {MESSAGES_LIMIT} objects"
        )
    parts = []
    for message in chat_messages:
        if not isinstance(message, dict):
            raise errors.BadRequest("each message must be an object")
        parts.append(str(message.get("content", "")))
    streaming = document.get("stream", False)
    if not isinstance(streaming, bool):
        raise errors.BadRequest("stream must be true or false")
    return ChatBody(model, "\n".join(parts), streaming)


class CallerResource(resource.Resource):
    """Serves all paths of the callers' port."""

    isLeaf = True

    def __init__(self, gateway: gateways.Gateway) -> None:
        """Creates the resource of a gateway."""
        super().__init__()
        self._gateway = gateway

    def render(self, request: server.Request) -> typing.Any:
        """Handles a request; sends refusals as problem documents."""
        try:
            self._handle(request)
        except errors.Refusal as refusal:
            self._gateway.metrics.outcome("", "", refusal.kind)
            problems.write(request, refusal)
        return server.NOT_DONE_YET

    def _handle(self, request: server.Request) -> None:
        if request.path == HEALTH_PATH:
            _write_health(request, self._gateway)
            return
        self._gateway.check_ready()
        authorization = request.getHeader("authorization")
        account = self._gateway.access.account(authorization)
        if request.path == CHAT_PATH:
            self._begin_model_request(request, account)
        else:
            self._begin_service_call(request, account)

    # ---- Models ---------------------------------------------------------

    def _begin_model_request(
        self, request: server.Request, account: operators.ClientAccount
    ) -> None:
        if request.method != b"POST":
            raise errors.BadRequest("model requests must use POST")
        body = request.content.read()
        chat = read_chat_body(body)
        group, grant = self._gateway.access.model(account, chat.model)
        now = self._gateway.clock.now()
        limit = self._gateway.limits.first_token_timeout
        model_request = dispatch.ModelRequest(
            request=self._gateway.new_request_id(),
            account=account,
            request_class=grant.request_class,
            serving_group=group,
            prefix=routing.prefix_hash(chat.prompt),
            deadline=now + _first_token_timeout(request, limit),
        )
        responder = HttpResponder(request)
        call = modelcalls.ModelCall(
            gateway=self._gateway,
            request=model_request,
            body=body,
            streaming=chat.streaming,
            responder=responder,
            started_at=now,
        )
        responder.attach(call)
        self._gateway.begin_model_call(call)

    # ---- Plain services -------------------------------------------------

    def _begin_service_call(
        self, request: server.Request, account: operators.ClientAccount
    ) -> None:
        path = request.path.decode("latin-1")
        service, grant = self._gateway.access.service(account, path)
        method = request.method.decode("latin-1")
        rule = access.path_rule(service, method, path)
        body = request.content.read()
        template = upstreams.PlainRequest(
            method=request.method,
            address="",
            uri=request.uri,
            headers=_forwarded_headers(request),
            body=body,
        )
        responder = HttpResponder(request)
        now = self._gateway.clock.now()
        if rule is not None and rule.repeatable:
            call: servicecalls.ServiceCall = servicecalls.RepeatableCall(
                self._gateway,
                service,
                grant,
                rule.request_class,
                template,
                responder,
                now,
            )
        else:
            call = servicecalls.NonRepeatableCall(
                self._gateway,
                service,
                grant,
                (
                    rule.request_class
                    if rule
                    else operators.RequestClass.BOOKING
                ),
                template,
                responder,
                now,
                call=self._claim(request, account, body),
            )
        responder.attach(call)
        self._gateway.begin_service_call(call)

    def _claim(
        self,
        request: server.Request,
        account: operators.ClientAccount,
        body: bytes,
    ) -> typing.Any:
        key = request.getHeader("idempotency-key")
        if key is not None and not 0 < len(key) <= KEY_LENGTH_LIMIT:
            raise errors.BadRequest(
                f"Idempotency-Key must have 1 to {KEY_LENGTH_LIMIT} characters"
            )
        digest = hashlib.sha256(
            b"\0".join([request.method, request.uri, body])
        ).hexdigest()
        return self._gateway.new_claim(account.name, key, digest)


def _first_token_timeout(
    request: server.Request, limit: datetime.timedelta
) -> datetime.timedelta:
    """Returns how long the caller waits for the first token."""
    header_value = request.getHeader("figford-first-token-timeout")
    if header_value is None:
        return limit
    try:
        seconds = float(header_value)
    except ValueError as error:
        raise errors.BadRequest(
            "Figford-First-Token-Timeout must be a number of seconds"
        ) from error
    if not 0 < seconds <= limit.total_seconds():
        raise errors.BadRequest(
            "Figford-First-Token-Timeout must be over 0 and at most"
            f" {limit.total_seconds():g} seconds"
        )
    return datetime.timedelta(seconds=seconds)


def _forwarded_headers(request: server.Request) -> list[tuple[bytes, bytes]]:
    return [
        (name, value)
        for name, values in request.requestHeaders.getAllRawHeaders()
        for value in values
        if name.lower() not in _STRIPPED_HEADERS
    ]


def _write_health(request: server.Request, gateway: gateways.Gateway) -> None:
    try:
        gateway.check_ready()
    except errors.Refusal as refusal:
        problems.write(request, refusal)
        return
    request.setHeader(b"content-type", b"text/plain")
    request.write(b"ready\n")
    request.finish()
