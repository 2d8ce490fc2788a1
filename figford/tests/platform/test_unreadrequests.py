"""Requests lie unread in an entry's sockets as it closes what is idle.

After the delay in which new connections may still come, a stopping entry
closes its port and its idle connections. If it did not run for a while, what
callers have sent meanwhile lies in its sockets. From the callers' side, such a
request was taken and got no answer.
"""

import contextlib
import http.client
import signal
import time

import pytest

from figford.tests.platform import test_processes
from figford.tests.platform import test_stops

ENTRY = test_processes.ENTRY
# The entry doesn't run in this span, in seconds after the SIGTERM; it closes
# what is idle within it.
PAUSE_SECONDS = (2.3, 3.0)
SENT_AFTER_SECONDS = 2.4
CONNECTIONS = 8
# The paths of requests that last longer than the entry, and that don't.
PATHS = ("/ask/x", "/book/x")


def wait_until(time_seconds: float) -> None:
    """Waits until a time of the monotonic clock."""
    time.sleep(max(0.0, time_seconds - time.monotonic()))


def send(connection: http.client.HTTPConnection, number: int) -> None:
    """Sends a request, without reading its answer."""
    path = PATHS[number % len(PATHS)]
    headers = {
        "Host": "h.example",
        "Figford-Attempt-Id": f"unread-{number}",
        "Figford-Deadline-Remaining": "7000",
        "Figford-Model": "small",
        "X-Api-Key": test_processes.KEY,
    }
    connection.request("POST", path, b"{}", headers)


def ending(connection: http.client.HTTPConnection) -> int | str:
    """Returns the status of a whole answer, or how it failed."""
    try:
        answer = connection.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    return answer.status


@pytest.mark.parametrize("kind", ["kept", "new"])
def test_requests_that_lie_unread_are_answered(tmp_path, kind: str) -> None:
    """They ended with a reset, 0.6 s after they were sent."""
    cluster = test_processes.ProcessCluster(tmp_path)
    with contextlib.ExitStack() as stack:
        stack.callback(cluster.kill_all)
        for ip in (*test_processes.CONTROLLERS, ENTRY):
            cluster.start(ip)
        cluster.start_upstreams()
        assert cluster.submit(test_processes.manifest(3)).status == 200
        cluster.wait_until_served("/book/x")
        cluster.wait_until_served("/ask/x", Figford_Model="small")
        connections = [
            stack.enter_context(
                contextlib.closing(
                    http.client.HTTPConnection(
                        ENTRY,
                        cluster.ports[1],
                        timeout=test_processes.WAIT_TIMEOUT_SECONDS,
                    )
                )
            )
            for _ in range(CONNECTIONS)
        ]
        if kind == "kept":
            for number, connection in enumerate(connections):
                send(connection, -2 * CONNECTIONS + number)
                assert ending(connection) == 200
        process = cluster.process_by_name[ENTRY]
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        wait_until(stopped_at + PAUSE_SECONDS[0])
        process.send_signal(signal.SIGSTOP)
        wait_until(stopped_at + SENT_AFTER_SECONDS)
        for number, connection in enumerate(connections):
            send(connection, number)
        wait_until(stopped_at + PAUSE_SECONDS[1])
        process.send_signal(signal.SIGCONT)
        endings = [ending(connection) for connection in connections]
        process.wait(timeout=test_processes.WAIT_TIMEOUT_SECONDS)
        elapsed = time.monotonic() - stopped_at
    # What can't be finished in time is refused, and may be sent elsewhere.
    assert set(endings) <= {200, 503}, endings
    assert elapsed <= test_stops.GRACE_SECONDS
