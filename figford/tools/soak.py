"""Runs the soak: a simulated deployment under randomly injected faults.

A run is deterministic: the same seed and number of steps give the same run.
"""

import sys
import traceback

import attrs
import typer

from figford.tools.soaking import faults
from figford.tools.soaking import schedule
from figford.tools.soaking import world

RECOVERY_TIME = schedule.seconds(90)
# A healthy deployment recovers within about a fifth of this number of events.
RECOVERY_STEP_LIMIT = 300_000


@attrs.frozen
class Result:
    """The result of a soak run."""

    steps: int
    virtual_seconds: float
    faults: dict[str, int]
    counts: dict[str, int]
    digest: str
    violation: str | None
    trace: str = ""

    def summary_line(self) -> str:
        """Returns a one-line summary of the run."""
        kinds = ", ".join(
            f"{kind}={count}" for kind, count in sorted(self.faults.items())
        )
        return (
            f"steps={self.steps} virtual={self.virtual_seconds:.0f}s"
            f" digest={self.digest} faults: {kinds};"
            f" violations={0 if self.violation is None else 1}"
        )


def run_soak(seed: int, steps: int) -> Result:
    """Runs a soak; a violation ends the run and is part of the result."""
    soak = world.Soak(seed)
    injector = faults.FaultInjector(soak)
    started = soak.clock.now()
    violation = None
    trace = ""
    try:
        while soak.clock.steps < steps:
            soak.step()
        injector.heal_all()
        until = soak.clock.now() + RECOVERY_TIME
        soak.recovery_started_at = soak.clock.now()
        last_step = soak.clock.steps + RECOVERY_STEP_LIMIT
        while soak.clock.now() < until:
            soak.step()
            if soak.clock.steps > last_step:
                soak.checks.fail("too many events after all faults ended")
        check_recovered(soak)
    except Exception as error:
        # An exception of any kind counts as a violation, since none may
        # reach the event loop in production.
        violation = f"{type(error).__name__}: {error}"
        trace = traceback.format_exc()
    return Result(
        steps=soak.clock.steps,
        virtual_seconds=(soak.clock.now() - started).total_seconds(),
        faults=dict(injector.count_by_kind),
        counts=dict(soak.checks.counts),
        digest=soak.clock.digest,
        violation=violation,
        trace=trace,
    )


def check_recovered(soak: world.Soak) -> None:
    """Checks that the deployment recovered after all faults ended.

    Every entry must be ready, have every version that was accepted in time
    to reach it, and see all groups of its data centre complete.
    """
    checks = soak.checks
    highest = checks.highest_accepted_before(
        soak.clock.now() - schedule.seconds(13)
    )
    now = soak.clock.now()
    for entry in soak.entry_by_name.values():
        if not entry.node.is_ready(now):
            checks.fail(f"{entry.name} is not ready after all faults ended")
        if entry.node.follower.version < highest:
            checks.fail(
                f"{entry.name} is at version {entry.node.follower.version},"
                f" but version {highest} was accepted"
            )
    for entry in soak.entry_by_name.values():
        spec = entry.node.configuration.serving_groups[0]
        expected_count = spec.replicas[entry.data_centre]
        complete_count = len(entry.node.group_table.by_group(now))
        if complete_count != expected_count:
            checks.fail(
                f"{entry.name} sees {complete_count} complete groups,"
                f" not {expected_count}"
            )


def run(seed: int = 1, steps: int = 20_000, verbose: bool = False) -> None:
    """Runs a soak and prints its summary line."""
    result = run_soak(seed, steps)
    if verbose:
        for kind, count in sorted(result.counts.items()):
            typer.echo(f"{kind}: {count}")
    if result.violation is not None:
        if verbose:
            typer.echo(result.trace, err=True)
        typer.echo(f"violation: {result.violation}", err=True)
    typer.echo(f"seed={seed} {result.summary_line()}")
    sys.exit(0 if result.violation is None else 1)


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
