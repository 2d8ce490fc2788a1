"""What an entry without a disk knows, and whether it may serve.

It keeps a link to every controller. Route tables only ever get newer while
the process lives; the first one is taken from a controller that hears a
quorum.
"""

import datetime

import attrs

from figford import effects
from figford import fleet as fleets
from figford import fleetmessages
from figford import membership
from figford import messages

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# A question for a route table is asked again after this long.
PULL_TIMEOUT = datetime.timedelta(milliseconds=500)


@attrs.frozen
class FleetChanged:
    """Effect: the fleet differs from before."""


@attrs.frozen
class FleetStatusReceived:
    """Effect: the leading controller told something new."""

    status: fleetmessages.FleetStatus


Effect = effects.Effect | FleetChanged | FleetStatusReceived


@attrs.define
class EntryState:
    """The beliefs of one entry, fed by its links to controllers."""

    peers: membership.PeerTable
    fleet: fleets.FleetTable = attrs.field(factory=fleets.FleetTable)
    view: fleetmessages.RoutesView = fleetmessages.RoutesView(0, b"")
    links: set[str] = attrs.field(factory=set)
    stopping: bool = False
    callers_seen: bool = False
    _heartbeat_due: datetime.timedelta = datetime.timedelta(0)
    _pull_until: datetime.timedelta = datetime.timedelta(0)

    @property
    def me(self) -> messages.Peer:
        """Returns what this entry says of itself."""
        return self.peers.me

    @property
    def ready(self) -> bool:
        """Returns whether new callers should come here."""
        return not self.stopping and self.view.version > 0

    def tick(self, now: datetime.timedelta) -> list[Effect]:
        """Sends heartbeats when they are due."""
        if now < self._heartbeat_due:
            return []
        self._heartbeat_due = now + HEARTBEAT_INTERVAL
        self.peers.me = attrs.evolve(
            self.me,
            sequence=self.me.sequence + 1,
            version=self.view.version,
            draining=self.stopping,
        )
        state = messages.PeerState(
            self.me.sequence, self.view.version, self.stopping, False
        )
        return [
            effects.SendPeer(instance, messages.Pulse(state))
            for instance in sorted(self.links)
        ]

    def link_up(
        self, peer: messages.Peer, now: datetime.timedelta
    ) -> list[Effect]:
        """Notes a link."""
        self.links.add(peer.instance)
        self.peers.update_from_peer(peer, now)
        if not self.callers_seen:
            return []
        seen = fleetmessages.CallersSeen()
        return [effects.SendPeer(peer.instance, seen)]

    def note_caller_request(self) -> list[Effect]:
        """Notes a request of a caller; the first one is told to all."""
        if self.callers_seen:
            return []
        self.callers_seen = True
        seen = fleetmessages.CallersSeen()
        return [
            effects.SendPeer(instance, seen) for instance in sorted(self.links)
        ]

    def link_down(self, instance: str) -> None:
        """Notes that a link broke."""
        self.links.discard(instance)

    def receive(
        self,
        instance: str,
        message: messages.PeerMessage,
        now: datetime.timedelta,
    ) -> list[Effect]:
        """Handles a message from a controller."""
        match message:
            case messages.Peers(peers):
                for peer in peers:
                    self.peers.update(peer)
                return []
            case messages.Pulse(state):
                self.peers.update_from_pulse(instance, state, now)
                return self._pull_from(instance, state, now)
            case fleetmessages.FleetUpdate(registrations):
                return self._on_fleet(registrations, now)
            case fleetmessages.FleetStatus():
                return [FleetStatusReceived(message)]
            case fleetmessages.RoutesView():
                return self._on_routes(message)
        # Messages among controllers say nothing to an entry.
        return []

    def _pull_from(
        self,
        instance: str,
        state: messages.PeerState,
        now: datetime.timedelta,
    ) -> list[Effect]:
        if state.version <= self.view.version or now < self._pull_until:
            return []
        if not state.hears_quorum and not self.view.version:
            # It may be cut off with an old table.
            return []
        self._pull_until = now + PULL_TIMEOUT
        pull = fleetmessages.RoutesPull(self.view.version)
        return [effects.SendPeer(instance, pull)]

    def _on_routes(self, view: fleetmessages.RoutesView) -> list[Effect]:
        if view.version <= self.view.version:
            return []
        self.view = view
        self._pull_until = datetime.timedelta(0)
        return [
            effects.Configured(view.version),
            effects.StateChanged(
                "route table in force", (("version", view.version),)
            ),
        ]

    def _on_fleet(
        self,
        registrations: list[fleetmessages.Registration],
        now: datetime.timedelta,
    ) -> list[Effect]:
        before = self.fleet.revision
        for registration in registrations:
            self.fleet.report(registration, now)
        self.fleet.evict_ended(now)
        return [FleetChanged()] if self.fleet.revision != before else []
