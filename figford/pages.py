"""HTTP pages that a process serves on ports other than the callers'."""

import json
import typing

from twisted.web import http

IDLE_SECONDS = 60
MAX_TRAIT_BYTES = 200


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

    def buildProtocol(self, addr: object) -> http.HTTPChannel:
        """Returns the protocol of a new connection."""
        channel = http.HTTPChannel()
        channel.factory = self
        channel.requestFactory = self._request
        channel.callLater = self.reactor.callLater
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: object) -> None:
        """Writes no access log."""


class MetricsRequest(http.Request):
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
