"""The callers' port: hostile and slow requests receive typed refusals."""

import json
import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest
from twisted.internet import address
from twisted.internet import task
from twisted.internet import testing

from figford import callers
from figford import clocks
from figford import dispatch
from figford import errors
from figford import gateway
from figford import membership
from figford import messages
from figford import metrics
from figford import node
from figford import operators
from figford import routing
from figford import settings
from figford.tools import demo

LIMITS = settings.Limits(body_bytes=2048, header_bytes=1024, connections=3)
AUTHORIZATION = f"Authorization: Bearer {demo.KEY}"


class Ready(node.Node):
    """A node that is always ready."""

    def is_ready(self, now):
        return True


def raise_failure(failure):
    failure.raiseException()


def make_site():
    clock = clocks.SystemClock()
    me = messages.Peer("e1", 1, 0, "medellin", "127.0.0.1:1")
    rng = random.Random(1)
    ready = Ready(membership.PeerTable(me), rng, clock.now())
    entry_gateway = gateway.Gateway(
        ready,
        dispatch.Dispatcher(ready.group_table, routing.Router(rng)),
        None,
        metrics.Metrics(),
        clock,
        LIMITS,
        None,
        rng,
        raise_failure,
    )
    entry_gateway.apply_configuration(demo.demo_configuration())
    reactor = task.Clock()
    refused = []
    site = callers.CallerSite(
        callers.CallerResource(entry_gateway), LIMITS, reactor, refused.append
    )
    return site, reactor, refused


def connect(site):
    transport = testing.StringTransportWithDisconnection()
    channel = site.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
    if channel is None:
        return None, None
    transport.protocol = channel
    transport.abortConnection = transport.loseConnection
    channel.makeConnection(transport)
    return channel, transport


def ask(raw, site=None):
    site = site or make_site()[0]
    channel, transport = connect(site)
    channel.dataReceived(raw)
    if transport.connected:
        transport.loseConnection()
    return transport.value()


def request(body=b"", method="POST", path="/v1/chat/completions", lines=()):
    head = [f"{method} {path} HTTP/1.1", "Host: h", *lines]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def refusal_of(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    document = json.loads(body)
    assert document["run"] in ("not_run", "unknown")
    assert document["type"].startswith("urn:figford:")
    return document


CHAT = {"model": demo.MODEL, "messages": [{"role": "user", "content": "x"}]}


@pytest.mark.parametrize(
    ("body", "lines", "kind"),
    [
        (json.dumps(CHAT).encode(), [], "unknown-account"),
        (b"{", [AUTHORIZATION], "bad-request"),
        (b"[" * 2000, [AUTHORIZATION], "bad-request"),
        (b'{"model": 3}', [AUTHORIZATION], "bad-request"),
        (
            json.dumps({**CHAT, "model": "other"}).encode(),
            [AUTHORIZATION],
            "unknown-route",
        ),
        (
            json.dumps({**CHAT, "messages": ["x"]}).encode(),
            [AUTHORIZATION],
            "bad-request",
        ),
        (
            json.dumps({**CHAT, "stream": 1}).encode(),
            [AUTHORIZATION],
            "bad-request",
        ),
        (
            json.dumps(CHAT).encode(),
            [AUTHORIZATION, "Figford-First-Token-Timeout: x"],
            "bad-request",
        ),
        (json.dumps(CHAT).encode(), [AUTHORIZATION], "no-capacity"),
        (b"x" * 4096, [AUTHORIZATION], "too-large"),
    ],
)
def test_refusals_of_model_requests(body, lines, kind):
    document = refusal_of(ask(request(body, lines=lines)))
    assert document["type"] == f"urn:figford:{kind}"
    assert document["run"] == "not_run"


@pytest.mark.parametrize(
    ("path", "lines", "kind"),
    [
        ("/elsewhere", [AUTHORIZATION], "unknown-route"),
        ("/sheltersx", [AUTHORIZATION], "unknown-route"),
        (
            "/shelters/book",
            [AUTHORIZATION, "Idempotency-Key: " + "k" * 300],
            "bad-request",
        ),
        ("/shelters/book", [AUTHORIZATION], "no-capacity"),
    ],
)
def test_refusals_of_service_calls(path, lines, kind):
    document = refusal_of(ask(request(b"{}", path=path, lines=lines)))
    assert document["type"] == f"urn:figford:{kind}"


def test_chunked_body_over_the_limit_is_cut_off():
    raw = request(lines=[AUTHORIZATION, "Transfer-Encoding: chunked"])
    chunk = b"400\r\n" + b"x" * 0x400 + b"\r\n"
    document = refusal_of(ask(raw + chunk * 3))
    assert document["type"] == "urn:figford:too-large"


def test_slow_caller_is_refused_after_the_request_timeout():
    site, reactor, refused = make_site()
    channel, transport = connect(site)
    channel.dataReceived(request(b"x" * 100)[:-50])
    reactor.advance(LIMITS.request_timeout.total_seconds() + 1)
    document = refusal_of(transport.value())
    assert document["type"] == "urn:figford:slow-caller"
    assert [type(item) for item in refused] == [errors.SlowCaller]


def test_connections_are_limited_and_released():
    site, _, refused = make_site()
    held = [connect(site) for _ in range(LIMITS.connections)]
    assert connect(site) == (None, None)
    assert len(refused) == 1
    held[0][1].loseConnection()
    assert connect(site) != (None, None)


@hypothesis_settings(max_examples=150, derandomize=True, deadline=None)
@given(raw=strategies.binary(max_size=400))
def test_hostile_bytes_harm_no_other_request(raw):
    site = make_site()[0]
    ask(raw, site)
    ask(request(raw, lines=[AUTHORIZATION]), site)
    ask(request(b"", lines=[AUTHORIZATION]) + raw, site)
    document = refusal_of(
        ask(request(json.dumps(CHAT).encode(), lines=[AUTHORIZATION]), site)
    )
    assert document["type"] == "urn:figford:no-capacity"


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=10),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        strategies.sampled_from(["model", "messages", "stream", "content"]),
        inner,
    ),
    max_leaves=12,
)


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
@given(document=JSON)
def test_any_json_is_read_or_refused(document):
    try:
        chat = callers.read_chat_body(json.dumps(document).encode())
    except errors.BadRequest:
        return
    assert isinstance(chat.prompt, str)
    routing.prefix_hash(chat.prompt)


def test_configuration_holds_only_the_digest_of_a_key():
    text = demo.demo_configuration().to_yaml()
    assert demo.KEY not in text
    assert operators.key_digest(demo.KEY) in text
