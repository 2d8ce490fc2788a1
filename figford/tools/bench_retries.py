"""Compares ways to share a retry budget beside restarts, joins and takeovers.

Prints, for each scenario and way, the retries that were made (the mean of all
seeds), and the repeats in the worst window as a part of what is allowed (the
worst of all seeds).
"""

import typing

import attrs

from figford.tools import retryworld

SEEDS = range(4)
TROUBLE_SECONDS = 30.0
SECOND = retryworld.SECOND
Event = typing.Callable[[retryworld.RetryWorld], None]


@attrs.frozen
class Scenario:
    """Traffic, the length of the trouble, and events from its start on."""

    name: str
    events: tuple[tuple[float, Event], ...] = ()
    entries: int = 8
    requests_per_second: float = 74.0
    failing: float = 0.7
    seconds: float = 20.0
    # Times at which a new leader takes over.
    takeovers: tuple[float, ...] = ()


def restarts(share: float, *times: float) -> tuple[tuple[float, Event], ...]:
    """Returns events that restart a part of the entries."""
    return tuple((at, lambda world: world.restart(share)) for at in times)


def rolling(first: float) -> tuple[tuple[float, Event], ...]:
    """Returns events that restart all entries, one by one."""
    return tuple(
        (first + index, lambda world, i=index: world.restart_one(i, 0.5))
        for index in range(8)
    )


SCENARIOS = (
    Scenario("upstreams fail for 1 s", seconds=1.0),
    Scenario("for 4 s", seconds=4.0),
    Scenario("for 20 s"),
    Scenario("for 20 s, every attempt", failing=1.0),
    Scenario("for 20 s, a twentieth of the traffic", requests_per_second=3.7),
    Scenario("6 in 10 killed once", restarts(0.6, 2.0)),
    Scenario("6 in 10 killed four times", restarts(0.6, 2.0, 4.4, 6.8, 9.2)),
    Scenario("all killed once before", restarts(1.0, -3.0)),
    Scenario("all restarted one by one before", rolling(-9.0)),
    Scenario("all restarted one by one meanwhile", rolling(2.0)),
    Scenario("8 join", ((2.0, lambda world: world.join(8)),)),
    Scenario("new leader, 4 s later another", takeovers=(1.0, 5.0)),
    Scenario(
        "40 entries, 800/s, all killed once",
        restarts(1.0, 1.2), 40, 800.0, 1.0,
    ),
)  # fmt: skip


def _product(keeper: retryworld.Keeper) -> retryworld.Budget:
    return retryworld.product_budget()


def _part_of_process(keeper: retryworld.Keeper) -> retryworld.Budget:
    return retryworld.PartOfProcess()


def _part_after_a_window(keeper: retryworld.Keeper) -> retryworld.Budget:
    return retryworld.PartOfProcess(waits=True)


WAYS: dict[str, typing.Callable[[retryworld.Keeper], retryworld.Budget]] = {
    "accrues": _product,
    "part of a process": _part_of_process,
    "part after a window": _part_after_a_window,
    "granted by a leader": retryworld.GrantedBudget,
}


def measure(scenario: Scenario, way: str) -> tuple[float, float]:
    """Returns the mean number of retries, and the worst window's part."""
    retries, worst = 0, 0.0
    start, end = (
        TROUBLE_SECONDS * SECOND,
        (TROUBLE_SECONDS + scenario.seconds) * SECOND,
    )
    for seed in SEEDS:
        keeper = retryworld.Keeper()
        world = retryworld.RetryWorld(
            seed,
            scenario.entries,
            scenario.requests_per_second,
            lambda now: scenario.failing if start <= now < end else 0.0,
            lambda: WAYS[way](keeper),
        )
        for at, event in scenario.events:
            world.at(TROUBLE_SECONDS + at, lambda e=event: e(world))
        for at in scenario.takeovers:
            world.at(TROUBLE_SECONDS + at, lambda: keeper.take_over(world.now))
        world.run(TROUBLE_SECONDS + scenario.seconds + 1)
        retries += world.outcomes["retry"]
        worst = max(worst, world.meter.worst().part)
    return retries / len(SEEDS), worst


def main() -> None:
    """Prints the table."""
    print("| scenario | " + " | ".join(WAYS) + " |")
    print("| --- |" + " --- |" * len(WAYS))
    for scenario in SCENARIOS:
        cells = []
        for way in WAYS:
            retries, part = measure(scenario, way)
            cells.append(f"{retries:.0f}; {part:.2f}")
        print(f"| {scenario.name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
