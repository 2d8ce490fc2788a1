"""The composition root of a controller: journal, log, fleet and orders."""

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
from figford import signoffs
from figford import store
from figford import wire

_log = logbook.Logger(__name__)

# Clients try another controller after a second without a response.
STORE_DEADLINE = datetime.timedelta(milliseconds=1800)
READ_DEADLINE = datetime.timedelta(milliseconds=850)
# How long a read waits until this controller has applied the version that
# a quorum confirmed.
APPLY_DEADLINE = datetime.timedelta(milliseconds=500)
ORDER_TIMEOUT = datetime.timedelta(milliseconds=1000)
REPORT_LIMIT_BYTES = 1 << 20
# Well above a network round trip within a region.
REPORT_QUERY_TIMEOUT = datetime.timedelta(milliseconds=400)
# After SIGTERM, this controller keeps answering for this long while
# others take over.
STOP_DELAY = datetime.timedelta(milliseconds=300)
# The part of `catch_up` after which a silent controller is replaced; in the
# rest its successor starts, copies the log and gets the vote.
VOTER_SILENCE_PART = 0.5
# Orders to join, open and stage are logged only if they did not succeed; the
# events of groups tell of the others.
LOGGED_ACTIONS = (formations.Action.CLOSE, formations.Action.LEAVE)
SUCCESSES = (formations.Result.BEGUN, formations.Result.HELD)

Reply = typing.Callable[[errors.Refusal | None, bytes], None]


class OrderFormat(typing.Protocol):
    """The encoding of orders and of the responses to them."""

    ORDER_TARGET: bytes
    REPORT_TARGET: bytes

    @staticmethod
    def body(order: formations.GroupOrder, fencing: bool) -> bytes:
        """Returns the body of an order."""

    @staticmethod
    def result(status: int) -> formations.Result:
        """Returns the result that an HTTP status stands for."""

    @staticmethod
    def read_report(report: bytes) -> formations.OrderCountReply:
        """Returns the parsed report; raises MessageError."""


@attrs.define
class _PendingRead:
    """A read that waits until its route table version is applied."""

    reply: Reply
    version: int
    deadline: datetime.timedelta


@attrs.define(eq=False)
class ControllerDaemon(nodes.NodeDaemon):
    """One controller process."""

    dialect: wire.Dialect = attrs.field(kw_only=True)
    orders: OrderFormat = attrs.field(kw_only=True)
    pages_factory: typing.Callable[..., typing.Any] = attrs.field(kw_only=True)
    pool: exchanges.Pool = attrs.field(init=False)
    _writer: durable.DurableWriter = attrs.field(init=False)
    _records: list[messages.Record] = attrs.field(factory=list)
    _on_outcome_by_proposal: dict[str, typing.Callable] = attrs.field(
        factory=dict
    )
    _first_start: bool = False
    _pending_reads: list[_PendingRead] = attrs.field(factory=list)
    _stopping_since: datetime.timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Creates the parts; opens no socket yet."""
        rng = random.SystemRandom()
        if self.config.data_folder is None:
            raise errors.SettingsError("is required", "data_folder")
        journal = store.FileJournal(pathlib.Path(self.config.data_folder))
        journal.open()
        voter = self._load_or_bootstrap(journal)
        peers = membership.PeerTable(self.own_peer(voter))
        self.state = controllers.Controller(
            peers,
            control.Control(
                peers,
                agreement.Agreement(voter, rng),
                voter_silence_timeout=self.config.catch_up
                * VOTER_SILENCE_PART,
                fault_tolerance=self.config.fault_tolerance,
            ),
            rng,
            self.clock.now(),
            callers_seen=not self._first_start,
        )
        self._writer = durable.DurableWriter(
            self.reactor, journal, self._synced, self.fatal
        )
        self.pool = exchanges.Pool(self.reactor, self.clock, self.dialect)
        self.make_hub()

    def _load_or_bootstrap(self, journal: store.FileJournal) -> str:
        """Loads or initialises the journal; returns the voter identity."""
        self._records = journal.load()
        self._first_start = False
        for record in self._records:
            if isinstance(record, messages.Identity):
                return record.voter
        own_instance = self.config.instance
        self._first_start = bool(self.config.founders)
        if own_instance in self.config.founders:
            founders = [
                founder_voter_id(name) for name in self.config.founders
            ]
            self._records = control.bootstrap_records(
                founder_voter_id(own_instance), founders
            )
        else:
            self._records = [
                messages.Identity(f"{own_instance}.{secrets.token_hex(6)}")
            ]
        journal.append(self._records)
        return self._records[0].voter

    @defer.inlineCallbacks
    def start(self) -> typing.Iterator[typing.Any]:
        """Opens the ports and starts the periodic tasks."""
        self._writer.start()
        self.carry_out(self.state.start(self._records, self.clock.now()))
        self._records = []
        self._add_voter_seeds()
        yield self.hub.start()
        yield self.listen(
            self.config.control_address,
            self.pages_factory(self, self.reactor),
        )
        self.loop(self.pool.close_expired, 0.5)
        self.start_common_services()

    def _add_voter_seeds(self) -> None:
        """Adds the voters of the log to the configured seeds."""
        for voter in self.state.control.agreement.voters:
            address = f"{voter_instance(voter)}:{self.config.links_port}"
            if address not in self.hub.seeds:
                self.hub.seeds.append(address)

    # ---- Effects --------------------------------------------------------

    def carry_out(self, new_effects: list) -> None:
        """Runs the effects that the state machine returned."""
        for effect in new_effects:
            match effect:
                case effects.SendPeer(instance, message):
                    self.hub.send(instance, message)
                case controllers.SendAll(instances, message):
                    self.hub.send_to_all(instances, message)
                case effects.PersistRecords() | effects.RewriteJournal():
                    self._writer.submit(effect)
                case effects.Decided(proposal, outcome):
                    self._on_decided(proposal, outcome)
                case effects.ConfigurationChanged():
                    self._configured()
                case effects.StateChanged():
                    self.state_changed(effect)
                case controllers.EventCounted(event):
                    self.metrics.event(event)
                case controllers.SendGroupOrder(order):
                    _OrderRequest(self, order).send()
                case controllers.QueryOrderCount():
                    _ReportQuery(self, effect).send()

    def _synced(self, batch: effects.PersistRecords) -> None:
        for send in batch.sends:
            self.hub.send(send.instance, send.message)
        if batch.records:
            self.apply_or_exit(
                self.state.synced,
                batch.last_index,
                batch.last_term,
                self.clock.now(),
            )

    def _on_decided(
        self, proposal: str, outcome: messages.Outcome | None
    ) -> None:
        on_outcome = self._on_outcome_by_proposal.pop(proposal, None)
        if on_outcome is not None:
            on_outcome(outcome)

    def _configured(self) -> None:
        table = self.read_route_table()
        if table is None:
            return
        self.state.table = table
        _log.info(
            "route table in force",
            version=self.state.view.version,
            term=self.state.control.agreement.term,
        )

    def tick(self) -> None:
        """Runs what is due at this time."""
        now = self.clock.now()
        self.apply_or_exit(self.state.tick, now)
        self._reply_to_reads(now)
        since = self._stopping_since
        if since is not None and self._may_end(now - since, now):
            self._stopping_since = None
            self._close().addErrback(self.fatal)

    def update_state_gauges(self) -> None:
        """Sets the gauges of links, limits and permits."""
        super().update_state_gauges()
        self.metrics.set_state(
            "limited-upstreams", len(self.state.limit_table.by_upstream)
        )
        self.metrics.set_state(
            "permits-granted", self.state.limit_keeper.granted
        )
        self.metrics.set_state("verdicts", len(self.state.known_verdicts()))

    # ---- Pages ----------------------------------------------------------

    def report(self, registration: fleetmessages.Registration) -> None:
        """Processes an upstream's report."""
        known = self.state.fleet.by_name.get(registration.upstream)
        if registration.leaving and not (known and known.registration.leaving):
            _log.info(
                "upstream leaving",
                upstream=registration.upstream,
                sequence=registration.sequence,
            )
        self.apply_or_exit(self.state.report, registration, self.clock.now())

    def sign_off(self, upstream: str) -> None:
        """Records that an upstream has deregistered for good."""
        _log.info(
            "upstream signed off",
            upstream=upstream,
            known=upstream in self.state.fleet.by_name,
        )
        time_ms = int(self.clock.wall().timestamp() * 1000)
        self.apply_or_exit(
            self.state.sign_off,
            signoffs.SignOff(upstream, time_ms),
            self.clock.now(),
        )

    def store(self, version: int, packed: bytes, reply: Reply) -> None:
        """Commits a route table to the replicated log, then replies."""
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

    @property
    def stored_document(self) -> bytes:
        """Returns the route table that this controller holds, compressed."""
        return self.state.view.document

    def read(self, reply: Reply) -> None:
        """Replies with the latest route table that a quorum confirmed."""

        def decided(outcome: messages.Outcome | None) -> None:
            if not isinstance(outcome, messages.VersionInForce) or (
                not outcome.routes_version
            ):
                reply(errors.NoQuorum("the log is out of reach"), b"")
                return
            deadline = self.clock.now() + APPLY_DEADLINE
            self._pending_reads.append(
                _PendingRead(reply, outcome.routes_version, deadline)
            )
            self._reply_to_reads(self.clock.now())

        self._propose(messages.ReadVersion(), READ_DEADLINE, decided)

    def _reply_to_reads(self, now: datetime.timedelta) -> None:
        still_pending = []
        for pending_read in self._pending_reads:
            if self.state.view.version >= pending_read.version:
                pending_read.reply(None, self.state.view.document)
            elif now >= pending_read.deadline:
                pending_read.reply(errors.NoQuorum("not applied yet"), b"")
            else:
                still_pending.append(pending_read)
        self._pending_reads = still_pending

    def _propose(
        self,
        command: messages.Command,
        timeout: datetime.timedelta,
        on_outcome: typing.Callable[[messages.Outcome | None], None],
    ) -> None:
        now = self.clock.now()
        proposal, new_effects = self.state.propose(command, now + timeout, now)
        self._on_outcome_by_proposal[proposal] = on_outcome
        self.carry_out(new_effects)

    def lift_verdict(self, trait: str) -> bool:
        """Proposes to lift a verdict; returns whether there is one."""
        known = {verdict.trait for verdict in self.state.known_verdicts()}
        if trait not in known:
            return False
        _log.info("verdict to be lifted", trait=trait)
        self.apply_or_exit(self.state.lift_verdict, trait, self.clock.now())
        return True

    # ---- Stopping -------------------------------------------------------

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self.clock.now()
        _log.info("process stopping", leads=self.state.is_settled_leader)
        self.carry_out(self.state.begin_stop(self.clock.now()))

    def _may_end(
        self, stopping_for: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Returns whether others have taken over, or the wait is too long."""
        if stopping_for < STOP_DELAY:
            return False
        longest = self.config.stop_timeout * control.VOTE_RELEASE_PART
        return stopping_for >= longest or self.state.may_end(now)

    @defer.inlineCallbacks
    def _close(self) -> typing.Iterator[typing.Any]:
        yield self.close_ports()
        self.pool.close()
        self._writer.stop()
        _log.info("process stopped")
        self.stopped.callback(True)


def founder_voter_id(instance: str) -> str:
    """Returns the voter identity of a founder of the deployment.

    It is derived from the instance, so that all founders know each other's.
    """
    return f"{instance}.first"


def voter_instance(voter: str) -> str:
    """Returns the instance that a voter identity belongs to.

    >>> voter_instance(founder_voter_id("10.1.0.43"))
    '10.1.0.43'
    """
    return voter.rpartition(".")[0]


@attrs.define(eq=False)
class _OrderRequest:
    """The HTTP request of one order; reports its result once."""

    daemon: ControllerDaemon
    order: formations.GroupOrder
    _exchange: exchanges.Exchange | None = None
    _timer: typing.Any = None
    _status: int = 0

    def send(self) -> None:
        """Sends the order on a connection of its own.

        Answers to orders name no order, so on a shared one a second copy of
        an answer would be taken for that to the next order.
        """
        daemon = self.daemon
        body = daemon.orders.body(self.order, daemon.config.checks_fencing)
        outgoing = [
            (b"Host", self.order.address.encode()),
            (b"Content-Type", b"application/json"),
        ]
        self._exchange = exchanges.Exchange(
            b"POST", daemon.orders.ORDER_TARGET, outgoing, body, self,
            max_idle_connections=0,
        )  # fmt: skip
        self._timer = daemon.reactor.callLater(
            ORDER_TIMEOUT.total_seconds(), self._timed_out
        )
        daemon.pool.send(self.order.address, self._exchange)

    def _timed_out(self) -> None:
        self._timer = None
        sent = self._exchange is not None and self._exchange.sent
        if self._exchange is not None:
            self._exchange.cancel()
        self._finish(
            formations.Result.UNKNOWN if sent else formations.Result.UNSENT
        )

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Records the HTTP status."""
        self._status = head.status

    def answer_data(self, data: bytes) -> None:
        """Ignores the body; only the status matters."""

    def answer_ended(self) -> None:
        """Reports the result that the status stands for."""
        self._finish(self.daemon.orders.result(self._status))

    def answer_failed(self, failure: exchanges.Failure) -> None:
        """Reports an order without a response as unsent or unknown."""
        unsent = failure is exchanges.Failure.NOT_SENT
        self._finish(
            formations.Result.UNSENT if unsent else formations.Result.UNKNOWN
        )

    def _finish(self, result: formations.Result) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        order = self.order
        if order.action in LOGGED_ACTIONS or result not in SUCCESSES:
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
        self.daemon.metrics.event(f"order-{order.action.value}-{result.value}")
        self.daemon.state.order_ended(order, result, self.daemon.clock.now())


@attrs.define(eq=False)
class _ReportQuery:
    """Queries an upstream for the number of orders that it has begun."""

    daemon: ControllerDaemon
    query: controllers.QueryOrderCount
    _body: bytearray = attrs.field(factory=bytearray)
    _timer: typing.Any = None
    _exchange: exchanges.Exchange | None = None

    def send(self) -> None:
        """Sends the query; the planner repeats one without a response."""
        headers = [(b"Host", self.query.address.encode())]
        self._exchange = exchanges.Exchange(
            b"GET", self.daemon.orders.REPORT_TARGET, headers, b"", self,
            max_idle_connections=0,
        )  # fmt: skip
        self._timer = self.daemon.reactor.callLater(
            REPORT_QUERY_TIMEOUT.total_seconds(), self._timed_out
        )
        self.daemon.pool.send(self.query.address, self._exchange)

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Ignores status and headers; only the body matters."""

    def answer_data(self, data: bytes) -> None:
        """Collects a part of the body."""
        self._body += data
        if len(self._body) > REPORT_LIMIT_BYTES and self._exchange:
            self._exchange.cancel()
            self.answer_failed(exchanges.Failure.INVALID)

    def answer_ended(self) -> None:
        """Passes the report to the planner."""
        self._stop_timer()
        try:
            order_count = self.daemon.orders.read_report(bytes(self._body))
        except errors.MessageError as error:
            self.daemon.message_refused(error)
            self._query_failed()
            return
        self.daemon.state.planner.query_answered(
            self.query.upstream,
            self.query.incarnation,
            order_count,
            self.daemon.clock.now(),
        )

    def answer_failed(self, failure: exchanges.Failure) -> None:
        """Records that the query got no response."""
        self._stop_timer()
        self._query_failed()

    def _timed_out(self) -> None:
        self._timer = None
        if self._exchange is not None:
            self._exchange.cancel()
        self._query_failed()

    def _query_failed(self) -> None:
        self.daemon.metrics.event("question-failed")
        self.daemon.state.query_unanswered(self.query, self.daemon.clock.now())

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
