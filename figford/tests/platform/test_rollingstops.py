"""Entries stop and start again one after the other, beside other planned work.

Their settings change with SIGHUP, new manifests move streams and remove routes
meanwhile, and upstreams pause within their streams. Each request that an entry
has read is answered in whole or refused, as in `test_stops`.
"""

import contextlib
import http.client
import json
import random
import signal
import subprocess
import threading
import time

import attrs

from figford.tests.platform import test_processes
from figford.tests.platform import test_silentstreams
from figford.tests.platform import test_stops

ENTRIES = tuple(f"127.0.0.{number}" for number in range(21, 25))
CALLERS = 40
STOPS = 4
# An entry that stops gets no new connections after this time, which is before
# it closes its port.
REMOVED_SECONDS = 1.5
BETWEEN_STOPS_SECONDS = (2.0, 4.0)
CHANGE_SECONDS = 0.5


@attrs.define(eq=False)
class Life:
    """One process of an entry, and when it was stopped."""

    entry: str
    process: subprocess.Popen
    stopped_at: float = float("inf")
    exited_after: float | None = None


@attrs.define
class MovingCaller(test_silentstreams.SlowStreamCaller):
    """Opens each connection to another entry that takes new ones."""

    lives: dict[str, Life] = attrs.field(factory=dict)
    life_by_attempt: dict[str, Life] = attrs.field(factory=dict)

    def run(self) -> None:
        """Opens connections, and sends requests over each."""
        while not self.ended.is_set():
            removed_before = time.monotonic() - REMOVED_SECONDS
            lives = list(self.lives.values())
            life = self.rng.choice(
                [each for each in lives if each.stopped_at > removed_before]
            )
            connection = http.client.HTTPConnection(
                life.entry,
                self.port,
                timeout=test_processes.WAIT_TIMEOUT_SECONDS,
            )
            with contextlib.closing(connection):
                try:
                    connection.connect()
                except OSError:
                    time.sleep(test_processes.POLL_SECONDS)
                    continue
                connection.auto_open = 0
                while connection.sock and not self.ended.is_set():
                    self._request(connection)
                    self.life_by_attempt[self.sent[-1].attempt] = life
                    time.sleep(self.rng.uniform(*test_stops.THINK_SECONDS))


def manifest(version: int) -> dict:
    """Returns a manifest that moves all streams or removes a route."""
    base = test_silentstreams.manifest() | {"version": version}
    stream, *others = base["routes"]
    if version % 2:
        return base
    moved = {
        "service": "app",
        "name": "moved",
        "path_prefix": f"/moved-{version}/",
    }
    shares = [
        {"service": "pool", "weight": 90},
        {"service": "app", "weight": 10},
    ]
    split = {k: v for k, v in stream.items() if k != "service"}
    return base | {
        "routes": [
            split | {"traffic_split": shares},
            stream | moved,
            *others[: 1 + version // 2 % 2],
        ]
    }


@attrs.define
class Play:
    """Entries that stop and start again, and the changes meanwhile."""

    cluster: test_processes.ProcessCluster
    rng: random.Random
    lives: dict[str, Life] = attrs.field(factory=dict)
    ended_lives: list[Life] = attrs.field(factory=list)
    ended: threading.Event = attrs.field(factory=threading.Event)
    manifests: int = 0

    def start(self, entry: str) -> None:
        """Starts an entry and waits until it serves."""
        self.cluster.start(entry)
        for path in ("/book/x", "/ask/x"):
            self.cluster.wait_until_served(
                path, entry, Figford_Model=test_silentstreams.SMALL
            )
        process = self.cluster.process_by_name[entry]
        self.lives[entry] = Life(entry, process)

    def stop(self, entry: str) -> Life:
        """Sends SIGTERM to an entry."""
        life = self.lives[entry]
        life.stopped_at = time.monotonic()
        life.process.send_signal(signal.SIGTERM)
        return life

    def finish(self, life: Life) -> None:
        """Waits until an entry has ended."""
        life.process.wait(timeout=test_processes.WAIT_TIMEOUT_SECONDS)
        life.exited_after = time.monotonic() - life.stopped_at
        self.ended_lives.append(life)

    def change(self) -> None:
        """Changes the manifest and the settings of the entries."""
        version = 4
        while not self.ended.wait(CHANGE_SECONDS):
            if self.cluster.submit(manifest(version)).status == 200:
                self.manifests += 1
            version += 1
            for life in list(self.lives.values()):
                if life.process.poll() is not None:
                    continue
                file = self.cluster.folder / f"{life.entry}.json"
                settings = json.loads(file.read_text())
                settings["seeds"].reverse()
                file.write_text(json.dumps(settings))
                if life.stopped_at == float("inf"):
                    life.process.send_signal(signal.SIGHUP)


def test_rolling_stops_lose_no_request(tmp_path) -> None:
    """Two entries overlap at times; each starts again after its stop."""
    cluster = test_processes.ProcessCluster(
        tmp_path,
        entries=ENTRIES,
        bounds={"fencing": True, "grace_s": 8} | test_silentstreams.SCARCE,
    )
    play = Play(cluster, random.Random(7))
    threads = []
    try:
        for ip in test_processes.CONTROLLERS:
            cluster.start(ip)
        cluster.start_upstreams()
        assert cluster.submit(manifest(3)).status == 200
        for entry in ENTRIES:
            play.start(entry)
        callers = [
            MovingCaller(
                number,
                cluster.ports[1],
                random.Random(f"7 {number}"),
                play.ended,
                stream_share=0.9,
                models=(test_silentstreams.SMALL,),
                lives=play.lives,
            )
            for number in range(CALLERS)
        ]
        threads = [threading.Thread(target=each.run) for each in callers]
        threads.append(threading.Thread(target=play.change))
        for thread in threads:
            thread.start()
        stopping: list[Life] = []
        for number in range(STOPS):
            time.sleep(play.rng.uniform(*BETWEEN_STOPS_SECONDS))
            entry = ENTRIES[number % len(ENTRIES)]
            stopping.append(play.stop(entry))
            if len(stopping) == 2:
                first = stopping.pop(0)
                play.finish(first)
                play.start(first.entry)
        play.finish(stopping[0])
        play.ended.set()
        for thread in threads:
            thread.join()
        passed_on = set(cluster.runs())
    finally:
        play.ended.set()
        for thread in threads:
            thread.join()
        cluster.kill_all()
    lost = [
        life.entry + " " + test_stops.describe(item, life.stopped_at)
        for caller in callers
        for item in caller.sent
        for life in [caller.life_by_attempt.get(item.attempt)]
        if life is not None and item.is_lost(life.stopped_at, passed_on)
    ]
    assert lost == []
    assert len(play.ended_lives) == STOPS and play.manifests >= STOPS
    for life in play.ended_lives:
        assert life.exited_after <= test_stops.GRACE_SECONDS
    during = [
        item
        for caller in callers
        for item in caller.sent
        for life in [caller.life_by_attempt.get(item.attempt)]
        if life is not None and item.ended_at > life.stopped_at
    ]
    assert any(item.complete and item.status == 200 for item in during)
