"""The state machine of one entry: takes events and returns effects.

`Node` does no I/O. Its adapters report each event by calling a method with
the current time, and carry out the effects that the method returns.
"""

import datetime
import random

import attrs

from figford import assembly
from figford import control as controls
from figford import effects
from figford import follower as followers
from figford import groups
from figford import membership
from figford import messages
from figford import operators
from figford import planning as plannings
from figford import proposals
from figford import readiness as readinesses

HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
# A longer gap between two events means that the process was suspended.
PAUSE_THRESHOLD = datetime.timedelta(seconds=1)
WITNESS_DEADLINE = datetime.timedelta(seconds=1)
# How long after being isolated an entry must confirm its version again.
ISOLATION_GRACE = datetime.timedelta(seconds=3)


class _GroupDrainer:
    """The part of the dispatcher's interface that the node uses."""

    def drain(self, group: str, fence: int, until: datetime.timedelta) -> int:
        """Stops new work on a group; returns the number in progress."""
        raise NotImplementedError


@attrs.define
class Node:
    """One entry: membership, configuration, replicated log and planning."""

    peers: membership.PeerTable
    rng: random.Random
    started_at: datetime.timedelta
    control: controls.Control | None = None
    drainer: _GroupDrainer | None = None
    draining: bool = False
    upstreams: membership.UpstreamTable = attrs.field(init=False)
    group_table: groups.GroupTable = attrs.field(init=False)
    follower: followers.ConfigurationFollower = attrs.field(
        factory=followers.ConfigurationFollower
    )
    proposal_tracker: proposals.ProposalTracker = attrs.field(
        factory=proposals.ProposalTracker
    )
    planning: plannings.Planning = attrs.field(init=False)
    readiness: readinesses.Readiness = attrs.field(init=False)
    configuration: operators.Configuration = attrs.field(
        factory=operators.Configuration
    )
    links: set[str] = attrs.field(factory=set)
    pauses: int = 0
    _last_event: datetime.timedelta = attrs.field(init=False)
    _heartbeat_due: datetime.timedelta = datetime.timedelta(0)
    _witness_by_proposal: dict[str, int] = attrs.field(factory=dict)
    _version_proposal: str | None = None
    _proposals_made: int = 0
    _was_ready: bool = False

    def __attrs_post_init__(self) -> None:
        """Creates the components that depend on the entry's identity."""
        me = self.peers.me
        self.upstreams = membership.UpstreamTable(me.data_centre)
        self.group_table = groups.GroupTable(self.upstreams)
        self.planning = plannings.Planning(
            me.instance,
            me.incarnation,
            me.data_centre,
            self.rng,
            self.started_at,
        )
        self.readiness = readinesses.Readiness(self.started_at)
        self._last_event = self.started_at

    # ---- Queries --------------------------------------------------------

    @property
    def me(self) -> messages.Peer:
        """Returns this entry's own membership record."""
        return self.peers.me

    @property
    def is_leader(self) -> bool:
        """Returns whether this entry is the leader of the replicated log."""
        return self.control is not None and self.control.agreement.leading

    @property
    def electorate(self) -> list[str]:
        """Returns the entries that vote on the data centre's planner lease."""
        for data_centre in self.configuration.data_centres:
            if data_centre.name == self.me.data_centre:
                return data_centre.entries
        return []

    def reachability(
        self, now: datetime.timedelta
    ) -> readinesses.Reachability:
        """Returns whether a quorum and which neighbours this entry hears."""
        neighbours = self.peers.live_in(self.me.data_centre, now)
        live = {peer.instance for peer in neighbours} | {self.me.instance}
        return readinesses.Reachability(
            hears_quorum=self._hears_quorum(now),
            electorate=frozenset(self.electorate),
            live=frozenset(live),
            highest_version=max(
                (peer.version for peer in neighbours), default=0
            ),
        )

    def _hears_quorum(self, now: datetime.timedelta) -> bool:
        if self.control is not None and self.control.hears_quorum(now):
            return True
        return any(
            peer.hears_quorum and peer.voter for peer in self.peers.live(now)
        )

    def is_ready(self, now: datetime.timedelta) -> bool:
        """Returns whether this entry may accept requests from callers."""
        return (
            not self.draining
            and self.readiness.confirmed
            and self.follower.version > 0
            and not self.reachability(now).is_isolated
        )

    def live_entries(self, now: datetime.timedelta) -> int:
        """Returns the number of live entries, this one included."""
        return 1 + len(self.peers.live(now))

    def owner_is_live(self, owner: str, now: datetime.timedelta) -> bool:
        """Returns whether the process that holds a claim is still running."""
        instance, _, incarnation = owner.rpartition("@")
        if instance == self.me.instance:
            return incarnation == str(self.me.incarnation)
        known = self.peers.by_instance.get(instance)
        if known is None or not self.peers.is_live(instance, now):
            return False
        return incarnation == str(known.peer.incarnation)

    @property
    def owner(self) -> str:
        """Returns the owner name that this entry uses in claims."""
        return f"{self.me.instance}@{self.me.incarnation}"

    # ---- Events ---------------------------------------------------------

    def start(
        self, records: list[messages.Record], now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Restores the journal, if this entry stores the replicated log."""
        if self.control is None:
            return []
        result = self.control.restore(records, now)
        return result + self._apply_log_results(now)

    def tick(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Runs timers that are due; called several times a second."""
        self._detect_pause(now)
        result: list[effects.Effect] = []
        if self.control is not None:
            result += self.control.tick(now)
            result += self._apply_log_results(now)
        result += self._heartbeat(now)
        result += self._forward_announcements(now)
        result += self._review_readiness(now)
        result += self._plan(now)
        result += self._send_proposals(now)
        result += self._handle_outcomes(self.proposal_tracker.expire(now), now)
        return result + self._report_readiness(now)

    def link_up(
        self, peer: messages.Peer, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Records a new link; sends the peer the known peers and upstreams."""
        self._detect_pause(now)
        self.links.add(peer.instance)
        updated = self.peers.update_from_peer(peer, now)
        known = messages.Peers(self.peers.all_peers())
        result: list[effects.Effect] = [effects.SendPeer(peer.instance, known)]
        if peer.data_centre == self.me.data_centre:
            fresh_batch = self.upstreams.fresh_announcements(
                sorted(self.upstreams.by_name), now
            )
            if fresh_batch is not None:
                result.append(effects.SendPeer(peer.instance, fresh_batch))
        if updated:
            result += self._broadcast(messages.Peers([peer]), peer.instance)
        return result + self._pull_from(peer, now)

    def link_down(self, instance: str) -> None:
        """Records that a link was lost."""
        self.links.discard(instance)

    def announce(
        self, announcement: messages.Announcement, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Handles an upstream's own announcement; forwards changes at once."""
        self._detect_pause(now)
        self._record_announcement(announcement, now, first_hand=True)
        return self._forward_announcements(now)

    def synced(
        self, index: int, term: int, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Records that a batch of journal records was synced to disk."""
        if self.control is None:
            raise AssertionError(
                "synced() was called on an entry without a journal"
            )
        result = self.control.synced(index, term, now)
        return result + self._apply_log_results(now)

    def propose(
        self,
        command: messages.Command,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> tuple[str, list[effects.Effect]]:
        """Proposes a command; a `Decided` effect returns its outcome."""
        self._proposals_made += 1
        proposal = f"{self.owner}/{self._proposals_made}"
        self.proposal_tracker.start(proposal, command, deadline, now)
        return proposal, self._send_proposals(now)

    def receive(
        self,
        instance: str,
        message: messages.PeerMessage,
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        """Handles a message from a linked peer."""
        self._detect_pause(now)
        match message:
            case messages.Peers():
                return self._on_peers(instance, message, now)
            case messages.Pulse(state):
                peer = self.peers.update_from_pulse(instance, state, now)
                return self._pull_from(peer, now) if peer else []
            case messages.Announcements():
                return self._on_announcements(instance, message, now)
            case messages.AnnouncementQuery(names):
                batch = self.upstreams.fresh_announcements(names, now)
                return [effects.SendPeer(instance, batch)] if batch else []
            case messages.Addressed():
                return self._on_addressed(message, now)
            case messages.Proposal():
                return self._on_proposal(instance, message, now)
            case messages.ProposalResult():
                return self._handle_outcomes(
                    self.proposal_tracker.route_result(message), now
                )
            case messages.ConfigurationPull():
                answer = self.follower.answer(message)
                return [effects.SendPeer(instance, answer)] if answer else []
            case messages.ConfigurationView():
                return self._apply_configuration(
                    self.follower.offer(message), now
                )
            case messages.ConfigurationDelta():
                changed = self.follower.offer_delta(message)
                return self._apply_configuration(changed, now)
            case messages.LeaseRequest():
                return self._on_lease_request(instance, message, now)
            case messages.LeaseVote():
                return self.planning.count_vote(message, self.electorate, now)
            case messages.DrainGroup():
                return self._on_drain(message, now)
            case messages.DrainReply():
                self.planning.planner.drain_reply(message, now)
                return []
        raise AssertionError(f"unhandled message {type(message).__name__}")

    def begin_stop(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Starts a graceful shutdown: no new work, no planner lease."""
        self.draining = True
        self.planning.stop()
        return self._heartbeat_now(now)

    def may_end(self, now: datetime.timedelta) -> bool:
        """Returns whether a stopping process need not wait for the voters."""
        return self.control is None or self.control.may_end(now)

    # ---- Peers and upstreams --------------------------------------------

    def _detect_pause(self, now: datetime.timedelta) -> None:
        if now - self._last_event > PAUSE_THRESHOLD:
            self.pauses += 1
            self.upstreams.process_resumed(now)
            self.readiness.revoke_confirmation(now)
        self._last_event = now

    def _heartbeat(self, now: datetime.timedelta) -> list[effects.Effect]:
        if now < self._heartbeat_due:
            return []
        return self._heartbeat_now(now)

    def _heartbeat_now(self, now: datetime.timedelta) -> list[effects.Effect]:
        self._heartbeat_due = now + HEARTBEAT_INTERVAL
        self.peers.evict_missing(now)
        self.upstreams.evict_missing(now)
        self.peers.me = attrs.evolve(
            self.me,
            sequence=self.me.sequence + 1,
            version=self.follower.version,
            draining=self.draining,
            hears_quorum=(
                self.control is not None and self.control.hears_quorum(now)
            ),
        )
        state = messages.PeerState(
            self.me.sequence,
            self.me.version,
            self.me.draining,
            self.me.hears_quorum,
        )
        return self._broadcast(messages.Pulse(state), None)

    def _broadcast(
        self, message: messages.PeerMessage, excluded: str | None
    ) -> list[effects.Effect]:
        return [
            effects.SendPeer(instance, message)
            for instance in sorted(self.links)
            if instance != excluded
        ]

    def _on_peers(
        self,
        instance: str,
        message: messages.Peers,
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        new_peers = []
        for peer in message.peers:
            if peer.instance == instance:
                self.peers.update_from_peer(peer, now)
                result += self._pull_from(peer, now)
                continue
            known = self.peers.by_instance.get(peer.instance)
            is_new = known is None or (
                known.peer.incarnation < peer.incarnation
            )
            if self.peers.update(peer) and is_new:
                new_peers.append(peer)
        if new_peers:
            result += self._broadcast(messages.Peers(new_peers), instance)
        return result

    def _record_announcement(
        self,
        announcement: messages.Announcement,
        now: datetime.timedelta,
        first_hand: bool,
        age: datetime.timedelta = datetime.timedelta(0),
    ) -> None:
        if announcement.data_centre != self.me.data_centre:
            return
        self.upstreams.announce(announcement, now, first_hand, age)
        self.planning.observe_fence(announcement.highest_fence)

    def _forward_announcements(
        self, now: datetime.timedelta
    ) -> list[effects.Effect]:
        batch = self.upstreams.take_batch(now)
        if batch is None:
            return []
        neighbours = self.peers.live_in(self.me.data_centre, now)
        return [effects.SendPeer(peer.instance, batch) for peer in neighbours]

    def _on_announcements(
        self,
        instance: str,
        message: messages.Announcements,
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        ages = message.ages_ms or [0] * len(message.full)
        for announcement, age_ms in zip(message.full, ages):
            age = datetime.timedelta(milliseconds=age_ms)
            self._record_announcement(announcement, now, False, age)
        unknown = [
            beat.upstream
            for beat in message.beats
            if not self.upstreams.beat(beat, now)
        ]
        if not unknown:
            return []
        return [
            effects.SendPeer(instance, messages.AnnouncementQuery(unknown))
        ]

    # ---- Configuration --------------------------------------------------

    def _pull_from(
        self, peer: messages.Peer, now: datetime.timedelta
    ) -> list[effects.Effect]:
        pull = self.follower.pull(peer.version, now)
        return [effects.SendPeer(peer.instance, pull)] if pull else []

    def _apply_configuration(
        self, changed: bool, now: datetime.timedelta
    ) -> list[effects.Effect]:
        if not changed:
            return []
        view = self.follower.view
        self.configuration = operators.Configuration.from_document(
            view.document
        )
        return [
            effects.ConfigurationChanged(view.version),
            effects.StateChanged(
                "configuration in force", (("version", view.version),)
            ),
            *self._heartbeat_now(now),
        ]

    def _review_readiness(
        self, now: datetime.timedelta
    ) -> list[effects.Effect]:
        if self.readiness.confirmed and self.reachability(now).is_isolated:
            self.readiness.revoke_confirmation(now)
        result: list[effects.Effect] = []
        if self.readiness.version_query_due(now):
            self._version_proposal, result = self.propose(
                messages.ReadVersion(),
                now + readinesses.VERSION_QUERY_TIMEOUT,
                now,
            )
        self.readiness.review(
            self.follower.version, self.reachability(now), now
        )
        return result

    def _report_readiness(
        self, now: datetime.timedelta
    ) -> list[effects.Effect]:
        ready = self.is_ready(now)
        if ready == self._was_ready:
            return []
        self._was_ready = ready
        event = "entry ready" if ready else "entry not ready"
        return [effects.StateChanged(event)]

    # ---- Control --------------------------------------------------------

    def _on_addressed(
        self, message: messages.Addressed, now: datetime.timedelta
    ) -> list[effects.Effect]:
        if self.control is None:
            return []
        result = self.control.receive(message, now)
        return result + self._apply_log_results(now)

    def _apply_log_results(
        self, now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Applies results and the configuration committed to the log."""
        if self.control is None:
            return []
        result: list[effects.Effect] = []
        for answer in self.control.take_results():
            result += self._handle_outcomes(
                self.proposal_tracker.route_result(answer), now
            )
        state = self.control.ledger.state
        if state.version > self.follower.version:
            view = messages.ConfigurationView(state.version, state.document)
            result += self._apply_configuration(self.follower.offer(view), now)
        return result

    def _send_proposals(self, now: datetime.timedelta) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        for proposal in self.proposal_tracker.due(now):
            result += self._forward_proposal(proposal, None, now)
        return result

    def _on_proposal(
        self,
        instance: str,
        proposal: messages.Proposal,
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        relayed = self.proposal_tracker.relay(proposal, instance, now)
        if self.is_leader:
            return self._forward_proposal(proposal, instance, now)
        if relayed is None:
            failed = _undecided(proposal)
            return self.proposal_tracker.route_result(failed)
        return self._forward_proposal(relayed, instance, now)

    def _forward_proposal(
        self,
        proposal: messages.Proposal,
        received_from: str | None,
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        if self.control is not None and self.control.agreement.leading:
            result = self.control.propose(proposal, now)
            return result + self._apply_log_results(now)
        target = self._next_hop(received_from, now)
        if target is None:
            failed = _undecided(proposal)
            return self._handle_outcomes(
                self.proposal_tracker.route_result(failed), now
            )
        return [effects.SendPeer(target, proposal)]

    def _next_hop(
        self, received_from: str | None, now: datetime.timedelta
    ) -> str | None:
        if self.control is not None:
            leader = self.control.leader_instance()
            if leader in self.links:
                return leader
        voters = [
            peer.instance
            for peer in self.peers.live(now)
            if peer.voter is not None
            and peer.hears_quorum
            and peer.instance in self.links
            and peer.instance != received_from
        ]
        return self.rng.choice(voters) if voters else None

    def _handle_outcomes(
        self, decided: list[effects.Effect], now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Handles outcomes of the node's own commands; returns the rest."""
        result: list[effects.Effect] = []
        for effect in decided:
            match effect:
                case effects.Decided(proposal, outcome) if (
                    proposal == self._version_proposal
                ):
                    self.readiness.record_quorum_reply(outcome)
                case effects.Decided(proposal, outcome) if (
                    proposal in self._witness_by_proposal
                ):
                    round_ = self._witness_by_proposal.pop(proposal)
                    result += self._on_witness(round_, outcome, now)
                case _:
                    result.append(effect)
        return result

    # ---- Planning -------------------------------------------------------

    def _on_witness(
        self,
        round_: int,
        outcome: messages.Outcome | None,
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        if not isinstance(outcome, messages.WitnessReply):
            return []
        return self.planning.witness_replied(
            round_, outcome, self.electorate, now
        )

    def _on_lease_request(
        self,
        instance: str,
        request: messages.LeaseRequest,
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        if request.data_centre != self.me.data_centre:
            return []
        vote = self.planning.answer(request, now)
        return [effects.SendPeer(instance, vote)]

    def _plan(self, now: datetime.timedelta) -> list[effects.Effect]:
        electorate = self.electorate
        result = self.planning.tick(electorate, now)
        request = self.planning.witness_command(electorate)
        if request is not None:
            round_, command = request
            proposal, sent = self.propose(command, now + WITNESS_DEADLINE, now)
            self._witness_by_proposal[proposal] = round_
            result += sent
        actions = self.planning.plan(
            self.configuration,
            self.upstreams,
            self.reachability(now).live | frozenset(electorate),
            now,
        )
        for action in actions:
            result += self._execute_action(action, now)
        return result

    def _execute_action(
        self, action: assembly.Action, now: datetime.timedelta
    ) -> list[effects.Effect]:
        match action:
            case effects.SendOrder():
                return [action]
            case assembly.AskDrain(drain):
                neighbours = self.peers.live_in(self.me.data_centre, now)
                requests: list[effects.Effect] = [
                    effects.SendPeer(peer.instance, drain)
                    for peer in neighbours
                ]
                return requests + self._on_drain(drain, now)
        raise AssertionError(f"unhandled action {type(action).__name__}")

    def _on_drain(
        self, drain: messages.DrainGroup, now: datetime.timedelta
    ) -> list[effects.Effect]:
        in_progress = 0
        if self.drainer is not None:
            in_progress = self.drainer.drain(
                drain.group, drain.fence, now + drain.duration
            )
        reply = messages.DrainReply(
            drain.group,
            drain.fence,
            drain.number,
            self.me.instance,
            in_progress,
        )
        if drain.planner == self.me.instance:
            self.planning.planner.drain_reply(reply, now)
            return []
        return [effects.SendPeer(drain.planner, reply)]


def _undecided(proposal: messages.Proposal) -> messages.ProposalResult:
    return messages.ProposalResult(proposal.proposal, messages.Undecided())
