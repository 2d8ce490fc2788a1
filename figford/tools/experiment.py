"""Compares repair policies on seeded traces, under a virtual clock.

The production planner runs against fakes of one data centre's engines. The
policies are compared with a lower bound on the cost: that of the same trace
with as many groups serving at each time as instant changes would allow.
"""

import concurrent.futures
import datetime
import math
import pathlib
import random
import statistics
import typing

import attrs
import typer

from figford import assembly
from figford import effects
from figford import leases
from figford import membership
from figford import messages
from figford import operators
from figford import repair
from figford.tools import surroundings

STEP_SECONDS = 0.5
GROUP_SIZE = 4
ORDER_SECONDS = 0.1
JOIN_SECONDS = 1.5
TRACE_SECONDS = 3600.0
STORE_GIGABYTES_PER_SECOND = 2.0
WEIGHTS_GIGABYTES = 8.0
PAUSE_MEDIAN_SECONDS = 5.0
PAUSE_SIGMA = 0.9


@attrs.frozen
class Site:
    """One data centre of a deployment, with its operator's cost weights."""

    name: str
    domains: tuple[int, ...]
    groups: int
    weights: repair.Weights


SITES = (
    Site("kioscos", (9, 8), 4, repair.Weights(downtime=10.0, stranding=0.5)),
    Site("dawair", (9, 8), 4, repair.Weights(downtime=2.0, stranding=1.0)),
)


@attrs.frozen
class Fault:
    """An engine is unavailable from `start` for `duration` seconds."""

    engine: str
    start: float
    duration: float
    loses_state: bool


def always_wait(*_: object) -> repair.Decision:
    """Baseline: always waits for missing members to return."""
    return repair.Wait()


def replace_at_once(broken: repair.BrokenGroup, *_: object) -> repair.Decision:
    """Baseline: replaces missing members once there are enough spares."""
    missing = broken.size - broken.healthy
    if broken.spares >= missing:
        return repair.Replace()
    return repair.Wait()


def release_at_once(*_: object) -> repair.Decision:
    """Baseline: releases the healthy members of every broken group."""
    return repair.Release()


POLICIES: dict[str, tuple[assembly.Decide, float]] = {
    "figford": (repair.decide, 1.0),
    "always wait": (always_wait, 0.0),
    "replace at once": (replace_at_once, 0.0),
    "release at once": (release_at_once, 0.0),
}


def make_trace(site: Site, seed: int) -> list[Fault]:
    """Returns the faults of one run in the order of their start."""
    rng = random.Random(f"{site.name}-{seed}")
    faults = []
    for domain, count in enumerate(site.domains):
        names = [f"{domain}-{index}" for index in range(count)]
        for name in names:
            faults += _engine_faults(rng, name, names)
        faults += _domain_faults(rng, names)
    return sorted(faults, key=lambda fault: fault.start)


def _engine_faults(
    rng: random.Random, name: str, names: list[str]
) -> list[Fault]:
    faults = []
    at = rng.expovariate(1 / 600)
    while at < TRACE_SECONDS:
        faults.append(_random_fault(rng, name, at))
        if rng.random() < 0.2:
            other = rng.choice(names)
            faults.append(_random_fault(rng, other, at + rng.uniform(0, 15)))
        at += rng.expovariate(1 / 600)
    return faults


def _random_fault(rng: random.Random, name: str, at: float) -> Fault:
    kind = rng.choices(["pause", "restart", "failure"], [60, 25, 15])[0]
    match kind:
        case "pause":
            duration = PAUSE_MEDIAN_SECONDS * math.exp(
                rng.gauss(0, PAUSE_SIGMA)
            )
            return Fault(name, at, duration, False)
        case "restart":
            return Fault(name, at, rng.uniform(20, 90), True)
    return Fault(name, at, rng.uniform(300, 1500), True)


def _domain_faults(rng: random.Random, names: list[str]) -> list[Fault]:
    faults = []
    at = rng.expovariate(1 / 1200)
    while at < TRACE_SECONDS:
        duration = rng.uniform(10, 120)
        loses_state = rng.random() < 0.3
        for name in names:
            engine_duration = duration + rng.uniform(0, 2)
            faults.append(Fault(name, at, engine_duration, loses_state))
        at += rng.expovariate(1 / 1200)
    return faults


@attrs.define
class Engine:
    """A fake engine."""

    name: str
    domain: str
    unavailable_until: float = 0.0
    unavailable_since: float = 0.0
    incarnation: int = 1
    seat: messages.Seat | None = None
    models: list[str] = attrs.field(factory=list)
    serving_at: float = 0.0
    highest_fence: int = 0

    def is_unavailable(self, now: float) -> bool:
        """Returns whether a fault makes the engine unavailable."""
        return now < self.unavailable_until

    def serves(self, now: float) -> bool:
        """Returns whether the engine serves in its seat."""
        return self.seat is not None and now >= self.serving_at

    def announcement(self, now: float) -> messages.Announcement:
        """Returns the announcement of the engine's current state."""
        state = messages.UpstreamState.IDLE
        if self.seat is not None:
            state = messages.UpstreamState.LOADING
            if self.serves(now):
                state = messages.UpstreamState.SERVING
        return messages.Announcement(
            upstream=self.name,
            incarnation=self.incarnation,
            sequence=1,
            data_centre="site",
            fabric_domain=self.domain,
            address=self.name,
            kind=messages.UpstreamKind.ENGINE,
            state=state,
            models=self.models,
            seat=self.seat,
            highest_fence=self.highest_fence,
        )


@attrs.define
class Tally:
    """The downtime and the idle accelerators of one run.

    `group_down_seconds` sums over groups, `idle_seconds` over accelerators.
    """

    group_down_seconds: float = 0.0
    idle_seconds: float = 0.0
    moves: int = 0

    def cost(self, weights: repair.Weights) -> float:
        """Returns the cost under the operator's weights."""
        return (
            weights.downtime * self.group_down_seconds
            + weights.stranding * self.idle_seconds
        )


@attrs.define
class Run:
    """One run of a policy on a trace of faults."""

    site: Site
    trace: list[Fault]
    planner: assembly.Planner
    hold_seconds: float
    engines: dict[str, Engine] = attrs.field(factory=dict)
    tally: Tally = attrs.field(factory=Tally)
    store: surroundings.FakeWeightStore = attrs.field(
        factory=lambda: surroundings.FakeWeightStore(
            STORE_GIGABYTES_PER_SECOND
        )
    )
    _loading_until: list[float] = attrs.field(factory=list)
    _started_fault_count: int = 0

    @classmethod
    def make(cls, site: Site, seed: int, policy: str) -> "Run":
        """Creates a run with idle engines; groups form in its warm-up."""
        decide, hold = POLICIES[policy]
        planner = assembly.Planner("entry", "site", decide=decide)
        planner.start(1, datetime.timedelta(0))
        run = cls(site, make_trace(site, seed), planner, hold)
        for domain, count in enumerate(site.domains):
            for index in range(count):
                name = f"{domain}-{index}"
                run.engines[name] = Engine(name, f"domain-{domain}")
        return run

    def run(self) -> Tally:
        """Runs the trace after a warm-up, which is not counted."""
        warmup_seconds = 120.0
        now = assembly.LEARNING_TIME.total_seconds()
        while now < warmup_seconds + TRACE_SECONDS:
            if now >= warmup_seconds:
                self._begin_faults(now - warmup_seconds)
            self._plan(now)
            if now >= warmup_seconds:
                self._record_step(now)
            now += STEP_SECONDS
        return self.tally

    def _begin_faults(self, at: float) -> None:
        offset = 120.0
        while self._started_fault_count < len(self.trace):
            fault = self.trace[self._started_fault_count]
            if fault.start > at:
                return
            self._started_fault_count += 1
            engine = self.engines[fault.engine]
            now = at + offset
            if not engine.is_unavailable(now):
                engine.unavailable_since = now
            engine.unavailable_until = max(
                engine.unavailable_until, now + fault.duration
            )
            if fault.loses_state:
                engine.seat = None
                engine.models = []
                engine.incarnation += 1

    def _plan(self, now: float) -> None:
        moment = datetime.timedelta(seconds=now)
        view = self._view(now)
        for action in self.planner.plan(
            view, moment + leases.DURATION, moment
        ):
            match action:
                case assembly.AskDrain(drain):
                    reply = messages.DrainReply(
                        drain.group, drain.fence, drain.number, "entry", 0
                    )
                    self.planner.drain_reply(reply, moment)
                case effects.SendOrder(upstream, _, order):
                    self._carry_out_order(self.engines[upstream], order, now)

    def _view(self, now: float) -> assembly.View:
        silence = membership.UPSTREAM_SILENCE_TIMEOUT.total_seconds()
        fresh = {}
        missing = {}
        silent_since = {}
        for name, engine in self.engines.items():
            announced = engine.announcement(now)
            if (
                engine.is_unavailable(now)
                and now - engine.unavailable_since > silence
            ):
                # Unlike a real last announcement, this one does not predate
                # the loss of state, so it may lack the engine's seat.
                missing[name] = announced
                silent_since[name] = datetime.timedelta(
                    seconds=engine.unavailable_since
                )
            else:
                fresh[name] = announced
                self._record_return(engine, now)
        return assembly.View(
            serving_groups=[
                operators.ServingGroup(
                    name="chat",
                    model="m",
                    replicas={"site": self.site.groups},
                    shape=operators.Replica(instances=GROUP_SIZE),
                    weights_gigabytes=WEIGHTS_GIGABYTES,
                )
            ],
            policy=operators.Policy(
                name="p",
                downtime_weight=self.site.weights.downtime,
                stranding_weight=self.site.weights.stranding,
                hold=datetime.timedelta(seconds=self.hold_seconds),
            ),
            fresh=fresh,
            missing=missing,
            silent_since=silent_since,
            entries=frozenset({"entry"}),
        )

    def _record_return(self, engine: Engine, now: float) -> None:
        silence = membership.UPSTREAM_SILENCE_TIMEOUT.total_seconds()
        duration = engine.unavailable_until - engine.unavailable_since
        if engine.unavailable_since and not engine.is_unavailable(now):
            if duration > silence:
                self.planner.history.record_return(duration)
            engine.unavailable_since = 0.0

    def _carry_out_order(
        self, engine: Engine, order: messages.Order, now: float
    ) -> None:
        if engine.is_unavailable(now) or order.fence < engine.highest_fence:
            return
        engine.highest_fence = order.fence
        match order:
            case messages.ReleaseSeat(group=group):
                if engine.seat is not None and engine.seat.group == group:
                    engine.seat = None
            case messages.JoinGroup(seat=seat, model=model):
                if engine.seat == seat:
                    return
                self.tally.moves += 1
                engine.seat = seat
                delay = JOIN_SECONDS + ORDER_SECONDS
                if model not in engine.models:
                    delay += self._load(now)
                    engine.models = [model]
                engine.serving_at = now + delay

    def _load(self, now: float) -> float:
        self._loading_until = [t for t in self._loading_until if t > now]
        seconds = self.store.transfer_time(
            int(WEIGHTS_GIGABYTES * 1e9), len(self._loading_until) + 1
        ).total_seconds()
        self._loading_until.append(now + seconds)
        return seconds

    def _record_step(self, now: float) -> None:
        members: dict[tuple[str, int], int] = {}
        available = 0
        for engine in self.engines.values():
            if engine.is_unavailable(now):
                continue
            available += 1
            if engine.seat is not None and engine.serves(now):
                key = (engine.seat.group, engine.seat.fence)
                members[key] = members.get(key, 0) + 1
        complete = sum(count == GROUP_SIZE for count in members.values())
        self._add_to_tally(complete, available)

    def _add_to_tally(self, complete: int, available: int) -> None:
        down = max(0, self.site.groups - complete)
        self.tally.group_down_seconds += down * STEP_SECONDS
        idle = available - complete * GROUP_SIZE
        self.tally.idle_seconds += idle * STEP_SECONDS

    def lower_bound(self) -> Tally:
        """Returns the tally if every change were instant."""
        warmup_seconds = 120.0
        now = warmup_seconds
        while now < warmup_seconds + TRACE_SECONDS:
            self._begin_faults(now - warmup_seconds)
            available = 0
            complete = 0
            for domain in range(len(self.site.domains)):
                available_in_domain = sum(
                    not engine.is_unavailable(now)
                    for engine in self.engines.values()
                    if engine.domain == f"domain-{domain}"
                )
                available += available_in_domain
                complete += available_in_domain // GROUP_SIZE
            self._add_to_tally(min(complete, self.site.groups), available)
            now += STEP_SECONDS
        return self.tally


LOWER_BOUND = "lower bound"


def run_job(job: tuple[int, int, str]) -> tuple[int, int, str, Tally]:
    """Runs one combination of site, seed and policy."""
    site, seed, policy = job
    if policy == LOWER_BOUND:
        tally = Run.make(SITES[site], seed, "figford").lower_bound()
    else:
        tally = Run.make(SITES[site], seed, policy).run()
    return site, seed, policy, tally


def run_all(seeds: int, processes: int) -> dict[tuple[int, str], list[Tally]]:
    """Returns the tallies by site and policy, in the order of seeds."""
    jobs = [
        (site, seed, policy)
        for site in range(len(SITES))
        for policy in [*POLICIES, LOWER_BOUND]
        for seed in range(1, seeds + 1)
    ]
    results: dict[tuple[int, str], list[Tally]] = {}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for site, _, policy, tally in pool.map(run_job, jobs):
            results.setdefault((site, policy), []).append(tally)
    return results


def table(results: dict[tuple[int, str], list[Tally]]) -> list[str]:
    """Returns the results as the lines of a Markdown table."""
    lines = [
        "| site | policy | group-seconds down | accelerator-seconds idle"
        " | moves | weighted cost (spread) | wins against figford |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (site, policy), tallies in results.items():
        weights = SITES[site].weights
        costs = [tally.cost(weights) for tally in tallies]
        reference_costs = [
            tally.cost(weights) for tally in results[site, "figford"]
        ]
        wins = sum(
            cost < reference for cost, reference in zip(costs, reference_costs)
        )
        lines.append(
            f"| {SITES[site].name} | {policy}"
            f" | {statistics.mean(t.group_down_seconds for t in tallies):.0f}"
            f" | {statistics.mean(t.idle_seconds for t in tallies):.0f}"
            f" | {statistics.mean(t.moves for t in tallies):.0f}"
            f" | {statistics.mean(costs):.0f}"
            f" ({statistics.stdev(costs):.0f})"
            f" | {wins} of {len(costs)} |"
        )
    return lines


def plot(
    results: dict[tuple[int, str], list[Tally]], path: pathlib.Path
) -> None:
    """Plots the weighted costs as box plots; needs matplotlib."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(SITES), figsize=(11, 4))
    for site, axis in enumerate(axes):
        names = [*POLICIES, LOWER_BOUND]
        costs: list[typing.Any] = [
            [tally.cost(SITES[site].weights) for tally in results[site, name]]
            for name in names
        ]
        axis.boxplot(costs)
        axis.set_xticks(range(1, len(names) + 1), names, rotation=20)
        axis.set_title(f"{SITES[site].name}: weighted cost of an hour")
    figure.tight_layout()
    figure.savefig(path)


def run(
    seeds: int = 24, processes: int = 4, picture: pathlib.Path | None = None
) -> None:
    """Runs the comparison, prints its table and may plot it."""
    results = run_all(seeds, processes)
    for line in table(results):
        typer.echo(line)
    if picture is not None:
        plot(results, picture)


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
