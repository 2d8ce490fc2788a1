"""The planner of groups whose upstreams take joins by epoch.

The leader of the replicated log plans; its term is the fencing number and
the high part of every epoch, so that a name and an epoch never stand for
two lists of members. Reports of the upstreams are the truth, memory only
says what was ordered. A head is opened after all members reported ready. A
member is taken away only after its head has left, broken or ended.
"""

import collections
import datetime
import enum
import typing

import attrs

from figford import fleetmessages
from figford import routes

SeatState = fleetmessages.SeatState

# Reports settle this long after a change of leader before anything is
# planned, so that what the previous leader ordered is seen.
TAKEOVER_WAIT = datetime.timedelta(milliseconds=600)
# An order that shows no effect is given again after this long.
ORDER_REPEAT = datetime.timedelta(milliseconds=1200)
# A head that is silent this long counts as dead; one that was only cut off
# from the controllers is usually back by then.
HEAD_SILENCE = datetime.timedelta(seconds=8)
# The same where entries see it fail: more than one report is missing.
DOUBTED_SILENCE = datetime.timedelta(milliseconds=2600)
# Only hosts that reported this lately are given a group; reports come
# every 1.2 s.
MEMBER_FRESHNESS = datetime.timedelta(seconds=2)
# Members of a group that does not come up are given to others after this
# long beyond the time that loads need.
FORMING_SLACK = datetime.timedelta(seconds=6)
# Members wait this long for a neighbour in their fabric domain before they
# make a slower group with members of other domains.
FAR_PATIENCE = datetime.timedelta(seconds=1)
# Members wait this long for others that have the same weights, before some
# of them load other weights; a load takes longer than most repairs.
LOAD_PATIENCE = datetime.timedelta(seconds=8)
# Hosts of each domain that are kept ready with weights: a group that lost a
# member goes on with one within a warm join.
SPARES_PER_DOMAIN = 1
# Groups in surplus are given up for a lacking model only when nothing has
# changed this long, far beyond any repair.
REBALANCE_PATIENCE = datetime.timedelta(seconds=30)
# Loads are counted over this window against the weight store's rate.
LOAD_WINDOW = datetime.timedelta(seconds=5)
EPOCHS_PER_TERM = 1 << 20
# What an upstream says of its orders is at most this old.
COUNT_LAG = datetime.timedelta(milliseconds=400)
HEAD_IS_SILENT = "head silent"


class Action(enum.Enum):
    """What an order asks of an upstream."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


@attrs.frozen
class GroupOrder:
    """One order; `expected` is the count of orders the upstream began."""

    upstream: str
    incarnation: int
    address: str
    action: Action
    fence: int
    expected: int | None
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    abort: bool = False


class Result(enum.Enum):
    """What came of an order."""

    BEGUN = "begun"
    HELD = "held"
    REFUSED = "refused"
    FENCED = "fenced"
    ANOTHER = "another"
    UNKNOWN = "unknown"
    UNSENT = "unsent"


@attrs.define
class Member:
    """What the planner knows of the orders to one upstream's life."""

    incarnation: int
    begun: int | None = 0
    pending: GroupOrder | None = None
    ask_due: bool = False
    barred: bool = False
    # What it answered last, once it does not report by itself any more.
    was_told: bool = False
    told_seat: fleetmessages.FleetSeat | None = None
    asked_at: datetime.timedelta = datetime.timedelta(0)
    last: GroupOrder | None = None
    last_at: datetime.timedelta = datetime.timedelta(0)
    free_since: datetime.timedelta | None = None
    # The weights that it was ordered to stage.
    staging: str = ""
    # The model that a group in surplus was given up for.
    meant_for: str = ""
    # Whether it was in a group before, which makes it no mere spare.
    had_group: bool = False


class Phase(enum.Enum):
    """How far a group is, as the planner sees it."""

    FORMING = "forming"
    OPENING = "opening"
    SERVING = "serving"
    DISSOLVING = "dissolving"
    FREED = "freed"


@attrs.define
class Formation:
    """A group under one name and epoch; `members` starts with the head."""

    group: str
    epoch: int
    service: str
    model: str
    members: dict[int, str]
    incarnations: dict[int, int]
    phase: Phase
    since: datetime.timedelta
    deadline: datetime.timedelta
    why: str = ""
    far: bool = False
    loads: int = 0

    @property
    def head(self) -> str:
        """Returns the upstream that serves for the group."""
        return self.members.get(0, "")


@attrs.frozen
class Told:
    """An upstream's own count of orders begun, and its seat."""

    begun: int
    seat: fleetmessages.FleetSeat | None


@attrs.frozen
class View:
    """What a round of planning sees.

    `doubted` are upstreams that entries lately saw failing. Before the
    first request of all (`warming_up`) the weight store has no rate limit.
    """

    fleet: dict[str, fleetmessages.Registration]
    heard_at: dict[str, datetime.timedelta]
    silent: frozenset[str]
    engines: dict[str, routes.Engine]
    doubted: frozenset[str] = frozenset()
    warming_up: bool = False


@attrs.frozen
class Note:
    """A change of a group that is worth a log line."""

    event: str
    group: str
    epoch: int
    detail: str


@attrs.define
class Planner:
    """Decides orders for all engines; acts only in the leader's term."""

    term: int = 0
    by_key: dict[tuple[str, int], Formation] = attrs.field(factory=dict)
    member_by_name: dict[str, Member] = attrs.field(factory=dict)
    notes: list[Note] = attrs.field(factory=list)
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
        self, order: GroupOrder, result: Result, now: datetime.timedelta
    ) -> None:
        """Notes what came of an order of this term."""
        member = self.member_by_name.get(order.upstream)
        if member is None or member.pending is not order:
            return
        member.pending = None
        match result:
            case Result.BEGUN:
                member.begun = (order.expected or 0) + 1
            case Result.REFUSED | Result.UNKNOWN:
                member.ask_due = True
            case Result.FENCED:
                # Another planner ordered with a higher number: this one
                # has nothing to say to the upstream any more.
                member.barred = True
            case _:
                pass
        done = result in (Result.BEGUN, Result.HELD)
        if order.action is Action.STAGE and not done:
            member.staging = ""
        if order.action is Action.LEAVE and done:
            self._left(order)

    def _left(self, order: GroupOrder) -> None:
        formation = self.by_key.get((order.group, order.epoch))
        if formation is not None and formation.head == order.upstream:
            formation.phase = Phase.FREED

    def told(self, upstream: str, incarnation: int, told: Told) -> None:
        """Takes in what an upstream answered to a question."""
        member = self.member_by_name.get(upstream)
        if member is None or member.incarnation != incarnation:
            return
        member.ask_due = False
        member.begun = told.begun
        member.told_seat = told.seat
        member.was_told = True

    def questions(self, now: datetime.timedelta) -> list[str]:
        """Returns the upstreams whose count of orders is in doubt.

        Counts lag behind, so none is asked right after an order.
        """
        return [
            name
            for name, member in sorted(self.member_by_name.items())
            if member.ask_due
            and member.pending is None
            and now - member.last_at >= COUNT_LAG
        ]

    # ---- A round --------------------------------------------------------

    def plan(self, view: View, now: datetime.timedelta) -> list[GroupOrder]:
        """Returns the orders that are due now."""
        if now < self._plan_from:
            return []
        round_ = _Round(self, view, now)
        self._meet(view)
        self._adopt(round_)
        for formation in list(self.by_key.values()):
            self._advance(formation, round_)
        self._forget(round_)
        _form(round_)
        _rebalance(round_)
        _stage(round_)
        return round_.orders

    def _meet(self, view: View) -> None:
        for name, registration in view.fleet.items():
            member = self.member_by_name.get(name)
            if member is None or (
                member.incarnation != registration.incarnation
            ):
                known = registration.seat is None and not registration.staged
                self.member_by_name[name] = Member(
                    registration.incarnation, 0 if known else None
                )
                self.member_by_name[name].ask_due = not known
        for name in set(self.member_by_name) - set(view.fleet):
            del self.member_by_name[name]

    def _adopt(self, round_: "_Round") -> None:
        """Takes groups that others formed from the reports of members."""
        for key, seats in round_.seats_by_key.items():
            formation = self.by_key.get(key)
            if formation is None:
                formation = self._adopted(key, seats, round_)
                self.by_key[key] = formation
            for rank, registration in seats.items():
                if rank not in formation.members:
                    formation.members[rank] = registration.upstream
                    formation.incarnations[rank] = registration.incarnation
                loaded = registration.seat is not None and (
                    registration.seat.state
                    in (SeatState.READY, SeatState.OPEN)
                )
                if loaded and registration.models and not formation.model:
                    formation.model = registration.models[0]
            domains = {registration.domain for registration in seats.values()}
            formation.far = formation.far or len(domains) > 1

    def _adopted(
        self,
        key: tuple[str, int],
        seats: dict[int, fleetmessages.Registration],
        round_: "_Round",
    ) -> Formation:
        some = next(iter(seats.values()))
        engine = round_.engine(some.service)
        loads = [model.load for model in engine.models] if engine else []
        # A group of this term that is not held was freed before; a late
        # order brought its member back.
        own = key[1] // EPOCHS_PER_TERM == self.term
        return Formation(
            group=key[0],
            epoch=key[1],
            service=some.service,
            model="",
            members={},
            incarnations={},
            phase=Phase.FREED if own else Phase.FORMING,
            since=round_.now,
            deadline=round_.now
            + max(loads, default=datetime.timedelta(0))
            + FORMING_SLACK,
        )

    # ---- One group ------------------------------------------------------

    def _advance(self, formation: Formation, round_: "_Round") -> None:
        match formation.phase:
            case Phase.FORMING | Phase.OPENING:
                self._bring_up(formation, round_)
            case Phase.SERVING:
                self._watch(formation, round_)
            case Phase.DISSOLVING:
                self._dissolve(formation, round_)
            case Phase.FREED:
                pass

    def _bring_up(self, formation: Formation, round_: "_Round") -> None:
        head = round_.seat(formation, 0)
        if head is SeatState.OPEN:
            self._set(formation, Phase.SERVING, "open", round_)
            return
        if head in (SeatState.BROKEN, SeatState.CLOSING):
            self.give_up(formation, f"head {head.value}", round_)
            return
        lost = round_.lost_members(formation)
        if lost or round_.now >= formation.deadline:
            why = f"lost {','.join(lost)}" if lost else "not up in time"
            self.give_up(formation, why, round_)
            return
        size = round_.size(formation)
        if size and len(formation.members) == size:
            self._order_missing(formation, size, round_)

    def _order_missing(
        self, formation: Formation, size: int, round_: "_Round"
    ) -> None:
        waiting = [
            rank
            for rank in range(size)
            if round_.seat(formation, rank)
            not in (SeatState.READY, SeatState.OPEN)
        ]
        if not waiting:
            formation.phase = Phase.OPENING
            round_.order(formation, 0, Action.OPEN)
            return
        for rank in waiting:
            if round_.seat(formation, rank) is None:
                round_.order(formation, rank, Action.JOIN)

    def _watch(self, formation: Formation, round_: "_Round") -> None:
        head = round_.seat(formation, 0)
        name = formation.head
        registration = round_.view.fleet.get(name)
        if registration is None or (
            registration.incarnation != formation.incarnations[0]
        ):
            self._set(formation, Phase.FREED, "head ended", round_)
        elif round_.head_is_lost(name):
            self.give_up(formation, HEAD_IS_SILENT, round_)
        elif head is SeatState.BROKEN:
            self._set(formation, Phase.FREED, "broken", round_)
        elif head is not SeatState.OPEN:
            self.give_up(formation, "head not open", round_)
        elif round_.leaving_members(formation):
            self.give_up(formation, "member leaving", round_)

    def give_up(
        self, formation: Formation, why: str, round_: "_Round"
    ) -> None:
        """Begins to take a group apart."""
        self._set(formation, Phase.DISSOLVING, why, round_)
        self._dissolve(formation, round_)

    def _dissolve(self, formation: Formation, round_: "_Round") -> None:
        """Brings the head to where its members may be taken away."""
        name = formation.head
        registration = round_.view.fleet.get(name)
        if not name:
            self._orphan(formation, round_)
            return
        if registration is None or (
            registration.incarnation != formation.incarnations.get(0)
        ):
            self._set(formation, Phase.FREED, "head ended", round_)
            return
        if round_.head_is_lost(name):
            self._orphan(formation, round_)
            return
        if formation.why == HEAD_IS_SILENT:
            # It was cut off from the controllers and is back.
            self._set(formation, Phase.SERVING, "head back", round_)
            return
        if registration.signed_off:
            self._ask_again(name, round_)
        match round_.seat(formation, 0):
            case SeatState.BROKEN:
                self._set(formation, Phase.FREED, "broken", round_)
            case SeatState.OPEN:
                round_.order(formation, 0, Action.CLOSE)
            case SeatState.CLOSING:
                pass
            case _:
                round_.order(formation, 0, Action.LEAVE)

    def _ask_again(self, name: str, round_: "_Round") -> None:
        """Asks one that reports no more by itself how far it is."""
        member = self.member_by_name[name]
        if round_.now - member.asked_at >= ORDER_REPEAT:
            member.asked_at = round_.now
            member.ask_due = True

    def _orphan(self, formation: Formation, round_: "_Round") -> None:
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
            round_.order(formation, rank, Action.LEAVE)
        if heard and not seated:
            self._set(formation, Phase.FREED, "head lost", round_)

    def _set(
        self, formation: Formation, phase: Phase, why: str, round_: "_Round"
    ) -> None:
        formation.phase = phase
        formation.since = round_.now
        formation.why = why
        self.notes.append(
            Note(phase.value, formation.group, formation.epoch, why)
        )

    def _forget(self, round_: "_Round") -> None:
        for key, formation in list(self.by_key.items()):
            if formation.phase is Phase.FREED and not any(
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
        self, engine: routes.Engine, count: int, round_: "_Round"
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

    def loaded(self, count: int, now: datetime.timedelta) -> None:
        """Notes loads that begin now."""
        self._loads.extend([now] * count)


@attrs.define
class _Round:
    """One round of planning: the reports, and the orders so far."""

    planner: Planner
    view: View
    now: datetime.timedelta
    orders: list[GroupOrder] = attrs.field(factory=list)
    seats_by_key: dict[
        tuple[str, int], dict[int, fleetmessages.Registration]
    ] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Sorts the reports by group."""
        for registration in self.view.fleet.values():
            seat = registration.seat
            if seat is not None:
                seats = self.seats_by_key.setdefault(
                    (seat.group, seat.epoch), {}
                )
                seats[seat.rank] = registration

    def engine(self, service: str) -> routes.Engine | None:
        """Returns how the engines of a service work."""
        return self.view.engines.get(service)

    def size(self, formation: Formation) -> int:
        """Returns the size that a group must have; 0 if unknown."""
        engine = self.engine(formation.service)
        model = engine.model(formation.model) if engine else None
        return model.size if model else 0

    def silent_for(self, name: str) -> datetime.timedelta:
        """Returns how long ago an upstream was heard."""
        return self.now - self.view.heard_at.get(name, self.now)

    def head_is_lost(self, name: str) -> bool:
        """Returns whether a head is silent for too long.

        It takes less where entries that send it requests see it fail: a
        head that is only cut off from the controllers serves them.
        """
        doubted = name in self.view.doubted
        limit = DOUBTED_SILENCE if doubted else HEAD_SILENCE
        return self.silent_for(name) >= limit

    def seat(self, formation: Formation, rank: int) -> SeatState | None:
        """Returns the state that a member reports under this epoch."""
        seats = self.seats_by_key.get((formation.group, formation.epoch), {})
        registration = seats.get(rank)
        if registration is None or registration.seat is None:
            return None
        if registration.upstream != formation.members.get(rank):
            return None
        if registration.signed_off:
            return self._told_state(formation, registration)
        return registration.seat.state

    def _told_state(
        self,
        formation: Formation,
        registration: fleetmessages.Registration,
    ) -> SeatState | None:
        """Returns the state of one that reports no more by itself."""
        member = self.planner.member_by_name[registration.upstream]
        seat = registration.seat
        if member.was_told:
            seat = member.told_seat
        if seat is None or (seat.group, seat.epoch) != (
            formation.group,
            formation.epoch,
        ):
            return None
        return seat.state

    def lost_members(self, formation: Formation) -> list[str]:
        """Returns members that ended, leave or fell silent."""
        return [
            name
            for rank, name in sorted(formation.members.items())
            if name not in self.view.fleet
            or self.view.fleet[name].incarnation
            != formation.incarnations[rank]
            or self.view.fleet[name].leaving
            or name in self.view.silent
        ]

    def leaving_members(self, formation: Formation) -> list[str]:
        """Returns members that announced that they leave."""
        return [
            name
            for name in formation.members.values()
            if name in self.view.fleet and self.view.fleet[name].leaving
        ]

    def order(self, formation: Formation, rank: int, action: Action) -> None:
        """Orders a member to do something for its group, once a while."""
        name = formation.members[rank]
        members = tuple(
            formation.members[index] for index in sorted(formation.members)
        )
        self.send(
            name,
            GroupOrder(
                upstream=name,
                incarnation=formation.incarnations[rank],
                address="",
                action=action,
                fence=self.planner.term,
                expected=None,
                group=formation.group,
                epoch=formation.epoch,
                model=formation.model if action is Action.JOIN else "",
                members=members if action is Action.JOIN else (),
            ),
        )

    def send(self, name: str, order: GroupOrder) -> bool:
        """Sends an order unless one is open or was just given."""
        member = self.planner.member_by_name.get(name)
        registration = self.view.fleet.get(name)
        if member is None or registration is None:
            return False
        if member.pending or member.ask_due or member.begun is None:
            return False
        if member.barred:
            return False
        last = member.last
        same = last is not None and (
            (last.action, last.group, last.epoch, last.model)
            == (order.action, order.group, order.epoch, order.model)
        )
        if same and self.now - member.last_at < ORDER_REPEAT:
            return False
        order = attrs.evolve(
            order, address=registration.address, expected=member.begun
        )
        member.pending = member.last = order
        member.last_at = self.now
        self.orders.append(order)
        return True

    def loads_in_progress(self) -> int:
        """Returns how many members still load for their groups."""
        return sum(
            formation.loads > 0
            and self.seat(formation, rank)
            not in (SeatState.READY, SeatState.OPEN)
            for formation in self.planner.by_key.values()
            if formation.phase is Phase.FORMING
            for rank in formation.members
        )

    def members_by_model(self, domain: str) -> collections.Counter[str]:
        """Returns how many members of groups a domain has by model."""
        count: collections.Counter[str] = collections.Counter()
        for formation in self.planner.by_key.values():
            if formation.phase is Phase.FREED:
                continue
            for name in formation.members.values():
                found = self.view.fleet.get(name)
                if found is not None and found.domain == domain:
                    count[formation.model] += 1
        return count

    def meant(
        self, free: list[fleetmessages.Registration], model: routes.Model
    ) -> list[fleetmessages.Registration]:
        """Returns the free engines that are not kept for another model."""
        return [
            item
            for item in free
            if self.planner.member_by_name[item.upstream].meant_for
            in ("", model.name)
        ]

    def free_for(self, name: str) -> datetime.timedelta:
        """Returns how long an engine has had no group."""
        since = self.planner.member_by_name[name].free_since
        return self.now - (self.now if since is None else since)

    def busy(self) -> set[str]:
        """Returns the members of all groups that are not freed."""
        return {
            name
            for formation in self.planner.by_key.values()
            if formation.phase is not Phase.FREED
            for name in formation.members.values()
        }

    def free(self, service: str) -> list[fleetmessages.Registration]:
        """Returns the engines of a service that may be given a group."""
        busy = self.busy()
        result = []
        for name in sorted(self.view.fleet):
            registration = self.view.fleet[name]
            member = self.planner.member_by_name[name]
            usable = (
                registration.service == service
                and name not in busy
                and name not in self.view.silent
                and self.silent_for(name) < MEMBER_FRESHNESS
                and not registration.leaving
                and not member.barred
                and member.pending is None
                and not member.ask_due
                and member.begun is not None
            )
            if not usable:
                member.free_since = None
                continue
            if member.free_since is None:
                member.free_since = self.now
            result.append(registration)
        return result


# ---- Forming groups -----------------------------------------------------


def instances_by_model(
    formations: typing.Iterable[Formation], engine: routes.Engine
) -> dict[str, float]:
    """Returns how many instances live groups of each model hold.

    Those of a group that spans domains count less, by how slow it is.
    """
    held = {model.name: 0.0 for model in engine.models}
    for formation in formations:
        model = engine.model(formation.model)
        if model is not None and formation.phase in (
            Phase.FORMING,
            Phase.OPENING,
            Phase.SERVING,
        ):
            slower = engine.far_factor if formation.far else 1.0
            held[model.name] += model.size / slower
    return held


def by_need(held: dict[str, int], engine: routes.Engine) -> list[routes.Model]:
    """Returns the models, the one furthest below its share first."""
    return sorted(
        engine.models,
        key=lambda model: (
            (held[model.name] + model.size) / max(model.share, 1e-6),
            model.name,
        ),
    )


def _form(round_: _Round) -> None:
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        while _form_one(service, engine, round_):
            pass


def surplus_model(
    held: dict[str, float], engine: routes.Engine
) -> routes.Model | None:
    """Returns a model above its share while another lacks a whole group."""
    total = sum(held.values())
    target = {model.name: model.share * total for model in engine.models}
    lacking = any(
        held[model.name] + model.size <= target[model.name]
        for model in engine.models
    )
    over = [
        model
        for model in engine.models
        if held[model.name] - model.size >= target[model.name]
    ]
    if not lacking or not over:
        return None
    return max(over, key=lambda model: held[model.name] / model.share)


def _rebalance(round_: _Round) -> None:
    """Takes a group of a model in surplus apart, once all is quiet."""
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        formations = [
            formation
            for formation in round_.planner.by_key.values()
            if formation.service == service
            and formation.phase is not Phase.FREED
        ]
        quiet = all(
            formation.phase is Phase.SERVING
            and round_.now - formation.since >= REBALANCE_PATIENCE
            for formation in formations
        )
        held = instances_by_model(formations, engine)
        model = surplus_model(held, engine) if quiet else None
        if model is None:
            continue
        free = collections.Counter(
            item.domain for item in round_.free(service)
        )
        chosen = max(
            (item for item in formations if item.model == model.name),
            key=lambda item: (
                free[round_.view.fleet[item.head].domain],
                item.epoch,
            ),
        )
        lacking = by_need(held, engine)[0].name
        for name in chosen.members.values():
            round_.planner.member_by_name[name].meant_for = lacking
        round_.planner.give_up(chosen, "in surplus", round_)


def _form_one(service: str, engine: routes.Engine, round_: _Round) -> bool:
    formations = [
        formation
        for formation in round_.planner.by_key.values()
        if formation.service == service
    ]
    held = instances_by_model(formations, engine)
    free = round_.free(service)
    in_order = by_need(held, engine)
    for model in in_order:
        members = choose_ready(model, round_.meant(free, model), round_)
        if members:
            _begin(service, model, members, round_)
            return True
    for model in in_order:
        members = choose_to_load(
            model, model is in_order[0], round_.meant(free, model), round_
        )
        if not round_.planner.may_load(engine, len(members), round_):
            return False
        if members:
            _begin(service, model, members, round_)
            return True
    return False


def choose_ready(
    model: routes.Model,
    free: list[fleetmessages.Registration],
    round_: _Round,
) -> list[fleetmessages.Registration]:
    """Returns members that have the weights, or none if there are too few.

    Those of one domain come first; then hosts of several domains that
    waited long enough.
    """
    staged = [item for item in free if model.name in item.staged]
    found = _in_one_domain(staged, model.size)
    if found:
        return found
    patient = [
        item
        for item in staged
        if round_.free_for(item.upstream) >= FAR_PATIENCE
    ]
    patient.sort(
        key=lambda item: (
            not round_.planner.member_by_name[item.upstream].had_group,
            item.data_centre,
            item.domain,
        )
    )
    chosen = patient[: model.size]
    left_over = sum(
        round_.planner.member_by_name[item.upstream].had_group
        for item in chosen
    )
    # Spares stay with their domains, unless they help what is left over.
    if len(chosen) < model.size or 2 * left_over < model.size:
        return []
    return chosen


def choose_to_load(
    model: routes.Model,
    neediest: bool,
    free: list[fleetmessages.Registration],
    round_: _Round,
) -> list[fleetmessages.Registration]:
    """Returns members of one domain of which some must load the weights.

    Bare hosts serve the neediest model; some of each domain are left as
    spares. Others load only when they waited in vain for long.
    """
    if neediest:
        bare = [item for item in free if not item.staged]
        found = _in_one_domain(bare, model.size, SPARES_PER_DOMAIN)
        if found:
            return found
    stranded = [
        item
        for item in free
        if round_.free_for(item.upstream) >= LOAD_PATIENCE
    ]
    stranded.sort(key=lambda item: model.name not in item.staged)
    meant = any(
        round_.planner.member_by_name[item.upstream].meant_for
        for item in stranded
    )
    left = 0 if meant else SPARES_PER_DOMAIN
    return _in_one_domain(stranded, model.size, left)


def _in_one_domain(
    free: list[fleetmessages.Registration], size: int, left: int = 0
) -> list[fleetmessages.Registration]:
    """Returns members of the domain that has the fewest to spare.

    At least `left` hosts of the domain stay free.
    """
    by_domain: dict[str, list[fleetmessages.Registration]] = {}
    for item in free:
        by_domain.setdefault(item.domain, []).append(item)
    fitting = [
        (len(items) - size, domain)
        for domain, items in by_domain.items()
        if len(items) >= size + left
    ]
    if not fitting:
        return []
    return by_domain[min(fitting)[1]][:size]


def _begin(
    service: str,
    model: routes.Model,
    members: list[fleetmessages.Registration],
    round_: _Round,
) -> None:
    epoch = round_.planner.next_epoch()
    loads = sum(model.name not in item.staged for item in members)
    formation = Formation(
        group=f"g{epoch:x}",
        epoch=epoch,
        service=service,
        model=model.name,
        members=dict(enumerate(item.upstream for item in members)),
        incarnations=dict(enumerate(item.incarnation for item in members)),
        phase=Phase.FORMING,
        since=round_.now,
        far=len({item.domain for item in members}) > 1,
        loads=loads,
        deadline=round_.now
        + (model.load * 2 if loads else model.warm * 2)
        + FORMING_SLACK,
    )
    round_.planner.by_key[(formation.group, epoch)] = formation
    for item in members:
        member = round_.planner.member_by_name[item.upstream]
        member.had_group = True
        member.meant_for = ""
    round_.planner.loaded(loads, round_.now)
    round_.planner.notes.append(
        Note(
            "forming",
            formation.group,
            epoch,
            f"model={model.name} members={','.join(formation.members.values())}"
            f" loads={loads}",
        )
    )
    for rank in formation.members:
        round_.order(formation, rank, Action.JOIN)


# ---- Staging weights on spare hosts -------------------------------------


def _stage(round_: _Round) -> None:
    """Loads weights onto spare hosts, so that a repair needs no load."""
    for service in sorted(round_.view.engines):
        engine = round_.view.engines[service]
        free = round_.free(service)
        for item in free:
            model = _model_to_stage(item, free, engine, round_)
            if model is None:
                continue
            if not round_.planner.may_load(engine, 1, round_):
                return
            sent = round_.send(
                item.upstream,
                GroupOrder(
                    upstream=item.upstream,
                    incarnation=item.incarnation,
                    address="",
                    action=Action.STAGE,
                    fence=round_.planner.term,
                    expected=None,
                    model=model.name,
                ),
            )
            if sent:
                member = round_.planner.member_by_name[item.upstream]
                member.staging = model.name
                round_.planner.loaded(1, round_.now)


def _model_to_stage(
    item: fleetmessages.Registration,
    free: list[fleetmessages.Registration],
    engine: routes.Engine,
    round_: _Round,
) -> routes.Model | None:
    """Returns the model that a bare host should be ready for.

    That is the one whose left-over members in its domain it completes
    soonest; else one that has groups in the domain and no spare there;
    else the one whose groups strand most instances.
    """
    if item.staged or round_.planner.member_by_name[item.upstream].staging:
        return None
    beside = [other for other in free if other.domain == item.domain]
    members_by_model = round_.members_by_model(item.domain)

    def rank(model: routes.Model) -> tuple[bool, int, bool, float, str]:
        ready = [
            other
            for other in beside
            if model.name in other.staged
            or round_.planner.member_by_name[other.upstream].staging
            == model.name
        ]
        left_over = [
            other
            for other in ready
            if round_.planner.member_by_name[other.upstream].had_group
        ]
        members = members_by_model[model.name]
        return (
            not left_over,
            model.size - len(left_over) if left_over else 0,
            bool(ready) or not members,
            -model.share * (model.size - 1),
            model.name,
        )

    return min(engine.models, key=rank, default=None)
