"""A strange heartbeat of one upstream ends no process that hears of it.

What a heartbeat says reaches all controllers and entries, and comes again
after each restart.
"""

import datetime
import json

import cbor2
import hypothesis
from hypothesis import strategies
import pytest
from twisted.internet import testing

from figford import codec
from figford import errors
from figford import exchanges
from figford import fleet as fleets
from figford import fleetmessages
from figford import forwarding
from figford import messages
from figford.platform import announcing
from figford.platform import dialect
from figford.platform import manifest
from figford.platform import ordering
from figford import routes
from figford.tests.platform import test_announcing
from figford.tests.test_controller import CONTROLLERS
from figford.tests.test_controller import Net
from figford.tests import test_forwarding

_TEXT = strategies.one_of(
    strategies.sampled_from(["s", "pool", "m", "d1", "", "\ud800", "²", "\0"]),
    strategies.text(max_size=12),
)
_NUMBERS = strategies.one_of(
    strategies.integers(-3, 20), strategies.sampled_from([10**30, -(10**30)])
)
STRANGE_ADDRESSES = [
    "10.0.0.1:8080",
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "10.0.0.1:²",
    "evil host:80",
    "[::1]:80",
    "256.0.0.1:80",
    "10.0.0.1:٣",
    ":80",
    "10.0.0.1:80\n",
    "\ud800:80",
]
_ADDRESSES = strategies.one_of(
    strategies.sampled_from(STRANGE_ADDRESSES),
    _TEXT.map(lambda text: f"{text}:80"),
)
_GROUPS = strategies.one_of(
    strategies.none(),
    strategies.fixed_dictionaries(
        {
            "name": _TEXT,
            "epoch": _NUMBERS,
            "rank": _NUMBERS,
            "state": strategies.sampled_from(
                ["joining", "ready", "open", "closing", "broken"]
            ),
        }
    ),
)
HEARTBEATS = strategies.fixed_dictionaries(
    {
        "service": _TEXT,
        "address": _ADDRESSES,
        "zone": _TEXT,
        "slots": _NUMBERS,
        "domain": _TEXT,
        "models": strategies.lists(
            _TEXT.map(lambda name: {"name": name}), max_size=3
        ),
        "staged": strategies.lists(_TEXT, max_size=3),
        "group": _GROUPS,
        "sequence": _NUMBERS,
        "born": _NUMBERS,
    }
)


class EntryBench(test_forwarding.Bench):
    """A forwarder whose connections are real, on a reactor in memory."""

    def use_real_pool(self) -> None:
        """Replaces the pool by one that would open sockets."""
        self.forwarder.pool = exchanges.Pool(
            testing.MemoryReactorClock(),
            self.clock,
            dialect.PlatformDialect(),
        )
        self.forwarder.dialect = dialect.PlatformDialect()


@hypothesis.settings(max_examples=150)
@hypothesis.given(heartbeat=HEARTBEATS)
def test_an_entry_outlives_any_heartbeat(heartbeat) -> None:
    body = json.dumps(test_announcing.HEARTBEAT | heartbeat).encode()
    try:
        registration = announcing.read("u9", body)
    except errors.MessageError:
        return
    net_entry = Net(1, entries=("e1",)).process_by_name["e1"].state
    net_entry.receive(
        "c1", fleetmessages.FleetUpdate([registration]), net_entry_time()
    )
    bench = EntryBench(routes.RetryMode.STREAM, resumable=True)
    bench.use_real_pool()
    bench.forwarder.fleet_changed(net_entry.fleet)
    bench.begin()
    bench.forwarder.tick()
    assert bench.call.state is not forwarding.State.ENDED or (
        bench.responder.refusal.status == 503
    )


def net_entry_time() -> datetime.timedelta:
    return datetime.timedelta(seconds=100)


@pytest.mark.parametrize("address", STRANGE_ADDRESSES)
def test_an_entry_outlives_any_address(address: str) -> None:
    """An address that could not be connected to ended each entry."""
    changes = {
        "service": "s",
        "models": [{"name": "m"}],
        "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    }
    body = json.dumps(
        test_announcing.HEARTBEAT | changes | {"address": address}
    ).encode()
    try:
        registration = announcing.read("u9", body)
    except errors.MessageError:
        return
    bench = EntryBench(routes.RetryMode.STREAM, resumable=True)
    bench.use_real_pool()
    fleet = fleets.FleetTable()
    fleet.report(registration, bench.clock.now())
    bench.forwarder.fleet_changed(fleet)
    bench.begin()
    bench.forwarder.tick()
    assert bench.forwarder.pool.reactor.tcpClients


@pytest.mark.parametrize(
    "field", ["service", "zone", "domain", "models", "staged", "group"]
)
def test_text_that_cannot_be_encoded_is_refused(field: str) -> None:
    """Sending it on ended the controller that it was reported to."""
    text = "\ud800"
    strange = {
        "models": [{"name": text}],
        "staged": [text],
        "group": {"name": text, "epoch": 1, "rank": 0, "state": "open"},
    }.get(field, text)
    body = json.dumps(test_announcing.HEARTBEAT | {field: strange}).encode()
    with pytest.raises(errors.MessageError):
        announcing.read("u9", body)


@hypothesis.given(heartbeat=HEARTBEATS)
def test_what_is_read_can_be_sent_on(heartbeat) -> None:
    body = json.dumps(test_announcing.HEARTBEAT | heartbeat).encode()
    try:
        registration = announcing.read("u9", body)
    except errors.MessageError:
        return
    update = fleetmessages.FleetUpdate([registration])
    sent = codec.encode(update, messages.PeerMessage)
    assert codec.decode(sent, messages.PeerMessage) == update


@hypothesis.settings(max_examples=40)
@hypothesis.given(heartbeats=strategies.lists(HEARTBEATS, max_size=4))
def test_controllers_outlive_any_heartbeat(heartbeats) -> None:
    net = Net(1, entries=("e1",))
    net.run(2)
    for name in CONTROLLERS:
        net.process_by_name[name].state.table = manifest.read(
            json.dumps(
                {
                    "version": 1,
                    "routes": [],
                    "services": [
                        {
                            "name": "pool",
                            "health_path": "/health",
                            "max_conns": 10,
                            "engine": {
                                "slots": 13,
                                "models": [
                                    {
                                        "name": "m",
                                        "size": 1,
                                        "share": 1.0,
                                        "pace": 1.0,
                                        "load_s": 1.0,
                                        "warm_s": 1.0,
                                    }
                                ],
                            },
                        }
                    ],
                }
            ).encode()
        )
    for number, heartbeat in enumerate(heartbeats):
        body = json.dumps(test_announcing.HEARTBEAT | heartbeat).encode()
        try:
            registration = announcing.read(f"u{number}", body)
        except errors.MessageError:
            continue
        process = net.process_by_name["c1"]
        net.carry_out(process, process.state.report(registration, net.now))
        net.run(0.3)


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"a":' * 100_000])
def test_deep_documents_are_refused(body: bytes) -> None:
    with pytest.raises(errors.MessageError):
        announcing.read("u1", body)
    with pytest.raises(errors.ConfigurationInvalid):
        manifest.read(body)


# ---- One odd entry among those of the upstreams ------------------------

DEEP = [b"[" * 100_000, b'{"group":' * 100_000]
IMMENSE = [10**3000, -(10**3000), 1 << 64, 1 << 53, -1]


@pytest.mark.parametrize("body", DEEP)
def test_deep_reports_are_refused(body: bytes) -> None:
    """The query then ended neither answered nor failed."""
    with pytest.raises(errors.MessageError):
        ordering.read_report(body)


@pytest.mark.parametrize("number", IMMENSE)
@pytest.mark.parametrize("field", ["sequence", "born", "slots"])
def test_numbers_out_of_range_are_refused(field: str, number: int) -> None:
    """They were sent on to all members of the deployment."""
    body = json.dumps(test_announcing.HEARTBEAT | {field: number}).encode()
    with pytest.raises(errors.MessageError):
        announcing.read("u1", body)


@pytest.mark.parametrize("number", IMMENSE)
@pytest.mark.parametrize("field", ["epoch", "rank"])
def test_seats_out_of_range_are_refused(field: str, number: int) -> None:
    seat = test_announcing.HEARTBEAT["group"] | {field: number}
    body = json.dumps(test_announcing.HEARTBEAT | {"group": seat}).encode()
    with pytest.raises(errors.MessageError):
        announcing.read("u1", body)
    with pytest.raises(errors.MessageError):
        ordering.read_report(
            json.dumps({"sequence": 1, "group": seat}).encode()
        )


@pytest.mark.parametrize("number", IMMENSE)
def test_counts_of_orders_out_of_range_are_refused(number: int) -> None:
    with pytest.raises(errors.MessageError):
        ordering.read_report(json.dumps({"sequence": number}).encode())


@pytest.mark.parametrize("field", ["sequence", "born"])
def test_later_heartbeats_count_after_an_immense_one(field: str) -> None:
    """All later ones of that upstream were taken for older ones."""
    fleet = fleets.FleetTable()
    now = net_entry_time()
    for odd in (10**15, 10**3000):
        body = json.dumps(test_announcing.HEARTBEAT | {field: odd}).encode()
        try:
            fleet.report(announcing.read("u1", body), now)
        except errors.MessageError:
            continue
        assert field == "sequence"
    restarted = {"born": test_announcing.HEARTBEAT["born"] + 1, "slots": 5}
    body = json.dumps(test_announcing.HEARTBEAT | restarted).encode()
    fleet.report(announcing.read("u1", body), now)
    assert fleet.by_name["u1"].registration.slots == 5


@pytest.mark.parametrize("number", IMMENSE)
def test_members_refuse_registrations_out_of_range(number: int) -> None:
    """One that an older version let pass ended processes that sent it on."""
    registration = announcing.read(
        "u1", json.dumps(test_announcing.HEARTBEAT).encode()
    )
    update = fleetmessages.FleetUpdate([registration])
    plain = cbor2.loads(codec.encode(update, messages.PeerMessage))
    plain["registrations"][0]["sequence"] = number
    with pytest.raises(errors.MessageError):
        codec.decode(cbor2.dumps(plain), messages.PeerMessage)


def test_members_refuse_deep_messages() -> None:
    with pytest.raises(errors.MessageError):
        codec.decode(b"\x81" * 100_000 + b"\x00", messages.PeerMessage)


@pytest.mark.parametrize(
    "headers",
    [
        [(b"Keep-Alive", b"timeout=" + b"9" * 15)],
        [(b"Retry-After", b"9" * 12)],
        [(b"Figford-Server-Load", b"9" * 15 + b",0,0")],
        [(b"Server-Limit", b"9" * 12)],
    ],
)
def test_answers_with_immense_numbers_are_read(headers) -> None:
    """A keep-alive time out of range ended the request it answered."""
    head = dialect.PlatformDialect().read_answer(503, headers)
    assert net_entry_time() + (head.pause or datetime.timedelta(0))
    assert net_entry_time() + (
        head.keep_alive_timeout or datetime.timedelta(0)
    )
