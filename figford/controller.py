"""The state machine of a controller: log, route table, fleet and groups.

A controller has a disk and a vote. It receives reports of upstreams and
submissions of operators, forwards them to the other controllers and to the
entries, and plans groups while its disk leads the replicated log.
"""

import datetime
import random
import traceback

import attrs

from figford import control as controls
from figford import crashjudge
from figford import effects
from figford import evidence
from figford import fleet as fleets
from figford import fleetmessages
from figford import formations
from figford import groupplanner
from figford import limitkeeper
from figford import limits
from figford import membership
from figford import messages
from figford import permitslots
from figford import planrounds
from figford import proposals
from figford import routes
from figford import signoffs
from figford import warming

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# Interval at which the upstreams' beats are sent to the other controllers, in
# one batch.
BEATS_INTERVAL = datetime.timedelta(milliseconds=400)
PLAN_INTERVAL = datetime.timedelta(milliseconds=100)
# Minimum interval between planning rounds that a changed engine or an ended
# order triggers; short, since each step of a repair waits for the one before.
MIN_PLAN_INTERVAL = datetime.timedelta(milliseconds=40)
# A longer gap between two events means that the process was suspended; then
# no upstream counts as silent for `SETTLE_TIME`.
PAUSE_THRESHOLD = datetime.timedelta(seconds=1)
# Between two ticks with a longer gap, a query or connection may have timed out
# although the other side replied.
LATE_TICK = datetime.timedelta(milliseconds=200)
# A failed planning round is repeated after this time.
FAILED_PLAN_INTERVAL = datetime.timedelta(seconds=2)
# Characters of the input and of the trace that the log of one names.
MAX_LOGGED_INPUT = 2_000
# A change of the slots of limits is proposed again after this time.
SLOTS_PROPOSAL_INTERVAL = datetime.timedelta(seconds=1)
LIFT_DEADLINE = datetime.timedelta(seconds=2)
# An election after the loss of a leader takes less.
PREDECESSOR_SILENCE = datetime.timedelta(seconds=3)
# An entry's doubt about an upstream expires after this long.
DOUBT_EXPIRY = datetime.timedelta(seconds=6)
# An upstream that may have crashed has ended if nothing was heard of it for
# this long; longer than networks reset all connections.
UNHEARD_TIME = datetime.timedelta(seconds=6)
# After the start or a pause, no upstream counts as silent for this long.
SETTLE_TIME = fleets.SILENCE_TIMEOUT


@attrs.frozen
class SendGroupOrder:
    """Effect: send an order to an engine and report the result."""

    order: formations.GroupOrder


@attrs.frozen
class EventCounted:
    """Effect: count an event that is not logged."""

    event: str


@attrs.frozen
class SendAll:
    """Effect: send a message, encoded once, to several processes."""

    instances: list[str]
    message: messages.PeerMessage


@attrs.frozen
class QueryOrderCount:
    """Effect: query the number of orders that an engine has begun."""

    upstream: str
    incarnation: int
    address: str


Effect = (
    effects.Effect | EventCounted | SendAll | SendGroupOrder | QueryOrderCount
)


@attrs.define
class Controller:
    """The state of a controller; its methods return effects to execute."""

    peers: membership.PeerTable
    control: controls.Control
    rng: random.Random
    started_at: datetime.timedelta
    fleet: fleets.FleetTable = attrs.field(factory=fleets.FleetTable)
    planner: groupplanner.Planner = attrs.field(factory=groupplanner.Planner)
    proposal_tracker: proposals.ProposalTracker = attrs.field(
        factory=proposals.ProposalTracker
    )
    table: routes.RouteTable = attrs.field(factory=routes.RouteTable)
    limit_table: limits.LimitTable = attrs.field(factory=limits.LimitTable)
    limit_keeper: limitkeeper.LimitKeeper = attrs.field(
        factory=limitkeeper.LimitKeeper
    )
    judge: crashjudge.CrashJudge = attrs.field(factory=crashjudge.CrashJudge)
    stopping: bool = False
    # False only at the first start of a deployment, before its first request.
    callers_seen: bool = True
    links: set[str] = attrs.field(factory=set)
    _queried_at_by_name: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )
    _doubt_by_name: dict[
        str, tuple[fleetmessages.UpstreamDoubt, datetime.timedelta]
    ] = attrs.field(factory=dict)
    _beats: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _beats_due: datetime.timedelta = datetime.timedelta(0)
    _heartbeat_due: datetime.timedelta = datetime.timedelta(0)
    _plan_due: datetime.timedelta = datetime.timedelta(0)
    _planned_at: datetime.timedelta = datetime.timedelta(0)
    # When this controller last planned, or heard the one that does.
    _planner_heard_at: datetime.timedelta | None = None
    _settled_at: datetime.timedelta = attrs.field(init=False)
    _last_event: datetime.timedelta = attrs.field(init=False)
    _ticked_at: datetime.timedelta = attrs.field(init=False)
    # When the last tick ran that was late.
    _late_at: datetime.timedelta = datetime.timedelta(0)
    # Connections that arrived until then have been accepted, and messages on
    # links have been read.
    _accepted_until: datetime.timedelta = attrs.field(init=False)
    # What arrived until then has been read.
    _read_until: datetime.timedelta = attrs.field(init=False)
    _sent_status: fleetmessages.FleetStatus | None = None
    _proposals_made: int = 0
    # The term that this controller leads, as of its last pulse.
    _told_leading_term: int = 0
    _slots: permitslots.SlotTable = attrs.field(init=False)
    _slots_proposal_due: datetime.timedelta = datetime.timedelta(0)
    _told_verdicts: fleetmessages.Verdicts = fleetmessages.Verdicts(0, [])

    def __attrs_post_init__(self) -> None:
        """Starts the timers for silent upstreams."""
        self._slots = permitslots.SlotTable(self.peers)
        self._settled_at = self.started_at + SETTLE_TIME
        self._last_event = self._ticked_at = self.started_at
        self._accepted_until = self._read_until = self.started_at

    # ---- Reading --------------------------------------------------------

    @property
    def me(self) -> messages.Peer:
        """Returns the peer record that this controller announces."""
        return self.peers.me

    @property
    def is_settled_leader(self) -> bool:
        """Returns whether this disk leads the log and knows all commits."""
        return self.control.agreement.settled

    @property
    def view(self) -> fleetmessages.RoutesView:
        """Returns the route table in this controller's copy of the log."""
        state = self.control.ledger.state
        return fleetmessages.RoutesView(
            state.routes_version, state.routes_document
        )

    def controllers(self) -> list[messages.Peer]:
        """Returns all known controllers, this one first."""
        return [
            peer for peer in self.peers.all_peers() if peer.voter is not None
        ]

    # ---- Events ---------------------------------------------------------

    def start(
        self, records: list[messages.Record], now: datetime.timedelta
    ) -> list[Effect]:
        """Restores the state from the journal's records."""
        return self._with_log_results(self.control.restore(records, now), now)

    def tick(self, now: datetime.timedelta) -> list[Effect]:
        """Runs timers that are due; called several times a second."""
        self._detect_pause(now)
        self._record_tick(now)
        result = self._with_log_results(self.control.tick(now), now)
        result += self._heartbeat(now)
        result += self._send_beats(now)
        result += self._send_proposals(now)
        result += self._as_controller_effects(
            self.proposal_tracker.expire(now)
        )
        result += self._grant_permits(now)
        result += self._judge_crashes(now)
        return result + self._plan(now)

    def synced(
        self, index: int, term: int, now: datetime.timedelta
    ) -> list[Effect]:
        """Records that a batch of journal records was synced to disk."""
        return self._with_log_results(
            self.control.synced(index, term, now), now
        )

    def link_up(
        self, peer: messages.Peer, now: datetime.timedelta
    ) -> list[Effect]:
        """Records a link; sends the peer the known controllers and fleet."""
        self._detect_pause(now)
        self.links.add(peer.instance)
        self.peers.update_from_peer(peer, now)
        result: list[Effect] = [
            effects.SendPeer(
                peer.instance, messages.Peers(self.controllers())
            ),
            # Before the upstreams, so that no entry sends them too much or
            # what crashes them.
            effects.SendPeer(
                peer.instance,
                fleetmessages.UpstreamLimits(self.limit_table.all()),
            ),
            effects.SendPeer(peer.instance, self._verdicts()),
            effects.SendPeer(peer.instance, self._all_sign_offs(now)),
            effects.SendPeer(
                peer.instance,
                fleetmessages.FleetUpdate(self.fleet.all_registrations()),
            ),
        ]
        if peer.voter is not None:
            result += self._broadcast(messages.Peers([peer]), peer.instance)
            if self.is_settled_leader:
                told = self.planner.load_record.told(now)
                result.append(effects.SendPeer(peer.instance, told))
        else:
            result += self._send_status_to(peer.instance, now)
        result.append(effects.SendPeer(peer.instance, self._pulse()))
        return result

    def link_down(self, instance: str) -> None:
        """Records that a link is down."""
        self.links.discard(instance)
        self.limit_keeper.remove_entry(instance)
        self._slots.forget(instance)

    def report(
        self,
        registration: fleetmessages.Registration,
        now: datetime.timedelta,
    ) -> list[Effect]:
        """Processes a report that an upstream sent to this controller."""
        self._detect_pause(now)
        if self.fleet.report(registration, now):
            self._plan_soon()
            return self._forward(registration.upstream)
        self._beats[registration.upstream] = (
            registration.incarnation,
            registration.sequence,
        )
        return []

    def sign_off(
        self, sign_off: signoffs.SignOff, now: datetime.timedelta
    ) -> list[Effect]:
        """Processes an upstream's announcement that it leaves for good.

        All others are told even if this controller doesn't know the upstream.
        It was made by the start that is known, whatever the clocks say.
        """
        self._detect_pause(now)
        known = self.fleet.by_name.get(sign_off.upstream)
        if known is not None:
            sign_off = attrs.evolve(
                sign_off, incarnation=known.registration.incarnation
            )
        if not self.fleet.sign_off(sign_off, now):
            return []
        return self._tell_sign_offs([sign_off.upstream], None, now)

    def propose(
        self,
        command: messages.Command,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> tuple[str, list[Effect]]:
        """Proposes a command; a `Decided` effect returns its outcome."""
        self._proposals_made += 1
        me = self.me
        proposal = f"{me.instance}@{me.incarnation}/{self._proposals_made}"
        self.proposal_tracker.start(proposal, command, deadline, now)
        return proposal, self._send_proposals(now)

    def receive(
        self,
        instance: str,
        message: messages.PeerMessage,
        now: datetime.timedelta,
    ) -> list[Effect]:
        """Handles a message from a linked peer."""
        self._detect_pause(now)
        match message:
            case messages.Peers():
                return self._on_peers(instance, message, now)
            case messages.Pulse(state):
                self.peers.update_from_pulse(instance, state, now)
                if state.leading_term:
                    self._planner_heard_at = now
                return []
            case messages.Addressed():
                return self._with_log_results(
                    self.control.receive(message, now), now
                )
            case messages.Proposal():
                return self._on_proposal(instance, message, now)
            case messages.ProposalResult():
                return self._as_controller_effects(
                    self.proposal_tracker.route_result(message)
                )
            case fleetmessages.RoutesPull(version):
                if self.view.version <= version:
                    return []
                return [effects.SendPeer(instance, self.view)]
            case fleetmessages.FleetUpdate(registrations):
                self._on_fleet_update(registrations, now)
                return []
            case fleetmessages.FleetBeats():
                self._on_beats(message, now)
                return []
            case signoffs.SignOffs():
                new = self.fleet.apply_sign_offs(message, now)
                return self._tell_sign_offs(new, instance, now)
            case fleetmessages.CallersSeen():
                self.callers_seen = True
                return []
            case fleetmessages.LoadsTold(told):
                self.planner.load_record.adopt(told, now)
                return []
            case fleetmessages.UpstreamDoubt():
                self._doubt_by_name[message.upstream] = (message, now)
                return []
            case fleetmessages.UpstreamLimits(told):
                return self._on_limits(instance, told)
            case fleetmessages.PermitRequest():
                if self.is_settled_leader:
                    self.limit_keeper.receive_request(instance, message, now)
                return []
            case fleetmessages.CrashReport():
                self.judge.receive_crash(instance, message, now)
                return self._judge_crashes(now)
            case fleetmessages.SurvivalReport():
                self.judge.receive_survivals(message, now)
                return []
            case fleetmessages.VerdictDemand():
                self.judge.receive_demand(instance, message, now)
                return []
        # Other message types are not meant for controllers.
        return []

    def order_ended(
        self,
        order: formations.GroupOrder,
        result: formations.Result,
        now: datetime.timedelta,
    ) -> None:
        """Records the result of an order."""
        self.planner.record_result(order, result, now)
        self._plan_soon()

    def query_unanswered(
        self, query: QueryOrderCount, now: datetime.timedelta
    ) -> None:
        """Records that an engine did not reply to a query.

        If this process was late meanwhile, the reply may be unread; the query
        stays due and is repeated.
        """
        queried_at = self._queried_at_by_name.get(query.upstream, now)
        is_late = now - self._ticked_at > LATE_TICK
        if is_late or self._late_at > queried_at:
            return
        self.planner.query_unanswered(query.upstream, query.incarnation, now)

    def begin_stop(self, now: datetime.timedelta) -> list[Effect]:
        """Starts a graceful shutdown; the disk votes while it has a vote."""
        self.stopping = True
        return self._heartbeat_now(now)

    def may_end(self, now: datetime.timedelta) -> bool:
        """Returns whether a stopping process need not wait for the voters."""
        return self.control.may_end(now)

    # ---- Peers ----------------------------------------------------------

    def _detect_pause(self, now: datetime.timedelta) -> None:
        if now - self._last_event > PAUSE_THRESHOLD:
            self._settled_at = now + SETTLE_TIME
        self._last_event = now

    def _record_tick(self, now: datetime.timedelta) -> None:
        """Records until when what arrived has been read.

        A process that was late finds its timers due before its data. After
        one tick, new connections are accepted; after the next, they are read.
        """
        if now - self._ticked_at > LATE_TICK:
            self._late_at = now
        self._read_until = self._accepted_until
        self._accepted_until = self._ticked_at
        self._ticked_at = now

    def _heartbeat(self, now: datetime.timedelta) -> list[Effect]:
        role_changed = (
            self.me.hears_quorum != self.control.hears_quorum(now)
            or self._told_leading_term != self._leading_term()
        )
        if now < self._heartbeat_due and not role_changed:
            return []
        self.fleet.evict_ended(now)
        self.peers.evict_missing(now)
        self.limit_table.discard_ended(self.fleet)
        result = self._heartbeat_now(now) + self._send_status(now)
        return result + self._assign_slots(now)

    def _heartbeat_now(self, now: datetime.timedelta) -> list[Effect]:
        self._heartbeat_due = now + HEARTBEAT_INTERVAL
        self.peers.me = attrs.evolve(
            self.me,
            sequence=self.me.sequence + 1,
            version=self.view.version,
            draining=self.stopping,
            hears_quorum=self.control.hears_quorum(now),
        )
        return self._broadcast(self._pulse(), None)

    def _pulse(self) -> messages.Pulse:
        me = self.me
        self._told_leading_term = self._leading_term()
        state = messages.PeerState(
            me.sequence,
            self.view.version,
            me.draining,
            me.hears_quorum,
            self._told_leading_term,
        )
        return messages.Pulse(state)

    def _leading_term(self) -> int:
        return self.control.agreement.term if self.is_settled_leader else 0

    def _broadcast(
        self, message: messages.PeerMessage, excluded: str | None
    ) -> list[Effect]:
        instances = [name for name in sorted(self.links) if name != excluded]
        return [SendAll(instances, message)] if instances else []

    def _on_peers(
        self, instance: str, message: messages.Peers, now: datetime.timedelta
    ) -> list[Effect]:
        for peer in message.peers:
            if peer.instance == instance:
                self.peers.update_from_peer(peer, now)
            elif peer.voter is not None:
                self.peers.update(peer)
        return []

    # ---- Fleet ----------------------------------------------------------

    def _on_fleet_update(
        self,
        registrations: list[fleetmessages.Registration],
        now: datetime.timedelta,
    ) -> None:
        for registration in registrations:
            if self.fleet.report(registration, now):
                self._plan_soon()

    def _all_sign_offs(self, now: datetime.timedelta) -> signoffs.SignOffs:
        table = self.fleet.sign_offs
        return table.message(table.upstreams(), now)

    def _tell_sign_offs(
        self, new: list[str], source: str | None, now: datetime.timedelta
    ) -> list[Effect]:
        """Tells all others but their source of new sign-offs.

        Each controller passes one on once, so that it also reaches those that
        the controller that was called can't reach.
        """
        if not new:
            return []
        self._plan_soon()
        return self._broadcast(self.fleet.sign_offs.message(new, now), source)

    def _forward(self, upstream: str) -> list[Effect]:
        """Sends what is known of an upstream, a sign-off included."""
        registration = self.fleet.by_name[upstream].registration
        return self._broadcast(fleetmessages.FleetUpdate([registration]), None)

    def _on_beats(
        self, beats: fleetmessages.FleetBeats, now: datetime.timedelta
    ) -> None:
        for name, incarnation, sequence in zip(
            beats.upstreams, beats.incarnations, beats.sequences
        ):
            self.fleet.beat(name, incarnation, sequence, now)

    def _send_beats(self, now: datetime.timedelta) -> list[Effect]:
        # One that stops does not run until the next batch is due.
        is_due = self.stopping or now >= self._beats_due
        if not is_due or not self._beats:
            return []
        self._beats_due = now + BEATS_INTERVAL
        names = sorted(self._beats)
        beats = fleetmessages.FleetBeats(
            names,
            [self._beats[name][0] for name in names],
            [self._beats[name][1] for name in names],
        )
        self._beats.clear()
        controllers = [
            peer.instance
            for peer in self.peers.live(now)
            if peer.voter is not None and peer.instance in self.links
        ]
        return [SendAll(controllers, beats)]

    def silent(self, now: datetime.timedelta) -> frozenset[str]:
        """Returns the upstreams that no reachable controller hears from."""
        if now < self._settled_at:
            return frozenset()
        return frozenset(
            item.upstream
            for item in self.fleet.present()
            if self.fleet.is_silent(item.upstream, self._read_until)
        )

    def _send_status(self, now: datetime.timedelta) -> list[Effect]:
        """Sends entries the status that only a leader knows, if it changed."""
        if not self.is_settled_leader:
            self._sent_status = None
            return []
        if self.limit_keeper.term != self._leading_term():
            # It is not known yet since when this controller leads.
            return []
        self._slots.shares = self.control.ledger.state.slot_shares
        status = fleetmessages.FleetStatus(
            sorted(self.silent(now)), self._slots.count_sharing(now)
        )
        if status == self._sent_status:
            return []
        self._sent_status = status
        return [SendAll(self._linked_entries(), status)]

    def _send_status_to(
        self, entry: str, now: datetime.timedelta
    ) -> list[Effect]:
        """Sends the status to an entry, and to all if it has changed."""
        changed = self._send_status(now)
        if changed or self._sent_status is None:
            return changed
        return [effects.SendPeer(entry, self._sent_status)]

    def _linked_entries(self) -> list[str]:
        return [name for name in sorted(self._entries()) if name in self.links]

    def _entries(self) -> dict[str, membership.KnownPeer]:
        """Returns the remembered entries by instance; they have no vote."""
        return {
            name: known
            for name, known in self.peers.by_instance.items()
            if known.peer.voter is None
        }

    # ---- Limits of upstreams --------------------------------------------

    def _on_limits(
        self, instance: str, told: list[fleetmessages.UpstreamLimit]
    ) -> list[Effect]:
        """Takes limits that a peer knows; tells the other entries."""
        changed = [limit for limit in told if self.limit_table.apply(limit)]
        others = [name for name in self._linked_entries() if name != instance]
        if not changed or not others:
            return []
        return [SendAll(others, fleetmessages.UpstreamLimits(changed))]

    def _grant_permits(self, now: datetime.timedelta) -> list[Effect]:
        if not self.is_settled_leader:
            return []
        if self.limit_keeper.term != self.control.agreement.term:
            self.limit_keeper.start(self.control.agreement.term, now)
            self._slots.start(now)
        if not self.limit_table.by_upstream or not self.limit_keeper.due(now):
            return []
        self._slots.shares = self.control.ledger.state.slot_shares
        grants = self.limit_keeper.grant(
            self.limit_table,
            self._served_keys,
            self._slots.unreserved_part(now),
            now,
        )
        return [
            effects.SendPeer(entry, grant)
            for entry, grant in sorted(grants.items())
            if entry in self.links
        ]

    def _served_keys(
        self, upstream: str, incarnation: int
    ) -> list[limits.Key]:
        """Returns what an upstream takes requests for."""
        known = self.fleet.by_name.get(upstream)
        if known is None or known.registration.incarnation != incarnation:
            return []
        item = known.registration
        if item.leaving or item.gone:
            return []
        service = self.table.service_by_name.get(item.service)
        if service is None or service.engine is None:
            return [(item.service, None)]
        if not fleetmessages.is_open_head(item.seat):
            return []
        return [(item.service, model) for model in item.models]

    def _assign_slots(self, now: datetime.timedelta) -> list[Effect]:
        """Commits who may use slots of limits; tells entries of theirs."""
        keeper = self.limit_keeper
        if not self.is_settled_leader or keeper.term != self._leading_term():
            return []
        self._slots.shares = self.control.ledger.state.slot_shares
        result: list[Effect] = []
        wanted = self._slots.wanted_shares(now)
        if wanted != self._slots.shares and now >= self._slots_proposal_due:
            self._slots_proposal_due = now + SLOTS_PROPOSAL_INTERVAL
            command = fleetmessages.AssignSlots(wanted)
            result += self.propose(command, self._slots_proposal_due, now)[1]
        changes = self._slots.changes(
            self.links, keeper.term, now - keeper.started_at
        )
        result += [
            effects.SendPeer(name, slot) for name, slot in changes.items()
        ]
        return result

    # ---- Requests that crash upstreams ----------------------------------

    def _verdicts(self) -> fleetmessages.Verdicts:
        state = self.control.ledger.state
        return fleetmessages.Verdicts(
            state.verdicts_revision, list(state.verdict_by_trait.values())
        )

    def known_verdicts(self) -> list[fleetmessages.Verdict]:
        """Returns the committed verdicts."""
        return self._verdicts().verdicts

    def lift_verdict(
        self, trait: str, now: datetime.timedelta
    ) -> list[Effect]:
        """Proposes to end a verdict."""
        command = fleetmessages.LiftVerdict(trait)
        return self.propose(command, now + LIFT_DEADLINE, now)[1]

    def _has_ended(
        self,
        upstream: str,
        incarnation: int,
        crashed_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool | None:
        """Returns whether an upstream ended; None while that is unknown."""
        if self.fleet.has_ended(upstream, incarnation):
            return True
        reported_late = crashed_at + evidence.RESTART_TIME
        if self.fleet.is_heard_since(upstream, incarnation, reported_late):
            return False
        heard_from = max(crashed_at, self._settled_at - SETTLE_TIME)
        return True if now - heard_from > UNHEARD_TIME else None

    def _judge_crashes(self, now: datetime.timedelta) -> list[Effect]:
        if not self.is_settled_leader:
            return []
        if self.judge.term != self.control.agreement.term:
            self.judge.start(self.control.agreement.term, now)
        self.judge.settle_unconfirmed(
            lambda *crash: self._has_ended(*crash, now=now), now
        )
        verdicts = self.control.ledger.state.verdict_by_trait
        result: list[Effect] = []
        decisions = self.judge.decide(verdicts, now, self._accepted_until)
        for decision in decisions:
            match decision:
                case crashjudge.Query(query):
                    result.append(SendAll(self._linked_entries(), query))
                case crashjudge.Ruling(entries, ruling):
                    linked = [name for name in entries if name in self.links]
                    result.append(SendAll(linked, ruling))
                    detail = self.judge.ruling_detail(ruling, verdicts)
                    result.append(effects.StateChanged("crash ruled", detail))
                case crashjudge.Grant(entry, grant):
                    if entry in self.links:
                        result.append(effects.SendPeer(entry, grant))
                case crashjudge.Propose(command):
                    deadline = now + crashjudge.PROPOSAL_INTERVAL
                    result += self.propose(command, deadline, now)[1]
        return result

    def _tell_verdicts(self) -> list[Effect]:
        """Tells entries of the verdicts that were committed or lifted."""
        told = self._verdicts()
        if told.revision == self._told_verdicts.revision:
            return []
        in_force = {verdict.trait for verdict in told.verdicts}
        for verdict in self._told_verdicts.verdicts:
            if verdict.trait not in in_force:
                self.judge.verdict_lifted(verdict.trait)
        self._told_verdicts = told
        changed = effects.StateChanged(
            "verdicts in force",
            (("traits", ",".join(item.trait for item in told.verdicts)),),
        )
        return [changed, SendAll(self._linked_entries(), told)]

    # ---- The log --------------------------------------------------------

    def _with_log_results(
        self, log_effects: list[effects.Effect], now: datetime.timedelta
    ) -> list[Effect]:
        """Adds the effects of results and commits of the log."""
        result: list[Effect] = list(log_effects)
        for answer in self.control.take_results():
            result += self._as_controller_effects(
                self.proposal_tracker.route_result(answer)
            )
        result += self._tell_verdicts()
        if self.view.version != self.me.version:
            result.append(effects.ConfigurationChanged(self.view.version))
            result += self._heartbeat_now(now)
        return result

    def _as_controller_effects(
        self, decided: list[effects.Effect]
    ) -> list[Effect]:
        """Returns the effects as a list of the wider type `Effect`."""
        return list(decided)

    def _send_proposals(self, now: datetime.timedelta) -> list[Effect]:
        result: list[Effect] = []
        for proposal in self.proposal_tracker.due(now):
            result += self._forward_proposal(proposal, now)
        return result

    def _on_proposal(
        self,
        instance: str,
        proposal: messages.Proposal,
        now: datetime.timedelta,
    ) -> list[Effect]:
        relayed = self.proposal_tracker.relay(proposal, instance, now)
        if self.control.agreement.leading:
            return self._forward_proposal(proposal, now)
        if relayed is None:
            return self._as_controller_effects(
                self.proposal_tracker.route_result(_undecided(proposal))
            )
        return self._forward_proposal(relayed, now)

    def _forward_proposal(
        self, proposal: messages.Proposal, now: datetime.timedelta
    ) -> list[Effect]:
        if self.control.agreement.leading:
            return self._with_log_results(
                self.control.propose(proposal, now), now
            )
        leader = self.control.leader_instance()
        if leader is None or leader not in self.links:
            return self._as_controller_effects(
                self.proposal_tracker.route_result(_undecided(proposal))
            )
        return [effects.SendPeer(leader, proposal)]

    # ---- Groups ---------------------------------------------------------

    def _plan(self, now: datetime.timedelta) -> list[Effect]:
        if not self.is_settled_leader or now < self._plan_due or self.stopping:
            return []
        self._planned_at = now
        self._plan_due = now + PLAN_INTERVAL
        if self.planner.term != self.control.agreement.term:
            self.planner.start(
                self.control.agreement.term,
                now,
                self._heard_predecessor(now),
            )
        self._planner_heard_at = now
        view = self._planning_view(now)
        if not view.engines:
            return []
        try:
            orders = self.planner.plan(view, now)
        except AssertionError:
            raise
        except Exception as error:
            return self._planning_failed(error, now)
        # Before the orders, so that a successor knows of their loads.
        result = self._tell_loads(now)
        for order in orders:
            if _joins_while_seated(order, view):
                result.append(EventCounted("member-joined-while-seated"))
            self.limit_keeper.charge(order.upstream)
            result.append(SendGroupOrder(order))
        return result + self._query_order_counts(view, now) + self._notes()

    def _planning_failed(
        self, error: Exception, now: datetime.timedelta
    ) -> list[Effect]:
        """Reports a round that failed; the groups stay as they are.

        The next leader would plan with the same input, so this process does
        not end. A broken invariant still ends it.
        """
        # Nor does a change of an engine trigger a round before that.
        self._plan_due = self._planned_at = now + FAILED_PLAN_INTERVAL
        trace = "".join(traceback.format_exception(error))
        engines = [
            attrs.asdict(service.engine)
            for service in self.table.services
            if service.engine is not None
        ]
        return [
            effects.StateChanged(
                "planning failed",
                (
                    ("table_version", self.view.version),
                    ("engines", str(engines)[:MAX_LOGGED_INPUT]),
                    ("trace", trace[-MAX_LOGGED_INPUT:]),
                ),
            )
        ]

    def _heard_predecessor(self, now: datetime.timedelta) -> bool:
        """Returns whether the last planner was heard until lately."""
        heard_at = self._planner_heard_at
        return heard_at is not None and now - heard_at <= PREDECESSOR_SILENCE

    def _tell_loads(self, now: datetime.timedelta) -> list[Effect]:
        record = self.planner.load_record
        if not record.changed:
            return []
        controllers = [
            peer.instance
            for peer in self.controllers()
            if peer.instance in self.links
        ]
        record.changed = False
        return [SendAll(controllers, record.told(now))]

    def _plan_soon(self) -> None:
        self._plan_due = min(
            self._plan_due, self._planned_at + MIN_PLAN_INTERVAL
        )

    def _planning_view(self, now: datetime.timedelta) -> formations.View:
        engines = {
            service.name: service.engine
            for service in self.table.services
            if service.engine is not None and service.engine.models
        }
        present = {
            item.upstream: item
            for item in self.fleet.present()
            if item.service in engines
        }
        heard_at = {
            name: self.fleet.by_name[name].heard_at for name in present
        }
        return formations.View(
            present,
            heard_at,
            {
                name: self.fleet.by_name[name].in_touch_since
                for name in present
            },
            self.silent(now),
            engines,
            self._doubted(present, now),
            warming_up=not self.callers_seen,
            settled=now >= self._settled_at,
            read_until=self._read_until,
        )

    def _doubted(
        self,
        present: dict[str, fleetmessages.Registration],
        now: datetime.timedelta,
    ) -> frozenset[str]:
        """Returns the upstreams that entries recently saw failing."""
        for name, (_, at) in list(self._doubt_by_name.items()):
            if now - at > DOUBT_EXPIRY:
                del self._doubt_by_name[name]
        return frozenset(
            name
            for name, (doubt, _) in self._doubt_by_name.items()
            if doubt.failing
            and name in present
            and present[name].incarnation == doubt.incarnation
        )

    def _query_order_counts(
        self, view: formations.View, now: datetime.timedelta
    ) -> list[Effect]:
        result: list[Effect] = []
        for name in self.planner.queries_due(now):
            registration = view.fleet.get(name)
            queried_at = self._queried_at_by_name.get(name)
            if registration is None or name in view.silent:
                continue
            if (
                queried_at is not None
                and now - queried_at < planrounds.ORDER_REPEAT
            ):
                continue
            self._queried_at_by_name[name] = now
            self.limit_keeper.charge(name)
            result.append(
                QueryOrderCount(
                    name, registration.incarnation, registration.address
                )
            )
        return result

    def _load_notes(self) -> list[Effect]:
        notes, self.planner.load_record.notes = (
            self.planner.load_record.notes,
            [],
        )
        return [
            effects.StateChanged(
                f"load {note.event}",
                tuple(
                    (name, value)
                    for name, value in (
                        ("upstream", note.upstream),
                        ("action", note.action and note.action.value),
                        ("model", note.model),
                        ("late_ms", note.late_ms),
                    )
                    if value is not None
                ),
                note.action.value if note.action is not None else "",
            )
            for note in notes
        ]

    def _notes(self) -> list[Effect]:
        notes, self.planner.notes = self.planner.notes, []
        return self._load_notes() + [
            effects.StateChanged(
                f"group {note.event}",
                (
                    ("group", note.group),
                    ("epoch", note.epoch),
                    ("cause", note.detail),
                    *note.fields,
                ),
                note.cause.value if note.cause is not None else "",
            )
            for note in notes
        ]


def _joins_while_seated(
    order: formations.GroupOrder, view: formations.View
) -> bool:
    """Returns whether a member to join last reported another seat."""
    return (
        order.action is formations.Action.JOIN
        and warming.former_seat(
            view.fleet[order.upstream], order.group, order.epoch
        )
        is not None
    )


def _undecided(proposal: messages.Proposal) -> messages.ProposalResult:
    return messages.ProposalResult(proposal.proposal, messages.Undecided())
