"""Black-box fault injection on real processes: signals, restarts, disk loss.

Controllers, entries and stand-in upstreams run as separate processes on
loopback addresses. Callers and an operator send requests while processes are
killed, paused, stopped and restarted, and while relays delay, reset, block
both directions or block one direction of the connections to upstreams and of
their reports, or cut a whole group off for long. Both series of faults
overlap. Meanwhile upstreams name limits, which change and end, and count the
requests of all entries; they reject a part of them and count the repeats; one
prompt part after the other crashes them. The guarantees are checked during the
run against what callers and upstreams observe. The same seed gives the same
series of faults, but the interleaving depends on the machine.
"""

import collections
import json
import math
import pathlib
import random
import signal
import tempfile
import threading
import time
import typing

import attrs
import typer

from figford.tests.platform import crashmeter
from figford.tests.platform import relay
from figford.tests.platform import standin
from figford.tests.platform import test_processes

ENTRIES = ("127.0.0.21", "127.0.0.22")
CONTROLLERS = test_processes.CONTROLLERS
STREAM_EVENTS = [b"id: %d" % number for number in range(1, 7)]
PAUSE_SECONDS = (0.2, 4.0)
BETWEEN_FAULTS_SECONDS = (0.3, 2.5)
BETWEEN_RELAY_FAULTS_SECONDS = (0.1, 1.5)
# Shares of the relays that a fault affects: about one, half or all.
FAULTY_RELAY_SHARES = (0.15, 0.5, 1.0)
# Cuts last longer than a head's silence until it counts as lost, and the
# engines return one after the other.
CUT_SHARE = 0.2
CUT_SECONDS = (8.5, 12.0)
BETWEEN_RETURNS_SECONDS = (0.05, 1.0)
# Upstreams name one of these limits, or none, for so long. Requests that a
# blocked connection holds back arrive together, so larger limits would be
# exceeded by what was sent within them.
LIMITS_PER_SECOND = (0.5, 1.0, 1.5, None, None, None)
LIMIT_SECONDS = (4.0, 12.0)
# Upstreams reject one of these parts of their requests for a while.
SHED_SHARES = (0.3, 0.7)
SHED_SECONDS = (1.0, 4.0)
BETWEEN_SHEDDING_SECONDS = (1.0, 4.0)
RESTARTS_IN_SERIES = 3
# A part crashes upstreams for so long, then another one does.
CRASHING_SECONDS = (20.0, 40.0)
BETWEEN_CRASHING_SECONDS = (0.02, 0.2)
# Attempts whose id begins so may run more than once.
IDEMPOTENT_PREFIX = "read"
REFUSED_BY_VERDICT = b"crashes-upstreams"
# A change of the groups' sizes is drawn so often; the largest ones leave an
# engine over.
BETWEEN_SIZES_SECONDS = (5.0, 20.0)
LARGE_SIZES = (2, 3, 4)
SMALL_SIZES = (1, 2)
# Retries of a call wait this long, and entries take this long to notice a
# fault.
SETTLE_SECONDS = 12.0
ACKNOWLEDGED_IN_FORCE_SECONDS = 5.0


class GuaranteeViolated(AssertionError):
    """A guarantee that must always hold was violated."""


@attrs.define
class SoakRecord:
    """The answers that callers and the operator got, and violations."""

    acknowledged_version: int = 0
    submitted_version: int = 3
    refused_attempts: list = attrs.field(factory=list)
    answered_attempts: list = attrs.field(factory=list)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    violations: list = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def add_violation(self, description: str) -> None:
        """Records a violated guarantee."""
        with self.lock:
            self.violations.append(description)


@attrs.define
class Soak:
    """One run, which ends only processes that it started."""

    seed: int
    cluster: test_processes.ProcessCluster
    record: SoakRecord = attrs.field(factory=SoakRecord)
    rng: random.Random = attrs.field(init=False)
    finished: threading.Event = attrs.field(factory=threading.Event)
    relays: relay.Relays = attrs.field(init=False)
    upstream_relays: list[list[relay.Relay]] = attrs.field(init=False)
    shared_relays: list[relay.Relay] = attrs.field(init=False)
    disk_lost_at: float = -1e9
    # The sizes that versions name, and whether one of them is acknowledged.
    sizes: dict[str, int] = attrs.field(
        factory=lambda: dict(test_processes.SIZES)
    )
    are_sizes_acknowledged: bool = True
    # When each process was last killed, stopped, paused or started.
    disturbed_at_by_name: dict[str, float] = attrs.field(factory=dict)
    _attempts: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the seeded random generator and the relays."""
        self.rng = random.Random(self.seed)
        self.upstream_relays = self.cluster.upstream_relays()
        controllers = self.cluster.controller_relays()
        self.shared_relays = [own[0] for own in self.upstream_relays]
        self.shared_relays += controllers
        self.relays = relay.Relays(sum(self.upstream_relays, controllers))

    # ---- Callers --------------------------------------------------------

    def send_request(self, entry: str, path: str, **headers: str):
        """Returns the id of an attempt and its answer or None."""
        with self.record.lock:
            self._attempts += 1
            attempt = f"soak{self._attempts}"
        sent = {
            "Host": "h.example",
            "Figford-Attempt-Id": attempt,
            "Figford-Deadline-Remaining": "4000",
            "X-Api-Key": test_processes.KEY,
        }
        sent |= {name.replace("_", "-"): v for name, v in headers.items()}
        address = f"{entry}:{self.cluster.ports[1]}"
        return attempt, self.cluster.call(address, "POST", path, b"{}", sent)

    def stream(self, entry: str, rng: random.Random) -> None:
        """Requests a stream; one that ends without error must be whole."""
        model = rng.choice(("large", "small"))
        _, answer = self.send_request(entry, "/ask/x", Figford_Model=model)
        self.count("stream", answer)
        if answer is not None and answer.status == 200:
            found = test_processes.events(answer)
            if found != STREAM_EVENTS:
                self.record.add_violation(
                    f"a stream ended without error with {found}"
                )

    def call_once(self, entry: str, rng: random.Random) -> None:
        """Sends a call that may run at most once."""
        attempt, answer = self.send_request(entry, "/book/x")
        self.count("call", answer)
        if answer is None:
            return
        with self.record.lock:
            if answer.status == 200:
                self.record.answered_attempts.append(attempt)
            elif answer.status in (503, 429):
                self.record.refused_attempts.append(attempt)

    def count(self, kind: str, answer: object) -> None:
        """Counts how an attempt ended."""
        status = answer.status if answer else "none"
        with self.record.lock:
            self.record.outcomes[f"{kind} {status}"] += 1

    def run_caller(self, number: int) -> None:
        """Sends the requests of one caller until the run is over."""
        rng = random.Random(f"{self.seed}/{number}")
        while not self.finished.is_set():
            entry = rng.choice(ENTRIES)
            rng.choice((self.stream, self.call_once))(entry, rng)
            time.sleep(rng.uniform(0.0, 0.05))

    # ---- The operator ---------------------------------------------------

    def run_operator(self) -> None:
        """Submits versions and reads them back until the run is over."""
        rng = random.Random(f"{self.seed}/operator")
        change_at = time.monotonic() + rng.uniform(*BETWEEN_SIZES_SECONDS)
        while not self.finished.is_set():
            if time.monotonic() >= change_at:
                change_at += rng.uniform(*BETWEEN_SIZES_SECONDS)
                self.change_sizes(rng)
            self.submit(rng.choice(CONTROLLERS))
            self.read(rng.choice(CONTROLLERS))
            time.sleep(rng.uniform(0.05, 0.5))

    def change_sizes(self, rng: random.Random) -> None:
        """Lets the next versions name other sizes of groups."""
        self.sizes = {
            "large": rng.choice(LARGE_SIZES),
            "small": rng.choice(SMALL_SIZES),
        }
        self.cluster.name_sizes(self.sizes)
        self.are_sizes_acknowledged = False
        self.record.outcomes["sizes changed"] += 1

    def submit(self, controller: str) -> None:
        """Submits the next version to one controller."""
        record = self.record
        record.submitted_version += 1
        document = test_processes.manifest(
            record.submitted_version, sizes=self.sizes
        )
        answer = self.cluster.control(
            controller, "/figford/config/replace", document
        )
        record.outcomes[f"submit {answer.status if answer else 'none'}"] += 1
        if answer is not None and answer.status == 200:
            record.acknowledged_version = record.submitted_version
            if not self.are_sizes_acknowledged:
                self.cluster.name_sizes(None)
                self.are_sizes_acknowledged = True
        elif answer is not None and answer.status != 503:
            record.add_violation(
                f"a valid manifest was answered with {answer.status}"
            )

    def read(self, controller: str) -> None:
        """Reads the version in force at one controller."""
        known = self.record.acknowledged_version
        answer = self.cluster.control(controller, "/figford/config/get")
        if answer is None or answer.status != 200:
            return
        version = json.loads(answer.body)["version"]
        if version < known:
            self.record.add_violation(
                f"{controller} read {version}, but {known} was acknowledged"
            )

    # ---- Faults ---------------------------------------------------------

    def inject_fault(self) -> None:
        """Injects one fault into a process or all controllers."""
        name = self.rng.choice((*CONTROLLERS, *ENTRIES))
        self.disturbed_at_by_name[name] = math.inf
        self._inject_fault_into(name)
        self.disturbed_at_by_name[name] = time.monotonic()

    def _inject_fault_into(self, name: str) -> None:
        match self.rng.randrange(7):
            case 0:
                self.cluster.kill(name)
                self.start(name)
            case 1:
                self.signal(name, signal.SIGSTOP)
                time.sleep(self.rng.uniform(*PAUSE_SECONDS))
                self.signal(name, signal.SIGCONT)
            case 2:
                self.signal(name, signal.SIGTERM)
                process = self.cluster.process_by_name.pop(name)
                process.wait()
                self.start(name)
            case 3:
                for controller in CONTROLLERS:
                    self.cluster.kill(controller)
                for controller in CONTROLLERS:
                    self.start(controller)
            case 4 if time.monotonic() - self.disk_lost_at > SETTLE_SECONDS:
                self.lose_disk(self.rng.choice(CONTROLLERS))
            case 6:
                self.restart_entries_in_series()
            case _:
                self.signal(name, signal.SIGHUP)

    def restart_entries_in_series(self) -> None:
        """Kills all entries again and again."""
        for entry in ENTRIES:
            self.disturbed_at_by_name[entry] = math.inf
        for _ in range(RESTARTS_IN_SERIES):
            for entry in ENTRIES:
                self.cluster.kill(entry)
                self.start(entry)
            time.sleep(self.rng.uniform(*BETWEEN_FAULTS_SECONDS))
        for entry in ENTRIES:
            self.disturbed_at_by_name[entry] = time.monotonic()

    def run_relay_faults(self) -> None:
        """Injects faults into upstreams' connections until the run is over."""
        rng = random.Random(f"{self.seed}/relays")
        while not self.finished.wait(
            rng.uniform(*BETWEEN_RELAY_FAULTS_SECONDS)
        ):
            if rng.random() < CUT_SHARE:
                self.cut_engines(rng)
                continue
            share = rng.choice(FAULTY_RELAY_SHARES)
            fault = rng.choice([item for item in relay.ConnectionFault])
            faulty = [
                item for item in self.shared_relays if rng.random() < share
            ]
            for item in faulty:
                self.relays.set_fault(item, fault)
            self.record.outcomes[f"relays {fault.value}"] += len(faulty)
            self.finished.wait(rng.uniform(*PAUSE_SECONDS))
            for item in faulty:
                self.relays.set_fault(item, relay.ConnectionFault.NONE)

    def run_limits(self) -> None:
        """Lets upstreams name limits until the run is over."""
        rng = random.Random(f"{self.seed}/limits")
        count = standin.ENGINE_COUNT + standin.PLAIN_COUNT
        while not self.finished.is_set():
            for index in range(count):
                if rng.random() < 0.5:
                    self.cluster.name_limit(
                        index, rng.choice(LIMITS_PER_SECOND)
                    )
            self.finished.wait(rng.uniform(*LIMIT_SECONDS))
            self.record.outcomes["requests within limits"] += sum(
                self.cluster.requests_within_limit(index)
                for index in range(count)
            )

    def run_shedding(self) -> None:
        """Lets upstreams reject requests until the run is over."""
        rng = random.Random(f"{self.seed}/shedding")
        upstreams = range(standin.ENGINE_COUNT + standin.PLAIN_COUNT)
        while not self.finished.wait(rng.uniform(*BETWEEN_SHEDDING_SECONDS)):
            chosen = rng.sample(upstreams, rng.randint(1, len(upstreams)))
            share = rng.choice(SHED_SHARES)
            for index in chosen:
                self.cluster.shed(index, share)
            self.record.outcomes["upstreams shed"] += len(chosen)
            self.finished.wait(rng.uniform(*SHED_SECONDS))
            for index in chosen:
                self.cluster.shed(index, 0.0)

    def run_crashing_requests(self) -> None:
        """Sends requests with parts that crash upstreams.

        The users' bound holds for entries that were not disturbed lately.
        """
        rng = random.Random(f"{self.seed}/crashing")
        number = 0
        while not self.finished.is_set():
            number += 1
            part = f"dead{number}"
            self.cluster.crash_upstreams_by(part)
            for entry in self._crashing_entries(rng):
                _, answer = self.send_request(
                    entry,
                    "/ask/x",
                    Figford_Model=rng.choice(("large", "small")),
                    Figford_Prompt_Prefix=(
                        f"first:1,{part}:1,{rng.random()}:1"
                    ),
                )
                self.count("crashing", answer)

    def run_requests_that_come_again(self) -> None:
        """Sends one account's read, which crashes upstreams, again and again.

        The other account's reads at the same path are sound.
        """
        rng = random.Random(f"{self.seed}/again")
        number = 0
        while not self.finished.is_set():
            number += 1
            path = f"/status/dead{number}"
            self.cluster.crash_upstreams_by(
                f"{path} acme", crashmeter.REQUEST_CRASHES
            )
            for reads, entry in enumerate(self._crashing_entries(rng)):
                attempt = f"{IDEMPOTENT_PREFIX}{number}-{reads}"
                _, answer = self.send_request(
                    entry, path, Figford_Attempt_Id=f"{attempt}-dead"
                )
                self.count("crashing again", answer)
                _, answer = self.send_request(
                    entry,
                    path,
                    Figford_Attempt_Id=attempt,
                    X_Api_Key=test_processes.OTHER_KEY,
                )
                self.count("sound again", answer)
                if answer is not None and REFUSED_BY_VERDICT in answer.body:
                    self.record.add_violation(
                        "another account's sound read was refused by a verdict"
                    )

    def _crashing_entries(self, rng: random.Random) -> typing.Iterator[str]:
        """Yields entries that were not disturbed lately, for a while."""
        window = crashmeter.WINDOW.total_seconds()
        end = time.monotonic() + rng.uniform(*CRASHING_SECONDS)
        while time.monotonic() < end and not self.finished.wait(
            rng.uniform(*BETWEEN_CRASHING_SECONDS)
        ):
            entry = rng.choice(ENTRIES)
            disturbed_at = self.disturbed_at_by_name.get(entry, -1e9)
            if time.monotonic() - disturbed_at >= window:
                yield entry

    def cut_engines(self, rng: random.Random) -> None:
        """Cuts the largest group or half of the engines off for long."""
        engines = range(standin.ENGINE_COUNT)
        cut = rng.sample(engines, standin.ENGINE_COUNT // 2)
        if rng.random() < 0.5:
            groups = self.cluster.members_by_group().values()
            # The head returns last.
            cut = max(groups, key=len, default=cut)[::-1]
        for engine in cut:
            for item in self.upstream_relays[engine]:
                self.relays.set_fault(item, relay.ConnectionFault.SILENT)
        self.record.outcomes["engines cut"] += len(cut)
        self.finished.wait(rng.uniform(*CUT_SECONDS))
        for engine in cut:
            for item in self.upstream_relays[engine]:
                self.relays.set_fault(item, relay.ConnectionFault.NONE)
            self.finished.wait(rng.uniform(*BETWEEN_RETURNS_SECONDS))

    def start(self, name: str) -> None:
        """Restarts a process that ended."""
        self.cluster.start(name, bootstrap=False)

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process of this run."""
        self.cluster.process_by_name[name].send_signal(number)

    def lose_disk(self, name: str) -> None:
        """Restarts one controller with an empty folder; others stay up."""
        self.cluster.kill(name)
        for file in (self.cluster.folder / name).iterdir():
            file.unlink()
        self.start(name)
        time.sleep(SETTLE_SECONDS)
        self.disk_lost_at = time.monotonic()

    # ---- A run ----------------------------------------------------------

    def run(self, seconds: float) -> SoakRecord:
        """Runs callers, operator and faults; raises GuaranteeViolated."""
        for name in (*CONTROLLERS, *ENTRIES):
            self.cluster.start(name)
        self.relays.start()
        self.cluster.start_upstreams()
        self.cluster.submit(test_processes.manifest(3))
        self.cluster.wait_until_served("/ask/x", Figford_Model="large")
        workers = [
            threading.Thread(target=self.run_caller, args=(number,))
            for number in range(4)
        ]
        workers.append(threading.Thread(target=self.run_operator))
        workers.append(threading.Thread(target=self.run_relay_faults))
        workers.append(threading.Thread(target=self.run_limits))
        workers.append(threading.Thread(target=self.run_shedding))
        workers.append(threading.Thread(target=self.run_crashing_requests))
        again = threading.Thread(target=self.run_requests_that_come_again)
        workers.append(again)
        for worker in workers:
            worker.start()
        end = time.monotonic() + seconds
        try:
            while time.monotonic() < end and not self.record.violations:
                time.sleep(self.rng.uniform(*BETWEEN_FAULTS_SECONDS))
                self.inject_fault()
                self.check_runs()
                self.check_invariants()
        finally:
            self.finished.set()
            for worker in workers:
                worker.join()
        self.check_end()
        if self.record.violations:
            raise GuaranteeViolated("; ".join(self.record.violations[:5]))
        return self.record

    def check_runs(self) -> dict[str, int]:
        """Returns the count of runs by attempt; none may exceed one."""
        runs = self.cluster.runs()
        for attempt, count in runs.items():
            if count > 1 and not attempt.startswith(IDEMPOTENT_PREFIX):
                self.record.add_violation(f"{attempt} ran {count} times")
        return runs

    def check_invariants(self) -> None:
        """Records the broken invariants that the upstreams printed."""
        for line in self.cluster.broken_invariants():
            self.record.add_violation(line)

    def check_end(self) -> None:
        """Compares answers with upstreams' runs and the stored version."""
        self.check_invariants()
        runs = self.check_runs()
        for attempt in self.record.refused_attempts:
            if runs.get(attempt):
                self.record.add_violation(
                    f"{attempt} was reported as not run, but ran"
                )
        for attempt in self.record.answered_attempts:
            if not runs.get(attempt):
                self.record.add_violation(
                    f"{attempt} was answered, but did not run"
                )
        stored = self.cluster.wait(
            "a manifest at the end", lambda: self.cluster.read(CONTROLLERS[0])
        )
        if stored["version"] < self.record.acknowledged_version:
            self.record.add_violation(
                "the newest acknowledged version is lost"
            )


def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    module: str = "figford.platform",
) -> SoakRecord:
    """Runs one seed in a folder of its own; each process runs `module`.

    Raises GuaranteeViolated.
    """
    cluster = test_processes.ProcessCluster(
        folder, entries=ENTRIES, module=module, uses_relays=True
    )
    soak_run = Soak(seed, cluster)
    try:
        return soak_run.run(seconds)
    finally:
        soak_run.relays.end()
        cluster.kill_all()


def main(seed: int = 1, minutes: float = 1.0, each: float = 30.0) -> None:
    """Runs seed after seed, `each` seconds long, for some minutes."""
    end = time.monotonic() + minutes * 60
    while time.monotonic() < end:
        with tempfile.TemporaryDirectory() as folder:
            record = soak(seed, each, pathlib.Path(folder))
        print(
            f"seed {seed}: {dict(sorted(record.outcomes.items()))}", flush=True
        )
        seed += 1


if __name__ == "__main__":
    typer.run(main)
