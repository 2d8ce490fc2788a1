"""Which upstream gets a request, by what this entry knows of each.

A target is a plain upstream, or the open head of a whole group. The load
that an upstream reports with an answer is split into this entry's part and
that of the others, whose part fades until the next report. Of two random
targets the one with less expected work is taken, so that entries which
can't see each other's requests do not herd.
"""

import datetime
import random
import typing

import attrs

from figford import fleet as fleets
from figford import fleetmessages
from figford import prediction
from figford import routes

# What other entries had in progress is halved in weight in this time.
OTHERS_HALF_LIFE = datetime.timedelta(seconds=1)
SAMPLED_TARGETS = 2
# A target in another data centre must be this many requests better.
DISTANCE = 0.7
# An upstream that controllers do not hear may still serve, as a last way.
SILENT_PENALTY = 6.0
FAILURE_PENALTY = 1.5
FAILURES_TO_CLOSE = 2
FIRST_CLOSED = datetime.timedelta(milliseconds=700)
LONGEST_CLOSED = datetime.timedelta(seconds=6)


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
    # How much slower it is than a group within one fabric domain.
    slower: float = 1.0
    first_token: prediction.FirstToken = prediction.FirstToken()


@attrs.define
class Standing:
    """What this entry saw of a target."""

    in_progress: int = 0
    others: float = 0.0
    others_at: datetime.timedelta = datetime.timedelta(0)
    failures: int = 0
    closed_until: datetime.timedelta = datetime.timedelta(0)
    closed_for: datetime.timedelta = FIRST_CLOSED
    active_at: datetime.timedelta = datetime.timedelta(0)

    def expected(self, now: datetime.timedelta) -> float:
        """Returns how many requests it probably has, from all entries."""
        age = (now - self.others_at) / OTHERS_HALF_LIFE
        return self.in_progress + self.others * 0.5**age


@attrs.define
class Placement:
    """Chooses targets and keeps count of what was sent to them."""

    data_centre: str
    rng: random.Random
    silent: frozenset[str] = frozenset()
    on_doubt: typing.Callable[[fleetmessages.UpstreamDoubt], None] | None = (
        None
    )
    standing_by_upstream: dict[str, Standing] = attrs.field(factory=dict)
    _targets: dict[tuple[str, str | None], list[Target]] = attrs.field(
        factory=dict
    )

    # ---- Targets --------------------------------------------------------

    def update(
        self,
        fleet: fleets.FleetTable,
        engines: typing.Mapping[str, routes.Engine],
    ) -> None:
        """Takes the present fleet; `engines` are services with groups."""
        self._targets = {}
        present = fleet.present()
        far = _far_groups(present)
        for item in present:
            if item.leaving:
                continue
            engine = engines.get(item.service)
            if engine is None:
                self._add(_target(item, None), None)
            elif item.seat is not None and _is_open_head(item.seat):
                is_far = (item.seat.group, item.seat.epoch) in far
                slower = engine.cross_domain_factor if is_far else 1.0
                for model in item.models:
                    first = prediction.first_token(
                        engine, engine.model(model), slower
                    )
                    self._add(_target(item, model, slower, first), model)
        names = {item.upstream for item in present}
        for name, standing in list(self.standing_by_upstream.items()):
            if name not in names and not standing.in_progress:
                del self.standing_by_upstream[name]

    def _add(self, target: Target, model: str | None) -> None:
        key = (target.service, model)
        self._targets.setdefault(key, []).append(target)

    def targets(self, service: str, model: str | None) -> list[Target]:
        """Returns the targets of a service that serve a model."""
        return self._targets.get((service, model), [])

    def services(self, model: str | None) -> set[str]:
        """Returns the services that have a target for a model."""
        return {
            service for service, served in self._targets if served == model
        }

    def standing(self, upstream: str) -> Standing:
        """Returns what was seen of an upstream."""
        standing = self.standing_by_upstream.get(upstream)
        if standing is None:
            standing = self.standing_by_upstream[upstream] = Standing()
        return standing

    # ---- Choosing -------------------------------------------------------

    def choose(
        self,
        service: str,
        model: str | None,
        tried: typing.Container[str],
        now: datetime.timedelta,
    ) -> Target | None:
        """Returns the target for a request; None where all are full."""
        open_targets = [
            target
            for target in self.targets(service, model)
            if target.upstream not in tried
            and self._takes(target, self.standing(target.upstream), now)
        ]
        if not open_targets:
            return None
        heard = [
            target
            for target in open_targets
            if target.upstream not in self.silent
        ]
        open_targets = self._quick(heard or open_targets, now)
        count = min(SAMPLED_TARGETS, len(open_targets))
        near = [
            target
            for target in open_targets
            if target.data_centre == self.data_centre
        ]
        sampled = self.rng.sample(open_targets, count)
        if near:
            sampled += self.rng.sample(near, min(SAMPLED_TARGETS, len(near)))
        return min(sampled, key=lambda target: self._cost(target, now))

    def _quick(
        self, targets: list[Target], now: datetime.timedelta
    ) -> list[Target]:
        """Leaves out slow groups while others answer sooner than those.

        A group across domains is slow even when it has nothing to do.
        """
        alone_ms = [
            target.first_token.alone_ms
            for target in targets
            if target.slower > 1.0
        ]
        if not alone_ms:
            return targets
        quick = [
            target
            for target in targets
            if target.slower <= 1.0
            and target.first_token.after_ms(
                self.standing(target.upstream).expected(now)
            )
            <= min(alone_ms)
        ]
        return quick or targets

    @staticmethod
    def _takes(
        target: Target, standing: Standing, now: datetime.timedelta
    ) -> bool:
        if standing.closed_until > now:
            return False
        if standing.failures >= FAILURES_TO_CLOSE:
            # One request tries whether it works again.
            return standing.in_progress == 0
        return standing.expected(now) * target.slower < target.slots

    def _cost(
        self, target: Target, now: datetime.timedelta
    ) -> tuple[float, str]:
        standing = self.standing(target.upstream)
        cost = (standing.expected(now) + 1.0) * target.slower
        cost += standing.failures * FAILURE_PENALTY
        if target.data_centre != self.data_centre:
            cost += DISTANCE
        if target.upstream in self.silent:
            cost += SILENT_PENALTY
        return cost, target.upstream

    def has_any(self, service: str, model: str | None) -> bool:
        """Returns whether a service has any target for a model."""
        return bool(self.targets(service, model))

    # ---- What was seen --------------------------------------------------

    def started(self, target: Target, now: datetime.timedelta) -> None:
        """Counts a request sent to a target."""
        standing = self.standing(target.upstream)
        if not standing.in_progress:
            standing.active_at = now
        standing.in_progress += 1

    def finished(self, target: Target) -> None:
        """Counts a request as ended at a target."""
        standing = self.standing(target.upstream)
        if standing.in_progress <= 0:
            raise AssertionError("more requests ended than were sent")
        standing.in_progress -= 1

    def active(self, target: Target, now: datetime.timedelta) -> None:
        """Notes that a target sent something."""
        self.standing(target.upstream).active_at = now

    def loaded(
        self, target: Target, total: int, now: datetime.timedelta
    ) -> None:
        """Notes the load that a target reported, from all entries."""
        standing = self.standing(target.upstream)
        standing.others = max(0.0, total - standing.in_progress)
        standing.others_at = now

    def succeeded(self, target: Target) -> None:
        """Notes that a target did its work."""
        standing = self.standing(target.upstream)
        if standing.failures >= FAILURES_TO_CLOSE:
            self._doubt(target, False)
        standing.failures = 0
        standing.closed_for = FIRST_CLOSED
        standing.closed_until = datetime.timedelta(0)

    def failed(self, target: Target, now: datetime.timedelta) -> None:
        """Notes a failure; two in a row close a target for a while."""
        standing = self.standing(target.upstream)
        standing.failures += 1
        if standing.failures >= FAILURES_TO_CLOSE:
            self.close(target, now)

    def close(self, target: Target, now: datetime.timedelta) -> None:
        """Sends a target nothing for a while, longer each time."""
        standing = self.standing(target.upstream)
        standing.failures = max(standing.failures, FAILURES_TO_CLOSE)
        if standing.closed_until > now:
            return
        self._doubt(target, True)
        standing.closed_until = now + standing.closed_for
        standing.closed_for = min(standing.closed_for * 2, LONGEST_CLOSED)

    def _doubt(self, target: Target, failing: bool) -> None:
        if self.on_doubt is not None:
            self.on_doubt(
                fleetmessages.UpstreamDoubt(
                    target.upstream, target.incarnation, failing
                )
            )


def _is_open_head(seat: fleetmessages.FleetSeat) -> bool:
    return seat.rank == 0 and seat.state is fleetmessages.SeatState.OPEN


def _far_groups(
    present: list[fleetmessages.Registration],
) -> set[tuple[str, int]]:
    """Returns the groups whose members are in several fabric domains."""
    domains: dict[tuple[str, int], set[str]] = {}
    for item in present:
        if item.seat is not None:
            key = (item.seat.group, item.seat.epoch)
            domains.setdefault(key, set()).add(item.domain)
    return {key for key, names in domains.items() if len(names) > 1}


def _target(
    item: fleetmessages.Registration,
    model: str | None,
    slower: float = 1.0,
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
        slower=slower,
        first_token=first_token,
    )
