"""Simulates routing and limits with seeded traffic under a virtual clock.

Several entries run the production dispatcher against fake groups, which
batch continuously, cache a limited number of prompt prefixes and report
their load at intervals, so that entries see it with a lag.
"""

import collections
import datetime
import random
import typing

import attrs
import typer

from figford import dispatch
from figford import groups
from figford import membership
from figford import messages
from figford import operators
from figford import routing
from figford.tools import load
from figford.tools.soaking import schedule

ENTRIES = 6
GROUPS = 12
CONCURRENCY = 16
REPORT_INTERVAL = 1.0
PREFILL_SECONDS = 0.4
CACHED_PREFILL_SECONDS = 0.06
TOKEN_SECONDS = 0.02
MEAN_TOKENS = 100
CACHED_PREFIXES = 24
PREFIXES = 200
PREFIX_SKEW = 0.8
FIRST_TOKEN_TIMEOUT = 2.0
TICK_INTERVAL = 0.25


class RoundRobin(routing.Router):
    """Baseline: chooses the groups in turn."""

    turn = 0

    def choose(self, candidates, capacity, prefix, now):
        """Returns the next group, full or not."""
        if not candidates:
            return None
        self.turn += 1
        return candidates[self.turn % len(candidates)][0]


class LeastOutstanding(routing.Router):
    """Baseline: chooses the group with this entry's fewest requests."""

    def choose(self, candidates, capacity, prefix, now):
        """Returns the group with the fewest requests of this entry."""
        if not candidates:
            return None
        return min(
            (view for view, _ in candidates),
            key=lambda view: (
                self.in_progress(view.group, view.fence),
                self.rng.random(),
            ),
        )


def make_router(kind: str, rng: random.Random) -> routing.Router:
    """Creates a router by the name of its policy."""
    return {
        "figford": routing.Router,
        "round robin": RoundRobin,
        "least outstanding": LeastOutstanding,
    }[kind](rng)


@attrs.define(eq=False)
class Group:
    """A fake group of engines."""

    name: str
    clock: schedule.VirtualClock
    running: int = 0
    sequence: int = 0
    alive: bool = True
    served: int = 0
    cache_hits: int = 0
    busy_seconds: float = 0.0
    waiting: collections.deque = attrs.field(factory=collections.deque)
    cached: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def serve(
        self,
        prefix: int,
        tokens: int,
        on_first_token: typing.Callable[[], None],
        on_done: typing.Callable[[], None],
    ) -> None:
        """Serves a request once the batch has a free slot."""
        self.waiting.append((prefix, tokens, on_first_token, on_done))
        self._fill()

    def _fill(self) -> None:
        while self.waiting and self.running < CONCURRENCY:
            prefix, tokens, on_first_token, on_done = self.waiting.popleft()
            self.running += 1
            prefill = self._prefill(prefix)
            service_seconds = prefill + tokens * TOKEN_SECONDS
            self.busy_seconds += service_seconds
            self.clock.after(schedule.seconds(prefill), on_first_token)
            self.clock.after(
                schedule.seconds(service_seconds),
                lambda d=on_done: self._end(d),
            )

    def _prefill(self, prefix: int) -> float:
        self.served += 1
        hit = prefix in self.cached
        self.cached[prefix] = None
        self.cached.move_to_end(prefix)
        if len(self.cached) > CACHED_PREFIXES:
            self.cached.popitem(last=False)
        self.cache_hits += hit
        # Prefill slows down as the batch fills.
        slowdown = 1 + self.running / CONCURRENCY
        base = CACHED_PREFILL_SECONDS if hit else PREFILL_SECONDS
        return base * slowdown

    def _end(self, on_done: typing.Callable[[], None]) -> None:
        self.running -= 1
        on_done()
        self._fill()

    def announcement(self) -> messages.Announcement:
        """Returns the announcement of the group's first member."""
        self.sequence += 1
        return messages.Announcement(
            upstream=self.name,
            incarnation=1,
            sequence=self.sequence,
            data_centre="site",
            fabric_domain="f",
            address=self.name,
            kind=messages.UpstreamKind.ENGINE,
            state=messages.UpstreamState.SERVING,
            seat=messages.Seat(self.name, "chat", 1, 0, 1),
            load=messages.Load(running=self.running, queued=len(self.waiting)),
        )


SPEC = operators.ServingGroup(
    name="chat",
    model="m",
    replicas={"site": GROUPS},
    shape=operators.Replica(instances=1),
    concurrency=CONCURRENCY,
)


def make_account(name: str, share: float) -> operators.ClientAccount:
    """Creates an account with a share of the total capacity."""
    rate = capacity() * share
    return operators.ClientAccount(
        name=name,
        key_digest=name,
        limits=operators.Limits(
            requests_per_second=rate * 2,
            burst=max(1, int(rate * 4)),
            concurrency=max(
                ENTRIES, int(GROUPS * CONCURRENCY * share * 3) + 1
            ),
        ),
    )


def capacity() -> float:
    """Returns the capacity of all groups in requests per second."""
    service_seconds = PREFILL_SECONDS + MEAN_TOKENS * TOKEN_SECONDS
    return GROUPS * CONCURRENCY / service_seconds


@attrs.define
class Tally:
    """The measurements of one run."""

    first_token: load.Sample = attrs.field(factory=load.Sample)
    offered: int = 0
    good: int = 0
    refused: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    good_by_account: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    offered_by_account: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


@attrs.define(eq=False)
class Traffic:
    """One run of the simulation: entries, groups and callers."""

    seed: int
    router: str
    rate: float
    accounts: dict[str, float]
    lost_groups: int = 0
    tally: Tally = attrs.field(factory=Tally)
    clock: schedule.VirtualClock = attrs.field(init=False)
    fake_groups: list[Group] = attrs.field(init=False)
    dispatchers: list[dispatch.Dispatcher] = attrs.field(init=False)
    _submitted_at: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    _call_by_request: dict[str, tuple[int, int, str]] = attrs.field(
        factory=dict
    )
    _request_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the entries and groups."""
        self.clock = schedule.VirtualClock(random.Random(self.seed))
        self.fake_groups = [
            Group(f"g{index}", self.clock) for index in range(GROUPS)
        ]
        self.dispatchers = [
            self._make_dispatcher(index) for index in range(ENTRIES)
        ]
        self._report()
        self._tick()

    def _make_dispatcher(self, index: int) -> dispatch.Dispatcher:
        rng = random.Random(self.seed * 100 + index)
        dispatcher = dispatch.Dispatcher(
            groups.GroupTable(membership.UpstreamTable("site")),
            make_router(self.router, rng),
        )
        dispatcher.limits.entries = ENTRIES
        return dispatcher

    def _report(self) -> None:
        for group in self.fake_groups:
            if not group.alive:
                continue
            announcement = group.announcement()
            for dispatcher in self.dispatchers:
                dispatcher.table.upstreams.announce(
                    announcement, self.clock.now(), False
                )
        self.clock.after(schedule.seconds(REPORT_INTERVAL), self._report)

    def _tick(self) -> None:
        now = self.clock.now()
        for dispatcher in self.dispatchers:
            self._carry_out(dispatcher, dispatcher.tick(now, now))
        self.clock.after(schedule.seconds(TICK_INTERVAL), self._tick)

    def run(self, seconds: float) -> Tally:
        """Runs the traffic; at a tenth of it, `lost_groups` groups fail."""
        end = self.clock.now() + schedule.seconds(seconds)
        self.clock.after(schedule.seconds(seconds * 0.1), self._lose_groups)
        self._submit_next()
        while self.clock.now() < end:
            self.clock.step()
        return self.tally

    def _lose_groups(self) -> None:
        for group in self.fake_groups[: self.lost_groups]:
            group.alive = False

    def _submit_next(self) -> None:
        rng = self.clock.rng
        self.clock.after(
            schedule.seconds(rng.expovariate(self.rate)), self._submit_next
        )
        account = rng.choices(
            list(self.accounts), list(self.accounts.values())
        )[0]
        share = 1 / len(self.accounts)
        dispatcher = rng.choice(self.dispatchers)
        self._request_count += 1
        name = f"r{self._request_count}"
        prefix = int(PREFIXES * rng.random() ** (1 / (1 - PREFIX_SKEW)))
        now = self.clock.now()
        self._call_by_request[name] = (
            prefix,
            _random_token_count(rng),
            account,
        )
        self._submitted_at[name] = now
        self.tally.offered += 1
        self.tally.offered_by_account[account] += 1
        request = dispatch.ModelRequest(
            name,
            make_account(account, share),
            operators.RequestClass.CHAT,
            SPEC,
            prefix,
            now + schedule.seconds(FIRST_TOKEN_TIMEOUT),
        )
        self._carry_out(dispatcher, dispatcher.submit(request, now))

    def _carry_out(
        self,
        dispatcher: dispatch.Dispatcher,
        new_effects: list[dispatch.Effect],
    ) -> None:
        for effect in new_effects:
            match effect:
                case dispatch.Start(name, view):
                    self._start(dispatcher, name, view)
                case dispatch.Refuse(_, refusal):
                    self.tally.refused[refusal.kind] += 1
                case dispatch.Interrupt(name):
                    retry_effects = dispatcher.retry(
                        name, True, True, self.clock.now()
                    )
                    self._carry_out(dispatcher, retry_effects)

    def _start(
        self,
        dispatcher: dispatch.Dispatcher,
        name: str,
        view: groups.GroupView,
    ) -> None:
        group = next(g for g in self.fake_groups if g.name == view.group)
        prefix, tokens, account = self._call_by_request[name]

        def current() -> bool:
            return group.alive and dispatcher.view_of(name) is view

        def on_first_token() -> None:
            if not current():
                return
            dispatcher.first_token(name, self.clock.now())
            latency = (
                self.clock.now() - self._submitted_at[name]
            ).total_seconds()
            self.tally.first_token.values.append(latency)
            if latency <= FIRST_TOKEN_TIMEOUT:
                self.tally.good += 1
                self.tally.good_by_account[account] += 1

        def on_done() -> None:
            if current():
                now = self.clock.now()
                self._carry_out(
                    dispatcher, dispatcher.ended(name, tokens, True, now)
                )

        group.serve(prefix, tokens, on_first_token, on_done)


def _random_token_count(rng: random.Random) -> int:
    return max(1, int(rng.expovariate(1 / MEAN_TOKENS)))


def imbalance(values: list[float]) -> float:
    """Returns the largest value divided by the mean.

    >>> imbalance([1.0, 1.0, 4.0])
    2.0
    """
    return max(values) / (sum(values) / len(values))


def show_routing(seeds: int, seconds: float) -> None:
    """Prints the comparison of routers at 70 % of capacity."""
    typer.echo(
        "| router | first token p50 s | p95 s | prefix hits"
        " | imbalance | refused |"
    )
    typer.echo("| --- | --- | --- | --- | --- | --- |")
    for router in ("figford", "round robin", "least outstanding"):
        first_token = load.Sample()
        cache_hits = served = refused = offered = 0
        imbalances = []
        for seed in range(1, seeds + 1):
            accounts = {f"a{i}": 1.0 for i in range(10)}
            traffic = Traffic(seed, router, capacity() * 0.7, accounts)
            tally = traffic.run(seconds)
            first_token.values += tally.first_token.values
            cache_hits += sum(
                group.cache_hits for group in traffic.fake_groups
            )
            served += sum(group.served for group in traffic.fake_groups)
            refused += sum(tally.refused.values())
            offered += tally.offered
            imbalances.append(
                imbalance(
                    [group.busy_seconds for group in traffic.fake_groups]
                )
            )
        typer.echo(
            f"| {router} | {first_token.percentile(50):.3f}"
            f" | {first_token.percentile(95):.3f} | {cache_hits / served:.0%}"
            f" | {sum(imbalances) / len(imbalances):.2f}"
            f" | {refused / offered:.1%} |"
        )


def show_limits(seconds: float) -> None:
    """Prints goodput under overload, with a greedy account or lost groups."""
    even = {f"a{i}": 1.0 for i in range(10)}
    greedy = {**even, "a0": 10.0}
    cases = [
        ("1x of capacity", 1.0, even, 0),
        ("2x of capacity", 2.0, even, 0),
        ("4x of capacity", 4.0, even, 0),
        ("one account at ten times its share", 1.9, greedy, 0),
        ("half the groups lost, 1x", 1.0, even, GROUPS // 2),
    ]
    typer.echo(
        "| case | offered/s | good/s | first token p95 s | refused"
        " | good share of the small accounts | of a0 |"
    )
    typer.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for title, factor, accounts, lost in cases:
        traffic = Traffic(
            1, "figford", capacity() * factor, accounts, lost_groups=lost
        )
        tally = traffic.run(seconds)
        small_accounts = [name for name in accounts if name != "a0"]
        good = sum(tally.good_by_account[name] for name in small_accounts)
        offered = sum(
            tally.offered_by_account[name] for name in small_accounts
        )
        greedy_share = (
            tally.good_by_account["a0"] / tally.offered_by_account["a0"]
        )
        kinds = ", ".join(
            f"{kind} {count / tally.offered:.0%}"
            for kind, count in sorted(tally.refused.items())
        )
        typer.echo(
            f"| {title} | {tally.offered / seconds:.0f}"
            f" | {tally.good / seconds:.0f}"
            f" | {tally.first_token.percentile(95):.2f}"
            f" | {kinds or '-'} | {good / offered:.0%} | {greedy_share:.0%} |"
        )


def run(seeds: int = 5, seconds: float = 120.0) -> None:
    """Prints both comparisons."""
    typer.echo(f"capacity without cache hits: {capacity():.0f} requests/s")
    show_routing(seeds, seconds)
    show_limits(seconds)


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
