"""A stand-in for a model engine: joins groups, loads models, streams tokens.

Its answers depend on the prompt alone, so that any replica can resume the
answer of another at a position and a caller can verify every token.
"""

import json
import signal
import time
import typing
import zlib

import attrs
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import resource
from twisted.web import server
import typer

from figford import codec
from figford import errors
from figford import messages
from figford.tools import announcing

PEER_CHECK_SECONDS = 0.5
KEEP_ALIVE_SECONDS = 60


def token_text(prompt: str, position: int) -> str:
    """Returns the token that every engine generates at a position.

    >>> token_text("hello", 0) == token_text("hello", 0)
    True
    """
    return f"w{zlib.crc32(f'{position}:{prompt}'.encode()) % 10_000} "


def prompt_of(document: dict) -> str:
    """Returns the prompt in the body of a chat request."""
    return "\n".join(
        str(message.get("content", "")) for message in document["messages"]
    )


@attrs.define(eq=False)
class Stream:
    """One streamed answer in progress."""

    request: server.Request
    name: str
    prompt: str
    position: int
    length: int
    model: str
    received_at: float


@attrs.define(eq=False)
class Engine:
    """One stand-in engine."""

    reactor: typing.Any
    name: str
    address: str
    data_centre: str
    fabric_domain: str
    token_seconds: float
    tokens: int
    load_seconds: float
    checks_fencing: bool
    state: messages.UpstreamState = messages.UpstreamState.IDLE
    seat: messages.Seat | None = None
    highest_fence: int = 0
    models: list[str] = attrs.field(factory=list)
    streams: list[Stream] = attrs.field(factory=list)
    peers: list[str] = attrs.field(factory=list)
    leaving: bool = False
    stalled: bool = False
    announcer: announcing.Announcer | None = None
    incarnation: int = attrs.field(factory=lambda: int(time.time() * 1000))

    def announcement(self) -> messages.Announcement:
        """Returns the engine's announcement of its state."""
        return messages.Announcement(
            upstream=self.name,
            incarnation=self.incarnation,
            sequence=0,
            data_centre=self.data_centre,
            fabric_domain=self.fabric_domain,
            address=self.address,
            kind=messages.UpstreamKind.ENGINE,
            state=(
                messages.UpstreamState.LEAVING if self.leaving else self.state
            ),
            checks_fencing=self.checks_fencing,
            models=self.models,
            seat=self.seat,
            highest_fence=self.highest_fence,
            load=messages.Load(
                running=len(self.streams),
                tokens_per_second=int(len(self.streams) / self.token_seconds),
                step_microseconds=int(self.token_seconds * 1e6),
            ),
        )

    def announce_change(self) -> None:
        """Announces a change of state at once."""
        if self.announcer is not None:
            self.announcer.announce()

    # ---- Orders ---------------------------------------------------------

    def order(self, order: messages.Order) -> bool:
        """Executes an order; returns False if its fencing number is stale."""
        if self.checks_fencing and order.fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        match order:
            case messages.JoinGroup():
                self._join(order)
            case messages.ReleaseSeat(group=group):
                if self.seat is not None and self.seat.group == group:
                    self._release()
        self.announce_change()
        return True

    def _join(self, order: messages.JoinGroup) -> None:
        if self.seat == order.seat:
            return
        self.seat = order.seat
        self.peers = [peer for peer in order.peers if peer != self.address]
        self._abort_streams()
        if order.model in self.models:
            self.state = messages.UpstreamState.SERVING
            return
        self.state = messages.UpstreamState.LOADING
        self.reactor.callLater(
            self.load_seconds, self._loaded, order.seat, order.model
        )

    def _loaded(self, seat: messages.Seat, model: str) -> None:
        if model not in self.models:
            self.models.append(model)
        if self.seat == seat:
            self.state = messages.UpstreamState.SERVING
            self.announce_change()

    def _release(self) -> None:
        self.seat = None
        self.state = messages.UpstreamState.IDLE
        self.peers = []

    def _abort_streams(self) -> None:
        for stream in self.streams:
            stream.request.channel.abortConnection()
        self.streams.clear()

    # ---- Tokens ---------------------------------------------------------

    def step(self) -> None:
        """Sends the next token of every stream."""
        if self.stalled:
            return
        for stream in list(self.streams):
            self._send_next_token(stream)

    def _send_next_token(self, stream: Stream) -> None:
        if stream.position >= stream.length:
            self._write(stream, "[DONE]")
            self.streams.remove(stream)
            stream.request.finish()
            return
        chunk = {
            "id": stream.name,
            "object": "chat.completion.chunk",
            "model": stream.model,
            "received_at": stream.received_at,
            "sent_at": time.monotonic(),
            "choices": [
                {
                    "index": 0,
                    "delta": {
                        "content": token_text(stream.prompt, stream.position)
                    },
                }
            ],
        }
        self._write(stream, json.dumps(chunk))
        stream.position += 1

    @staticmethod
    def _write(stream: Stream, data: str) -> None:
        event = f"id: {stream.name}:{stream.position}\ndata: {data}\n\n"
        stream.request.write(event.encode())

    # ---- Peers ----------------------------------------------------------

    def check_peers(self) -> None:
        """Stalls the head while another member is unreachable."""
        if not self.peers or self.seat is None or self.seat.rank:
            self.stalled = False
            return
        for peer in self.peers:
            _Probe.start(self.reactor, peer, self._peer_state)

    def _peer_state(self, peer: str, alive: bool) -> None:
        if peer not in self.peers:
            return
        if not alive:
            self.stalled = True
        elif peer == self.peers[-1]:
            self.stalled = False


class _Probe(protocol.Protocol):
    """Connects to a member and closes the connection."""

    def connectionMade(self) -> None:
        """Closes the connection."""
        self.transport.loseConnection()

    @classmethod
    def start(
        cls,
        reactor: typing.Any,
        peer: str,
        report: typing.Callable[[str, bool], None],
    ) -> None:
        """Reports whether a member accepts connections."""
        creator = protocol.ClientCreator(reactor, cls)
        host, _, port = peer.rpartition(":")
        connected = creator.connectTCP(host, int(port), timeout=1)
        connected.addCallbacks(
            lambda _: report(peer, True), lambda _: report(peer, False)
        )


class ChatResource(resource.Resource):
    """The HTTP resource of model requests."""

    isLeaf = True

    def __init__(self, engine: Engine) -> None:
        """Creates the resource."""
        super().__init__()
        self._engine = engine

    def render_POST(self, request: server.Request) -> typing.Any:
        """Starts a stream, or refuses a request that names another group."""
        engine = self._engine
        document = json.loads(request.content.read())
        if not self._serves_group(request):
            request.setResponseCode(409)
            return b"not in this group"
        name = request.getHeader("figford-request") or "direct"
        stream = Stream(
            request=request,
            name=name,
            prompt=prompt_of(document),
            position=int(request.getHeader("figford-resume-from") or 0),
            length=int(document.get("max_tokens") or engine.tokens),
            model=document["model"],
            received_at=time.monotonic(),
        )
        request.setHeader(b"content-type", b"text/event-stream")
        engine.streams.append(stream)

        def on_disconnect(_: object) -> None:
            if stream in engine.streams:
                engine.streams.remove(stream)

        request.notifyFinish().addErrback(on_disconnect)
        return server.NOT_DONE_YET

    def _serves_group(self, request: server.Request) -> bool:
        group = request.getHeader("figford-group")
        if group is None:
            return True
        seat = self._engine.seat
        if seat is None or self._engine.state not in (
            messages.UpstreamState.SERVING,
        ):
            return False
        fence = request.getHeader("figford-fence")
        return (seat.group, str(seat.fence), seat.rank) == (group, fence, 0)


class OrderResource(resource.Resource):
    """The HTTP resource of the planner's orders."""

    isLeaf = True

    def __init__(self, engine: Engine) -> None:
        """Creates the resource."""
        super().__init__()
        self._engine = engine

    def render_POST(self, request: server.Request) -> bytes:
        """Executes an order, or refuses it for a stale fencing number."""
        try:
            order = codec.from_plain(
                json.loads(request.content.read()), messages.Order
            )
        except (ValueError, errors.MessageError):
            request.setResponseCode(400)
            return b"not an order"
        if not self._engine.order(order):
            request.setResponseCode(412)
            return b"old fencing number"
        return b"taken"


def make_site(engine: Engine) -> server.Site:
    """Returns the HTTP site of an engine."""
    root = resource.Resource()
    chat = resource.Resource()
    version = resource.Resource()
    root.putChild(b"v1", version)
    version.putChild(b"chat", chat)
    chat.putChild(b"completions", ChatResource(engine))
    root.putChild(b"orders", OrderResource(engine))
    site = server.Site(root, timeout=KEEP_ALIVE_SECONDS)
    site.log = lambda request: None
    return site


def serve(engine: Engine, announce: list[str]) -> None:
    """Listens on an engine's port and starts its loops."""
    reactor = engine.reactor
    host, _, port = engine.address.rpartition(":")
    reactor.listenTCP(int(port), make_site(engine), interface=host)
    task.LoopingCall(engine.step).start(engine.token_seconds)
    task.LoopingCall(engine.check_peers).start(PEER_CHECK_SECONDS)
    if announce:
        engine.announcer = announcing.Announcer(
            reactor, announce, engine.announcement
        )
        engine.announcer.announce()


def leave(engines: list[Engine], reactor: typing.Any) -> None:
    """Announces that the engines leave; stops once their streams ended."""
    for engine in engines:
        engine.leaving = True
        engine.announce_change()

    def check() -> None:
        if not any(engine.streams for engine in engines):
            reactor.stop()

    task.LoopingCall(check).start(0.2)


def run(
    name: str = "engine",
    addresses: str = "127.0.0.1:9100",
    data_centre: str = "dc1",
    domain: str = "fabric-1",
    announce: str = "",
    token_seconds: float = 0.02,
    tokens: int = 32,
    load_seconds: float = 0.2,
    checks_fencing: bool = True,
) -> None:
    """Runs one stand-in engine for each comma-separated address."""
    from twisted.internet import reactor

    engines = [
        Engine(
            reactor=reactor,
            name=f"{name}-{index}",
            address=address,
            data_centre=data_centre,
            fabric_domain=domain,
            token_seconds=token_seconds,
            tokens=tokens,
            load_seconds=load_seconds,
            checks_fencing=checks_fencing,
        )
        for index, address in enumerate(addresses.split(","))
    ]
    entries = [item for item in announce.split(",") if item]
    for engine in engines:
        serve(engine, entries)
    signal.signal(
        signal.SIGTERM,
        lambda *_: reactor.callFromThread(leave, engines, reactor),
    )
    reactor.run(installSignalHandlers=False)


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
