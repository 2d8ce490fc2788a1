"""Upstreams with a limit get no more than it allows, from all entries.

The stand-in upstreams count the requests of all entries and print a line when
there are more than the users' bound.
"""

import collections
import json
import threading
import time

import attrs
import pytest

from figford.tests.platform import limitmeter
from figford.tests.platform import standin
from figford.tests.platform import test_processes

ENTRIES = ("127.0.0.21", "127.0.0.22")
CALLERS_PER_ENTRY = 3
BETWEEN_REQUESTS_SECONDS = 0.03
# Until the bound applies, and two windows of it.
MEASURED_SECONDS = (limitmeter.GRACE + 2 * limitmeter.WINDOW).total_seconds()
BETWEEN_FAULTS_SECONDS = 2.0
FIRST_PLAIN = standin.ENGINE_COUNT
PLAIN = range(FIRST_PLAIN, FIRST_PLAIN + standin.PLAIN_COUNT)
ENGINES = range(standin.ENGINE_COUNT)


@attrs.define
class Traffic:
    """Callers that send requests to all entries until they are stopped."""

    cluster: test_processes.ProcessCluster
    status_count: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    # Refusals that don't say when to come back.
    without_retry_after: int = 0
    _finished: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)

    def start(self, path: str, **headers: str) -> None:
        """Starts callers of all entries."""
        for entry in ENTRIES * CALLERS_PER_ENTRY:
            thread = threading.Thread(
                target=self._call, args=(entry, path, headers)
            )
            self._threads.append(thread)
            thread.start()

    def _call(self, entry: str, path: str, headers: dict) -> None:
        while not self._finished.wait(BETWEEN_REQUESTS_SECONDS):
            answer = self.cluster.send_request(path, entry, **headers)
            self.status_count[answer.status if answer else 0] += 1
            if answer is not None and answer.status == 503:
                self.without_retry_after += "retry-after" not in answer.headers

    def stop(self) -> None:
        """Stops all callers."""
        self._finished.set()
        for thread in self._threads:
            thread.join()


@pytest.fixture(name="cluster")
def fixture_cluster(tmp_path):
    cluster = test_processes.ProcessCluster(tmp_path, entries=ENTRIES)
    try:
        for ip in (*test_processes.CONTROLLERS, *ENTRIES):
            cluster.start(ip)
        cluster.start_upstreams()
        cluster.submit(test_processes.manifest(3))
        for entry in ENTRIES:
            cluster.wait_until_served("/book/x", entry=entry)
        yield cluster
    finally:
        cluster.kill_all()


@pytest.fixture(name="traffic")
def fixture_traffic(cluster):
    traffic = Traffic(cluster)
    try:
        yield traffic
    finally:
        traffic.stop()


def test_a_limited_upstream_gets_what_it_allows_from_all_entries(
    cluster, traffic
) -> None:
    """Each entry used to send as much as if there were no limit."""
    limited, *others = PLAIN
    cluster.name_limit(limited, 1.0)
    traffic.start("/book/x")
    time.sleep(MEASURED_SECONDS)
    assert cluster.broken_invariants() == []
    # Other upstreams take the rest, and the limited one is not left idle.
    assert set(traffic.status_count) == {200}
    assert cluster.requests_within_limit(limited) > 0
    # When the limit ends, so does what held requests back.
    cluster.name_limit(limited, None)
    before = sum(cluster.runs().values())
    for other in others:
        cluster.name_limit(other, 0.001)
    cluster.wait(
        "requests that one limited upstream could not take",
        lambda: sum(cluster.runs().values()) > before + 200,
    )
    assert cluster.broken_invariants() == []


def test_requests_beyond_the_limits_of_all_upstreams_are_refused(
    cluster, traffic
) -> None:
    for index in PLAIN:
        cluster.name_limit(index, 1.5)
    traffic.start("/book/x")
    time.sleep(MEASURED_SECONDS)
    assert cluster.broken_invariants() == []
    assert set(traffic.status_count) == {200, 503}
    assert traffic.without_retry_after == 0


def test_restarts_leave_the_limits_of_groups_kept(cluster, traffic) -> None:
    """New processes must learn of limits before they send anything."""
    for model in standin.MODELS:
        cluster.wait_until_served("/ask/x", Figford_Model=model)
    for index in ENGINES:
        cluster.name_limit(index, 1.0)
    for model in standin.MODELS:
        traffic.start("/ask/x", Figford_Model=model)
    time.sleep(limitmeter.GRACE.total_seconds())
    for ips in (
        ENTRIES[:1],
        test_processes.CONTROLLERS[:1],
        ENTRIES[1:],
        test_processes.CONTROLLERS[1:],
        (*test_processes.CONTROLLERS, ENTRIES[0]),
    ):
        for ip in ips:
            cluster.kill(ip)
        for ip in ips:
            cluster.start(ip, bootstrap=False)
        time.sleep(BETWEEN_FAULTS_SECONDS)
    assert cluster.broken_invariants() == []
    assert traffic.status_count[200] and traffic.status_count[503]


def test_the_stand_in_tells_who_names_limits(cluster) -> None:
    for index in PLAIN:
        cluster.name_limit(index, 0.5)
    answer = cluster.wait_until_served("/book/x")
    assert answer.headers["server-limit"] == "0.5"
    assert json.loads(answer.body)["account"] == "acme"
