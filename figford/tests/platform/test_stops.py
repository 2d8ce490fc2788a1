"""An entry stops while callers keep their connections and go on.

Each request that the entry has read is answered in whole or refused, or its
end is excused: its time was up, or it was sent within `EXCUSED_SECONDS` of the
SIGTERM and still ran in the last sixth of the time that a stop may take.
"""

import contextlib
import http.client
import random
import signal
import threading
import time
import typing

import attrs
import pytest

from figford.tests.platform import standin
from figford.tests.platform import test_processes
from figford.tests.platform.test_processes import ENTRY

CALLERS = 30
GRACE_SECONDS = 8.0
EXCUSED_SECONDS = 3.0
LOSS_SLACK_SECONDS = 0.2
BEFORE_STOP_SECONDS = 4.0
# From the first event to the end of a stream; the longest outlast the time
# that is left after EXCUSED_SECONDS.
STREAM_SECONDS = (0.1, 6.5)
BODY_SECONDS = (0.0, 3.0)
THINK_SECONDS = (0.0, 0.03)
STREAM_TIME_SECONDS = 8.0
CALL_TIME_SECONDS = 1.5


@attrs.define
class Sent:
    """A request and how it ended, in seconds of the monotonic clock."""

    attempt: str
    path: str
    time_seconds: float
    began_at: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    received: int = 0

    def is_excused(self, stopped_at: float) -> bool:
        """Returns whether the entry may end the request without an answer."""
        if self.ended_at - self.began_at >= self.time_seconds:
            return True
        was_running = self.ended_at - stopped_at >= GRACE_SECONDS * 5 / 6
        return was_running and self.sent_at - stopped_at <= EXCUSED_SECONDS

    def is_lost(self, stopped_at: float, passed_on: set[str]) -> bool:
        """Returns whether the entry read the request and then dropped it."""
        if self.complete or not self.sent_at:
            return False
        was_read = (
            self.attempt in passed_on
            or self.received > 0
            or self.ended_at - self.sent_at > LOSS_SLACK_SECONDS
        )
        return was_read and not self.is_excused(stopped_at)


@attrs.define
class Caller:
    """Sends requests over one connection until the entry closes it."""

    number: int
    port: int
    rng: random.Random
    ended: threading.Event
    entry: str = ENTRY
    stream_share: float = 0.7
    models: tuple[str, ...] = ("large", "small")
    sent: list[Sent] = attrs.field(factory=list)

    def run(self) -> None:
        """Opens connections, and sends requests over each."""
        while not self.ended.is_set():
            connection = http.client.HTTPConnection(
                self.entry,
                self.port,
                timeout=test_processes.WAIT_TIMEOUT_SECONDS,
            )
            with contextlib.closing(connection):
                try:
                    connection.connect()
                except OSError:
                    return
                connection.auto_open = 0
                while connection.sock and not self.ended.is_set():
                    self._request(connection)
                    time.sleep(self.rng.uniform(*THINK_SECONDS))

    def _body(self) -> typing.Iterator[bytes]:
        """Yields a body in parts, some of them slowly."""
        is_slow = self.rng.random() < 0.3
        for _ in range(4):
            if is_slow:
                time.sleep(self.rng.uniform(*BODY_SECONDS) / 4)
            yield b"x" * self.rng.randrange(1, 20_000)

    def intervals(self) -> list[float]:
        """Returns the seconds after each event of a stream."""
        duration = self.rng.uniform(*STREAM_SECONDS)
        return [duration / standin.EVENTS_PER_STREAM]

    def _request(self, connection: http.client.HTTPConnection) -> None:
        is_stream = self.rng.random() < self.stream_share
        path, seconds = (
            ("/ask/x", STREAM_TIME_SECONDS)
            if is_stream
            else ("/book/x", CALL_TIME_SECONDS)
        )
        attempt = f"c{self.number}-{len(self.sent)}"
        headers = {
            "Host": "h.example",
            "Figford-Attempt-Id": attempt,
            "Figford-Deadline-Remaining": str(int(seconds * 1000)),
            "Figford-Model": self.rng.choice(self.models),
            "X-Api-Key": test_processes.KEY,
            standin.INTERVAL_HEADER: ",".join(map(str, self.intervals())),
        }
        in_chunks = self.rng.random() < 0.5
        body: bytes | typing.Iterator[bytes] = b"x" * 100
        if in_chunks:
            headers["Transfer-Encoding"] = "chunked"
            body = self._body()
        sent = Sent(attempt, path, seconds, time.monotonic())
        self.sent.append(sent)
        try:
            connection.request(
                "POST", path, body, headers, encode_chunked=in_chunks
            )
            sent.sent_at = time.monotonic()
            answer = connection.getresponse()
            sent.status = answer.status
            sent.received = 1
            answer.read()
            sent.complete = True
        except (OSError, http.client.HTTPException):
            connection.close()
        sent.ended_at = time.monotonic()


def describe(sent: Sent, stopped_at: float) -> str:
    """Returns one line on a request that was lost."""
    return (
        f"{sent.attempt} {sent.path} sent {sent.sent_at - stopped_at:.2f}"
        f" ended {sent.ended_at - stopped_at:.2f} status {sent.status}"
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_around_a_stop(tmp_path, seed: int) -> None:
    """Kept connections took requests that the entry could not complete."""
    cluster = test_processes.ProcessCluster(tmp_path)
    ended = threading.Event()
    try:
        for ip in (*test_processes.CONTROLLERS, ENTRY):
            cluster.start(ip)
        cluster.start_upstreams()
        assert cluster.submit(test_processes.manifest(3)).status == 200
        cluster.wait_until_served("/book/x")
        for model in ("large", "small"):
            cluster.wait_until_served("/ask/x", Figford_Model=model)
        callers = [
            Caller(n, cluster.ports[1], random.Random(f"{seed} {n}"), ended)
            for n in range(CALLERS)
        ]
        threads = [threading.Thread(target=each.run) for each in callers]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_STOP_SECONDS)
        stopped_at = time.monotonic()
        cluster.process_by_name[ENTRY].send_signal(signal.SIGTERM)
        cluster.process_by_name[ENTRY].wait(
            timeout=test_processes.WAIT_TIMEOUT_SECONDS
        )
        exited_after = time.monotonic() - stopped_at
        ended.set()
        for thread in threads:
            thread.join()
        passed_on = set(cluster.runs())
    finally:
        ended.set()
        cluster.kill_all()
    sent = [item for each in callers for item in each.sent]
    lost = [item for item in sent if item.is_lost(stopped_at, passed_on)]
    assert [describe(item, stopped_at) for item in lost] == []
    assert exited_after <= GRACE_SECONDS
    during = [item for item in sent if item.began_at > stopped_at]
    assert any(item.complete and item.status == 200 for item in during)
