"""What a controller logs and counts of orders and of changes of groups."""

import pathlib

import attrs
import logbook
import pytest
from twisted.internet import testing

from figford import controller
from figford import controllerdaemon
from figford import effects
from figford import exchanges
from figford import formations
from figford import nodesettings
from figford.platform import dialect
from figford.platform import ordering
from figford import wire

Action = formations.Action
ORDER = formations.GroupOrder(
    upstream="u1",
    incarnation=1,
    address="10.0.0.1:80",
    action=Action.JOIN,
    fence=4,
    expected=2,
    group="g7",
    epoch=12,
    model="m1",
    members=("u1",),
)


@attrs.define(eq=False)
class Pool:
    """Answers every exchange with one status."""

    status: int

    def send(self, address: str, exchange: exchanges.Exchange) -> None:
        """Answers an exchange at once."""
        exchange.receiver.answer_began(wire.AnswerHead(self.status, []))
        exchange.receiver.answer_ended()


@pytest.fixture
def daemon(tmp_path: pathlib.Path) -> controllerdaemon.ControllerDaemon:
    config = nodesettings.NodeSettings(
        instance="127.0.0.1",
        name="c1",
        data_centre="dc",
        links_address="127.0.0.1:7342",
        seeds=(),
        links_port=7340,
        data_folder=str(tmp_path / "data"),
    )
    return controllerdaemon.ControllerDaemon(
        config,
        pathlib.Path("boot.json"),
        lambda path: config,
        testing.MemoryReactorClock(),
        dialect=dialect.PlatformDialect(),
        orders=ordering,
        read_table=lambda packed: None,
        pages_factory=lambda state, reactor: None,
    )


def counted(daemon: controllerdaemon.ControllerDaemon) -> dict[str, float]:
    """Returns the counts of all events."""
    return {
        labels["event"]: value
        for labels, value in daemon.metrics.events.get_all()
    }


@pytest.mark.parametrize(
    "action, status, event, logged",
    [
        (Action.JOIN, 202, "order-join-begun", False),
        (Action.OPEN, 200, "order-open-held", False),
        (Action.STAGE, 202, "order-stage-begun", False),
        (Action.CLOSE, 202, "order-close-begun", True),
        (Action.LEAVE, 200, "order-leave-held", True),
        (Action.JOIN, 503, "order-join-unknown", True),
        (Action.STAGE, 409, "order-stage-refused", True),
    ],
)
def test_orders_are_counted_and_changes_and_failures_are_logged(
    daemon: controllerdaemon.ControllerDaemon,
    action: Action,
    status: int,
    event: str,
    logged: bool,
) -> None:
    daemon.pool = Pool(status)
    order = attrs.evolve(ORDER, action=action)
    with logbook.TestHandler() as handler:
        daemon.carry_out([controller.SendGroupOrder(order)])
    assert counted(daemon) == {event: 1}
    lines = [
        record.kwargs
        for record in handler.records
        if record.msg == "order ended"
    ]
    assert [line["action"] for line in lines] == [action.value] * logged


def test_events_of_groups_are_counted_by_cause_without_ids(
    daemon: controllerdaemon.ControllerDaemon,
) -> None:
    detail = (("group", "g7"), ("cause", "member i-1 lost"))
    with logbook.TestHandler() as handler:
        daemon.carry_out(
            [
                effects.StateChanged(
                    "group dissolving", detail, "member lost"
                ),
                effects.StateChanged("upstream leaving"),
            ]
        )
    assert counted(daemon) == {
        "group-dissolving-member-lost": 1,
        "upstream-leaving": 1,
    }
    assert handler.records[0].kwargs == dict(detail)


def test_an_event_without_a_line_is_counted(
    daemon: controllerdaemon.ControllerDaemon,
) -> None:
    with logbook.TestHandler() as handler:
        daemon.carry_out([controller.EventCounted("some-event")])
    assert counted(daemon) == {"some-event": 1} and not handler.records


class Transport(testing.StringTransport):
    """A transport without a socket behind it."""

    def getHandle(self) -> "Transport":
        """Returns itself, which accepts socket options."""
        return self

    def setsockopt(self, *options: int) -> None:
        """Ignores an option."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignores an option."""


QUERY = controller.QueryOrderCount("u1", 1, ORDER.address)


@pytest.mark.parametrize("effect", [controller.SendGroupOrder(ORDER), QUERY])
def test_a_second_copy_of_an_answer_is_not_taken_for_the_next_one(
    daemon: controllerdaemon.ControllerDaemon, effect: object
) -> None:
    """A faulty upstream answers an order twice on one connection."""
    answer = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
    daemon.carry_out([effect])
    connection = daemon.reactor.tcpClients[0][2].buildProtocol(None)
    connection.makeConnection(Transport())
    connection.dataReceived(answer)
    before = counted(daemon)
    daemon.carry_out([controller.SendGroupOrder(ORDER)])
    connection.dataReceived(answer)
    assert counted(daemon) == before
    assert len(daemon.reactor.tcpClients) == 2


@pytest.mark.parametrize("body", [b"[" * 100_000, b"{}", b'{"sequence": -1}'])
def test_a_report_that_cannot_be_read_is_no_answer(
    daemon: controllerdaemon.ControllerDaemon, body: bytes
) -> None:
    """Its query ended neither answered nor failed."""
    daemon.carry_out([QUERY])
    connection = daemon.reactor.tcpClients[0][2].buildProtocol(None)
    connection.makeConnection(Transport())
    connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    assert counted(daemon)["question-failed"] == 1
