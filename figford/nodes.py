"""What the daemons of controllers and entries have in common."""

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
from figford import settings

_log = logbook.Logger(__name__)

TICK_SECONDS = 0.025
SETTINGS_CHECK_SECONDS = 1.0
# Links carry a pulse every 400 ms; one that is this silent is dead, also
# where the network gave no notice.
LINK_SILENCE = datetime.timedelta(milliseconds=1600)
# Processes that start together find each other within a few rounds; a peer
# without power answers nothing, and is dialled anew once it may be back.
DIAL_INTERVAL_SECONDS = 0.2
DIAL_TIMEOUT_SECONDS = 0.7
DEPLOYMENT = "platform"

ReadSettings = typing.Callable[[pathlib.Path], nodesettings.NodeSettings]


class State(typing.Protocol):
    """The decisions of a process, fed by its links."""

    def link_up(self, peer: messages.Peer, now: typing.Any) -> list:
        """Notes a link; returns effects."""

    def link_down(self, instance: str) -> None:
        """Notes that a link broke."""

    def receive(
        self, instance: str, message: messages.PeerMessage, now: typing.Any
    ) -> list:
        """Handles a message; returns effects."""


@attrs.define(eq=False)
class NodeDaemon:
    """Ports, links, loops and the end of one process.

    A subclass makes `state`, carries out its effects and stops itself.
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
    _ports: list[typing.Any] = attrs.field(factory=list)
    _loops: list[task.LoopingCall] = attrs.field(factory=list)
    _settings_stamp: tuple[int, int] = (0, 0)

    def make_hub(self) -> None:
        """Makes the links; opens no socket yet."""
        self.hub = links.LinkHub(
            self.reactor,
            self.clock,
            DEPLOYMENT,
            # The platform's network between machines is ours alone.
            DEPLOYMENT.encode(),
            list(self.config.seeds),
            self.config.links_address,
            self,
            lambda: self.state.me,
            select_links=links.voter_links,
            silence_timeout=LINK_SILENCE,
            dial_interval_seconds=DIAL_INTERVAL_SECONDS,
            dial_timeout_seconds=DIAL_TIMEOUT_SECONDS,
        )

    def me(self, voter: str | None) -> messages.Peer:
        """Returns what this process says of itself at its start."""
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
        """Listens; the port is closed at the end."""
        host, port = settings.split_address(address)
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, port, interface=host, backlog=1024
        )
        return endpoint.listen(factory).addCallback(self._listens)

    def _listens(self, port: typing.Any) -> typing.Any:
        self._ports.append(port)
        return port

    def start_common(self) -> None:
        """Serves metrics, starts the loops and takes signals."""
        if self.config.metrics_address:
            self.listen(
                self.config.metrics_address,
                pages.PagesFactory(pages.MetricsRequest, self, self.reactor),
            ).addErrback(self._no_metrics)
        self.loop(self.tick, TICK_SECONDS)
        self.loop(self._check_settings, SETTINGS_CHECK_SECONDS)
        for number, handler in (
            (signal.SIGTERM, self.stop),
            (signal.SIGINT, self.stop),
            (signal.SIGHUP, self._reload),
        ):
            signal.signal(number, self._from_signal(handler))
        # What lives as long as the process need not be looked at again.
        gc.collect()
        gc.freeze()
        _log.info(
            "process started",
            name=self.config.name,
            data_centre=self.config.data_centre,
            seeds=",".join(self.config.seeds),
            founders=",".join(self.config.founders),
        )

    def _no_metrics(self, failure: typing.Any) -> None:
        """Goes on without metrics, which nothing else needs."""
        _log.warning("metrics not served", error=str(failure.value))

    def _from_signal(
        self, handler: typing.Callable[[], None]
    ) -> typing.Callable[[int, object], None]:
        def handle(number: int, frame: object) -> None:
            self.reactor.callFromThread(handler)

        return handle

    def loop(
        self, function: typing.Callable[[], None], seconds: float
    ) -> None:
        """Calls a function again and again; its failure ends the process."""
        loop = task.LoopingCall(function)
        loop.clock = self.reactor
        self._loops.append(loop)
        loop.start(seconds).addErrback(self.fatal)

    # ---- Settings -------------------------------------------------------

    def _check_settings(self) -> None:
        """Reloads the settings when their file changed without a signal."""
        try:
            found = self.settings_path.stat()
        except OSError as error:
            _log.warning("settings can't be found", error=str(error))
            return
        stamp = (found.st_mtime_ns, found.st_size)
        if stamp != self._settings_stamp:
            first = self._settings_stamp == (0, 0)
            self._settings_stamp = stamp
            if not first:
                self._reload()

    def _reload(self) -> None:
        try:
            fresh = self.read_settings(self.settings_path)
        except errors.SettingsError as error:
            _log.warning("settings kept", cause=str(error))
            return
        self.config = attrs.evolve(self.config, seeds=fresh.seeds)
        self.hub.seeds = list(fresh.seeds)
        _log.info("settings reloaded", seeds=",".join(fresh.seeds))

    # ---- Stopping -------------------------------------------------------

    def tick(self) -> None:
        """Does what time makes due."""
        raise NotImplementedError

    def stop(self) -> None:
        """Begins a graceful stop."""
        raise NotImplementedError

    def carry_out(self, todo: list) -> None:
        """Carries out effects."""
        raise NotImplementedError

    @defer.inlineCallbacks
    def close_ports(self) -> typing.Iterator[typing.Any]:
        """Ends loops, ports and links."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        for port in self._ports:
            yield port.stopListening()
        yield self.hub.stop()

    def fatal(self, failure: typing.Any) -> None:
        """Ends the process: an invariant or the disk failed."""
        _log.critical("process failed", error=failure.getTraceback())
        # State may be wrong, so nothing more is sent or written.
        os._exit(70)

    def guard(
        self, decide: typing.Callable[..., list], *args: typing.Any
    ) -> None:
        """Carries out a decision; a broken invariant ends the process."""
        try:
            self.carry_out(decide(*args))
        except Exception:
            _log.exception("decision failed")
            os._exit(70)

    # ---- Links ----------------------------------------------------------

    def link_up(self, peer: messages.Peer) -> None:
        """Reports a link after its handshake."""
        _log.info("link up", peer=peer.instance, voter=peer.voter)
        self.guard(self.state.link_up, peer, self.clock.now())

    def link_down(self, instance: str) -> None:
        """Reports the end of a link."""
        _log.info("link down", peer=instance)
        self.state.link_down(instance)

    def peer_message(
        self, instance: str, message: messages.PeerMessage
    ) -> None:
        """Reports a message of a peer."""
        self.guard(self.state.receive, instance, message, self.clock.now())

    def message_refused(self, error: errors.FigfordError) -> None:
        """Reports bytes that were no message or no handshake."""
        self.metrics.event(type(error).__name__)
        _log.warning("message refused", error=str(error))

    def known_peers(self) -> list[messages.Peer]:
        """Returns all processes that are known."""
        return self.state.peers.all_peers()

    def state_changed(self, change: effects.StateChanged) -> None:
        """Counts and logs a change of state."""
        self.metrics.event(change.event.replace(" ", "-"))
        _log.info(change.event, **dict(change.detail))

    # ---- Metrics --------------------------------------------------------

    def render_metrics(
        self, accepts: typing.Sequence[str]
    ) -> tuple[bytes, dict]:
        """Returns the text of all metrics and its HTTP headers."""
        self.note_states()
        return self.metrics.render(accepts)

    def note_states(self) -> None:
        """Sets the gauges of what this process believes."""
        self.metrics.set_state("links", len(self.state.links))
        self.metrics.set_state("table-version", self.state.view.version)

    def is_ready(self) -> bool:
        """Returns whether the process does its work."""
        return self.state.view.version > 0
