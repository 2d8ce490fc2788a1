"""Groups follow the sizes that manifests name, with real processes."""

import collections
import threading

import pytest

from figford.tests.platform import test_processes

# Found by name in the fixtures of this module.
fixture_cluster = test_processes.fixture_cluster


def submit(
    cluster: test_processes.ProcessCluster, version: int, sizes: dict[str, int]
) -> None:
    """Submits a manifest that names these models and sizes."""
    cluster.name_sizes(sizes)
    document = test_processes.manifest(version, sizes=sizes)
    assert cluster.submit(document).status == 200
    cluster.name_sizes(None)


def streams(
    cluster: test_processes.ProcessCluster, model: str, until: threading.Event
) -> collections.Counter:
    """Sends streams one after the other; counts how they end."""
    counted: collections.Counter = collections.Counter()
    while not until.is_set():
        answer = cluster.send_request("/ask/x", Figford_Model=model)
        if answer is not None and answer.status == 200:
            whole = test_processes.events(answer) == [
                b"id: %d" % number for number in range(1, 7)
            ]
            counted["whole" if whole else "broken"] += 1
        else:
            counted[answer.status if answer else "none"] += 1
    return counted


@pytest.mark.parametrize("size", [2, 3, 5])
def test_requests_begin_in_groups_of_the_size_in_force(cluster, size) -> None:
    """They began in groups of the former size for good."""
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    finished = threading.Event()
    counts: list[collections.Counter] = []
    sender = threading.Thread(
        target=lambda: counts.append(streams(cluster, "large", finished))
    )
    sender.start()
    try:
        submit(cluster, 5, {"large": size, "small": 1})
        cluster.wait(
            "a stream in a group of the new size",
            lambda: any(
                item[1:] == ("large", size)
                for item in cluster.begun_in_groups()
            ),
        )
        # Once a request has begun under the new size, none does under the
        # former one.
        before = len(cluster.begun_in_groups())
        cluster.wait(
            "more streams",
            lambda: len(cluster.begun_in_groups()) > before + 10,
        )
    finally:
        finished.set()
        sender.join()
    begun = cluster.begun_in_groups()[before:]
    assert {found for _, model, found in begun if model == "large"} == {size}
    (counted,) = counts
    assert counted["whole"] and set(counted) <= {"whole", 503}
    assert not cluster.broken_invariants()


def test_a_size_that_no_fleet_fills_is_refused_until_it_fits(cluster) -> None:
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    submit(cluster, 5, {"large": 7, "small": 1})

    def refused() -> test_processes.Answer | None:
        answer = cluster.send_request("/ask/x", Figford_Model="large")
        return answer if answer and answer.status == 503 else None

    answer = cluster.wait("a refusal", refused)
    # Only the operator can change that.
    assert float(answer.headers["retry-after"]) >= 30
    cluster.wait_until_served("/ask/x", Figford_Model="small")
    submit(cluster, 6, {"large": 4, "small": 1})
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    assert not cluster.broken_invariants()


def test_a_model_that_is_not_named_gives_its_instances_up(cluster) -> None:
    """Its groups kept them, and went on to serve."""
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    submit(cluster, 5, {"small": 3})
    cluster.wait(
        "groups of the model that is named",
        lambda: sorted(map(len, cluster.members_by_group().values()))[-2:]
        == [3, 3],
    )
    answer = cluster.send_request("/ask/x", Figford_Model="large")
    assert answer is not None and answer.status == 503
    cluster.wait_until_served("/ask/x", Figford_Model="small")
    assert not cluster.broken_invariants()


def test_a_change_of_size_survives_the_loss_of_the_planner(cluster) -> None:
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    submit(cluster, 5, {"large": 3, "small": 1})
    cluster.kill(test_processes.CONTROLLERS[0])
    cluster.start(test_processes.CONTROLLERS[0], bootstrap=False)
    cluster.kill(test_processes.CONTROLLERS[1])
    cluster.wait(
        "a stream in a group of the new size",
        lambda: cluster.send_request("/ask/x", Figford_Model="large")
        and ("large", 3) in {item[1:] for item in cluster.begun_in_groups()},
    )
    assert not cluster.broken_invariants()
