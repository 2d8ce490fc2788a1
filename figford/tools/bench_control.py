"""Measures how fast a deployment commits, repairs groups and fails over."""

import pathlib
import statistics
import tempfile
import time
import typing

import attrs

from figford import operators
from figford.tools import bench
from figford.tools import demo
from figford.tools import deployment

ENTRIES = [
    deployment.EntryPlan(f"entry-{index}", "medellin", disk=True)
    for index in (1, 2, 3)
]
NAMES = [plan.name for plan in ENTRIES]
FINE_POLL_SECONDS = 0.005
CHANGES = 30
MISSED_CHANGES = 300


def control_configuration(weight: float) -> operators.Configuration:
    """Returns a configuration of one group of two instances."""
    base = demo.demo_configuration()
    return attrs.evolve(
        base,
        serving_groups=[
            attrs.evolve(base.serving_groups[0], replicas={"medellin": 1})
        ],
        client_accounts=[attrs.evolve(base.client_accounts[0], weight=weight)],
        data_centres=[operators.DataCentre(name="medellin", entries=NAMES)],
    )


def seconds_until(condition: typing.Callable[[], object]) -> float:
    """Waits until a condition holds; returns the seconds that it took."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > deployment.WAIT_SECONDS:
            raise deployment.DeploymentError(
                "timed out waiting for a condition of the bench"
            )
        time.sleep(FINE_POLL_SECONDS)
    return time.monotonic() - started


@attrs.define
class ControlBench:
    """Three entries with disks, and one engine group with a spare."""

    running: deployment.Deployment
    version: int = 0

    def start(self) -> None:
        """Starts all processes and waits until the group is serving."""
        running = self.running
        running.start_entries()
        running.start_engines("engines", "medellin", "fabric-a", 2)
        running.start_engines("spare", "medellin", "fabric-a", 1)
        running.wait("all voters", self._all_vote)
        self.submit()
        for name in NAMES:
            running.wait_ready(name)
            running.wait_groups(name, 1)

    def _all_vote(self) -> bool:
        leader = self.leader()
        if leader is None:
            return False
        return len(self.running.status(leader)["voters"]) == len(NAMES)

    def leader(self) -> str | None:
        """Returns the entry that leads the log."""
        return self._holder("leader")

    def planner(self) -> str | None:
        """Returns the entry that holds the planner role."""
        return self._holder("planner")

    def _holder(self, role: str) -> str | None:
        for name in NAMES:
            if name in self.running.process_by_name:
                if self.running.status(name).get(role):
                    return name
        return None

    def submit(self, entry: str = "entry-1") -> None:
        """Submits the next version."""
        answer = self.running.submit(
            entry,
            control_configuration(float(self.version + 1)),
            self.version,
            f"bench-{self.version}",
        )
        demo.expect("submission", answer.status, 200)
        self.version += 1

    def in_force(self, names: list[str]) -> bool:
        """Returns whether the newest version is in force."""
        return all(
            self.running.status(name).get("configuration_version")
            == self.version
            for name in names
        )

    # ---- Measurements ---------------------------------------------------

    def submissions(self) -> dict:
        """Measures the time of submissions until accepted and in force."""
        accepted_ms = []
        in_force_ms = []
        for _ in range(CHANGES):
            started = time.monotonic()
            self.submit("entry-2")
            accepted_ms.append((time.monotonic() - started) * 1000)
            seconds_until(lambda: self.in_force(NAMES))
            in_force_ms.append((time.monotonic() - started) * 1000)
        return {
            "accepted_median_ms": round(statistics.median(accepted_ms), 1),
            "accepted_max_ms": round(max(accepted_ms), 1),
            "in_force_everywhere_median_ms": round(
                statistics.median(in_force_ms), 1
            ),
            "in_force_everywhere_max_ms": round(max(in_force_ms), 1),
        }

    def group_failure(self) -> dict:
        """Measures the times from the loss of a group to its replacement.

        The first is the time until no group is left, the second the time
        until there is a new one.
        """
        groups = self.running.status("entry-1")["groups"]
        fence = groups[0]["fence"]
        self.running.kill("engines")
        self.running.start_engines("engines-2", "medellin", "fabric-a", 1)
        started = time.monotonic()
        no_group_seconds = seconds_until(
            lambda: not self.running.status("entry-1").get("groups", [1])
        )
        seconds_until(
            lambda: any(
                group["fence"] != fence
                for group in self.running.status("entry-1").get("groups", [])
            )
        )
        new_group_seconds = time.monotonic() - started
        return {
            "no_new_work_s": round(no_group_seconds, 2),
            "serving_again_s": round(new_group_seconds, 2),
        }

    def failover(self, role: str) -> dict:
        """Measures the failover after the holder of a role is killed."""
        holder = self.running.wait(role, lambda: self._holder(role))
        self.running.kill(holder)
        seconds = seconds_until(lambda: self._holder(role))
        self.running.start_entry(holder)
        self.running.wait_ready(holder)
        return {f"{role}_takeover_s": round(seconds, 2)}

    def missed_changes(self) -> dict:
        """Measures the commit rate and a restart after missed changes."""
        stopped_entry = next(name for name in NAMES if name != self.leader())
        others = [name for name in NAMES if name != stopped_entry]
        self.running.kill(stopped_entry)
        started = time.monotonic()
        for _ in range(MISSED_CHANGES):
            self.submit(others[0])
        rate = MISSED_CHANGES / (time.monotonic() - started)
        self.running.start_entry(stopped_entry)
        seconds = seconds_until(
            lambda: self.running.status(stopped_entry).get("ready")
            and self.in_force([stopped_entry])
        )
        return {
            "missed_changes": MISSED_CHANGES,
            "submissions_per_second_one_after_another": round(rate, 1),
            "restart_to_ready_s": round(seconds, 2),
        }


def main() -> None:
    """Runs the bench."""
    with tempfile.TemporaryDirectory(prefix="figford-control-") as folder:
        running = deployment.Deployment(pathlib.Path(folder), ENTRIES)
        control_bench = ControlBench(running)
        try:
            control_bench.start()
            bench.print_result("submissions", control_bench.submissions())
            bench.print_result(
                "leader killed", control_bench.failover("leader")
            )
            bench.print_result(
                "planner killed", control_bench.failover("planner")
            )
            bench.print_result(
                "missed changes", control_bench.missed_changes()
            )
            bench.print_result(
                "both members killed, spares", control_bench.group_failure()
            )
        finally:
            running.kill_all()


if __name__ == "__main__":
    main()
