"""Simulates the platform's upstreams in one process.

The simulation follows the published protocol: engines form groups and stream
events; plain upstreams answer calls. All report to the controllers given on
the command line and switch to the next one after a failure.
"""

import collections
import datetime
import json
import random
import sys
import time
import typing

import attrs
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from figford import fleetmessages
from figford import formations
from figford import routes
from figford.tests.platform import crashmeter
from figford.tests.platform import limitmeter
from figford.tests.platform import noticemeter
from figford.tests.platform import sizemeter
from figford.tools import enginefleet
from figford.tools import retrymeter

HEARTBEAT_SECONDS = 0.3
STEP_SECONDS = 0.05
HOST = "127.0.0.1"
_ENDLESS_HEAD = (
    b"HTTP/1.1 200 OK\r\nFigford-Attempt-Id: ATTEMPT\r\n"
    b"Figford-Response-Signature: s\r\n"
)
_ENDLESS_STREAM = _ENDLESS_HEAD + b"Content-Type: text/event-stream\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_EVENT = b"id: 1\ndata: piece 1\n\n"
# What comes before the element of an answer that never ends, and what is
# repeated of it.
ENDLESS_BY_KIND = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "head line": (_ENDLESS_HEAD + b"X-Long: ", b"x"),
    "head": (_ENDLESS_HEAD, b"X-More: y\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk header": (_ENDLESS_HEAD + _CHUNKED, b"0"),
    "trailer": (
        _ENDLESS_STREAM + _CHUNKED + b"16\r\n" + _EVENT + b"\r\n0\r\n",
        b"X-More: y\r\n",
    ),
    "body": (_ENDLESS_HEAD + b"\r\n", b"x"),
    "chunked body": (_ENDLESS_HEAD + _CHUNKED, b"1\r\nx\r\n"),
    "event": (_ENDLESS_STREAM + b"\r\n" + _EVENT, b"x"),
    "chunked event": (_ENDLESS_STREAM + _CHUNKED, b"1\r\nx\r\n"),
    "comments": (
        _ENDLESS_STREAM + b"\r\n" + _EVENT,
        b": " + b"x" * 2000 + b"\n\n",
    ),
    "body of a rejection": (
        b"HTTP/1.1 503 Busy\r\nFigford-Attempt-Id: ATTEMPT\r\n"
        b"Figford-Not-Executed: 1\r\n\r\n",
        b"x",
    ),
}
# Prefix of the line printed for an order that would break an invariant.
INVARIANT_BROKEN = "invariant broken"
ENGINE_COUNT = 6
PLAIN_COUNT = 3
EVENTS_PER_STREAM = 6
EVENT_INTERVAL_SECONDS = 0.02
# A caller's header with other intervals in seconds, separated by commas: after
# each event in turn, also after the last one, before the end.
INTERVAL_HEADER = "x-event-interval"
# A caller's header with the bytes that are added to each event.
PADDING_HEADER = "x-event-padding"
# A request that crashes its upstream does so this long after it arrived, and
# the upstream is back after some more.
CRASH_SECONDS = 0.05
DOWN_SECONDS = 1.0
SECOND = datetime.timedelta(seconds=1)
# The retry budget of entries whose settings name none.
RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0
RETRY_WINDOW = 10 * SECOND
MODELS = {
    "large": routes.Model("large", 4, 0.75, 1.0, 0.3 * SECOND, 0.1 * SECOND),
    "small": routes.Model("small", 1, 0.25, 1.0, 0.3 * SECOND, 0.1 * SECOND),
}
_ACTION_BY_NAME = {action.value: action for action in formations.Action}
_STATUS_BY_RESULT = {
    formations.Result.BEGUN: 202,
    formations.Result.HELD: 200,
    formations.Result.REFUSED: 409,
    formations.Result.FENCED: 412,
}


def now() -> datetime.timedelta:
    """Returns monotonic time."""
    return datetime.timedelta(seconds=time.monotonic())


@attrs.define
class ConfiguredFleet(enginefleet.EngineFleet):
    """Engines whose models have the sizes that manifests name."""

    sizes: sizemeter.SizeMeter = attrs.field(factory=sizemeter.SizeMeter)

    def __attrs_post_init__(self) -> None:
        """Starts with the sizes of the first manifest."""
        self.sizes.name({m.name: m.size for m in self.models.values()})

    def _allows_size(self, model: str, size: int) -> bool:
        return self.sizes.allows(model, size, now())


def heartbeat(engine: enginefleet.Engine, plain: bool) -> bytes:
    """Returns the body of a heartbeat."""
    report = engine.report()
    item: dict[str, typing.Any] = {
        "service": report.service,
        "address": report.address,
        "zone": report.data_centre,
        "version": "v1",
        "slots": report.slots,
        "state": "draining" if report.leaving else "ready",
        "cold_remaining_ms": 0,
        "sequence": report.sequence,
        "born": report.incarnation,
    }
    if not plain:
        item |= weights_and_group(engine)
    return json.dumps(item).encode()


def weights_and_group(engine: enginefleet.Engine) -> dict[str, typing.Any]:
    """Returns what heartbeats and answers to queries tell of an engine."""
    seat = engine.seat
    item: dict[str, typing.Any] = {
        "domain": engine.domain,
        "models": [],
        "staged": engine.staged,
    }
    if seat is not None:
        item["models"] = [{"name": seat.model, "version": 1, "adapters": []}]
        item["group"] = {
            "name": seat.group,
            "epoch": seat.epoch,
            "rank": seat.members.index(engine.name),
            "state": seat.state.value,
        }
    return item


@interface.implementer(iweb.IBodyProducer)
class Body:
    """A request body held in memory."""

    def __init__(self, body: bytes) -> None:
        self.body, self.length = body, len(body)

    def startProducing(self, consumer: typing.Any) -> typing.Any:
        """Writes the body at once."""
        consumer.write(self.body)
        return task.deferLater(reactor, 0, lambda: None)

    def pauseProducing(self) -> None:
        """Does nothing."""

    def resumeProducing(self) -> None:
        """Does nothing."""

    def stopProducing(self) -> None:
        """Does nothing."""


class UpstreamRequest(http.Request):
    """A request or an order received by one upstream."""

    def process(self) -> None:
        """Handles the request."""
        upstream: Upstream = self.channel.factory.upstream
        path = self.path.decode()
        if path == "/figford/order":
            self._order(upstream, json.loads(self.content.read()))
        elif path == "/figford/report":
            item = {"sequence": upstream.engine.orders_begun}
            self._answer(200, item | weights_and_group(upstream.engine))
        elif path == "/runs":
            self._answer(200, collections.Counter(upstream.runs))
        elif path == "/limit":
            self._set_limit(upstream.meter)
        elif path == "/crashing":
            self._set_crashing(upstream.crashing)
        elif path == "/notices":
            item = json.loads(self.content.read())
            upstream.notices.pause_seconds = item.get("pause_seconds")
            upstream.notices.leaving = item.get("leaving", False)
            self._answer(200, {})
        elif path == "/endless":
            self._set_endless(upstream)
        elif path == "/shed":
            self._set_shedding(upstream)
        elif path == "/sizes":
            self._set_sizes(upstream.fleet.sizes)
        else:
            self._count(upstream)
            self._count_repeats(upstream)
            self._serve(upstream)

    def _set_limit(self, meter: limitmeter.LimitMeter) -> None:
        """Sets the limit that a POST names; answers with what was counted."""
        if self.method == b"POST":
            meter.set_rate(json.loads(self.content.read())["rate"])
        self._answer(200, {"total": meter.total, "most": meter.most})

    def _set_sizes(self, meter: sizemeter.SizeMeter) -> None:
        """Sets the sizes that a POST names, or that it acknowledges.

        Tells in which groups requests began.
        """
        if self.method == b"POST":
            sizes = json.loads(self.content.read())
            if sizes is None:
                meter.acknowledge(now())
            else:
                meter.name(sizes)
        self._answer(200, {"begun": meter.begun})

    def _set_crashing(
        self, meter_by_name: dict[str, crashmeter.CrashMeter]
    ) -> None:
        """Adds what a POST names; tells what was counted."""
        if self.method == b"POST":
            item = json.loads(self.content.read())
            meter_by_name[item["name"]] = crashmeter.CrashMeter(
                item["counted_crashes"]
            )
        counted = {
            name: {"crashes": meter.crashes, "requests": meter.requests}
            for name, meter in meter_by_name.items()
        }
        self._answer(200, counted)

    def _give_notice(self, upstream: "Upstream") -> bool:
        """Says that the upstream leaves; rejects a request with a pause.

        What comes in the pause is served, and counted.
        """
        notices = upstream.notices
        violation = notices.record_request(now())
        if violation is not None:
            print(
                f"{INVARIANT_BROKEN}: {upstream.engine.name}: {violation}",
                flush=True,
            )
        if notices.leaving:
            self.setHeader("server-leaving", "1")
            notices.tell_leaving(now())
        if notices.pause_seconds is None or notices.is_paused(now()):
            return False
        pause = notices.pause_seconds
        notices.ask_for_pause(pause * SECOND, now())
        self.responseHeaders.removeHeader("figford-response-signature")
        self.setHeader("figford-not-executed", "1")
        self.setHeader("retry-after", str(pause))
        self._answer(503, {})
        return True

    def _set_endless(self, upstream: "Upstream") -> None:
        """Sets what answers never end; tells how many are under way."""
        if self.method == b"POST":
            upstream.endless = json.loads(self.content.read())["kind"]
        self._answer(200, {"open": upstream.endless_open})

    def _crashing_meter(
        self, upstream: "Upstream"
    ) -> crashmeter.CrashMeter | None:
        """Returns the meter of what makes this request crash upstreams."""
        prefix = self.getHeader("figford-prompt-prefix") or ""
        names = [item.partition(":")[0] for item in prefix.split(",")]
        path = self.path.decode()
        account = self.getHeader("figford-tenant")
        for name in (*names, path, f"{path} {account}"):
            if name in upstream.crashing:
                return upstream.crashing[name]
        return None

    def _crash(
        self, upstream: "Upstream", meter: crashmeter.CrashMeter
    ) -> None:
        """Counts a request that crashes its upstream unless it is closed."""
        violation = meter.record_request(now())
        if violation is not None:
            print(
                f"{INVARIANT_BROKEN}: {upstream.engine.name}: {violation}",
                flush=True,
            )

        def crash() -> None:
            if not self._disconnected and upstream.engine.up:
                meter.record_crash(now())
                upstream.crash()

        reactor.callLater(CRASH_SECONDS, crash)

    def _count(self, upstream: "Upstream") -> None:
        """Counts a request against the upstream's limit, and names it."""
        meter = upstream.meter
        violation = meter.record_request(now())
        if violation is not None:
            print(
                f"{INVARIANT_BROKEN}: {upstream.engine.name}: {violation}",
                flush=True,
            )
        if meter.rate is not None:
            self.setHeader("server-limit", str(meter.rate))
            meter.record_answer(now())

    def _set_shedding(self, upstream: "Upstream") -> None:
        """Sets what a POST names; tells of the arrivals at the service."""
        meter = upstream.repeats
        if self.method == b"POST":
            item = json.loads(self.content.read())
            upstream.shed_share = item["share"]
            meter.ratio = item["ratio"]
            meter.reserve = item["reserve"]
        counted = {
            "requests": len(meter.requests),
            "repeats": len(meter.repeats),
        }
        self._answer(200, counted)

    def _count_repeats(self, upstream: "Upstream") -> None:
        """Counts an arrival; the first one stands for the request."""
        meter = upstream.repeats
        attempt = self.getHeader("figford-attempt-id") or ""
        if meter.record_arrival(attempt, now()):
            violation = meter.violation(now())
        else:
            meter.record_request(now())
            violation = None
        if violation is not None:
            print(
                f"{INVARIANT_BROKEN}: {upstream.engine.service}: {violation}",
                flush=True,
            )

    def _answer(self, status: int, item: dict) -> None:
        self.setResponseCode(status)
        self.setHeader("content-type", "application/json")
        self.write(json.dumps(item).encode())
        self.finish()

    def _order(self, upstream: "Upstream", item: dict) -> None:
        order = formations.GroupOrder(
            upstream=upstream.engine.name,
            incarnation=upstream.engine.incarnation,
            address="",
            action=_ACTION_BY_NAME[item["op"]],
            fence=item.get("fence", 0),
            expected=item.get("expected"),
            group=item.get("group", ""),
            epoch=item.get("epoch", 0),
            model=item.get("model", ""),
            members=tuple(item.get("members", ())),
        )
        try:
            result = upstream.fleet.order(order, now())
        except enginefleet.InvariantViolation as error:
            print(f"{INVARIANT_BROKEN}: {error}", flush=True)
            result = formations.Result.REFUSED
        self._answer(_STATUS_BY_RESULT[result], {})

    def _serve(self, upstream: "Upstream") -> None:
        engine = upstream.engine
        attempt = self.getHeader("figford-attempt-id")
        self.setHeader("figford-attempt-id", attempt)
        expected = self.getHeader("figford-expect-instance")
        seat = engine.seat
        is_head = (
            seat is not None
            and seat.members[0] == engine.name
            and seat.state is fleetmessages.SeatState.OPEN
        )
        if expected != engine.name or not (upstream.plain or is_head):
            self.setHeader("figford-instance-id", engine.name)
            self._answer(421, {})
            return
        self.setHeader("figford-response-signature", f"sig-{attempt}")
        self.setHeader("figford-server-load", "1,0,13")
        if self._give_notice(upstream):
            return
        if random.random() < upstream.shed_share:
            self.responseHeaders.removeHeader("figford-response-signature")
            self.setHeader("figford-not-executed", "1")
            self._answer(503, {})
            return
        if upstream.endless is not None:
            EndlessAnswer(upstream, self, attempt).begin()
            return
        meter = self._crashing_meter(upstream)
        if meter is not None:
            self._crash(upstream, meter)
            return
        upstream.runs.append(attempt)
        if upstream.plain:
            answer = {
                "ran": upstream.runs.count(attempt),
                "account": self.getHeader("figford-tenant"),
                "key": self.getHeader("x-api-key"),
            }
            self._answer(200, answer)
            return
        violation = upstream.fleet.sizes.record_request(
            attempt, seat.model, len(seat.members), now()
        )
        if violation is not None:
            print(f"{INVARIANT_BROKEN}: {violation}", flush=True)
        self.setHeader("content-type", "text/event-stream")
        after = int(self.getHeader("last-event-id") or 0)
        text = self.getHeader(INTERVAL_HEADER) or str(EVENT_INTERVAL_SECONDS)
        self._stream(after + 1, [float(item) for item in text.split(",")])

    def _stream(self, number: int, intervals_seconds: list[float]) -> None:
        if self._disconnected:
            return
        if number > EVENTS_PER_STREAM:
            self.finish()
            return
        padding = "x" * int(self.getHeader(PADDING_HEADER) or 0)
        event = f"id: {number}\ndata: piece {number}{padding}\n\n"
        self.write(event.encode())
        interval = intervals_seconds[(number - 1) % len(intervals_seconds)]
        reactor.callLater(
            interval, self._stream, number + 1, intervals_seconds
        )


class EndlessAnswer:
    """Sends an answer of which one element never ends."""

    def __init__(
        self, upstream: "Upstream", request: UpstreamRequest, attempt: str
    ) -> None:
        """Sends on the connection of a request, below its channel."""
        self._upstream = upstream
        self._request = request
        self._transport = request.channel.transport
        self._before, self._repeated = ENDLESS_BY_KIND[upstream.endless]
        self._before = self._before.replace(b"ATTEMPT", attempt.encode())

    def begin(self) -> None:
        """Sends what comes before the endless element."""
        self._upstream.endless_open += 1
        self._transport.write(self._before)
        self._go_on()

    def _go_on(self) -> None:
        if self._request._disconnected:
            self._upstream.endless_open -= 1
            return
        if len(self._transport.dataBuffer) < 1 << 20:
            count = max(1, 65536 // len(self._repeated))
            self._transport.write(self._repeated * count)
        reactor.callLater(0.002, self._go_on)


class UpstreamFactory(http.HTTPFactory):
    """Serves the port of one upstream."""

    noisy = False

    def __init__(self, upstream: "Upstream") -> None:
        """Creates a factory without an access log."""
        super().__init__(timeout=60)
        self.upstream = upstream

    def buildProtocol(self, addr: object) -> http.HTTPChannel:
        """Returns the protocol of a new connection."""
        channel = http.HTTPChannel()
        channel.factory = self
        channel.requestFactory = UpstreamRequest
        self.upstream.channels.append(channel)
        return channel

    def log(self, request: object) -> None:
        """Writes no access log."""


@attrs.define
class Upstream:
    """One upstream: its engine, its port and its heartbeats."""

    engine: enginefleet.Engine
    plain: bool
    fleet: ConfiguredFleet
    controllers: list[str]
    agent: client.Agent
    port: int
    # By the part, the path, or the path and account that crashes; shared by
    # all upstreams.
    crashing: dict[str, crashmeter.CrashMeter]
    # Shared by all upstreams of the service.
    repeats: retrymeter.RetryMeter
    runs: list[str | None] = attrs.field(factory=list)
    meter: limitmeter.LimitMeter = attrs.field(factory=limitmeter.LimitMeter)
    notices: noticemeter.NoticeMeter = attrs.field(
        factory=noticemeter.NoticeMeter
    )
    # The element of answers that never ends; None if they end.
    endless: str | None = None
    endless_open: int = 0
    # The part of requests that it rejects without running them.
    shed_share: float = 0.0
    controller_index: int = 0
    channels: list[http.HTTPChannel] = attrs.field(factory=list)
    _listening: typing.Any = None
    _starts: int = 1

    def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        self._listen()
        task.LoopingCall(self.send_heartbeat).start(HEARTBEAT_SECONDS)

    def _listen(self) -> None:
        self._listening = reactor.listenTCP(
            self.port, UpstreamFactory(self), interface=HOST
        )

    def crash(self) -> None:
        """Resets all connections; starts again under another name."""
        self.fleet.crash(self.engine.name, now())
        self._listening.stopListening()
        for channel in self.channels:
            if channel.transport is not None:
                channel.transport.abortConnection()
        self.channels.clear()
        reactor.callLater(DOWN_SECONDS, self._restart)

    def _restart(self) -> None:
        self._starts += 1
        before = self.engine
        self.engine = enginefleet.Engine(
            name=f"{before.name.partition('.')[0]}.{self._starts}",
            service=before.service,
            domain=before.domain,
            data_centre=before.data_centre,
            address=before.address,
            incarnation=int(time.time() * 1000),
            staged=before.staged,
        )
        self.fleet.add(self.engine)
        self._listen()
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Reports to one controller; a failure selects the next one."""
        if not self.engine.up:
            return
        address = self.controllers[
            self.controller_index % len(self.controllers)
        ]
        sent = self.agent.request(
            b"POST",
            f"http://{address}/figford/instances/{self.engine.name}"
            "/heartbeat".encode(),
            http_headers.Headers({"content-type": ["application/json"]}),
            Body(heartbeat(self.engine, self.plain)),
        )
        sent.addCallback(client.readBody)
        sent.addErrback(self._use_next_controller)

    def _use_next_controller(self, _: object) -> None:
        self.controller_index += 1


def main(arguments: list[str]) -> None:
    """Runs engines in one domain and plain upstreams.

    The arguments are the first port to listen on, the first port to report,
    which may belong to a relay, the controllers' port for the first upstream,
    by how much that port increases per upstream, and the controllers' IPs.
    """
    first_port, first_reported_port, control_port, port_step, *ips = arguments
    fleet = ConfiguredFleet(MODELS, random.Random(1))
    pool = client.HTTPConnectionPool(reactor)
    agent = client.Agent(reactor, connectTimeout=1, pool=pool)
    start_ms = int(time.time() * 1000)
    upstreams: list[Upstream] = []
    crashing: dict[str, crashmeter.CrashMeter] = {}
    repeats = {
        service: retrymeter.RetryMeter(
            RETRY_RATIO, RETRY_RESERVE, RETRY_WINDOW
        )
        for service in ("app", "pool")
    }
    for index in range(ENGINE_COUNT + PLAIN_COUNT):
        plain = index >= ENGINE_COUNT
        engine = enginefleet.Engine(
            name=f"u{index}",
            service="app" if plain else "pool",
            domain="" if plain else "d1",
            data_centre="here",
            address=f"{HOST}:{int(first_reported_port) + index}",
            incarnation=start_ms,
        )
        fleet.add(engine)
        port = int(first_port) + index
        control = int(control_port) + int(port_step) * index
        controllers = [f"{ip}:{control}" for ip in ips]
        upstreams.append(
            Upstream(
                engine,
                plain,
                fleet,
                controllers,
                agent,
                port,
                crashing,
                repeats[engine.service],
            )
        )

    def step() -> None:
        fleet.advance(now())
        changed = {engine.name for engine in fleet.changed}
        fleet.changed.clear()
        for upstream in upstreams:
            if upstream.engine.name in changed:
                upstream.send_heartbeat()

    for upstream in upstreams:
        upstream.start()
    task.LoopingCall(step).start(STEP_SECONDS)
    print("stand-in started", flush=True)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
