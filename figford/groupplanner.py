"""The planner of groups: brings them up, watches them, takes them apart.

Reports of the upstreams are the truth, memory only says what was ordered.
A head is opened after all members reported ready. A member is taken away
only after its head has left, broken or ended.
"""

import collections
import datetime

import attrs

from figford import fleetmessages
from figford import formations
from figford import forming
from figford import planrounds
from figford import routes
from figford import warming

SeatState = fleetmessages.SeatState

# Reports settle this long after a change of leader before anything is
# planned, so that what the previous leader ordered is seen.
TAKEOVER_WAIT = datetime.timedelta(milliseconds=600)
# Loads are counted over this window against the weight store's rate.
LOAD_WINDOW = datetime.timedelta(seconds=5)
# Members of a group that another planner was forming report within this
# time; reports come every 1.2 s.
ADOPTION_WAIT = datetime.timedelta(milliseconds=2500)
EPOCHS_PER_TERM = 1 << 20
# What an upstream says of its orders is at most this old.
COUNT_LAG = datetime.timedelta(milliseconds=400)
HEAD_IS_SILENT = "head silent"


@attrs.define
class Planner:
    """Decides orders for all engines; acts only in the leader's term."""

    term: int = 0
    by_key: dict[tuple[str, int], formations.Formation] = attrs.field(
        factory=dict
    )
    member_by_name: dict[str, formations.Member] = attrs.field(factory=dict)
    notes: list[formations.Note] = attrs.field(factory=list)
    # When a group last came up, was given up or was begun.
    changed_at: datetime.timedelta = datetime.timedelta(0)
    _epochs: int = 0
    _plan_from: datetime.timedelta = datetime.timedelta(0)
    _loads: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )

    def start(self, term: int, now: datetime.timedelta) -> None:
        """Begins a term of planning with nothing known of orders."""
        if term <= self.term:
            raise AssertionError("terms of planning only rise")
        self.term = term
        self._epochs = 0
        self._plan_from = now + TAKEOVER_WAIT
        self.by_key.clear()
        self.member_by_name.clear()
        self._loads.clear()

    # ---- Results of orders ----------------------------------------------

    def result(
        self,
        order: formations.GroupOrder,
        result: formations.Result,
        now: datetime.timedelta,
    ) -> None:
        """Notes what came of an order of this term."""
        member = self.member_by_name.get(order.upstream)
        if member is None or member.pending is not order:
            return
        member.pending = None
        match result:
            case formations.Result.BEGUN:
                member.begun = (order.expected or 0) + 1
            case formations.Result.REFUSED:
                # It may be given again as soon as the count is known.
                member.ask_due = True
                member.last_order = None
            case formations.Result.UNKNOWN:
                member.ask_due = True
            case formations.Result.FENCED:
                # Another planner ordered with a higher number: this one
                # has nothing to say to the upstream any more.
                member.is_fenced = True
            case _:
                pass
        done = result in (formations.Result.BEGUN, formations.Result.HELD)
        if order.action is formations.Action.STAGE and not done:
            member.staging = ""
        if order.action is formations.Action.LEAVE and done:
            key = (order.group, order.epoch)
            if member.left_group != key:
                # It takes effect at once; only a repeat changes nothing.
                member.begun = (order.expected or 0) + 1
            member.left_group = key
            self._free_group_of_head(order)

    def _free_group_of_head(self, order: formations.GroupOrder) -> None:
        formation = self.by_key.get((order.group, order.epoch))
        if formation is not None and formation.head == order.upstream:
            formation.phase = formations.Phase.FREED

    def query_answered(
        self,
        upstream: str,
        incarnation: int,
        reply: formations.OrderCountReply,
        now: datetime.timedelta,
    ) -> None:
        """Takes in what an upstream answered to a question."""
        member = self.member_by_name.get(upstream)
        if member is None or member.incarnation != incarnation:
            return
        member.ask_due = False
        member.begun = reply.begun
        member.reported_seat = reply.seat
        member.has_replied = True
        member.replied_at = now
        member.unanswered_at = None

    def query_unanswered(
        self, upstream: str, incarnation: int, now: datetime.timedelta
    ) -> None:
        """Notes that an upstream did not answer a question."""
        member = self.member_by_name.get(upstream)
        if member is None or member.incarnation != incarnation:
            return
        if member.unanswered_at is None:
            member.unanswered_at = now

    def queries_due(self, now: datetime.timedelta) -> list[str]:
        """Returns the upstreams whose count of orders is in doubt.

        Counts lag behind, so none is asked right after an order.
        """
        return [
            name
            for name, member in sorted(self.member_by_name.items())
            if member.ask_due
            and member.pending is None
            and now - member.last_order_at >= COUNT_LAG
        ]

    # ---- A round --------------------------------------------------------

    def plan(
        self, view: formations.View, now: datetime.timedelta
    ) -> list[formations.GroupOrder]:
        """Returns the orders that are due now."""
        if now < self._plan_from:
            return []
        round_ = planrounds.Round(self, view, now)
        self._update_members(view)
        self._adopt(round_)
        for formation in list(self.by_key.values()):
            self._advance(formation, round_)
        self._forget_freed(round_)
        forming.form(round_)
        forming.consolidate_domains(round_)
        forming.rebalance(round_)
        forming.stage(round_)
        warming.warm(round_)
        return round_.orders

    def _update_members(self, view: formations.View) -> None:
        for name, registration in view.fleet.items():
            member = self.member_by_name.get(name)
            if member is None or (
                member.incarnation != registration.incarnation
            ):
                known = registration.seat is None and not registration.staged
                self.member_by_name[name] = formations.Member(
                    registration.incarnation, 0 if known else None
                )
                self.member_by_name[name].ask_due = not known
        for name in set(self.member_by_name) - set(view.fleet):
            del self.member_by_name[name]
        for name, member in self.member_by_name.items():
            if member.staging and member.staging in view.fleet[name].staged:
                member.staging = ""
            unanswered_at = member.unanswered_at
            if unanswered_at and unanswered_at < view.heard_at[name]:
                member.unanswered_at = None

    def _adopt(self, round_: planrounds.Round) -> None:
        """Takes groups that others formed from the reports of members."""
        for key, seats in round_.seats_by_key.items():
            formation = self.by_key.get(key)
            if formation is None:
                formation = self._new_adopted_formation(key, seats, round_)
                self.by_key[key] = formation
            for rank, registration in seats.items():
                member = self.member_by_name[registration.upstream]
                if not warming.is_warm_up(formation.group):
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
        loads = [model.load for model in engine.models] if engine else []
        # A group of this term that is not held was freed before; a late
        # order brought its member back. One that only warms up is nobody's.
        of_this_term = key[1] // EPOCHS_PER_TERM == self.term
        free = of_this_term or warming.is_warm_up(key[0])
        return formations.Formation(
            group=key[0],
            epoch=key[1],
            service=first_seat.service,
            model="",
            members={},
            incarnations={},
            phase=formations.Phase.FREED if free else formations.Phase.FORMING,
            since=round_.now,
            deadline=round_.now
            + max(loads, default=datetime.timedelta(0))
            + formations.FORMING_SLACK,
            adopted=True,
        )

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
                self._dissolve(formation, round_)
            case formations.Phase.FREED:
                self._close_returned_head(formation, round_)

    def _bring_up(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        head = round_.seat(formation, 0)
        if head is SeatState.OPEN:
            self._set_phase(
                formation, formations.Phase.SERVING, "open", round_
            )
            return
        if head in (SeatState.BROKEN, SeatState.CLOSING):
            self.give_up(formation, f"head {head.value}", round_)
            return
        lost = round_.lost_members(formation)
        if lost or round_.now >= formation.deadline:
            reason = f"lost {','.join(lost)}" if lost else "not up in time"
            self.give_up(formation, reason, round_)
            return
        size = round_.size(formation)
        if size and len(formation.members) == size:
            self._order_missing(formation, size, round_)
        elif self._is_incomplete(formation, size, round_):
            self.give_up(formation, "not all were asked to join", round_)

    def _is_incomplete(
        self,
        formation: formations.Formation,
        size: int,
        round_: planrounds.Round,
    ) -> bool:
        """Returns whether the planner before ended amid its orders.

        Once some members are ready, the model and with it the size is
        known, and the others would have reported by now.
        """
        return (
            formation.adopted
            and round_.now - formation.since >= ADOPTION_WAIT
            and len(formation.members) < size
        )

    def _order_missing(
        self,
        formation: formations.Formation,
        size: int,
        round_: planrounds.Round,
    ) -> None:
        waiting = [
            rank
            for rank in range(size)
            if round_.seat(formation, rank)
            not in (SeatState.READY, SeatState.OPEN)
        ]
        if not waiting:
            formation.phase = formations.Phase.OPENING
            round_.order(formation, 0, formations.Action.OPEN)
            return
        for rank in waiting:
            if round_.seat(formation, rank) is None:
                round_.order(formation, rank, formations.Action.JOIN)

    def _check_serving(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        head = round_.seat(formation, 0)
        name = formation.head
        registration = round_.view.fleet.get(name)
        if registration is None or (
            registration.incarnation != formation.incarnations[0]
        ):
            self._set_phase(
                formation, formations.Phase.FREED, "head ended", round_
            )
        elif round_.head_is_lost(name):
            self.give_up(formation, HEAD_IS_SILENT, round_)
        elif head is SeatState.BROKEN:
            self._set_phase(
                formation, formations.Phase.FREED, "broken", round_
            )
        elif head is not SeatState.OPEN:
            self.give_up(formation, "head not open", round_)
        elif round_.leaving_members(formation):
            self.give_up(formation, "member leaving", round_)
        elif name in round_.view.doubted:
            self._check_for_lost_member(formation, round_)

    def _check_for_lost_member(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Asks the members of a group that stands still by all signs.

        Without the one that does not answer, nothing of the group's work
        can go on, so the rest need not wait until the head notices.
        """
        for rank, name in sorted(formation.members.items()):
            if rank and round_.is_lost(name, formation.head):
                formation.abort = True
                self.give_up(formation, f"member {name} lost", round_)
                return
        late_members = [
            name
            for rank, name in formation.members.items()
            if rank
            and name in self.member_by_name
            and round_.silent_for(name) >= planrounds.MISSED_REPORT
        ]
        for name in late_members:
            self._repeat_query(name, round_)
            self._query_head_after(formation.head, name, round_)

    def _query_head_after(
        self, head: str, name: str, round_: planrounds.Round
    ) -> None:
        """Asks a head after its member did not answer.

        Its answer shows that the way to the group is open.
        """
        unanswered_at = self.member_by_name[name].unanswered_at
        member = self.member_by_name[head]
        if unanswered_at is not None and member.asked_at <= unanswered_at:
            member.asked_at = round_.now
            member.ask_due = True

    def give_up(
        self,
        formation: formations.Formation,
        reason: str,
        round_: planrounds.Round,
    ) -> None:
        """Begins to take a group apart."""
        self._set_phase(formation, formations.Phase.DISSOLVING, reason, round_)
        self._dissolve(formation, round_)

    def _dissolve(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Brings the head to where its members may be taken away."""
        name = formation.head
        registration = round_.view.fleet.get(name)
        if not name:
            self._free_without_head(formation, round_)
            return
        if registration is None or (
            registration.incarnation != formation.incarnations.get(0)
        ):
            self._set_phase(
                formation, formations.Phase.FREED, "head ended", round_
            )
            return
        if round_.head_is_lost(name):
            self._free_without_head(formation, round_)
            return
        if formation.reason == HEAD_IS_SILENT:
            # It was cut off from the controllers and is back.
            self._set_phase(
                formation, formations.Phase.SERVING, "head back", round_
            )
            return
        if registration.signed_off:
            self._repeat_query(name, round_)
        match round_.seat(formation, 0):
            case SeatState.BROKEN:
                self._set_phase(
                    formation, formations.Phase.FREED, "broken", round_
                )
            case SeatState.OPEN:
                round_.order(formation, 0, formations.Action.CLOSE)
            case SeatState.CLOSING:
                pass
            case _:
                round_.order(formation, 0, formations.Action.LEAVE)

    def _repeat_query(self, name: str, round_: planrounds.Round) -> None:
        """Asks one that reports no more by itself how far it is."""
        member = self.member_by_name[name]
        if round_.now - member.asked_at >= planrounds.ORDER_REPEAT:
            member.asked_at = round_.now
            member.ask_due = True

    def _close_returned_head(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Closes a head that came back after its members were freed."""
        silence = round_.silent_for(formation.head)
        if silence >= planrounds.MEMBER_FRESHNESS:
            # What it said last is what freed its members.
            return
        if round_.seat(formation, 0) in (SeatState.OPEN, SeatState.CLOSING):
            self.give_up(formation, "head came back", round_)

    def _free_without_head(
        self, formation: formations.Formation, round_: planrounds.Round
    ) -> None:
        """Frees members whose head can't be asked, once they have left.

        Their leaving makes a head that still serves stand still, so that
        nothing runs in a group that is not whole.
        """
        heard = [
            rank
            for rank, name in sorted(formation.members.items())
            if rank and name not in round_.view.silent
        ]
        seated = [
            rank for rank in heard if round_.seat(formation, rank) is not None
        ]
        for rank in seated:
            round_.order(formation, rank, formations.Action.LEAVE)
        if heard and not seated:
            self._set_phase(
                formation, formations.Phase.FREED, "head lost", round_
            )

    def _set_phase(
        self,
        formation: formations.Formation,
        phase: formations.Phase,
        reason: str,
        round_: planrounds.Round,
    ) -> None:
        formation.phase = phase
        formation.since = self.changed_at = round_.now
        formation.reason = reason
        self.notes.append(
            formations.Note(
                phase.value, formation.group, formation.epoch, reason
            )
        )

    def _forget_freed(self, round_: planrounds.Round) -> None:
        for key, formation in list(self.by_key.items()):
            if formation.phase is formations.Phase.FREED and not any(
                registration.seat is not None
                and (registration.seat.group, registration.seat.epoch) == key
                for registration in round_.view.fleet.values()
            ):
                del self.by_key[key]

    def next_epoch(self) -> int:
        """Returns an epoch that no group has had."""
        self._epochs += 1
        return self.term * EPOCHS_PER_TERM + self._epochs

    # ---- Loads ----------------------------------------------------------

    def may_load(
        self, engine: routes.Engine, count: int, round_: planrounds.Round
    ) -> bool:
        """Returns whether the weight store takes `count` more loads.

        Few at a time finish soonest, since the store shares its bandwidth.
        """
        if round_.view.warming_up:
            return round_.loads_in_progress() < engine.loads_at_once
        now = round_.now
        while self._loads and now - self._loads[0] > LOAD_WINDOW:
            self._loads.popleft()
        second = datetime.timedelta(seconds=1)
        recent = sum(now - began <= second for began in self._loads)
        limit = engine.loads_per_second * LOAD_WINDOW.total_seconds()
        at_once = engine.loads_per_second + engine.loads_at_once
        return len(self._loads) + count <= limit and recent + count <= at_once

    def record_loads(self, count: int, now: datetime.timedelta) -> None:
        """Notes loads that begin now."""
        self._loads.extend([now] * count)
