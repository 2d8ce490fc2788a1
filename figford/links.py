"""Links between entries: websockets that carry CBOR messages.

The sans-I/O layer of `websockets` runs inside a twisted protocol. Each link
starts with a handshake in which both sides identify themselves and prove
that they know the deployment's secret.
"""

import datetime
import hashlib
import hmac
import os
import typing

import attrs
import logbook
from twisted.internet import endpoints
from twisted.internet import error as internet_errors
from twisted.internet import protocol
from websockets import client as websocket_client
from websockets import exceptions as websocket_errors
from websockets import frames
from websockets import http11
from websockets import protocol as websocket_protocol
from websockets import server as websocket_server
from websockets import uri as websocket_uri

from figford import codec
from figford import errors
from figford import messages
from figford import settings

_log = logbook.Logger(__name__)

PROTOCOL_VERSION = 4
MESSAGE_LIMIT_BYTES = 16 << 20
# Of the handshake, whose sender has not proven who it is.
HANDSHAKE_LIMIT_BYTES = 64 << 10
# Limit of the data that is buffered for a peer that does not read.
UNSENT_LIMIT_BYTES = 32 << 20
HANDSHAKE_TIMEOUT_SECONDS = 3.0
SILENCE_TIMEOUT = datetime.timedelta(seconds=6)
DIAL_INTERVAL_SECONDS = 0.5
DIAL_TIMEOUT_SECONDS = 2.0
# Deployments of up to this many entries form a full mesh.
FULL_MESH_ENTRIES = 16
LINKS_TO_VOTERS = 2
LINKS_PER_DATA_CENTRE = 1


def _handshake_mac(secret: bytes, side: bytes, *parts: bytes) -> bytes:
    body = side + b"".join(hashlib.sha256(part).digest() for part in parts)
    return hmac.digest(secret, body, "sha256")


class LinkProtocol(protocol.Protocol):
    """One side of a link; owns its connection."""

    def __init__(self, hub: "LinkHub", dialled_address: str | None) -> None:
        """Creates one side; `dialled_address` is None on the listening one."""
        self._hub = hub
        self.dialled_address = dialled_address
        self.peer: messages.Peer | None = None
        self.up = False
        self.heard_at = hub.clock.now()
        self._sent_hello = b""
        self._received_hello = b""
        self._paused = False
        self._unsent_bytes = 0
        self._handshake_bytes = 0
        self._timeout = None
        self._websocket: websocket_protocol.Protocol

    # ---- Connection -----------------------------------------------------

    def connectionMade(self) -> None:
        """Starts the websocket and the handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._timeout = self._hub.reactor.callLater(
            HANDSHAKE_TIMEOUT_SECONDS, self._handshake_timed_out
        )
        if self.dialled_address is None:
            self._websocket = websocket_server.ServerProtocol(
                max_size=MESSAGE_LIMIT_BYTES
            )
            return
        self._websocket = websocket_client.ClientProtocol(
            websocket_uri.parse_uri(f"ws://{self.dialled_address}/"),
            max_size=MESSAGE_LIMIT_BYTES,
        )
        self._websocket.send_request(self._websocket.connect())
        self._flush()

    def connectionLost(self, reason: object) -> None:
        """Reports the end of the link."""
        self._cancel_timeout()
        self._hub.link_closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Passes data to the websocket and handles the resulting events."""
        self.heard_at = self._hub.clock.now()
        if not self.up:
            self._handshake_bytes += len(data)
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            self._on_event(event)
        self._flush()
        if not self.up and self._handshake_bytes > HANDSHAKE_LIMIT_BYTES:
            self._hub.input_refused(errors.HandshakeError("has no end"))
            self.abort()
            return
        if self._websocket.close_expected() and (
            self._websocket.state is websocket_protocol.State.CLOSED
        ):
            self.transport.loseConnection()

    def pauseProducing(self) -> None:
        """Records that the connection's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Records that the connection's buffer has room again."""
        self._paused = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:
        """Does nothing; the connection is being closed."""

    def _flush(self) -> None:
        if self.transport.disconnected:
            return
        for data in self._websocket.data_to_send():
            if data:
                self.transport.write(data)
            else:
                self.transport.loseConnection()

    def abort(self) -> None:
        """Aborts the connection without flushing its buffer."""
        self.transport.abortConnection()

    def _handshake_timed_out(self) -> None:
        self._timeout = None
        self.abort()

    def _cancel_timeout(self) -> None:
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None

    # ---- Events ---------------------------------------------------------

    def _on_event(self, event: object) -> None:
        match event:
            case http11.Request():
                response = self._websocket.accept(event)
                self._websocket.send_response(response)
            case http11.Response():
                self._on_response()
            case frames.Frame(opcode=frames.Opcode.BINARY, fin=True):
                self._on_data(bytes(event.data))
            case frames.Frame(opcode=frames.Opcode.BINARY):
                # Peers never fragment messages, so a fragment is an error.
                self._hub.input_refused(
                    errors.MessageError("fragmented message")
                )
                self.abort()

    def _on_response(self) -> None:
        if self._websocket.handshake_exc is not None:
            self.abort()
            return
        self._send_hello()

    def _on_data(self, data: bytes) -> None:
        if self.up and self.peer is not None:
            self._hub.data_received(self, data)
            return
        try:
            self._on_greeting(data)
        except errors.FigfordError as error:
            self._hub.input_refused(error)
            self.abort()

    def send(self, data: bytes) -> None:
        """Sends an encoded message; aborts if the peer does not read."""
        if self._paused:
            self._unsent_bytes += len(data)
            if self._unsent_bytes > UNSENT_LIMIT_BYTES:
                self.abort()
                return
        try:
            self._websocket.send_binary(data)
        except websocket_errors.InvalidState:
            return
        self._flush()

    # ---- Handshake ------------------------------------------------------

    def _send_hello(self) -> None:
        hello = messages.Hello(
            PROTOCOL_VERSION,
            self._hub.deployment,
            self._hub.me(),
            os.urandom(16),
        )
        self._sent_hello = codec.encode(hello, messages.Greeting)
        self.send(self._sent_hello)

    def _send_proof(self) -> None:
        side = b"server" if self.dialled_address is None else b"client"
        proof = _handshake_mac(
            self._hub.secret, side, self._sent_hello, self._received_hello
        )
        self.send(codec.encode(messages.Proof(proof), messages.Greeting))

    def _on_greeting(self, data: bytes) -> None:
        greeting = codec.decode(data, messages.Greeting)
        match greeting:
            case messages.Hello() if not self._received_hello:
                self._on_hello(greeting, data)
            case messages.Proof(proof) if self._received_hello:
                self._on_proof(proof)
            case _:
                raise errors.HandshakeError("handshake messages out of order")

    def _on_hello(self, hello: messages.Hello, data: bytes) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            raise errors.HandshakeError(
                f"unsupported protocol version {hello.protocol}"
            )
        if hello.deployment != self._hub.deployment:
            raise errors.HandshakeError(
                "the peer belongs to another deployment"
            )
        if hello.peer.instance == self._hub.me().instance:
            raise errors.HandshakeError(
                "the peer has the instance name of this process"
            )
        self._received_hello = data
        self.peer = hello.peer
        if self.dialled_address is None:
            self._send_hello()
        self._send_proof()

    def _on_proof(self, proof: bytes) -> None:
        side = b"client" if self.dialled_address is None else b"server"
        expected = _handshake_mac(
            self._hub.secret, side, self._received_hello, self._sent_hello
        )
        if not hmac.compare_digest(proof, expected):
            raise errors.HandshakeError(
                "the proof does not match the deployment's secret"
            )
        self._cancel_timeout()
        self.up = True
        self._hub.link_opened(self)


class _LinkFactory(protocol.Factory):
    """Creates the listening side of links."""

    noisy = False

    def __init__(self, hub: "LinkHub") -> None:
        self._hub = hub

    def buildProtocol(self, addr: object) -> LinkProtocol:
        """Returns the protocol of a new connection."""
        return LinkProtocol(self._hub, None)


class _DialFactory(protocol.Factory):
    """Creates the dialling side of one link."""

    noisy = False

    def __init__(self, hub: "LinkHub", address: str) -> None:
        self._hub = hub
        self._address = address

    def buildProtocol(self, addr: object) -> LinkProtocol:
        """Returns the protocol of the dialled connection."""
        return LinkProtocol(self._hub, self._address)


class LinkEvents(typing.Protocol):
    """Callbacks of a hub, implemented by the daemon."""

    def link_up(self, peer: messages.Peer) -> None:
        """Reports a link after its handshake."""

    def link_down(self, instance: str) -> None:
        """Reports the end of a link."""

    def peer_message(
        self, instance: str, message: messages.PeerMessage
    ) -> None:
        """Reports a message of a peer."""

    def message_refused(self, error: errors.FigfordError) -> None:
        """Reports data that is not a valid message or handshake."""

    def known_peers(self) -> list[messages.Peer]:
        """Returns all known entries, live or not."""


def wanted_links(me: messages.Peer, peers: list[messages.Peer]) -> set[str]:
    """Returns the instances that an entry keeps links to.

    Small deployments form a full mesh. In large ones an entry links to its
    data centre, to two voters, and to one entry of each other data centre;
    voters link to one another.
    """
    others = sorted(
        (peer for peer in peers if peer.instance != me.instance),
        key=lambda peer: peer.instance,
    )
    if len(others) < FULL_MESH_ENTRIES:
        return {peer.instance for peer in others}
    wanted = {
        peer.instance for peer in others if peer.data_centre == me.data_centre
    }
    voters = [peer.instance for peer in others if peer.voter is not None]
    offset = stable_hash(me.instance)
    if me.voter is not None:
        wanted.update(voters)
    else:
        wanted.update(_take_rotated(voters, LINKS_TO_VOTERS, offset))
    by_data_centre: dict[str, list[str]] = {}
    for peer in others:
        if peer.data_centre != me.data_centre:
            by_data_centre.setdefault(peer.data_centre, []).append(
                peer.instance
            )
    for names in by_data_centre.values():
        wanted.update(_take_rotated(names, LINKS_PER_DATA_CENTRE, offset))
    return wanted


def voter_links(me: messages.Peer, peers: list[messages.Peer]) -> set[str]:
    """Returns the voters' instances, to which every process keeps links."""
    return {
        peer.instance
        for peer in peers
        if peer.voter is not None and peer.instance != me.instance
    }


def stable_hash(name: str) -> int:
    """Returns a uniformly distributed hash, the same in every process."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:8], "big")


def _take_rotated(names: list[str], count: int, offset: int) -> list[str]:
    count = min(count, len(names))
    return [names[(offset + index) % len(names)] for index in range(count)]


@attrs.define
class LinkHub:
    """All links of one entry: listens, dials, sends and reports."""

    reactor: typing.Any
    clock: typing.Any
    deployment: str
    secret: bytes
    seeds: list[str]
    listen_address: str
    events: LinkEvents
    me: typing.Callable[[], messages.Peer]
    select_links: typing.Callable[
        [messages.Peer, list[messages.Peer]], set[str]
    ] = attrs.field(default=wanted_links)
    silence_timeout: datetime.timedelta = SILENCE_TIMEOUT
    dial_interval_seconds: float = DIAL_INTERVAL_SECONDS
    dial_timeout_seconds: float = DIAL_TIMEOUT_SECONDS
    blocked: set[str] = attrs.field(factory=set)
    bytes_sent: int = 0
    bytes_received: int = 0
    _link_by_instance: dict[str, LinkProtocol] = attrs.field(factory=dict)
    _dialling: set[str] = attrs.field(factory=set)
    _port: typing.Any = None
    _stopped: bool = False

    def start(self) -> typing.Any:
        """Starts listening and dialling; returns a deferred port."""
        host, port = settings.split_address(self.listen_address)
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, port, interface=host
        )
        listening = endpoint.listen(_LinkFactory(self))
        listening.addCallback(self._on_listening)
        return listening

    def _on_listening(self, port: typing.Any) -> None:
        self._port = port
        self._dial_round()

    def stop(self) -> typing.Any:
        """Closes all links and stops listening; returns a deferred."""
        self._stopped = True
        for link in list(self._link_by_instance.values()):
            link.transport.loseConnection()
        return self._port.stopListening() if self._port else None

    def send(self, instance: str, message: messages.PeerMessage) -> None:
        """Sends a message if there is a link to the instance."""
        self.send_to_all([instance], message)

    def send_to_all(
        self, instances: list[str], message: messages.PeerMessage
    ) -> None:
        """Sends one message to several instances, encoded once."""
        data = None
        for instance in instances:
            link = self._link_by_instance.get(instance)
            if link is None or instance in self.blocked:
                continue
            if data is None:
                data = codec.encode(message, messages.PeerMessage)
            self.bytes_sent += len(data)
            link.send(data)

    def block(self, instances: set[str]) -> None:
        """Blocks links to exactly these instances, for fault injection."""
        self.blocked = set(instances)
        for instance in instances:
            link = self._link_by_instance.get(instance)
            if link is not None:
                link.abort()

    # ---- Dialling -------------------------------------------------------

    def _dial_round(self) -> None:
        if self._stopped:
            return
        self._drop_silent()
        for address in self._addresses_to_dial():
            self._dial(address)
        self.reactor.callLater(self.dial_interval_seconds, self._dial_round)

    def _drop_silent(self) -> None:
        """Aborts silent links once what has arrived has been read.

        A process that was late finds its timers due before its data.
        """
        if self._silent_links():
            self.reactor.callLater(0, self._abort_silent)

    def _abort_silent(self) -> None:
        for link in self._silent_links():
            link.abort()

    def _silent_links(self) -> list[LinkProtocol]:
        now = self.clock.now()
        return [
            link
            for link in self._link_by_instance.values()
            if now - link.heard_at > self.silence_timeout
        ]

    def _addresses_to_dial(self) -> list[str]:
        me = self.me()
        peers = self.events.known_peers()
        wanted = self.select_links(me, peers)
        addresses = {
            peer.address
            for peer in peers
            if peer.instance in wanted
            and peer.instance not in self._link_by_instance
            and peer.instance not in self.blocked
        }
        linked = {
            link.peer.address
            for link in self._link_by_instance.values()
            if link.peer is not None
        }
        known = {peer.address for peer in peers}
        for seed in self.seeds:
            if seed not in known and seed != me.address:
                addresses.add(seed)
        return sorted(addresses - linked - self._dialling)

    def _dial(self, address: str) -> None:
        host, port = settings.split_address(address)
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor, host, port, timeout=self.dial_timeout_seconds
        )
        self._dialling.add(address)
        dialled = endpoint.connect(_DialFactory(self, address))

        def failed(failure: typing.Any) -> None:
            self._dialling.discard(address)
            # The next round dials again.
            failure.trap(
                internet_errors.ConnectError, internet_errors.UserError
            )

        dialled.addErrback(failed)

    # ---- Callbacks of LinkProtocol --------------------------------------

    def link_opened(self, link: LinkProtocol) -> None:
        """Registers a link unless an existing one takes precedence."""
        if link.dialled_address:
            self._dialling.discard(link.dialled_address)
        peer = link.peer
        if peer is None:
            raise AssertionError("link opened without a peer")
        if peer.instance in self.blocked or self._stopped:
            link.abort()
            return
        other = self._link_by_instance.get(peer.instance)
        if other is not None and not self._should_replace(link, other):
            link.up = False
            link.abort()
            return
        self._link_by_instance[peer.instance] = link
        if other is not None:
            other.up = False
            other.abort()
        self.events.link_up(peer)

    def _should_replace(self, new: LinkProtocol, old: LinkProtocol) -> bool:
        """Returns whether a second link to an instance replaces the first.

        The link of a newer incarnation is kept. Of two links between the
        same processes both sides keep the one that the instance with the
        smaller name dialled.
        """
        if new.peer is None or old.peer is None:
            return True
        if new.peer.incarnation != old.peer.incarnation:
            return new.peer.incarnation > old.peer.incarnation
        mine_is_smaller = self.me().instance < new.peer.instance
        return (new.dialled_address is not None) == mine_is_smaller

    def link_closed(self, link: LinkProtocol) -> None:
        """Removes a link that ended."""
        if link.dialled_address:
            self._dialling.discard(link.dialled_address)
        if link.peer is None:
            return
        instance = link.peer.instance
        if self._link_by_instance.get(instance) is link:
            del self._link_by_instance[instance]
            self.events.link_down(instance)

    def data_received(self, link: LinkProtocol, data: bytes) -> None:
        """Decodes and reports a message; drops invalid data."""
        self.bytes_received += len(data)
        if link.peer is None or link.peer.instance in self.blocked:
            return
        try:
            message = codec.decode(data, messages.PeerMessage)
        except errors.MessageError as error:
            self.input_refused(error)
            return
        self.events.peer_message(link.peer.instance, message)

    def input_refused(self, error: errors.FigfordError) -> None:
        """Reports invalid data or a failed handshake."""
        self.events.message_refused(error)
