"""Chooses the upstream for a request by expected load.

A target is a plain upstream, or the open head of a complete group. The load
that an upstream reports with an answer is split into this entry's requests
and those of other entries; the latter part decays until the next report. Of
two random targets, the one with the lower expected load is chosen, so that
entries that can't see each other's requests don't all choose the same one.
An upstream with a limit is a choice only while this entry holds a permit.
"""

import collections
import datetime
import random
import typing

import attrs

from figford import fleet as fleets
from figford import fleetmessages
from figford import groupnames
from figford import limits
from figford import permits as permit_tables
from figford import prediction
from figford import routes

# Half-life of the last reported load of other entries. An entry hears of a
# group only with its own answers, about once a second or less often; with a
# shorter half-life all entries take full groups for free ones meanwhile.
OTHERS_HALF_LIFE = datetime.timedelta(seconds=8)
SAMPLED_TARGETS = 2
# A target in another data centre must have this many fewer requests to be
# chosen.
REMOTE_PENALTY = 0.7
# An upstream that the controllers don't hear may still serve, as a last
# resort.
SILENT_PENALTY = 6.0
FAILURE_PENALTY = 1.5
FAILURES_TO_EJECT = 2
INITIAL_EJECTION_TIME = datetime.timedelta(milliseconds=700)
MAX_EJECTION_TIME = datetime.timedelta(seconds=6)


@attrs.frozen
class Target:
    """An upstream that may be sent requests."""

    upstream: str
    incarnation: int
    address: str
    service: str
    data_centre: str
    slots: int
    model: str | None = None
    epoch: int = 0
    # Time per request, relative to a group within one fabric domain.
    slowdown: float = 1.0
    first_token: prediction.FirstToken = prediction.FirstToken()


@attrs.define
class TargetState:
    """What this entry knows about the load and health of a target."""

    in_progress: int = 0
    others_in_progress: float = 0.0
    others_reported_at: datetime.timedelta = datetime.timedelta(0)
    failures: int = 0
    ejected_until: datetime.timedelta = datetime.timedelta(0)
    ejection_time: datetime.timedelta = INITIAL_EJECTION_TIME
    active_at: datetime.timedelta = datetime.timedelta(0)
    # The incarnation that all but the requests in progress is known of.
    incarnation: int = 0
    leaving: bool = False
    paused_until: datetime.timedelta = datetime.timedelta(0)

    def start_incarnation(self, incarnation: int) -> None:
        """Forgets all but the requests in progress."""
        fresh = TargetState(
            in_progress=self.in_progress,
            active_at=self.active_at,
            incarnation=incarnation,
        )
        for field in attrs.fields(TargetState):
            setattr(self, field.name, getattr(fresh, field.name))

    def expected_in_progress(self, now: datetime.timedelta) -> float:
        """Returns the estimated requests in progress, of all entries."""
        age = (now - self.others_reported_at) / OTHERS_HALF_LIFE
        return self.in_progress + self.others_in_progress * 0.5**age


@attrs.define
class Placement:
    """Chooses targets and tracks their load and failures."""

    data_centre: str
    rng: random.Random
    silent: frozenset[str] = frozenset()
    permits: permit_tables.Permits = attrs.field(factory=permit_tables.Permits)
    on_doubt: typing.Callable[[fleetmessages.UpstreamDoubt], None] | None = (
        None
    )
    state_by_upstream: dict[str, TargetState] = attrs.field(factory=dict)
    _targets: dict[tuple[str, str | None], list[Target]] = attrs.field(
        factory=dict
    )
    # How many upstreams of each service are not leaving.
    _instances: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    # Those of `_targets` that have a limit, at a revision of the limits.
    _limited_targets: dict[limits.Key, list[Target]] = attrs.field(
        factory=dict
    )
    _limited_at_revision: int | None = None

    # ---- Targets --------------------------------------------------------

    def update(
        self,
        fleet: fleets.FleetTable,
        engines: typing.Mapping[str, routes.Engine],
    ) -> None:
        """Updates the targets from the fleet.

        `engines` are the services that are served by groups.
        """
        self._targets = {}
        self._limited_at_revision = None
        present = fleet.present()
        self._instances = collections.Counter(
            item.service for item in present if not item.leaving
        )
        cross_domain = _cross_domain_groups(present)
        for item in present:
            if item.leaving:
                continue
            engine = engines.get(item.service)
            if engine is None:
                self._add(_target(item, None), None)
            elif item.seat is not None and fleetmessages.is_open_head(
                item.seat
            ):
                spans_domains = (
                    item.seat.group,
                    item.seat.epoch,
                ) in cross_domain
                slowdown = engine.cross_domain_factor if spans_domains else 1.0
                for model in _served_models(item, item.seat, engine):
                    first = prediction.first_token(engine, model, slowdown)
                    self._add(
                        _target(item, model.name, slowdown, first), model.name
                    )
        names = {item.upstream for item in present}
        for name, target_state in list(self.state_by_upstream.items()):
            if name not in names and not target_state.in_progress:
                del self.state_by_upstream[name]

    def _add(self, target: Target, model: str | None) -> None:
        key = (target.service, model)
        self._targets.setdefault(key, []).append(target)

    def targets(self, service: str, model: str | None) -> list[Target]:
        """Returns the targets of a service that serve a model."""
        return self._targets.get((service, model), [])

    def instances(self, service: str) -> int:
        """Returns how many upstreams of a service are not leaving."""
        return self._instances[service]

    def services(self, model: str | None) -> set[str]:
        """Returns the services that have a target for a model."""
        return {
            service for service, served in self._targets if served == model
        }

    def target_state(self, upstream: str) -> TargetState:
        """Returns the state of an upstream, creating it if needed."""
        target_state = self.state_by_upstream.get(upstream)
        if target_state is None:
            target_state = self.state_by_upstream[upstream] = TargetState()
        return target_state

    # ---- Choosing -------------------------------------------------------

    def choose(
        self,
        service: str,
        model: str | None,
        tried: typing.Container[str],
        now: datetime.timedelta,
    ) -> Target | None:
        """Returns the target for a request; None if all are full."""
        open_targets = [
            target
            for target in self.targets(service, model)
            if target.upstream not in tried
            and self.takes_requests(target, now)
            and self.has_capacity(target, now)
            and self._may_send(target, now)
        ]
        if not open_targets:
            return None
        heard = [
            target
            for target in open_targets
            if target.upstream not in self.silent
        ]
        open_targets = self._prefer_fast(heard or open_targets, now)
        count = min(SAMPLED_TARGETS, len(open_targets))
        local = [
            target
            for target in open_targets
            if target.data_centre == self.data_centre
        ]
        sampled = self.rng.sample(open_targets, count)
        if local:
            sampled += self.rng.sample(local, min(SAMPLED_TARGETS, len(local)))
        # Permits that are not used soon expire.
        sampled += [target for target in open_targets if self.limited(target)]
        return min(sampled, key=lambda target: self._cost(target, now))

    def _prefer_fast(
        self, targets: list[Target], now: datetime.timedelta
    ) -> list[Target]:
        """Excludes slow groups while other targets answer sooner.

        A group that spans fabric domains is slow even when idle.
        """
        unloaded_ms = [
            target.first_token.unloaded_ms
            for target in targets
            if target.slowdown > 1.0
        ]
        if not unloaded_ms:
            return targets
        fast = [
            target
            for target in targets
            if target.slowdown <= 1.0
            and target.first_token.under_load_ms(
                self.target_state(target.upstream).expected_in_progress(now)
            )
            <= min(unloaded_ms)
        ]
        return fast or targets

    def has_capacity(self, target: Target, now: datetime.timedelta) -> bool:
        """Returns whether a target is neither full nor ejected."""
        target_state = self._state_of(target)
        if target_state.ejected_until > now:
            return False
        if target_state.failures >= FAILURES_TO_EJECT:
            # A single request probes whether the target works again.
            return target_state.in_progress == 0
        return (
            target_state.expected_in_progress(now) * target.slowdown
            < target.slots
        )

    def _cost(
        self, target: Target, now: datetime.timedelta
    ) -> tuple[float, str]:
        target_state = self._state_of(target)
        cost = (target_state.expected_in_progress(now) + 1.0) * target.slowdown
        cost += target_state.failures * FAILURE_PENALTY
        if target.data_centre != self.data_centre:
            cost += REMOTE_PENALTY
        if target.upstream in self.silent:
            cost += SILENT_PENALTY
        return cost, target.upstream

    # ---- Limits ---------------------------------------------------------

    def limited(self, target: Target) -> bool:
        """Returns whether requests to a target need permits."""
        if not self.permits.table.by_upstream:
            return False
        return self.permits.limited(target.upstream, target.incarnation)

    def limited_targets(self) -> dict[limits.Key, list[Target]]:
        """Returns the targets with a limit, by service and model."""
        if self._limited_at_revision != self.permits.table.revision:
            self._limited_at_revision = self.permits.table.revision
            self._limited_targets = {}
            for key, targets in self._targets.items():
                limited = [item for item in targets if self.limited(item)]
                if limited:
                    self._limited_targets[key] = limited
        return self._limited_targets

    def _may_send(self, target: Target, now: datetime.timedelta) -> bool:
        return not self.limited(target) or bool(
            self.permits.held(target.upstream, now)
        )

    def has_any(self, service: str, model: str | None) -> bool:
        """Returns whether a service has any target for a model."""
        return any(
            not self._state_of(target).leaving
            for target in self.targets(service, model)
        )

    # ---- What answers say of their upstream -----------------------------

    def _state_of(self, target: Target) -> TargetState:
        """Returns the state of a target's incarnation.

        A newer one starts without failures and notices; what is recorded of
        an older one is lost.
        """
        target_state = self.target_state(target.upstream)
        if target.incarnation < target_state.incarnation:
            return TargetState()
        if not target_state.incarnation:
            target_state.incarnation = target.incarnation
        elif target.incarnation > target_state.incarnation:
            target_state.start_incarnation(target.incarnation)
        return target_state

    def takes_requests(self, target: Target, now: datetime.timedelta) -> bool:
        """Returns whether a target neither leaves nor asked for a pause."""
        target_state = self._state_of(target)
        return not target_state.leaving and target_state.paused_until <= now

    def leaving_noticed(self, target: Target) -> bool:
        """Records that a target leaves; returns whether that is new."""
        target_state = self._state_of(target)
        is_new = not target_state.leaving
        target_state.leaving = True
        return is_new

    def pause_noticed(self, target: Target, until: datetime.timedelta) -> bool:
        """Records a pause; returns whether it ends later than known ones."""
        target_state = self._state_of(target)
        if until <= target_state.paused_until:
            return False
        target_state.paused_until = until
        return True

    def pause_end(
        self, service: str, model: str | None, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when the first pause ends; None if not all are paused."""
        ends = [
            self._state_of(target).paused_until
            for target in self.targets(service, model)
            if not self._state_of(target).leaving
        ]
        return min(ends) if ends and min(ends) > now else None

    # ---- Load and health ------------------------------------------------

    def started(self, target: Target, now: datetime.timedelta) -> None:
        """Counts a request sent to a target."""
        target_state = self.target_state(target.upstream)
        if not target_state.in_progress:
            target_state.active_at = now
        target_state.in_progress += 1

    def finished(self, target: Target) -> None:
        """Counts a request as ended at a target."""
        target_state = self.target_state(target.upstream)
        if target_state.in_progress <= 0:
            raise AssertionError(
                "more requests finished than were sent to the target"
            )
        target_state.in_progress -= 1

    def sent_data(self, target: Target, now: datetime.timedelta) -> None:
        """Records that a target sent data."""
        self.target_state(target.upstream).active_at = now

    def load_reported(
        self, target: Target, total: int, now: datetime.timedelta
    ) -> None:
        """Records the load, of all entries, that a target reported."""
        target_state = self._state_of(target)
        target_state.others_in_progress = max(
            0.0, total - target_state.in_progress
        )
        target_state.others_reported_at = now

    def succeeded(self, target: Target) -> None:
        """Records a success; ends the target's ejection."""
        target_state = self._state_of(target)
        if target_state.failures >= FAILURES_TO_EJECT:
            self._report_doubt(target, False)
        target_state.failures = 0
        target_state.ejection_time = INITIAL_EJECTION_TIME
        target_state.ejected_until = datetime.timedelta(0)

    def failed(self, target: Target, now: datetime.timedelta) -> None:
        """Records a failure; two in a row eject the target for a time."""
        target_state = self._state_of(target)
        target_state.failures += 1
        if target_state.failures >= FAILURES_TO_EJECT:
            self.eject(target, now)

    def eject(self, target: Target, now: datetime.timedelta) -> None:
        """Ejects a target, for twice as long each time up to a limit."""
        target_state = self._state_of(target)
        target_state.failures = max(target_state.failures, FAILURES_TO_EJECT)
        if target_state.ejected_until > now:
            return
        self._report_doubt(target, True)
        target_state.ejected_until = now + target_state.ejection_time
        target_state.ejection_time = min(
            target_state.ejection_time * 2, MAX_EJECTION_TIME
        )

    def _report_doubt(self, target: Target, failing: bool) -> None:
        if self.on_doubt is not None:
            self.on_doubt(
                fleetmessages.UpstreamDoubt(
                    target.upstream, target.incarnation, failing
                )
            )


def _cross_domain_groups(
    present: list[fleetmessages.Registration],
) -> set[tuple[str, int]]:
    """Returns the groups whose members are in several fabric domains."""
    domains: dict[tuple[str, int], set[str]] = {}
    for item in present:
        if item.seat is not None:
            key = (item.seat.group, item.seat.epoch)
            domains.setdefault(key, set()).add(item.domain)
    return {key for key, names in domains.items() if len(names) > 1}


def _served_models(
    item: fleetmessages.Registration,
    seat: fleetmessages.FleetSeat,
    engine: routes.Engine,
) -> list[routes.Model]:
    """Returns the models of a head that its group may serve.

    These are configured, and their groups have as many members as this one.
    A name that does not tell the size is one of a former version.
    """
    size = groupnames.group_size(seat.group)
    models = [engine.model(name) for name in item.models]
    return [
        model
        for model in models
        if model is not None and size in (None, model.size)
    ]


def _target(
    item: fleetmessages.Registration,
    model: str | None,
    slowdown: float = 1.0,
    first_token: prediction.FirstToken = prediction.FirstToken(),
) -> Target:
    return Target(
        upstream=item.upstream,
        incarnation=item.incarnation,
        address=item.address,
        service=item.service,
        data_centre=item.data_centre,
        slots=max(1, item.slots),
        model=model,
        epoch=item.seat.epoch if item.seat else 0,
        slowdown=slowdown,
        first_token=first_token,
    )
