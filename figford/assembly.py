"""The planner of one data centre: assembles, repairs and retires groups.

It acts only while it holds the planner lease and rebuilds what it knows
from announcements, so that its loss costs no state. Every change of a
group has a new, higher fencing number. A planned change drains first.
"""

import collections
import datetime
import typing

import attrs

from figford import leases
from figford import membership
from figford import messages
from figford import operators
from figford import repair

# An order is given up on after this long, and may be sent again.
ORDER_TIMEOUT = datetime.timedelta(seconds=2)
RESEND_EVERY = datetime.timedelta(seconds=2)
DRAIN_REPEAT = datetime.timedelta(milliseconds=500)
DRAIN_LAPSE = datetime.timedelta(seconds=5)
# An entry's word that it is idle holds for less than its drain lapses.
DRAIN_REPLY_LIFE = DRAIN_LAPSE / 2
# An entry that can't be reached holds a planned change up for this long.
DRAIN_LIMIT = datetime.timedelta(seconds=120)
# Time to learn who is there before the first decision of a new planner.
LEARNING_TIME = membership.UPSTREAM_SILENCE
JOIN_TIME = datetime.timedelta(seconds=2)
FORMING_SLACK = datetime.timedelta(seconds=10)
# Weight loads are granted one group after another within this many
# gigabytes a second.
STORE_GIGABYTES_PER_SECOND = 2.0


@attrs.frozen
class SendOrder:
    """Send an order to an upstream, unless `valid_until` has passed."""

    upstream: str
    address: str
    order: messages.Order
    valid_until: datetime.timedelta


@attrs.frozen
class AskDrain:
    """Ask all entries of the data centre to drain a group."""

    drain: messages.DrainGroup


Action = SendOrder | AskDrain


Decide = typing.Callable[
    [repair.Situation, repair.Weights, repair.SilenceHistory], repair.Decision
]


@attrs.define
class Forming:
    """A group whose members were ordered to join and are not all there."""

    fence: int
    members: list[str]
    model: str
    deadline: datetime.timedelta
    loads: bool
    sent_at_by_member: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )


@attrs.define
class Drain:
    """A group that gets no new work until nothing is in progress."""

    started_at: datetime.timedelta
    asked_at: datetime.timedelta | None = None
    idle_at_by_instance: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )


@attrs.frozen
class View:
    """What the planner decides by.

    `fresh` are the upstreams heard lately, `silent_since` when the others
    were last heard, `entries` all entries of the data centre that may have
    work in progress, whether they are heard or not.
    """

    serving_groups: list[operators.ServingGroup]
    policy: operators.Policy
    fresh: dict[str, messages.Announcement]
    missing: dict[str, messages.Announcement]
    silent_since: dict[str, datetime.timedelta]
    entries: frozenset[str]


@attrs.define
class _Group:
    """The announced state of one group at one fencing number."""

    fence: int
    present: dict[int, messages.Announcement] = attrs.field(factory=dict)
    absent: dict[int, messages.Announcement] = attrs.field(factory=dict)
    size: int = 0

    @property
    def whole(self) -> bool:
        """Returns whether a fresh member sits on every rank."""
        return set(self.present) == set(range(self.size))

    @property
    def precedence(self) -> tuple[bool, int]:
        """Returns by what the state that counts is chosen."""
        return self.whole, self.fence

    @property
    def healthy(self) -> list[messages.Announcement]:
        """Returns the members that are there and stay, by rank."""
        return [
            self.present[rank]
            for rank in sorted(self.present)
            if not self.present[rank].leaving
        ]


@attrs.define
class Planner:
    """Decisions about the groups of one data centre."""

    instance: str
    data_centre: str
    number: int = 0
    valid_until: datetime.timedelta = datetime.timedelta(0)
    forming_by_group: dict[str, Forming] = attrs.field(factory=dict)
    drains: dict[tuple[str, int], Drain] = attrs.field(factory=dict)
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
    _unchecked_from: datetime.timedelta = datetime.timedelta(0)
    _taken: set[str] = attrs.field(factory=set)
    _actions: list[Action] = attrs.field(factory=list)

    def start(self, number: int, now: datetime.timedelta) -> None:
        """Begins to plan under a new lease; forgets what an older one did.

        Orders to upstreams that ignore fencing numbers wait until no order
        of an earlier planner can still be on its way.
        """
        if number <= self.number:
            raise AssertionError("lease numbers only rise")
        self.number = number
        self._sequence = 0
        self._started_at = now
        self._unchecked_from = now + leases.DURATION + ORDER_TIMEOUT
        self.forming_by_group.clear()
        self.drains.clear()
        self.broken_since_by_group.clear()

    def plan(
        self,
        view: View,
        valid_until: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[Action]:
        """Returns the orders and drains that are due now."""
        if now >= valid_until:
            raise AssertionError("a planner without a lease plans")
        self.valid_until = valid_until
        self._actions = []
        if now - self._started_at < LEARNING_TIME:
            return []
        wanted = self._wanted(view)
        announced = self._announced(view)
        self._taken = self._members_in_use(wanted, announced)
        self._retire_unwanted(wanted, announced, view, now)
        for group in sorted(wanted):
            self._settle(group, wanted[group], announced, view, now)
        self._form_absent(wanted, announced, view, now)
        self._forget_drains(view)
        self._ask_drains(now)
        return self._actions

    def drain_reply(
        self, reply: messages.DrainReply, now: datetime.timedelta
    ) -> None:
        """Notes whether an entry has work left on a draining group."""
        drain = self.drains.get((reply.group, reply.fence))
        if drain is None or reply.number != self.number:
            return
        if reply.in_progress:
            drain.idle_at_by_instance.pop(reply.instance, None)
        else:
            drain.idle_at_by_instance[reply.instance] = now

    # ---- What is wanted and what is there -------------------------------

    def _wanted(self, view: View) -> dict[str, operators.ServingGroup]:
        wanted = {}
        for spec in view.serving_groups:
            for index in range(spec.replicas.get(self.data_centre, 0)):
                wanted[f"{spec.name}.{self.data_centre}.{index}"] = spec
        return wanted

    def _announced(self, view: View) -> dict[str, _Group]:
        """Returns each group at the fencing number that counts.

        That is the highest one; but a group that is whole at a lower one
        counts before one that is not, as when orders were lost.
        """
        found: dict[tuple[str, int], _Group] = {}
        everyone = [(item, True) for item in view.fresh.values()]
        everyone += [(item, False) for item in view.missing.values()]
        for announcement, is_fresh in everyone:
            seat = announcement.seat
            if seat is None:
                continue
            group = found.setdefault(
                (seat.group, seat.fence), _Group(seat.fence)
            )
            group.size = max(group.size, seat.size)
            side = group.present if is_fresh else group.absent
            side[seat.rank] = announcement
        chosen: dict[str, _Group] = {}
        for (name, _), group in found.items():
            best = chosen.get(name)
            if best is None or group.precedence > best.precedence:
                chosen[name] = group
        return chosen

    def _members_in_use(
        self,
        wanted: dict[str, operators.ServingGroup],
        announced: dict[str, _Group],
    ) -> set[str]:
        taken = set()
        for group, forming in self.forming_by_group.items():
            if group in wanted:
                taken.update(forming.members)
        for state in announced.values():
            taken.update(item.upstream for item in state.present.values())
        return taken

    def _is_free(self, announcement: messages.Announcement) -> bool:
        return (
            announcement.kind is messages.UpstreamKind.ENGINE
            and announcement.seat is None
            and announcement.state is messages.UpstreamState.IDLE
            and announcement.upstream not in self._taken
        )

    def _free_by_domain(
        self, view: View
    ) -> dict[str, list[messages.Announcement]]:
        free = collections.defaultdict(list)
        for name in sorted(view.fresh):
            announcement = view.fresh[name]
            if self._is_free(announcement):
                free[announcement.fabric_domain].append(announcement)
        return free

    # ---- Orders ---------------------------------------------------------

    def _next_fence(self) -> int:
        self._sequence += 1
        return leases.fence(self.number, self._sequence)

    def _send(
        self,
        announcement: messages.Announcement,
        order: messages.Order,
        now: datetime.timedelta,
    ) -> None:
        if not announcement.checks_fencing and now < self._unchecked_from:
            return
        self._actions.append(
            SendOrder(
                announcement.upstream,
                announcement.address,
                order,
                min(self.valid_until, now + ORDER_TIMEOUT),
            )
        )

    def _release(
        self, announcement: messages.Announcement, now: datetime.timedelta
    ) -> None:
        if announcement.seat is None:
            return
        group = announcement.seat.group
        order = messages.ReleaseSeat(self._next_fence(), group)
        self._send(announcement, order, now)

    def _begin_forming(
        self,
        group: str,
        spec: operators.ServingGroup,
        members: list[messages.Announcement],
        now: datetime.timedelta,
    ) -> None:
        loads = any(spec.model not in item.models for item in members)
        load_time = _load_time(spec, members)
        forming = Forming(
            fence=self._next_fence(),
            members=[item.upstream for item in members],
            model=spec.model,
            deadline=now + load_time * 2 + JOIN_TIME + FORMING_SLACK,
            loads=loads,
        )
        self.forming_by_group[group] = forming
        self.broken_since_by_group.pop(group, None)
        self._taken.update(forming.members)
        by_name = {item.upstream: item for item in members}
        self._send_joins(group, spec, forming, by_name, now)

    def _send_joins(
        self,
        group: str,
        spec: operators.ServingGroup,
        forming: Forming,
        fresh: dict[str, messages.Announcement],
        now: datetime.timedelta,
    ) -> None:
        peers = [
            fresh[name].address if name in fresh else ""
            for name in forming.members
        ]
        for rank, name in enumerate(forming.members):
            sent_at = forming.sent_at_by_member.get(name)
            if sent_at is not None and now - sent_at < RESEND_EVERY:
                continue
            announcement = fresh.get(name)
            if announcement is None or _sits(
                announcement, group, forming.fence
            ):
                continue
            seat = messages.Seat(
                group, spec.name, forming.fence, rank, len(forming.members)
            )
            order = messages.JoinGroup(
                forming.fence, seat, forming.model, peers
            )
            forming.sent_at_by_member[name] = now
            self._send(announcement, order, now)

    # ---- Groups that are wanted -----------------------------------------

    def _settle(
        self,
        group: str,
        spec: operators.ServingGroup,
        announced: dict[str, _Group],
        view: View,
        now: datetime.timedelta,
    ) -> None:
        forming = self.forming_by_group.get(group)
        state = announced.get(group)
        if forming is not None:
            self._settle_forming(group, spec, forming, state, view, now)
        elif state is not None:
            self._settle_announced(group, spec, state, announced, view, now)

    def _settle_forming(
        self,
        group: str,
        spec: operators.ServingGroup,
        forming: Forming,
        state: _Group | None,
        view: View,
        now: datetime.timedelta,
    ) -> None:
        seated = [
            name
            for name in forming.members
            if name in view.fresh
            and _sits(view.fresh[name], group, forming.fence)
            and view.fresh[name].state is messages.UpstreamState.SERVING
        ]
        if len(seated) == len(forming.members):
            del self.forming_by_group[group]
            return
        if state is not None and _needs_nothing(state, spec):
            # What seemed lost came back before the orders took effect.
            del self.forming_by_group[group]
            return
        lost = any(
            name not in view.fresh or view.fresh[name].leaving
            for name in forming.members
        )
        if lost or now >= forming.deadline:
            # The next round sees a broken group and decides again.
            del self.forming_by_group[group]
            return
        self._send_joins(group, spec, forming, view.fresh, now)

    def _settle_announced(
        self,
        group: str,
        spec: operators.ServingGroup,
        state: _Group,
        announced: dict[str, _Group],
        view: View,
        now: datetime.timedelta,
    ) -> None:
        if _needs_nothing(state, spec):
            self.broken_since_by_group.pop(group, None)
            self.drains.pop((group, state.fence), None)
            return
        if state.whole and not self._drained(group, state.fence, view, now):
            return
        if not _fits(state, spec):
            self._release_all(state, now)
            return
        self._repair(group, spec, state, announced, view, now)

    def _repair(
        self,
        group: str,
        spec: operators.ServingGroup,
        state: _Group,
        announced: dict[str, _Group],
        view: View,
        now: datetime.timedelta,
    ) -> None:
        since = self.broken_since_by_group.setdefault(group, now)
        healthy = state.healthy
        leaving = len(state.present) - len(healthy)
        if not repair.hold_passed(now - since, view.policy.hold, leaving):
            return
        domain = _domain_of(state)
        spares = self._spares(domain, spec.model, view)
        others = self._broken_neighbours(group, spec, domain, announced)
        elsewhere = self._choose_members(spec, view) or []
        silent = tuple(
            (now - view.silent_since[item.upstream]).total_seconds()
            for item in state.absent.values()
        )
        missing = spec.shape.instances - len(healthy)
        situation = repair.Situation(
            group=group,
            size=spec.shape.instances,
            minimum_size=spec.shape.minimum_instances,
            healthy=len(healthy),
            silent_seconds=silent,
            leaving=leaving,
            spares=len(spares),
            spare_load_seconds=_load_seconds(spec, spares[:missing]),
            join_seconds=JOIN_TIME.total_seconds(),
            mergeable=len(others),
            elsewhere_load_seconds=(
                _load_seconds(spec, elsewhere) if elsewhere else None
            ),
        )
        weights = repair.Weights(
            view.policy.downtime_weight, view.policy.stranding_weight
        )
        decision = self.decide(situation, weights, self.history)
        if isinstance(decision, repair.Wait):
            return
        kind = type(decision).__name__.lower()
        self.repairs_by_kind[kind] += 1
        match decision:
            case repair.Replace():
                members = healthy + spares[:missing]
                self._begin_forming(group, spec, members, now)
            case repair.Merge():
                members = healthy + others[:missing]
                self._begin_forming(group, spec, members, now)
            case repair.Shrink():
                self._begin_forming(group, spec, healthy, now)
            case repair.Move():
                self._begin_forming(group, spec, elsewhere, now)
            case repair.Release():
                self._release_all(state, now)

    def _spares(
        self, domain: str, model: str, view: View
    ) -> list[messages.Announcement]:
        """Returns the free engines of a domain, those with the model first."""
        free = self._free_by_domain(view).get(domain, [])
        return sorted(free, key=lambda item: model not in item.models)

    def _broken_neighbours(
        self,
        group: str,
        spec: operators.ServingGroup,
        domain: str,
        announced: dict[str, _Group],
    ) -> list[messages.Announcement]:
        """Returns healthy members of one later broken group like this."""
        for other in sorted(self.broken_since_by_group):
            state = announced.get(other)
            if other <= group or state is None or state.whole:
                continue
            same_kind = other.startswith(f"{spec.name}.")
            if same_kind and _domain_of(state) == domain and state.healthy:
                return state.healthy
        return []

    # ---- Groups that are not there yet ----------------------------------

    def _form_absent(
        self,
        wanted: dict[str, operators.ServingGroup],
        announced: dict[str, _Group],
        view: View,
        now: datetime.timedelta,
    ) -> None:
        absent = []
        for group, spec in wanted.items():
            state = announced.get(group)
            has_members = state is not None and state.present
            if group not in self.forming_by_group and not has_members:
                absent.append((spec.weights_gigabytes, group, spec))
        # Small loads go first: more groups are complete sooner.
        for _, group, spec in sorted(absent, key=lambda item: item[:2]):
            members = self._choose_members(spec, view)
            if members is None or not self._may_load(spec, members):
                continue
            self._begin_forming(group, spec, members, now)

    def _choose_members(
        self, spec: operators.ServingGroup, view: View
    ) -> list[messages.Announcement] | None:
        """Returns members from the domain that leaves the fewest over."""
        size = spec.shape.instances
        best = None
        for domain, free in sorted(self._free_by_domain(view).items()):
            if len(free) < size:
                continue
            free = sorted(free, key=lambda item: spec.model not in item.models)
            members = free[:size]
            loads = sum(spec.model not in item.models for item in members)
            cost = (loads, (len(free) - size) % size, domain)
            if best is None or cost < best[0]:
                best = (cost, members)
        return best[1] if best else None

    def _may_load(
        self,
        spec: operators.ServingGroup,
        members: list[messages.Announcement],
    ) -> bool:
        """Returns whether the weight store is free for another group."""
        if all(spec.model in item.models for item in members):
            return True
        return not any(
            forming.loads for forming in self.forming_by_group.values()
        )

    # ---- Groups that are not wanted -------------------------------------

    def _retire_unwanted(
        self,
        wanted: dict[str, operators.ServingGroup],
        announced: dict[str, _Group],
        view: View,
        now: datetime.timedelta,
    ) -> None:
        for group in list(self.forming_by_group):
            if group not in wanted:
                del self.forming_by_group[group]
        for group, state in sorted(announced.items()):
            if group in wanted:
                self._release_strays(group, state, view, now)
            elif self._drained(group, state.fence, view, now):
                self._release_all(state, now)

    def _release_strays(
        self,
        group: str,
        state: _Group,
        view: View,
        now: datetime.timedelta,
    ) -> None:
        """Frees members that sit at another fencing number.

        Where they are a whole group among themselves, as when a group came
        back after it was replaced, they are drained first.
        """
        forming = self.forming_by_group.get(group)
        joining = forming.members if forming else []
        strays: dict[int, _Group] = {}
        for announcement in view.fresh.values():
            seat = announcement.seat
            if seat is None or seat.group != group:
                continue
            if seat.fence == state.fence or announcement.upstream in joining:
                continue
            stray = strays.setdefault(seat.fence, _Group(seat.fence))
            stray.size = max(stray.size, seat.size)
            stray.present[seat.rank] = announcement
        for fence, stray in sorted(strays.items()):
            if not stray.whole or self._drained(group, fence, view, now):
                self._release_all(stray, now)

    def _release_all(self, state: _Group, now: datetime.timedelta) -> None:
        for rank in sorted(state.present):
            self._release(state.present[rank], now)

    # ---- Drains ---------------------------------------------------------

    def _drained(
        self,
        group: str,
        fence: int,
        view: View,
        now: datetime.timedelta,
    ) -> bool:
        """Starts a drain or goes on with it; returns whether it is over."""
        drain = self.drains.get((group, fence))
        if drain is None:
            self.drains[group, fence] = Drain(now)
            return False
        if now - drain.started_at >= DRAIN_LIMIT:
            return True
        return all(
            instance in drain.idle_at_by_instance
            and now - drain.idle_at_by_instance[instance] < DRAIN_REPLY_LIFE
            for instance in view.entries
        )

    def _forget_drains(self, view: View) -> None:
        """Ends the drains of groups in which nobody sits any more."""
        seated = {
            (item.seat.group, item.seat.fence)
            for item in view.fresh.values()
            if item.seat is not None
        }
        for key in set(self.drains) - seated:
            del self.drains[key]

    def _ask_drains(self, now: datetime.timedelta) -> None:
        for (group, fence), drain in sorted(self.drains.items()):
            if drain.asked_at is not None and (
                now - drain.asked_at < DRAIN_REPEAT
            ):
                continue
            drain.asked_at = now
            self._actions.append(
                AskDrain(
                    messages.DrainGroup(
                        group,
                        fence,
                        self.number,
                        self.instance,
                        DRAIN_LAPSE,
                    )
                )
            )


def _sits(announcement: messages.Announcement, group: str, fence: int) -> bool:
    seat = announcement.seat
    return seat is not None and (seat.group, seat.fence) == (group, fence)


def _needs_nothing(state: _Group, spec: operators.ServingGroup) -> bool:
    """Returns whether a group is whole, as wanted, and stays."""
    stays = len(state.healthy) == len(state.present)
    return state.whole and stays and _fits(state, spec)


def _fits(state: _Group, spec: operators.ServingGroup) -> bool:
    """Returns whether a group has a size and a model that it may have."""
    smallest = spec.shape.minimum_instances or spec.shape.instances
    if not smallest <= state.size <= spec.shape.instances:
        return False
    return all(
        spec.model in item.models
        for item in state.present.values()
        if item.state is messages.UpstreamState.SERVING
    )


def _domain_of(state: _Group) -> str:
    for announcement in (*state.present.values(), *state.absent.values()):
        return announcement.fabric_domain
    return ""


def _load_time(
    spec: operators.ServingGroup, members: list[messages.Announcement]
) -> datetime.timedelta:
    """Returns how long the members need to load what they lack."""
    loading = sum(spec.model not in item.models for item in members)
    gigabytes = spec.weights_gigabytes * loading
    return datetime.timedelta(seconds=gigabytes / STORE_GIGABYTES_PER_SECOND)


def _load_seconds(
    spec: operators.ServingGroup, members: list[messages.Announcement]
) -> float:
    return _load_time(spec, members).total_seconds()
