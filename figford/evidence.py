"""Judges which trait of requests crashes upstreams.

A trait is a prompt part, which requests share, or one whole request. Each
crash is blamed on the requests that were beginning at the upstream, but for
those whose parts were all in answers that went on past their beginning; the
blame is shared equally. A trait's score rises by its blame with each crash and
falls by one with each such answer, to zero at the least (a cumulative sum
test). A trait whose score reaches the threshold is convicted; the threshold is
higher while there are many crashes without the trait. Crashes that a convicted
part explains count against no other part.
"""

import collections
import datetime
import math
import typing

import attrs

from figford import fleetmessages

# Crashes and answers older than this do not count.
RETENTION = datetime.timedelta(minutes=10)
MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 256
# Of each kind, so that ever new requests push out no parts.
MAX_TRAITS = 4096
SURVIVALS_PER_TRAIT = 8
# Two crashes under one request suffice if nothing else was beginning there:
# a repeat of the same request adds half, since the request may be the cause.
PART_THRESHOLD = 1.5
REPEAT_WEIGHT = 0.5
# A part that was answered before may begin to crash upstreams, with other
# weights for example; that needs more crashes than a part never answered.
CLEARED_WEIGHT = 0.5
# Parts that can't be told apart are convicted together at this score.
INSEPARABLE_THRESHOLD = 3.0
REQUEST_THRESHOLD = 2.0
# The thresholds rise by NOISE_STEP with each doubling of the unexplained
# crashes without the trait beyond this number.
QUIET_CRASHES = 4
NOISE_STEP = 0.5
# Crashes within this time may have one cause, such as a dark fabric domain.
SAME_CAUSE_TIME = datetime.timedelta(milliseconds=200)
_EPSILON = 1e-6
# An upstream and its incarnation.
CrashKey = tuple[str, int]
_PART = "part:"
_REQUEST = "request:"


def part_trait(part: str) -> str:
    """Returns the trait of all requests with a prompt part."""
    return _PART + part


def request_trait(request: str) -> str:
    """Returns the trait of a request and its repeats by the caller."""
    return _REQUEST + request


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
    """Returns the traits that answers to other requests may clear.

    >>> clearable_traits(fleetmessages.Suspect("r", ["a"]))
    ['part:a']
    >>> clearable_traits(fleetmessages.Suspect("r", []))
    ['request:r']
    """
    if suspect.parts:
        return [part_trait(part) for part in suspect.parts]
    return [request_trait(suspect.request)]


@attrs.define
class _Crash:
    """One crash and the requests of all entries that were beginning."""

    at: datetime.timedelta
    suspect_by_request: dict[str, fleetmessages.Suspect] = attrs.field(
        factory=dict
    )


@attrs.frozen
class _Blame:
    """The share of a crash's blame that falls on requests with a trait."""

    at: datetime.timedelta
    weight: float
    requests: frozenset[str]


@attrs.define
class _Survivals:
    """The times of the latest answers with each trait, oldest first."""

    _times_by_trait: collections.OrderedDict[
        str, collections.deque[datetime.timedelta]
    ] = attrs.field(factory=collections.OrderedDict)

    def times(self, trait: str) -> typing.Sequence[datetime.timedelta]:
        """Returns the times of the latest answers with a trait."""
        return self._times_by_trait.get(trait, ())

    def add(self, trait: str, at: datetime.timedelta) -> None:
        """Adds the time of an answer."""
        times = self._times_by_trait.get(trait)
        if times is None:
            times = collections.deque(maxlen=SURVIVALS_PER_TRAIT)
            self._times_by_trait[trait] = times
        self._times_by_trait.move_to_end(trait)
        is_late = bool(times) and at < times[-1]
        times.append(at)
        if is_late:
            ordered = sorted(times)
            times.clear()
            times.extend(ordered)
        while len(self._times_by_trait) > MAX_TRAITS:
            self._times_by_trait.popitem(last=False)


@attrs.define
class EvidenceTable:
    """Crashes and the answers that clear traits, for a limited time."""

    _crash_by_incarnation: collections.OrderedDict[CrashKey, _Crash] = (
        attrs.field(factory=collections.OrderedDict)
    )
    _part_survivals: _Survivals = attrs.field(factory=_Survivals)
    _request_survivals: _Survivals = attrs.field(factory=_Survivals)

    # ---- Evidence -------------------------------------------------------

    def add_crash(
        self, report: fleetmessages.CrashReport, now: datetime.timedelta
    ) -> bool:
        """Adds an entry's report of a crash; returns whether it says more."""
        key = (report.upstream, report.incarnation)
        crash = self._crash_by_incarnation.get(key)
        is_new = crash is None
        if crash is None:
            crash = _Crash(now - report.age)
            self._crash_by_incarnation[key] = crash
        before = len(crash.suspect_by_request)
        for suspect in report.suspects:
            if len(crash.suspect_by_request) < MAX_SUSPECTS_PER_CRASH:
                crash.suspect_by_request.setdefault(suspect.request, suspect)
        self._discard_old(now)
        return is_new or len(crash.suspect_by_request) > before

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

    def _survivals(self, trait: str) -> _Survivals:
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
                del self._crash_by_incarnation[key]

    def _discard_old(self, now: datetime.timedelta) -> None:
        crashes = self._crash_by_incarnation
        for key, crash in list(crashes.items()):
            if now - crash.at > RETENTION:
                del crashes[key]
        while len(crashes) > MAX_CRASHES:
            crashes.popitem(last=False)

    def is_cleared(self, trait: str, at: datetime.timedelta) -> bool:
        """Returns whether an answer had cleared a trait by some time."""
        times = self._survivals(trait).times(trait)
        if _were_forgotten(times, at):
            return True
        return any(at - RETENTION < time <= at for time in times)

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
            for trait in clearable_traits(suspect)
            if not self.is_cleared(trait, crash.at)
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

    def request_scores(
        self,
        upstream: str,
        incarnation: int,
        convicted: typing.Container[str],
    ) -> dict[str, float]:
        """Returns the score of each request that is a suspect of a crash."""
        crash = self._crash_by_incarnation.get((upstream, incarnation))
        if crash is None:
            return {}
        blames = self._blames(convicted, (), ())
        traits_by_request = {
            request: request_trait(request)
            for request in crash.suspect_by_request
        }
        return {
            request: self._score(trait, blames.get(trait, []))
            for request, trait in traits_by_request.items()
        }

    def _unclear(
        self, suspect: fleetmessages.Suspect, at: datetime.timedelta
    ) -> list[str]:
        return [
            trait
            for trait in clearable_traits(suspect)
            if not self.is_cleared(trait, at)
        ]

    # ---- Judging --------------------------------------------------------

    def judge(
        self,
        convicted: typing.Container[str],
        unanswered: typing.Container[CrashKey] = (),
    ) -> dict[str, int]:
        """Returns the traits to convict, with the crashes blamed on each.

        `convicted` are those convicted before. Crashes that are `unanswered`
        do not count yet: answers may clear their suspects.
        """
        found: dict[str, int] = {}
        while True:
            blames = self._blames(convicted, found, unanswered)
            times = {blame.at for item in blames.values() for blame in item}
            new = self._guilty_parts(
                blames, len(times)
            ) or self._guilty_requests(blames, len(times))
            if not new:
                return found
            for trait in new:
                found[trait] = len(blames[trait])

    def score(self, trait: str, convicted: typing.Container[str]) -> float:
        """Returns the score of a trait."""
        blames = self._blames(convicted, (), ()).get(trait, [])
        return self._score(trait, blames)

    def _blames(
        self,
        convicted: typing.Container[str],
        found: typing.Container[str],
        unanswered: typing.Container[CrashKey],
    ) -> dict[str, list[_Blame]]:
        """Returns who is blamed for the crashes that nothing explains."""
        blames: dict[str, list[_Blame]] = {}
        for key, crash in self._crash_by_incarnation.items():
            if key in unanswered:
                continue
            suspects = list(crash.suspect_by_request.values())
            if any(
                trait in convicted or trait in found
                for suspect in suspects
                for trait in traits(suspect)
            ):
                continue
            unclear = {
                suspect.request: self._unclear(suspect, crash.at)
                for suspect in suspects
            }
            accused = [
                suspect for suspect in suspects if unclear[suspect.request]
            ]
            requests_by_trait: dict[str, set[str]] = {}
            for suspect in accused or suspects:
                names = unclear[suspect.request] or clearable_traits(suspect)
                for trait in (*names, request_trait(suspect.request)):
                    requests_by_trait.setdefault(trait, set()).add(
                        suspect.request
                    )
            for trait, requests in requests_by_trait.items():
                weight = len(requests) / len(accused or suspects)
                weight *= 1.0 if accused else CLEARED_WEIGHT
                blame = _Blame(crash.at, weight, frozenset(requests))
                blames.setdefault(trait, []).append(blame)
        return blames

    def _score(self, trait: str, blames: list[_Blame]) -> float:
        times = self._survivals(trait).times(trait)
        survivals = collections.deque(times)
        score = 0.0
        seen: set[str] = set()
        counted_at: datetime.timedelta | None = None
        for blame in sorted(blames, key=lambda item: item.at):
            while survivals and survivals[0] <= blame.at:
                survivals.popleft()
                score = max(0.0, score - 1.0)
            if _were_forgotten(times, blame.at) or (
                counted_at is not None
                and blame.at - counted_at < SAME_CAUSE_TIME
            ):
                continue
            counted_at = blame.at
            repeated = is_part(trait) and blame.requests <= seen
            seen |= blame.requests
            score += blame.weight * (REPEAT_WEIGHT if repeated else 1.0)
        return max(0.0, score - len(survivals))

    def _guilty_parts(
        self, blames: dict[str, list[_Blame]], crashes: int
    ) -> list[str]:
        """Returns the part with the highest score if it is guilty.

        `crashes` counts those that nothing explains.

        Parts that always come in the same requests can't be told apart: they
        are convicted together, at a higher score.
        """
        scores = {
            trait: self._score(trait, blames[trait])
            for trait in blames
            if is_part(trait)
        }
        if not scores:
            return []
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
        return inseparable if best > threshold - _EPSILON else []

    def _guilty_requests(
        self, blames: dict[str, list[_Blame]], crashes: int
    ) -> list[str]:
        return sorted(
            trait
            for trait, blamed in blames.items()
            if not is_part(trait)
            and len(blamed) > 1
            and self._score(trait, blamed)
            > REQUEST_THRESHOLD
            + _noise_margin(crashes - len(blamed))
            - _EPSILON
        )


def _noise_margin(other_crashes: int) -> float:
    """Returns what a threshold rises by for crashes without the trait.

    >>> _noise_margin(3), _noise_margin(8), _noise_margin(64)
    (0.0, 0.5, 2.0)
    """
    doublings = math.log2(max(1.0, other_crashes / QUIET_CRASHES))
    return NOISE_STEP * doublings


def _were_forgotten(
    times: typing.Sequence[datetime.timedelta], at: datetime.timedelta
) -> bool:
    """Returns whether more answers came since `at` than are remembered."""
    return len(times) == SURVIVALS_PER_TRAIT and at < times[0]
