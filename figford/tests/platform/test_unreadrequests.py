"""Requests lie unread in an entry's sockets as it closes them.

After the delay in which new connections may still come, a stopping entry
closes its port and its idle connections. If it did not run for a while, what
callers have sent meanwhile lies in its sockets. From the callers' side, such a
request was taken and got no answer.

A request that comes once an entry has closed the connection resets it, so that
the caller loses what it has not received of the answer before.
"""

import contextlib
import http.client
import signal
import socket
import time

import pytest

from figford.tests.platform import standin
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
# Of a caller that reads slowly, and of each event that it receives.
RECEIVE_BUFFER_BYTES = 4096
PADDING_BYTES = 50_000


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


def test_a_next_request_does_not_reset_an_answer(tmp_path) -> None:
    """The entry had sent the whole answer, and its caller read slowly."""
    cluster = test_processes.ProcessCluster(tmp_path)
    caller = socket.socket()
    with contextlib.closing(caller), contextlib.ExitStack() as stack:
        stack.callback(cluster.kill_all)
        for ip in (*test_processes.CONTROLLERS, ENTRY):
            cluster.start(ip)
        cluster.start_upstreams()
        assert cluster.submit(test_processes.manifest(3)).status == 200
        cluster.wait_until_served("/ask/x", Figford_Model="small")
        caller.settimeout(test_processes.WAIT_TIMEOUT_SECONDS)
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        caller.connect((ENTRY, cluster.ports[1]))
        lines = (
            "POST /ask/x HTTP/1.1",
            "Host: h.example",
            "Figford-Attempt-Id: slow",
            "Figford-Deadline-Remaining: 7000",
            "Figford-Model: small",
            f"X-Api-Key: {test_processes.KEY}",
            f"{standin.PADDING_HEADER}: {PADDING_BYTES}",
            "Content-Length: 2",
        )
        request = ("\r\n".join(lines) + "\r\n\r\n{}").encode()
        caller.sendall(request)
        received = caller.recv(RECEIVE_BUFFER_BYTES)
        assert received.startswith(b"HTTP/1.1 200")
        cluster.process_by_name[ENTRY].send_signal(signal.SIGTERM)
        # The stream ends, and the entry closes the connection.
        cluster.wait(
            "the end of the answer",
            lambda: any(
                '"request ended"' in line and '"slow"' in line
                for line in cluster.log_lines(ENTRY)
            ),
        )
        time.sleep(test_processes.POLL_SECONDS)
        caller.sendall(request)
        with contextlib.suppress(ConnectionResetError):
            while not received.endswith(b"0\r\n\r\n"):
                data = caller.recv(RECEIVE_BUFFER_BYTES)
                if not data:
                    break
                received += data
                time.sleep(0.001)
    assert received.endswith(b"0\r\n\r\n"), len(received)
