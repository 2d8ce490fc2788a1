"""Requests that crash upstreams are refused once that is known.

The stand-in upstreams crash under requests with a prompt part or path, and
print a line when more of them come than the users' bound allows.
"""

import collections
import threading
import time

import attrs
import pytest

from figford.tests.platform import crashmeter
from figford.tests.platform import standin
from figford.tests.platform import test_processes

ENTRIES = ("127.0.0.21", "127.0.0.22")
BETWEEN_REQUESTS_SECONDS = 0.1
# Enough for the crashes, the users' window, and too many requests after it.
MEASURED_SECONDS = 5 + 2 * crashmeter.WINDOW.total_seconds()
FIRST_PART, CRASHING_PART, OTHER_CRASHING_PART = "aa11", "dead01", "dead02"
SMALL = {"Figford_Model": "small"}


@attrs.define
class Traffic:
    """Callers of all entries.

    Each prompt has a last part of its own, unless one is named; requests
    without a model have no prompt, so that those for one path are alike.
    """

    cluster: test_processes.ProcessCluster
    status_count_by_kind: dict[str, collections.Counter] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    _requests: int = 0
    _finished: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)

    def start(
        self,
        kind: str,
        path: str,
        *parts: str,
        own_part: str | None = None,
        **headers: str,
    ) -> None:
        """Starts a caller at each entry."""
        for entry in ENTRIES:
            thread = threading.Thread(
                target=self._call,
                args=(kind, entry, path, parts, own_part, headers),
            )
            self._threads.append(thread)
            thread.start()

    def _call(
        self,
        kind: str,
        entry: str,
        path: str,
        parts: tuple,
        own_part: str | None,
        headers: dict,
    ) -> None:
        while not self._finished.wait(BETWEEN_REQUESTS_SECONDS):
            answer = self.cluster.send_request(
                path,
                entry,
                **headers,
                **self._prompt(parts, own_part, headers),
            )
            status = answer.status if answer else 0
            self.status_count_by_kind[kind][status] += 1

    def _prompt(
        self, parts: tuple, own_part: str | None, headers: dict
    ) -> dict[str, str]:
        if "Figford_Model" not in headers:
            return {}
        self._requests += 1
        names = [FIRST_PART, *parts, own_part or f"{self._requests:x}"]
        return {"Figford_Prompt_Prefix": ",".join(f"{n}:10" for n in names)}

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
            for model in standin.MODELS:
                cluster.wait_until_served("/ask/x", entry, Figford_Model=model)
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


def wait_for_crash(cluster, name: str) -> None:
    cluster.wait("a crash", lambda: cluster.crashes()[name]["crashes"])


def check_only_sound_requests_are_served(cluster, traffic) -> None:
    assert cluster.broken_invariants() == []
    sound = traffic.status_count_by_kind["sound"]
    served = sound[200]
    cluster.wait("sound requests", lambda: sound[200] > served + 20)
    assert traffic.status_count_by_kind["crashing"][200] == 0


def test_a_part_that_crashes_upstreams_does_not_crash_one_after_the_other(
    cluster, traffic
) -> None:
    """Each request with the part used to crash two upstreams."""
    traffic.start("sound", "/ask/x", **SMALL)
    time.sleep(1)
    cluster.crash_upstreams_by(CRASHING_PART)
    traffic.start("crashing", "/ask/x", CRASHING_PART, **SMALL)
    time.sleep(MEASURED_SECONDS)
    # Sound requests with the same key and first part are served.
    check_only_sound_requests_are_served(cluster, traffic)


def test_new_processes_know_of_a_part_that_crashes_upstreams(
    cluster, traffic
) -> None:
    cluster.crash_upstreams_by(CRASHING_PART)
    traffic.start("sound", "/ask/x", **SMALL)
    traffic.start("crashing", "/ask/x", CRASHING_PART, **SMALL)
    wait_for_crash(cluster, CRASHING_PART)
    time.sleep(MEASURED_SECONDS / 2)
    for ips in (test_processes.CONTROLLERS, ENTRIES[:1], ENTRIES[1:]):
        for ip in ips:
            cluster.kill(ip)
        for ip in ips:
            cluster.start(ip, bootstrap=False)
        time.sleep(MEASURED_SECONDS / 3)
    assert cluster.broken_invariants() == []


def test_two_parts_that_crash_upstreams_at_once_are_told_apart(
    cluster, traffic
) -> None:
    cluster.crash_upstreams_by(CRASHING_PART)
    cluster.crash_upstreams_by(OTHER_CRASHING_PART)
    traffic.start("sound", "/ask/x", **SMALL)
    for part in (CRASHING_PART, OTHER_CRASHING_PART):
        for model in standin.MODELS:
            traffic.start("crashing", "/ask/x", part, Figford_Model=model)
    time.sleep(2 * MEASURED_SECONDS)
    assert cluster.broken_invariants() == []


def test_a_call_without_parts_does_not_crash_one_after_the_other(
    cluster, traffic
) -> None:
    """Its caller sends the same call again and again."""
    cluster.crash_upstreams_by("/book/crashing")
    traffic.start("sound", "/book/x")
    traffic.start("crashing", "/book/crashing")
    time.sleep(MEASURED_SECONDS)
    assert cluster.broken_invariants() == []
    assert traffic.status_count_by_kind["sound"][200] > 0


def test_a_call_that_comes_again_does_not_crash_its_whole_service(
    cluster, traffic
) -> None:
    """Answers to another account's reads at its path used to clear it."""
    path = "/status/crashing"
    cluster.crash_upstreams_by(f"{path} acme", crashmeter.REQUEST_CRASHES)
    traffic.start("sound", path, X_Api_Key=test_processes.OTHER_KEY)
    traffic.start("other", "/status/x")
    time.sleep(1)
    traffic.start("crashing", path)
    time.sleep(MEASURED_SECONDS)
    check_only_sound_requests_are_served(cluster, traffic)


def test_a_stream_that_comes_again_does_not_crash_one_after_the_other(
    cluster, traffic
) -> None:
    """Its account's requests share its first part, and are answered."""
    cluster.crash_upstreams_by(CRASHING_PART, crashmeter.REQUEST_CRASHES)
    traffic.start("sound", "/ask/x", **SMALL)
    time.sleep(1)
    traffic.start("crashing", "/ask/x", own_part=CRASHING_PART, **SMALL)
    time.sleep(MEASURED_SECONDS)
    check_only_sound_requests_are_served(cluster, traffic)
