"""The composition root of an entry that follows separate controllers."""

import datetime
import random
import typing

import attrs
import logbook
from twisted.internet import defer

from figford import effects
from figford import entry as entries
from figford import exchanges
from figford import fleetmessages
from figford import forwarder as forwarders
from figford import ingress as ingresses
from figford import logs
from figford import membership
from figford import nodes
from figford import placement
from figford import wire

_log = logbook.Logger(__name__)

FORWARD_TICK_SECONDS = 0.03
POOL_CHECK_SECONDS = 0.5
# The load balancer checks readiness once a second and removes an entry
# after two failed checks; until then it still opens new connections.
BALANCER_REMOVAL_DELAY = datetime.timedelta(milliseconds=2600)
# Requests still in progress this long before the stop timeout are ended.
STOP_MARGIN = datetime.timedelta(milliseconds=400)
# Until this long before the stop timeout, answers are sent to slow callers.
FLUSH_MARGIN = datetime.timedelta(milliseconds=150)
# A tick that comes so long after the one before is late: callers' requests may
# lie unread. After some that are not, they have been accepted and read.
LATE_TICK = datetime.timedelta(seconds=3 * nodes.TICK_SECONDS)
READING_TICKS = 2


@attrs.define(eq=False)
class EntryDaemon(nodes.NodeDaemon):
    """One entry process."""

    dialect: wire.Dialect = attrs.field(kw_only=True)
    ready_factory: typing.Callable[..., typing.Any] = attrs.field(kw_only=True)
    forwarder: forwarders.Forwarder = attrs.field(init=False)
    ingress: ingresses.Ingress = attrs.field(init=False)
    _callers_port: typing.Any = None
    _stopping_since: datetime.timedelta | None = None
    # Whether new and idle connections are still served.
    _takes_callers: bool = True
    _ticked_at: datetime.timedelta = datetime.timedelta(0)
    _ticks_in_time: int = 0
    # Whether requests in progress end with the next tick.
    _is_ending: bool = False
    # Requests that were ended since they outlasted this process.
    _calls_cut: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the parts; opens no socket yet."""
        rng = random.SystemRandom()
        peers = membership.PeerTable(self.own_peer(None))
        self.state = entries.EntryState(peers)
        pool = exchanges.Pool(self.reactor, self.clock, self.dialect)
        self.forwarder = forwarders.Forwarder(
            self.clock,
            pool,
            self.dialect,
            placement.Placement(
                self.config.data_centre, rng, permits=self.state.permits
            ),
            self.metrics,
            self.config.budget,
            rng,
            guard=self.state.guard,
        )
        self.forwarder.placement.on_doubt = self._send_doubt
        self.forwarder.on_limit = self._send_limit
        self.forwarder.on_crash = self._send_crash
        self.ingress = ingresses.Ingress(
            self.forwarder, self._record_caller_request
        )
        self.make_hub()

    @defer.inlineCallbacks
    def start(self) -> typing.Iterator[typing.Any]:
        """Opens the ports and starts the periodic tasks."""
        yield self.hub.start()
        yield self.listen(
            self.config.ready_address,
            self.ready_factory(lambda: self.state.ready, self.reactor),
        )
        self._callers_port = yield self.listen(
            self.config.callers_address,
            ingresses.CallerFactory(self.ingress, self.reactor),
        )
        self.loop(self.forwarder.tick, FORWARD_TICK_SECONDS)
        self.loop(self.forwarder.pool.close_expired, POOL_CHECK_SECONDS)
        self.start_common_services()

    def carry_out(self, new_effects: list) -> None:
        """Runs the effects that the state machine returned."""
        for effect in new_effects:
            match effect:
                case effects.SendPeer(instance, message):
                    self.hub.send(instance, message)
                case entries.FleetChanged():
                    self.forwarder.fleet_changed(self.state.fleet)
                case entries.PermitsChanged():
                    self.forwarder.permits_changed()
                case entries.FleetStatusReceived(status):
                    _log.info(
                        "status told",
                        silent=",".join(status.silent),
                        entries=status.entries,
                    )
                    self.forwarder.apply_fleet_status(status)
                case entries.VerdictsChanged(verdicts):
                    _log.info(
                        "verdicts in force",
                        traits=",".join(item.trait for item in verdicts),
                    )
                    self.forwarder.verdicts_changed()
                case entries.CrashRuled(ruling):
                    self.forwarder.crash_ruled(ruling)
                case effects.ConfigurationChanged():
                    table = self.read_route_table()
                    if table is not None:
                        self.forwarder.apply_route_table(table)
                        self.ingress.apply_limits()
                case effects.StateChanged():
                    self.state_changed(effect)

    def _record_caller_request(self) -> None:
        if not self.state.callers_seen:
            self.carry_out(self.state.record_caller_request())

    def _send_doubt(self, doubt: fleetmessages.UpstreamDoubt) -> None:
        """Reports an upstream's failure or recovery that requests revealed."""
        _log.info(
            "upstream doubted" if doubt.failing else "upstream works again",
            upstream=doubt.upstream,
        )
        self.hub.send_to_all(sorted(self.state.links), doubt)

    def _send_limit(self, limit: fleetmessages.UpstreamLimit) -> None:
        self.carry_out(self.state.send_limit(limit))

    def _send_crash(self, report: fleetmessages.CrashReport) -> None:
        self.carry_out(self.state.send_crash(report, self.clock.now()))

    def _request_permits(self) -> None:
        request = self.forwarder.permit_request()
        if request is not None:
            self.hub.send(self.state.permits.keeper, request)

    def update_state_gauges(self) -> None:
        """Sets the gauges of links, limits and permits."""
        super().update_state_gauges()
        permits = self.state.permits
        self.metrics.set_state(
            "limited-upstreams", len(permits.table.by_upstream)
        )
        self.metrics.set_state("permits-rejected", permits.rejected)
        self.metrics.set_state(
            "permits-isolated", permits.is_isolated(self.clock.now())
        )
        guard = self.state.guard
        self.metrics.set_state("verdicts", len(guard.verdicts))
        self.metrics.set_state("verdicts-alone", len(guard.own_verdicts))

    def tick(self) -> None:
        """Runs what is due at this time."""
        now = self.clock.now()
        self.carry_out(self.state.tick(now))
        self.carry_out(self.state.send_due_to_keeper(now))
        self._request_permits()
        self._check_stopped(now)

    # ---- Stopping -------------------------------------------------------

    def stop(self) -> None:
        """Starts a graceful shutdown that lets requests finish.

        The signal may have come at any time since this process last read. What
        is begun must end in time if it came first; requests in progress are
        ended as if it came last.
        """
        if self._stopping_since is not None:
            return
        now = self.clock.now()
        since = min(now, self.forwarder.read_until)
        self._stopping_since = now
        self.state.stopping = True
        self.ingress.begin_stop(
            since + BALANCER_REMOVAL_DELAY,
            since + self.config.stop_timeout - STOP_MARGIN,
        )
        _log.info(
            "process stopping",
            in_progress=len(self.forwarder.calls),
            late_ms=logs.milliseconds(now - since),
        )

    def _check_stopped(self, now: datetime.timedelta) -> None:
        self._record_tick(now)
        since = self._stopping_since
        if since is None or now - since < BALANCER_REMOVAL_DELAY:
            return
        # What a late process has not read would get no answer.
        if self._ticks_in_time >= READING_TICKS:
            self._close_callers_port()
        remaining = self.config.stop_timeout - (now - since)
        if remaining <= STOP_MARGIN:
            self._end_calls()
        has_callers = self._takes_callers or self.ingress.channels
        if self.forwarder.calls or has_callers and remaining > FLUSH_MARGIN:
            return
        self._stopping_since = None
        self._close().addErrback(self.fatal)

    def _record_tick(self, now: datetime.timedelta) -> None:
        """Counts the ticks since this process was late."""
        is_late = now - self._ticked_at > LATE_TICK
        self._ticks_in_time = 0 if is_late else self._ticks_in_time + 1
        self._ticked_at = now

    def _end_calls(self) -> None:
        """Ends all calls at the second tick, after all sockets were read."""
        if self._is_ending:
            self._calls_cut += self.forwarder.end_calls()
        self._is_ending = True

    def _close_callers_port(self) -> None:
        """Closes the listening port and idle connections.

        Requests in progress go on; each connection ends with its answer.
        """
        self._takes_callers = False
        if self._callers_port is not None:
            self._callers_port.stopListening()
            self._callers_port = None
        self.ingress.close_idle()

    @defer.inlineCallbacks
    def _close(self) -> typing.Iterator[typing.Any]:
        _log.info(
            "process stopped",
            cut=self._calls_cut,
            connections=len(self.ingress.channels),
        )
        yield self.close_ports()
        self.forwarder.pool.close()
        self.stopped.callback(not self._calls_cut)
