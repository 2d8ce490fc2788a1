"""Tests of controllers, entries and stand-in upstreams as processes."""

import collections
import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import typing

import attrs
import pytest

from figford.tests.platform import crashmeter
from figford.tests.platform import relay
from figford.tests.platform import standin
from figford.tests.platform import test_manifest
from figford.tools import deployment

CONTROLLERS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ENTRY = "127.0.0.21"
KEY = "key-1"
OTHER_KEY = "key-2"
# Far longer than any wait here takes; only ends a test that hangs.
WAIT_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.05


SIZES = {model.name: model.size for model in standin.MODELS.values()}


def manifest(
    version: int,
    prefix: str = "/book/",
    sizes: typing.Mapping[str, int] = SIZES,
) -> dict:
    """Returns a manifest for the stand-in's services.

    `sizes` names the models and their sizes.
    """
    base = test_manifest.MANIFEST
    stream, call = base["routes"]
    engine = base["services"][0]["engine"] | {
        "models": [
            {
                "name": model.name,
                "size": sizes[model.name],
                "share": model.share,
                "pace": 1.0,
                "load_s": 0.3,
                "warm_s": 0.1,
            }
            for model in standin.MODELS.values()
            if model.name in sizes
        ]
    }
    route = {k: v for k, v in stream.items() if k != "traffic_split"}
    return base | {
        "version": version,
        "routes": [
            route | {"path_prefix": "/ask/", "service": "pool"},
            call | {"path_prefix": prefix, "max_attempts": 2},
            call
            | {
                "name": "r3",
                "path_prefix": "/status/",
                "kind": "idempotent",
                "max_attempts": 2,
            },
        ],
        "services": [base["services"][0] | {"engine": engine}]
        + base["services"][1:],
        "tenants": [
            {"name": "acme", "api_keys": [KEY], "priority": 1},
            {"name": "beta", "api_keys": [OTHER_KEY], "priority": 1},
        ],
    }


@attrs.frozen
class Answer:
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define
class ProcessCluster:
    """The processes by IP address; kills only those that it started."""

    folder: pathlib.Path
    ports: list[int] = attrs.field(factory=lambda: deployment.free_ports(9))
    process_by_name: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    attempts: int = 0
    entries: tuple[str, ...] = (ENTRY,)
    # The module that runs as each process.
    module: str = "figford.platform"
    # Whether requests to upstreams and their reports pass through relays.
    uses_relays: bool = False
    # Bounds in the settings of all processes.
    bounds: dict[str, object] = attrs.field(
        factory=lambda: {"fencing": True, "grace_s": 8}
    )

    def start(self, ip: str, bootstrap: bool = True) -> None:
        """Starts a controller or an entry."""
        role = "entry" if ip in self.entries else "controller"
        listen = {"control": f"{ip}:{self.ports[0]}"}
        if role == "entry":
            listen = {
                "front": f"{ip}:{self.ports[1]}",
                "ready": f"{ip}:{self.ports[2]}",
            }
        boot = {
            "node_name": f"{role}-{ip}",
            "ip": ip,
            "zone": "here",
            "listen": listen,
            "internal_port_range": [self.ports[3], self.ports[3] + 15],
            "seeds": [f"{seed}:{self.ports[0]}" for seed in CONTROLLERS],
            "bootstrap": bootstrap,
            "data_dir": str(self.folder / ip) if role != "entry" else None,
            "bounds": self.bounds,
        }
        file = self.folder / f"{ip}.json"
        file.write_text(json.dumps(boot))
        environment = os.environ | {"FIGFORD_NODE_FILE": str(file)}
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.process_by_name[ip] = subprocess.Popen(
                [sys.executable, "-m", self.module, role],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def start_upstreams(self) -> None:
        """Starts the stand-in upstreams."""
        reported_port, control, step = self.ports[4], self.ports[0], 0
        if self.uses_relays:
            reported_port, control, step = self.ports[5], self.ports[7], 1
        with open(self.folder / "standin.log", "ab") as log:
            self.process_by_name["standin"] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "figford.tests.platform.standin",
                    str(self.ports[4]),
                    str(reported_port),
                    str(control),
                    str(step),
                    *CONTROLLERS,
                ],
                stdout=log,
                stderr=log,
            )

    def controller_relays(self) -> list[relay.Relay]:
        """Returns relays of all reports, one per controller."""
        return [
            relay.Relay(ip, self.ports[6], self.ports[0]) for ip in CONTROLLERS
        ]

    def upstream_relays(self) -> list[list[relay.Relay]]:
        """Returns the relays of each upstream.

        The first one forwards requests and orders, the others the upstream's
        reports to the relay of each controller.
        """
        return [
            [relay.Relay(standin.HOST, self.ports[5] + i, self.ports[4] + i)]
            + [
                relay.Relay(ip, self.ports[7] + i, self.ports[6])
                for ip in CONTROLLERS
            ]
            for i in range(standin.ENGINE_COUNT + standin.PLAIN_COUNT)
        ]

    def members_by_group(self) -> dict[str, list[int]]:
        """Returns the engines that are up in each group, the head first."""
        rank_by_engine: dict[str, dict[int, int]] = {}
        for index in range(standin.ENGINE_COUNT):
            address = f"{standin.HOST}:{self.ports[4] + index}"
            answer = self.call(address, "GET", "/figford/report")
            report = json.loads(answer.body) if answer else {}
            group = report.get("group")
            if group is not None:
                ranks = rank_by_engine.setdefault(group["name"], {})
                ranks[index] = group["rank"]
        return {
            name: sorted(ranks, key=ranks.__getitem__)
            for name, ranks in rank_by_engine.items()
        }

    def log_lines(self, name: str) -> list[str]:
        """Returns the lines of a process's log."""
        file = self.folder / f"{name}.log"
        return file.read_text().splitlines() if file.exists() else []

    def broken_invariants(self) -> list[str]:
        """Returns the broken invariants that the upstreams printed."""
        return [
            line
            for line in self.log_lines("standin")
            if line.startswith(standin.INVARIANT_BROKEN)
        ]

    def kill(self, ip: str) -> None:
        """Kills one process at once."""
        process = self.process_by_name.pop(ip)
        process.kill()
        process.wait()

    def kill_all(self) -> None:
        """Kills all processes."""
        for ip in list(self.process_by_name):
            self.kill(ip)

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: typing.Mapping[str, str] = {},
    ) -> Answer | None:
        """Returns the answer to a call, or None after a failure."""
        host, _, port = address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        with (
            contextlib.closing(connection),
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            connection.request(method, path, body, dict(headers))
            found = connection.getresponse()
            return Answer(
                found.status,
                {k.lower(): v for k, v in found.getheaders()},
                found.read(),
            )
        return None

    def control(self, ip: str, path: str, document: dict | None = None):
        """Returns the answer of a controller."""
        body = b"" if document is None else json.dumps(document).encode()
        method = "GET" if document is None else "POST"
        return self.call(f"{ip}:{self.ports[0]}", method, path, body)

    def submit(self, document: dict, ip: str = CONTROLLERS[0]) -> Answer:
        """Submits a manifest until it is answered other than with 503."""

        def answered() -> Answer | None:
            found = self.control(ip, "/figford/config/replace", document)
            return found if found and found.status != 503 else None

        return self.wait("an answer to the manifest", answered)

    def read(self, ip: str) -> dict | None:
        """Returns the manifest that a controller confirms, or None."""
        found = self.control(ip, "/figford/config/get")
        served = found is not None and found.status == 200
        return json.loads(found.body) if served else None

    def runs(self) -> dict[str, int]:
        """Returns how many times plain upstreams ran each attempt."""
        total: collections.Counter[str] = collections.Counter()
        for index in range(standin.PLAIN_COUNT):
            port = self.ports[4] + standin.ENGINE_COUNT + index
            address = f"{standin.HOST}:{port}"
            # One that crashed is back soon, and still knows its runs.
            answer = self.wait(
                "an upstream that is up",
                lambda address=address: self.call(address, "GET", "/runs"),
            )
            total.update(json.loads(answer.body))
        return total

    def name_limit(self, index: int, rate: float | None) -> None:
        """Lets an upstream name a limit in its answers, or none."""
        body = json.dumps({"rate": rate}).encode()
        self.call(self._upstream_address(index), "POST", "/limit", body)

    def requests_within_limit(self, index: int) -> int:
        """Returns how many requests reached an upstream with a limit.

        None reach one that is down.
        """
        answer = self.call(self._upstream_address(index), "GET", "/limit")
        return json.loads(answer.body)["total"] if answer else 0

    def crash_upstreams_by(
        self, name: str, counted_crashes: int = crashmeter.PART_CRASHES
    ) -> None:
        """Lets requests with a part, a path, or path and account crash.

        The bound on further requests holds after the counted crashes.
        """
        item = {"name": name, "counted_crashes": counted_crashes}
        body = json.dumps(item).encode()
        self.call(self._upstream_address(0), "POST", "/crashing", body)

    def crashes(self) -> dict[str, dict[str, int]]:
        """Returns the crashes and requests by what causes them."""

        def answered() -> Answer | None:
            for index in range(standin.ENGINE_COUNT + standin.PLAIN_COUNT):
                address = self._upstream_address(index)
                found = self.call(address, "GET", "/crashing")
                if found is not None and found.status == 200:
                    return found
            return None

        return json.loads(self.wait("an upstream that is up", answered).body)

    def give_notice(self, index: int, **notice: object) -> None:
        """Lets an upstream ask for pauses or say that it leaves."""
        body = json.dumps(notice).encode()
        self.call(self._upstream_address(index), "POST", "/notices", body)

    def name_sizes(self, sizes: typing.Mapping[str, int] | None) -> None:
        """Tells the upstreams the sizes of the next manifest.

        None acknowledges the manifest with the newest ones.
        """
        body = json.dumps(sizes).encode()
        self.wait(
            "an upstream that is up",
            lambda: any(
                self.call(
                    self._upstream_address(index), "POST", "/sizes", body
                )
                for index in range(standin.ENGINE_COUNT)
            ),
        )

    def begun_in_groups(self) -> list[tuple[str, str, int]]:
        """Returns attempt, model and size of the groups that streams used."""
        answer = self.wait(
            "an upstream that is up",
            lambda: self.call(self._upstream_address(0), "GET", "/sizes"),
        )
        return [tuple(item) for item in json.loads(answer.body)["begun"]]

    def shed(
        self,
        index: int,
        share: float,
        ratio: float = standin.RETRY_RATIO,
        reserve: float = standin.RETRY_RESERVE,
    ) -> None:
        """Lets an upstream reject a part of its requests.

        Ratio and reserve are those of the retry budget of its service.
        """
        item = {"share": share, "ratio": ratio, "reserve": reserve}
        body = json.dumps(item).encode()
        self.call(self._upstream_address(index), "POST", "/shed", body)

    def make_endless(self, index: int, kind: str | None) -> None:
        """Lets an element of an upstream's answers never end."""
        body = json.dumps({"kind": kind}).encode()
        self.call(self._upstream_address(index), "POST", "/endless", body)

    def endless_answers(self, index: int) -> int:
        """Returns how many answers that never end are under way."""
        answer = self.call(self._upstream_address(index), "GET", "/endless")
        return json.loads(answer.body)["open"]

    def process_status(self, ip: str, field: str) -> str:
        """Returns the first word of a field that the kernel tells."""
        pid = self.process_by_name[ip].pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith(field))
        return line.split()[1]

    def memory_bytes(self, ip: str) -> int:
        """Returns the resident memory of a process."""
        return int(self.process_status(ip, "VmRSS")) * 1024

    def _upstream_address(self, index: int) -> str:
        return f"{standin.HOST}:{self.ports[4] + index}"

    def send_request(
        self, path: str, entry: str = ENTRY, **headers: str
    ) -> Answer | None:
        """Returns an entry's answer to a caller's request, or None."""
        self.attempts += 1
        sent = {
            "Host": "h.example",
            "Figford-Attempt-Id": f"a{self.attempts}",
            "Figford-Deadline-Remaining": "6000",
            "X-Api-Key": KEY,
        }
        sent |= {name.replace("_", "-"): v for name, v in headers.items()}
        address = f"{entry}:{self.ports[1]}"
        return self.call(address, "POST", path, b"{}", sent)

    def wait_until_served(
        self, path: str, entry: str = ENTRY, **headers: str
    ) -> Answer:
        """Sends a request until it is answered with status 200."""

        def served() -> Answer | None:
            found = self.send_request(path, entry, **headers)
            return found if found and found.status == 200 else None

        return self.wait(f"{path} served", served)

    def wait(
        self,
        description: str,
        condition: typing.Callable,
        poll_seconds: float = POLL_SECONDS,
    ) -> typing.Any:
        """Waits until a condition is true and returns its value."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            found = condition()
            if found:
                return found
            time.sleep(poll_seconds)
        logs = "\n".join(
            file.read_text()[-3000:] for file in self.folder.glob("*.log")
        )
        raise AssertionError(f"timed out waiting for {description}\n{logs}")


@pytest.fixture(name="cluster")
def fixture_cluster(tmp_path):
    cluster = ProcessCluster(tmp_path)
    try:
        for ip in (*CONTROLLERS, ENTRY):
            cluster.start(ip)
        cluster.start_upstreams()
        assert cluster.submit(manifest(3)).status == 200
        yield cluster
    finally:
        cluster.kill_all()


def events(answer: Answer) -> list[bytes]:
    return [line for line in answer.body.splitlines() if line[:3] == b"id:"]


def test_streams_and_calls_are_served(cluster) -> None:
    large = cluster.wait_until_served("/ask/x", Figford_Model="large")
    assert events(large) == [b"id: %d" % n for n in range(1, 7)]
    assert large.headers["figford-response-signature"].startswith("sig-a")
    cluster.wait_until_served("/ask/x", Figford_Model="small")
    booked = json.loads(cluster.wait_until_served("/book/x").body)
    assert booked == {"ran": 1, "account": "acme", "key": None}
    assert cluster.send_request("/none/x").status == 404
    assert cluster.send_request("/book/x", X_Api_Key="wrong").status == 401
    ready = cluster.call(f"{ENTRY}:{cluster.ports[2]}", "GET", "/")
    assert ready.status == 200


def test_a_manifest_survives_leader_loss_and_a_full_restart(cluster) -> None:
    assert cluster.submit(manifest(5), CONTROLLERS[1]).status == 200
    cluster.kill(CONTROLLERS[0])
    stored = cluster.wait(
        "the manifest at a survivor", lambda: cluster.read(CONTROLLERS[1])
    )
    assert stored == manifest(5)
    for ip in CONTROLLERS[1:]:
        cluster.kill(ip)
    for ip in CONTROLLERS:
        cluster.start(ip, bootstrap=False)
    for ip in CONTROLLERS:
        stored = cluster.wait("the manifest", lambda ip=ip: cluster.read(ip))
        assert stored == manifest(5)


def test_a_controller_that_lost_its_disk_is_restored(cluster) -> None:
    cluster.kill(CONTROLLERS[2])
    shutil.rmtree(cluster.folder / CONTROLLERS[2])
    cluster.start(CONTROLLERS[2], bootstrap=False)
    assert cluster.submit(manifest(6), CONTROLLERS[2]).status == 200
    stored = cluster.wait("the manifest", lambda: cluster.read(CONTROLLERS[2]))
    assert stored == manifest(6)


def test_no_quorum_means_no_answer_and_no_acknowledgement(cluster) -> None:
    for ip in CONTROLLERS[1:]:
        cluster.kill(ip)
    cluster.wait(
        "a read that is refused",
        lambda: cluster.control(CONTROLLERS[0], "/figford/config/get").status
        == 503,
    )
    answer = cluster.control(
        CONTROLLERS[0], "/figford/config/replace", manifest(9)
    )
    assert answer.status == 503


def test_a_changed_route_is_in_force_at_the_entry(cluster) -> None:
    cluster.wait_until_served("/book/x")
    assert cluster.submit(manifest(8, "/reserve/")).status == 200
    cluster.wait_until_served("/reserve/x")
    assert cluster.send_request("/book/x").status == 404
    # An older version is acknowledged and changes nothing.
    assert cluster.submit(manifest(4)).status == 200
    assert cluster.send_request("/book/x").status == 404
    wrong = manifest(9) | {"services": []}
    assert cluster.submit(wrong).status == 400
    assert cluster.read(CONTROLLERS[0])["version"] == 8


def test_an_entry_serves_while_all_controllers_are_down(cluster) -> None:
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    for ip in CONTROLLERS:
        cluster.kill(ip)
    assert cluster.send_request("/ask/x", Figford_Model="large").status == 200


def test_a_stopping_entry_closes_its_idle_connections(cluster) -> None:
    """A request that arrives on one of them could not finish in time."""
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    idle_connection = http.client.HTTPConnection(
        ENTRY, cluster.ports[1], timeout=60
    )
    with contextlib.closing(idle_connection):
        # The headers of a stream that began before the stop don't announce it.
        idle_connection.request(
            "POST",
            "/ask/x",
            b"{}",
            {
                "Host": "h.example",
                "Figford-Attempt-Id": "kept",
                "Figford-Deadline-Remaining": "6000",
                "Figford-Model": "large",
                "X-Api-Key": KEY,
            },
        )
        answer = idle_connection.getresponse()
        cluster.process_by_name[ENTRY].send_signal(signal.SIGTERM)
        assert answer.status == 200 and answer.read()
        # The entry closes the connection before it exits.
        assert (
            idle_connection.sock is None or idle_connection.sock.recv(1) == b""
        )
    assert (
        cluster.process_by_name[ENTRY].wait(timeout=WAIT_TIMEOUT_SECONDS) == 0
    )


def test_a_stopping_entry_finishes_its_streams(cluster) -> None:
    cluster.wait_until_served("/ask/x", Figford_Model="large")
    process = cluster.process_by_name[ENTRY]
    process.send_signal(signal.SIGTERM)
    answer = cluster.send_request("/ask/x", Figford_Model="large")
    assert len(events(answer)) == 6
    assert answer.headers["connection"] == "close"
    ready = cluster.call(f"{ENTRY}:{cluster.ports[2]}", "GET", "/")
    assert ready.status == 503
    assert process.wait(timeout=WAIT_TIMEOUT_SECONDS) == 0


@pytest.mark.parametrize("ip", [CONTROLLERS[0], ENTRY])
def test_a_reload_while_a_process_starts_does_not_end_it(tmp_path, ip) -> None:
    """The handler came after the imports; until then, SIGHUP killed it."""
    cluster = ProcessCluster(tmp_path)

    def has_started() -> bool:
        return any('"process started"' in x for x in cluster.log_lines(ip))

    def ignores_reloads() -> bool:
        mask = cluster.process_status(ip, "SigIgn")
        return bool(int(mask, 16) & 1 << signal.SIGHUP - 1)

    try:
        cluster.start(ip)
        process = cluster.process_by_name[ip]
        cluster.wait(
            "a time in which SIGHUP is ignored",
            lambda: ignores_reloads() or has_started(),
            poll_seconds=0.002,
        )
        assert not has_started()
        process.send_signal(signal.SIGHUP)
        cluster.wait(
            "the start", lambda: has_started() or process.poll() is not None
        )
        assert process.poll() is None
    finally:
        cluster.kill_all()
