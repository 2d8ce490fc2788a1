"""A group that was cut off from the controllers returns member by member."""

import time

import pytest

from figford import planrounds
from figford.tests.platform import relay
from figford.tests.platform import standin
from figford.tests.platform import test_processes

MODEL_SIZE = standin.MODELS["large"].size
# Longer than a head's silence until it counts as lost, by several reports.
CUT_SECONDS = planrounds.HEAD_SILENCE_TIMEOUT.total_seconds() + 1.5
LEAVE_TIMEOUT_SECONDS = 2.0
# Several planning rounds, and less than a head takes to notice its members'
# loss.
BETWEEN_RETURNS_SECONDS = 1.0


@pytest.fixture(name="cluster")
def fixture_cluster(tmp_path):
    cluster = test_processes.ProcessCluster(tmp_path, uses_relays=True)
    try:
        for ip in (*test_processes.CONTROLLERS, test_processes.ENTRY):
            cluster.start(ip)
        yield cluster
    finally:
        cluster.kill_all()


@pytest.fixture(name="set_fault")
def fixture_set_fault(cluster):
    upstream_relays = cluster.upstream_relays()
    relays = relay.Relays(sum(upstream_relays, cluster.controller_relays()))
    relays.start()
    try:
        cluster.start_upstreams()
        cluster.submit(test_processes.manifest(3))
        yield lambda engine, fault: [
            relays.set_fault(item, fault) for item in upstream_relays[engine]
        ]
    finally:
        relays.end()


def test_members_that_return_before_their_head_join_no_other_group(
    cluster, set_fault
) -> None:
    """The first member to return must not free those not heard yet."""

    def whole_group() -> tuple[str, list[int]] | None:
        for name, members in cluster.members_by_group().items():
            if len(members) == MODEL_SIZE:
                return name, members
        return None

    def wait_for_leave(engines: list[int]) -> None:
        """Waits a while; a planner may also keep members in their group."""
        deadline = time.monotonic() + LEAVE_TIMEOUT_SECONDS
        while time.monotonic() < deadline and set(engines) & set(
            cluster.members_by_group().get(group, [])
        ):
            time.sleep(test_processes.POLL_SECONDS)

    cluster.wait_until_served("/ask/x", Figford_Model="large")
    cluster.wait_until_served("/ask/x", Figford_Model="small")
    group, members = cluster.wait("a group", whole_group)
    head, first, *others = members
    for engine in members:
        set_fault(engine, relay.ConnectionFault.SILENT)
    time.sleep(CUT_SECONDS)
    for engines in ([first], others, [head]):
        for engine in engines:
            set_fault(engine, relay.ConnectionFault.NONE)
        wait_for_leave(engines)
        time.sleep(BETWEEN_RETURNS_SECONDS)
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    assert cluster.broken_invariants() == []
