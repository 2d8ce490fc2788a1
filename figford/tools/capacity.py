"""Measures costs on this machine and extrapolates them to the target's size.

Each cost is a straight line, fitted by least squares to at least four points.
The figures compared with the target's bounds derive from these lines and from
the sizes of encoded messages.
"""

import datetime
import gc
import json
import pathlib
import random
import tempfile
import time
import tracemalloc
import typing

import attrs
import typer

from figford import agreement
from figford import codec
from figford import control
from figford import follower
from figford import groups
from figford import ledger
from figford import membership
from figford import messages
from figford import node
from figford import operators
from figford import planning
from figford import routing
from figford import store

# ---- The target ---------------------------------------------------------

ENTRIES = 360
UPSTREAMS = 2_000
DATA_CENTRES = 13
GROUP_SIZE = 4
VOTERS = 7
CHANGES_PER_DAY = 10_000
REQUESTS_PER_SECOND = 1_700
TOKENS_PER_SECOND = 600_000
CORE_BOUND_PERCENT = 2.8
MEMORY_BOUND_MB = 64.0
TRAFFIC_BOUND_KB = 17.0
SECONDS_PER_DAY = 86_400
ENTRIES_PER_DATA_CENTRE = -(-ENTRIES // DATA_CENTRES)
UPSTREAMS_PER_DATA_CENTRE = -(-UPSTREAMS // DATA_CENTRES)
GROUPS_PER_DATA_CENTRE = UPSTREAMS_PER_DATA_CENTRE // GROUP_SIZE
LINKS_PER_ENTRY = ENTRIES_PER_DATA_CENTRE - 1 + DATA_CENTRES - 1 + 2
CLIENT_ACCOUNTS = 300

SECOND = datetime.timedelta(seconds=1)
MICROSECONDS_PER_SECOND = 1e6


@attrs.frozen
class Slope:
    """A straight line through measured points."""

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    per_item: float
    fixed: float
    r_squared: float

    def value_at(self, count: float) -> float:
        """Returns the value of the line at a count."""
        return self.fixed + self.per_item * count

    def row(self) -> str:
        """Returns a row of the table of slopes."""
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (
            f"| {self.name} | {self.unit} | {points} | {self.per_item:.4g}"
            f" | {self.fixed:.4g} | {self.r_squared:.3f} |"
        )


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Returns the least-squares line through at least four points.

    >>> round(fit("x", "y", [(1, 3), (2, 5), (3, 7), (4, 9)]).per_item, 6)
    2.0
    """
    if len(points) < 4:
        raise AssertionError("a slope needs at least four points")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    per_item = sum_xy / sum_xx
    fixed = mean_y - per_item * mean_x
    total_squares = sum((y - mean_y) ** 2 for _, y in points)
    residual_squares = sum((y - fixed - per_item * x) ** 2 for x, y in points)
    r_squared = 1 - residual_squares / total_squares if total_squares else 1.0
    return Slope(name, unit, tuple(points), per_item, fixed, r_squared)


def cpu_micros(action: typing.Callable[[], object], repeats: int) -> float:
    """Returns the minimum processor time of a call, in microseconds."""
    best = None
    for _ in range(5):
        started = time.process_time()
        for _ in range(repeats):
            action()
        per_call = (
            (time.process_time() - started) / repeats * MICROSECONDS_PER_SECOND
        )
        best = per_call if best is None else min(best, per_call)
    return best or 0.0


def allocated_kilobytes(make: typing.Callable[[], object]) -> float:
    """Returns the memory of an object and its contents, in kilobytes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1000


# ---- Test data ----------------------------------------------------------


def announcement(index: int, sequence: int) -> messages.Announcement:
    """Returns the announcement of an upstream in a complete group."""
    group, rank = divmod(index, GROUP_SIZE)
    return messages.Announcement(
        upstream=f"worker-{index:05}",
        incarnation=1_790_000_000_000,
        sequence=sequence,
        data_centre="dc01",
        fabric_domain=f"fabric-{index // 32}",
        address=f"10.1.{index // 250}.{index % 250}:9000",
        kind=messages.UpstreamKind.ENGINE,
        state=messages.UpstreamState.SERVING,
        models=["parque-70b"],
        seat=messages.Seat(
            f"chat.dc01.{group}", "chat", 17_000_000 + group, rank, GROUP_SIZE
        ),
        load=messages.Load(running=sequence % 32, step_microseconds=20_000),
        clock_ms=1_000_000 + sequence * 1000,
    )


PULSE = messages.Pulse(messages.PeerState(1_000_000, 100_000, False, True))


def peer_name(index: int) -> str:
    """Returns the name of an entry."""
    return f"entry-{index:04}"


def peer(index: int, data_centre: int = 1) -> messages.Peer:
    """Returns the peer record of an entry."""
    return messages.Peer(
        peer_name(index),
        1_790_000_000_000,
        1,
        f"dc{data_centre:02}",
        f"10.2.{index // 250}.{index % 250}:8081",
        f"10.2.{index // 250}.{index % 250}:8080",
        None,
        100,
    )


def document(items: int) -> dict:
    """Returns a configuration of client accounts and serving groups."""
    accounts = [
        operators.ClientAccount(
            name=f"account-{index}",
            key_digest=operators.key_digest(f"key-{index}"),
        )
        for index in range(items)
    ]
    return operators.Configuration(
        serving_groups=[
            operators.ServingGroup(
                name="chat",
                model="parque-70b",
                replicas={"dc01": GROUPS_PER_DATA_CENTRE},
                shape=operators.Replica(instances=GROUP_SIZE),
            )
        ],
        client_accounts=accounts,
        routing_rules=[
            operators.RoutingRule(
                name="all",
                accounts=[account.name for account in accounts],
                models=["chat"],
            )
        ],
        data_centres=[
            operators.DataCentre(name="dc01", entries=["entry-0001"])
        ],
    ).to_document()


def table_of(upstreams: int) -> membership.UpstreamTable:
    """Returns a table that holds this many upstreams."""
    table = membership.UpstreamTable("dc01")
    for index in range(upstreams):
        table.announce(announcement(index, 1), SECOND, True)
    return table


# ---- Slopes ---------------------------------------------------------------


def beat_batch(upstreams: int, sequence: int) -> messages.Announcements:
    """Returns the beats that this many upstreams send in one second."""
    table = table_of(upstreams)
    table.take_batch(SECOND)
    for index in range(upstreams):
        table.announce(announcement(index, sequence), SECOND * 2, True)
    batch = table.take_batch(SECOND * 3)
    if batch is None:
        raise AssertionError("no beats are due")
    return batch


UPSTREAM_POINTS = (40, 80, 160, 320)


def beats_cpu() -> Slope:
    """Measures receiving one second's beats of a data centre."""
    points = []
    for count in UPSTREAM_POINTS:
        data = codec.encode(beat_batch(count, 2), messages.PeerMessage)
        table = table_of(count)

        def receive(table: typing.Any = table, data: bytes = data) -> None:
            message = codec.decode(data, messages.PeerMessage)
            for beat in message.beats:
                known = table.by_name[beat.upstream]
                known.announcement = attrs.evolve(
                    known.announcement, sequence=1
                )
                table.beat(beat, SECOND * 3)

        points.append((float(count), cpu_micros(receive, 5)))
    return fit("beats received", "us/s by upstreams", points)


def beats_bytes() -> Slope:
    """Measures the bytes of the beats of one second."""
    points = [
        (
            float(count),
            float(
                len(codec.encode(beat_batch(count, 2), messages.PeerMessage))
            ),
        )
        for count in UPSTREAM_POINTS
    ]
    return fit("beats received", "bytes/s by upstreams", points)


def announcement_cpu() -> Slope:
    """Measures announcements that upstreams send to this entry itself."""
    points = []
    for count in (2, 4, 8, 16):
        table = table_of(count)
        texts = [
            json.dumps(
                codec.to_plain(announcement(index, 2), messages.Announcement)
            )
            for index in range(count)
        ]

        def receive(table: typing.Any = table, texts: list = texts) -> None:
            for text in texts:
                item = codec.from_plain(
                    json.loads(text), messages.Announcement
                )
                known = table.by_name[item.upstream]
                known.announcement = attrs.evolve(
                    known.announcement, sequence=1
                )
                table.announce(item, SECOND * 3, True)
            table.take_batch(SECOND * 60)

        points.append((float(count), cpu_micros(receive, 20)))
    return fit("announcements taken", "us/s by upstreams", points)


def heartbeat_cpu() -> Slope:
    """Measures receiving one second's heartbeats of linked peers."""
    points = []
    for count in (7, 14, 28, 56):
        table = membership.PeerTable(peer(0))
        encoded_pulses = [
            codec.encode(PULSE, messages.PeerMessage) for _ in range(count)
        ]
        for index in range(count):
            table.update(peer(index + 1))

        def receive(
            table: typing.Any = table, encoded_pulses: list = encoded_pulses
        ) -> None:
            for index, data in enumerate(encoded_pulses):
                message = codec.decode(data, messages.PeerMessage)
                table.update_from_pulse(
                    peer_name(index + 1), message.now, SECOND
                )

        points.append((float(count), cpu_micros(receive, 20)))
    return fit("heartbeats received", "us/s by links", points)


def heartbeat_bytes() -> float:
    """Returns the bytes of one heartbeat."""
    return len(codec.encode(PULSE, messages.PeerMessage))


def tick_cpu() -> Slope:
    """Measures the ticks of one second at an entry that knows peers."""
    points = []
    for count in (30, 90, 180, 360):
        table = membership.PeerTable(peer(0))
        for index in range(1, count):
            table.update_from_peer(
                peer(index, index % DATA_CENTRES + 1), SECOND
            )
        entry_node = node.Node(table, random.Random(1), SECOND)
        entry_node.follower.offer(messages.ConfigurationView(1, document(10)))
        now = SECOND * 2

        def run_one_second(entry_node: typing.Any = entry_node) -> None:
            for _ in range(20):
                entry_node.tick(now)

        points.append((float(count), cpu_micros(run_one_second, 3)))
    return fit("ticks", "us/s by known entries", points)


def plan_cpu() -> Slope:
    """Measures the planning rounds of one second."""
    points = []
    configuration = operators.Configuration.from_document(document(10))
    for count in UPSTREAM_POINTS:
        table = table_of(count)
        entry_planning = planning.Planning(
            "e", 1, "dc01", random.Random(1), SECOND
        )
        entry_planning.planner.start(1, SECOND * 0)
        now = SECOND * 3.5

        def run_one_second(
            entry_planning: typing.Any = entry_planning,
            table: typing.Any = table,
        ) -> None:
            for _ in range(4):
                view = planning.make_view(
                    configuration, table, frozenset({"e"}), now
                )
                entry_planning.planner.plan(view, now * 2, now)

        points.append((float(count), cpu_micros(run_one_second, 3)))
    return fit("planning", "us/s by upstreams", points)


def choice_cpu() -> Slope:
    """Measures choosing a group for one request."""
    points = []
    for count in (5, 10, 20, 40):
        table = groups.GroupTable(table_of(count * GROUP_SIZE))
        router = routing.Router(random.Random(1))
        capacity = routing.Capacity(32, ENTRIES_PER_DATA_CENTRE)

        def choose(table: typing.Any = table) -> None:
            views = [
                (view, table.load_of(view))
                for view in table.by_group(SECOND * 2).values()
            ]
            router.choose(views, capacity, 7, SECOND * 2)

        points.append((float(count), cpu_micros(choose, 200)))
    return fit("choice of a group", "us/request by groups", points)


def regroup_cpu() -> Slope:
    """Measures recomputing the complete groups after a change."""
    points = []
    for count in UPSTREAM_POINTS:
        fresh = table_of(count).fresh(SECOND * 2)
        points.append(
            (
                float(count),
                cpu_micros(lambda f=fresh: groups.complete_groups(f), 5),
            )
        )
    return fit("complete groups", "us/change by upstreams", points)


CONFIGURATION_POINTS = (50, 100, 200, 400)


def delta_cpu() -> Slope:
    """Measures applying one configuration change."""
    points = []
    for count in CONFIGURATION_POINTS:
        old = document(count)
        delta = _one_change(old)

        def apply_delta(old: dict = old, delta: typing.Any = delta) -> None:
            config_follower = follower.ConfigurationFollower()
            config_follower.view = messages.ConfigurationView(1, old)
            config_follower.offer_delta(delta)
            operators.Configuration.from_document(
                config_follower.view.document
            )

        points.append((float(count), cpu_micros(apply_delta, 2)))
    return fit("change taken", "us/change by accounts", points)


def _one_change(old: dict) -> messages.ConfigurationDelta:
    changed = dict(old["client_accounts"]["account-1"], weight=2.0)
    return messages.ConfigurationDelta(
        1, 2, {"client_accounts": {"account-1": changed}}
    )


def delta_bytes() -> float:
    """Returns the bytes of one configuration change on a link."""
    return len(codec.encode(_one_change(document(10)), messages.PeerMessage))


def document_bytes() -> Slope:
    """Measures the size of a complete configuration."""
    points = [
        (
            float(count),
            float(
                len(
                    codec.encode(
                        messages.ConfigurationView(1, document(count)),
                        messages.PeerMessage,
                    )
                )
            ),
        )
        for count in CONFIGURATION_POINTS
    ]
    return fit("whole configuration", "bytes by accounts", points)


@attrs.define
class _Cluster:
    """Voters connected in memory, to measure the cost of commits."""

    members: dict[str, agreement.Agreement]
    sent_bytes: int = 0

    @classmethod
    def make(cls, count: int) -> "_Cluster":
        voters = [f"v{index}" for index in range(count)]
        records = control.bootstrap_records(voters[0])
        first = messages.Entry(1, 1, SECOND * 0, messages.VoterChange(voters))
        records[-1] = messages.Appended([first])
        members = {}
        for voter in voters:
            member = agreement.Agreement(voter, random.Random(voter))
            member.restore(
                [messages.Identity(voter), *records[1:]], SECOND * 0
            )
            members[voter] = member
        cluster = cls(members)
        now = SECOND * 10
        cluster.deliver_all(voters[0], members[voters[0]].tick(now), now)
        return cluster

    def deliver_all(
        self, voter: str, output: agreement.Output, now: datetime.timedelta
    ) -> None:
        """Delivers messages until none are pending."""
        undelivered = [(voter, output)]
        while undelivered:
            source, voter_output = undelivered.pop(0)
            member = self.members[source]
            if voter_output.records:
                log = member.log
                undelivered.append(
                    (
                        source,
                        member.synced(log.last_index, log.last_term, now),
                    )
                )
            for addressed in voter_output.sends:
                data = codec.encode(addressed, messages.PeerMessage)
                self.sent_bytes += len(data)
                message = codec.decode(data, messages.PeerMessage).message
                target = self.members[addressed.voter]
                undelivered.append(
                    (addressed.voter, target.handle(message, now))
                )


def commit_costs() -> tuple[Slope, Slope]:
    """Measures processor time and bytes of a commit, all voters together."""
    cpu = []
    size = []
    for count in (1, 3, 5, 7):
        cluster = _Cluster.make(count)
        leader = cluster.members["v0"]
        now = SECOND * 11
        command = messages.ClaimCall(
            "account-1", "key", "d" * 64, "entry-0001@1", "attempt", SECOND
        )

        def commit(
            cluster: typing.Any = cluster, leader: typing.Any = leader
        ) -> None:
            cluster.deliver_all("v0", leader.propose(command, now)[1], now)

        cpu.append((float(count), cpu_micros(commit, 50)))
        before = cluster.sent_bytes
        commit()
        size.append((float(count), float(cluster.sent_bytes - before)))
    return (
        fit("commit, all voters together", "us by voters", cpu),
        fit("commit, all voters together", "bytes by voters", size),
    )


def sync_millis() -> float:
    """Returns the median time of a synced append, in milliseconds."""
    record = messages.Appended([messages.Entry(1, 1, SECOND, messages.Noop())])
    times = []
    with tempfile.TemporaryDirectory() as folder:
        journal = store.FileJournal(pathlib.Path(folder))
        journal.open()
        for _ in range(50):
            started = time.perf_counter()
            journal.append([record])
            times.append((time.perf_counter() - started) * 1000)
        journal.close()
    return sorted(times)[len(times) // 2]


def memory_slopes() -> list[Slope]:
    """Measures the memory of upstreams, peers, accounts and claims."""
    return [
        fit(
            "upstreams known",
            "kB by upstreams",
            [
                (float(n), allocated_kilobytes(lambda n=n: table_of(n)))
                for n in UPSTREAM_POINTS
            ],
        ),
        fit(
            "entries known",
            "kB by entries",
            [
                (float(n), allocated_kilobytes(lambda n=n: _peers(n)))
                for n in (30, 90, 180, 360)
            ],
        ),
        fit(
            "configuration",
            "kB by accounts",
            [
                (float(n), allocated_kilobytes(lambda n=n: _configuration(n)))
                for n in CONFIGURATION_POINTS
            ],
        ),
        fit(
            "claims (voters)",
            "kB by claims",
            [
                (float(n), allocated_kilobytes(lambda n=n: _claims(n)))
                for n in (250, 500, 1000, 2000)
            ],
        ),
    ]


def _peers(count: int) -> membership.PeerTable:
    table = membership.PeerTable(peer(0))
    for index in range(1, count + 1):
        table.update_from_peer(peer(index), SECOND)
    return table


def _configuration(count: int) -> tuple[dict, operators.Configuration]:
    plain = document(count)
    return plain, operators.Configuration.from_document(plain)


def _claims(count: int) -> ledger.Ledger:
    claim_ledger = ledger.Ledger()
    answer = messages.StoredAnswer(200, "application/json", b"x" * 200)
    for index in range(count):
        name = f"key-{index}"
        for command in (
            messages.ClaimCall("a", name, "d" * 64, "e@1", name, SECOND),
            messages.RecordOutcome("a", name, name, answer),
        ):
            claim_ledger.apply(
                messages.Entry(
                    claim_ledger.applied_index + 1, 1, SECOND * 0, command
                )
            )
    return claim_ledger


# ---- Report -------------------------------------------------------------


@attrs.define
class CapacityReport:
    """All slopes and the costs that they predict at the target's size."""

    slopes: dict[str, Slope] = attrs.field(factory=dict)

    def measure(self) -> None:
        """Measures every slope."""
        for name, measured in (
            ("beats", beats_cpu),
            ("beats bytes", beats_bytes),
            ("first hand", announcement_cpu),
            ("heartbeats", heartbeat_cpu),
            ("ticks", tick_cpu),
            ("planning", plan_cpu),
            ("choice", choice_cpu),
            ("regroup", regroup_cpu),
            ("delta", delta_cpu),
            ("document", document_bytes),
        ):
            self.slopes[name] = measured()
        self.slopes["commit"], self.slopes["commit bytes"] = commit_costs()
        for slope in memory_slopes():
            self.slopes[slope.name] = slope

    def print(self) -> None:
        """Prints the slopes and the cost of each role at the target's size."""
        typer.echo("| what | unit | points | slope | fixed | R² |")
        typer.echo("| --- | --- | --- | --- | --- | --- |")
        for slope in self.slopes.values():
            typer.echo(slope.row())
        typer.echo("")
        typer.echo(
            f"one heartbeat: {heartbeat_bytes():.0f} bytes; one change:"
            f" {delta_bytes():.0f} bytes; one synced append:"
            f" {sync_millis():.2f} ms (median)"
        )
        typer.echo("")
        typer.echo("| role | processor % of a core | kB/s | state kB |")
        typer.echo("| --- | --- | --- | --- |")
        for role, cpu, traffic, state in self.roles():
            typer.echo(
                f"| {role} | {cpu / 1e4:.2f} | {traffic / 1000:.1f}"
                f" | {state:.0f} |"
            )
        typer.echo(
            f"| bound | {CORE_BOUND_PERCENT} | {TRAFFIC_BOUND_KB} | see page |"
        )

    def roles(self) -> list[tuple[str, float, float, float]]:
        """Returns each role's us/s, bytes/s and kB of state at the target."""
        estimates = {
            name: slope.value_at for name, slope in self.slopes.items()
        }
        changes = CHANGES_PER_DAY / SECONDS_PER_DAY
        own_upstreams = UPSTREAMS_PER_DATA_CENTRE / ENTRIES_PER_DATA_CENTRE
        beats_sent = (
            self.slopes["beats bytes"].per_item
            * own_upstreams
            * (ENTRIES_PER_DATA_CENTRE - 1)
        )
        entry_cpu = (
            estimates["beats"](UPSTREAMS_PER_DATA_CENTRE)
            + estimates["first hand"](own_upstreams)
            + estimates["heartbeats"](LINKS_PER_ENTRY) * 2
            + estimates["ticks"](ENTRIES)
            + estimates["delta"](CLIENT_ACCOUNTS) * changes
        )
        entry_bytes = (
            estimates["beats bytes"](UPSTREAMS_PER_DATA_CENTRE)
            + beats_sent
            + heartbeat_bytes() * LINKS_PER_ENTRY * 2
            + delta_bytes() * changes * 2
        )
        entry_state = (
            estimates["upstreams known"](UPSTREAMS_PER_DATA_CENTRE)
            + estimates["entries known"](ENTRIES)
            + estimates["configuration"](CLIENT_ACCOUNTS)
        )
        planner_cpu = estimates["planning"](UPSTREAMS_PER_DATA_CENTRE)
        heartbeats = VOTERS / agreement.HEARTBEAT_INTERVAL.total_seconds()
        voter_cpu = (
            estimates["commit"](VOTERS) / VOTERS * (changes + heartbeats)
        )
        leader_bytes = estimates["commit bytes"](VOTERS) * (
            changes + heartbeats / 7
        )
        return [
            ("entry (follower)", entry_cpu, entry_bytes, entry_state),
            (
                "entry that plans its data centre",
                entry_cpu + planner_cpu,
                entry_bytes,
                entry_state,
            ),
            (
                "entry that leads the log",
                entry_cpu + voter_cpu,
                entry_bytes + leader_bytes,
                entry_state + estimates["claims (voters)"](10_000),
            ),
        ]


def run() -> None:
    """Measures and prints the report; takes about half a minute."""
    report = CapacityReport()
    report.measure()
    report.print()


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
