"""Small HTTP pages that a process serves beside its callers' port."""

import typing

from twisted.web import http

IDLE_SECONDS = 60


class PagesFactory(http.HTTPFactory):
    """Serves one kind of request; `port` is what its pages call."""

    noisy = False

    def __init__(
        self,
        request: type[http.Request],
        port: typing.Any,
        reactor: typing.Any,
    ) -> None:
        """Makes a factory without a log file of its own."""
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
        """Writes nothing."""


class MetricsRequest(http.Request):
    """A question for the metrics, or whether the process does its work."""

    def process(self) -> None:
        """Answers at once."""
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
            case _:
                self._answer(http.NOT_FOUND, b"")

    def _answer(self, status: int, content: bytes) -> None:
        self.setResponseCode(status)
        length = str(len(content)).encode()
        self.responseHeaders.setRawHeaders(b"content-length", [length])
        self.write(content)
        self.finish()
