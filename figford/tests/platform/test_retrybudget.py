"""Entries that restart in series beside upstreams that shed requests.

The stand-in upstreams count the repeats that reach a service, and print a line
when they are more than the retry budget allows, of all processes together.
"""

import pathlib
import threading
import time

import pytest

from figford.tests.platform import standin
from figford.tests.platform import test_processes
from figford.tests.platform import unsafe

ENTRIES = ("127.0.0.21", "127.0.0.22")
PLAIN = range(standin.ENGINE_COUNT, standin.ENGINE_COUNT + standin.PLAIN_COUNT)
# Only the reserve, so that what restarts give away shows.
RATIO = 0.0
RESERVE = 30.0
RESTARTS = 8
UP_SECONDS = 0.8
# With more, upstreams would be left out for a while.
SHED_SHARE = 0.5
CALLERS = 10
BETWEEN_REQUESTS_SECONDS = 0.02


class Scene:
    """Processes, callers, and upstreams that shed requests."""

    def __init__(self, folder: pathlib.Path, module: str) -> None:
        self.cluster = test_processes.ProcessCluster(
            folder, entries=ENTRIES, module=module
        )
        self.cluster.bounds |= {
            "retry_budget_ratio": RATIO,
            "retry_budget_slack": RESERVE,
        }
        self._over = threading.Event()

    def _call(self, number: int) -> None:
        sent = 0
        while not self._over.wait(BETWEEN_REQUESTS_SECONDS):
            sent += 1
            self.cluster.send_request(
                "/status/x",
                ENTRIES[sent % len(ENTRIES)],
                Figford_Attempt_Id=f"caller-{number}-{sent}",
            )

    def play(self) -> list[str]:
        """Restarts both entries again and again; returns violations."""
        for ip in (*test_processes.CONTROLLERS, *ENTRIES):
            self.cluster.start(ip)
        self.cluster.start_upstreams()
        self.cluster.submit(test_processes.manifest(3))
        for entry in ENTRIES:
            self.cluster.wait_until_served("/status/x", entry)
        for index in PLAIN:
            self.cluster.shed(index, SHED_SHARE, RATIO, RESERVE)
        callers = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        try:
            for _ in range(RESTARTS):
                self._restart_entries()
        finally:
            self._over.set()
            for caller in callers:
                caller.join()
        return self.cluster.broken_invariants()

    def _restart_entries(self) -> None:
        for entry in ENTRIES:
            self.cluster.kill(entry)
            self.cluster.start(entry, bootstrap=False)
        for entry in ENTRIES:
            ready = f"{entry}:{self.cluster.ports[2]}"
            self.cluster.wait(
                f"{entry} ready",
                lambda address=ready: (
                    (answer := self.cluster.call(address, "GET", "/"))
                    and answer.status == 200
                ),
            )
        time.sleep(UP_SECONDS)


@pytest.mark.parametrize(
    ("mechanism", "is_safe"), [(None, True), ("retries-accrue", False)]
)
def test_restarts_in_series_keep_to_the_retry_budget(
    mechanism: str | None, is_safe: bool, tmp_path, monkeypatch
) -> None:
    """Each new process had its part of the reserve again.

    The check finds it when that is so.
    """
    module = "figford.platform"
    if mechanism is not None:
        monkeypatch.setenv(unsafe.MECHANISM_VARIABLE, mechanism)
        module = unsafe.__name__
    scene = Scene(tmp_path, module)
    try:
        violations = scene.play()
    finally:
        scene.cluster.kill_all()
    assert (not violations) is is_safe
