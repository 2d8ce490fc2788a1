"""HTTP pages that a process serves on ports other than the callers'."""

import json
import typing

import attrs
from twisted.web import http

IDLE_SECONDS = 60
MAX_TRAIT_BYTES = 200
# Of the body of one request, and of all that a port receives at the moment.
BODY_LIMIT_BYTES = 16 << 20
BODIES_LIMIT_BYTES = 32 << 20
# A request must have arrived this long after its first byte.
ARRIVAL_SECONDS = 30
_TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


@attrs.define
class BodySizes:
    """The bodies that one port receives at the moment, in bytes."""

    received: int = 0
    refused: int = 0


class BoundedChannel(http.HTTPChannel):
    """A connection whose requests are bounded in size and time.

    Otherwise the library stores each body in a file, whatever its size.
    """

    sizes: BodySizes
    _body_bytes = 0
    _is_refused = False
    _arrival: typing.Any = None

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._is_refused:
            return
        if self._arrival is None:
            self._arrival = self.callLater(ARRIVAL_SECONDS, self._expire)
        super().dataReceived(data)

    def check_body(self, size: int) -> bool:
        """Counts a part of a body; returns whether it may be stored."""
        self._body_bytes += size
        self.sizes.received += size
        if (
            self._body_bytes <= BODY_LIMIT_BYTES
            and self.sizes.received <= BODIES_LIMIT_BYTES
        ):
            return True
        self._refuse()
        return False

    def _refuse(self) -> None:
        if self._is_refused:
            return
        self._is_refused = True
        self.sizes.refused += 1
        self._arrived()
        self.transport.write(_TOO_LARGE)
        self.loseConnection()

    def allContentReceived(self) -> None:
        """Handles a request that has arrived."""
        self._arrived()
        if not self._is_refused:
            super().allContentReceived()

    def connectionLost(self, reason: typing.Any) -> None:
        """Stops to count what the connection has received."""
        self._arrived()
        super().connectionLost(reason)

    def _arrived(self) -> None:
        self.sizes.received -= self._body_bytes
        self._body_bytes = 0
        if self._arrival is not None and self._arrival.active():
            self._arrival.cancel()
        self._arrival = None

    def _expire(self) -> None:
        self._arrival = None
        self.sizes.refused += 1
        self.transport.abortConnection()


class BoundedBody:
    """Makes a request store only what its channel allows."""

    channel: BoundedChannel

    def handleContentChunk(self, data: bytes) -> None:
        """Stores a part of the body."""
        if self.channel.check_body(len(data)):
            super().handleContentChunk(data)


class PagesFactory(http.HTTPFactory):
    """Serves one class of requests; `port` is the object that they query."""

    noisy = False

    def __init__(
        self,
        request: type[http.Request],
        port: typing.Any,
        reactor: typing.Any,
    ) -> None:
        """Creates a factory without an access log."""
        super().__init__(reactor=reactor, timeout=IDLE_SECONDS)
        self._request = request
        self.port = port
        self.sizes = BodySizes()

    def buildProtocol(self, addr: object) -> http.HTTPChannel:
        """Returns the protocol of a new connection."""
        channel = BoundedChannel()
        channel.sizes = self.sizes
        channel.factory = self
        channel.requestFactory = self._request
        channel.callLater = self.reactor.callLater
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: object) -> None:
        """Writes no access log."""


class MetricsRequest(BoundedBody, http.Request):
    """A request for metrics, readiness or verdicts of the process."""

    def process(self) -> None:
        """Answers the request."""
        port = self.channel.factory.port
        match self.path:
            case b"/metrics":
                accepts = self.requestHeaders.getRawHeaders("accept", [])
                content, headers = port.render_metrics(accepts)
                for name, value in headers.items():
                    self.responseHeaders.setRawHeaders(name, [value])
                self._answer(http.OK, content)
            case b"/health":
                ready = port.is_ready()
                status = http.OK if ready else http.SERVICE_UNAVAILABLE
                self._answer(status, b"")
            case b"/verdicts" if hasattr(port, "list_verdicts"):
                verdicts = json.dumps(port.list_verdicts()).encode()
                self._answer(http.OK, verdicts)
            case b"/verdicts/lift" if (
                hasattr(port, "lift_verdict") and self.method == b"POST"
            ):
                trait = self.content.read(MAX_TRAIT_BYTES)
                lifted = port.lift_verdict(trait.decode("latin-1").strip())
                self._answer(http.ACCEPTED if lifted else http.NOT_FOUND, b"")
            case _:
                self._answer(http.NOT_FOUND, b"")

    def _answer(self, status: int, content: bytes) -> None:
        self.setResponseCode(status)
        length = str(len(content)).encode()
        self.responseHeaders.setRawHeaders(b"content-length", [length])
        self.write(content)
        self.finish()
