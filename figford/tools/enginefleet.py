"""Emulates engines that join groups, in virtual time.

Written from the published protocol: a join carries an epoch, an order is
checked against a fencing number and the count of orders begun, and a head
serves without checking its members and stalls after one of them was lost.
The emulator asserts the protocol's invariants whenever an engine executes
an order.
"""

import bisect
import datetime
import random
import typing

import attrs

from figford import fleetmessages
from figford import formations
from figford import routes

SeatState = fleetmessages.SeatState
Action = formations.Action
Result = formations.Result

REJOIN_TIME = datetime.timedelta(milliseconds=200)
STALL_TIMEOUT = datetime.timedelta(seconds=4)
# A reply to a query shows the state of this long ago.
REPORT_LAG = datetime.timedelta(milliseconds=200)
DELAYED_ORDER_SECONDS = (2.0, 12.0)


class InvariantViolation(AssertionError):
    """An order violated an invariant of the protocol."""


@attrs.define
class _Seat:
    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    state: SeatState
    ready_at: datetime.timedelta
    # When the work in progress of a closing head ends.
    closed_at: datetime.timedelta = datetime.timedelta(0)

    @property
    def key(self) -> tuple[str, int, tuple[str, ...]]:
        """Returns name, epoch and members, which identify a group."""
        return self.group, self.epoch, self.members


@attrs.define
class Engine:
    """One emulated engine.

    `up` tells whether its process runs, `partitioned` whether the network
    separates it from the planner.
    """

    name: str
    service: str
    domain: str
    data_centre: str
    address: str
    incarnation: int = 1
    up: bool = True
    partitioned: bool = False
    leaving: bool = False
    sequence: int = 0
    orders_begun: int = 0
    fence: int = 0
    highest_epoch: int = 0
    staged: list[str] = attrs.field(factory=list)
    last_model: str = ""
    seat: _Seat | None = None
    stalled_at: datetime.timedelta | None = None
    staging: tuple[str, datetime.timedelta] | None = None
    # States of the last `REPORT_LAG`, and the one before, by time.
    _states: list[tuple[datetime.timedelta, formations.OrderCountReply]] = (
        attrs.field(factory=list)
    )

    def fleet_seat(self) -> fleetmessages.FleetSeat | None:
        """Returns the seat that the engine reports."""
        if self.seat is None:
            return None
        return fleetmessages.FleetSeat(
            self.seat.group,
            self.seat.epoch,
            self.seat.members.index(self.name),
            self.seat.state,
        )

    def record_state(self, now: datetime.timedelta) -> None:
        """Records the state for replies to later queries."""
        state = formations.OrderCountReply(
            self.orders_begun, self.fleet_seat()
        )
        self._states.append((now, state))
        while len(self._states) > 1 and now - self._states[1][0] >= REPORT_LAG:
            del self._states[0]

    def reply(self, now: datetime.timedelta) -> formations.OrderCountReply:
        """Returns the reply to a query, which lags behind the state."""
        return next(
            (
                state
                for at, state in reversed(self._states)
                if now - at >= REPORT_LAG
            ),
            formations.OrderCountReply(0, None),
        )

    def forget(self) -> None:
        """Forgets the states of the former life."""
        self._states.clear()

    def report(self) -> fleetmessages.Registration:
        """Returns the registration that the engine reports."""
        self.sequence += 1
        return fleetmessages.Registration(
            upstream=self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            service=self.service,
            address=self.address,
            data_centre=self.data_centre,
            slots=13,
            leaving=self.leaving,
            domain=self.domain,
            models=[self.seat.model] if self.seat else [],
            staged=list(self.staged),
            seat=self.fleet_seat(),
        )


@attrs.define
class _DelayedOrder:
    at: datetime.timedelta
    incarnation: int
    order: formations.GroupOrder


@attrs.define
class EngineFleet:
    """All engines and delayed orders, with the checks of invariants."""

    models: dict[str, routes.Model]
    rng: random.Random
    by_name: dict[str, Engine] = attrs.field(factory=dict)
    ready_by_group: dict[tuple, set[str]] = attrs.field(factory=dict)
    # The orders to join that were sent last, by group and epoch.
    join_by_group: dict[tuple[str, int], formations.GroupOrder] = attrs.field(
        factory=dict
    )
    # Models that the configuration no longer names.
    removed_models: frozenset[str] = frozenset()
    changed: list[Engine] = attrs.field(factory=list)
    # When each load from the weight store began.
    load_times: list[datetime.timedelta] = attrs.field(factory=list)
    delayed_order_share: float = 0.0
    # Share of the orders that are executed but whose reply is lost.
    lost_reply_share: float = 0.0
    # A load takes longer in proportion once it begins beside more than this
    # many others; None if the weight store has no limit.
    loads_at_once: int | None = None
    # How long requests in progress keep a head closing.
    work_time: datetime.timedelta = datetime.timedelta(0)
    _delayed_orders: list[_DelayedOrder] = attrs.field(factory=list)
    # When the loads in progress end.
    _load_ends: list[datetime.timedelta] = attrs.field(factory=list)

    def add(self, engine: Engine) -> None:
        """Adds an engine."""
        self.by_name[engine.name] = engine

    def most_loads(self, window: datetime.timedelta) -> int:
        """Returns the most loads that began in any window of this length."""
        times = self.load_times
        return max(
            (
                bisect.bisect_right(times, began + window) - index
                for index, began in enumerate(times)
            ),
            default=0,
        )

    def change_models(self, models: typing.Iterable[routes.Model]) -> None:
        """Sets the models that the configuration names from now on."""
        named = {model.name: model for model in models}
        self.removed_models = frozenset({*self.models} - {*named})
        self.models |= named

    # ---- Orders ---------------------------------------------------------

    def order(
        self, order: formations.GroupOrder, now: datetime.timedelta
    ) -> Result:
        """Sends an order to an engine; delays a random share of them."""
        engine = self.by_name[order.upstream]
        self._check_size(order)
        if not engine.up:
            return Result.UNSENT
        if self.rng.random() < self.delayed_order_share:
            delay = datetime.timedelta(
                seconds=self.rng.uniform(*DELAYED_ORDER_SECONDS)
            )
            self._delayed_orders.append(
                _DelayedOrder(now + delay, engine.incarnation, order)
            )
            return Result.UNKNOWN
        result = self._execute(engine, order, now)
        if self.lost_reply_share and (
            self.rng.random() < self.lost_reply_share
        ):
            return Result.UNKNOWN
        return result

    def _check_size(self, order: formations.GroupOrder) -> None:
        """Checks the size of a group when the order to open it is sent.

        An order may be carried out late, after another change of the size.
        """
        key = (order.group, order.epoch)
        if order.action is Action.JOIN:
            self.join_by_group[key] = order
        join = self.join_by_group.get(key)
        if order.action is not Action.OPEN or join is None:
            return
        if not self._allows_size(join.model, len(join.members)):
            raise InvariantViolation(
                f"size of {order.group} differs from its model's"
            )

    def _allows_size(self, model: str, size: int) -> bool:
        """Returns whether a group of this size may be opened now."""
        return (
            model not in self.removed_models
            and size == self.models[model].size
        )

    def _execute(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        if order.fence < engine.fence:
            return Result.FENCED
        if (
            order.expected is not None
            and order.expected != engine.orders_begun
        ):
            return Result.REFUSED
        engine.fence = order.fence
        handlers: dict[Action, typing.Callable[..., Result]] = {
            Action.JOIN: self._join,
            Action.OPEN: self._open,
            Action.CLOSE: self._close,
            Action.LEAVE: self._leave,
            Action.STAGE: self._stage,
        }
        result = handlers[order.action](engine, order, now)
        if result is Result.BEGUN:
            engine.orders_begun += 1
            self.changed.append(engine)
        return result

    def _join(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        current_seat = engine.seat
        if current_seat is not None and current_seat.key == (
            order.group,
            order.epoch,
            order.members,
        ):
            return Result.HELD
        same_group_and_epoch = current_seat is not None and _matches_seat(
            order, current_seat
        )
        if same_group_and_epoch or order.epoch < engine.highest_epoch:
            return Result.FENCED
        self._check_head_is_not_serving(engine, now)
        model = self.models[order.model]
        engine.highest_epoch = order.epoch
        join_time = self._join_time(engine, model, now)
        self._leave_seat(engine, now)
        engine.seat = _Seat(
            order.group,
            order.epoch,
            order.model,
            order.members,
            SeatState.JOINING,
            now + join_time,
        )
        engine.last_model = order.model
        return Result.BEGUN

    def _join_time(
        self, engine: Engine, model: routes.Model, now: datetime.timedelta
    ) -> datetime.timedelta:
        if engine.last_model == model.name:
            return REJOIN_TIME
        if model.name in engine.staged:
            return model.warm_load_time
        return self._begin_load(model, now)

    def _begin_load(
        self, model: routes.Model, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Records a load; returns how long it takes beside the others."""
        self.load_times.append(now)
        self._load_ends = [end for end in self._load_ends if end > now]
        load_time = model.load_time
        if self.loads_at_once is not None:
            share = (len(self._load_ends) + 1) / self.loads_at_once
            load_time *= max(1.0, share)
        self._load_ends.append(now + load_time)
        return load_time

    def _check_head_is_not_serving(
        self, engine: Engine, now: datetime.timedelta
    ) -> None:
        """Raises InvariantViolation if the head of its group still serves."""
        current_seat = engine.seat
        if current_seat is None:
            return
        head = self.by_name.get(current_seat.members[0])
        if head is None or not head.up or head.seat is None:
            return
        if head.seat.key != current_seat.key:
            return
        if head.seat.state in (SeatState.OPEN, SeatState.CLOSING):
            raise InvariantViolation(
                f"{engine.name} is taken from {current_seat.group} while"
                f" its head {head.name} is {head.seat.state.value} at {now}"
            )

    def _open(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        current_seat = engine.seat
        if current_seat is None or not _matches_seat(order, current_seat):
            return Result.REFUSED
        if current_seat.state is SeatState.OPEN:
            return Result.HELD
        if current_seat.state is not SeatState.READY or (
            current_seat.members[0] != engine.name
        ):
            return Result.REFUSED
        ready = self.ready_by_group.get(current_seat.key, set())
        if ready != set(current_seat.members):
            raise InvariantViolation(
                f"{current_seat.group} opens at {now} with only"
                f" {sorted(ready)} ready of {current_seat.members}"
            )
        current_seat.state = SeatState.OPEN
        if not all(
            self._holds(name, current_seat) for name in current_seat.members
        ):
            engine.stalled_at = now
        return Result.BEGUN

    def _holds(self, name: str, seat: _Seat) -> bool:
        """Returns whether an engine runs as a member of this group."""
        engine = self.by_name.get(name)
        return (
            engine is not None
            and engine.up
            and engine.seat is not None
            and engine.seat.key == seat.key
        )

    def _close(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        current_seat = engine.seat
        if current_seat is None or not _matches_seat(order, current_seat):
            return Result.REFUSED
        if current_seat.state is SeatState.CLOSING and order.abort:
            current_seat.state = SeatState.READY
            return Result.BEGUN
        if current_seat.state is not SeatState.OPEN:
            return Result.HELD
        if order.abort or not self.work_time:
            current_seat.state = SeatState.READY
        else:
            current_seat.state = SeatState.CLOSING
            current_seat.closed_at = now + self.work_time
        return Result.BEGUN

    def _leave(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        current_seat = engine.seat
        if current_seat is None or not _matches_seat(order, current_seat):
            return Result.HELD
        # Leaving takes effect at once. It counts as an order begun, although
        # the result is HELD.
        self._leave_seat(engine, now)
        engine.seat = None
        engine.orders_begun += 1
        self.changed.append(engine)
        return Result.HELD

    def _stage(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        if order.model in engine.staged:
            return Result.HELD
        if engine.staging is not None:
            return Result.REFUSED
        load_time = self._begin_load(self.models[order.model], now)
        engine.staging = (order.model, now + load_time)
        return Result.BEGUN

    def _leave_seat(self, engine: Engine, now: datetime.timedelta) -> None:
        """Stalls the head of the group that an engine leaves."""
        current_seat = engine.seat
        if current_seat is None or current_seat.members[0] == engine.name:
            return
        self._stall_head(current_seat, now)

    def _stall_head(
        self, current_seat: _Seat, now: datetime.timedelta
    ) -> None:
        head = self.by_name.get(current_seat.members[0])
        if head is not None and head.up and head.seat is not None:
            if head.seat.key == current_seat.key and head.stalled_at is None:
                head.stalled_at = now

    # ---- Time and faults ------------------------------------------------

    def advance(self, now: datetime.timedelta) -> None:
        """Executes delayed orders and state changes that are due."""
        due = [
            delayed for delayed in self._delayed_orders if delayed.at <= now
        ]
        self._delayed_orders = [
            delayed for delayed in self._delayed_orders if delayed.at > now
        ]
        for delayed in due:
            engine = self.by_name.get(delayed.order.upstream)
            if engine is None or not engine.up:
                continue
            if engine.incarnation == delayed.incarnation:
                self._execute(engine, delayed.order, now)
        for engine in self.by_name.values():
            if engine.up:
                self._advance(engine, now)
                engine.record_state(now)

    def _advance(self, engine: Engine, now: datetime.timedelta) -> None:
        if engine.staging is not None and now >= engine.staging[1]:
            engine.staged = [engine.staging[0]]
            engine.staging = None
            self.changed.append(engine)
        current_seat = engine.seat
        if current_seat is None:
            return
        if (
            current_seat.state is SeatState.JOINING
            and now >= current_seat.ready_at
        ):
            current_seat.state = SeatState.READY
            engine.staged = [current_seat.model]
            self.ready_by_group.setdefault(current_seat.key, set()).add(
                engine.name
            )
            self.changed.append(engine)
        self._advance_head(engine, current_seat, now)

    def _advance_head(
        self, engine: Engine, seat: _Seat, now: datetime.timedelta
    ) -> None:
        """Breaks a stalled head; its work makes no progress until then."""
        if seat.state not in (SeatState.OPEN, SeatState.CLOSING):
            engine.stalled_at = None
        elif engine.stalled_at is not None:
            if now - engine.stalled_at >= STALL_TIMEOUT:
                engine.stalled_at = None
                seat.state = SeatState.BROKEN
                self.changed.append(engine)
        elif seat.state is SeatState.CLOSING and now >= seat.closed_at:
            seat.state = SeatState.READY
            self.changed.append(engine)

    def crash(self, name: str, now: datetime.timedelta) -> None:
        """Ends an engine without notice to the planner."""
        engine = self.by_name[name]
        engine.up = False
        if engine.seat is not None:
            self._leave_seat(engine, now)

    def restart(self, name: str) -> None:
        """Restarts an engine under its name, without its former state."""
        engine = self.by_name[name]
        engine.incarnation += 1
        engine.up = True
        engine.leaving = False
        engine.sequence = engine.orders_begun = engine.fence = 0
        engine.highest_epoch = 0
        engine.seat = None
        engine.stalled_at = None
        engine.staging = None
        engine.last_model = ""
        engine.forget()
        self.changed.append(engine)

    def serving(self, model: str) -> int:
        """Returns how many groups of a model are serving."""
        return sum(
            engine.up
            and engine.seat is not None
            and engine.seat.state is SeatState.OPEN
            and engine.seat.members[0] == engine.name
            and engine.seat.model == model
            and engine.stalled_at is None
            for engine in self.by_name.values()
        )


def _matches_seat(order: formations.GroupOrder, seat: _Seat) -> bool:
    return (order.group, order.epoch) == (seat.group, seat.epoch)
