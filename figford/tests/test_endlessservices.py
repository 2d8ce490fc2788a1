"""Services that send without end, beside one that answers, at a real entry.

The answers of the other service are whole, and the entry's memory is bounded.
"""

import concurrent.futures
import contextlib
import itertools
import json
import pathlib
import socket
import threading
import time
import typing

import attrs
import pytest

from figford import codec
from figford import messages
from figford import operators
from figford.tests import test_processes
from figford.tools import demo
from figford.tools import deployment

ENTRY = "entry-1"
FAULTY_COUNT = 12
CALLERS = 16
SECONDS = 2.5
READ_INTERVAL_SECONDS = 0.1
# Well above the limit of all buffered answers together.
MEMORY_GROWTH_BYTES = 96 << 20
PACKET_BYTES = 1 << 16
_OK = b"HTTP/1.1 200 OK\r\n"
# What comes before the element of an answer that never ends, and what is
# repeated of it.
ENDLESS_BY_KIND = {
    "lines": (_OK, b"X-More: y\r\n"),
    "folded line": (_OK + b"X-L: x\r\n", b" xx\r\n"),
    "body": (_OK + b"\r\n", b"x"),
    "chunks": (_OK + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
}


@attrs.define(eq=False)
class FaultyService:
    """Answers each request without end until its connection is closed."""

    listener: socket.socket = attrs.field(init=False)
    kind: str = ""
    open_answers: int = 0

    def __attrs_post_init__(self) -> None:
        """Listens on a free port."""
        self.listener = socket.create_server((deployment.HOST, 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Returns the address of the service."""
        return f"{deployment.HOST}:{self.listener.getsockname()[1]}"

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self._answer, args=(connection,), daemon=True
                ).start()

    def _answer(self, connection: socket.socket) -> None:
        before, repeated = ENDLESS_BY_KIND[self.kind]
        packet = repeated * (PACKET_BYTES // len(repeated))
        self.open_answers += 1
        with connection, contextlib.suppress(OSError):
            connection.recv(PACKET_BYTES)
            connection.sendall(before)
            while True:
                connection.sendall(packet)
        self.open_answers -= 1


@attrs.define(eq=False)
class World:
    """An entry, services that send without end, and one that answers."""

    running: deployment.Deployment
    faulty: list[FaultyService]
    sequence: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def start(self) -> None:
        """Starts all and waits until both services are known."""
        self.running.start_entries()
        self.running.wait(
            "a leader", lambda: test_processes.leader_of_one(self.running)
        )
        accepted = self.running.submit(ENTRY, configuration(), 0, "first")
        assert accepted.status == 200
        self.running.wait_ready(ENTRY)
        self.running.start_service("parks-1", "medellin", "parks")
        self.running.wait("the services", self._knows_services)

    def _knows_services(self) -> bool:
        self.announce()
        status = self.running.status(ENTRY)
        return len(status.get("upstreams", [])) > len(self.faulty)

    def announce(self) -> None:
        """Announces the faulty services."""
        sequence = next(self.sequence)
        announcements = [
            messages.Announcement(
                upstream=f"faulty-{number}",
                incarnation=1,
                sequence=sequence,
                data_centre="medellin",
                fabric_domain="none",
                address=service.address,
                kind=messages.UpstreamKind.SERVICE,
                accelerators=0,
                state=messages.UpstreamState.SERVING,
                service="shelters",
            )
            for number, service in enumerate(self.faulty)
        ]
        plain = [
            codec.to_plain(item, messages.Announcement)
            for item in announcements
        ]
        address = self.running.announce_addresses("medellin")[0]
        answer = deployment.call(address, "POST", "/announce", plain)
        assert answer.status == 200, json.dumps(answer.body.decode())

    def read(self, service: str) -> int:
        """Returns the status of a read."""
        address = self.running.callers_address(ENTRY)
        headers = {"authorization": f"Bearer {service}"}
        path = f"/{service}/free"
        return deployment.call(address, "GET", path, headers=headers).status

    def memory_bytes(self) -> int:
        """Returns the resident memory of the entry."""
        process = self.running.process_by_name[ENTRY].pid
        status = pathlib.Path(f"/proc/{process}/status").read_text()
        (line,) = [
            item for item in status.splitlines() if item.startswith("VmRSS")
        ]
        return int(line.split()[1]) << 10


def configuration() -> operators.Configuration:
    """Returns a configuration of two plain services."""
    base = demo.demo_configuration()
    shelters = base.plain_services[0]
    parks = attrs.evolve(shelters, name="parks", prefix="/parks")
    # An account for each, so that the limits of one don't refuse the other.
    names = ["shelters", "parks"]
    return attrs.evolve(
        base,
        serving_groups=[],
        plain_services=[shelters, parks],
        client_accounts=[
            operators.ClientAccount(
                name=name, key_digest=operators.key_digest(name)
            )
            for name in names
        ],
        routing_rules=[
            operators.RoutingRule(
                name="all", accounts=names, services=names, models=[]
            )
        ],
        data_centres=[operators.DataCentre(name="medellin", entries=[ENTRY])],
    )


@pytest.fixture(name="world", scope="module")
def fixture_world(tmp_path_factory):
    folder = tmp_path_factory.mktemp("endless")
    running = deployment.Deployment(folder, test_processes.ENTRIES[:1])
    faulty = [FaultyService() for _ in range(FAULTY_COUNT)]
    try:
        made = World(running, faulty)
        made.start()
        yield made
    finally:
        running.kill_all()
        for service in faulty:
            service.listener.close()


@pytest.mark.parametrize("kind", ENDLESS_BY_KIND)
def test_answers_without_end_leave_other_answers_whole(
    world: World, kind: str
) -> None:
    """The entry ran out of memory, and its other requests ended with it."""
    for service in world.faulty:
        service.kind = kind
    before = highest = world.memory_bytes()
    end = time.monotonic() + SECONDS

    def read_on(service: str) -> list[int]:
        statuses = []
        while time.monotonic() < end:
            statuses.append(world.read(service))
            time.sleep(READ_INTERVAL_SECONDS)
        return statuses

    with concurrent.futures.ThreadPoolExecutor(CALLERS + 1) as pool:
        endless = [pool.submit(read_on, "shelters") for _ in range(CALLERS)]
        sound = pool.submit(read_on, "parks")
        while time.monotonic() < end:
            world.announce()
            highest = max(highest, world.memory_bytes())
            time.sleep(0.1)
        assert set(sound.result()) == {200}
        for answers in endless:
            assert set(answers.result()) <= {429, 502, 503}
    world.running.wait(
        "connections closed",
        lambda: not any(item.open_answers for item in world.faulty),
    )
    world.running.check_alive()
    print(f"{kind}: {before >> 20} MiB before, {highest >> 20} at most")
    assert highest - before < MEMORY_GROWTH_BYTES
