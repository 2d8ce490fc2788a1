"""Entries stop while upstreams pause within the answers that they stream.

An upstream's silence is no reason to end an answer sooner: each request that
an entry has read is answered in whole or refused, as in `test_stops`. Several
groups serve the model, so that there is another target for each stream.
"""

import http.client
import random
import signal
import subprocess
import threading
import time
import typing

import attrs
import pytest

from figford.tests.platform import standin
from figford.tests.platform import test_processes
from figford.tests.platform import test_stops

ENTRY = test_processes.ENTRY
OTHER_ENTRY = "127.0.0.22"
CALLERS_PER_ENTRY = 12
# Around the times after which a group or a stream counts as silent; the last
# interval comes before the end alone.
INTERVALS_SECONDS = (0.1, 0.7, 0.85, 1.0, 1.3, 1.8)
PAUSED_SECONDS = 1.0
# So long that a stop that counts from its beginning ends streams too early.
LONG_PAUSE_SECONDS = 1.2
LONG_STREAM_SECONDS = 7.2
SMALL = "small"
SCARCE = {"retry_budget_ratio": 0.05, "retry_budget_slack": 2}
PLENTIFUL = {"retry_budget_ratio": 0.2, "retry_budget_slack": 132}


@attrs.define
class SlowStreamCaller(test_stops.Caller):
    """Asks for streams whose events come with long pauses."""

    def intervals(self) -> list[float]:
        """Returns a pause for each event; all together end in time."""
        count = standin.EVENTS_PER_STREAM
        intervals = self.rng.choices(INTERVALS_SECONDS, k=count)
        scale = min(1.0, test_stops.STREAM_SECONDS[1] / sum(intervals))
        return [round(scale * item, 3) for item in intervals]


class OneStreamCaller(test_stops.Caller):
    """Asks for one stream that lasts nearly as long as a stop may take."""

    def intervals(self) -> list[float]:
        """Returns the seconds after each event of a stream."""
        return [LONG_STREAM_SECONDS / standin.EVENTS_PER_STREAM]

    def _body(self) -> typing.Iterator[bytes]:
        """Yields a short body at once."""
        yield b"x"

    def _request(self, connection: http.client.HTTPConnection) -> None:
        """Sends one request."""
        super()._request(connection)
        self.ended.set()


def manifest() -> dict:
    """Returns a manifest with one small model, which all engines serve."""
    base = test_processes.manifest(3)
    pool, *others = base["services"]
    models = [
        model | {"share": 1.0}
        for model in pool["engine"]["models"]
        if model["name"] == SMALL
    ]
    engine = pool["engine"] | {"models": models}
    return base | {"services": [pool | {"engine": engine}, *others]}


def make_cluster(tmp_path, bounds: dict) -> test_processes.ProcessCluster:
    """Starts controllers, two entries and upstreams."""
    cluster = test_processes.ProcessCluster(
        tmp_path,
        entries=(ENTRY, OTHER_ENTRY),
        bounds={"fencing": True, "grace_s": 8} | bounds,
    )
    for ip in (*test_processes.CONTROLLERS, *cluster.entries):
        cluster.start(ip)
    cluster.start_upstreams()
    assert cluster.submit(manifest()).status == 200
    for ip in cluster.entries:
        cluster.wait_until_served("/book/x", ip)
        cluster.wait_until_served("/ask/x", ip, Figford_Model=SMALL)
    return cluster


@attrs.define
class Play:
    """Callers at the entries of a cluster, and when each was stopped."""

    cluster: test_processes.ProcessCluster
    seed: int
    ended: threading.Event = attrs.field(factory=threading.Event)
    callers: list[SlowStreamCaller] = attrs.field(factory=list)
    threads: list[threading.Thread] = attrs.field(factory=list)
    stopped_at_by_entry: dict[str, float] = attrs.field(factory=dict)

    def add_callers(self, entry: str) -> None:
        """Starts the callers of an entry."""
        for _ in range(CALLERS_PER_ENTRY):
            number = len(self.callers)
            caller = SlowStreamCaller(
                number,
                self.cluster.ports[1],
                random.Random(f"{self.seed} {number}"),
                self.ended,
                entry=entry,
                stream_share=0.9,
                models=(SMALL,),
            )
            self.callers.append(caller)
            self.threads.append(threading.Thread(target=caller.run))
            self.threads[-1].start()

    def stop(self, entry: str) -> None:
        """Sends SIGTERM to an entry."""
        self.stopped_at_by_entry[entry] = time.monotonic()
        self.cluster.process_by_name[entry].send_signal(signal.SIGTERM)

    def signal_all(self, number: signal.Signals) -> None:
        """Sends a signal to all entries."""
        for entry in self.cluster.entries:
            self.cluster.process_by_name[entry].send_signal(number)

    def stop_all(self) -> None:
        """Sends SIGTERM to all entries."""
        for entry in self.cluster.entries:
            self.stop(entry)

    def wait(self, entry: str) -> None:
        """Waits until an entry has ended; kills it after the stop timeout."""
        process: subprocess.Popen = self.cluster.process_by_name.pop(entry)
        elapsed = time.monotonic() - self.stopped_at_by_entry[entry]
        try:
            process.wait(timeout=test_stops.GRACE_SECONDS - elapsed)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def lost(self) -> list[str]:
        """Ends the callers; describes the requests that were lost."""
        self.ended.set()
        for thread in self.threads:
            thread.join()
        passed_on = set(self.cluster.runs())
        return [
            caller.entry + " " + test_stops.describe(item, stopped_at)
            for caller in self.callers
            for stopped_at in [self.stopped_at_by_entry[caller.entry]]
            for item in caller.sent
            if item.is_lost(stopped_at, passed_on)
        ]


def served(play: Play) -> int:
    """Returns how many streams ended in whole after the first SIGTERM."""
    first = min(play.stopped_at_by_entry.values())
    return sum(
        item.complete and item.status == 200 and item.ended_at > first
        for caller in play.callers
        for item in caller.sent
        if item.path == "/ask/x"
    )


@pytest.mark.parametrize("bounds", [SCARCE, PLENTIFUL])
def test_pauses_of_upstreams_cut_no_stream_around_stops(
    tmp_path, bounds: dict
) -> None:
    """Streams were cut when no retry was left, or a second try failed.

    Two entries stop, one shortly after the other; the second has just
    restarted, so that it has hardly any retries.
    """
    cluster = make_cluster(tmp_path, bounds)
    play = Play(cluster, seed=1)
    try:
        for index in range(standin.ENGINE_COUNT // 2):
            # A second upstream often refuses what it is to resume.
            cluster.shed(index, 0.5, ratio=1.0, reserve=1000.0)
        play.add_callers(ENTRY)
        cluster.kill(OTHER_ENTRY)
        cluster.start(OTHER_ENTRY)
        cluster.wait_until_served("/book/x", OTHER_ENTRY)
        play.add_callers(OTHER_ENTRY)
        time.sleep(test_stops.BEFORE_STOP_SECONDS / 2)
        play.stop(ENTRY)
        time.sleep(test_stops.BEFORE_STOP_SECONDS / 2)
        play.stop(OTHER_ENTRY)
        for entry in cluster.entries:
            play.wait(entry)
        lost = play.lost()
    finally:
        play.ended.set()
        cluster.kill_all()
    assert lost == []
    assert served(play) > 0


@pytest.mark.parametrize("is_first", [False, True])
@pytest.mark.parametrize("bounds", [SCARCE, PLENTIFUL])
def test_an_entry_that_did_not_run_for_a_second_cuts_no_stream(
    tmp_path, bounds: dict, is_first: bool
) -> None:
    """It took its streams for silent; their data lay in its sockets.

    The SIGTERM comes at the beginning or at the end of the first pause.
    """
    cluster = make_cluster(tmp_path, bounds)
    play = Play(cluster, seed=2)
    try:
        for entry in cluster.entries:
            play.add_callers(entry)
        time.sleep(test_stops.BEFORE_STOP_SECONDS / 2)
        for is_last in (False, True):
            play.signal_all(signal.SIGSTOP)
            if is_first and not is_last:
                play.stop_all()
            time.sleep(PAUSED_SECONDS)
            if not is_first and not is_last:
                play.stop_all()
            play.signal_all(signal.SIGCONT)
            time.sleep(PAUSED_SECONDS / 2)
        for entry in cluster.entries:
            play.wait(entry)
        lost = play.lost()
    finally:
        play.ended.set()
        cluster.kill_all()
    assert lost == []
    assert served(play) > 0


def test_a_stop_after_a_pause_ends_no_stream_too_early(tmp_path) -> None:
    """The SIGTERM came at the end of the pause, not at its beginning.

    The streams are sent shortly before it, and their upstream is still at work
    in the last sixth of the time that a stop may take.
    """
    cluster = make_cluster(tmp_path, PLENTIFUL)
    ended = threading.Event()
    callers = [
        OneStreamCaller(
            number,
            cluster.ports[1],
            random.Random(number),
            ended,
            stream_share=1.0,
            models=(SMALL,),
        )
        for number in range(3)
    ]
    threads = [threading.Thread(target=each.run) for each in callers]
    try:
        process = cluster.process_by_name[ENTRY]
        process.send_signal(signal.SIGSTOP)
        time.sleep(LONG_PAUSE_SECONDS)
        for thread in threads:
            thread.start()
        time.sleep(test_processes.POLL_SECONDS)
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join()
        process.wait(timeout=test_processes.WAIT_TIMEOUT_SECONDS)
        elapsed = time.monotonic() - stopped_at
        passed_on = set(cluster.runs())
    finally:
        ended.set()
        cluster.kill_all()
    lost = [
        test_stops.describe(item, stopped_at)
        for caller in callers
        for item in caller.sent
        if item.is_lost(stopped_at, passed_on)
    ]
    assert lost == []
    assert elapsed <= test_stops.GRACE_SECONDS
