"""The planner of one data centre: forms, repairs and retires groups.

The planner acts only while its entry holds the planner lease. It rebuilds
its knowledge from announcements, so that no state is lost with it. Every
change of a group has a new, higher fencing number. A planned change drains
the group first.
"""

import collections
import datetime
import typing

import attrs

from figford import drains
from figford import effects
from figford import leases
from figford import membership
from figford import messages
from figford import operators
from figford import repair
from figford import seats

# An order is abandoned after this time, and may be sent again.
ORDER_TIMEOUT = datetime.timedelta(seconds=2)
RESEND_INTERVAL = datetime.timedelta(seconds=2)
# A new planner collects announcements for this long before it decides.
LEARNING_TIME = membership.UPSTREAM_SILENCE_TIMEOUT
JOIN_TIME = datetime.timedelta(seconds=2)
FORMING_SLACK = datetime.timedelta(seconds=10)
# Throughput of the weight store, in gigabytes a second. Groups load their
# weights one after another.
STORE_GIGABYTES_PER_SECOND = 2.0


@attrs.frozen
class AskDrain:
    """Ask all entries of the data centre to drain a group."""

    drain: messages.DrainGroup


Action = effects.SendOrder | AskDrain
Decide = typing.Callable[
    [repair.BrokenGroup, repair.Weights, repair.SilenceHistory],
    repair.Decision,
]


@attrs.define
class Forming:
    """A group whose members were ordered to join but have not all joined."""

    fence: int
    members: list[str]
    model: str
    deadline: datetime.timedelta
    loads: bool
    sent_at_by_member: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )

    def fits(self, spec: operators.ServingGroup) -> bool:
        """Returns whether the specification allows the size and model."""
        return self.model == spec.model and spec.shape.allows(
            len(self.members)
        )


@attrs.frozen
class View:
    """A snapshot of configuration and upstreams, the planner's input.

    `fresh` are the upstreams heard lately, `missing` the others, and
    `silent_since` the time at which those were last heard. `entries` are
    all entries of the data centre that may have work in progress, heard or
    not.
    """

    serving_groups: list[operators.ServingGroup]
    policy: operators.Policy
    fresh: dict[str, messages.Announcement]
    missing: dict[str, messages.Announcement]
    silent_since: dict[str, datetime.timedelta]
    entries: frozenset[str]


@attrs.define
class _Round:
    """One planning round: its input, and its decisions so far."""

    view: View
    now: datetime.timedelta
    valid_until: datetime.timedelta
    wanted: dict[str, operators.ServingGroup]
    seated: dict[tuple[str, int], seats.SeatedGroup]
    announced: dict[str, seats.SeatedGroup]
    in_use: set[str] = attrs.field(factory=set)
    actions: list[Action] = attrs.field(factory=list)

    def free_by_domain(self) -> dict[str, list[messages.Announcement]]:
        """Returns the engines that may be assigned a seat, by domain."""
        free = collections.defaultdict(list)
        for name in sorted(self.view.fresh):
            announcement = self.view.fresh[name]
            if self._is_free(announcement):
                free[announcement.fabric_domain].append(announcement)
        return free

    def _is_free(self, announcement: messages.Announcement) -> bool:
        return (
            announcement.kind is messages.UpstreamKind.ENGINE
            and announcement.seat is None
            and announcement.state is messages.UpstreamState.IDLE
            and announcement.upstream not in self.in_use
        )

    def spares(self, domain: str, model: str) -> list[messages.Announcement]:
        """Returns a domain's free engines, those with the model first."""
        free = self.free_by_domain().get(domain, [])
        return sorted(free, key=lambda item: model not in item.models)

    def choose_members(
        self, spec: operators.ServingGroup
    ) -> list[messages.Announcement]:
        """Returns members from the domain of least cost.

        The cost is the number of loads, then the number of engines left
        over. Returns an empty list if no domain has enough free engines.
        """
        size = spec.shape.instances
        best = None
        for domain in sorted(self.free_by_domain()):
            free = self.spares(domain, spec.model)
            if len(free) < size:
                continue
            members = free[:size]
            loads = sum(spec.model not in item.models for item in members)
            cost = (loads, (len(free) - size) % size, domain)
            if best is None or cost < best[0]:
                best = (cost, members)
        return best[1] if best else []


@attrs.define
class Planner:
    """Plans the groups of one data centre."""

    instance: str
    data_centre: str
    number: int = 0
    forming_by_group: dict[str, Forming] = attrs.field(factory=dict)
    drain_table: drains.DrainTable = attrs.field(factory=drains.DrainTable)
    broken_since_by_group: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )
    decide: Decide = repair.decide
    history: repair.SilenceHistory = attrs.field(factory=repair.SilenceHistory)
    repairs_by_kind: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _sequence: int = 0
    _started_at: datetime.timedelta = datetime.timedelta(0)
    _unfenced_orders_from: datetime.timedelta = datetime.timedelta(0)

    def start(self, number: int, now: datetime.timedelta) -> None:
        """Starts to plan under a new lease; clears the state of older ones.

        Orders to upstreams that ignore fencing numbers wait until no order
        of an earlier planner can still be in transit.
        """
        if number <= self.number:
            raise AssertionError(
                "the lease number must be higher than the last one"
            )
        self.number = number
        self._sequence = 0
        self._started_at = now
        self._unfenced_orders_from = now + leases.DURATION + ORDER_TIMEOUT
        self.forming_by_group.clear()
        self.drain_table.clear()
        self.broken_since_by_group.clear()

    def plan(
        self,
        view: View,
        valid_until: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[Action]:
        """Returns the orders and drains that are due now."""
        if now >= valid_until:
            raise AssertionError("plan() was called without a valid lease")
        if now - self._started_at < LEARNING_TIME:
            return []
        seated = seats.seated_groups(view.fresh, view.missing)
        round_ = _Round(
            view=view,
            now=now,
            valid_until=valid_until,
            wanted=self._wanted(view),
            seated=seated,
            announced=seats.authoritative_groups(seated),
        )
        round_.in_use = self._members_in_use(round_)
        self._retire_unwanted(round_)
        for group in sorted(round_.wanted):
            self._reconcile(group, round_)
        self._form_absent(round_)
        self._ask_drains(round_)
        return round_.actions

    def drain_reply(
        self, reply: messages.DrainReply, now: datetime.timedelta
    ) -> None:
        """Records whether an entry has work left on a draining group."""
        if reply.number == self.number:
            self.drain_table.record_reply(reply, now)

    # ---- Desired and announced groups -----------------------------------

    def _wanted(self, view: View) -> dict[str, operators.ServingGroup]:
        wanted = {}
        for spec in view.serving_groups:
            for index in range(spec.replicas.get(self.data_centre, 0)):
                wanted[f"{spec.name}.{self.data_centre}.{index}"] = spec
        return wanted

    def _members_in_use(self, round_: _Round) -> set[str]:
        in_use = set()
        for group, forming in self.forming_by_group.items():
            if group in round_.wanted:
                in_use.update(forming.members)
        for state in round_.announced.values():
            in_use.update(item.upstream for item in state.present.values())
        return in_use

    # ---- Orders ---------------------------------------------------------

    def _next_fence(self) -> int:
        self._sequence += 1
        return leases.fence(self.number, self._sequence)

    def _send(
        self,
        announcement: messages.Announcement,
        order: messages.Order,
        round_: _Round,
    ) -> None:
        if not announcement.checks_fencing and (
            round_.now < self._unfenced_orders_from
        ):
            return
        round_.actions.append(
            effects.SendOrder(
                announcement.upstream,
                announcement.address,
                order,
                min(round_.valid_until, round_.now + ORDER_TIMEOUT),
            )
        )

    def _release_all(
        self, group: str, state: seats.SeatedGroup, round_: _Round
    ) -> None:
        for rank in sorted(state.present):
            order = messages.ReleaseSeat(self._next_fence(), group)
            self._send(state.present[rank], order, round_)

    def _begin_forming(
        self, group: str, members: list[messages.Announcement], round_: _Round
    ) -> None:
        spec = round_.wanted[group]
        forming = Forming(
            fence=self._next_fence(),
            members=[item.upstream for item in members],
            model=spec.model,
            deadline=(
                round_.now
                + load_time(spec, members) * 2
                + JOIN_TIME
                + FORMING_SLACK
            ),
            loads=_needs_load(spec, members),
        )
        self.forming_by_group[group] = forming
        self.broken_since_by_group.pop(group, None)
        round_.in_use.update(forming.members)
        self._send_joins(group, forming, round_)

    def _send_joins(
        self, group: str, forming: Forming, round_: _Round
    ) -> None:
        fresh = round_.view.fresh
        spec = round_.wanted[group]
        peers = [
            fresh[name].address if name in fresh else ""
            for name in forming.members
        ]
        for rank, name in enumerate(forming.members):
            sent_at = forming.sent_at_by_member.get(name)
            if sent_at is not None and round_.now - sent_at < RESEND_INTERVAL:
                continue
            announcement = fresh.get(name)
            if announcement is None or seats.has_seat(
                announcement, group, forming.fence
            ):
                continue
            seat = messages.Seat(
                group, spec.name, forming.fence, rank, len(forming.members)
            )
            forming.sent_at_by_member[name] = round_.now
            self._send(
                announcement,
                messages.JoinGroup(forming.fence, seat, forming.model, peers),
                round_,
            )

    # ---- Configured groups ----------------------------------------------

    def _reconcile(self, group: str, round_: _Round) -> None:
        forming = self.forming_by_group.get(group)
        state = round_.announced.get(group)
        if forming is not None:
            self._reconcile_forming(group, forming, state, round_)
        elif state is not None:
            self._reconcile_announced(group, state, round_)

    def _reconcile_forming(
        self,
        group: str,
        forming: Forming,
        state: seats.SeatedGroup | None,
        round_: _Round,
    ) -> None:
        fresh = round_.view.fresh
        serving = all(
            name in fresh
            and seats.has_seat(fresh[name], group, forming.fence)
            and fresh[name].state is messages.UpstreamState.SERVING
            for name in forming.members
        )
        # Members that seemed lost may return before the orders take effect.
        recovered = state is not None and state.meets_spec(
            round_.wanted[group]
        )
        lost = any(
            name not in fresh or fresh[name].leaving
            for name in forming.members
        )
        outdated = not forming.fits(round_.wanted[group])
        late = round_.now >= forming.deadline
        if serving or recovered or lost or outdated or late:
            # The next round decides again by the announced state.
            del self.forming_by_group[group]
            return
        self._send_joins(group, forming, round_)

    def _reconcile_announced(
        self, group: str, state: seats.SeatedGroup, round_: _Round
    ) -> None:
        spec = round_.wanted[group]
        if state.meets_spec(spec):
            self.broken_since_by_group.pop(group, None)
            self.drain_table.end(group, state.fence)
            return
        if state.is_complete and not self._drained(group, state.fence, round_):
            return
        if not state.fits(spec):
            self._release_all(group, state, round_)
            return
        self._repair(group, state, round_)

    # ---- Repair ---------------------------------------------------------

    def _repair(
        self, group: str, state: seats.SeatedGroup, round_: _Round
    ) -> None:
        spec = round_.wanted[group]
        policy = round_.view.policy
        since = self.broken_since_by_group.setdefault(group, round_.now)
        healthy = state.healthy
        leaving = len(state.present) - len(healthy)
        if not repair.hold_time_elapsed(
            round_.now - since, policy.hold, leaving
        ):
            return
        missing = spec.shape.instances - len(healthy)
        spares = round_.spares(state.domain, spec.model)
        mergeable = self._mergeable_members(group, state.domain, round_)
        move_members = round_.choose_members(spec)
        decision = self.decide(
            repair.BrokenGroup(
                group=group,
                size=spec.shape.instances,
                minimum_size=spec.shape.minimum_instances,
                healthy=len(healthy),
                silent_seconds=_silent_seconds(state, round_),
                leaving=leaving,
                spares=len(spares),
                spare_load_seconds=_load_seconds(spec, spares[:missing]),
                join_seconds=JOIN_TIME.total_seconds(),
                mergeable=len(mergeable),
                move_load_seconds=(
                    _load_seconds(spec, move_members) if move_members else None
                ),
            ),
            repair.Weights(policy.downtime_weight, policy.stranding_weight),
            self.history,
        )
        if not isinstance(decision, repair.Wait):
            self.repairs_by_kind[type(decision).__name__.lower()] += 1
        match decision:
            case repair.Replace():
                members = healthy + spares[:missing]
                self._begin_forming(group, members, round_)
            case repair.Merge():
                members = healthy + mergeable[:missing]
                self._begin_forming(group, members, round_)
            case repair.Shrink():
                self._begin_forming(group, healthy, round_)
            case repair.Move():
                self._begin_forming(group, move_members, round_)
            case repair.Release():
                self._release_all(group, state, round_)

    def _mergeable_members(
        self, group: str, domain: str, round_: _Round
    ) -> list[messages.Announcement]:
        """Returns the healthy members of one later broken group.

        The other group has the same specification and fabric domain.
        """
        for other in sorted(self.broken_since_by_group):
            state = round_.announced.get(other)
            if other <= group or state is None or state.is_complete:
                continue
            same_spec = round_.wanted.get(other) is round_.wanted[group]
            if same_spec and state.domain == domain and state.healthy:
                return state.healthy
        return []

    # ---- Groups without members -----------------------------------------

    def _form_absent(self, round_: _Round) -> None:
        absent = []
        for group, spec in round_.wanted.items():
            state = round_.announced.get(group)
            has_members = state is not None and state.present
            if group not in self.forming_by_group and not has_members:
                absent.append((spec.weights_gigabytes, group))
        # Small loads go first, so that more groups are complete sooner.
        for _, group in sorted(absent):
            spec = round_.wanted[group]
            members = round_.choose_members(spec)
            if members and self._may_load(spec, members):
                self._begin_forming(group, members, round_)

    def _may_load(
        self,
        spec: operators.ServingGroup,
        members: list[messages.Announcement],
    ) -> bool:
        """Returns whether the weight store is free for a group's loads."""
        if not _needs_load(spec, members):
            return True
        return not any(
            forming.loads for forming in self.forming_by_group.values()
        )

    # ---- Groups outside the configuration -------------------------------

    def _retire_unwanted(self, round_: _Round) -> None:
        for group in set(self.forming_by_group) - set(round_.wanted):
            del self.forming_by_group[group]
        for group, state in sorted(round_.announced.items()):
            if group in round_.wanted:
                self._release_duplicates(group, state, round_)
            elif self._drained(group, state.fence, round_):
                self._release_all(group, state, round_)

    def _release_duplicates(
        self, group: str, state: seats.SeatedGroup, round_: _Round
    ) -> None:
        """Releases members whose seat has another fencing number.

        If these form a complete group, as when a group returned after it
        was replaced, they are drained first.
        """
        forming = self.forming_by_group.get(group)
        joining = set(forming.members) if forming else set()
        for (name, fence), duplicate in sorted(round_.seated.items()):
            if name != group or fence == state.fence:
                continue
            members = {item.upstream for item in duplicate.present.values()}
            if members & joining:
                continue
            if not duplicate.is_complete or self._drained(
                group, fence, round_
            ):
                self._release_all(group, duplicate, round_)

    # ---- Drains ---------------------------------------------------------

    def _drained(self, group: str, fence: int, round_: _Round) -> bool:
        """Starts or continues a drain; returns whether it is over."""
        return self.drain_table.is_over(
            group, fence, round_.view.entries, round_.now
        )

    def _ask_drains(self, round_: _Round) -> None:
        present = {
            key for key, state in round_.seated.items() if state.present
        }
        self.drain_table.keep_only(present)
        for group, fence in self.drain_table.take_due(round_.now):
            drain = messages.DrainGroup(
                group, fence, self.number, self.instance, drains.DRAIN_DURATION
            )
            round_.actions.append(AskDrain(drain))


def _silent_seconds(
    state: seats.SeatedGroup, round_: _Round
) -> tuple[float, ...]:
    return tuple(
        (round_.now - round_.view.silent_since[item.upstream]).total_seconds()
        for item in state.absent.values()
    )


def _needs_load(
    spec: operators.ServingGroup, members: list[messages.Announcement]
) -> bool:
    return any(spec.model not in item.models for item in members)


def load_time(
    spec: operators.ServingGroup, members: list[messages.Announcement]
) -> datetime.timedelta:
    """Returns how long the members take to load missing weights."""
    loading = sum(spec.model not in item.models for item in members)
    gigabytes = spec.weights_gigabytes * loading
    return datetime.timedelta(seconds=gigabytes / STORE_GIGABYTES_PER_SECOND)


def _load_seconds(
    spec: operators.ServingGroup, members: list[messages.Announcement]
) -> float:
    return load_time(spec, members).total_seconds()
