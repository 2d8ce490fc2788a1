"""One planning round: the reports, and the orders given so far."""

from __future__ import annotations

import collections
import datetime
import typing

import attrs

from figford import fleetmessages
from figford import formations
from figford import loadrecord
from figford import routes

if typing.TYPE_CHECKING:
    from figford import groupplanner

SeatState = fleetmessages.SeatState

MILLISECOND = datetime.timedelta(milliseconds=1)

# An order without a visible effect is repeated after this long.
ORDER_REPEAT = datetime.timedelta(milliseconds=1200)
# A head that is silent this long counts as lost; a head that was only
# partitioned from the controllers usually reports again before that.
HEAD_SILENCE_TIMEOUT = datetime.timedelta(seconds=8)
# The same limit if entries see the head fail; more than one report is missing
# by then.
DOUBTED_HEAD_SILENCE_TIMEOUT = datetime.timedelta(milliseconds=2600)
# After a partition a head has this long to report, counted from when another
# member of its group was heard again; it may report to another controller,
# whose link comes back later.
HEAD_RETURN_WAIT = datetime.timedelta(milliseconds=2600)
# Only hosts that reported within this time are given a group; reports come
# every 1.2 s.
MEMBER_FRESHNESS = datetime.timedelta(seconds=2)
# An upstream's reply to a query tells its state of at most this long ago.
REPLY_LAG = datetime.timedelta(milliseconds=400)
# Members of a group that another planner was forming report within this
# time; reports come every 1.2 s.
ADOPTION_WAIT = datetime.timedelta(milliseconds=2500)
# A report counts as missed after this long.
MISSED_REPORT = datetime.timedelta(milliseconds=1350)


@attrs.define
class Round:
    """One planning round: the reports, and the orders given so far."""

    planner: groupplanner.Planner
    view: formations.View
    now: datetime.timedelta
    orders: list[formations.GroupOrder] = attrs.field(factory=list)
    seats_by_key: dict[
        tuple[str, int], dict[int, fleetmessages.Registration]
    ] = attrs.field(factory=dict)
    # Loads that orders of this round cause.
    loads_ordered: int = 0
    _hosts_loading: int | None = None

    def __attrs_post_init__(self) -> None:
        """Indexes the reports by group.

        A known member keeps its rank if another upstream claims it, too.
        """
        for name, registration in self.view.fleet.items():
            seat = registration.seat
            if seat is None:
                continue
            key = (seat.group, seat.epoch)
            formation = self.planner.formation_by_key.get(key)
            known = formation.members.get(seat.rank) if formation else None
            if known in (None, name) or known not in self.view.fleet:
                self.seats_by_key.setdefault(key, {})[seat.rank] = registration

    def engine(self, service: str) -> routes.Engine | None:
        """Returns the engine settings of a service; None if it has none."""
        return self.view.engines.get(service)

    def fillable_engine(self, service: str) -> routes.Engine:
        """Returns the engine settings with the models that can be served.

        Left out are models that need more instances than the fleet has.
        """
        return self.planner.shortages.fillable(
            service, self.view.engines[service], self.now
        )

    def is_bare(self, registration: fleetmessages.Registration) -> bool:
        """Returns whether a host has no weights of a configured model."""
        engine = self.engine(registration.service)
        return engine is None or not any(
            engine.model(name) for name in registration.staged
        )

    def size(self, formation: formations.Formation) -> int:
        """Returns the number of members a group needs; 0 if unknown."""
        engine = self.engine(formation.service)
        model = engine.model(formation.model) if engine else None
        return model.size if model else 0

    def outdated_cause(
        self, formation: formations.Formation
    ) -> formations.Cause | None:
        """Returns why the configuration in force rules a group out.

        Returns None if it does not, and while the model is not known yet.
        """
        engine = self.engine(formation.service)
        if engine is None or not formation.model:
            return None
        model = engine.model(formation.model)
        if model is None:
            return formations.Cause.MODEL_REMOVED
        if self._may_have_size(formation, model.size):
            return None
        return formations.Cause.SIZE_CHANGED

    def _may_have_size(
        self, formation: formations.Formation, size: int
    ) -> bool:
        """Returns whether a group has `size` members, as far as is known.

        A former version's names do not tell it; the members that have
        reported since the group was adopted are all of them then.
        """
        if formation.size is not None:
            return formation.size == size
        if self.read_until - formation.since < ADOPTION_WAIT:
            return all(rank < size for rank in formation.members)
        return set(formation.members) == set(range(size))

    def is_joining(self, formation: formations.Formation) -> bool:
        """Returns whether a member still joins, or may not have begun to."""
        states = {
            self.seat_state(formation, rank) for rank in formation.members
        }
        has_just_begun = self.read_until - formation.since < ORDER_REPEAT
        return SeatState.JOINING in states or (
            None in states and has_just_begun
        )

    def silence_duration(self, name: str) -> datetime.timedelta:
        """Returns the time since the last report of an upstream."""
        return self.now - self.view.heard_at.get(name, self.now)

    @property
    def read_until(self) -> datetime.timedelta:
        """Returns until when reports that arrived have been read."""
        read_until = self.view.read_until
        return self.now if read_until is None else read_until

    def describe_seated(self, formation: formations.Formation) -> str:
        """Returns who last reported a seat in a group, and how long ago.

        Each upstream is followed by a slash and the time in milliseconds.
        Answers to orders to leave are not considered.
        """
        key = (formation.group, formation.epoch)
        return ",".join(
            f"{name}/{self.silence_duration(name) // MILLISECOND}"
            for name, registration in sorted(self.view.fleet.items())
            if registration.seat is not None
            and (registration.seat.group, registration.seat.epoch) == key
        )

    def head_is_lost(self, name: str) -> bool:
        """Returns whether a head has been silent too long.

        The limit is shorter if the entries that send it requests see it
        fail: a head that is only partitioned from the controllers still
        serves them.
        """
        if not self.view.settled:
            return False
        doubted = name in self.view.doubted
        limit = (
            DOUBTED_HEAD_SILENCE_TIMEOUT if doubted else HEAD_SILENCE_TIMEOUT
        )
        heard_at = self.view.heard_at.get(name, self.read_until)
        return self.read_until - heard_at >= limit

    def members_miss_head(self, formation: formations.Formation) -> bool:
        """Returns whether a member reports, and has for a while.

        Until then a silent head may just be the last one to report after a
        partition of the whole group.
        """
        return any(
            rank
            and name in self.view.fleet
            and self.silence_duration(name) < MEMBER_FRESHNESS
            and self.read_until - self.view.in_touch_since[name]
            >= HEAD_RETURN_WAIT
            for rank, name in formation.members.items()
        )

    def is_lost(self, name: str, head: str) -> bool:
        """Returns whether a member is unreachable while its head is not.

        The member neither reports nor replies, but its head has reported or
        replied since. A group that is partitioned from the controllers as a
        whole has lost no member.
        """
        member = self.planner.member_by_name.get(name)
        heard_at = self.view.heard_at.get(name)
        if member is None or heard_at is None:
            return True
        if member.unanswered_at is None or not self.view.settled:
            return False
        return (
            self.read_until - heard_at >= MISSED_REPORT
            and self._last_contact_at(head) > member.unanswered_at
        )

    def _last_contact_at(self, name: str) -> datetime.timedelta:
        """Returns when an upstream last reported or replied to a query."""
        member = self.planner.member_by_name.get(name)
        replied_at = member.replied_at if member else datetime.timedelta(0)
        return max(replied_at, self.view.heard_at.get(name, replied_at))

    def seat_state(
        self, formation: formations.Formation, rank: int
    ) -> SeatState | None:
        """Returns the state of a member; None if it is not in the group."""
        seats = self.seats_by_key.get((formation.group, formation.epoch), {})
        registration = seats.get(rank)
        if registration is None or registration.seat is None:
            return None
        if registration.upstream != formation.members.get(rank):
            return None
        member = self.planner.member_by_name.get(registration.upstream)
        if member and member.left_group == (formation.group, formation.epoch):
            return None
        if registration.signed_off:
            return self._replied_state(formation, registration)
        return registration.seat.state

    def _replied_state(
        self,
        formation: formations.Formation,
        registration: fleetmessages.Registration,
    ) -> SeatState | None:
        """Returns the state of a member that has signed off."""
        member = self.planner.member_by_name[registration.upstream]
        seat = registration.seat
        if member.has_replied:
            seat = member.reported_seat
        if seat is None or (seat.group, seat.epoch) != (
            formation.group,
            formation.epoch,
        ):
            return None
        return seat.state

    def lost_members(self, formation: formations.Formation) -> list[str]:
        """Returns the members that ended, are leaving or are silent."""
        return [
            name
            for rank, name in sorted(formation.members.items())
            if name not in self.view.fleet
            or self.view.fleet[name].incarnation
            != formation.incarnations[rank]
            or self.view.fleet[name].leaving
            or name in self.view.silent
        ]

    def leaving_members(self, formation: formations.Formation) -> list[str]:
        """Returns the members that announced that they are leaving."""
        return [
            name
            for name in formation.members.values()
            if name in self.view.fleet and self.view.fleet[name].leaving
        ]

    def order(
        self,
        formation: formations.Formation,
        rank: int,
        action: formations.Action,
    ) -> None:
        """Sends a member an order for its group, if `send` allows it now."""
        name = formation.members[rank]
        members = tuple(
            formation.members[index] for index in sorted(formation.members)
        )
        self.send(
            name,
            formations.GroupOrder(
                upstream=name,
                incarnation=formation.incarnations[rank],
                address="",
                action=action,
                fence=self.planner.term,
                expected=None,
                group=formation.group,
                epoch=formation.epoch,
                model=(
                    formation.model if action is formations.Action.JOIN else ""
                ),
                members=members if action is formations.Action.JOIN else (),
                abort=formation.abort,
            ),
        )

    def send(self, name: str, order: formations.GroupOrder) -> bool:
        """Sends an order unless one is pending or the same was just sent.

        Returns whether the order was sent.
        """
        member = self.planner.member_by_name.get(name)
        registration = self.view.fleet.get(name)
        if member is None or registration is None:
            return False
        if member.pending or member.query_due or member.orders_begun is None:
            return False
        if member.is_fenced:
            return False
        last_order = member.last_order
        same = last_order is not None and (
            (
                last_order.action,
                last_order.group,
                last_order.epoch,
                last_order.model,
            )
            == (order.action, order.group, order.epoch, order.model)
        )
        if same and self.now - member.last_order_at < ORDER_REPEAT:
            return False
        order = attrs.evolve(
            order, address=registration.address, expected=member.orders_begun
        )
        if loadrecord.causes_load(order, registration, member):
            if not self._may_cause_load(order, registration.service):
                return False
            self.planner.load_record.record_order(order, self.now)
            self.loads_ordered += 1
        member.pending = member.last_order = order
        member.last_order_at = self.now
        self.orders.append(order)
        return True

    def _may_cause_load(
        self, order: formations.GroupOrder, service: str
    ) -> bool:
        record = self.planner.load_record
        engine = self.engine(service)
        if engine is None or record.has_place(order):
            return True
        if self.view.warming_up:
            return record.allows_before_requests(engine, 1)
        return record.allows(engine, 1, self._missed_loads(engine), self.now)

    def _missed_loads(self, engine: routes.Engine) -> float:
        """Returns how many loads may count that an earlier planner ordered.

        These are hosts that may be loading, but not on a known order.
        """
        most = self.planner.load_record.most_missed(engine, self.now)
        return min(most, self._count_hosts_loading()) if most else 0

    def _count_hosts_loading(self) -> int:
        if self._hosts_loading is None:
            record = self.planner.load_record
            self._hosts_loading = sum(
                loadrecord.may_be_loading(
                    registration, self.planner.member_by_name[name]
                )
                and not record.is_known(name, registration.incarnation)
                for name, registration in self.view.fleet.items()
            )
        return self._hosts_loading

    def may_load(self, engine: routes.Engine, count: int) -> bool:
        """Returns whether the weight store can take `count` more loads."""
        if not count:
            return True
        record = self.planner.load_record
        if self.view.warming_up:
            return (
                self.members_loading() < engine.loads_at_once
                and record.allows_before_requests(engine, count)
            )
        return record.allows(
            engine, count, self._missed_loads(engine), self.now
        )

    def may_load_spare(self, engine: routes.Engine) -> bool:
        """Returns whether a spare may load without slowing other loads."""
        in_progress = self.planner.load_record.in_progress()
        return self.may_load(engine, 1) and (
            self.view.warming_up or in_progress < engine.loads_at_once
        )

    def loads_needed(
        self, members: list[fleetmessages.Registration], model: str
    ) -> int:
        """Returns how many members may have to load a model's weights."""
        known = self.planner.member_by_name
        return sum(
            loadrecord.needs_load(model, item, known[item.upstream])
            for item in members
        )

    def members_loading(self) -> int:
        """Returns how many members are still loading for their groups."""
        return sum(
            formation.loads > 0
            and self.seat_state(formation, rank)
            not in (SeatState.READY, SeatState.OPEN)
            for formation in self.planner.formation_by_key.values()
            if formation.phase is formations.Phase.FORMING
            for rank in formation.members
        )

    def members_by_model(self, domain: str) -> collections.Counter[str]:
        """Returns the number of group members in a domain, by model."""
        count: collections.Counter[str] = collections.Counter()
        for formation in self.planner.formation_by_key.values():
            if formation.is_given_up:
                continue
            for name in formation.members.values():
                found = self.view.fleet.get(name)
                if found is not None and found.domain == domain:
                    count[formation.model] += 1
        return count

    def available_for(
        self, free: list[fleetmessages.Registration], model: routes.Model
    ) -> list[fleetmessages.Registration]:
        """Returns a service's free engines not reserved for another model.

        A reservation ends when its model can't be served any more.
        """
        if not free:
            return []
        engine = self.fillable_engine(free[0].service)
        others = {other.name for other in engine.models} - {model.name}
        known = self.planner.member_by_name
        return [
            item
            for item in free
            if known[item.upstream].reserved_for not in others
        ]

    def free_duration(self, name: str) -> datetime.timedelta:
        """Returns how long an engine has been free."""
        since = self.planner.member_by_name[name].free_since
        return self.now - (self.now if since is None else since)

    def busy(self) -> set[str]:
        """Returns the engines that can't be given a group.

        These are the members of groups that the planner keeps, and engines
        that hold a seat in any other group whose head may still serve.
        """
        kept = {
            name
            for formation in self.planner.formation_by_key.values()
            if not formation.is_given_up
            for name in formation.members.values()
        }
        return kept | {
            name for name in self.view.fleet if self.is_seated(name)
        }

    def is_seated(self, name: str) -> bool:
        """Returns whether an engine holds a seat that it must leave first.

        Only its own report or answer shows that it left; a seat is void once
        the head of the group has left, is broken or was restarted. A reply
        counts as well until a report with content is newer: a controller that
        missed reports may know of no seat, though it hears beats.
        """
        member = self.planner.member_by_name[name]
        registration = self.view.fleet[name]
        seats = [registration.seat]
        if registration.sequence <= member.replied_sequence or (
            member.has_replied
            and member.replied_at - REPLY_LAG > self.view.heard_at[name]
        ):
            seats.append(member.reported_seat)
        return any(
            seat is not None and self._is_binding(seat, member)
            for seat in seats
        )

    def _is_binding(
        self, seat: fleetmessages.FleetSeat, member: formations.Member
    ) -> bool:
        key = (seat.group, seat.epoch)
        if member.left_group == key:
            return False
        formation = self.planner.formation_by_key.get(key)
        return (
            formation is None or formation.phase is not formations.Phase.FREED
        )

    def idle(self, service: str) -> list[fleetmessages.Registration]:
        """Returns the engines without a group, even with orders pending."""
        busy = self.busy()
        return [
            registration
            for name, registration in sorted(self.view.fleet.items())
            if registration.service == service
            and name not in busy
            and name not in self.view.silent
            and not registration.leaving
        ]

    def free(self, service: str) -> list[fleetmessages.Registration]:
        """Returns the engines of a service that can be given a group."""
        busy = self.busy()
        result = []
        for name in sorted(self.view.fleet):
            registration = self.view.fleet[name]
            member = self.planner.member_by_name[name]
            usable = (
                registration.service == service
                and name not in busy
                and name not in self.view.silent
                and self.silence_duration(name) < MEMBER_FRESHNESS
                and not registration.leaving
                and not member.is_fenced
                and member.pending is None
                and not member.query_due
                and member.orders_begun is not None
            )
            if not usable:
                member.free_since = None
                continue
            if member.free_since is None:
                member.free_since = self.now
            result.append(registration)
        return result
