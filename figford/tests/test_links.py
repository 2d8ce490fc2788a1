"""Links: handshake, authentication, hostile input, duplicate links."""

import datetime

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from twisted.internet import task
from twisted.internet import testing

from figford import clocks
from figford import codec
from figford import errors
from figford import links
from figford import messages

SECOND = datetime.timedelta(seconds=1)
SECRET = b"0123456789abcdef"


def peer(name, incarnation=1, data_centre="north", voter=None):
    return messages.Peer(
        name, incarnation, 0, data_centre, f"127.0.0.1:{len(name)}", "", voter
    )


class Events:
    """Records the callbacks of a hub."""

    def __init__(self):
        self.up = []
        self.down = []
        self.messages = []
        self.refused = []

    def link_up(self, peer_):
        self.up.append(peer_.instance)

    def link_down(self, instance):
        self.down.append(instance)

    def peer_message(self, instance, message):
        self.messages.append((instance, message))

    def message_refused(self, error):
        self.refused.append(error)

    def known_peers(self):
        return []


def hub(name, secret=SECRET, deployment="d", incarnation=1):
    me = peer(name, incarnation)
    return links.LinkHub(
        task.Clock(),
        clocks.SystemClock(),
        deployment,
        secret,
        [],
        me.address,
        Events(),
        lambda: me,
    )


def make_transport(side):
    """Returns the transport of one side, which is not connected to it yet."""
    transport = testing.StringTransportWithDisconnection()
    transport.protocol = side
    transport.setTcpNoDelay = lambda _: None
    transport.abortConnection = transport.loseConnection
    transport.disconnected = False
    return transport


class Wire:
    """Two sides of a link, connected in memory."""

    def __init__(self, dialling, listening):
        self.sides = [
            links.LinkProtocol(dialling, "127.0.0.1:9"),
            links.LinkProtocol(listening, None),
        ]
        self.transports = [make_transport(side) for side in self.sides]
        for side, transport in zip(self.sides, self.transports):
            side.makeConnection(transport)
        self.pump()

    def pump(self):
        for _ in range(20):
            for source, target in ((0, 1), (1, 0)):
                data = self.transports[source].value()
                self.transports[source].clear()
                if data and self.transports[target].connected:
                    self.sides[target].dataReceived(data)


def test_linked_hubs_exchange_messages():
    left, right = hub("a"), hub("b")
    wire = Wire(left, right)
    assert (left.events.up, right.events.up) == (["b"], ["a"])
    message = messages.ConfigurationPull(3)
    left.send("b", message)
    wire.pump()
    assert right.events.messages == [("a", message)]


def refused_by(left, right):
    Wire(left, right)
    assert left.events.up == right.events.up == []
    return left.events.refused + right.events.refused


def test_wrong_secret_deployment_and_name_are_refused():
    for other in (
        hub("b", secret=b"another-secret-here"),
        hub("b", deployment="other"),
        hub("a"),
    ):
        found = refused_by(hub("a"), other)
        assert found
        assert all(isinstance(item, errors.HandshakeError) for item in found)


def test_a_handshake_without_end_is_cut():
    """A peer that proved nothing could send messages of 16 MiB."""
    side = links.LinkProtocol(hub("b"), None)
    transport = make_transport(side)
    side.makeConnection(transport)
    request = (
        b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
        b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
    )
    # The head of a frame of 8 MiB.
    frame = b"\x82\xff" + (8 << 20).to_bytes(8, "big") + b"\0" * 4
    side.dataReceived(request + frame)
    sent = 0
    while transport.connected:
        side.dataReceived(b"x" * 4096)
        sent += 4096
        assert sent <= 128 << 10, "the connection is still open"


def test_another_protocol_version_is_refused(monkeypatch):
    left, right = hub("a"), hub("b")
    real = messages.Hello

    def hello(protocol, *rest):
        return real(protocol + 1, *rest)

    side = links.LinkProtocol(right, None)
    other = real(links.PROTOCOL_VERSION + 1, "d", peer("a"), b"n")
    monkeypatch.setattr(side, "transport", None, raising=False)
    try:
        side._on_hello(other, b"")
    except errors.HandshakeError:
        assert left.events.up == []
        return
    raise AssertionError("the version was accepted")


def test_invalid_messages_are_refused_and_the_link_stays_up():
    left, right = hub("a"), hub("b")
    wire = Wire(left, right)
    wire.sides[0].send(b"\xff not cbor")
    wire.sides[0].send(codec.encode(messages.Proof(b""), messages.Greeting))
    left.send("b", messages.ConfigurationPull(1))
    wire.pump()
    assert len(right.events.refused) == 2
    assert len(right.events.messages) == 1


def test_oversized_message_closes_only_its_own_link(monkeypatch):
    monkeypatch.setattr(links, "MESSAGE_LIMIT_BYTES", 2_000)
    left, right, third = hub("a"), hub("b"), hub("c")
    wire = Wire(left, right)
    Wire(third, right)
    wire.sides[0].send(b"x" * 3_000)
    wire.pump()
    assert right.events.messages == []
    assert right.events.down == ["a"]
    assert "c" not in right.events.down


def test_one_link_is_kept_when_both_sides_dial():
    left, right = hub("a"), hub("b")
    Wire(right, left)
    first = Wire(left, right)
    first.pump()
    left.send("b", messages.ConfigurationPull(1))
    first.pump()
    assert right.events.messages == [("a", messages.ConfigurationPull(1))]


def test_newer_incarnation_replaces_the_old_link():
    right = hub("b")
    Wire(hub("a", incarnation=1), right)
    Wire(hub("a", incarnation=2), right)
    assert right.events.up == ["a", "a"]
    old_process = hub("a", incarnation=1)
    Wire(old_process, right)
    assert right.events.up == ["a", "a"]


def test_blocking_a_peer_closes_its_link():
    left, right = hub("a"), hub("b")
    Wire(left, right)
    right.block({"a"})
    assert right.events.down == ["a"]


@settings(max_examples=150, derandomize=True, deadline=None)
@given(raw=strategies.binary(max_size=200))
def test_hostile_bytes_before_and_after_the_handshake(raw):
    listening = hub("b")
    side = links.LinkProtocol(listening, None)
    transport = testing.StringTransportWithDisconnection()
    transport.protocol = side
    transport.setTcpNoDelay = lambda _: None
    transport.abortConnection = transport.loseConnection
    transport.disconnected = False
    side.makeConnection(transport)
    side.dataReceived(raw)
    wire = Wire(hub("a"), listening)
    wire.sides[0].send(raw)
    wire.pump()
    assert listening.events.up == ["a"]
    assert listening.events.messages == []


def test_small_deployment_is_fully_linked():
    peers = [peer(f"e{i}") for i in range(7)]
    assert len(links.wanted_links(peers[0], peers)) == 6


def test_large_deployment_has_few_links_between_data_centres():
    peers = [
        peer(
            f"dc{d:02}-{i:02}",
            data_centre=f"dc{d:02}",
            voter=f"dc{d:02}.x" if i == 0 and d < 7 else None,
        )
        for d in range(13)
        for i in range(28)
    ]
    for me in (peers[0], peers[5]):
        wanted = links.wanted_links(me, peers)
        own = {p.instance for p in peers if p.data_centre == me.data_centre}
        assert own - {me.instance} <= wanted
        assert len(wanted) <= 27 + 12 + 7


def test_message_codec_refuses_extra_keys():
    plain = codec.to_plain(messages.ConfigurationPull(1), messages.PeerMessage)
    plain["more"] = 1
    try:
        codec.from_plain(plain, messages.PeerMessage)
    except errors.MessageError:
        return
    raise AssertionError(attrs.asdict(messages.ConfigurationPull(1)))


def silent_link():
    """Returns a hub whose link has been silent for too long, and its wire."""
    left, right = hub("a"), hub("b")
    left.clock = clock = testing.MemoryReactorClock()
    clock.now = lambda: clock.rightNow * SECOND
    left.reactor = clock
    wire = Wire(left, right)
    clock.advance(links.SILENCE_TIMEOUT.total_seconds() + 1)
    left._dial_round()
    return left, right, wire


def test_a_late_hub_reads_before_it_drops_a_link():
    left, right, wire = silent_link()
    right.send("a", messages.ConfigurationPull(3))
    wire.pump()
    left.reactor.advance(1)
    assert left.events.messages and left.events.down == []


def test_a_silent_link_is_dropped_still():
    left, _, _ = silent_link()
    left.reactor.advance(0)
    assert left.events.down == ["b"]
