"""What an entry knows of requests that crash upstreams.

It reports crashes with the requests that were beginning, remembers the traits
of answers that went on, and refuses requests with convicted traits. While it
hears no leader it judges by its own evidence; what it then convicts ends when
a leader is heard, which gets the evidence.
"""

import collections
import datetime
import typing

import attrs

from figford import crashes
from figford import crashrecords
from figford import evidence
from figford import fleetmessages
from figford import repeatedrequests

# An entry that has not heard a leader for this long judges by itself.
LEADER_TIMEOUT = datetime.timedelta(seconds=1)
# Its own verdicts stay in force this long after a leader was heard, which by
# then has judged the evidence.
OWN_VERDICT_OVERLAP = datetime.timedelta(seconds=5)
# Answers reported for each query, and traits that are reported on.
REPORTS_PER_QUERY = 4
MAX_WATCHED_TRAITS = 1024
# Reports that a controller is sent when its link comes up.
MAX_RECENT_REPORTS = 64
DEMAND_INTERVAL = datetime.timedelta(seconds=1)
# A request that the leader asks about is not sent again for this long, in
# which a verdict on it comes.
TRIAL_TIME = datetime.timedelta(milliseconds=150)
# A probe that no request used within this time is void.
PROBE_VALIDITY = datetime.timedelta(seconds=5)


@attrs.define
class CrashGuard:
    """Verdicts, evidence and reports of one entry."""

    collector: crashes.CrashCollector = attrs.field(
        factory=crashes.CrashCollector
    )
    table: evidence.EvidenceTable = attrs.field(factory=evidence.EvidenceTable)
    revision: int = 0
    _verdict_by_trait: dict[str, fleetmessages.Verdict] = attrs.field(
        factory=dict
    )
    # When the verdicts of this entry alone end, by trait.
    _own_verdicts: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    # Reports still to send about a trait, by trait.
    _watched: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    # Requests that are not sent now, and until when.
    _trial_end_by_trait: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )
    _survived_at_by_trait: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )
    _recent: collections.deque[
        tuple[datetime.timedelta, fleetmessages.CrashReport]
    ] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT_REPORTS)
    )
    _probe_expires_by_trait: dict[str, datetime.timedelta] = attrs.field(
        factory=dict
    )
    _demanded: set[str] = attrs.field(factory=set)
    _demand_due: datetime.timedelta = datetime.timedelta(0)

    # ---- Verdicts -------------------------------------------------------

    @property
    def verdicts(self) -> list[fleetmessages.Verdict]:
        """Returns the verdicts that this entry was told."""
        return list(self._verdict_by_trait.values())

    @property
    def own_verdicts(self) -> list[str]:
        """Returns the traits that this entry convicted by itself."""
        return sorted(self._own_verdicts)

    def apply(self, told: fleetmessages.Verdicts) -> bool:
        """Applies verdicts unless newer ones are known; returns whether."""
        if told.revision <= self.revision:
            return False
        self.revision = told.revision
        before = self._verdict_by_trait
        self._verdict_by_trait = {
            verdict.trait: verdict for verdict in told.verdicts
        }
        for trait in before:
            if trait not in self._verdict_by_trait:
                self._forget(trait)
        return True

    def _forget(self, trait: str) -> None:
        """Forgets the evidence against a trait that is no longer convicted."""
        self.table.forget(trait)
        self._own_verdicts.pop(trait, None)
        kept = [
            (at, report)
            for at, report in self._recent
            if not any(
                trait in evidence.traits(suspect)
                for suspect in report.suspects
            )
        ]
        self._recent.clear()
        self._recent.extend(kept)

    def convicted_trait(
        self, suspect_of: typing.Callable[[], fleetmessages.Suspect]
    ) -> str | None:
        """Returns why a request is to be refused; None if it isn't."""
        if not self._verdict_by_trait and not self._own_verdicts:
            return None
        return self._first_convicted(suspect_of())

    def _first_convicted(self, suspect: fleetmessages.Suspect) -> str | None:
        return next(
            (
                trait
                for trait in evidence.traits(suspect)
                if trait in self._verdict_by_trait
                or trait in self._own_verdicts
            ),
            None,
        )

    def is_on_trial(
        self,
        suspect_of: typing.Callable[[], fleetmessages.Suspect],
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether a request waits for a verdict that may come."""
        if not self._trial_end_by_trait:
            return False
        trait = evidence.request_trait(suspect_of().request)
        ends_at = self._trial_end_by_trait.get(trait)
        return ends_at is not None and now < ends_at

    def record_refused(self, trait: str) -> None:
        """Records that a request was refused because of a trait."""
        self._demanded.add(trait)

    def grant_probe(
        self, grant: fleetmessages.ProbeGrant, now: datetime.timedelta
    ) -> None:
        """Lets one request with a convicted trait through."""
        self._probe_expires_by_trait[grant.trait] = now + PROBE_VALIDITY
        self._watched[grant.trait] = REPORTS_PER_QUERY

    def take_probe(self, trait: str, now: datetime.timedelta) -> bool:
        """Uses the probe of a trait; returns whether there was one."""
        expires_at = self._probe_expires_by_trait.pop(trait, None)
        return expires_at is not None and now < expires_at

    # ---- Evidence -------------------------------------------------------

    def record_survival(
        self, suspect: fleetmessages.Suspect, now: datetime.timedelta
    ) -> None:
        """Records an answer that went on past its beginning."""
        for trait in evidence.traits(suspect):
            self.table.add_survival(trait, now)
            if trait in self._watched:
                self._survived_at_by_trait[trait] = now

    def may_be_blamed(
        self, suspect: fleetmessages.Suspect, now: datetime.timedelta
    ) -> bool:
        """Returns whether a request has parts that no answer cleared."""
        return bool(suspect.parts) and self.table.may_be_blamed(suspect, now)

    def take_settled(
        self,
        is_connected: typing.Callable[[str], bool],
        now: datetime.timedelta,
    ) -> list[crashes.Crash | crashes.Reset]:
        """Returns what broke attempts, once the connections are settled."""
        return self.collector.take_settled(is_connected, now)

    def record_crash(
        self, report: fleetmessages.CrashReport, now: datetime.timedelta
    ) -> None:
        """Records a crash after its upstream's address was probed."""
        if report.suspects:
            self.table.add_crash(report, now)
            self._recent.append((now, report))

    def recent_reports(
        self, now: datetime.timedelta
    ) -> list[fleetmessages.CrashReport]:
        """Returns the reports that a controller may not have got."""
        return [
            attrs.evolve(report, age=report.age + now - at)
            for at, report in self._recent
            if now - at <= crashrecords.MAX_AGE
        ]

    def survivals(
        self, traits: typing.Iterable[str], now: datetime.timedelta
    ) -> fleetmessages.SurvivalReport:
        """Returns the latest answers with these traits."""
        known = {}
        for trait in traits:
            at = self.table.last_survival(trait)
            if at is not None and now - at <= crashrecords.MAX_AGE:
                known[trait] = now - at
        return fleetmessages.SurvivalReport(list(known), list(known.values()))

    def answer_query(
        self, query: fleetmessages.SurvivalQuery, now: datetime.timedelta
    ) -> fleetmessages.SurvivalReport:
        """Answers a query, and reports on its traits for a while.

        Requests that it names are on trial.
        """
        for trait, ends_at in list(self._trial_end_by_trait.items()):
            if now >= ends_at:
                del self._trial_end_by_trait[trait]
        for trait in query.traits:
            if not evidence.is_part(trait):
                self._trial_end_by_trait[trait] = now + TRIAL_TIME
        for trait in query.traits:
            self._watched[trait] = REPORTS_PER_QUERY
            self._watched.move_to_end(trait)
        while len(self._watched) > MAX_WATCHED_TRAITS:
            self._watched.popitem(last=False)
        return self.survivals(query.traits, now)

    def take_survivals(
        self, now: datetime.timedelta
    ) -> fleetmessages.SurvivalReport | None:
        """Returns a report of new answers with traits that are watched."""
        if not self._survived_at_by_trait:
            return None
        survived, self._survived_at_by_trait = self._survived_at_by_trait, {}
        for trait in survived:
            left = self._watched.pop(trait, 1) - 1
            if left:
                self._watched[trait] = left
        ages = [now - at for at in survived.values()]
        return fleetmessages.SurvivalReport(list(survived), ages)

    def take_demand(
        self, now: datetime.timedelta
    ) -> fleetmessages.VerdictDemand | None:
        """Returns the traits of requests that were refused lately."""
        if not self._demanded or now < self._demand_due:
            return None
        self._demand_due = now + DEMAND_INTERVAL
        demanded, self._demanded = self._demanded, set()
        return fleetmessages.VerdictDemand(sorted(demanded))

    # ---- Without a leader -----------------------------------------------

    def judge_alone(
        self, hears_leader: bool, now: datetime.timedelta
    ) -> list[str]:
        """Judges by own evidence without a leader; returns new verdicts."""
        if hears_leader:
            for trait, ends_at in list(self._own_verdicts.items()):
                if now >= ends_at:
                    del self._own_verdicts[trait]
            return []
        convicted = {*self._own_verdicts, *self._verdict_by_trait}
        new = sorted(
            self.table.judge(
                convicted, fresh_since=now - repeatedrequests.FRESH_TIME
            )
        )
        for trait in (*self._own_verdicts, *new):
            self._own_verdicts[trait] = now + OWN_VERDICT_OVERLAP
        return new
