"""The common base of the controller and entry daemons."""

import datetime
import gc
import os
import pathlib
import signal
import typing

import attrs
import logbook
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import task

from figford import clocks
from figford import effects
from figford import errors
from figford import links
from figford import messages
from figford import metrics as metric_sets
from figford import nodesettings
from figford import pages
from figford import routes
from figford import settings

_log = logbook.Logger(__name__)

TICK_SECONDS = 0.025
SETTINGS_CHECK_SECONDS = 1.0
# Links carry a pulse every 400 ms. A link that has received nothing for
# this long is dead, even if the network reported no error.
LINK_SILENCE_TIMEOUT = datetime.timedelta(milliseconds=1600)
# Processes that start together connect within a few dialling rounds. A peer
# that lost power does not refuse a connection; the timeout lets it be
# dialled again once it may be back.
DIAL_INTERVAL_SECONDS = 0.2
DIAL_TIMEOUT_SECONDS = 0.7
DEPLOYMENT = "platform"

ReadTable = typing.Callable[[bytes], routes.RouteTable]
ReadSettings = typing.Callable[[pathlib.Path], nodesettings.NodeSettings]


class State(typing.Protocol):
    """The state machine of a process; handles the events of its links."""

    def link_up(self, peer: messages.Peer, now: typing.Any) -> list:
        """Records a link; returns effects."""

    def link_down(self, instance: str) -> None:
        """Records that a link is down."""

    def receive(
        self, instance: str, message: messages.PeerMessage, now: typing.Any
    ) -> list:
        """Handles a message; returns effects."""


@attrs.define(eq=False)
class NodeDaemon:
    """Ports, links, periodic tasks and shutdown of one process.

    A subclass creates `state`, runs its effects and implements the shutdown.
    """

    config: nodesettings.NodeSettings
    settings_path: pathlib.Path
    read_settings: ReadSettings
    reactor: typing.Any
    clock: clocks.SystemClock = attrs.field(factory=clocks.SystemClock)
    metrics: metric_sets.Metrics = attrs.field(factory=metric_sets.Metrics)
    stopped: defer.Deferred = attrs.field(factory=defer.Deferred)
    hub: links.LinkHub = attrs.field(init=False)
    state: typing.Any = attrs.field(init=False)
    read_table: ReadTable = attrs.field(kw_only=True)
    _ports: list[typing.Any] = attrs.field(factory=list)
    _loops: list[task.LoopingCall] = attrs.field(factory=list)
    _settings_file_stamp: tuple[int, int] = (0, 0)

    def make_hub(self) -> None:
        """Creates the link hub; opens no socket yet."""
        self.hub = links.LinkHub(
            self.reactor,
            self.clock,
            DEPLOYMENT,
            # The link secret need not be secret: no other system has access
            # to the platform's network between machines.
            DEPLOYMENT.encode(),
            list(self.config.seeds),
            self.config.links_address,
            self,
            lambda: self.state.me,
            select_links=links.voter_links,
            silence_timeout=LINK_SILENCE_TIMEOUT,
            dial_interval_seconds=DIAL_INTERVAL_SECONDS,
            dial_timeout_seconds=DIAL_TIMEOUT_SECONDS,
        )

    def own_peer(self, voter: str | None) -> messages.Peer:
        """Returns the peer record that this process announces at its start."""
        return messages.Peer(
            instance=self.config.instance,
            incarnation=int(self.clock.wall().timestamp() * 1000),
            sequence=0,
            data_centre=self.config.data_centre,
            address=self.config.links_address,
            callers_address=self.config.callers_address or "",
            voter=voter,
        )

    # ---- Starting -------------------------------------------------------

    def listen(self, address: str, factory: typing.Any) -> defer.Deferred:
        """Listens on an address; shutdown closes the port."""
        host, port = settings.split_address(address)
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, port, interface=host, backlog=1024
        )
        return endpoint.listen(factory).addCallback(self._port_opened)

    def _port_opened(self, port: typing.Any) -> typing.Any:
        self._ports.append(port)
        return port

    def start_common_services(self) -> None:
        """Serves metrics, starts periodic tasks and handles signals."""
        if self.config.metrics_address:
            self.listen(
                self.config.metrics_address,
                pages.PagesFactory(pages.MetricsRequest, self, self.reactor),
            ).addErrback(self._metrics_listen_failed)
        self.loop(self.tick, TICK_SECONDS)
        self.loop(self._check_settings, SETTINGS_CHECK_SECONDS)
        for number, handler in (
            (signal.SIGTERM, self.stop),
            (signal.SIGINT, self.stop),
            (signal.SIGHUP, self._reload),
        ):
            signal.signal(number, self._signal_handler(handler))
        # Excludes objects that live as long as the process from garbage
        # collection.
        gc.collect()
        gc.freeze()
        _log.info(
            "process started",
            name=self.config.name,
            data_centre=self.config.data_centre,
            seeds=",".join(self.config.seeds),
            founders=",".join(self.config.founders),
        )

    def _metrics_listen_failed(self, failure: typing.Any) -> None:
        """Continues without metrics, on which nothing else depends."""
        _log.warning("metrics not served", error=str(failure.value))

    def _signal_handler(
        self, handler: typing.Callable[[], None]
    ) -> typing.Callable[[int, object], None]:
        def handle(number: int, frame: object) -> None:
            self.reactor.callFromThread(handler)

        return handle

    def loop(
        self, function: typing.Callable[[], None], seconds: float
    ) -> None:
        """Calls a function periodically; its failure ends the process."""
        loop = task.LoopingCall(function)
        loop.clock = self.reactor
        self._loops.append(loop)
        loop.start(seconds).addErrback(self.fatal)

    # ---- Settings -------------------------------------------------------

    def _check_settings(self) -> None:
        """Reloads the settings if their file changed without a signal."""
        try:
            file_status = self.settings_path.stat()
        except OSError as error:
            _log.warning("settings can't be found", error=str(error))
            return
        file_stamp = (file_status.st_mtime_ns, file_status.st_size)
        if file_stamp != self._settings_file_stamp:
            first = self._settings_file_stamp == (0, 0)
            self._settings_file_stamp = file_stamp
            if not first:
                self._reload()

    def _reload(self) -> None:
        try:
            reloaded = self.read_settings(self.settings_path)
        except errors.SettingsError as error:
            _log.warning("settings kept", cause=str(error))
            return
        self.config = attrs.evolve(self.config, seeds=reloaded.seeds)
        self.hub.seeds = list(reloaded.seeds)
        _log.info("settings reloaded", seeds=",".join(reloaded.seeds))

    # ---- Stopping -------------------------------------------------------

    def tick(self) -> None:
        """Runs what is due at this time."""
        raise NotImplementedError

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        raise NotImplementedError

    def carry_out(self, new_effects: list) -> None:
        """Runs the effects that the state machine returned."""
        raise NotImplementedError

    @defer.inlineCallbacks
    def close_ports(self) -> typing.Iterator[typing.Any]:
        """Stops periodic tasks and closes ports and links."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        for port in self._ports:
            yield port.stopListening()
        yield self.hub.stop()

    def fatal(self, failure: typing.Any) -> None:
        """Exits at once after a failed invariant or disk write."""
        _log.critical("process failed", error=failure.getTraceback())
        # The state may be wrong, so nothing more may be sent or written.
        os._exit(70)

    def apply_or_exit(
        self, decide: typing.Callable[..., list], *args: typing.Any
    ) -> None:
        """Runs a decision and its effects; exits if either fails."""
        try:
            self.carry_out(decide(*args))
        except Exception:
            _log.exception("decision failed")
            os._exit(70)

    def read_route_table(self) -> routes.RouteTable | None:
        """Returns the route table in force; None if it can't be read.

        It was checked when it was submitted, maybe by another version of this
        program. All processes get it, so none may end because of it.
        """
        try:
            table = self.read_table(self.state.view.document)
        except Exception:
            self.metrics.event("route-table-unreadable")
            _log.exception(
                "route table unreadable", version=self.state.view.version
            )
            return None
        for route in table.shadowed:
            self.metrics.event("route-shadowed")
            _log.warning(
                "route not used, as another one has its host and prefix",
                version=table.version,
                route=route.name,
                host=route.host,
                prefix=route.prefix,
            )
        return table

    # ---- Links ----------------------------------------------------------

    def link_up(self, peer: messages.Peer) -> None:
        """Handles a link that completed its handshake."""
        _log.info("link up", peer=peer.instance, voter=peer.voter)
        self.apply_or_exit(self.state.link_up, peer, self.clock.now())

    def link_down(self, instance: str) -> None:
        """Handles the loss of a link."""
        _log.info("link down", peer=instance)
        self.state.link_down(instance)

    def peer_message(
        self, instance: str, message: messages.PeerMessage
    ) -> None:
        """Handles a message from a peer."""
        self.apply_or_exit(
            self.state.receive, instance, message, self.clock.now()
        )

    def message_refused(self, error: errors.FigfordError) -> None:
        """Counts and logs an invalid message or handshake."""
        self.metrics.event(type(error).__name__)
        _log.warning("message refused", error=str(error))

    def known_peers(self) -> list[messages.Peer]:
        """Returns all known processes, live or not."""
        return self.state.peers.all_peers()

    def state_changed(self, change: effects.StateChanged) -> None:
        """Counts and logs a state change."""
        counted = f"{change.event} {change.kind}".strip()
        self.metrics.event(counted.replace(" ", "-"))
        _log.info(change.event, **dict(change.detail))

    # ---- Metrics --------------------------------------------------------

    def render_metrics(
        self, accepts: typing.Sequence[str]
    ) -> tuple[bytes, dict]:
        """Returns the text of all metrics and its HTTP headers."""
        self.update_state_gauges()
        return self.metrics.render(accepts)

    def update_state_gauges(self) -> None:
        """Sets the gauges of the current state of this process."""
        self.metrics.set_state("links", len(self.state.links))
        self.metrics.set_state("table-version", self.state.view.version)

    def list_verdicts(self) -> list[dict[str, typing.Any]]:
        """Returns the verdicts that this process knows, as plain data."""
        return [
            attrs.asdict(verdict) for verdict in self.state.known_verdicts()
        ]

    def lift_verdict(self, trait: str) -> bool:
        """Begins to lift a verdict; only controllers do."""
        return False

    def is_ready(self) -> bool:
        """Returns whether this process has a route table."""
        return self.state.view.version > 0
