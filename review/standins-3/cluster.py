"""Starts the project's programs as processes, as the platform does.

Only the standard library is used. All addresses are loopback addresses.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import sys
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The bounds of the site dawair-figford.
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
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 130,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 4000,
    "fencing": True,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
}
TOLERANCE = {"machines": 1, "zones": 1, "regions": 0}


def has_trouble() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happens to record.txt, with the time since the start."""

    def __init__(self, file: pathlib.Path) -> None:
        self._file = open(file, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line."""
        at = time.monotonic() - self.started
        with self._lock:
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def free_port(hosts: list[str], count: int = 1) -> int:
    """Returns the first of some ports in a row that are free everywhere."""
    while True:
        port = random.randrange(20000, 32000)
        opened = []
        try:
            for host in hosts:
                for offset in range(count):
                    item = socket.socket()
                    opened.append(item)
                    item.bind((host, port + offset))
        except OSError:
            continue
        finally:
            for item in opened:
                item.close()
        return port


def _ended(number: int, frame: object) -> None:
    """Ends a case that could not run in time; its processes end with it."""
    raise SystemExit(2)


class Cluster:
    """Controllers and entries; ends only processes that it started."""

    def __init__(
        self, record: Record, controllers: int = 3, entries: int = 1
    ) -> None:
        # run.sh ends a case that takes too long by this signal.
        signal.signal(signal.SIGTERM, _ended)
        net = random.randrange(60, 250)
        self.record = record
        self.controllers = [f"127.{net}.1.{i + 1}" for i in range(controllers)]
        self.entries = [f"127.{net}.2.{i + 1}" for i in range(entries)]
        hosts = self.controllers + self.entries
        self.control_port = free_port(hosts)
        self.front_port = free_port(hosts)
        self.ready_port = free_port(hosts)
        self.internal_port = free_port(hosts, 16)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.process_by_ip: dict[str, subprocess.Popen] = {}

    # ---- Processes ------------------------------------------------------

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Starts a process with the command of the deploy file."""
        is_entry = ip in self.entries
        role = "entry" if is_entry else "controller"
        index = (self.entries if is_entry else self.controllers).index(ip)
        zones = ["casa-a", "casa-b", "casa-c"]
        listen = {"control": f"{ip}:{self.control_port}"}
        if is_entry:
            listen = {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
            }
        settings = {
            "node_name": f"{role}-{index}",
            "role": role,
            "machine_class": "front" if is_entry else "core",
            "serves": ["front"] if is_entry else ["control"],
            "ip": ip,
            "zone": zones[index % 3],
            "region": "casa-region",
            "zones": {zone: "casa-region" for zone in zones},
            "listen": listen,
            "internal_port_range": [
                self.internal_port, self.internal_port + 15
            ],
            "seeds": [f"{c}:{self.control_port}" for c in self.controllers[:3]],
            "bootstrap": bootstrap,
            "loss_counts": not is_entry,
            "limits": {
                "cpu_share": 0.537 if is_entry else 0.645,
                "cores": 2,
                "memory_mb": 300 if is_entry else 296,
                "max_fds": 4200 if is_entry else 4096,
                "link_mbps": 1000.0,
                "disk_mb": 0 if is_entry else 128,
            },
            "data_dir": None if is_entry else str(self.folder / ip / "data"),
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants", "gangs"],
            "fault_tolerance": TOLERANCE,
            "bounds": BOUNDS,
            "config_mode": "highest",
        }
        home = self.folder / ip
        (home / "data").mkdir(parents=True, exist_ok=True)
        file = home / "boot.json"
        file.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FIGFORD_NODE_FILE"] = str(file)
        with open(home / "log", "ab") as log:
            self.process_by_ip[ip] = subprocess.Popen(
                ["python3", "-m", "figford.platform", role],
                cwd=ROOT, stdout=log, stderr=log, env=environment,
            )
        self.record(f"platform: {role} {ip} started, bootstrap {bootstrap}")

    def start_all(self) -> None:
        """Starts the whole system for the first time."""
        for ip in self.controllers + self.entries:
            self.start(ip, bootstrap=True)

    def signal(self, ip: str, number: int) -> None:
        """Sends a signal to a process that was started here."""
        self.record(f"platform: {signal.Signals(number).name} to {ip}")
        self.process_by_ip[ip].send_signal(number)

    def kill(self, ip: str) -> None:
        """Kills a process and waits for its end."""
        process = self.process_by_ip.pop(ip)
        process.kill()
        process.wait()
        self.record(f"platform: SIGKILL to {ip}")

    def wipe(self, ip: str) -> None:
        """Empties the disk of a process that does not run."""
        shutil.rmtree(self.folder / ip / "data")
        self.record(f"platform: the disk of {ip} is empty")

    def ended(self) -> dict[str, int]:
        """Returns the exit status of processes that ended by themselves."""
        return {
            ip: process.returncode
            for ip, process in self.process_by_ip.items()
            if process.poll() is not None
        }

    def close(self) -> None:
        """Ends all processes and removes their files."""
        for process in self.process_by_ip.values():
            process.kill()
            process.wait()
        if os.environ.get("KEEP") == "1":
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, ip: str) -> list[str]:
        """Returns what a process has logged."""
        file = self.folder / ip / "log"
        return file.read_text().splitlines() if file.exists() else []

    # ---- The operator ---------------------------------------------------

    def call(
        self, ip: str, method: str, path: str, body: bytes = b"",
        timeout: float = 1.0,
    ) -> tuple[int, bytes] | None:
        """Returns status and body of a controller's answer, if any."""
        connection = http.client.HTTPConnection(
            ip, self.control_port, timeout=timeout
        )
        try:
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, body or None, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def submit(
        self, manifest: dict, seconds: float, timeout: float = 1.0,
    ) -> bool:
        """Sends a manifest to one controller after the other until its ack."""
        body = json.dumps(manifest, separators=(",", ":")).encode()
        version = manifest["version"]
        until = time.monotonic() + seconds
        pause = 0.1
        while time.monotonic() < until:
            for ip in self.controllers:
                found = self.call(
                    ip, "POST", "/figford/config/replace", body, timeout
                )
                if found is not None and found[0] == 200:
                    self.record(
                        f"operator: version {version} ({len(body)} bytes)"
                        f" acknowledged by {ip}"
                    )
                    return True
                if found is not None and found[0] in (400, 409, 412, 413, 422):
                    self.record(
                        f"operator: version {version} refused {found[0]}"
                    )
                    return False
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        self.record(f"operator: version {version} has no ack")
        return False

    def read(self, ip: str, timeout: float = 1.0) -> int | None:
        """Returns the version that a controller answers a read with."""
        found = self.call(ip, "GET", "/figford/config/get", b"", timeout)
        if found is None or found[0] != 200:
            return None
        return json.loads(found[1])["version"]

    def wait_read(self, version: int, seconds: float) -> bool:
        """Asks all controllers in turn until one answers the version."""
        until = time.monotonic() + seconds
        seen: dict[str, object] = {}
        while time.monotonic() < until:
            for ip in list(self.process_by_ip):
                if ip in self.entries:
                    continue
                found = self.call(ip, "GET", "/figford/config/get", b"", 2.0)
                status = found[0] if found else None
                read = json.loads(found[1])["version"] if status == 200 else 0
                if seen.get(ip) != (status, read):
                    seen[ip] = (status, read)
                    self.record(
                        f"operator: read at {ip}: status {status},"
                        f" version {read or 'none'}"
                    )
                if read == version:
                    return True
            time.sleep(0.25)
        self.record(f"operator: version {version} was not read in {seconds} s")
        return False


def wait_until(condition, seconds: float, interval: float = 0.05) -> bool:
    """Waits until a condition holds; returns whether it did in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(interval)
    return False


def run(main) -> None:
    """Ends the program with what a case returns; 2 if it couldn't run."""
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)
