"""Judges which single request crashes upstreams.

A request is certain to be the same one when it comes again, so each crash that
it was beginning at counts in full, whatever else was beginning there, and only
answers to itself clear it. It is convicted at the second crash if nothing else
can explain that one, and at the third in any case.
"""

import datetime
import typing

from figford import crashrecords

# Crashes that convict a request if it alone can explain the latest one; and
# in any case.
REPEATED_THRESHOLD = 2.0
REQUEST_THRESHOLD = 3.0
# More other crashes than this in NOISE_WINDOW make it too likely that a sound
# request is at a second crash by chance.
MAX_OTHER_CRASHES = 1
NOISE_WINDOW = datetime.timedelta(seconds=10)
# All reports of a crash have come, and none is lost with its sender.
FRESH_TIME = datetime.timedelta(seconds=2)
_EPSILON = 1e-6
_PREFIX = "request:"


def trait(request: str) -> str:
    """Returns the trait of a request and its repeats by the caller."""
    return _PREFIX + request


def request_of(name: str) -> str:
    """Returns the request that has a trait."""
    return name.removeprefix(_PREFIX)


def score(
    request: str,
    crashes: list[crashrecords.Crash],
    survivals: crashrecords.Survivals,
) -> float:
    """Returns the score of a request that was at these crashes."""
    name = trait(request)
    times = sorted(crash.at for crash in crashes)
    return survivals.score(
        name,
        [
            (at, 0.0 if survivals.were_forgotten(name, at) else 1.0)
            for at in times
        ],
    )


def crashes_by_request(
    crashes: typing.Iterable[crashrecords.Crash],
) -> dict[str, list[crashrecords.Crash]]:
    """Returns the crashes that each request was at, ordered by time."""
    result: dict[str, list[crashrecords.Crash]] = {}
    for crash in sorted(crashes, key=lambda item: item.at):
        for request in crash.suspect_by_request:
            result.setdefault(request, []).append(crash)
    return result


def guilty(
    unexplained: list[crashrecords.Crash],
    survivals: crashrecords.Survivals,
    fresh_since: datetime.timedelta,
) -> dict[str, int]:
    """Returns the traits of the requests to convict, with their crashes.

    Those with the most crashes come first; the next ones may be explained by
    them.
    """
    by_request = crashes_by_request(unexplained)
    score_by_request = {
        request: score(request, crashes, survivals)
        for request, crashes in by_request.items()
        if len(crashes) > 1
    }
    repeated = {
        request: value
        for request, value in score_by_request.items()
        if value > REPEATED_THRESHOLD - _EPSILON
    }
    best = max(repeated.values(), default=0.0)
    if best > REQUEST_THRESHOLD - _EPSILON:
        names = [name for name, value in repeated.items() if value == best]
    else:
        names = [
            name
            for name in repeated
            if by_request[name][-1].at > fresh_since
            and not survivals.is_cleared(trait(name), by_request[name][-1].at)
            and _is_only_explanation(
                name, by_request[name], repeated, unexplained
            )
        ]
    return {trait(name): len(by_request[name]) for name in sorted(names)}


def _is_only_explanation(
    request: str,
    crashes: list[crashrecords.Crash],
    repeated: typing.Container[str],
    unexplained: list[crashrecords.Crash],
) -> bool:
    """Returns whether only this request can explain its latest crash.

    No other suspect of it may be one of the `repeated` ones, and there must
    be few other crashes, and not much time since the one before, or the
    request may be at a second one by chance.
    """
    *_, previous, latest = crashes
    if latest.at - previous.at > crashrecords.RETENTION or any(
        other in repeated
        for other in latest.suspect_by_request
        if other != request
    ):
        return False
    others = [
        crash
        for crash in unexplained
        if request not in crash.suspect_by_request
        and latest.at - NOISE_WINDOW < crash.at <= latest.at
    ]
    return len(others) <= MAX_OTHER_CRASHES
