"""Real processes under signals, restarts and lost disks, checked from outside.

Controllers, entries and stand-in upstreams run as separate processes on
loopback addresses. Callers and an operator keep working while processes are
killed, paused, stopped and started again, in series that overlap, and while
relays delay, reset, silence or cut one way what goes to upstreams and what
they report. What the promises say is checked while it runs, by what callers
and upstreams see. Same seed, same series of faults; the interleaving is the
machine's.
"""

import collections
import json
import pathlib
import random
import signal
import tempfile
import threading
import time

import attrs
import typer

from figford.tests.platform import relay
from figford.tests.platform import standin
from figford.tests.platform import test_processes

ENTRIES = ("127.0.0.21", "127.0.0.22")
CONTROLLERS = test_processes.CONTROLLERS
STREAM = [b"id: %d" % number for number in range(1, 7)]
PAUSE_SECONDS = (0.2, 4.0)
BETWEEN_FAULTS_SECONDS = (0.3, 2.5)
BETWEEN_HARMS_SECONDS = (0.1, 1.5)
# One connection's way, some of them, or all.
SHARES_HARMED = (0.15, 0.5, 1.0)
# Repeats of a call wait this long, and entries take this long to notice.
SETTLED_SECONDS = 12.0
ACKNOWLEDGED_IN_FORCE_SECONDS = 5.0


class PromiseBroken(AssertionError):
    """Something that must always hold did not."""


@attrs.define
class Ledger:
    """What callers and the operator were told."""

    acknowledged: int = 0
    submitted: int = 3
    refused: list = attrs.field(factory=list)
    answered: list = attrs.field(factory=list)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    broken: list = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def fail(self, what: str) -> None:
        """Notes a broken promise."""
        with self.lock:
            self.broken.append(what)


@attrs.define
class Soak:
    """One run; it ends only processes that it started."""

    seed: int
    running: test_processes.Running
    ledger: Ledger = attrs.field(factory=Ledger)
    rng: random.Random = attrs.field(init=False)
    over: threading.Event = attrs.field(factory=threading.Event)
    relays: relay.Relays = attrs.field(init=False)
    disk_lost_at: float = -1e9
    _attempts: int = 0

    def __attrs_post_init__(self) -> None:
        """Seeds the faults."""
        self.rng = random.Random(self.seed)
        self.relays = relay.Relays(self.running.relays())

    # ---- Callers --------------------------------------------------------

    def ask(self, entry: str, path: str, **headers: str):
        """Returns an attempt's id and its answer, or None."""
        with self.ledger.lock:
            self._attempts += 1
            attempt = f"soak{self._attempts}"
        sent = {
            "Host": "h.example",
            "Figford-Attempt-Id": attempt,
            "Figford-Deadline-Remaining": "4000",
            "X-Api-Key": test_processes.KEY,
        }
        sent |= {name.replace("_", "-"): v for name, v in headers.items()}
        address = f"{entry}:{self.running.ports[1]}"
        return attempt, self.running.call(address, "POST", path, b"{}", sent)

    def stream(self, entry: str, rng: random.Random) -> None:
        """Asks for a stream; one that looks whole must be whole."""
        model = rng.choice(("large", "small"))
        _, answer = self.ask(entry, "/ask/x", Figford_Model=model)
        self.count("stream", answer)
        if answer is not None and answer.status == 200:
            found = test_processes.events(answer)
            if found != STREAM:
                self.ledger.fail(f"a stream looks whole with {found}")

    def book(self, entry: str, rng: random.Random) -> None:
        """Makes a call that may run once."""
        attempt, answer = self.ask(entry, "/book/x")
        self.count("call", answer)
        if answer is None:
            return
        with self.ledger.lock:
            if answer.status == 200:
                self.ledger.answered.append(attempt)
            elif answer.status in (503, 429):
                self.ledger.refused.append(attempt)

    def count(self, kind: str, answer: object) -> None:
        """Counts how an attempt ended."""
        status = answer.status if answer else "none"
        with self.ledger.lock:
            self.ledger.outcomes[f"{kind} {status}"] += 1

    def call_on(self, number: int) -> None:
        """Keeps one caller busy until the run is over."""
        rng = random.Random(f"{self.seed}/{number}")
        while not self.over.is_set():
            entry = rng.choice(ENTRIES)
            rng.choice((self.stream, self.book))(entry, rng)
            time.sleep(rng.uniform(0.0, 0.05))

    # ---- The operator ---------------------------------------------------

    def operate(self) -> None:
        """Submits versions and reads them back until the run is over."""
        rng = random.Random(f"{self.seed}/operator")
        while not self.over.is_set():
            self.submit(rng.choice(CONTROLLERS))
            self.read(rng.choice(CONTROLLERS))
            time.sleep(rng.uniform(0.05, 0.5))

    def submit(self, controller: str) -> None:
        """Submits the next version to one controller."""
        ledger = self.ledger
        ledger.submitted += 1
        document = test_processes.manifest(ledger.submitted)
        answer = self.running.control(
            controller, "/figford/config/replace", document
        )
        ledger.outcomes[f"submit {answer.status if answer else 'none'}"] += 1
        if answer is not None and answer.status == 200:
            ledger.acknowledged = ledger.submitted
        elif answer is not None and answer.status != 503:
            ledger.fail(f"a valid version got {answer.status}")

    def read(self, controller: str) -> None:
        """Reads the version in force at one controller."""
        known = self.ledger.acknowledged
        answer = self.running.control(controller, "/figford/config/get")
        if answer is None or answer.status != 200:
            return
        version = json.loads(answer.body)["version"]
        if version < known:
            self.ledger.fail(f"{controller} reads {version} after {known}")

    # ---- Faults ---------------------------------------------------------

    def fault(self) -> None:
        """Does one thing to one process."""
        name = self.rng.choice((*CONTROLLERS, *ENTRIES))
        match self.rng.randrange(6):
            case 0:
                self.running.kill(name)
                self.start(name)
            case 1:
                self.signal(name, signal.SIGSTOP)
                time.sleep(self.rng.uniform(*PAUSE_SECONDS))
                self.signal(name, signal.SIGCONT)
            case 2:
                self.signal(name, signal.SIGTERM)
                process = self.running.by_ip.pop(name)
                process.wait()
                self.start(name)
            case 3:
                for controller in CONTROLLERS:
                    self.running.kill(controller)
                for controller in CONTROLLERS:
                    self.start(controller)
            case 4 if time.monotonic() - self.disk_lost_at > SETTLED_SECONDS:
                self.lose_disk(self.rng.choice(CONTROLLERS))
            case _:
                self.signal(name, signal.SIGHUP)

    def harm_on(self) -> None:
        """Harms connections to and from upstreams until the run is over."""
        rng = random.Random(f"{self.seed}/relays")
        while not self.over.wait(rng.uniform(*BETWEEN_HARMS_SECONDS)):
            share = rng.choice(SHARES_HARMED)
            harm = rng.choice([item for item in relay.Harm])
            harmed = [
                item for item in self.relays.relays if rng.random() < share
            ]
            for item in harmed:
                self.relays.do(item, harm)
            self.ledger.outcomes[f"relays {harm.value}"] += len(harmed)
            self.over.wait(rng.uniform(*PAUSE_SECONDS))
            for item in harmed:
                self.relays.do(item, relay.Harm.NONE)

    def start(self, name: str) -> None:
        """Starts a process that ended."""
        self.running.start(name, founding=False)

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process of this run."""
        self.running.by_ip[name].send_signal(number)

    def lose_disk(self, name: str) -> None:
        """Ends a controller and empties its folder; others stay up."""
        self.running.kill(name)
        for file in (self.running.folder / name).iterdir():
            file.unlink()
        self.start(name)
        time.sleep(SETTLED_SECONDS)
        self.disk_lost_at = time.monotonic()

    # ---- A run ----------------------------------------------------------

    def run(self, seconds: float) -> Ledger:
        """Runs callers, operator and faults; raises PromiseBroken."""
        for name in (*CONTROLLERS, *ENTRIES):
            self.running.start(name)
        self.relays.start()
        self.running.start_upstreams()
        self.running.submit(test_processes.manifest(3))
        self.running.served("/ask/x", Figford_Model="large")
        workers = [
            threading.Thread(target=self.call_on, args=(number,))
            for number in range(4)
        ]
        workers.append(threading.Thread(target=self.operate))
        workers.append(threading.Thread(target=self.harm_on))
        for worker in workers:
            worker.start()
        end = time.monotonic() + seconds
        try:
            while time.monotonic() < end and not self.ledger.broken:
                time.sleep(self.rng.uniform(*BETWEEN_FAULTS_SECONDS))
                self.fault()
                self.look_for_repeats()
                self.look_for_broken_groups()
        finally:
            self.over.set()
            for worker in workers:
                worker.join()
        self.check_end()
        if self.ledger.broken:
            raise PromiseBroken("; ".join(self.ledger.broken[:5]))
        return self.ledger

    def look_for_repeats(self) -> dict[str, int]:
        """Returns what upstreams ran; no call may have run twice."""
        runs = self.running.runs()
        for attempt, count in runs.items():
            if count > 1:
                self.ledger.fail(f"{attempt} ran {count} times")
        return runs

    def look_for_broken_groups(self) -> None:
        """Reads what upstreams say of orders that must never be."""
        for line in self.running.said("standin"):
            if line.startswith(standin.BROKEN):
                self.ledger.fail(line)

    def check_end(self) -> None:
        """Compares what was told with what upstreams ran and disks hold."""
        self.look_for_broken_groups()
        runs = self.look_for_repeats()
        for attempt in self.ledger.refused:
            if runs.get(attempt):
                self.ledger.fail(f"{attempt} was called not run, and ran")
        for attempt in self.ledger.answered:
            if not runs.get(attempt):
                self.ledger.fail(f"{attempt} was answered and did not run")
        held = self.running.wait(
            "a manifest at the end", lambda: self.running.read(CONTROLLERS[0])
        )
        if held["version"] < self.ledger.acknowledged:
            self.ledger.fail("the newest acknowledged version is lost")


def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    program: str = "figford.platform",
) -> Ledger:
    """Runs one seed in a folder of its own; `program` runs as each process.

    Raises PromiseBroken.
    """
    running = test_processes.Running(
        folder, entries=ENTRIES, program=program, relayed=True
    )
    made = Soak(seed, running)
    try:
        return made.run(seconds)
    finally:
        made.relays.end()
        running.end()


def main(seed: int = 1, minutes: float = 1.0, each: float = 30.0) -> None:
    """Runs seeds of `each` seconds one after another for some minutes."""
    end = time.monotonic() + minutes * 60
    while time.monotonic() < end:
        with tempfile.TemporaryDirectory() as folder:
            ledger = soak(seed, each, pathlib.Path(folder))
        print(
            f"seed {seed}: {dict(sorted(ledger.outcomes.items()))}", flush=True
        )
        seed += 1


if __name__ == "__main__":
    typer.run(main)
