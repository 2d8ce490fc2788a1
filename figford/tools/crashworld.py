"""Emulates upstreams that crash under requests, in virtual time.

Requests arrive at random entries and join the batch of a random upstream. One
with a crashing part ends its upstream when its answer begins; the whole batch
breaks. Requests of a broken batch are repeated by their entry if its policy
allows that, and by their caller, once, at another entry. Some requests come
again and again, and crash each upstream.
"""

import datetime
import heapq
import itertools
import random
import typing

import attrs

from figford import crashes
from figford import crashguard
from figford import crashjudge
from figford import evidence
from figford import fleetmessages

SECOND = datetime.timedelta(seconds=1)
STEP = datetime.timedelta(milliseconds=10)
BEGIN_SECONDS = (0.1, 0.4)
ANSWER_SECONDS = (0.5, 1.5)
DOWN = 3 * SECOND
# A caller comes back to another entry after this time.
CALLER_RETRY_SECONDS = (0.1, 0.5)
FIRST_PARTS = 60
KEYS = 10
MAX_ATTEMPTS = 2
# A request that comes again does so after this time.
RETURN_SECONDS = (0.5, 4.0)


@attrs.define(eq=False)
class Request:
    """One attempt of a caller."""

    number: int
    entry: str
    key: int
    suspect: fleetmessages.Suspect
    # The prompt part with which it crashes upstreams, or its digest.
    crashing_part: str | None = None
    caller_retries: int = 1
    attempts: int = 0
    has_begun: bool = False
    sent_at: datetime.timedelta = 0 * SECOND


@attrs.define
class Upstream:
    """The head of a group and its batch."""

    name: str
    incarnation: int = 1
    up_at: datetime.timedelta = 0 * SECOND
    batch: list[Request] = attrs.field(factory=list)


@attrs.define
class Figures:
    """What a run counted."""

    crashes: int = 0
    crashes_by_part: dict[str, int] = attrs.field(factory=dict)
    sent_by_part: dict[str, list[datetime.timedelta]] = attrs.field(
        factory=dict
    )
    sound: int = 0
    sound_answered: int = 0
    # Sound requests that were refused by a verdict, and verdicts of parts
    # that crash nothing.
    sound_convicted: int = 0
    wrong_verdicts: int = 0
    messages: int = 0


class Policy(typing.Protocol):
    """Decides what entries refuse and repeat."""

    def serves(self, entry: str) -> bool:
        """Returns whether an entry takes requests."""

    def refuses(self, request: Request, now: datetime.timedelta) -> bool:
        """Returns whether a request is refused before it is sent."""

    def began(self, request: Request, now: datetime.timedelta) -> None:
        """Records an answer that went on past its beginning."""

    def crashed(
        self, upstream: Upstream, batch: list[Request], now: datetime.timedelta
    ) -> None:
        """Records a crash and the requests that broke."""

    def take_repeats(self, now: datetime.timedelta) -> list[Request]:
        """Returns the requests that their entries send again now."""

    def take_refused(self) -> list[Request]:
        """Returns the broken requests that are not sent again."""


@attrs.define
class CrashWorld:
    """Callers, entries and upstreams under one policy."""

    policy: Policy
    rng: random.Random
    entries: tuple[str, ...]
    requests_per_second: float = 60.0
    upstreams: int = 24
    slots: int = 13
    # The share of requests with each crashing part.
    share_by_part: dict[str, float] = attrs.field(factory=dict)
    # Crashes a second that no request causes.
    other_crashes: float = 0.0
    # Whether requests have prompt parts.
    with_parts: bool = True
    now: datetime.timedelta = 10 * SECOND
    figures: Figures = attrs.field(factory=Figures)
    crashing_requests: set[str] = attrs.field(factory=set)
    _fleet: list[Upstream] = attrs.field(init=False)
    _numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)
    _due: list[tuple[datetime.timedelta, int, typing.Callable]] = attrs.field(
        factory=list
    )

    def __attrs_post_init__(self) -> None:
        """Starts all upstreams."""
        self._fleet = [Upstream(f"u{i}") for i in range(self.upstreams)]

    def keep_upstreams(self, count: int) -> None:
        """Removes all upstreams but these."""
        del self._fleet[count:]

    def send_again_and_again(self, suspect: fleetmessages.Suspect) -> None:
        """Sends a request that crashes upstreams, now and later again."""
        self.crashing_requests.add(suspect.request)
        self._arrive(
            Request(
                next(self._numbers),
                self.rng.choice(self.entries),
                0,
                suspect,
                suspect.request,
            )
        )
        self._later(
            self.rng.uniform(*RETURN_SECONDS),
            lambda: self.send_again_and_again(suspect),
        )

    def run(self, seconds: float) -> Figures:
        """Advances virtual time; returns all counts so far."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.step()
        return self.figures

    def step(self) -> None:
        """Advances virtual time by one step."""
        self.now += STEP
        while self._due and self._due[0][0] <= self.now:
            heapq.heappop(self._due)[2]()
        expected = self.requests_per_second * (STEP / SECOND)
        while self.rng.random() < expected:
            expected -= 1.0
            self._arrive(self._new_request())
        if self.rng.random() < self.other_crashes * (STEP / SECOND):
            up = self._serving()
            if up:
                self._crash(self.rng.choice(up), None)
        for request in self.policy.take_repeats(self.now):
            self._place(request)
        for request in self.policy.take_refused():
            self._caller_retry(request)

    def _later(self, seconds: float, action: typing.Callable) -> None:
        due = self.now + seconds * SECOND
        heapq.heappush(self._due, (due, next(self._numbers), action))

    def _new_request(self) -> Request:
        number = next(self._numbers)
        first = f"first{int(FIRST_PARTS * self.rng.random() ** 2)}"
        parts = [first] if self.with_parts else []
        drawn = self.rng.random()
        crashing = None
        for part, share in self.share_by_part.items():
            if 0 <= drawn < share:
                crashing = part
                parts.append(part)
            drawn -= share
        self.figures.sound += crashing is None
        if crashing is not None:
            self.crashing_requests.add(f"r{number}")
        return Request(
            number,
            self.rng.choice(self.entries),
            self.rng.randrange(KEYS),
            fleetmessages.Suspect(f"r{number}", parts),
            crashing,
        )

    def _arrive(self, request: Request) -> None:
        if not self.policy.serves(request.entry):
            return
        if self.policy.refuses(request, self.now):
            if request.crashing_part is None:
                self.figures.sound_convicted += 1
            return
        self._place(request)

    def _serving(self) -> list[Upstream]:
        return [item for item in self._fleet if item.up_at <= self.now]

    def _place(self, request: Request) -> None:
        free = [
            item for item in self._serving() if len(item.batch) < self.slots
        ]
        if not free:
            self._caller_retry(request)
            return
        upstream = self.rng.choice(free)
        request.attempts += 1
        request.has_begun = False
        request.sent_at = self.now
        upstream.batch.append(request)
        if request.crashing_part is not None:
            self.figures.sent_by_part.setdefault(
                request.crashing_part, []
            ).append(self.now)
        incarnation = upstream.incarnation
        self._later(
            self.rng.uniform(*BEGIN_SECONDS),
            lambda: self._begin(request, upstream, incarnation),
        )

    def _begin(
        self, request: Request, upstream: Upstream, incarnation: int
    ) -> None:
        if upstream.incarnation != incarnation:
            return
        if request not in upstream.batch:
            return
        if request.crashing_part is not None:
            self._crash(upstream, request.crashing_part)
            return
        request.has_begun = True
        self.policy.began(request, self.now)
        self._later(
            self.rng.uniform(*ANSWER_SECONDS),
            lambda: self._end(request, upstream, incarnation),
        )

    def _end(
        self, request: Request, upstream: Upstream, incarnation: int
    ) -> None:
        if upstream.incarnation == incarnation:
            upstream.batch.remove(request)
            self.figures.sound_answered += 1

    def _crash(self, upstream: Upstream, part: str | None) -> None:
        self.figures.crashes += 1
        if part is not None:
            counts = self.figures.crashes_by_part
            counts[part] = counts.get(part, 0) + 1
        batch, upstream.batch = upstream.batch, []
        crashed = attrs.evolve(upstream, batch=[])
        upstream.incarnation += 1
        upstream.up_at = self.now + DOWN
        self.policy.crashed(crashed, batch, self.now)

    def _caller_retry(self, request: Request) -> None:
        if not request.caller_retries:
            return
        again = attrs.evolve(
            request,
            entry=self.rng.choice(self.entries),
            caller_retries=request.caller_retries - 1,
            attempts=0,
            has_begun=False,
        )
        self._later(
            self.rng.uniform(*CALLER_RETRY_SECONDS),
            lambda: self._arrive(again),
        )


@attrs.define
class Repeating:
    """Repeats every broken request, and refuses none."""

    repeats: bool = True
    _repeated: list[Request] = attrs.field(factory=list)
    _refused: list[Request] = attrs.field(factory=list)

    def serves(self, entry: str) -> bool:
        """Returns true."""
        return True

    def refuses(self, request: Request, now: datetime.timedelta) -> bool:
        """Returns false."""
        return False

    def began(self, request: Request, now: datetime.timedelta) -> None:
        """Ignores answers."""

    def crashed(
        self, upstream: Upstream, batch: list[Request], now: datetime.timedelta
    ) -> None:
        """Repeats the broken requests while they have attempts left."""
        for request in batch:
            again = self.repeats and request.attempts < MAX_ATTEMPTS
            (self._repeated if again else self._refused).append(request)

    def take_repeats(self, now: datetime.timedelta) -> list[Request]:
        """Returns the requests to repeat."""
        taken, self._repeated = self._repeated, []
        return taken

    def take_refused(self) -> list[Request]:
        """Returns the broken requests that are not repeated."""
        taken, self._refused = self._refused, []
        return taken


@attrs.define
class Counting(Repeating):
    """Refuses what was beginning at three crashes, by part or by key.

    The counts are shared at once by all entries.
    """

    by_key: bool = False
    limit: int = 3
    _count: dict[typing.Any, int] = attrs.field(factory=dict)

    def _names(self, request: Request) -> list[typing.Any]:
        return [request.key] if self.by_key else request.suspect.parts

    def refuses(self, request: Request, now: datetime.timedelta) -> bool:
        """Returns whether a part or the key was at too many crashes."""
        return any(
            self._count.get(name, 0) >= self.limit
            for name in self._names(request)
        )

    def crashed(
        self, upstream: Upstream, batch: list[Request], now: datetime.timedelta
    ) -> None:
        """Counts the parts or keys of the requests that were beginning."""
        names = {
            name
            for request in batch
            if not request.has_begun
            for name in self._names(request)
        }
        for name in names:
            self._count[name] = self._count.get(name, 0) + 1
        super().crashed(upstream, batch, now)


class ControlPlane(typing.Protocol):
    """Carries messages between the guards of entries and the judge."""

    def guard(self, entry: str) -> crashguard.CrashGuard | None:
        """Returns the guard of an entry; None while it is down."""

    def send_crash(
        self, entry: str, report: fleetmessages.CrashReport
    ) -> None:
        """Sends a report of an entry."""

    def hears_leader(self, entry: str) -> bool:
        """Returns whether an entry hears a leader."""

    def advance(self, now: datetime.timedelta) -> None:
        """Delivers what is due."""

    def take_rulings(self) -> list[tuple[str, fleetmessages.CrashRuling]]:
        """Returns the rulings that reached entries."""


@attrs.define
class Judged:
    """Refuses by verdicts; repeats what a crash is not blamed on."""

    control: ControlPlane
    _held: dict[tuple[str, str, int], list[Request]] = attrs.field(
        factory=dict
    )
    _repeated: list[Request] = attrs.field(factory=list)
    _refused: list[Request] = attrs.field(factory=list)

    def serves(self, entry: str) -> bool:
        """Returns whether the entry runs and knows its routes."""
        return self.control.guard(entry) is not None

    def refuses(self, request: Request, now: datetime.timedelta) -> bool:
        """Returns whether the entry knows a convicted trait."""
        guard = self.control.guard(request.entry)
        if guard is None:
            return True
        trait = guard.convicted_trait(lambda: request.suspect)
        if trait is None:
            return False
        guard.record_refused(trait)
        return not guard.take_probe(trait, now)

    def began(self, request: Request, now: datetime.timedelta) -> None:
        """Records an answer at the request's entry."""
        guard = self.control.guard(request.entry)
        if guard is not None:
            guard.record_survival(request.suspect, now)

    def crashed(
        self, upstream: Upstream, batch: list[Request], now: datetime.timedelta
    ) -> None:
        """Lets the entries of the broken requests report the crash."""
        for request in batch:
            guard = self.control.guard(request.entry)
            if guard is None:
                continue
            guard.collector.record(
                upstream.name,
                upstream.incarnation,
                upstream.name,
                None if request.has_begun else request.suspect,
                request.sent_at,
                now,
            )
            key = (request.entry, upstream.name, upstream.incarnation)
            self._held.setdefault(key, []).append(request)

    def take_repeats(self, now: datetime.timedelta) -> list[Request]:
        """Returns the requests that a crash was not blamed on."""
        for entry in sorted({key[0] for key in self._held}):
            guard = self.control.guard(entry)
            if guard is not None:
                self._settle(entry, guard, now)
        self.control.advance(now)
        for entry, ruling in self.control.take_rulings():
            self._rule(entry, ruling)
        taken, self._repeated = self._repeated, []
        return taken

    def _settle(
        self,
        entry: str,
        guard: crashguard.CrashGuard,
        now: datetime.timedelta,
    ) -> None:
        for item in guard.take_settled(lambda _: False, now):
            if not isinstance(item, crashes.Crash):
                continue
            report = item.report
            guard.record_crash(report, now)
            if self.control.hears_leader(entry):
                self.control.send_crash(entry, report)
                continue
            key = (report.upstream, report.incarnation)
            blamed = guard.table.blamed_requests(*key)
            self._rule(entry, fleetmessages.CrashRuling(*key, blamed))

    def _rule(self, entry: str, ruling: fleetmessages.CrashRuling) -> None:
        key = (entry, ruling.upstream, ruling.incarnation)
        for request in self._held.pop(key, ()):
            again = (
                request.has_begun
                or request.suspect.request not in ruling.blamed
            ) and request.attempts < MAX_ATTEMPTS
            (self._repeated if again else self._refused).append(request)

    def take_refused(self) -> list[Request]:
        """Returns the requests that are not repeated by their entry."""
        taken, self._refused = self._refused, []
        return taken


@attrs.define
class LocalControl:
    """One judge that always leads, and links with a delay."""

    entries: tuple[str, ...]
    delay: datetime.timedelta = datetime.timedelta(milliseconds=5)
    commit: datetime.timedelta = datetime.timedelta(milliseconds=15)
    judge: crashjudge.CrashJudge = attrs.field(factory=crashjudge.CrashJudge)
    messages: int = 0
    verdicts: dict[str, fleetmessages.Verdict] = attrs.field(factory=dict)
    revision: int = 0
    _guard_by_entry: dict[str, crashguard.CrashGuard] = attrs.field(init=False)
    _due: list[tuple[datetime.timedelta, int, typing.Callable]] = attrs.field(
        factory=list
    )
    _numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)
    _rulings: list[tuple[str, fleetmessages.CrashRuling]] = attrs.field(
        factory=list
    )
    _now: datetime.timedelta = 10 * SECOND

    def __attrs_post_init__(self) -> None:
        """Starts the guards and the judge's term."""
        self._guard_by_entry = {
            name: crashguard.CrashGuard() for name in self.entries
        }
        self.judge.start(1, self._now)

    def guard(self, entry: str) -> crashguard.CrashGuard:
        """Returns the guard of an entry."""
        return self._guard_by_entry[entry]

    def hears_leader(self, entry: str) -> bool:
        """Returns true."""
        return True

    def take_rulings(self) -> list[tuple[str, fleetmessages.CrashRuling]]:
        """Returns the rulings that reached entries."""
        taken, self._rulings = self._rulings, []
        return taken

    def _send(
        self, action: typing.Callable[[datetime.timedelta], None]
    ) -> None:
        self.messages += 1
        self._later(self.delay, action)

    def _later(self, delay: datetime.timedelta, action: typing.Any) -> None:
        heapq.heappush(
            self._due, (self._now + delay, next(self._numbers), action)
        )

    def send_crash(
        self, entry: str, report: fleetmessages.CrashReport
    ) -> None:
        """Sends a report with what clears its suspects."""
        traits = {
            trait
            for suspect in report.suspects
            for trait in evidence.traits(suspect)
        }
        known = self.guard(entry).survivals(sorted(traits), self._now)
        self._send(lambda now: self.judge.receive_survivals(known, now))
        self._send(lambda now: self.judge.receive_crash(entry, report, now))

    def advance(self, now: datetime.timedelta) -> None:
        """Delivers messages and carries out the judge's decisions."""
        self._now = now
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2](now)
        for entry, guard in self._guard_by_entry.items():
            survived = guard.take_survivals(now)
            if survived is not None:
                self._send(
                    lambda now, told=survived: self.judge.receive_survivals(
                        told, now
                    )
                )
        for decision in self.judge.decide(self.verdicts, now):
            self._carry_out(decision)

    def _carry_out(self, decision: crashjudge.Decision) -> None:
        match decision:
            case crashjudge.Query(query):
                for entry in self.entries:
                    self._send(
                        lambda now, entry=entry: self._ask(entry, query, now)
                    )
            case crashjudge.Ruling(entries, ruling):
                for entry in entries:
                    self._send(
                        lambda _, entry=entry: self._rulings.append(
                            (entry, ruling)
                        )
                    )
            case crashjudge.Propose(fleetmessages.Convict(trait, count)):
                self._later(self.commit, lambda _: self._convict(trait, count))
            case crashjudge.Propose(fleetmessages.LiftVerdict(trait)):
                self._later(self.commit, lambda _: self._lift(trait))

    def _ask(
        self,
        entry: str,
        query: fleetmessages.SurvivalQuery,
        now: datetime.timedelta,
    ) -> None:
        reply = self.guard(entry).answer_query(query, now)
        self._send(lambda now: self.judge.receive_survivals(reply, now))

    def _convict(self, trait: str, count: int) -> None:
        self.verdicts[trait] = fleetmessages.Verdict(trait, count)
        self._tell_verdicts()

    def _lift(self, trait: str) -> None:
        if self.verdicts.pop(trait, None) is not None:
            self.judge.verdict_lifted(trait)
            self._tell_verdicts()

    def _tell_verdicts(self) -> None:
        self.revision += 1
        told = fleetmessages.Verdicts(
            self.revision, list(self.verdicts.values())
        )
        for guard in self._guard_by_entry.values():
            self._send(lambda _, guard=guard: guard.apply(told))
