"""Measures an entry's added latency, throughput and resource usage."""

import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import time
import typing

import attrs

from figford import operators
from figford.tools import demo
from figford.tools import deployment

PAGE_BYTES = resource.getpagesize()
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ENGINE_GROUPS = 4
TOKEN_SECONDS = 0.02


@attrs.frozen
class ProcessUsage:
    """Processor time and memory of a process at one moment."""

    cpu_seconds: float
    resident_bytes: int
    at: float


def process_usage(pid: int) -> ProcessUsage:
    """Returns the usage of a process so far."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(
        ticks / TICKS_PER_SECOND, pages * PAGE_BYTES, time.monotonic()
    )


def bench_configuration(replicas: int) -> operators.Configuration:
    """Returns a configuration with one-instance replicas and high limits."""
    return attrs.evolve(
        demo.demo_configuration(),
        serving_groups=[
            operators.ServingGroup(
                name=demo.MODEL,
                model="parque-70b",
                replicas={"medellin": replicas},
                shape=operators.Replica(instances=1),
                concurrency=1_000,
            )
        ],
        client_accounts=[
            operators.ClientAccount(
                name="kiosks",
                key_digest=operators.key_digest(demo.KEY),
                limits=operators.Limits(
                    requests_per_second=100_000.0,
                    burst=100_000,
                    concurrency=100_000,
                    tokens_per_second=10_000_000.0,
                ),
            )
        ],
        data_centres=[
            operators.DataCentre(name="medellin", entries=["entry-1"])
        ],
    )


def load(address: str, rate: float, tokens: int, seconds: float) -> dict:
    """Runs the load generator in a process of its own."""
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "figford.tools.load",
            f"--address={address}",
            f"--rate={rate}",
            f"--tokens={tokens}",
            f"--seconds={seconds}",
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(completed.stdout)


@attrs.define
class Bench:
    """A deployment of one entry and one-instance engine groups."""

    running: deployment.Deployment

    @classmethod
    def start(cls, folder: pathlib.Path) -> "Bench":
        """Starts the deployment and waits until it serves."""
        plans = [deployment.EntryPlan("entry-1", "medellin", disk=True)]
        running = deployment.Deployment(folder, plans)
        running.start_entries()
        for index in range(ENGINE_GROUPS):
            running.start_engines(
                f"engine{index}",
                "medellin",
                f"fabric-{index}",
                1,
                {"token_seconds": TOKEN_SECONDS},
            )
        running.wait(
            "a leader", lambda: running.status("entry-1").get("leader")
        )
        answer = running.submit(
            "entry-1", bench_configuration(ENGINE_GROUPS), 0, "bench"
        )
        demo.expect("submission", answer.status, 200)
        running.wait_ready("entry-1")
        running.wait_groups("entry-1", ENGINE_GROUPS)
        return cls(running)

    @property
    def entry_pid(self) -> int:
        """Returns the process ID of the entry."""
        return self.running.process_by_name["entry-1"].pid

    def engine_addresses(self) -> str:
        """Returns the addresses of all engines."""
        groups = self.running.status("entry-1")["groups"]
        return ",".join(group["address"] for group in groups)

    def measure(self, rate: float, tokens: int, seconds: float) -> dict:
        """Returns a load's report with the entry's resource usage."""
        before = process_usage(self.entry_pid)
        report = load(
            self.running.callers_address("entry-1"), rate, tokens, seconds
        )
        after = process_usage(self.entry_pid)
        cpu = after.cpu_seconds - before.cpu_seconds
        requests = max(1, sum(report["outcomes"].values()))
        report["entry"] = {
            "cores": round(cpu / report["seconds"], 3),
            "cpu_us_per_token": round(cpu / max(1, report["tokens"]) * 1e6, 1),
            "cpu_ms_per_request": round(cpu / requests * 1e3, 3),
            "resident_mb": round(after.resident_bytes / 1e6, 1),
        }
        return report


def print_result(title: str, document: typing.Any) -> None:
    """Prints one result."""
    print(f"{title}: {json.dumps(document)}", flush=True)


def added_latency(via_entry: dict, direct: dict, kind: str) -> dict:
    """Returns the latency that the entry added, by percentile, in ms."""
    return {
        name: round(via_entry[kind][name] - direct[kind][name], 3)
        for name in ("p50_ms", "p95_ms", "p99_ms")
    }


def compare(
    bench: Bench, title: str, rate: float, tokens: int, seconds: float
) -> None:
    """Measures the same load sent directly and through the entry."""
    direct = load(bench.engine_addresses(), rate, tokens, seconds)
    via_entry = bench.measure(rate, tokens, seconds)
    print_result(f"{title}, direct", direct)
    print_result(f"{title}, through the entry", via_entry)
    print_result(
        f"{title}, added before the first token",
        added_latency(via_entry, direct, "first_way"),
    )
    print_result(
        f"{title}, added per token",
        added_latency(via_entry, direct, "token_way"),
    )
    print_result(
        f"{title}, added between tokens",
        added_latency(via_entry, direct, "between_tokens"),
    )


def bench_request_path(folder: pathlib.Path) -> None:
    """Measures added latency, sustained load, processor time and memory."""
    bench = Bench.start(folder)
    try:
        idle_before = process_usage(bench.entry_pid)
        time.sleep(5)
        idle = process_usage(bench.entry_pid)
        print_result(
            "entry idle",
            {
                "resident_mb": round(idle.resident_bytes / 1e6, 1),
                "cores": round(
                    (idle.cpu_seconds - idle_before.cpu_seconds)
                    / (idle.at - idle_before.at),
                    4,
                ),
            },
        )
        compare(bench, "2 requests/s of 100 tokens", 2.0, 100, 10.0)
        # One entry's average share of the peak load of the capacity target,
        # and three times that share.
        compare(bench, "5 requests/s and 1,667 tokens/s", 5.0, 333, 20.0)
        compare(bench, "15 requests/s and 5,000 tokens/s", 15.0, 333, 20.0)
        print_result("60 requests/s of 4 tokens", bench.measure(60.0, 4, 10.0))
    finally:
        bench.running.kill_all()


def main() -> None:
    """Runs the benches."""
    with tempfile.TemporaryDirectory(prefix="figford-bench-") as folder:
        bench_request_path(pathlib.Path(folder))


if __name__ == "__main__":
    main()
