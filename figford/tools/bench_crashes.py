"""Measures how many upstreams requests crash until they are refused.

Prints a table of policies: upstreams lost, crashes of the worst part or
request until the last one was sent, and what sound requests pay.
"""

import random
import timeit
import tracemalloc
import typing

import attrs

from figford import codec
from figford import crashguard
from figford import crashjudge
from figford import crashrecords
from figford import evidence
from figford import fleetmessages
from figford import messages
from figford.tools import crashworld

SECONDS = 60.0
WARM_UP_SECONDS = 2.0
SEEDS = range(3)


@attrs.frozen
class Case:
    """A load; `shares` are those of requests with each crashing part.

    `again` requests crash upstreams too, and come again and again.
    """

    name: str
    shares: tuple[float, ...]
    entries: int = 6
    slots: int = 13
    upstreams: int = 24
    requests_per_second: float = 60.0
    other_crashes: float = 0.0
    again: int = 0
    with_parts: bool = True


CASES = (
    Case("0.2% crash", (0.002,)),
    Case("1% crash", (0.01,)),
    Case("5% crash", (0.05,)),
    Case("20% crash", (0.2,)),
    Case("two parts, 2% each", (0.02, 0.02)),
    Case("5%, 0.5 other crashes/s", (0.05,), other_crashes=0.5),
    Case("none, 0.5 other crashes/s", (), other_crashes=0.5),
    Case("none, 3 other crashes/s", (), other_crashes=3.0),
    Case("5%, batches of 4", (0.05,), slots=4, upstreams=60),
    Case("5%, batches of 32", (0.05,), slots=32, upstreams=6),
    Case("5%, 1 entry", (0.05,), entries=1),
    Case("1 request again", (), again=1),
    Case("3 again, 0.5 other crashes/s", (), other_crashes=0.5, again=3),
    Case(
        "1 call again, 3 upstreams, 8/s",
        (),
        slots=6,
        upstreams=3,
        requests_per_second=8.0,
        again=1,
        with_parts=False,
    ),
    Case(
        "calls, none again, 0.2 other crashes/s",
        (),
        slots=6,
        upstreams=3,
        requests_per_second=8.0,
        other_crashes=0.2,
        with_parts=False,
    ),
    Case("1%, 360 entries, 1,700/s", (0.01,), 360, 13, 500, 1700.0),
)


def judged(case: Case) -> crashworld.Policy:
    """Returns verdicts by evidence for and against."""
    names = entry_names(case)
    return crashworld.Judged(crashworld.LocalControl(names))


POLICIES: dict[str, typing.Callable[[Case], crashworld.Policy]] = {
    "verdicts": judged,
    "repeat always": lambda case: crashworld.Repeating(),
    "no repeat": lambda case: crashworld.Repeating(repeats=False),
    "count to 3, part": lambda case: crashworld.Counting(),
    "count to 3, key": lambda case: crashworld.Counting(by_key=True),
}


def entry_names(case: Case) -> tuple[str, ...]:
    """Returns the names of a case's entries."""
    return tuple(f"e{number}" for number in range(case.entries))


def play(
    case: Case, policy: crashworld.Policy, seed: int
) -> crashworld.Figures:
    """Returns the figures of one run."""
    world = crashworld.CrashWorld(
        policy,
        random.Random(seed),
        entry_names(case),
        case.requests_per_second,
        case.upstreams,
        case.slots,
        {f"part{i}": share for i, share in enumerate(case.shares)},
        case.other_crashes,
        case.with_parts,
    )
    if case.again:
        # Popular parts have been answered before.
        world.run(WARM_UP_SECONDS)
    for number in range(case.again):
        parts = ["first0"] if case.with_parts else []
        world.send_again_and_again(
            fleetmessages.Suspect(f"again{number}", parts)
        )
    seconds = SECONDS if case.requests_per_second < 1000 else SECONDS / 6
    world.run(seconds)
    if isinstance(policy, crashworld.Judged):
        control = policy.control
        world.figures.messages = control.messages
        convicted = set(control.verdicts)
        parts = set(map(evidence.part_trait, world.share_by_part))
        requests = set(map(evidence.request_trait, world.crashing_requests))
        world.figures.wrong_verdicts = len(convicted - parts - requests)
    return world.figures


def row(case: Case, name: str) -> str:
    """Returns a row of the table, the mean of all seeds."""
    runs = [play(case, POLICIES[name](case), seed) for seed in SEEDS]

    def mean(value: typing.Callable[[crashworld.Figures], float]) -> float:
        return sum(map(value, runs)) / len(runs)

    worst = mean(
        lambda figures: max(figures.crashes_by_part.values(), default=0)
    )
    answered = mean(
        lambda figures: 100 * figures.sound_answered / max(1, figures.sound)
    )
    return (
        f"| {case.name} | {name} | {mean(lambda f: f.crashes):.1f}"
        f" | {worst:.1f} | {answered:.1f}"
        f" | {mean(lambda f: f.sound_convicted):.1f}"
        f" | {mean(lambda f: f.wrong_verdicts):.1f}"
        f" | {mean(lambda f: f.messages):.0f} |"
    )


def full_table() -> evidence.EvidenceTable:
    """Returns a table at its bounds: crashes, suspects, answers."""
    table = evidence.EvidenceTable()
    second = crashworld.SECOND
    for number in range(crashrecords.MAX_TRAITS):
        for at in range(crashrecords.SURVIVALS_PER_TRAIT):
            table.add_survival(evidence.part_trait(f"p{number}"), at * second)
            table.add_survival(
                evidence.request_trait(f"r{number}"), at * second
            )
    for number in range(evidence.MAX_CRASHES):
        report = crash_report(number)
        table.add_crash(report, (60 + number) * second)
    return table


def crash_report(number: int) -> fleetmessages.CrashReport:
    """Returns a report of a batch of 13 requests with three parts each."""
    suspects = [
        fleetmessages.Suspect(
            f"{number:08x}{item:08x}",
            [f"{number:06x}{item:06x}{part}" for part in range(3)],
        )
        for item in range(13)
    ]
    return fleetmessages.CrashReport(
        f"i-{number:010x}", 1, crashworld.SECOND, suspects
    )


def microseconds(action: typing.Callable[[], object], count: int) -> float:
    """Returns the mean time of an action."""
    return timeit.timeit(action, number=count) / count * 1e6


def costs() -> typing.Iterator[str]:
    """Yields rows: the time, memory and size of what entries and leader do."""
    tracemalloc.start()
    table = full_table()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    yield f"| evidence at its bounds, memory | {held / 1e6:.1f} MB |"
    judged_us = microseconds(lambda: table.judge(()), 10)
    yield f"| judging 128 crashes of 13 requests | {judged_us / 1e3:.1f} ms |"
    verdicts = fleetmessages.Verdicts(
        1,
        [
            fleetmessages.Verdict(evidence.part_trait(f"{i:012x}"), 3)
            for i in range(crashjudge.MAX_VERDICTS)
        ],
    )
    guard = crashguard.CrashGuard()
    guard.apply(verdicts)
    suspect = crash_report(1).suspects[0]
    now = crashworld.SECOND
    sent_us = microseconds(
        lambda: guard.convicted_trait(lambda: suspect), 20_000
    )
    yield f"| check of a request against 200 verdicts | {sent_us:.1f} us |"
    begun_us = microseconds(
        lambda: guard.record_survival(suspect, now), 20_000
    )
    yield f"| record of an answer with three parts | {begun_us:.1f} us |"
    parts = [trait for trait in evidence.traits(suspect)]
    for name, message in (
        ("crash report, 13 requests", crash_report(1)),
        ("query of 3 traits", fleetmessages.SurvivalQuery(parts[:3])),
        (
            "reply on 3 traits",
            fleetmessages.SurvivalReport(parts[:3], [now] * 3),
        ),
        ("200 verdicts", verdicts),
    ):
        size = len(codec.encode(message, messages.PeerMessage))
        yield f"| {name} | {size} B |"


def main() -> None:
    """Prints the table of policies and that of costs."""
    print(
        "| case | policy | crashes | by one cause | sound answered, %"
        " | sound refused by verdict | wrong verdicts | messages |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        for name in POLICIES:
            print(row(case, name), flush=True)
    print()
    print("| cost | |")
    print("| --- | --- |")
    for cost in costs():
        print(cost, flush=True)


if __name__ == "__main__":
    main()
