"""The planner of serving groups: forms, monitors and dissolves them.

Reports of the upstreams are authoritative; the planner's own state only
records what was ordered. A head is opened after all members reported ready.
A member is given another group only after it has left itself, or after its
head has left, is broken or was restarted; silence proves neither.
"""

import datetime

import attrs

from figford import fleetmessages
from figford import formations
from figford import forming
from figford import groupnames
from figford import loadrecord
from figford import planrounds
from figford import shortages as shortage_tables
from figford import warming

SeatState = fleetmessages.SeatState

# After a change of leader, planning starts only after this long, so that
# reports show the effect of the previous leader's orders.
TAKEOVER_WAIT = datetime.timedelta(milliseconds=600)
EPOCHS_PER_TERM = 1 << 20


@attrs.define
class Planner:
    """Plans the orders for all engines while its controller leads the log."""

    term: int = 0
    formation_by_key: dict[tuple[str, int], formations.Formation] = (
        attrs.field(factory=dict)
    )
    member_by_name: dict[str, formations.Member] = attrs.field(factory=dict)
    notes: list[formations.Note] = attrs.field(factory=list)
    load_record: loadrecord.LoadRecord = attrs.field(
        factory=loadrecord.LoadRecord
    )
    shortages: shortage_tables.ShortageTable = attrs.field(
        factory=shortage_tables.ShortageTable
    )
    # When a group was last formed, opened, dissolved or freed.
    changed_at: datetime.timedelta = datetime.timedelta(0)
    # Groups freed by their heads' leaves since the last round.
    _freed_by_leave: list[formations.Formation] = attrs.field(factory=list)
    _epochs: int = 0
    _plan_from: datetime.timedelta = datetime.timedelta(0)

    def start(
        self,
        term: int,
        now: datetime.timedelta,
        heard_predecessor: bool = False,
    ) -> None:
        """Starts planning in a new term; clears the state of earlier ones.

        Keeps the record of loads, which an earlier planner has told of if
        this process `heard_predecessor`.
        """
        if term <= self.term:
            raise AssertionError("planner terms must increase")
        self.term = term
        self._epochs = 0
        self._plan_from = now + TAKEOVER_WAIT
        self.formation_by_key.clear()
        self.member_by_name.clear()
        self._freed_by_leave.clear()
        self.shortages.clear()
        self.load_record.start(heard_predecessor, now)

    # ---- Results of orders ----------------------------------------------

    def record_result(
        self,
        order: formations.GroupOrder,
        result: formations.Result,
        now: datetime.timedelta,
    ) -> None:
        """Records the result of an order of this term."""
        self.load_record.record_result(order, result, now)
        member = self.member_by_name.get(order.upstream)
        if member is None or member.pending is not order:
            return
        member.pending = None
        match result:
            case formations.Result.BEGUN:
                member.orders_begun = (order.expected or 0) + 1
            case formations.Result.REFUSED:
                # The order may be repeated as soon as the count is known.
                member.query_due = True
                member.last_order = None
            case formations.Result.UNKNOWN:
                member.query_due = True
            case formations.Result.FENCED:
                if order.action is formations.Action.JOIN:
                    # Its epoch may be lower than that of another group that
                    # the upstream joined on a late order.
                    member.query_due = True
                else:
                    # Another planner used a higher fencing number: this one
                    # must not send orders to the upstream any more.
                    member.is_fenced = True
            case _:
                pass
        done = result in (formations.Result.BEGUN, formations.Result.HELD)
        member.accepted_order = member.accepted_order or done
        if order.action is formations.Action.STAGE and not done:
            member.staging = ""
        if order.action is formations.Action.LEAVE and done:
            key = (order.group, order.epoch)
            if member.left_group != key:
                # A leave takes effect at once and counts as begun, except
                # for a repeat, which changes nothing.
                member.orders_begun = (order.expected or 0) + 1
            member.left_group = key
            self._free_group_of_head(order)

    def _free_group_of_head(self, order: formations.GroupOrder) -> None:
        formation = self.formation_by_key.get((order.group, order.epoch))
        if formation is None or formation.head != order.upstream:
            return
        if formation.phase is not formations.Phase.FREED:
            formation.phase = formations.Phase.FREED
            self._freed_by_leave.append(formation)

    def query_answered(
        self,
        upstream: str,
        incarnation: int,
        reply: formations.OrderCountReply,
        now: datetime.timedelta,
    ) -> None:
        """Records an upstream's reply to a query."""
        member = self.member_by_name.get(upstream)
        if member is None or member.incarnation != incarnation:
            return
        self.load_record.record_count(
            upstream, incarnation, reply.orders_begun, now
        )
        member.query_due = False
        member.orders_begun = reply.orders_begun
        member.reported_seat = reply.seat
        member.has_replied = True
        member.replied_at = now
        member.replied_sequence = member.content_sequence
        member.unanswered_at = None

    def query_unanswered(
        self, upstream: str, incarnation: int, now: datetime.timedelta
    ) -> None:
        """Records that an upstream did not reply to a query."""
        member = self.member_by_name.get(upstream)
        if member is None or member.incarnation != incarnation:
            return
        if member.unanswered_at is None:
            member.unanswered_at = now

    def queries_due(self, now: datetime.timedelta) -> list[str]:
        """Returns the upstreams whose count of orders must be queried.

        Counts lag behind, so no upstream is queried right after an order.
        """
        return [
            name
            for name, member in sorted(self.member_by_name.items())
            if member.query_due
            and member.pending is None
            and now - member.last_order_at >= planrounds.REPLY_LAG
        ]

    # ---- A round --------------------------------------------------------

    def plan(
        self, view: formations.View, now: datetime.timedelta
    ) -> list[formations.GroupOrder]:
        """Returns the orders that are due now."""
        if now < self._plan_from:
            return []
        round_ = planrounds.Round(self, view, now)
        self._note_freed_by_leave(round_)
        self._update_members(view, now)
        self.shortages.update(view.fleet.values(), view.engines, now)
        self.load_record.prune(view, now)
        self._adopt(round_)
        for formation in list(self.formation_by_key.values()):
            self._advance(formation, round_)
        self._remove_given_up(round_)
        forming.form(round_)
        forming.consolidate_domains(round_)
        forming.rebalance(round_)
        forming.stage(round_)
        warming.warm(round_)
        return round_.orders

    def _update_members(
        self, view: formations.View, now: datetime.timedelta
    ) -> None:
        # A host without weights may be staging some for another planner.
        may_stage = not view.warming_up and (
            self.load_record.may_miss_loads(now)
        )
        for name, registration in view.fleet.items():
            member = self.member_by_name.get(name)
            if member is None or (
                member.incarnation != registration.incarnation
            ):
                known = registration.seat is None and not registration.staged
                self.member_by_name[name] = formations.Member(
                    registration.incarnation, 0 if known else None
                )
                self.member_by_name[name].query_due = (
                    not known
                    or may_stage
                    or self.load_record.is_undecided(
                        name, registration.incarnation
                    )
                )
        for name in set(self.member_by_name) - set(view.fleet):
            del self.member_by_name[name]
        for name, member in self.member_by_name.items():
            if member.staging and member.staging in view.fleet[name].staged:
                member.staging = ""
            member.content_sequence = view.fleet[name].sequence
            unanswered_at = member.unanswered_at
            if unanswered_at and unanswered_at < view.heard_at[name]:
                member.unanswered_at = None

    def _adopt(self, round_: planrounds.Round) -> None:
        """Adopts groups that other planners formed, from members' reports."""
        for key, seats in round_.seats_by_key.items():
            formation = self.formation_by_key.get(key)
            if formation is None:
                formation = self._new_adopted_formation(key, seats, round_)
                self.formation_by_key[key] = formation
            for rank, registration in seats.items():
                member = self.member_by_name[registration.upstream]
                if not groupnames.is_warm_up(formation.group):
                    member.had_group = True
                if rank not in formation.members:
                    formation.members[rank] = registration.upstream
                    formation.incarnations[rank] = registration.incarnation
                loaded = registration.seat is not None and (
                    registration.seat.state
                    in (SeatState.READY, SeatState.OPEN)
                )
                if not loaded or not registration.models:
                    continue
                member.warm_model = registration.models[0]
                if not formation.model:
                    formation.model = registration.models[0]
            domains = {registration.domain for registration in seats.values()}
            formation.spans_domains = (
                formation.spans_domains or len(domains) > 1
            )

    def _new_adopted_formation(
        self,
        key: tuple[str, int],
        seats: dict[int, fleetmessages.Registration],
        round_: planrounds.Round,
    ) -> formations.Formation:
        first_seat = next(iter(seats.values()))
        engine = round_.engine(first_seat.service)
        models = engine.models if engine else ()
        load_times = [model.load_time for model in models]
        # A group of this term without a formation was given up before, and a
        # late order made its member join again. No planner needs to keep a
        # warm-up group.
        phase = formations.Phase.FORMING
        if groupnames.is_warm_up(key[0]):
            phase = formations.Phase.FREED
        elif key[1] // EPOCHS_PER_TERM == self.term:
            phase = formations.Phase.ABANDONED
        return formations.Formation(
            group=key[0],
            epoch=key[1],
            service=first_seat.service,
            model="",
            members={},
            incarnations={},
            phase=phase,
            since=round_.now,
            deadline=round_.now
            + max(load_times, default=datetime.timedelta(0))
            + formations.FORMING_SLACK,
            size=groupnames.group_size(key[0]),
            adopted=True,
        )

    def _note_freed_by_leave(self, round_: planrounds.Round) -> None:
        """Notes groups freed since the last round, with the new reports."""
        for formation in self._freed_by_leave:
            self._note_phase(
                formation,
                formations.Phase.FREED,
                formations.Cause.HEAD_LEFT,
                round_,
            )
        self._freed_by_leave.clear()

    # ---- One group ------------------------------------------------------

    def _advance(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        match formation.phase:
            case formations.Phase.FORMING | formations.Phase.OPENING:
                self._bring_up(formation, round_)
            case formations.Phase.SERVING:
                self._check_serving(formation, round_)
            case formations.Phase.DISSOLVING:
                self._continue_dissolving(formation, round_)
            case formations.Phase.ABANDONED:
                self._continue_abandoned(formation, round_)
            case formations.Phase.FREED:
                self._close_returned_head(formation, round_)

    def _bring_up(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        head = round_.seat_state(formation, 0)
        if head is SeatState.OPEN:
            self._set_phase(
                formation,
                formations.Phase.SERVING,
                formations.Cause.OPEN,
                round_,
            )
            return
        if head is SeatState.BROKEN:
            self.begin_dissolving(
                formation, formations.Cause.HEAD_BROKEN, round_
            )
            return
        if head is SeatState.CLOSING:
            self.begin_dissolving(
                formation, formations.Cause.HEAD_CLOSING, round_
            )
            return
        lost = round_.lost_members(formation)
        if lost:
            self.begin_dissolving(
                formation,
                formations.Cause.LOST_BEFORE_OPEN,
                round_,
                f"lost {','.join(lost)}",
            )
            return
        self._extend_deadline(formation, round_)
        if round_.read_until >= formation.deadline:
            self.begin_dissolving(formation, formations.Cause.DEADLINE, round_)
            return
        outdated = round_.outdated_cause(formation)
        if outdated is not None:
            self._dissolve_outdated(formation, outdated, round_)
            return
        size = round_.size(formation)
        if size and set(formation.members) == set(range(size)):
            self._order_missing(formation, size, round_)
        elif self._is_incomplete(formation, size, round_):
            self.begin_dissolving(
                formation, formations.Cause.NOT_ALL_ORDERED, round_
            )

    def _extend_deadline(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Gives a group time for loads that take longer than was known.

        They began late, or beside many others.
        """
        engine = round_.engine(formation.service)
        model = engine.model(formation.model) if engine else None
        if engine is None or model is None:
            return
        hosts = {
            (name, formation.incarnations[rank])
            for rank, name in formation.members.items()
        }
        end = self.load_record.latest_end(hosts, model, engine)
        if end is not None:
            formation.deadline = max(
                formation.deadline, end + formations.FORMING_SLACK
            )

    def _is_incomplete(
        self,
        formation: formations.Formation,
        size: int,
        round_: planrounds.Round,
    ) -> bool:
        """Returns whether the previous planner ended between its join orders.

        The size is known once a member is ready and reports its model. After
        `ADOPTION_WAIT` the other members would have reported, too.
        """
        return (
            formation.adopted
            and round_.read_until - formation.since >= planrounds.ADOPTION_WAIT
            and set(formation.members) != set(range(size))
        )

    def _dissolve_outdated(
        self,
        formation: formations.Formation,
        cause: formations.Cause,
        round_: planrounds.Round,
    ) -> None:
        """Dissolves a group that another configuration was formed for.

        Members of a model that only changed its size finish their loads
        first: with the weights they join a new group in little time.
        """
        if cause is formations.Cause.SIZE_CHANGED and (
            round_.is_joining(formation)
        ):
            return
        self.begin_dissolving(formation, cause, round_)

    def _order_missing(
        self,
        formation: formations.Formation,
        size: int,
        round_: planrounds.Round,
    ) -> None:
        waiting = [
            rank
            for rank in range(size)
            if round_.seat_state(formation, rank)
            not in (SeatState.READY, SeatState.OPEN)
        ]
        for rank in waiting:
            # A refused join may have told the seat that a member holds.
            if round_.seat_state(
                formation, rank
            ) is None and not round_.is_seated(formation.members[rank]):
                round_.order(formation, rank, formations.Action.JOIN)
        if waiting or self._order_adopted_members(formation, round_):
            return
        formation.phase = formations.Phase.OPENING
        round_.order(formation, 0, formations.Action.OPEN)

    def _order_adopted_members(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> bool:
        """Repeats the joins of an adopted group under this term.

        Returns whether a member has not accepted one yet. Until then it
        would still execute an order of the previous planner to join another
        group, after its head has opened.
        """
        unconfirmed = [
            rank
            for rank, name in formation.members.items()
            if not self.member_by_name[name].accepted_order
        ]
        if not formation.adopted or not unconfirmed:
            return False
        for rank in unconfirmed:
            round_.order(formation, rank, formations.Action.JOIN)
        return True

    def _check_serving(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        head = round_.seat_state(formation, 0)
        name = formation.head
        if self._head_ended(formation, round_):
            return
        if round_.head_is_lost(name):
            self.begin_dissolving(
                formation, formations.Cause.HEAD_IS_SILENT, round_
            )
        elif head is SeatState.BROKEN:
            self._set_phase(
                formation,
                formations.Phase.FREED,
                formations.Cause.BROKEN,
                round_,
            )
        elif head is not SeatState.OPEN:
            self.begin_dissolving(
                formation, formations.Cause.HEAD_NOT_OPEN, round_
            )
        elif round_.leaving_members(formation):
            self.begin_dissolving(
                formation, formations.Cause.MEMBER_LEAVING, round_
            )
        elif (outdated := round_.outdated_cause(formation)) is not None:
            self.begin_dissolving(formation, outdated, round_)
        elif name in round_.view.doubted:
            self._check_for_lost_member(formation, round_)

    def _check_for_lost_member(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Queries the members of a group that appears to be stalled.

        A group can't make progress without a member that does not reply, so
        the others need not wait until the head detects the loss.
        """
        for rank, name in sorted(formation.members.items()):
            if rank and round_.is_lost(name, formation.head):
                formation.abort = True
                self.begin_dissolving(
                    formation,
                    formations.Cause.MEMBER_LOST,
                    round_,
                    f"member {name} lost",
                )
                return
        late_members = [
            name
            for rank, name in formation.members.items()
            if rank
            and name in self.member_by_name
            and round_.silence_duration(name) >= planrounds.MISSED_REPORT
        ]
        for name in late_members:
            self._repeat_query(name, round_)
            self._query_head_after(formation.head, name, round_)

    def _query_head_after(
        self, head: str, name: str, round_: planrounds.Round
    ) -> None:
        """Queries a head after one of its members did not reply.

        A reply of the head shows that the group is not partitioned from the
        controllers as a whole.
        """
        unanswered_at = self.member_by_name[name].unanswered_at
        member = self.member_by_name[head]
        if unanswered_at is not None and member.queried_at <= unanswered_at:
            member.queried_at = round_.now
            member.query_due = True

    def begin_dissolving(
        self,
        formation: formations.Formation,
        cause: formations.Cause,
        round_: planrounds.Round,
        detail: str = "",
    ) -> None:
        """Starts to dissolve a group; `detail` is logged as the cause."""
        self._set_phase(
            formation, formations.Phase.DISSOLVING, cause, round_, detail
        )
        self._continue_dissolving(formation, round_)

    def _continue_dissolving(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Closes the head or orders it to leave, before members are freed."""
        name = formation.head
        if name and self._head_ended(formation, round_):
            return
        if not name or round_.head_is_lost(name):
            self._abandon_without_head(formation, round_)
            return
        if formation.cause is formations.Cause.HEAD_IS_SILENT:
            # The head was only partitioned from the controllers.
            self._set_phase(
                formation,
                formations.Phase.SERVING,
                formations.Cause.HEAD_REPORTS_AGAIN,
                round_,
            )
            return
        if round_.view.fleet[name].signed_off:
            self._repeat_query(name, round_)
        match round_.seat_state(formation, 0):
            case SeatState.BROKEN:
                self._set_phase(
                    formation,
                    formations.Phase.FREED,
                    formations.Cause.BROKEN,
                    round_,
                )
            case SeatState.OPEN:
                round_.order(formation, 0, formations.Action.CLOSE)
            case SeatState.CLOSING:
                pass
            case _:
                round_.order(formation, 0, formations.Action.LEAVE)

    def _repeat_query(self, name: str, round_: planrounds.Round) -> None:
        """Queries a member again, at most once per `ORDER_REPEAT`."""
        member = self.member_by_name[name]
        if round_.now - member.queried_at >= planrounds.ORDER_REPEAT:
            member.queried_at = round_.now
            member.query_due = True

    def _close_returned_head(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Closes a head that reports again after its members were freed."""
        silence = round_.silence_duration(formation.head)
        if silence >= planrounds.MEMBER_FRESHNESS:
            # Its last report predates the release of its members.
            return
        if round_.seat_state(formation, 0) in (
            SeatState.OPEN,
            SeatState.CLOSING,
        ):
            self.begin_dissolving(
                formation, formations.Cause.HEAD_RETURNED, round_
            )

    def _head_ended(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> bool:
        """Returns whether the head's process ended, and gives up its group.

        Only a report of a new incarnation proves the end. A head that is no
        longer in the fleet may still serve, out of reach.
        """
        registration = round_.view.fleet.get(formation.head)
        if registration is None:
            self._set_phase(
                formation,
                formations.Phase.ABANDONED,
                formations.Cause.HEAD_GONE,
                round_,
            )
            return True
        if registration.incarnation != formation.incarnations[0]:
            self._set_phase(
                formation,
                formations.Phase.FREED,
                formations.Cause.HEAD_ENDED,
                round_,
            )
            return True
        return False

    def _abandon_without_head(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Gives up a group whose members report, but not its head."""
        if round_.members_miss_head(formation):
            self._set_phase(
                formation,
                formations.Phase.ABANDONED,
                formations.Cause.HEAD_LOST,
                round_,
            )
            self._order_to_leave(formation, round_)

    def _continue_abandoned(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Releases members that report late; closes a head that does."""
        name = formation.head
        if name in round_.view.fleet:
            if self._head_ended(formation, round_):
                return
            silence = round_.silence_duration(name)
            if silence < planrounds.MEMBER_FRESHNESS:
                self.begin_dissolving(
                    formation, formations.Cause.HEAD_RETURNED, round_
                )
                return
        self._order_to_leave(formation, round_)

    def _order_to_leave(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Orders the members that report, but not the head, to leave.

        A head that still serves stalls once a member has left, so that no
        request runs in an incomplete group.
        """
        for rank, name in sorted(formation.members.items()):
            if (
                rank
                and name not in round_.view.silent
                and round_.seat_state(formation, rank) is not None
            ):
                round_.order(formation, rank, formations.Action.LEAVE)

    def _set_phase(
        self,
        formation: formations.Formation,
        phase: formations.Phase,
        cause: formations.Cause,
        round_: planrounds.Round,
        detail: str = "",
    ) -> None:
        formation.phase = phase
        formation.since = self.changed_at = round_.now
        formation.cause = cause
        self._note_phase(formation, phase, cause, round_, detail)

    def _note_phase(
        self,
        formation: formations.Formation,
        phase: formations.Phase,
        cause: formations.Cause,
        round_: planrounds.Round,
        detail: str = "",
    ) -> None:
        fields: tuple[tuple[str, str], ...] = ()
        if phase in (formations.Phase.ABANDONED, formations.Phase.FREED):
            fields = (("seated", round_.describe_seated(formation)),)
        self.notes.append(
            formations.Note(
                phase.value,
                formation.group,
                formation.epoch,
                detail or cause.value,
                cause,
                fields,
            )
        )

    def _remove_given_up(self, round_: planrounds.Round) -> None:
        for key, formation in list(self.formation_by_key.items()):
            if formation.is_given_up and not any(
                registration.seat is not None
                and (registration.seat.group, registration.seat.epoch) == key
                for registration in round_.view.fleet.values()
            ):
                del self.formation_by_key[key]

    def next_epoch(self) -> int:
        """Returns an epoch that no group has used."""
        self._epochs += 1
        return self.term * EPOCHS_PER_TERM + self._epochs
