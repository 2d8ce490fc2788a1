"""The composition root of a controller: disk, log, fleet and orders."""

import datetime
import pathlib
import random
import secrets
import typing

import attrs
import logbook
from twisted.internet import defer

from figford import agreement
from figford import control
from figford import controller as controllers
from figford import durable
from figford import effects
from figford import errors
from figford import exchanges
from figford import fleetmessages
from figford import formations
from figford import membership
from figford import messages
from figford import nodes
from figford import routes
from figford import store
from figford import wire

_log = logbook.Logger(__name__)

# Callers move on to another controller after a second without an answer.
STORE_DEADLINE = datetime.timedelta(milliseconds=1800)
READ_DEADLINE = datetime.timedelta(milliseconds=850)
# How long a controller waits to have applied what a quorum confirmed.
APPLY_DEADLINE = datetime.timedelta(milliseconds=500)
ORDER_TIMEOUT = datetime.timedelta(milliseconds=1000)
# Far above a round trip within a region.
QUESTION_TIMEOUT = datetime.timedelta(milliseconds=400)
# After SIGTERM, other controllers take over while this one still answers.
STOP_AFTER = datetime.timedelta(milliseconds=300)

ReadTable = typing.Callable[[bytes], routes.RouteTable]
Reply = typing.Callable[[errors.Refusal | None, bytes], None]


class OrderFormat(typing.Protocol):
    """How orders are written and what their answers say."""

    ORDER_TARGET: bytes
    REPORT_TARGET: bytes

    @staticmethod
    def body(order: formations.GroupOrder, fencing: bool) -> bytes:
        """Returns the body of an order."""

    @staticmethod
    def result(status: int) -> formations.Result:
        """Returns what a status says."""

    @staticmethod
    def read_report(report: bytes) -> formations.OrderCountReply:
        """Returns what a report tells; raises MessageError."""


@attrs.define
class _Reader:
    """Somebody who waits for a route table."""

    reply: Reply
    version: int
    deadline: datetime.timedelta


@attrs.define(eq=False)
class ControllerDaemon(nodes.NodeDaemon):
    """One controller process."""

    dialect: wire.Dialect = attrs.field(kw_only=True)
    orders: OrderFormat = attrs.field(kw_only=True)
    read_table: ReadTable = attrs.field(kw_only=True)
    pages_factory: typing.Callable[..., typing.Any] = attrs.field(kw_only=True)
    pool: exchanges.Pool = attrs.field(init=False)
    _writer: durable.DurableWriter = attrs.field(init=False)
    _records: list[messages.Record] = attrs.field(factory=list)
    _on_outcome_by_proposal: dict[str, typing.Callable] = attrs.field(
        factory=dict
    )
    _founding: bool = False
    _readers: list[_Reader] = attrs.field(factory=list)
    _stopping_since: datetime.timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Makes the parts; opens no socket yet."""
        rng = random.SystemRandom()
        if self.config.data_folder is None:
            raise errors.SettingsError("is needed", "data_folder")
        journal = store.FileJournal(pathlib.Path(self.config.data_folder))
        journal.open()
        voter = self._load(journal)
        peers = membership.PeerTable(self.me(voter))
        self.state = controllers.Controller(
            peers,
            control.Control(peers, agreement.Agreement(voter, rng)),
            rng,
            self.clock.now(),
            callers_seen=not self._founding,
        )
        self._writer = durable.DurableWriter(
            self.reactor, journal, self._synced, self.fatal
        )
        self.pool = exchanges.Pool(self.reactor, self.clock, self.dialect)
        self.make_hub()

    def _load(self, journal: store.FileJournal) -> str:
        """Loads or founds the journal; returns the name of this disk."""
        self._records = journal.load()
        self._founding = False
        for record in self._records:
            if isinstance(record, messages.Identity):
                return record.voter
        me = self.config.instance
        self._founding = bool(self.config.founders)
        if me in self.config.founders:
            founders = [founding_name(name) for name in self.config.founders]
            self._records = control.bootstrap_records(
                founding_name(me), founders
            )
        else:
            self._records = [messages.Identity(f"{me}.{secrets.token_hex(6)}")]
        journal.append(self._records)
        return self._records[0].voter

    @defer.inlineCallbacks
    def start(self) -> typing.Iterator[typing.Any]:
        """Opens the ports and starts to work."""
        self._writer.start()
        self.carry_out(self.state.start(self._records, self.clock.now()))
        self._records = []
        self._dial_voters()
        yield self.hub.start()
        yield self.listen(
            self.config.control_address,
            self.pages_factory(self, self.reactor),
        )
        self.loop(self.pool.close_expired, 0.5)
        self.start_common()

    def _dial_voters(self) -> None:
        """Takes the voters of the log as seeds beside those told."""
        for voter in self.state.control.agreement.voters:
            address = f"{instance_of(voter)}:{self.config.links_port}"
            if address not in self.hub.seeds:
                self.hub.seeds.append(address)

    # ---- Effects --------------------------------------------------------

    def carry_out(self, todo: list) -> None:
        """Carries out effects."""
        for effect in todo:
            match effect:
                case effects.SendPeer(instance, message):
                    self.hub.send(instance, message)
                case controllers.SendAll(instances, message):
                    self.hub.send_to_all(instances, message)
                case effects.PersistRecords() | effects.RewriteJournal():
                    self._writer.submit(effect)
                case effects.Decided(proposal, outcome):
                    self._decided(proposal, outcome)
                case effects.ConfigurationChanged():
                    self._configured()
                case effects.StateChanged():
                    self.state_changed(effect)
                case controllers.SendGroupOrder(order):
                    _Order(self, order).send()
                case controllers.QueryOrderCount():
                    _Question(self, effect).send()

    def _synced(self, batch: effects.PersistRecords) -> None:
        for send in batch.sends:
            self.hub.send(send.instance, send.message)
        if batch.records:
            self.guard(
                self.state.synced,
                batch.last_index,
                batch.last_term,
                self.clock.now(),
            )

    def _decided(
        self, proposal: str, outcome: messages.Outcome | None
    ) -> None:
        on_outcome = self._on_outcome_by_proposal.pop(proposal, None)
        if on_outcome is not None:
            on_outcome(outcome)

    def _configured(self) -> None:
        self.state.table = self.read_table(self.state.view.document)
        _log.info(
            "route table in force",
            version=self.state.view.version,
            term=self.state.control.agreement.term,
        )

    def tick(self) -> None:
        """Does what time makes due."""
        now = self.clock.now()
        self.guard(self.state.tick, now)
        self._answer_readers(now)
        since = self._stopping_since
        if since is not None and now - since >= STOP_AFTER:
            self._stopping_since = None
            self._close().addErrback(self.fatal)

    # ---- Pages ----------------------------------------------------------

    def report(self, registration: fleetmessages.Registration) -> None:
        """Takes an upstream's report."""
        known = self.state.fleet.by_name.get(registration.upstream)
        if registration.leaving and not (known and known.registration.leaving):
            _log.info(
                "upstream leaving",
                upstream=registration.upstream,
                sequence=registration.sequence,
            )
        self.guard(self.state.report, registration, self.clock.now())

    def sign_off(self, upstream: str) -> None:
        """Takes an upstream's word that it leaves for good."""
        _log.info("upstream signed off", upstream=upstream)
        self.guard(self.state.sign_off, upstream, self.clock.now())

    def store(self, version: int, packed: bytes, reply: Reply) -> None:
        """Takes a route table into force, then replies."""
        _log.info("route table submitted", version=version, size=len(packed))
        if version <= self.state.view.version:
            reply(None, b"")
            return

        def decided(outcome: messages.Outcome | None) -> None:
            if isinstance(outcome, fleetmessages.RoutesStored):
                _log.info("route table acknowledged", version=version)
                reply(None, b"")
            else:
                reply(errors.NoQuorum("the log is out of reach"), b"")

        self._propose(
            fleetmessages.StoreRoutes(version, packed),
            STORE_DEADLINE,
            decided,
        )

    def read(self, reply: Reply) -> None:
        """Replies with the newest route table, confirmed by a quorum."""

        def decided(outcome: messages.Outcome | None) -> None:
            if not isinstance(outcome, messages.VersionInForce) or (
                not outcome.routes_version
            ):
                reply(errors.NoQuorum("the log is out of reach"), b"")
                return
            deadline = self.clock.now() + APPLY_DEADLINE
            self._readers.append(
                _Reader(reply, outcome.routes_version, deadline)
            )
            self._answer_readers(self.clock.now())

        self._propose(messages.ReadVersion(), READ_DEADLINE, decided)

    def _answer_readers(self, now: datetime.timedelta) -> None:
        waiting = []
        for reader in self._readers:
            if self.state.view.version >= reader.version:
                reader.reply(None, self.state.view.document)
            elif now >= reader.deadline:
                reader.reply(errors.NoQuorum("not applied yet"), b"")
            else:
                waiting.append(reader)
        self._readers = waiting

    def _propose(
        self,
        command: messages.Command,
        timeout: datetime.timedelta,
        on_outcome: typing.Callable[[messages.Outcome | None], None],
    ) -> None:
        now = self.clock.now()
        proposal, todo = self.state.propose(command, now + timeout, now)
        self._on_outcome_by_proposal[proposal] = on_outcome
        self.carry_out(todo)

    # ---- Stopping -------------------------------------------------------

    def stop(self) -> None:
        """Begins a graceful stop."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self.clock.now()
        _log.info("process stopping", leads=self.state.is_settled_leader)
        self.carry_out(self.state.begin_stop(self.clock.now()))

    @defer.inlineCallbacks
    def _close(self) -> typing.Iterator[typing.Any]:
        yield self.close_ports()
        self.pool.close()
        self._writer.stop()
        _log.info("process stopped")
        self.stopped.callback(True)


def founding_name(instance: str) -> str:
    """Returns the name of a disk that founds the deployment."""
    return f"{instance}.first"


def instance_of(voter: str) -> str:
    """Returns the instance of a disk by its name.

    >>> instance_of(founding_name("10.1.0.43"))
    '10.1.0.43'
    """
    return voter.rpartition(".")[0]


@attrs.define(eq=False)
class _Order:
    """One order on its way; reports its result once."""

    daemon: ControllerDaemon
    order: formations.GroupOrder
    _exchange: exchanges.Exchange | None = None
    _timer: typing.Any = None
    _status: int = 0

    def send(self) -> None:
        """Sends the order on a kept or new connection."""
        daemon = self.daemon
        body = daemon.orders.body(self.order, daemon.config.checks_fencing)
        outgoing = [
            (b"Host", self.order.address.encode()),
            (b"Content-Type", b"application/json"),
        ]
        self._exchange = exchanges.Exchange(
            b"POST", daemon.orders.ORDER_TARGET, outgoing, body, self
        )
        self._timer = daemon.reactor.callLater(
            ORDER_TIMEOUT.total_seconds(), self._late
        )
        daemon.pool.send(self.order.address, self._exchange)

    def _late(self) -> None:
        self._timer = None
        sent = self._exchange is not None and self._exchange.sent
        if self._exchange is not None:
            self._exchange.cancel()
        self._finish(
            formations.Result.UNKNOWN if sent else formations.Result.UNSENT
        )

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Takes the status."""
        self._status = head.status

    def answer_data(self, data: bytes) -> None:
        """Takes a part of the body, which says nothing more."""

    def answer_ended(self) -> None:
        """Reports what the status says."""
        self._finish(self.daemon.orders.result(self._status))

    def answer_failed(self, failure: exchanges.Failure) -> None:
        """Reports an order without an answer."""
        unsent = failure is exchanges.Failure.NOT_SENT
        self._finish(
            formations.Result.UNSENT if unsent else formations.Result.UNKNOWN
        )

    def _finish(self, result: formations.Result) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        order = self.order
        _log.info(
            "order ended",
            upstream=order.upstream,
            action=order.action.value,
            group=order.group,
            epoch=order.epoch,
            fence=order.fence,
            expected=order.expected,
            status=self._status,
            result=result.value,
        )
        self.daemon.metrics.event(f"order-{result.value}")
        self.daemon.state.order_ended(order, result, self.daemon.clock.now())


@attrs.define(eq=False)
class _Question:
    """Asks an upstream how many orders it has begun."""

    daemon: ControllerDaemon
    asked: controllers.QueryOrderCount
    _parts: list[bytes] = attrs.field(factory=list)
    _timer: typing.Any = None
    _exchange: exchanges.Exchange | None = None

    def send(self) -> None:
        """Sends the question; no answer leads to another question."""
        headers = [(b"Host", self.asked.address.encode())]
        self._exchange = exchanges.Exchange(
            b"GET", self.daemon.orders.REPORT_TARGET, headers, b"", self
        )
        self._timer = self.daemon.reactor.callLater(
            QUESTION_TIMEOUT.total_seconds(), self._late
        )
        self.daemon.pool.send(self.asked.address, self._exchange)

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Takes the head, which says nothing more."""

    def answer_data(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._parts.append(data)

    def answer_ended(self) -> None:
        """Tells the planner."""
        self._stop_timer()
        try:
            told = self.daemon.orders.read_report(b"".join(self._parts))
        except errors.MessageError as error:
            self.daemon.message_refused(error)
            return
        self.daemon.state.planner.query_answered(
            self.asked.upstream,
            self.asked.incarnation,
            told,
            self.daemon.clock.now(),
        )

    def answer_failed(self, failure: exchanges.Failure) -> None:
        """Leaves the question open."""
        self._stop_timer()
        self._unanswered()

    def _late(self) -> None:
        self._timer = None
        if self._exchange is not None:
            self._exchange.cancel()
        self._unanswered()

    def _unanswered(self) -> None:
        self.daemon.metrics.event("question-failed")
        self.daemon.state.query_unanswered(self.asked, self.daemon.clock.now())

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
