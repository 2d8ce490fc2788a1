"""A small deployment of the project's programs on loopback addresses.

Starts controllers and entries as separate processes with the commands of the
deploy file, keeps a record of what was sent and answered, and ends every
process that it started. Uses the standard library only.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "shop.example"
KEY = "key-of-acme"
# The bounds of a small deployment, as the settings page shows them.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "connectivity_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 132,
    "recovery_s": 12,
    "stall_ms": 4000,
    "fencing": True,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
}


# A script ends within two minutes, whatever happens.
LIMIT_SECONDS = 117


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes what happened, with seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = open(path, "w")
        self._lock = threading.Lock()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_at

    def left(self):
        """Returns the seconds that are left for watching."""
        return LIMIT_SECONDS - 5.0 - self.now()

    def write(self, text):
        """Writes one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def _free_ports(ip, count):
    sockets, ports = [], []
    for _ in range(count):
        found = socket.socket()
        found.bind((ip, 0))
        sockets.append(found)
        ports.append(found.getsockname()[1])
    for found in sockets:
        found.close()
    return ports


class Deployment:
    """Processes by name; ends only those that it started."""

    def __init__(self, record, bounds=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.process_by_name = {}
        self.subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        first = f"{self.subnet}.1"
        self.control_port, self.front_port, self.ready_port = _free_ports(
            first, 3
        )
        self.inner_port = random.randrange(20000, 30000, 16)

    # ---- Processes ------------------------------------------------------

    def ip(self, number):
        """Returns the address of a machine."""
        return f"{self.subnet}.{number}"

    def _environment(self, **more):
        path = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
        return dict(os.environ, PYTHONPATH=path, **more)

    def start(self, role, number, seeds, bootstrap):
        """Starts a controller or an entry, with the deploy file's command."""
        ip = self.ip(number)
        is_entry = role == "entry"
        listen = {"control": f"{ip}:{self.control_port}"}
        if is_entry:
            listen = {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
            }
        settings = {
            "node_name": f"{role}-{number}",
            "role": role,
            "machine_class": "front" if is_entry else "core",
            "serves": ["front"] if is_entry else ["control"],
            "ip": ip,
            "zone": ZONES[number % 3],
            "region": "region",
            "zones": {zone: "region" for zone in ZONES},
            "listen": listen,
            "internal_port_range": [self.inner_port, self.inner_port + 15],
            "seeds": [
                f"{self.ip(seed)}:{self.control_port}" for seed in seeds
            ],
            "bootstrap": bootstrap,
            "loss_counts": not is_entry,
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "data_dir": None if is_entry else str(self.data_folder(number)),
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_interval_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.bounds,
            "config_mode": "highest",
        }
        if not is_entry:
            self.data_folder(number).mkdir(exist_ok=True)
        file = self.folder / f"{role}-{number}.json"
        file.write_text(json.dumps(settings))
        name = f"{role}-{number}"
        self._spawn(
            name,
            [sys.executable, "-m", "figford.platform", role],
            self._environment(FIGFORD_NODE_FILE=str(file)),
        )
        self.record.write(f"started {name} at {ip}, bootstrap {bootstrap}")

    def start_script(self, name, arguments):
        """Starts a stand-in that is a Python program."""
        self._spawn(name, [sys.executable, *arguments], self._environment())

    def _spawn(self, name, command, environment):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment,
                stdin=subprocess.PIPE,
            )

    def tell(self, name, line):
        """Sends a line to a stand-in."""
        process = self.process_by_name[name]
        process.stdin.write(line.encode() + b"\n")
        process.stdin.flush()
        self.record.write(f"told {name}: {line}")

    def data_folder(self, number):
        """Returns the disk of a controller."""
        return self.folder / f"disk-{number}"

    def kill(self, name):
        """Ends a process at once."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()
        self.record.write(f"killed {name}")

    def lose_disk(self, number):
        """Empties the disk of a controller that does not run."""
        shutil.rmtree(self.data_folder(number))
        self.record.write(f"controller-{number} lost its disk")

    def signal(self, name, number):
        """Sends a signal to a process that was started here."""
        self.process_by_name[name].send_signal(number)
        self.record.write(f"sent {signal.Signals(number).name} to {name}")

    def ended(self):
        """Returns the processes that ended by themselves, with statuses."""
        found = [
            (name, process.poll())
            for name, process in self.process_by_name.items()
            if process.poll() is not None
        ]
        for name, _ in found:
            del self.process_by_name[name]
        return found

    def last_error(self, name):
        """Returns the last exception that a process has logged."""
        found = re.findall(r"\b\w+Error: [^\\\"]*", self.log_text(name))
        return found[-1] if found else "no exception logged"

    def log_text(self, name):
        """Returns what a process has logged."""
        file = self.folder / f"{name}.log"
        return file.read_text(errors="replace") if file.exists() else ""

    def end(self):
        """Ends all processes and removes the temporary folder."""
        for process in self.process_by_name.values():
            process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- Calls ----------------------------------------------------------

    def call(self, address, method, path, body=b"", headers=None, timeout=2):
        """Returns status, headers and body, or None after a failure."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=timeout
        )
        with (
            contextlib.closing(connection),
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            connection.request(method, path, body, headers or {})
            found = connection.getresponse()
            answered = {k.lower(): v for k, v in found.getheaders()}
            return found.status, answered, found.read()
        return None

    def submit(self, document, number):
        """Sends a manifest to one controller; returns its status."""
        answer = self.call(
            f"{self.ip(number)}:{self.control_port}",
            "POST",
            "/figford/config/replace",
            json.dumps(document).encode(),
            {"Content-Type": "application/json"},
        )
        status = answer[0] if answer else None
        self.record.write(
            f"operator sent version {document['version']} to"
            f" controller-{number}: {status}"
        )
        return status

    def submit_until_acknowledged(self, document, numbers, seconds):
        """Sends a manifest until it is acknowledged; returns whether it is."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for number in numbers:
                if self.submit(document, number) == 200:
                    return True
            time.sleep(0.3)
        return False

    def read(self, number):
        """Returns the version that a controller reads back, or None."""
        answer = self.call(
            f"{self.ip(number)}:{self.control_port}",
            "GET",
            "/figford/config/get",
        )
        status = answer[0] if answer else None
        version = json.loads(answer[2])["version"] if status == 200 else None
        self.record.write(
            f"operator read from controller-{number}: {status},"
            f" version {version}"
        )
        return version


def manifest(version, routes, services):
    """Returns a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
    }


def plain_route(name, prefix, service, kind="idempotent", **more):
    """Returns a route to a plain service."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
    } | more


def plain_service(name):
    """Returns a plain service."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 100,
        "protocol": "h1",
        "tls": False,
    }


def _stop(number, _):
    """Ends the script; all processes are ended on the way."""
    raise CannotRun(f"signal {signal.Signals(number).name}")


def run_case(folder, case, has_trouble):
    """Runs a case; returns the exit status of its script."""
    record = Record(pathlib.Path(folder) / "record.txt")
    if not (ROOT / "target" / "deps" / "twisted").exists():
        record.write("cannot run: the build of the deploy file is missing")
        return 2
    for number in (
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
        signal.SIGALRM,
    ):
        signal.signal(number, _stop)
    signal.alarm(LIMIT_SECONDS)
    deployment = Deployment(record)
    record.write(f"trouble: {has_trouble}")
    try:
        broken = case(deployment, record)
    except Exception as error:
        record.write(f"cannot run: {type(error).__name__}: {error}")
        return 2
    finally:
        signal.alarm(0)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(deployment.folder, os.environ["KEEP_LOGS"])
        deployment.end()
    record.write(f"RULE BROKEN: {broken}" if broken else "the rule held")
    return 1 if broken else 0
