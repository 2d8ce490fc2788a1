"""A stand-in for a plain service: reads, and bookings that must run once."""

import json
import signal
import time
import typing

import attrs
from twisted.internet import task
from twisted.web import resource
from twisted.web import server
import typer

from figford import messages
from figford.tools import announcing


@attrs.define(eq=False)
class Service:
    """One stand-in service; counts the executions of each key."""

    reactor: typing.Any
    name: str
    address: str
    data_centre: str
    service: str
    delay_seconds: float = 0.0
    leaving: bool = False
    active_requests: int = 0
    runs_by_key: dict[str, int] = attrs.field(factory=dict)
    incarnation: int = attrs.field(factory=lambda: int(time.time() * 1000))

    def announcement(self) -> messages.Announcement:
        """Returns the service's announcement of its state."""
        state = messages.UpstreamState.SERVING
        if self.leaving:
            state = messages.UpstreamState.LEAVING
        return messages.Announcement(
            upstream=self.name,
            incarnation=self.incarnation,
            sequence=0,
            data_centre=self.data_centre,
            fabric_domain="none",
            address=self.address,
            kind=messages.UpstreamKind.SERVICE,
            accelerators=0,
            state=state,
            service=self.service,
            load=messages.Load(running=self.active_requests),
        )


class ServiceResource(resource.Resource):
    """The HTTP resource of all paths of the service."""

    isLeaf = True

    def __init__(self, service: Service) -> None:
        """Creates the resource."""
        super().__init__()
        self._service = service

    def render_GET(self, request: server.Request) -> typing.Any:
        """Answers a read: free places, or executions by key."""
        service = self._service
        if request.path.endswith(b"/runs"):
            document: dict = dict(service.runs_by_key)
        else:
            document = {"service": service.service, "free": 7}
        return self._encode(request, document)

    def render_POST(self, request: server.Request) -> typing.Any:
        """Executes a booking and counts it under its key, or else its body."""
        service = self._service
        key = request.getHeader("idempotency-key")
        key = key or request.content.read().decode()
        runs = service.runs_by_key.get(key, 0) + 1
        service.runs_by_key[key] = runs
        return self._respond(request, {"booked": key, "runs": runs})

    @staticmethod
    def _encode(request: server.Request, document: dict) -> bytes:
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(document, sort_keys=True).encode()

    def _respond(self, request: server.Request, document: dict) -> typing.Any:
        body = self._encode(request, document)
        if not self._service.delay_seconds:
            return body
        self._service.active_requests += 1
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)

        def send_response() -> None:
            self._service.active_requests -= 1
            if not disconnects:
                request.write(body)
                request.finish()

        self._service.reactor.callLater(
            self._service.delay_seconds, send_response
        )
        return server.NOT_DONE_YET


def run(
    name: str = "service-1",
    address: str = "127.0.0.1:9200",
    data_centre: str = "dc1",
    service: str = "bookings",
    announce: str = "",
    delay_seconds: float = 0.0,
) -> None:
    """Runs a stand-in service."""
    from twisted.internet import reactor

    instance = Service(
        reactor, name, address, data_centre, service, delay_seconds
    )
    site = server.Site(ServiceResource(instance), timeout=60)
    site.log = lambda request: None
    host, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), site, interface=host)
    entries = [item for item in announce.split(",") if item]
    announcer = None
    if entries:
        announcer = announcing.Announcer(
            reactor, entries, instance.announcement
        )
        announcer.announce()

    def leave() -> None:
        instance.leaving = True
        if announcer is not None:
            announcer.announce()
        task.LoopingCall(check).start(0.2)

    def check() -> None:
        if not instance.active_requests:
            reactor.stop()

    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(leave))
    reactor.run(installSignalHandlers=False)


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
