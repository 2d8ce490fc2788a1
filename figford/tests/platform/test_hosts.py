"""Hosts of manifests and requests, with real processes."""

import http.client
import json

import pytest

from figford.tests.platform import test_processes
from figford.tests.platform import unsafe

# Found by name in the fixtures of this module.
fixture_cluster = test_processes.fixture_cluster
CONTROLLERS = test_processes.CONTROLLERS
ENTRY = test_processes.ENTRY


def with_hosts(version: int, *hosts: str) -> dict:
    """Returns a manifest with the first route on each of these hosts.

    The other routes are on the first host.
    """
    manifest = test_processes.manifest(version)
    first, *others = manifest["routes"]
    routes = [
        first | {"name": f"h{number}", "host": host}
        for number, host in enumerate(hosts)
    ]
    routes += [item | {"host": hosts[0]} for item in others]
    return manifest | {"routes": routes}


def status_of(
    cluster: test_processes.ProcessCluster,
    *hosts: str,
    target: str = "/book/x",
) -> int:
    """Returns the status of a call with these Host headers."""
    cluster.attempts += 1
    connection = http.client.HTTPConnection(
        ENTRY, cluster.ports[1], timeout=10
    )
    connection.putrequest("POST", target, skip_host=True)
    for host in hosts:
        connection.putheader("Host", host)
    connection.putheader("Figford-Attempt-Id", f"host{cluster.attempts}")
    connection.putheader("X-Api-Key", test_processes.KEY)
    connection.putheader("Content-Length", "0")
    connection.endheaders()
    status = connection.getresponse().status
    connection.close()
    return status


def test_a_host_is_found_in_each_spelling(cluster) -> None:
    """A capital letter in the manifest made its routes unknown."""
    cluster.wait_until_served("/book/x")
    document = with_hosts(5, "H.Example")
    assert cluster.submit(document).status == 200
    cluster.wait(
        "the new version at the entry",
        lambda: '"version":5' in _last_table(cluster),
    )
    for host in ("h.example", "H.Example", "H.EXAMPLE.:80", "h.example:81"):
        assert status_of(cluster, host) == 200
    assert status_of(cluster, "other.example") == 404
    # A target in absolute form goes before the header.
    absolute = "http://h.EXAMPLE/book/x"
    assert status_of(cluster, "other.example", target=absolute) == 200
    assert status_of(cluster) == 400
    assert status_of(cluster, "h.example", "h.example") == 400
    # What the operator reads back is what was sent.
    answer = cluster.control(CONTROLLERS[0], "/figford/config/get")
    assert answer.body == json.dumps(document).encode()


def _last_table(cluster: test_processes.ProcessCluster) -> str:
    """Returns the entry's last log line on its route table, unspaced."""
    lines = [
        line
        for line in cluster.log_lines(ENTRY)
        if "route table in force" in line
    ]
    return lines[-1].replace(" ", "") if lines else ""


@pytest.fixture(name="former_cluster")
def fixture_former_cluster(tmp_path, monkeypatch):
    """Returns processes that accept two spellings of one host."""
    monkeypatch.setenv(unsafe.MECHANISM_VARIABLE, "hosts-compared")
    cluster = test_processes.ProcessCluster(tmp_path, module=unsafe.__name__)
    try:
        for ip in (*CONTROLLERS, ENTRY):
            cluster.start(ip)
        cluster.start_upstreams()
        yield cluster
    finally:
        cluster.kill_all()


def test_a_disk_with_two_spellings_of_a_host_starts_and_serves(
    former_cluster,
) -> None:
    """A former version acknowledged what is refused now."""
    cluster = former_cluster
    document = with_hosts(5, "h.example", "H.Example")
    assert cluster.submit(document).status == 200
    cluster.wait_until_served("/book/x")
    for ip in (*CONTROLLERS, ENTRY):
        cluster.kill(ip)
    logged = len(cluster.log_lines(ENTRY))
    cluster.module = "figford.platform"
    for ip in (*CONTROLLERS, ENTRY):
        cluster.start(ip, bootstrap=False)
    cluster.wait_until_served("/book/x")
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    for ip in CONTROLLERS:
        stored = cluster.wait("the manifest", lambda ip=ip: cluster.read(ip))
        assert stored == document
    shadowed = [
        json.loads(line)
        for line in cluster.log_lines(ENTRY)[logged:]
        if "route not used" in line
    ]
    assert [item["route"] for item in shadowed] == ["h1"]
    # It is acknowledged again; a new one is refused.
    assert cluster.submit(document).status == 200
    new = with_hosts(6, "h.example", "H.Example")
    assert cluster.submit(new).status == 400
    assert cluster.read(CONTROLLERS[0]) == document
