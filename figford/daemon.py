"""The composition root of an entry: creates, connects and runs its parts."""

import datetime
import gc
import os
import pathlib
import random
import secrets
import signal
import sys
import typing

import attrs
import logbook
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import task
from twisted.python import log as twisted_log
from twisted.web import server

from figford import administration
from figford import agreement
from figford import answerbuffers
from figford import callers
from figford import clocks
from figford import control
from figford import dispatch
from figford import durable
from figford import effects
from figford import errors
from figford import gateway as gateways
from figford import links
from figford import logs
from figford import membership
from figford import messages
from figford import metrics as metric_sets
from figford import node as nodes
from figford import routing
from figford import settings
from figford import status
from figford import store
from figford import upstreams

_log = logbook.Logger(__name__)

TICK_SECONDS = 0.05
GATEWAY_TICK_SECONDS = 0.1
# How long the health check reports failure before a stopping entry closes
# its port, so that the load balancer stops sending requests first.
BALANCER_REMOVAL_DELAY = datetime.timedelta(milliseconds=500)
# Calls still in progress are ended this long before the stop timeout.
STOP_MARGIN = datetime.timedelta(milliseconds=300)
SUBMIT_DEADLINE = datetime.timedelta(seconds=10)


def new_voter_id(instance: str) -> str:
    """Returns a random voter identity for an empty disk, never reused."""
    return f"{instance}.{secrets.token_hex(6)}"


def bootstrap_deployment(config: settings.Settings) -> str:
    """Initialises this entry's data folder as the first of a deployment.

    Raises DataFolderInUseError if the folder already holds a journal.
    """
    if config.data_folder is None:
        raise errors.SettingsError(
            "is required to initialise a deployment", "data_folder"
        )
    journal = store.FileJournal(pathlib.Path(config.data_folder))
    journal.open()
    try:
        if journal.load():
            raise errors.DataFolderInUseError(
                f"{config.data_folder} already holds a journal"
            )
        voter = new_voter_id(config.instance)
        journal.append(control.bootstrap_records(voter))
    finally:
        journal.close()
    return voter


def recover_deployment(config: settings.Settings) -> control.Recovery:
    """Makes this entry's disk the only voter after the loss of a majority."""
    if config.data_folder is None:
        raise errors.SettingsError(
            "is required to recover a deployment", "data_folder"
        )
    journal = store.FileJournal(pathlib.Path(config.data_folder))
    journal.open()
    try:
        recovery = control.recover(
            journal.load(), new_voter_id(config.instance)
        )
        journal.rewrite(recovery.records)
    finally:
        journal.close()
    return recovery


@attrs.define(eq=False)
class Entry:
    """One entry process: its ports, its state machine and its journal."""

    config: settings.Settings
    reactor: typing.Any
    clock: clocks.SystemClock = attrs.field(factory=clocks.SystemClock)
    rng: random.Random = attrs.field(factory=random.SystemRandom)
    metrics: metric_sets.Metrics = attrs.field(factory=metric_sets.Metrics)
    node: nodes.Node = attrs.field(init=False)
    gateway: gateways.Gateway = attrs.field(init=False)
    hub: links.LinkHub = attrs.field(init=False)
    caller_site: callers.CallerSite = attrs.field(init=False)
    stopped: defer.Deferred = attrs.field(factory=defer.Deferred)
    _writer: durable.DurableWriter | None = None
    _records: list[messages.Record] = attrs.field(factory=list)
    _on_outcome_by_proposal: dict[str, gateways.OnOutcome] = attrs.field(
        factory=dict
    )
    _callers_port: typing.Any = None
    _ports: list[typing.Any] = attrs.field(factory=list)
    _loops: list[task.LoopingCall] = attrs.field(factory=list)
    _stopping_since: datetime.timedelta | None = None
    _removed_at: datetime.timedelta = datetime.timedelta(0)
    _calls_ended: int = 0

    # ---- Construction ---------------------------------------------------

    def __attrs_post_init__(self) -> None:
        """Creates the parts; opens no socket yet."""
        journal, voter = self._open_journal()
        own_peer = messages.Peer(
            instance=self.config.instance,
            incarnation=int(self.clock.wall().timestamp() * 1000),
            sequence=0,
            data_centre=self.config.data_centre,
            address=self.config.links_address,
            callers_address=self.config.callers_address,
            voter=voter,
        )
        now = self.clock.now()
        peers = membership.PeerTable(own_peer)
        voter_control = None
        if voter is not None:
            voter_control = control.Control(
                peers, agreement.Agreement(voter, self.rng)
            )
        self.node = nodes.Node(peers, self.rng, now, control=voter_control)
        if journal is not None:
            self._writer = durable.DurableWriter(
                self.reactor, journal, self._synced, self._disk_failed
            )
        self._make_gateway()
        self.caller_site = self._make_caller_site()
        self.hub = links.LinkHub(
            self.reactor,
            self.clock,
            self.config.deployment,
            settings.read_secret(self.config.secret_file),
            list(self.config.seeds),
            self.config.links_address,
            self,
            lambda: self.node.me,
        )

    def _open_journal(self) -> tuple[store.FileJournal | None, str | None]:
        if self.config.data_folder is None:
            return None, None
        journal = store.FileJournal(pathlib.Path(self.config.data_folder))
        journal.open()
        self._records = journal.load()
        for record in self._records:
            if isinstance(record, messages.Identity):
                return journal, record.voter
        identity = messages.Identity(new_voter_id(self.config.instance))
        journal.append([identity])
        self._records = [identity]
        return journal, identity.voter

    def _make_gateway(self) -> None:
        dispatcher = dispatch.Dispatcher(
            self.node.group_table,
            routing.Router(self.rng),
            started_at=self.clock.now(),
        )
        self.node.drainer = dispatcher
        buffers = answerbuffers.AnswerBuffers(
            max(answerbuffers.LIMIT_BYTES, self.config.limits.answer_bytes)
        )
        self.gateway = gateways.Gateway(
            self.node,
            dispatcher,
            upstreams.UpstreamClient(
                self.reactor, self.clock, self.config.limits, buffers
            ),
            self.metrics,
            self.clock,
            self.config.limits,
            self,
            self.rng,
            self._fatal,
            buffers=buffers,
        )

    # ---- Starting and stopping ------------------------------------------

    @defer.inlineCallbacks
    def start(self) -> typing.Iterator[typing.Any]:
        """Opens the ports and starts the periodic tasks."""
        if self._writer is not None:
            self._writer.start()
        self._carry_out(self.node.start(self._records, self.clock.now()))
        self._records = []
        yield self.hub.start()
        yield self._listen(
            self.config.upstreams_address,
            administration.UnloggedSite(administration.upstreams_root(self)),
        )
        yield self._listen(
            self.config.metrics_address,
            administration.UnloggedSite(administration.metrics_root(self)),
        )
        yield self._listen(
            self.config.operators_address,
            administration.UnloggedSite(self._operators_port().root()),
        )
        yield self._listen(
            self.config.callers_address, self.caller_site, self.config.tls
        )
        self._callers_port = self._ports.pop()
        self._loop(self._tick, TICK_SECONDS)
        self._loop(self.gateway.tick, GATEWAY_TICK_SECONDS)
        # Excludes objects that live as long as the process from garbage
        # collection: a full collection delays tokens by tens of milliseconds.
        gc.collect()
        gc.freeze()
        _log.info(
            "entry started: instance={} data_centre={} voter={}",
            self.config.instance,
            self.config.data_centre,
            self.node.me.voter,
        )

    def _make_caller_site(self) -> callers.CallerSite:
        return callers.CallerSite(
            callers.CallerResource(self.gateway),
            self.config.limits,
            self.reactor,
            lambda refusal: self.metrics.outcome("", "", refusal.kind),
        )

    def _operators_port(self) -> administration.OperatorsPort:
        key = None
        if self.config.operator_key_file is not None:
            key = settings.read_secret(self.config.operator_key_file)
        return administration.OperatorsPort(
            self, key, self.config.allow_faults
        )

    @defer.inlineCallbacks
    def _listen(
        self,
        address: str,
        site: server.Site,
        tls: settings.Tls | None = None,
    ) -> typing.Iterator[typing.Any]:
        host, port = settings.split_address(address)
        if tls is not None:
            endpoint: typing.Any = endpoints.SSL4ServerEndpoint(
                self.reactor, port, _tls_context(tls), interface=host
            )
        elif ":" in host:
            endpoint = endpoints.TCP6ServerEndpoint(
                self.reactor, port, interface=host
            )
        else:
            endpoint = endpoints.TCP4ServerEndpoint(
                self.reactor, port, interface=host
            )
        listening = yield endpoint.listen(site)
        self._ports.append(listening)

    def _loop(
        self, function: typing.Callable[[], None], seconds: float
    ) -> None:
        loop = task.LoopingCall(function)
        loop.clock = self.reactor
        self._loops.append(loop)
        loop.start(seconds).addErrback(self._fatal)

    def stop(self) -> None:
        """Starts a graceful shutdown: drains requests, accepts no new work.

        The signal may have come at any time since this process last read; the
        stop timeout runs from then.
        """
        if self._stopping_since is not None:
            return
        now = self.clock.now()
        self._stopping_since = min(now, self.gateway.read_until)
        self._removed_at = now + BALANCER_REMOVAL_DELAY
        _log.info(
            "entry stopping: in_progress={} late_ms={}",
            self.gateway.in_progress,
            logs.milliseconds(now - self._stopping_since),
        )
        self._carry_out(self.node.begin_stop(now))

    def reload(self) -> None:
        """Keeps the settings, which are read at the start only."""
        _log.info("settings kept: they are read at the start only")

    def _check_stopped(self, now: datetime.timedelta) -> None:
        since = self._stopping_since
        if since is None or now < self._removed_at:
            return
        remaining = self.config.stop_timeout - (now - since)
        if remaining <= STOP_MARGIN:
            self._calls_ended += self.gateway.end_calls()
        deadline_passed = remaining <= datetime.timedelta(0)
        if self._is_answering() and not deadline_passed:
            return
        longest = self.config.stop_timeout * control.VOTE_RELEASE_PART
        if now - since < longest and not self.node.may_end(now):
            return
        self._stopping_since = None
        is_late = deadline_passed or self._calls_ended > 0
        self._close(is_late).addErrback(self._fatal)

    def _is_answering(self) -> bool:
        """Returns whether answers are in progress or still to be sent.

        Closes the callers' port and idle connections after the last request.
        """
        if self.gateway.in_progress:
            return True
        if self._callers_port is not None:
            self._callers_port.stopListening()
            self._callers_port = None
        self.caller_site.close_idle()
        return bool(self.caller_site.channels)

    @defer.inlineCallbacks
    def _close(self, is_late: bool) -> typing.Iterator[typing.Any]:
        for loop in self._loops:
            loop.stop()
        if self._callers_port is not None:
            yield self._callers_port.stopListening()
        for port in self._ports:
            yield port.stopListening()
        yield self.hub.stop()
        yield self.gateway.client.close()
        self.stop_writing()
        _log.info("entry stopped: late={}", is_late)
        self.stopped.callback(not is_late)

    def stop_writing(self) -> None:
        """Ends the thread that writes to the disk; the process can exit."""
        if self._writer is not None:
            self._writer.stop()

    def _fatal(self, failure: typing.Any) -> None:
        """Exits at once after a failed invariant or disk write."""
        _log.critical("entry failed: {}", failure.getTraceback())
        # The state may be wrong, so nothing more may be sent or written.
        os._exit(70)

    def _disk_failed(self, failure: typing.Any) -> None:
        self._fatal(failure)

    # ---- Effects --------------------------------------------------------

    def _tick(self) -> None:
        now = self.clock.now()
        self._carry_out(self.node.tick(now))
        self._check_stopped(now)

    def _carry_out(self, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            match effect:
                case effects.SendPeer(instance, message):
                    self.hub.send(instance, message)
                case effects.PersistRecords() | effects.RewriteJournal():
                    self._submit_batch(effect)
                case effects.SendOrder():
                    self._send_order(effect)
                case effects.Decided(proposal, outcome):
                    self._on_decided(proposal, outcome)
                case effects.ConfigurationChanged():
                    self.gateway.apply_configuration(self.node.configuration)
                case effects.StateChanged(event, detail):
                    self._state_changed(event, detail)
                case effects.MessageDropped(error):
                    self.metrics.event(type(error).__name__)

    def _submit_batch(
        self, batch: effects.PersistRecords | effects.RewriteJournal
    ) -> None:
        if self._writer is None:
            raise AssertionError(
                "an entry without a data folder has records to write"
            )
        self._writer.submit(batch)

    def _synced(self, batch: effects.PersistRecords) -> None:
        for send in batch.sends:
            self.hub.send(send.instance, send.message)
        if batch.records:
            now = self.clock.now()
            self._apply_or_exit(
                self.node.synced, batch.last_index, batch.last_term, now
            )

    def _send_order(self, order: effects.SendOrder) -> None:
        self.metrics.event("order-sent")
        sent = self.gateway.client.send_order(
            order.address, order.order, order.valid_until
        )
        sent.addErrback(lambda _: self.metrics.event("order-failed"))

    def _on_decided(
        self, proposal: str, outcome: messages.Outcome | None
    ) -> None:
        on_outcome = self._on_outcome_by_proposal.pop(proposal, None)
        if on_outcome is not None:
            on_outcome(outcome)

    def _state_changed(
        self, event: str, detail: tuple[tuple[str, object], ...]
    ) -> None:
        self.metrics.event(event.replace(" ", "-"))
        fields = " ".join(f"{name}={value}" for name, value in detail)
        _log.info("{}: {}", event, fields)

    def _apply_or_exit(
        self,
        decide: typing.Callable[..., list[effects.Effect]],
        *args: typing.Any,
    ) -> None:
        """Runs a decision and its effects; exits if an invariant is broken."""
        try:
            self._carry_out(decide(*args))
        except AssertionError:
            _log.exception("invariant broken")
            os._exit(70)

    # ---- Links ----------------------------------------------------------

    def link_up(self, peer: messages.Peer) -> None:
        """Handles a link that completed its handshake."""
        _log.info("link up: peer={}", peer.instance)
        self._apply_or_exit(self.node.link_up, peer, self.clock.now())

    def link_down(self, instance: str) -> None:
        """Handles the loss of a link."""
        _log.info("link down: peer={}", instance)
        self.node.link_down(instance)

    def peer_message(
        self, instance: str, message: messages.PeerMessage
    ) -> None:
        """Handles a message from a peer."""
        self._apply_or_exit(
            self.node.receive, instance, message, self.clock.now()
        )

    def message_refused(self, error: errors.FigfordError) -> None:
        """Counts an invalid message or handshake."""
        self.metrics.event(type(error).__name__)

    def known_peers(self) -> list[messages.Peer]:
        """Returns all known entries, live or not."""
        return self.node.peers.all_peers()

    # ---- Commands -------------------------------------------------------

    def propose(
        self,
        command: messages.Command,
        deadline: datetime.timedelta,
        on_outcome: gateways.OnOutcome,
    ) -> None:
        """Proposes a command; its outcome is None after the deadline."""
        now = self.clock.now()
        proposal, new_effects = self.node.propose(command, deadline, now)
        self._on_outcome_by_proposal[proposal] = on_outcome
        self._carry_out(new_effects)

    # ---- Ports of operators, upstreams and metrics -----------------------

    def announce(self, announcement: messages.Announcement) -> None:
        """Processes an announcement of an upstream."""
        self._apply_or_exit(self.node.announce, announcement, self.clock.now())

    def cache_event(self, event: messages.CacheEvent) -> None:
        """Processes a prompt cache event of an upstream."""
        self.gateway.cache_event(event)

    def submit(
        self, command: messages.Submit, on_outcome: gateways.OnOutcome
    ) -> None:
        """Proposes a configuration; None as outcome means it is unknown."""
        deadline = self.clock.now() + SUBMIT_DEADLINE
        self.propose(command, deadline, on_outcome)

    def configuration(self) -> messages.ConfigurationView:
        """Returns the configuration in force."""
        return self.node.follower.view

    def in_force(self, version: int) -> dict:
        """Returns which live entries have a version in force and which lag."""
        live = self.node.peers.live(self.clock.now())
        up_to_date = [
            peer.instance for peer in live if peer.version >= version
        ]
        if self.node.follower.version >= version:
            up_to_date.append(self.config.instance)
        outdated = [peer.instance for peer in live if peer.version < version]
        return {"in_force": sorted(up_to_date), "behind": sorted(outdated)}

    def is_ready(self) -> bool:
        """Returns whether callers may be served."""
        return self.node.is_ready(self.clock.now())

    def render_metrics(self, accepts: list[str]) -> tuple[bytes, dict]:
        """Returns the text of all metrics and its HTTP headers."""
        gauges = status.gauges(
            self.node, self.gateway, self.hub, self.clock.now()
        )
        for name, value in gauges.items():
            self.metrics.set_state(name, value)
        return self.metrics.render(accepts)

    def status(self) -> dict:
        """Returns this entry's state and its view of the deployment."""
        return status.describe(
            self.node, self.gateway, self.hub, self.clock.now()
        )

    def block_links(self, instances: set[str]) -> None:
        """Blocks the links to instances, for fault injection."""
        self.hub.block(instances)


def _tls_context(tls: settings.Tls) -> typing.Any:
    """Returns the TLS context factory of the callers' port.

    Raises SettingsError if the library is missing or the key or certificate
    can't be loaded.
    """
    try:
        # Imported only if TLS is configured, as it costs some megabytes.
        from twisted.internet import ssl

        return ssl.DefaultOpenSSLContextFactory(tls.key, tls.certificate)
    except Exception as error:
        # The library raises its own types for each kind of invalid file.
        raise errors.SettingsError(str(error) or repr(error), "tls") from error


def configure_logs(level: str) -> None:
    """Writes log records to standard error."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level=level,
        format_string=(
            "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name}"
            " {record.channel} {record.message}"
        ),
    )
    handler.push_application()

    def observe(event: dict) -> None:
        if event.get("isError"):
            text = twisted_log.textFromEventDict(event)
            logbook.Logger("twisted").error("{}", text)

    twisted_log.startLoggingWithObserver(observe, setStdout=False)


def run(config: settings.Settings) -> int:
    """Runs an entry until it is stopped; returns the exit code."""
    # The import installs the reactor, so it must not run at module import.
    from twisted.internet import reactor

    configure_logs(config.log_level)
    entry = Entry(config, reactor)
    exit_codes = []

    def stopped(in_time: bool) -> None:
        exit_codes.append(0 if in_time else 1)
        reactor.stop()

    def failed(failure: typing.Any) -> None:
        _log.critical("entry can't start: {}", failure.getErrorMessage())
        exit_codes.append(1)
        entry.stop_writing()
        reactor.stop()

    entry.stopped.addCallback(stopped)
    reactor.callWhenRunning(lambda: entry.start().addErrback(failed))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            number,
            lambda *_: reactor.callFromThread(entry.stop),
        )
    signal.signal(
        signal.SIGHUP, lambda *_: reactor.callFromThread(entry.reload)
    )
    reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else 1
