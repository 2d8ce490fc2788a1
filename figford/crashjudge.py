"""Collects the crashes that all entries saw and decides what to refuse.

Runs at every controller. Each keeps the evidence; only the leader of the log
asks entries for answers that clear traits, rules which requests of a crash may
be repeated, and proposes verdicts. A verdict is in force once it is committed.
Three times, at growing intervals, one entry lets one request with a convicted
trait through, to test whether it still crashes upstreams; an answer lifts the
verdict. After that only an operator does.
"""

import datetime
import typing

import attrs

from figford import evidence
from figford import fleetmessages
from figford import repeatedrequests

# Entries answer a query within this time; then the crash is ruled on.
ANSWER_WAIT = datetime.timedelta(milliseconds=60)
# Part of it in which what arrives must have been read; a process that was late
# finds its timers due before its data.
READ_WAIT = ANSWER_WAIT / 2
# A crash whose suspects were all cleared counts after this time, in which
# further answers may clear them.
CLEARED_WAIT = datetime.timedelta(seconds=1)
# Answers that come later shift the blame of crashes; this bounds how often
# all crashes are judged again.
SURVIVALS_WAIT = datetime.timedelta(milliseconds=500)
# A verdict is proposed again if it was not committed within this time.
PROPOSAL_INTERVAL = datetime.timedelta(seconds=1)
# A probe may cost a group.
PROBE_INTERVALS = (
    datetime.timedelta(minutes=2),
    datetime.timedelta(minutes=20),
    datetime.timedelta(hours=3),
)
# No two probes in the fleet are closer than this.
PROBE_SPACING = datetime.timedelta(minutes=1)
# Only an entry that refused such a request this lately is granted a probe.
DEMAND_VALIDITY = datetime.timedelta(seconds=2)
# The idlest verdict makes room for a new one.
MAX_VERDICTS = 200
# Requests that are named in the log line of a ruling.
MAX_LOGGED_SUSPECTS = 16


@attrs.frozen
class Query:
    """Ask all entries for answers with these traits."""

    message: fleetmessages.SurvivalQuery


@attrs.frozen
class Ruling:
    """Tell these entries which requests of a crash are blamed."""

    entries: list[str]
    message: fleetmessages.CrashRuling


@attrs.frozen
class Grant:
    """Let an entry send one request with a convicted trait."""

    entry: str
    message: fleetmessages.ProbeGrant


@attrs.frozen
class Propose:
    """Propose a command to the log."""

    command: (
        fleetmessages.Convict
        | fleetmessages.RecordProbe
        | fleetmessages.LiftVerdict
    )


Decision = Query | Ruling | Grant | Propose


@attrs.define
class _OpenCrash:
    """A crash that is to be ruled on, and the entries that reported it."""

    entries: set[str] = attrs.field(factory=set)
    due: datetime.timedelta | None = None
    # Answers that arrived until then must have been read.
    read_due: datetime.timedelta = datetime.timedelta(0)


@attrs.define
class _Demand:
    """The entry that last refused requests with a trait."""

    entry: str
    at: datetime.timedelta


@attrs.define
class _ProbeTimer:
    """When this leader may let the next request with a trait through."""

    probes: int
    due: datetime.timedelta


@attrs.define
class CrashJudge:
    """The evidence of one controller and, while it leads, its decisions."""

    table: evidence.EvidenceTable = attrs.field(factory=evidence.EvidenceTable)
    term: int = 0
    _open_by_key: dict[evidence.CrashKey, _OpenCrash] = attrs.field(
        factory=dict
    )
    # Crashes that were ruled on, but don't count yet.
    _count_from_by_key: dict[evidence.CrashKey, datetime.timedelta] = (
        attrs.field(factory=dict)
    )
    _judge_due: datetime.timedelta | None = None
    _proposed_at_by_trait: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )
    _demand_by_trait: dict[str, _Demand] = attrs.field(factory=dict)
    _timer_by_trait: dict[str, _ProbeTimer] = attrs.field(factory=dict)
    _granted_by_trait: dict[str, int] = attrs.field(factory=dict)
    _probe_allowed_at: datetime.timedelta = datetime.timedelta(0)
    _probed_at_by_trait: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )

    def start(self, term: int, now: datetime.timedelta) -> None:
        """Starts a term as leader; judges anew what was reported."""
        self.term = term
        self._judge_due = now + ANSWER_WAIT
        self._proposed_at_by_trait.clear()
        self._timer_by_trait.clear()
        self._granted_by_trait.clear()
        self._probed_at_by_trait.clear()
        self._probe_allowed_at = now

    # ---- Evidence -------------------------------------------------------

    def receive_crash(
        self,
        entry: str,
        report: fleetmessages.CrashReport,
        now: datetime.timedelta,
    ) -> None:
        """Adds an entry's report; the crash is ruled on soon."""
        self.table.add_crash(report, now)
        key = (report.upstream, report.incarnation)
        opened = self._open_by_key.setdefault(key, _OpenCrash())
        opened.entries.add(entry)
        while len(self._open_by_key) > evidence.MAX_CRASHES:
            del self._open_by_key[next(iter(self._open_by_key))]

    def settle_unconfirmed(
        self,
        has_ended: typing.Callable[
            [str, int, datetime.timedelta], bool | None
        ],
        now: datetime.timedelta,
    ) -> None:
        """Confirms or drops crashes by what is known of their upstreams."""
        if self.table.settle_unconfirmed(has_ended):
            self._judge_by(now)

    def verdict_lifted(self, trait: str) -> None:
        """Forgets the evidence against a trait that is no longer convicted."""
        self.table.forget(trait)

    def receive_survivals(
        self, report: fleetmessages.SurvivalReport, now: datetime.timedelta
    ) -> None:
        """Adds answers that went on past their beginning."""
        for trait, age in zip(report.traits, report.ages):
            self.table.add_survival(trait, now - age)
        self._judge_by(now + SURVIVALS_WAIT)

    def _judge_by(self, due: datetime.timedelta) -> None:
        if self._judge_due is None or due < self._judge_due:
            self._judge_due = due

    def receive_demand(
        self,
        entry: str,
        demand: fleetmessages.VerdictDemand,
        now: datetime.timedelta,
    ) -> None:
        """Records the traits of requests that an entry refused."""
        for trait in demand.traits:
            self._demand_by_trait[trait] = _Demand(entry, now)

    # ---- Decisions of the leader ----------------------------------------

    def decide(
        self,
        verdicts: typing.Mapping[str, fleetmessages.Verdict],
        now: datetime.timedelta,
        read_until: datetime.timedelta | None = None,
    ) -> list[Decision]:
        """Returns what the leader does now; `verdicts` are committed.

        What arrived until `read_until` has been read, all where None.
        """
        if read_until is None:
            read_until = now
        decisions = self._rule(now, read_until)
        if self._judge_due is not None and now >= self._judge_due:
            self._judge_due = None
            decisions += self._judge(verdicts, now, read_until)
        return decisions + self._probe(verdicts, now)

    def _rule(
        self, now: datetime.timedelta, read_until: datetime.timedelta
    ) -> list[Decision]:
        """Queries about new crashes; rules on those that were answered."""
        decisions: list[Decision] = []
        asked: set[str] = set()
        for key, opened in list(self._open_by_key.items()):
            if opened.due is None:
                names, may_know = self.table.unclear_traits(*key)
                asked.update(names)
                opened.due = now
                if may_know:
                    opened.due += ANSWER_WAIT
                    opened.read_due = now + READ_WAIT
                else:
                    self._count_from_by_key[key] = now + CLEARED_WAIT
            if now >= opened.due and read_until >= opened.read_due:
                del self._open_by_key[key]
                self._judge_due = now
                blamed = self.table.blamed_requests(*key)
                decisions.append(
                    Ruling(
                        sorted(opened.entries),
                        fleetmessages.CrashRuling(*key, blamed),
                    )
                )
        if asked:
            query = fleetmessages.SurvivalQuery(sorted(asked))
            decisions.insert(0, Query(query))
        return decisions

    def ruling_detail(
        self,
        ruling: fleetmessages.CrashRuling,
        verdicts: typing.Collection[str],
    ) -> tuple[tuple[str, object], ...]:
        """Returns what to log of a ruling, with the suspects' scores."""
        scores = self.table.request_scores(
            ruling.upstream, ruling.incarnation, verdicts
        )
        highest = sorted(scores.items(), key=lambda item: -item[1])
        named = [f"{request}/{score:.2f}" for request, score in highest]
        return (
            ("upstream", ruling.upstream),
            ("incarnation", ruling.incarnation),
            ("suspects", len(scores)),
            ("blamed", ",".join(ruling.blamed[:MAX_LOGGED_SUSPECTS])),
            ("scores", ",".join(named[:MAX_LOGGED_SUSPECTS])),
        )

    def _judge(
        self,
        verdicts: typing.Mapping[str, fleetmessages.Verdict],
        now: datetime.timedelta,
        read_until: datetime.timedelta,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for key, count_from in list(self._count_from_by_key.items()):
            if read_until >= count_from:
                del self._count_from_by_key[key]
        if self._count_from_by_key:
            self._judge_by(min(self._count_from_by_key.values()))
        found = self.table.judge(
            verdicts,
            self._open_by_key,
            self._count_from_by_key,
            now - repeatedrequests.FRESH_TIME,
        )
        for trait, crashes in found.items():
            proposed_at = self._proposed_at_by_trait.get(trait)
            if proposed_at is not None and (
                now - proposed_at < PROPOSAL_INTERVAL
            ):
                continue
            self._proposed_at_by_trait[trait] = now
            self._judge_by(now + PROPOSAL_INTERVAL)
            if len(verdicts) >= MAX_VERDICTS:
                idlest = min(verdicts, key=self._last_demand)
                decisions.append(Propose(fleetmessages.LiftVerdict(idlest)))
            decisions.append(Propose(fleetmessages.Convict(trait, crashes)))
        for trait in self.table.covered_requests(verdicts) & set(verdicts):
            decisions.append(Propose(fleetmessages.LiftVerdict(trait)))
        return decisions

    def _last_demand(self, trait: str) -> datetime.timedelta:
        demand = self._demand_by_trait.get(trait)
        return demand.at if demand is not None else datetime.timedelta(0)

    # ---- Probes ---------------------------------------------------------

    def _probe(
        self,
        verdicts: typing.Mapping[str, fleetmessages.Verdict],
        now: datetime.timedelta,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for trait in list(self._timer_by_trait):
            if trait not in verdicts:
                del self._timer_by_trait[trait]
                self._demand_by_trait.pop(trait, None)
        for trait, verdict in verdicts.items():
            timer = self._timer_by_trait.get(trait)
            decisions += self._grant_committed(verdict, now)
            decisions += self._lift_survived(trait)
            if verdict.probes >= len(PROBE_INTERVALS):
                continue
            if timer is None or timer.probes != verdict.probes:
                due = now + PROBE_INTERVALS[verdict.probes]
                timer = _ProbeTimer(verdict.probes, due)
                self._timer_by_trait[trait] = timer
            if now >= timer.due:
                decisions += self._record_probe(trait, verdict, now)
        return decisions

    def _record_probe(
        self,
        trait: str,
        verdict: fleetmessages.Verdict,
        now: datetime.timedelta,
    ) -> list[Decision]:
        """Commits the count of a probe first, so that no other leads to it."""
        if not self._is_demanded(trait, now) or now < self._probe_allowed_at:
            return []
        self._probe_allowed_at = now + PROBE_SPACING
        self._granted_by_trait[trait] = verdict.probes + 1
        command = fleetmessages.RecordProbe(trait, verdict.probes)
        return [Propose(command)]

    def _grant_committed(
        self, verdict: fleetmessages.Verdict, now: datetime.timedelta
    ) -> list[Decision]:
        """Grants a probe whose count this leader has committed."""
        trait = verdict.trait
        if self._granted_by_trait.get(trait) != verdict.probes:
            return []
        del self._granted_by_trait[trait]
        if not self._is_demanded(trait, now):
            return []
        self._probed_at_by_trait[trait] = now
        entry = self._demand_by_trait[trait].entry
        return [Grant(entry, fleetmessages.ProbeGrant(trait))]

    def _lift_survived(self, trait: str) -> list[Decision]:
        probed_at = self._probed_at_by_trait.get(trait)
        survived_at = self.table.last_survival(trait)
        if probed_at is None or survived_at is None:
            return []
        if survived_at < probed_at:
            return []
        del self._probed_at_by_trait[trait]
        return [Propose(fleetmessages.LiftVerdict(trait))]

    def _is_demanded(self, trait: str, now: datetime.timedelta) -> bool:
        demand = self._demand_by_trait.get(trait)
        return demand is not None and now - demand.at <= DEMAND_VALIDITY
