"""Engines that form groups by joins, emulated in virtual time.

Written from the published protocol: joins by epoch, orders guarded by a
fencing number and by the count of orders begun, heads that serve without
looking at their members, and a stall after a member was lost. The emulator
asserts what must always hold whenever an engine takes an order.
"""

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

JOIN_AGAIN = datetime.timedelta(milliseconds=200)
STALL = datetime.timedelta(seconds=4)
LATE_ORDERS = (2.0, 12.0)


class InvariantBroken(AssertionError):
    """An order led to a state that must never be."""


@attrs.define
class _Seat:
    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    state: SeatState
    ready_at: datetime.timedelta

    @property
    def key(self) -> tuple[str, int, tuple[str, ...]]:
        """Returns name, epoch and list, which stand for one group."""
        return self.group, self.epoch, self.members


@attrs.define
class Engine:
    """One emulated engine; `up` is whether it runs."""

    name: str
    service: str
    domain: str
    data_centre: str
    address: str
    incarnation: int = 1
    up: bool = True
    cut: bool = False
    leaving: bool = False
    sequence: int = 0
    begun: int = 0
    fence: int = 0
    highest_epoch: int = 0
    staged: list[str] = attrs.field(factory=list)
    last_model: str = ""
    seat: _Seat | None = None
    stalled_at: datetime.timedelta | None = None
    staging: tuple[str, datetime.timedelta] | None = None

    def report(self) -> fleetmessages.Registration:
        """Returns what the engine says of itself."""
        self.sequence += 1
        seat = None
        if self.seat is not None:
            seat = fleetmessages.FleetSeat(
                self.seat.group,
                self.seat.epoch,
                self.seat.members.index(self.name),
                self.seat.state,
            )
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
            seat=seat,
        )


@attrs.define
class _Late:
    at: datetime.timedelta
    incarnation: int
    order: formations.GroupOrder


@attrs.define
class EngineFleet:
    """All engines, the orders that are carried out late, and the checks."""

    models: dict[str, routes.Model]
    rng: random.Random
    by_name: dict[str, Engine] = attrs.field(factory=dict)
    ready_by_group: dict[tuple, set[str]] = attrs.field(factory=dict)
    changed: list[Engine] = attrs.field(factory=list)
    loads: int = 0
    late_share: float = 0.0
    _late: list[_Late] = attrs.field(factory=list)

    def add(self, engine: Engine) -> None:
        """Adds an engine."""
        self.by_name[engine.name] = engine

    # ---- Orders ---------------------------------------------------------

    def order(
        self, order: formations.GroupOrder, now: datetime.timedelta
    ) -> Result:
        """Gives an engine an order; some are carried out late."""
        engine = self.by_name[order.upstream]
        if not engine.up:
            return Result.UNSENT
        if self.rng.random() < self.late_share:
            delay = datetime.timedelta(seconds=self.rng.uniform(*LATE_ORDERS))
            self._late.append(_Late(now + delay, engine.incarnation, order))
            return Result.UNKNOWN
        return self._take(engine, order, now)

    def _take(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        if order.fence < engine.fence:
            return Result.FENCED
        if order.expected is not None and order.expected != engine.begun:
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
            engine.begun += 1
            self.changed.append(engine)
        return result

    def _join(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        held = engine.seat
        if held is not None and held.key == (
            order.group,
            order.epoch,
            order.members,
        ):
            return Result.HELD
        same = held is not None and _is_about(order, held)
        if same or order.epoch < engine.highest_epoch:
            return Result.FENCED
        self._check_head_is_still(engine, now)
        model = self.models[order.model]
        engine.highest_epoch = order.epoch
        took = self._join_time(engine, model)
        self._leave_seat(engine, now)
        engine.seat = _Seat(
            order.group,
            order.epoch,
            order.model,
            order.members,
            SeatState.JOINING,
            now + took,
        )
        engine.last_model = order.model
        return Result.BEGUN

    def _join_time(
        self, engine: Engine, model: routes.Model
    ) -> datetime.timedelta:
        if engine.last_model == model.name:
            return JOIN_AGAIN
        if model.name in engine.staged:
            return model.warm_load_time
        self.loads += 1
        return model.load_time

    def _check_head_is_still(
        self, engine: Engine, now: datetime.timedelta
    ) -> None:
        """Asserts that no member is taken from a head that serves."""
        held = engine.seat
        if held is None:
            return
        head = self.by_name.get(held.members[0])
        if head is None or not head.up or head.seat is None:
            return
        if head.seat.key != held.key:
            return
        if head.seat.state in (SeatState.OPEN, SeatState.CLOSING):
            raise InvariantBroken(
                f"{engine.name} is taken from {held.group} while its head"
                f" {head.name} is {head.seat.state.value} at {now}"
            )

    def _open(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        held = engine.seat
        if held is None or not _is_about(order, held):
            return Result.REFUSED
        if held.state is SeatState.OPEN:
            return Result.HELD
        if held.state is not SeatState.READY or (
            held.members[0] != engine.name
        ):
            return Result.REFUSED
        ready = self.ready_by_group.get(held.key, set())
        if ready != set(held.members):
            raise InvariantBroken(
                f"{held.group} opens at {now} with only {sorted(ready)}"
                f" ready of {held.members}"
            )
        if len(held.members) != self.models[held.model].size:
            raise InvariantBroken(f"{held.group} has not its model's size")
        held.state = SeatState.OPEN
        return Result.BEGUN

    def _close(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        held = engine.seat
        if held is None or not _is_about(order, held):
            return Result.REFUSED
        if held.state is not SeatState.OPEN:
            return Result.HELD
        held.state = SeatState.READY
        return Result.BEGUN

    def _leave(
        self,
        engine: Engine,
        order: formations.GroupOrder,
        now: datetime.timedelta,
    ) -> Result:
        held = engine.seat
        if held is None or not _is_about(order, held):
            return Result.HELD
        # Done at once, which counts although it says no more than that.
        self._leave_seat(engine, now)
        engine.seat = None
        engine.begun += 1
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
        self.loads += 1
        engine.staging = (
            order.model,
            now + self.models[order.model].load_time,
        )
        return Result.BEGUN

    def _leave_seat(self, engine: Engine, now: datetime.timedelta) -> None:
        """Lets the head of an engine's group stand still without it."""
        held = engine.seat
        if held is None or held.members[0] == engine.name:
            return
        self._stall_head(held, now)

    def _stall_head(self, held: _Seat, now: datetime.timedelta) -> None:
        head = self.by_name.get(held.members[0])
        if head is not None and head.up and head.seat is not None:
            if head.seat.key == held.key and head.stalled_at is None:
                head.stalled_at = now

    # ---- Time and faults ------------------------------------------------

    def advance(self, now: datetime.timedelta) -> None:
        """Carries out what is due by now."""
        due = [late for late in self._late if late.at <= now]
        self._late = [late for late in self._late if late.at > now]
        for late in due:
            engine = self.by_name.get(late.order.upstream)
            if engine is None or not engine.up:
                continue
            if engine.incarnation == late.incarnation:
                self._take(engine, late.order, now)
        for engine in self.by_name.values():
            if engine.up:
                self._advance(engine, now)

    def _advance(self, engine: Engine, now: datetime.timedelta) -> None:
        if engine.staging is not None and now >= engine.staging[1]:
            engine.staged = [engine.staging[0]]
            engine.staging = None
            self.changed.append(engine)
        held = engine.seat
        if held is None:
            return
        if held.state is SeatState.JOINING and now >= held.ready_at:
            held.state = SeatState.READY
            engine.staged = [held.model]
            self.ready_by_group.setdefault(held.key, set()).add(engine.name)
            self.changed.append(engine)
        if engine.stalled_at is None:
            return
        if held.state is not SeatState.OPEN:
            engine.stalled_at = None
        elif now - engine.stalled_at >= STALL:
            engine.stalled_at = None
            held.state = SeatState.BROKEN
            self.changed.append(engine)

    def crash(self, name: str, now: datetime.timedelta) -> None:
        """Ends an engine without a word."""
        engine = self.by_name[name]
        engine.up = False
        if engine.seat is not None:
            self._leave_seat(engine, now)

    def restart(self, name: str) -> None:
        """Starts an engine again under its name; it knows nothing."""
        engine = self.by_name[name]
        engine.incarnation += 1
        engine.up = True
        engine.leaving = False
        engine.sequence = engine.begun = engine.fence = 0
        engine.highest_epoch = 0
        engine.seat = None
        engine.stalled_at = None
        engine.staging = None
        engine.last_model = ""
        self.changed.append(engine)

    def serving(self, model: str) -> int:
        """Returns how many groups of a model serve."""
        return sum(
            engine.up
            and engine.seat is not None
            and engine.seat.state is SeatState.OPEN
            and engine.seat.members[0] == engine.name
            and engine.seat.model == model
            and engine.stalled_at is None
            for engine in self.by_name.values()
        )


def _is_about(order: formations.GroupOrder, seat: _Seat) -> bool:
    return (order.group, order.epoch) == (seat.group, seat.epoch)
