"""Upstreams that ask for a pause, or say that they leave, get no requests.

The stand-in upstreams count what they get all the same, and print a line when
it is more than the users' bounds allow. One entry, so that all is for it.
"""

import collections
import threading
import time

import pytest

from figford.tests.platform import noticemeter
from figford.tests.platform import standin
from figford.tests.platform import test_processes
from figford.tests.platform.test_processes import ENTRY

CALLERS = 3
BETWEEN_REQUESTS_SECONDS = 0.02
FIRST_PLAIN = standin.ENGINE_COUNT
ENGINES = range(standin.ENGINE_COUNT)
PAUSE_SECONDS = 2.5
WARM_UP_SECONDS = 2.0


@pytest.fixture(name="cluster")
def fixture_cluster(tmp_path):
    cluster = test_processes.ProcessCluster(tmp_path)
    try:
        for ip in (*test_processes.CONTROLLERS, ENTRY):
            cluster.start(ip)
        cluster.start_upstreams()
        cluster.submit(test_processes.manifest(3))
        cluster.wait_until_served("/book/x")
        cluster.wait_until_served("/ask/x", Figford_Model="small")
        yield cluster
    finally:
        cluster.kill_all()


@pytest.fixture(name="call_while")
def fixture_call_while(cluster):
    """Returns a function that sends requests for some seconds."""

    def run(path: str, seconds: float, **headers: str) -> collections.Counter:
        status_count: collections.Counter = collections.Counter()
        end = time.monotonic() + seconds

        def call() -> None:
            while time.monotonic() < end:
                answer = cluster.send_request(path, **headers)
                status_count[answer.status if answer else 0] += 1
                time.sleep(BETWEEN_REQUESTS_SECONDS)

        threads = [threading.Thread(target=call) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return status_count

    return run


def test_an_upstream_that_asks_for_pauses_is_left_alone(
    cluster, call_while
) -> None:
    # An entry that has just started has no retries for what is rejected.
    call_while("/book/x", WARM_UP_SECONDS)
    cluster.give_notice(FIRST_PLAIN, pause_seconds=PAUSE_SECONDS)
    answered = call_while("/book/x", 2 * PAUSE_SECONDS)
    assert cluster.broken_invariants() == []
    # The other upstream takes all.
    assert set(answered) == {200}


def test_a_service_in_pause_is_refused_and_comes_back(
    cluster, call_while
) -> None:
    for index in ENGINES:
        cluster.give_notice(index, pause_seconds=PAUSE_SECONDS)
    answered = call_while("/ask/x", 2 * PAUSE_SECONDS, Figford_Model="small")
    assert cluster.broken_invariants() == []
    # Requests that cross with the rejections are served.
    assert answered[503] > answered[200]
    for index in ENGINES:
        cluster.give_notice(index)
    cluster.wait_until_served("/ask/x", Figford_Model="small")


def test_an_upstream_that_says_it_leaves_gets_nothing_more(
    cluster, call_while
) -> None:
    cluster.give_notice(FIRST_PLAIN, leaving=True)
    seconds = 2 * noticemeter.DRAIN.total_seconds()
    answered = call_while("/book/x", seconds)
    assert cluster.broken_invariants() == []
    assert set(answered) == {200}
