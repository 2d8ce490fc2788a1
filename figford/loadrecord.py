"""Records the loads from the weight store that began or may still begin.

An order names how many orders its upstream had begun. Of all orders to one
incarnation with the same number at most one begins, so that repeats share a
place in the record. A load may begin long after its order, which then was not
answered: until it is known to have begun, or can't begin any more, it counts
as one that begins now.
"""

import datetime
import typing

import attrs

from figford import fleetmessages
from figford import formations
from figford import groupnames
from figford import routes

# Sliding window over which loads are counted against the weight store's
# rate.
WINDOW = datetime.timedelta(seconds=5)
# An order that was not answered begins at most this long after it was sent.
LATE_ORDER_LIMIT = datetime.timedelta(seconds=12)

MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)

Key = tuple[str, int, int]


def key_of(order: formations.GroupOrder) -> Key:
    """Returns upstream, incarnation and number that identify a place."""
    return order.upstream, order.incarnation, order.expected or 0


@attrs.frozen
class Note:
    """A load that was ordered or began, for the log.

    `action` is None if only the upstream's count of orders shows that it
    began. `late_ms` is the time from the first order until the load was
    known to have begun.
    """

    event: str
    upstream: str
    model: str
    action: formations.Action | None
    late_ms: int | None = None


@attrs.define
class Load:
    """A load that was ordered; `began_at` is None until it is known.

    `unanswered` counts the orders that may still begin it. `variants` are
    the actions and models of these; only one of them begins.
    """

    model: str
    ordered_at: datetime.timedelta
    sent_at: datetime.timedelta
    unanswered: int = 1
    variants: set[tuple[formations.Action, str]] = attrs.field(factory=set)
    began_at: datetime.timedelta | None = None
    # Loads that were or may have been in progress when it began, with it.
    beside: int = 1
    # Whether the host has the weights now, or has ended.
    is_over: bool = False
    # Whether another planner ordered it, and still plans.
    is_told: bool = False

    def counts(self, now: datetime.timedelta) -> bool:
        """Returns whether the load falls into a window with later ones."""
        if self.began_at is not None:
            return now - self.began_at <= WINDOW
        return now - self.sent_at <= LATE_ORDER_LIMIT + WINDOW


@attrs.define
class LoadRecord:
    """The loads that were ordered and count, or are still in progress.

    A load *counts* while it falls into one window with loads that begin now;
    it is *undecided* while it may still begin. Other controllers hold a copy
    of the planner's record, and one of them succeeds the planner.
    """

    load_by_key: dict[Key, Load] = attrs.field(factory=dict)
    notes: list[Note] = attrs.field(factory=list)
    # Whether the other controllers' copies are out of date.
    changed: bool = False
    _started_at: datetime.timedelta | None = None
    _heard_predecessor: bool = False

    def start(self, heard_predecessor: bool, now: datetime.timedelta) -> None:
        """Starts a planner's term.

        Its predecessor may have ordered loads until then. One that this
        process heard until shortly before told of all but the last.
        """
        self._started_at = now
        self._heard_predecessor = heard_predecessor
        self.changed = True
        for load in self.load_by_key.values():
            load.is_told = False

    def may_miss_loads(self, now: datetime.timedelta) -> bool:
        """Returns whether loads of a predecessor that it lacks may count."""
        return self._started_at is not None and (
            now - self._started_at <= WINDOW
        )

    def most_missed(
        self, engine: routes.Engine, now: datetime.timedelta
    ) -> float:
        """Returns the most loads that a predecessor may not have told of."""
        if not self.may_miss_loads(now):
            return 0
        if self._heard_predecessor:
            return engine.loads_per_second + engine.loads_at_once
        return engine.loads_per_second * WINDOW.total_seconds()

    def adopt(
        self, told: list[fleetmessages.KnownLoad], now: datetime.timedelta
    ) -> None:
        """Records the loads that another planner told of."""
        for key, load in list(self.load_by_key.items()):
            if load.is_told:
                del self.load_by_key[key]
        for item in told:
            key = (item.upstream, item.incarnation, item.number)
            sent_at = now - item.ordered_ago
            began_at = None
            if item.begun_ago is not None:
                began_at = now - item.begun_ago
            self.load_by_key.setdefault(
                key,
                Load(
                    item.model, sent_at, sent_at,
                    began_at=began_at, is_told=True,
                ),  # fmt: skip
            )

    def told(self, now: datetime.timedelta) -> fleetmessages.LoadsTold:
        """Returns what other controllers are to know."""
        return fleetmessages.LoadsTold(
            [
                fleetmessages.KnownLoad(
                    *key,
                    load.model,
                    now - load.sent_at,
                    None if load.began_at is None else now - load.began_at,
                )
                for key, load in self.load_by_key.items()
                if load.counts(now)
            ]
        )

    def record_order(
        self, order: formations.GroupOrder, now: datetime.timedelta
    ) -> None:
        """Records an order that causes a load; a repeat is no new load."""
        load = self.load_by_key.get(key_of(order))
        if load is None:
            load = Load(order.model, now, now, unanswered=0)
            self.load_by_key[key_of(order)] = load
            self.notes.append(
                Note("ordered", order.upstream, order.model, order.action)
            )
        load.variants.add((order.action, order.model))
        load.unanswered += 1
        load.sent_at = now
        self.changed = True

    def record_result(
        self,
        order: formations.GroupOrder,
        result: formations.Result,
        now: datetime.timedelta,
    ) -> None:
        """Records the result of any order, which may decide a load's."""
        load = self.load_by_key.get(key_of(order))
        if load is None or load.began_at is not None:
            return
        may_begin_it = (order.action, order.model) in load.variants
        match result:
            case formations.Result.UNKNOWN:
                return
            case formations.Result.BEGUN if may_begin_it:
                self._record_begin(order, load, now)
            case formations.Result.BEGUN:
                # Another order has used the number.
                self._discard(order)
            case formations.Result.HELD if (
                may_begin_it and load.unanswered > 1
            ):
                # An earlier order began it.
                self._record_begin(order, load, now)
            case _ if may_begin_it:
                load.unanswered -= 1
                if not load.unanswered:
                    self._discard(order)

    def record_count(
        self,
        upstream: str,
        incarnation: int,
        orders_begun: int,
        now: datetime.timedelta,
    ) -> None:
        """Records how many orders an upstream has begun."""
        for key, load in self.load_by_key.items():
            if (
                key[:2] == (upstream, incarnation)
                and key[2] < orders_begun
                and load.began_at is None
            ):
                # The action is not known, only that it began.
                self._begin(upstream, load, now)

    def _discard(self, order: formations.GroupOrder) -> None:
        del self.load_by_key[key_of(order)]
        self.changed = True

    def _record_begin(
        self,
        order: formations.GroupOrder,
        load: Load,
        now: datetime.timedelta,
    ) -> None:
        load.model = order.model
        self._begin(order.upstream, load, now, order.action)

    def _begin(
        self,
        upstream: str,
        load: Load,
        now: datetime.timedelta,
        action: formations.Action | None = None,
    ) -> None:
        load.beside = self.in_progress()
        load.began_at = now
        self.changed = True
        late_ms = (now - load.ordered_at) // MILLISECOND
        self.notes.append(Note("began", upstream, load.model, action, late_ms))

    def is_undecided(self, upstream: str, incarnation: int) -> bool:
        """Returns whether a load of an upstream may still begin."""
        return any(
            key[:2] == (upstream, incarnation) and load.began_at is None
            for key, load in self.load_by_key.items()
        )

    def is_known(self, upstream: str, incarnation: int) -> bool:
        """Returns whether a load of an upstream is recorded."""
        return any(
            key[:2] == (upstream, incarnation) for key in self.load_by_key
        )

    def has_place(self, order: formations.GroupOrder) -> bool:
        """Returns whether an order could only begin a recorded load."""
        return key_of(order) in self.load_by_key

    def allows(
        self,
        engine: routes.Engine,
        count: int,
        missed: float,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether `count` more loads stay within the store's rate.

        `missed` loads may count that are not recorded. Fewer loads at a time
        finish sooner, since they share the store's bandwidth. Of more than
        may ever begin at once the first have to; the others follow.
        """
        limit = engine.loads_per_second * WINDOW.total_seconds()
        at_once = engine.loads_per_second + engine.loads_at_once
        count = max(1, min(count, int(limit), int(at_once)))
        recent = sum(
            now - load.ordered_at <= SECOND
            for load in self.load_by_key.values()
        )
        return (
            self.counted(now) + missed + count <= limit
            and recent + count <= at_once
        )

    def allows_before_requests(
        self, engine: routes.Engine, count: int
    ) -> bool:
        """Returns the same before the first request of the deployment.

        Only loads that begin after that request count, so only those that
        may still begin are limited.
        """
        limit = engine.loads_per_second * WINDOW.total_seconds()
        undecided = sum(
            load.began_at is None for load in self.load_by_key.values()
        )
        return undecided + count <= limit

    def prune(self, view: formations.View, now: datetime.timedelta) -> None:
        """Discards loads that neither count nor are in progress."""
        for key, load in list(self.load_by_key.items()):
            if load.began_at is not None and not load.is_over:
                load.is_over = _is_over(key, load, view, now)
            in_progress = load.began_at is not None and not load.is_over
            if not load.counts(now) and not in_progress:
                del self.load_by_key[key]

    def in_progress(self) -> int:
        """Returns the loads that are not over, or may still begin."""
        return sum(not load.is_over for load in self.load_by_key.values())

    def latest_end(
        self,
        hosts: typing.Container[tuple[str, int]],
        model: routes.Model,
        engine: routes.Engine,
    ) -> datetime.timedelta | None:
        """Returns by when the loads in progress of some hosts should end.

        The hosts are upstreams with their incarnations. Returns None if none
        is in progress.
        """
        return max(
            (
                load.began_at + _longest_time(load, model, engine)
                for key, load in self.load_by_key.items()
                if key[:2] in hosts
                and load.began_at is not None
                and not load.is_over
            ),
            default=None,
        )

    def counted(self, now: datetime.timedelta) -> int:
        """Returns the loads that count in a window that ends now."""
        return sum(load.counts(now) for load in self.load_by_key.values())


def _longest_time(
    load: Load, model: routes.Model, engine: routes.Engine
) -> datetime.timedelta:
    """Returns twice the time that a load should take.

    Beyond the loads that the weight store takes at once, each takes longer
    in proportion.
    """
    share = load.beside / max(1, engine.loads_at_once)
    return 2 * model.load_time * max(1.0, share)


def _is_over(
    key: Key, load: Load, view: formations.View, now: datetime.timedelta
) -> bool:
    """Returns whether a load that began is over, as far as is known.

    One that was given up on, as its host was given other work, never shows.
    """
    name, incarnation, _ = key
    registration = view.fleet.get(name)
    if registration is None or registration.incarnation != incarnation:
        return True
    if name in view.silent or load.model in registration.staged:
        return True
    engine = view.engines.get(registration.service)
    model = engine.model(load.model) if engine else None
    if engine is None or model is None or load.began_at is None:
        return True
    return now - load.began_at > _longest_time(load, model, engine)


def needs_load(
    model: str,
    registration: fleetmessages.Registration,
    member: formations.Member,
) -> bool:
    """Returns whether a host may have to load the weights of a model to join.

    Weights that are being staged push out those that the host has.
    """
    return model not in registration.staged or member.staging not in (
        "",
        model,
    )


def may_be_loading(
    registration: fleetmessages.Registration, member: formations.Member
) -> bool:
    """Returns whether a host may load weights on an unknown order.

    Members of groups that formed are given no such order. Of the others,
    only those that have begun no order at all certainly do not load.
    """
    seat = registration.seat
    if (
        seat is not None
        and seat.state is not fleetmessages.SeatState.JOINING
        and not groupnames.is_warm_up(seat.group)
    ):
        return False
    return not member.has_replied or member.orders_begun != 0


def causes_load(
    order: formations.GroupOrder,
    registration: fleetmessages.Registration,
    member: formations.Member,
) -> bool:
    """Returns whether an order may cause a load from the weight store."""
    match order.action:
        case formations.Action.STAGE:
            return order.model not in registration.staged
        case formations.Action.JOIN:
            return needs_load(order.model, registration, member)
    return False
