"""Answers of which one element never ends are cut, with memory flat.

The stand-in upstreams send without end until their connection is closed.
"""

import contextlib
import socket
import threading
import time

import pytest

from figford.tests.platform import standin
from figford.tests.platform import test_processes
from figford.tests.platform.test_processes import ENTRY

UPSTREAMS = range(standin.ENGINE_COUNT + standin.PLAIN_COUNT)
REQUESTS = 8
# Far below the limits of the answers in progress together.
MEMORY_GROWTH_BYTES = 100 << 20
# Buffers of sockets and transports on the way.
SLOW_CALLER_BYTES = 20 << 20


@pytest.fixture(name="cluster", scope="module")
def fixture_cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("cluster")
    cluster = test_processes.ProcessCluster(folder)
    try:
        for ip in (*test_processes.CONTROLLERS, ENTRY):
            cluster.start(ip)
        cluster.start_upstreams()
        assert cluster.submit(test_processes.manifest(3)).status == 200
        yield cluster
    finally:
        cluster.kill_all()


@pytest.fixture(autouse=True)
def fixture_answers_that_end(cluster):
    yield
    set_all(cluster, None)


def set_all(cluster, kind: str | None) -> None:
    for index in UPSTREAMS:
        cluster.make_endless(index, kind)


@pytest.mark.parametrize("kind", standin.ENDLESS_BY_KIND)
def test_an_answer_without_end_is_cut_with_memory_flat(cluster, kind) -> None:
    for model in standin.MODELS:
        cluster.wait_until_served("/ask/x", Figford_Model=model)
    cluster.wait_until_served("/book/x")
    before = cluster.memory_bytes(ENTRY)
    set_all(cluster, kind)
    answers = []

    def send(number: int) -> None:
        path = "/ask/x" if number % 2 else "/book/x"
        headers = {"Figford_Deadline_Remaining": "2500"}
        if number % 2:
            headers["Figford_Model"] = "small"
        answers.append(cluster.send_request(path, **headers))

    threads = [
        threading.Thread(target=send, args=(number,))
        for number in range(REQUESTS)
    ]
    for thread in threads:
        thread.start()
    highest = before
    while any(thread.is_alive() for thread in threads):
        highest = max(highest, cluster.memory_bytes(ENTRY))
    for thread in threads:
        thread.join()
    # No answer looks like a whole success.
    assert all(item is None or item.status >= 500 for item in answers)
    cluster.wait(
        "connections closed",
        lambda: not any(map(cluster.endless_answers, UPSTREAMS)),
    )
    assert highest - before < MEMORY_GROWTH_BYTES


def test_a_caller_that_does_not_read_takes_no_memory(cluster) -> None:
    """What its stream brought meanwhile used to be buffered."""
    cluster.wait_until_served("/ask/x", Figford_Model="small")
    set_all(cluster, "comments")
    before = cluster.memory_bytes(ENTRY)
    request = (
        "POST /ask/x HTTP/1.1\r\nHost: h.example\r\n"
        "Figford-Attempt-Id: slow\r\nFigford-Deadline-Remaining: 6000\r\n"
        f"Figford-Model: small\r\nX-Api-Key: {test_processes.KEY}\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    address = (ENTRY, cluster.ports[1])
    with contextlib.closing(socket.create_connection(address)) as caller:
        caller.sendall(request.encode())
        time.sleep(4)
        assert cluster.memory_bytes(ENTRY) - before < SLOW_CALLER_BYTES
    set_all(cluster, None)
    cluster.wait_until_served("/ask/x", Figford_Model="small")
