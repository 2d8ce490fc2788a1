"""Measures how much of the limits of upstreams is used, and kept.

Prints a table of the ways to share limits among entries: the requests that
limited upstreams got, of those that they allow, and the most that one of them
got in 4 s beyond what it allows.
"""

import time
import typing

import attrs

from figford import permits
from figford.tools import limitworld

# Limits are learned, and the first window passes.
WARM_UP_SECONDS = 6.0
MEASURED_SECONDS = 8.0
SEED = 1


@attrs.frozen
class Case:
    """Sizes of a run; `free` upstreams have no limit."""

    name: str
    entries: int
    rates: tuple[float, ...]
    free: int
    requests_per_second: float


CASES = (
    Case("6 entries, 3 upstreams of 1/s", 6, (1.0,) * 3, 0, 60.0),
    Case("12 entries, 30 limits, 18 free", 12, (1.0, 1.5, 8.0) * 10, 18, 400),
    Case("200 entries, 300 limits", 200, (1.0, 1.0, 2.0) * 100, 0, 1000),
)


def equal_shares(index: int, entries: int) -> permits.Permits:
    """Returns an equal part of each limit."""
    return limitworld.EqualShares(index=index, entries=entries)


def one_owner(index: int, entries: int) -> permits.Permits:
    """Returns the limits of the upstreams that an entry owns."""
    return limitworld.OneOwner(index=index, entries=entries)


WAYS: dict[str, typing.Callable[[int, int], permits.Permits]] = {
    "permits": limitworld.kept_permits,
    "equal shares": equal_shares,
    "one owner": one_owner,
}


def measure(case: Case, way: str) -> str:
    """Returns a row of the table."""
    rates: list[float | None] = [*case.rates, *([None] * case.free)]
    world = limitworld.LimitWorld(
        SEED,
        case.entries,
        rates,
        case.requests_per_second,
        make_permits=WAYS[way],
    )
    started = time.process_time()
    world.run(WARM_UP_SECONDS)
    since = world.clock.now()
    world.messages.clear()
    world.run(MEASURED_SECONDS)
    seconds = time.process_time() - started
    kinds = world.messages if way == "permits" else {}
    rate = sum(kinds.values()) / MEASURED_SECONDS / case.entries
    return (
        f"| {case.name} | {way} | {world.admitted_part(since):.3f} | "
        f"{world.worst_excess(since):.1f} | {rate:.1f} | {seconds:.0f} |"
    )


def main() -> None:
    """Prints the table."""
    print(
        "| case | way | admitted of allowed | most beyond in 4 s | "
        "messages/s of an entry | processor s |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        for way in WAYS:
            print(measure(case, way), flush=True)


if __name__ == "__main__":
    main()
