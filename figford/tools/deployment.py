"""Runs a whole deployment as separate processes on loopback addresses.

The demo, the process tests and the benches use it. It sends signals only to
processes that it started itself, by their process ID.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import time
import typing

import attrs
import yaml

from figford import errors
from figford import operators

HOST = "127.0.0.1"
ANY_ADDRESS = "0.0.0.0"
WAIT_SECONDS = 60.0
POLL_SECONDS = 0.05
PORT_RANGE = (12_000, 32_000)
CALL_TIMEOUT_SECONDS = 60.0


_allocated_ports: set[int] = set()


class DeploymentError(errors.FigfordError):
    """A process of the deployment failed or a wait timed out."""


def free_ports(count: int) -> list[int]:
    """Returns ports that were free on all addresses when checked.

    They lie below the operating system's ephemeral port range, so that no
    outgoing connection can occupy them.
    """
    first, last = PORT_RANGE
    allocated = []
    while len(allocated) < count:
        port = random.SystemRandom().randint(first, last)
        if port in allocated or port in _allocated_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ANY_ADDRESS, port))
            allocated.append(port)
    _allocated_ports.update(allocated)
    return allocated


@attrs.frozen
class EntryPlan:
    """An entry to run; `disk` gives it a data folder."""

    name: str
    data_centre: str
    disk: bool


@attrs.frozen
class Answer:
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Returns the body as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    document: object = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Returns the complete response to a request.

    Raises OSError or HTTPException if the exchange fails.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=CALL_TIMEOUT_SECONDS
    )
    body = None if document is None else json.dumps(document)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        data = answer.read()
        response_headers = {
            name.lower(): value for name, value in answer.getheaders()
        }
        return Answer(answer.status, response_headers, data)
    finally:
        connection.close()


@attrs.define
class Deployment:
    """A deployment's processes; its folder holds their files."""

    folder: pathlib.Path
    plans: list[EntryPlan]
    extra_settings: dict = attrs.field(factory=dict)
    ports_by_entry: dict[str, list[int]] = attrs.field(factory=dict)
    process_by_name: dict[str, subprocess.Popen] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Writes the settings of all entries."""
        self.folder.mkdir(parents=True, exist_ok=True)
        secret = self.folder / "secret"
        secret.write_text(secrets.token_hex(16))
        secret.chmod(0o600)
        ports = free_ports(5 * len(self.plans))
        for index, plan in enumerate(self.plans):
            self.ports_by_entry[plan.name] = ports[5 * index : 5 * index + 5]
        for plan in self.plans:
            self._write_settings(plan)

    def _write_settings(self, plan: EntryPlan) -> None:
        settings = {
            "deployment": "demo",
            "instance": plan.name,
            "data_centre": plan.data_centre,
            "secret_file": str(self.folder / "secret"),
            "callers_address": self.address(plan.name, 0),
            "links_address": self.address(plan.name, 1),
            "upstreams_address": self.address(plan.name, 2),
            "operators_address": self.address(plan.name, 3),
            "metrics_address": self.address(plan.name, 4),
            "seeds": [self.address(self.plans[0].name, 1)],
            "allow_faults": True,
            **self.extra_settings,
        }
        if len(self.plans) > 1:
            settings["seeds"].append(self.address(self.plans[1].name, 1))
        if plan.disk:
            settings["data_folder"] = str(self.data_folder(plan.name))
        path = self.settings_path(plan.name)
        path.write_text(yaml.safe_dump(settings))

    # ---- Addresses and paths --------------------------------------------

    def address(self, entry: str, role: int) -> str:
        """Returns an address of an entry.

        The roles are callers, links, upstreams, operators and metrics, in
        this order.
        """
        return f"{HOST}:{self.ports_by_entry[entry][role]}"

    def callers_address(self, entry: str) -> str:
        """Returns the callers' address of an entry."""
        return self.address(entry, 0)

    def operators_address(self, entry: str) -> str:
        """Returns the operators' address of an entry."""
        return self.address(entry, 3)

    def metrics_address(self, entry: str) -> str:
        """Returns the metrics address of an entry."""
        return self.address(entry, 4)

    def announce_addresses(self, data_centre: str) -> list[str]:
        """Returns the addresses that take announcements in a data centre."""
        return [
            self.address(plan.name, 2)
            for plan in self.plans
            if plan.data_centre == data_centre
        ]

    def settings_path(self, entry: str) -> pathlib.Path:
        """Returns the settings file of an entry."""
        return self.folder / f"{entry}.yaml"

    def data_folder(self, entry: str) -> pathlib.Path:
        """Returns the data folder of an entry."""
        return self.folder / f"{entry}-data"

    # ---- Processes ------------------------------------------------------

    def _run(self, name: str, module: str, arguments: list[str]) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def initialize(self, entry: str) -> None:
        """Initializes the deployment in the data folder of an entry."""
        command = [sys.executable, "-m", "figford", "init", "--settings"]
        command.append(str(self.settings_path(entry)))
        subprocess.run(command, check=True, capture_output=True)

    def start_entry(self, entry: str) -> None:
        """Starts an entry."""
        path = str(self.settings_path(entry))
        self._run(entry, "figford", ["serve", "--settings", path])

    def start_entries(self) -> None:
        """Initializes the deployment and starts all entries."""
        first = next(plan for plan in self.plans if plan.disk)
        self.initialize(first.name)
        for plan in self.plans:
            self.start_entry(plan.name)

    def start_engines(
        self,
        name: str,
        data_centre: str,
        domain: str,
        count: int,
        options: dict[str, object] | None = None,
    ) -> None:
        """Starts engines of one fabric domain in one process."""
        addresses = [f"{HOST}:{port}" for port in free_ports(count)]
        arguments = [
            f"--name={name}",
            f"--addresses={','.join(addresses)}",
            f"--data-centre={data_centre}",
            f"--domain={domain}",
            f"--announce={','.join(self.announce_addresses(data_centre))}",
        ]
        arguments += [
            f"--{key.replace('_', '-')}={value}"
            for key, value in (options or {}).items()
        ]
        self._run(name, "figford.tools.engine", arguments)

    def start_service(
        self, name: str, data_centre: str, service: str, delay: float = 0.0
    ) -> str:
        """Starts a plain service; returns its address."""
        address = f"{HOST}:{free_ports(1)[0]}"
        entries = ",".join(self.announce_addresses(data_centre))
        self._run(
            name,
            "figford.tools.service",
            [
                f"--name={name}",
                f"--address={address}",
                f"--data-centre={data_centre}",
                f"--service={service}",
                f"--announce={entries}",
                f"--delay-seconds={delay}",
            ],
        )
        return address

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this deployment."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def delete_data_folder(self, entry: str) -> None:
        """Deletes the data folder of an entry that does not run."""
        shutil.rmtree(self.data_folder(entry))

    def stop(self, name: str) -> int:
        """Stops a process gracefully; returns its exit code."""
        process = self.process_by_name.pop(name)
        process.terminate()
        return process.wait(WAIT_SECONDS)

    def kill_all(self) -> None:
        """Kills all processes that still run."""
        for name in list(self.process_by_name):
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process_by_name[name].pid, signal.SIGCONT)
            self.kill(name)

    # ---- Status and requests --------------------------------------------

    def status(self, entry: str) -> dict:
        """Returns the status of an entry; empty if it does not answer."""
        try:
            return call(self.operators_address(entry), "GET", "/status").json()
        except (OSError, ValueError, http.client.HTTPException):
            return {}

    def wait(
        self,
        description: str,
        condition: typing.Callable[[], object],
        seconds: float = WAIT_SECONDS,
    ) -> typing.Any:
        """Waits until a condition is true; returns its value.

        Raises DeploymentError if a process ended or the wait timed out.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            self.check_alive()
            time.sleep(POLL_SECONDS)
        raise DeploymentError(f"timed out after {seconds:g} s: {description}")

    def check_alive(self) -> None:
        """Raises DeploymentError if a process ended by itself."""
        for name, process in self.process_by_name.items():
            if process.poll() is not None:
                log = (self.folder / f"{name}.log").read_text()[-2000:]
                raise DeploymentError(
                    f"{name} exited with code {process.returncode}:\n{log}"
                )

    def wait_ready(self, entry: str) -> None:
        """Waits until an entry serves callers."""
        self.wait(f"{entry} ready", lambda: self.status(entry).get("ready"))

    def wait_groups(self, entry: str, count: int) -> None:
        """Waits until an entry reports this many groups as serving."""
        self.wait(
            f"{count} groups at {entry}",
            lambda: count_groups_serving(self.status(entry)) == count,
        )

    def submit(
        self,
        entry: str,
        configuration: operators.Configuration,
        base_version: int,
        submission: str,
    ) -> Answer:
        """Submits a configuration over HTTP."""
        return call(
            self.operators_address(entry),
            "POST",
            "/submit",
            {
                "submission": submission,
                "base_version": base_version,
                "author": "deployment",
                "document": configuration.to_document(),
            },
        )

    def chat(
        self, entry: str, key: str, model: str, prompt: str, **options: object
    ) -> Answer:
        """Sends a model request and reads the complete answer."""
        return call(
            self.callers_address(entry),
            "POST",
            "/v1/chat/completions",
            {
                "model": model,
                "messages": [{"role": "user", "content": prompt}],
                **options,
            },
            {"authorization": f"Bearer {key}"},
        )


def count_groups_serving(status: dict) -> int:
    """Returns how many groups of a status are in the state `serving`."""
    return sum(
        group["state"] == "serving" for group in status.get("groups", [])
    )


def stream_text(body: bytes) -> str:
    """Returns the text of a streamed answer.

    Raises DeploymentError if the answer is incomplete.
    """
    events = [event for event in body.split(b"\n\n") if event]
    if not events or not events[-1].endswith(b"data: [DONE]"):
        raise DeploymentError(
            f"the streamed answer is incomplete: {events[-1:]!r}"
        )
    parts = []
    for event in events[:-1]:
        _, _, data = event.partition(b"data: ")
        chunk = json.loads(data)
        parts.append(chunk["choices"][0]["delta"]["content"])
    return "".join(parts)
