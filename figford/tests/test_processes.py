"""Tests of real processes under injected faults.

Faults are killed and frozen processes, lost disks and blocked links; two
operators also submit concurrently.
"""

import concurrent.futures
import datetime
import http.client
import ipaddress
import json
import signal
import socket
import ssl
import time
import urllib.error
import urllib.request

import attrs
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
import pytest

from figford import control
from figford import operators
from figford.tools import demo
from figford.tools import deployment
from figford.tools import engine

ENTRIES = [
    deployment.EntryPlan("entry-1", "medellin", disk=True),
    deployment.EntryPlan("entry-2", "medellin", disk=True),
    deployment.EntryPlan("entry-3", "medellin", disk=True),
]
TOKENS = 40
PROMPT = "explain the netlist"
EXPECTED_TEXT = "".join(engine.token_text(PROMPT, i) for i in range(TOKENS))
ENTRY_NAMES = [plan.name for plan in ENTRIES]


def configuration(replicas=2, weight=1.0):
    base = demo.demo_configuration()
    return attrs.evolve(
        base,
        serving_groups=[
            attrs.evolve(
                base.serving_groups[0], replicas={"medellin": replicas}
            )
        ],
        client_accounts=[attrs.evolve(base.client_accounts[0], weight=weight)],
        data_centres=[
            operators.DataCentre(name="medellin", entries=ENTRY_NAMES)
        ],
    )


def leader_of(running):
    for name in running.process_by_name:
        if name in ENTRY_NAMES and running.status(name).get("leader"):
            return name
    return None


def voters_settled(running):
    """Returns whether there is a leader, and all entries know all voters.

    A leader alone may know of one that was not committed yet.
    """
    return leader_of(running) and all(
        len(running.status(name).get("voters", [])) == len(ENTRIES)
        for name in ENTRY_NAMES
    )


def in_force(running, version, names=ENTRY_NAMES):
    return all(
        running.status(name).get("configuration_version") == version
        for name in names
    )


@pytest.fixture(name="running")
def fixture_running(tmp_path):
    running = deployment.Deployment(tmp_path, ENTRIES)
    try:
        running.start_entries()
        running.wait("all voters", lambda: voters_settled(running))
        yield running
    finally:
        running.kill_all()


@pytest.fixture(name="serving")
def fixture_serving(running):
    for name in ("north", "south"):
        running.start_engines(
            name, "medellin", f"fabric-{name}", 2, {"tokens": TOKENS}
        )
    assert running.submit("entry-1", configuration(), 0, "first").status == 200
    running.wait("version 1", lambda: in_force(running, 1))
    for name in ENTRY_NAMES:
        running.wait_ready(name)
        running.wait_groups(name, 2)
    return running


def stream(running, entry):
    """Requests the deterministic answer of the engines as a stream."""
    return running.chat(entry, demo.KEY, demo.MODEL, PROMPT, stream=True)


def followers(running):
    leader = running.wait("a leader", lambda: leader_of(running))
    return leader, [name for name in ENTRY_NAMES if name != leader]


def test_leader_killed_and_its_disk_lost(running):
    leader, others = followers(running)
    accepted = running.submit(others[0], configuration(), 0, "before")
    assert accepted.json()["version"] == 1
    running.kill(leader)
    running.wait("another leader", lambda: leader_of(running))
    accepted = running.submit(others[0], configuration(1), 1, "after")
    assert accepted.json()["version"] == 2
    # A resent submission returns the outcome of the first one.
    resent = running.submit(others[1], configuration(), 0, "before")
    assert resent.json()["version"] == 1
    before = running.status(others[0])["voters"]
    running.delete_data_folder(leader)
    running.start_entry(leader)

    def replaced_by_new_voter():
        if not voters_settled(running):
            return False
        voters = running.status(leader_of(running)).get("voters", [])
        return len(set(voters) - set(before)) == 1

    running.wait(
        "the empty disk to join as a new voter", replaced_by_new_voter
    )
    running.wait("version 2", lambda: in_force(running, 2))


def test_majority_of_disks_lost_and_recovered_by_command(running):
    accepted = running.submit("entry-1", configuration(), 0, "before")
    assert accepted.json()["version"] == 1
    running.wait("version 1", lambda: in_force(running, 1))
    for name in ENTRY_NAMES:
        running.kill(name)
    for name in ("entry-2", "entry-3"):
        running.delete_data_folder(name)
    path = str(running.settings_path("entry-1"))
    with pytest.raises(deployment.DeploymentError, match="can run again"):
        demo.run_figford("recover", "--settings", path)
    output = demo.run_figford("recover", "--settings", path, "--yes")
    assert "version 1" in output
    for name in ENTRY_NAMES:
        running.start_entry(name)
    running.wait("all voters again", lambda: voters_settled(running))
    version = 1 + control.RECOVERY_VERSION_GAP
    running.wait("the version", lambda: in_force(running, version))
    after = running.submit("entry-2", configuration(1), version, "after")
    assert after.json()["version"] == version + 1


def test_two_operators_submit_for_the_same_version(running):
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = list(
            pool.map(
                lambda item: running.submit(
                    item[0], configuration(weight=item[1]), 0, item[0]
                ),
                [("entry-1", 1.0), ("entry-2", 2.0)],
            )
        )
    assert sorted(answer.status for answer in answers) == [200, 409]
    loser = next(answer for answer in answers if answer.status == 409)
    winner = next(answer for answer in answers if answer.status == 200)
    name = ENTRY_NAMES[answers.index(winner)]
    assert loser.json()["type"] == "urn:figford:configuration-conflict"
    assert name in loser.json()["detail"]


def test_frozen_leader_is_replaced_and_does_not_revert(running):
    leader, others = followers(running)
    running.send_signal(leader, signal.SIGSTOP)
    running.wait(
        "another leader",
        lambda: any(running.status(name).get("leader") for name in others),
    )
    accepted = running.submit(others[0], configuration(), 0, "while frozen")
    assert accepted.json()["version"] == 1
    running.send_signal(leader, signal.SIGCONT)
    running.wait("version 1", lambda: in_force(running, 1))
    late = running.submit(leader, configuration(1), 0, "late")
    assert late.status == 409


def test_partitioned_entry_stops_serving_and_recovers(serving):
    isolated, others = followers(serving)
    fault = {"blocked": others}
    deployment.call(
        serving.operators_address(isolated), "POST", "/faults", fault
    )
    serving.wait(
        "the partitioned entry to be not ready",
        lambda: serving.status(isolated).get("ready") is False,
    )
    refused = serving.chat(isolated, demo.KEY, demo.MODEL, PROMPT)
    assert refused.status == 503
    assert refused.json()["run"] == "not_run"
    assert "retry-after" in refused.headers
    accepted = serving.submit(others[0], configuration(1), 1, "meanwhile")
    assert accepted.json()["version"] == 2
    deployment.call(
        serving.operators_address(isolated), "POST", "/faults", {"blocked": []}
    )
    serving.wait("version 2", lambda: in_force(serving, 2))
    serving.wait_ready(isolated)


def test_engine_dies_mid_answer(serving):
    """Another group continues the answer from the position reached."""
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        answers = [
            pool.submit(stream, serving, ENTRY_NAMES[i % 3]) for i in range(4)
        ]
        serving.wait(
            "requests in progress",
            lambda: sum(
                serving.status(name).get("in_progress", 0)
                for name in ENTRY_NAMES
            )
            == 4,
        )
        serving.kill("north")
        for answer in answers:
            text = deployment.stream_text(answer.result().body)
            assert text == EXPECTED_TEXT
    for name in ENTRY_NAMES:
        serving.wait_groups(name, 1)


def test_requests_are_refused_at_once_without_a_group(serving):
    serving.kill("north")
    serving.kill("south")
    serving.wait_groups("entry-1", 0)
    refused = serving.chat("entry-1", demo.KEY, demo.MODEL, PROMPT)
    assert refused.status == 503
    assert refused.json()["type"] == "urn:figford:no-capacity"
    assert refused.json()["run"] == "not_run"
    assert int(refused.headers["retry-after"]) >= 1


def test_planned_shrink_aborts_no_request(serving):
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        answers = [
            pool.submit(stream, serving, ENTRY_NAMES[i % 3]) for i in range(6)
        ]
        accepted = serving.submit("entry-2", configuration(1), 1, "shrink")
        assert accepted.status == 200
        for answer in answers:
            text = deployment.stream_text(answer.result().body)
            assert text == EXPECTED_TEXT
    for name in ENTRY_NAMES:
        serving.wait_groups(name, 1)


def test_entry_stops_gracefully_with_work_in_progress(serving):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        answer = pool.submit(stream, serving, "entry-3")
        serving.wait(
            "the request in progress",
            lambda: serving.status("entry-3").get("in_progress") == 1,
        )
        assert serving.stop("entry-3") == 0
        assert deployment.stream_text(answer.result().body) == EXPECTED_TEXT


HEADERS = {"authorization": f"Bearer {demo.KEY}"}


def book(running, entry, key):
    return deployment.call(
        running.callers_address(entry),
        "POST",
        "/shelters/book",
        {"shelter": 1},
        {**HEADERS, "idempotency-key": key},
    )


def runs(address):
    return deployment.call(address, "GET", "/shelters/runs").json()


def knows_service(running, name):
    return any(
        row["kind"] == "service"
        for row in running.status(name).get("upstreams", [])
    )


def test_owner_of_a_booking_killed_after_the_claim(serving):
    service = serving.start_service(
        "shelters-1", "medellin", "shelters", delay=30.0
    )
    for name in ENTRY_NAMES:
        serving.wait("the service", lambda n=name: knows_service(serving, n))
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        lost = pool.submit(book, serving, "entry-3", "k1")
        serving.wait(
            "the booking at the service", lambda: runs(service).get("k1")
        )
        busy = book(serving, "entry-1", "k1")
        assert busy.status == 409
        assert busy.json()["run"] == "unknown"
        serving.kill("entry-3")
        with pytest.raises((OSError, http.client.HTTPException)):
            lost.result()
    serving.wait(
        "a response of unknown outcome",
        lambda: book(serving, "entry-1", "k1").status == 502,
    )
    problem = book(serving, "entry-2", "k1").json()
    assert problem["type"] == "urn:figford:outcome-unknown"
    assert problem["run"] == "unknown"
    assert runs(service)["k1"] == 1


def test_an_entry_that_did_not_run_for_a_time_completes_its_answers(tmp_path):
    """It took its groups for lost; their announcements lay in its sockets."""
    running = deployment.Deployment(tmp_path, ENTRIES[:1])
    tokens = 80
    try:
        running.start_entries()
        running.wait("a leader", lambda: leader_of_one(running))
        for name in ("north", "south"):
            running.start_engines(
                name,
                "medellin",
                f"fabric-{name}",
                2,
                {"tokens": tokens, "token_seconds": 0.1},
            )
        alone = operators.DataCentre(name="medellin", entries=["entry-1"])
        submitted = attrs.evolve(configuration(), data_centres=[alone])
        accepted = running.submit("entry-1", submitted, 0, "first")
        assert accepted.status == 200
        running.wait_ready("entry-1")
        running.wait_groups("entry-1", 2)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            answers = [
                pool.submit(stream, running, "entry-1") for _ in range(4)
            ]
            running.wait(
                "the requests in progress",
                lambda: running.status("entry-1").get("in_progress") == 4,
            )
            running.send_signal("entry-1", signal.SIGSTOP)
            time.sleep(2.7)
            running.send_signal("entry-1", signal.SIGCONT)
            expected = "".join(
                engine.token_text(PROMPT, i) for i in range(tokens)
            )
            for answer in answers:
                text = deployment.stream_text(answer.result().body)
                assert text == expected
    finally:
        running.kill_all()


def test_an_entry_refuses_what_it_cannot_complete_before_it_ends(tmp_path):
    """The connection of the caller was reset at the stop timeout."""
    running = deployment.Deployment(
        tmp_path, ENTRIES[:1], {"stop_timeout": 2.0}
    )
    try:
        running.start_entries()
        running.wait("a leader", lambda: leader_of_one(running))
        alone = operators.DataCentre(name="medellin", entries=["entry-1"])
        submitted = attrs.evolve(configuration(), data_centres=[alone])
        accepted = running.submit("entry-1", submitted, 0, "first")
        assert accepted.status == 200
        running.wait_ready("entry-1")
        service = running.start_service(
            "shelters-1", "medellin", "shelters", delay=30.0
        )
        running.wait("the service", lambda: knows_service(running, "entry-1"))
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            answer = pool.submit(book, running, "entry-1", "k1")
            running.wait(
                "the booking at the service", lambda: runs(service).get("k1")
            )
            assert running.stop("entry-1") == 1
            assert answer.result().status == 503
            assert answer.result().json()["run"] == "unknown"
    finally:
        running.kill_all()


def leader_of_one(running):
    return running.status("entry-1").get("leader")


def test_booking_answer_survives_the_restart_of_all_entries(serving):
    service = serving.start_service("shelters-1", "medellin", "shelters")
    for name in ENTRY_NAMES:
        serving.wait("the service", lambda n=name: knows_service(serving, n))
    first = book(serving, "entry-1", "k2")
    assert first.status == 200
    for name in ENTRY_NAMES:
        serving.kill(name)
    for name in ENTRY_NAMES:
        serving.start_entry(name)
    for name in ENTRY_NAMES:
        serving.wait_ready(name)
    again = book(serving, "entry-2", "k2")
    assert (again.status, again.body) == (200, first.body)
    other = deployment.call(
        serving.callers_address("entry-3"),
        "POST",
        "/shelters/book",
        {"shelter": 9},
        {**HEADERS, "idempotency-key": "k2"},
    )
    assert other.status == 422
    assert runs(service)["k2"] == 1


def test_booking_without_quorum_is_refused_as_not_run(serving):
    service = serving.start_service("shelters-1", "medellin", "shelters")
    serving.wait("the service", lambda: knows_service(serving, "entry-1"))
    _, others = followers(serving)
    serving.send_signal(others[0], signal.SIGSTOP)
    serving.send_signal(others[1], signal.SIGSTOP)
    survivor = next(name for name in ENTRY_NAMES if name not in others)
    refused = book(serving, survivor, "k3")
    assert refused.status == 503
    assert refused.json()["run"] == "not_run"
    for name in others:
        serving.send_signal(name, signal.SIGCONT)
    for name in ENTRY_NAMES:
        serving.wait_ready(name)
    assert runs(service) == {}
    serving.wait(
        "the key usable again",
        lambda: book(serving, survivor, "k3").status == 200,
    )
    assert runs(service)["k3"] == 1


def test_a_request_to_reload_does_not_end_an_entry(tmp_path):
    """A SIGHUP ended the process in the midst of its answers."""
    running = deployment.Deployment(tmp_path, ENTRIES[:1])
    log = tmp_path / "entry-1.log"
    try:
        running.start_entries()
        running.wait("the entry answers", lambda: running.status("entry-1"))
        running.send_signal("entry-1", signal.SIGHUP)
        running.wait(
            "the entry to note it",
            lambda: "settings kept" in log.read_text(),
        )
        assert running.status("entry-1")
        assert running.stop("entry-1") == 0
    finally:
        running.kill_all()


def test_an_entry_that_cannot_start_exits(tmp_path):
    """The thread that writes to the disk kept the process for good."""
    running = deployment.Deployment(tmp_path / "d", ENTRIES[:1])
    host, port = running.callers_address("entry-1").split(":")
    try:
        with socket.socket() as other:
            other.bind((host, int(port)))
            other.listen()
            running.start_entries()
            process = running.process_by_name["entry-1"]
            assert process.wait(deployment.WAIT_SECONDS) == 1
    finally:
        running.kill_all()


def test_callers_port_serves_tls(tmp_path):
    key = tmp_path / "key.pem"
    certificate = tmp_path / "certificate.pem"
    _write_certificate(key, certificate)
    running = deployment.Deployment(
        tmp_path / "d",
        ENTRIES[:1],
        {"tls": {"key": str(key), "certificate": str(certificate)}},
    )
    try:
        running.start_entries()
        running.wait("the entry answers", lambda: running.status("entry-1"))
        context = ssl.create_default_context(cafile=str(certificate))
        address = running.callers_address("entry-1")
        with urllib.request.urlopen(
            urllib.request.Request(f"https://{address}/health"),
            context=context,
        ) as answer:
            raise AssertionError(answer.status)
    except urllib.error.HTTPError as error:
        assert error.code == 503
        assert json.load(error)["type"] == "urn:figford:not-ready"
    finally:
        running.kill_all()


def test_idle_tls_connections_do_not_delay_the_end_of_an_entry(tmp_path):
    key = tmp_path / "key.pem"
    certificate = tmp_path / "certificate.pem"
    _write_certificate(key, certificate)
    running = deployment.Deployment(
        tmp_path / "d",
        ENTRIES[:1],
        {"tls": {"key": str(key), "certificate": str(certificate)}},
    )
    try:
        running.start_entries()
        running.wait("the entry answers", lambda: running.status("entry-1"))
        context = ssl.create_default_context(cafile=str(certificate))
        host, port = running.callers_address("entry-1").split(":")
        idle = http.client.HTTPSConnection(host, int(port), context=context)
        idle.request("GET", "/health")
        assert idle.getresponse().read()
        assert idle.sock is not None
        assert running.stop("entry-1") == 0
        idle.close()
    finally:
        running.kill_all()


def _write_certificate(key_path, certificate_path):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
    now = datetime.datetime.now(datetime.timezone.utc)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .sign(key, hashes.SHA256())
    )
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    certificate_path.write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
