"""State of an entry without a disk, and whether it may serve.

An entry keeps a link to every controller. The version of its route table
never decreases while its process runs; it takes the first table only from a
controller that hears a quorum.
"""

import datetime

import attrs

from figford import crashguard
from figford import effects
from figford import evidence
from figford import fleet as fleets
from figford import fleetmessages
from figford import membership
from figford import messages
from figford import permits as permit_tables
from figford import signoffs

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# A request for a route table is repeated after this time.
PULL_TIMEOUT = datetime.timedelta(milliseconds=500)


@attrs.frozen
class FleetChanged:
    """Effect: the fleet table has changed."""


@attrs.frozen
class PermitsChanged:
    """Effect: other limits are known, or permits were granted."""


@attrs.frozen
class FleetStatusReceived:
    """Effect: the leading controller sent a status."""

    status: fleetmessages.FleetStatus


@attrs.frozen
class VerdictsChanged:
    """Effect: requests with other traits are to be refused."""

    verdicts: list[fleetmessages.Verdict]


@attrs.frozen
class CrashRuled:
    """Effect: it is known which requests a crash is blamed on."""

    ruling: fleetmessages.CrashRuling


Effect = (
    effects.Effect
    | CrashRuled
    | FleetChanged
    | FleetStatusReceived
    | PermitsChanged
    | VerdictsChanged
)


@attrs.define
class EntryState:
    """State of one entry, updated by messages from controllers."""

    peers: membership.PeerTable
    permits: permit_tables.Permits = attrs.field(factory=permit_tables.Permits)
    guard: crashguard.CrashGuard = attrs.field(factory=crashguard.CrashGuard)
    fleet: fleets.FleetTable = attrs.field(factory=fleets.FleetTable)
    view: fleetmessages.RoutesView = fleetmessages.RoutesView(0, b"")
    links: set[str] = attrs.field(factory=set)
    stopping: bool = False
    callers_seen: bool = False
    _heartbeat_due: datetime.timedelta = datetime.timedelta(0)
    _next_pull_at: datetime.timedelta = datetime.timedelta(0)

    @property
    def me(self) -> messages.Peer:
        """Returns this entry's description of itself."""
        return self.peers.me

    @property
    def ready(self) -> bool:
        """Returns whether this entry should receive new callers."""
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
        """Records a link that was established."""
        self.links.add(peer.instance)
        self.peers.update_from_peer(peer, now)
        result: list[Effect] = []
        if self.permits.table.by_upstream:
            known = fleetmessages.UpstreamLimits(self.permits.table.all())
            result.append(effects.SendPeer(peer.instance, known))
        if self.callers_seen:
            seen = fleetmessages.CallersSeen()
            result.append(effects.SendPeer(peer.instance, seen))
        for report in self.guard.recent_reports(now):
            result.append(effects.SendPeer(peer.instance, report))
        return result

    def send_crash(
        self, report: fleetmessages.CrashReport, now: datetime.timedelta
    ) -> list[Effect]:
        """Tells all controllers of a crash, and what clears its suspects."""
        traits = {
            trait
            for suspect in report.suspects
            for trait in evidence.traits(suspect)
        }
        survivals = self.guard.survivals(sorted(traits), now)
        return [
            effects.SendPeer(instance, message)
            for instance in sorted(self.links)
            for message in (survivals, report)
        ]

    def known_verdicts(self) -> list[fleetmessages.Verdict]:
        """Returns the verdicts that this entry was told."""
        return self.guard.verdicts

    def send_due_to_keeper(self, now: datetime.timedelta) -> list[Effect]:
        """Tells the leader of new answers, and of refused requests."""
        keeper = self.permits.keeper
        if keeper is None or keeper not in self.links:
            return []
        due = (self.guard.take_survivals(now), self.guard.take_demand(now))
        return [
            effects.SendPeer(keeper, message)
            for message in due
            if message is not None
        ]

    def send_limit(self, limit: fleetmessages.UpstreamLimit) -> list[Effect]:
        """Tells all controllers of a limit that an answer named or ended."""
        message = fleetmessages.UpstreamLimits([limit])
        return [
            effects.SendPeer(instance, message)
            for instance in sorted(self.links)
        ]

    def record_caller_request(self) -> list[Effect]:
        """Records a caller's request; reports the first to all controllers."""
        if self.callers_seen:
            return []
        self.callers_seen = True
        seen = fleetmessages.CallersSeen()
        return [
            effects.SendPeer(instance, seen) for instance in sorted(self.links)
        ]

    def link_down(self, instance: str) -> None:
        """Records the loss of a link."""
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
                pulled = self._pull_from(instance, state, now)
                return pulled + self._on_leading_term(instance, state, now)
            case fleetmessages.FleetUpdate(registrations):
                return self._on_fleet(registrations, now)
            case signoffs.SignOffs():
                return self._on_sign_offs(message, now)
            case fleetmessages.FleetStatus():
                return [FleetStatusReceived(message)]
            case fleetmessages.RoutesView():
                return self._on_routes(message)
            case fleetmessages.UpstreamLimits(told):
                return self._on_limits(instance, told)
            case fleetmessages.PermitGrant():
                granted = self.permits.receive_grant(instance, message, now)
                return [PermitsChanged()] if granted else []
            case fleetmessages.PermitSlot():
                self.permits.assign_slot(instance, message, now)
                return []
            case fleetmessages.SurvivalQuery():
                reply = self.guard.answer_query(message, now)
                return [effects.SendPeer(instance, reply)]
            case fleetmessages.CrashRuling():
                return [CrashRuled(message)]
            case fleetmessages.Verdicts():
                if not self.guard.apply(message):
                    return []
                return [VerdictsChanged(message.verdicts)]
            case fleetmessages.ProbeGrant():
                self.guard.grant_probe(message, now)
                return []
        # Other message types are exchanged between controllers only.
        return []

    def _pull_from(
        self,
        instance: str,
        state: messages.PeerState,
        now: datetime.timedelta,
    ) -> list[Effect]:
        if state.version <= self.view.version or now < self._next_pull_at:
            return []
        if not state.hears_quorum and not self.view.version:
            # The controller may be partitioned and hold a stale table.
            return []
        self._next_pull_at = now + PULL_TIMEOUT
        pull = fleetmessages.RoutesPull(self.view.version)
        return [effects.SendPeer(instance, pull)]

    def _on_leading_term(
        self, instance: str, state: messages.PeerState, now: datetime.timedelta
    ) -> list[Effect]:
        """Follows the leader of the log; tells a new one of all limits."""
        before = self.permits.keeper
        if state.leading_term:
            self.permits.keeper_heard(instance, state.leading_term, now)
        if self.permits.keeper == before:
            return []
        return self._tell_keeper(self.permits.table.all())

    def _on_limits(
        self, instance: str, told: list[fleetmessages.UpstreamLimit]
    ) -> list[Effect]:
        """Applies what a controller knows of limits.

        The keeper must know them as well: without permits, no answer would
        show that a limit has ended.
        """
        changed = [limit for limit in told if self.permits.apply(limit)]
        if not changed:
            return []
        named = [limit for limit in changed if limit.rate is not None]
        if instance == self.permits.keeper:
            named = []
        return [PermitsChanged(), *self._tell_keeper(named)]

    def _tell_keeper(
        self, known: list[fleetmessages.UpstreamLimit]
    ) -> list[Effect]:
        keeper = self.permits.keeper
        if keeper is None or keeper not in self.links or not known:
            return []
        return [effects.SendPeer(keeper, fleetmessages.UpstreamLimits(known))]

    def _on_routes(self, view: fleetmessages.RoutesView) -> list[Effect]:
        if view.version <= self.view.version:
            return []
        self.view = view
        self._next_pull_at = datetime.timedelta(0)
        return [
            effects.ConfigurationChanged(view.version),
            effects.StateChanged(
                "route table in force", (("version", view.version),)
            ),
        ]

    def _on_sign_offs(
        self, told: signoffs.SignOffs, now: datetime.timedelta
    ) -> list[Effect]:
        before = self.fleet.revision
        self.fleet.apply_sign_offs(told, now)
        return [FleetChanged()] if self.fleet.revision != before else []

    def _on_fleet(
        self,
        registrations: list[fleetmessages.Registration],
        now: datetime.timedelta,
    ) -> list[Effect]:
        before = self.fleet.revision
        for registration in registrations:
            self.fleet.report(registration, now)
        self.fleet.evict_told_ended(now)
        return [FleetChanged()] if self.fleet.revision != before else []
