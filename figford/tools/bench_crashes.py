"""Measures how many upstreams requests crash until they are refused.

Prints a table of policies: upstreams lost, crashes of the worst part until the
last request with it was sent, and what sound requests pay.
"""

import random
import typing

import attrs

from figford import evidence
from figford.tools import crashworld

SECONDS = 60.0
SEEDS = range(3)


@attrs.frozen
class Case:
    """A load; `shares` are those of requests with each crashing part."""

    name: str
    shares: tuple[float, ...]
    entries: int = 6
    slots: int = 13
    upstreams: int = 24
    requests_per_second: float = 60.0
    other_crashes: float = 0.0


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
    )
    seconds = SECONDS if case.requests_per_second < 1000 else SECONDS / 6
    world.run(seconds)
    if isinstance(policy, crashworld.Judged):
        control = policy.control
        world.figures.messages = control.messages
        convicted = set(control.verdicts)
        crashing = {evidence.part_trait(name) for name in world.share_by_part}
        wrong = len(convicted - crashing)
        world.figures.wrong_verdicts = wrong
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


def main() -> None:
    """Prints the table."""
    print(
        "| case | policy | crashes | by one part | sound answered, %"
        " | sound refused by verdict | wrong verdicts | messages |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        for name in POLICIES:
            print(row(case, name), flush=True)


if __name__ == "__main__":
    main()
