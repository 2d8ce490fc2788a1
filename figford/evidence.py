"""Judges which trait of requests crashes upstreams.

A trait is a prompt part, which requests share, or one whole request. The score
of either rises with crashes and falls by one with each answer that went on
past its beginning, to zero at the least (a cumulative sum test).

Single requests are judged by `repeatedrequests`. A part is at crashes by
chance too: each crash is blamed on the requests that were beginning at the
upstream, but for those whose parts were all in answers; the blame is shared
equally, and a part's score rises by its share. The threshold is higher while
there are many crashes without the part. Crashes that a convicted trait
explains count against no other.
"""

import collections
import datetime
import math
import typing

import attrs

from figford import crashrecords
from figford import fleetmessages
from figford import repeatedrequests

MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 256
# Two crashes under one request suffice if nothing else was beginning there:
# a repeat of the same request adds half, since the request may be the cause.
PART_THRESHOLD = 1.5
REPEAT_WEIGHT = 0.5
# A part that was answered before may begin to crash upstreams, with other
# weights for example; that needs more crashes than a part never answered.
CLEARED_WEIGHT = 0.5
# Parts that can't be told apart are convicted together at this score.
INSEPARABLE_THRESHOLD = 3.0
# The threshold of parts rises by NOISE_STEP with each doubling of the
# unexplained crashes without the part beyond this number.
QUIET_CRASHES = 4
NOISE_STEP = 0.5
# Crashes within this time may have one cause, such as a dark fabric domain;
# parts are at several of them at once, a request at one.
SAME_CAUSE_TIME = datetime.timedelta(milliseconds=200)
# No upstream that crashed is back within this time, under its former name.
RESTART_TIME = datetime.timedelta(seconds=1)
_EPSILON = 1e-6
# An upstream and its incarnation.
CrashKey = tuple[str, int]
_PART = "part:"


def part_trait(part: str) -> str:
    """Returns the trait of all requests with a prompt part."""
    return _PART + part


def request_trait(request: str) -> str:
    """Returns the trait of a request and its repeats by the caller."""
    return repeatedrequests.trait(request)


def is_part(trait: str) -> bool:
    """Returns whether a trait is a prompt part."""
    return trait.startswith(_PART)


def traits(suspect: fleetmessages.Suspect) -> list[str]:
    """Returns what may make a request crash upstreams, parts first."""
    return [
        *map(part_trait, suspect.parts),
        request_trait(suspect.request),
    ]


def clearable_traits(suspect: fleetmessages.Suspect) -> list[str]:
    """Returns the traits by which a request is judged at its first crash.

    Answers with all of them clear it.

    >>> clearable_traits(fleetmessages.Suspect("r", ["a"]))
    ['part:a']
    >>> clearable_traits(fleetmessages.Suspect("r", []))
    ['request:r']
    """
    if suspect.parts:
        return [part_trait(part) for part in suspect.parts]
    return [request_trait(suspect.request)]


@attrs.frozen
class _Blame:
    """The share of a crash's blame that falls on requests with a trait."""

    at: datetime.timedelta
    weight: float
    requests: frozenset[str]


@attrs.define
class EvidenceTable:
    """Crashes and the answers that clear traits, for a limited time."""

    _crash_by_incarnation: collections.OrderedDict[
        CrashKey, crashrecords.Crash
    ] = attrs.field(factory=collections.OrderedDict)
    # Of those crashes.
    _crash_count_by_request: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _newest_crash_at: datetime.timedelta = datetime.timedelta(0)
    _part_survivals: crashrecords.Survivals = attrs.field(
        factory=crashrecords.Survivals
    )
    _request_survivals: crashrecords.Survivals = attrs.field(
        factory=crashrecords.Survivals
    )

    # ---- Evidence -------------------------------------------------------

    def add_crash(
        self, report: fleetmessages.CrashReport, now: datetime.timedelta
    ) -> bool:
        """Adds an entry's report of a crash; returns whether it says more."""
        key = (report.upstream, report.incarnation)
        at = now - report.age
        crash = self._crash_by_incarnation.get(key)
        if crash is not None and at - crash.at > RESTART_TIME:
            if not crash.confirmed:
                # The upstream lived on after the earlier report.
                self._remove_crash(key)
                return self.add_crash(report, now)
            # The sender didn't know yet that the upstream had started again.
            earlier = (f"{report.upstream}@{crash.at}", report.incarnation)
            self._crash_by_incarnation[earlier] = crash
            crash = None
        is_new = crash is None
        if crash is None:
            crash = crashrecords.Crash(at, confirmed=report.confirmed)
            self._crash_by_incarnation[key] = crash
            self._newest_crash_at = max(self._newest_crash_at, at)
        crash.confirmed |= report.confirmed
        crash.at = min(crash.at, at)
        before = set(crash.suspect_by_request)
        for suspect in report.suspects:
            if (
                suspect.request in crash.suspect_by_request
                or len(crash.suspect_by_request) < MAX_SUSPECTS_PER_CRASH
            ):
                sent_after = report.closed_sent_after.get(suspect.request)
                crash.add_suspect(
                    suspect, None if sent_after is None else at + sent_after
                )
        crash.remove_late_suspects()
        self._crash_count_by_request.update(crash.suspect_by_request.keys())
        self._uncount(before)
        self._discard_old(now)
        return is_new or not before.issuperset(crash.suspect_by_request)

    def _remove_crash(self, key: CrashKey) -> None:
        crash = self._crash_by_incarnation.pop(key)
        self._uncount(crash.suspect_by_request)

    def _uncount(self, requests: typing.Iterable[str]) -> None:
        """Counts one crash less of each request."""
        for request in requests:
            self._crash_count_by_request[request] -= 1
            if not self._crash_count_by_request[request]:
                del self._crash_count_by_request[request]

    def settle_unconfirmed(
        self,
        has_ended: typing.Callable[
            [str, int, datetime.timedelta], bool | None
        ],
    ) -> bool:
        """Confirms or removes unconfirmed crashes; returns whether any.

        `has_ended` tells by upstream, incarnation and time whether the
        upstream has ended since; None if that is unknown.
        """
        changed = False
        for key, crash in list(self._crash_by_incarnation.items()):
            if crash.confirmed:
                continue
            ended = has_ended(*key, crash.at)
            if ended is None:
                continue
            changed = True
            crash.confirmed = ended
            if not ended:
                self._remove_crash(key)
        return changed

    def add_survival(
        self,
        trait: str,
        at: datetime.timedelta,
    ) -> None:
        """Adds an answer with a trait that went on past its beginning."""
        self._survivals(trait).add(trait, at)

    def last_survival(self, trait: str) -> datetime.timedelta | None:
        """Returns the time of the latest answer with a trait."""
        times = self._survivals(trait).times(trait)
        return times[-1] if times else None

    def _survivals(self, trait: str) -> crashrecords.Survivals:
        return (
            self._part_survivals if is_part(trait) else self._request_survivals
        )

    def forget(self, trait: str) -> None:
        """Forgets the crashes under requests with a trait."""
        for key, crash in list(self._crash_by_incarnation.items()):
            if any(
                trait in traits(suspect)
                for suspect in crash.suspect_by_request.values()
            ):
                self._remove_crash(key)

    def _discard_old(self, now: datetime.timedelta) -> None:
        crashes = self._crash_by_incarnation
        for key, crash in list(crashes.items()):
            if now - crash.at > crashrecords.MAX_AGE:
                self._remove_crash(key)
        while len(crashes) > MAX_CRASHES:
            self._remove_crash(next(iter(crashes)))

    def is_cleared(self, trait: str, at: datetime.timedelta) -> bool:
        """Returns whether an answer had cleared a trait by some time."""
        return self._survivals(trait).is_cleared(trait, at)

    def unclear_traits(
        self, upstream: str, incarnation: int
    ) -> tuple[list[str], bool]:
        """Returns the traits that a crash is blamed on, and who may know.

        The second value is false if all suspects were cleared, so that only
        later answers can tell.
        """
        crash = self._crash_by_incarnation.get((upstream, incarnation))
        if crash is None:
            return [], False
        unclear = {
            trait
            for suspect in crash.suspect_by_request.values()
            for trait in self._unclear(suspect, crash.at)
        }
        if unclear:
            return sorted(unclear), True
        all_traits = {
            trait
            for suspect in crash.suspect_by_request.values()
            for trait in clearable_traits(suspect)
        }
        return sorted(all_traits), False

    def blamed_requests(self, upstream: str, incarnation: int) -> list[str]:
        """Returns the requests that have a trait which nothing cleared."""
        crash = self._crash_by_incarnation.get((upstream, incarnation))
        if crash is None:
            return []
        return [
            suspect.request
            for suspect in crash.suspect_by_request.values()
            if self._unclear(suspect, crash.at)
        ]

    def may_be_blamed(
        self, suspect: fleetmessages.Suspect, now: datetime.timedelta
    ) -> bool:
        """Returns whether a request has traits that no answer cleared."""
        return bool(self._unclear(suspect, now))

    def request_scores(
        self,
        upstream: str,
        incarnation: int,
        convicted: typing.Collection[str],
    ) -> dict[str, float]:
        """Returns the score of each request that is a suspect of a crash."""
        crash = self._crash_by_incarnation.get((upstream, incarnation))
        if crash is None:
            return {}
        return {
            request: self.score(request_trait(request), convicted)
            for request in crash.suspect_by_request
        }

    def _unclear(
        self, suspect: fleetmessages.Suspect, at: datetime.timedelta
    ) -> list[str]:
        """Returns the traits for which a request may be blamed.

        A request at more than one crash may be the cause though all its parts
        are cleared.
        """
        names = [
            trait
            for trait in clearable_traits(suspect)
            if not self.is_cleared(trait, at)
        ]
        own = request_trait(suspect.request)
        if (
            own not in names
            and self._crash_count_by_request.get(suspect.request, 0) > 1
            and not self.is_cleared(own, at)
        ):
            names.append(own)
        return names

    # ---- Judging --------------------------------------------------------

    def judge(
        self,
        convicted: typing.Iterable[str],
        unanswered: typing.Collection[CrashKey] = (),
        doubtful: typing.Collection[CrashKey] = (),
        fresh_since: datetime.timedelta = datetime.timedelta.min,
    ) -> dict[str, int]:
        """Returns the traits to convict, with the crashes blamed on each.

        `convicted` are those convicted before. Crashes that are `unanswered`
        do not count yet: answers may clear their suspects. Those that are
        `doubtful`, as all parts at them are cleared, don't count for parts.
        A second crash convicts a request if it came after `fresh_since`: of
        older ones, reports of entries that have ended since may be missing.
        """
        uncounted = {*unanswered, *doubtful}
        known = set(convicted)
        found: dict[str, int] = {}
        while True:
            requests = repeatedrequests.guilty(
                self._unexplained(known, unanswered),
                self._request_survivals,
                fresh_since,
            )
            parts = self._guilty_parts(known, uncounted)
            # What explains more crashes; the narrower trait if both do.
            new = max(requests, parts, key=_most_crashes)
            if not new:
                break
            found.update(new)
            known.update(new)
        for trait in self.covered_requests(found):
            found.pop(trait, None)
        return found

    def covered_requests(self, convicted: typing.Container[str]) -> set[str]:
        """Returns the requests that have a convicted part."""
        return {
            request_trait(suspect.request)
            for crash in self._crash_by_incarnation.values()
            for suspect in crash.suspect_by_request.values()
            if _has_known_part(suspect, convicted)
        }

    def score(self, trait: str, convicted: typing.Collection[str]) -> float:
        """Returns the score of a trait."""
        if is_part(trait):
            blames, _ = self._blames(convicted, ())
            return self._part_score(trait, blames.get(trait, []))
        request = repeatedrequests.request_of(trait)
        crashes = [
            crash
            for crash in self._unexplained(convicted, ())
            if request in crash.suspect_by_request
        ]
        return repeatedrequests.score(
            request, crashes, self._request_survivals
        )

    def _unexplained(
        self,
        known: typing.Collection[str],
        unanswered: typing.Container[CrashKey],
    ) -> list[crashrecords.Crash]:
        """Returns the crashes at which no `known` trait was."""
        return [
            crash
            for key, crash in self._crash_by_incarnation.items()
            if crash.confirmed
            and key not in unanswered
            and not (known and _has_trait(crash, known))
        ]

    # ---- Judging parts --------------------------------------------------

    def _blames(
        self,
        known: typing.Collection[str],
        uncounted: typing.Container[CrashKey],
    ) -> tuple[dict[str, list[_Blame]], int]:
        """Returns the blame of each part for the crashes that count.

        The second value is their number. Crashes under a convicted request
        without unclear parts don't count.
        """
        blames: dict[str, list[_Blame]] = {}
        count = 0
        for key, crash in self._crash_by_incarnation.items():
            suspects = list(crash.suspect_by_request.values())
            if (
                not crash.confirmed
                or key in uncounted
                or self._newest_crash_at - crash.at > crashrecords.RETENTION
                or (
                    known
                    and any(_has_known_part(item, known) for item in suspects)
                )
            ):
                continue
            causes = [
                suspect
                for suspect in suspects
                if known and request_trait(suspect.request) in known
            ]
            if causes and not any(
                self._unclear_parts(suspect, crash.at) for suspect in causes
            ):
                continue
            count += 1
            self._add_blames(blames, crash.at, suspects, causes)
        return blames, count

    def _add_blames(
        self,
        blames: dict[str, list[_Blame]],
        at: datetime.timedelta,
        suspects: list[fleetmessages.Suspect],
        causes: list[fleetmessages.Suspect],
    ) -> None:
        """Adds the blame of one crash.

        It falls on the parts that nothing cleared, or on all parts if nobody
        is accused; on those of convicted requests (`causes`) alone, if any.
        """
        unclear_by_request = {
            suspect.request: self._unclear_parts(suspect, at)
            for suspect in suspects
        }
        accused = [
            suspect
            for suspect in suspects
            if unclear_by_request[suspect.request] or not suspect.parts
        ]
        requests_by_part: dict[str, set[str]] = {}
        for suspect in causes or accused or suspects:
            names = (
                unclear_by_request[suspect.request]
                if accused
                else map(part_trait, suspect.parts)
            )
            for trait in names:
                requests_by_part.setdefault(trait, set()).add(suspect.request)
        for trait, requests in requests_by_part.items():
            weight = len(requests) / len(accused or suspects)
            weight *= 1.0 if accused else CLEARED_WEIGHT
            blame = _Blame(at, weight, frozenset(requests))
            blames.setdefault(trait, []).append(blame)

    def _unclear_parts(
        self, suspect: fleetmessages.Suspect, at: datetime.timedelta
    ) -> list[str]:
        return [
            trait
            for trait in map(part_trait, suspect.parts)
            if not self.is_cleared(trait, at)
        ]

    def _part_score(self, trait: str, blames: list[_Blame]) -> float:
        weights: list[tuple[datetime.timedelta, float]] = []
        seen: set[str] = set()
        counted_at: datetime.timedelta | None = None
        for blame in sorted(blames, key=lambda item: item.at):
            if self._part_survivals.were_forgotten(trait, blame.at) or (
                counted_at is not None
                and blame.at - counted_at < SAME_CAUSE_TIME
            ):
                continue
            counted_at = blame.at
            repeated = blame.requests <= seen
            seen |= blame.requests
            factor = REPEAT_WEIGHT if repeated else 1.0
            weights.append((blame.at, blame.weight * factor))
        return self._part_survivals.score(trait, weights)

    def _guilty_parts(
        self,
        known: typing.Collection[str],
        uncounted: typing.Container[CrashKey],
    ) -> dict[str, int]:
        """Returns the part with the highest score if it is guilty.

        Parts that always come in the same requests can't be told apart: they
        are convicted together, at a higher score.
        """
        blames, crashes = self._blames(known, uncounted)
        scores = {
            trait: self._part_score(trait, blames[trait]) for trait in blames
        }
        if not scores:
            return {}
        best = max(scores.values())
        leading = sorted(
            trait for trait, score in scores.items() if score > best - _EPSILON
        )
        inseparable = [
            trait for trait in leading if blames[trait] == blames[leading[0]]
        ]
        threshold = (
            PART_THRESHOLD if len(inseparable) == 1 else INSEPARABLE_THRESHOLD
        )
        threshold += _noise_margin(crashes - len(blames[leading[0]]))
        if best <= threshold - _EPSILON:
            return {}
        return {trait: len(blames[trait]) for trait in inseparable}


def _has_known_part(
    suspect: fleetmessages.Suspect, known: typing.Container[str]
) -> bool:
    return any(part_trait(part) in known for part in suspect.parts)


def _has_trait(
    crash: crashrecords.Crash, known: typing.Container[str]
) -> bool:
    return any(
        trait in known
        for suspect in crash.suspect_by_request.values()
        for trait in traits(suspect)
    )


def _most_crashes(guilty: dict[str, int]) -> int:
    return max(guilty.values(), default=0)


def _noise_margin(other_crashes: int) -> float:
    """Returns what a threshold rises by for crashes without the trait.

    >>> _noise_margin(3), _noise_margin(8), _noise_margin(64)
    (0.0, 0.5, 2.0)
    """
    doublings = math.log2(max(1.0, other_crashes / QUIET_CRASHES))
    return NOISE_STEP * doublings
