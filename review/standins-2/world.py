"""A small deployment for the cases of the second review.

Starts the project's programs with the commands of deploy/system.toml as
separate processes on loopback addresses. Workers, callers and the operator are
small stand-ins in this process that follow PROTOCOL.md. Only the standard
library is used.
"""

import http.client
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROLLERS = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]
# At another address, for a controller that replaces one.
SPARE_CONTROLLER = "127.0.0.34"
ENTRIES = ["127.0.0.41", "127.0.0.42"]
WORKER_HOST = "127.0.0.51"
HOSTS = (*CONTROLLERS, SPARE_CONTROLLER, *ENTRIES, WORKER_HOST)
KEY = "n2ctnfzs989anu6wsjnb"
HEARTBEAT_SECONDS = 1.2
# A case that runs longer is ended.
LONGEST_SECONDS = 114
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "connectivity_window_ms": 3000,
    "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_stretch_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "retry_budget_slack": 132, "recovery_s": 12, "pass_ms": 120,
    "retry_after_s": 0, "stall_ms": 4000, "fencing": True,
    "ceiling_window_s": 5, "ceiling_overage": 1.1,
}


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """The record of one run; each line begins with the time in seconds."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_at

    def line(self, text):
        """Writes a line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def free_ports(count):
    """Returns a first port with `count` free ports on all addresses."""
    first = 21000 + (os.getpid() * 53) % 9000
    for _ in range(200):
        sockets = []
        try:
            for port in range(first, first + count):
                for host in HOSTS:
                    found = socket.socket()
                    found.setsockopt(
                        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                    )
                    found.bind((host, port))
                    sockets.append(found)
            return first
        except OSError:
            first += 61
        finally:
            for found in sockets:
                found.close()
    raise CannotRun("no free ports")


def manifest(version, routes, services, tenants=True, limits=None):
    """Returns a manifest as PROTOCOL.md shows it."""
    found = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits
        or {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }
    if tenants:
        found["tenants"] = [
            {"name": "hule930", "api_keys": [KEY], "priority": 1}
        ]
    return found


def route(name, prefix, kind, service, **fields):
    """Returns a route of a manifest."""
    return {
        "name": name, "host": "ficu95.example", "path_prefix": prefix,
        "kind": kind, "timeout_ms": 6000, "target_latency_ms": 300,
        "priority": 1, "service": service, "max_attempts": 2,
        "public": False, "sticky": False, "resumable": False,
    } | fields


def service(name, **fields):
    """Returns a plain service of a manifest."""
    return {
        "name": name, "health_path": "/health", "max_conns": 100,
        "protocol": "h1", "tls": False,
    } | fields


class Deployment:
    """The processes of the project; ends only those that it started."""

    def __init__(self, record, entries=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="figford-review-"))
        self.first_port = free_ports(32)
        self.control_port = self.first_port
        self.front_port = self.first_port + 1
        self.ready_port = self.first_port + 2
        self.links_port = self.first_port + 3
        self.entries = ENTRIES[:entries]
        self.process_by_ip = {}
        self.ended = []
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.command_by_class = {
            item["on"]: shlex.split(item["run"]) for item in roles.values()
        }
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing; run the build first")

    def start(self, ip, bootstrap):
        """Starts one process."""
        is_entry = ip in ENTRIES
        data = self.folder / f"data-{ip}"
        listen = {"control": f"{ip}:{self.control_port}"}
        if is_entry:
            listen = {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
            }
        else:
            data.mkdir(exist_ok=True)
        machine = "front" if is_entry else "core"
        node = {
            "node_name": f"{machine}-{ip}", "role": machine,
            "machine_class": machine,
            "serves": ["front"] if is_entry else ["control"],
            "ip": ip, "zone": "ant-a", "region": "antioquia",
            "zones": {"ant-a": "antioquia"}, "listen": listen,
            "internal_port_range": [self.links_port, self.links_port + 15],
            "seeds": [f"{seed}:{self.control_port}" for seed in CONTROLLERS],
            "bootstrap": bootstrap, "loss_counts": not is_entry,
            "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128},
            "data_dir": None if is_entry else str(data),
            "discovery": "registry", "entry": "vip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants", "gangs"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest",
        }
        file = self.folder / f"{ip}.json"
        file.write_text(json.dumps(node))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FIGFORD_NODE_FILE"] = str(file)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.process_by_ip[ip] = subprocess.Popen(
                self.command_by_class[machine], cwd=ROOT, env=environment,
                stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )
        self.record.line(f"started {machine} {ip}")

    def start_all(self, bootstrap=True):
        """Starts all processes."""
        for ip in (*CONTROLLERS, *self.entries):
            self.start(ip, bootstrap)

    def kill(self, *ips):
        """Kills processes at the same moment."""
        for ip in ips:
            self.process_by_ip[ip].send_signal(signal.SIGKILL)
        for ip in ips:
            self.process_by_ip.pop(ip).wait()
        self.record.line(f"killed {' '.join(ips)}")

    def lose_disk(self, ip):
        """Empties the data folder of a controller that doesn't run."""
        shutil.rmtree(self.folder / f"data-{ip}")
        self.record.line(f"{ip} lost its disk")

    def signal(self, ip, number):
        """Sends a signal to one process."""
        self.process_by_ip[ip].send_signal(number)
        self.record.line(f"signal {number} to {ip}")

    def wait_for_end(self, ip, seconds):
        """Waits for a process that was told to end; then kills it."""
        process = self.process_by_ip.pop(ip)
        try:
            process.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record.line(f"{ip} ended")

    def leader(self):
        """Returns the controller that changed the voters last.

        Its log tells; this only picks what a disruption hits.
        """
        found = []
        for ip in CONTROLLERS:
            for line in (self.folder / f"{ip}.log").read_text().splitlines():
                if '"voters changed"' in line:
                    found.append((json.loads(line)["at"], ip))
        if not found:
            raise CannotRun("no controller has changed the voters")
        return max(found)[1]

    def check_running(self):
        """Returns the addresses whose process has ended by itself."""
        return [
            ip for ip, process in self.process_by_ip.items()
            if process.poll() is not None
        ]

    def close(self, keep_logs=False):
        """Ends all processes that this object started."""
        for process in self.process_by_ip.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.process_by_ip.clear()
        if keep_logs:
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # ---- Operator -------------------------------------------------------

    def control_call(self, ip, method, path, body=b"", timeout=1.0):
        """Returns status and body of a call, or None without an answer."""
        connection = http.client.HTTPConnection(
            ip, self.control_port, timeout=timeout
        )
        try:
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def submit(self, document, seconds=20.0):
        """Sends a manifest to the controllers in turn until it is acked."""
        body = json.dumps(document).encode()
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            ip = CONTROLLERS[turn % len(CONTROLLERS)]
            turn += 1
            found = self.control_call(
                ip, "POST", "/figford/config/replace", body, 2.0
            )
            if found is not None and found[0] == 200:
                self.record.line(
                    f"manifest {document['version']} acked by {ip}"
                )
                return ip
            if found is not None and found[0] in (400, 409, 412, 413, 422):
                raise CannotRun(f"manifest refused: {found}")
            time.sleep(0.1)
        raise CannotRun("manifest not acknowledged")

    def wait_ready(self, seconds=20.0):
        """Waits until all entries say that they are ready."""
        end = time.monotonic() + seconds
        for ip in self.entries:
            while True:
                connection = http.client.HTTPConnection(
                    ip, self.ready_port, timeout=1.0
                )
                try:
                    connection.request("GET", "/figford/ready")
                    if connection.getresponse().status == 200:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                finally:
                    connection.close()
                if time.monotonic() > end:
                    raise CannotRun(f"{ip} did not become ready")
                time.sleep(0.05)
        self.record.line("all entries are ready")


class Worker:
    """A plain worker: answers requests and sends heartbeats.

    `answer` is called with the worker and the request and returns the bytes
    to send; a subclass may do more with the connection.
    """

    def __init__(self, deployment, record, name, service_name, port):
        self.deployment = deployment
        self.record = record
        self.id = name
        self.service = service_name
        self.port = port
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beats = True
        self.closed = False
        self.ran = []
        self._turn = sum(map(ord, name))
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((WORKER_HOST, port))
        self._listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    # ---- Heartbeats -----------------------------------------------------

    def heartbeat(self, **fields):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{WORKER_HOST}:{self.port}", "zone": "ant-a",
                "version": "v1", "slots": 6, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born,
            }
            | fields
        ).encode()

    def send_heartbeat(self):
        """Sends a heartbeat; calls the next controller after a failure."""
        body = self.heartbeat()
        for _ in CONTROLLERS:
            ip = CONTROLLERS[self._turn % len(CONTROLLERS)]
            found = self.deployment.control_call(
                ip, "POST", f"/figford/instances/{self.id}/heartbeat", body
            )
            if found is not None and found[0] // 100 == 2:
                return ip
            self._turn += 1
        return None

    def _beat(self):
        while not self.closed:
            if self.beats:
                self.send_heartbeat()
            time.sleep(HEARTBEAT_SECONDS)

    # ---- Requests -------------------------------------------------------

    def _accept(self):
        while not self.closed:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def close(self):
        """Stops to listen and to send heartbeats."""
        self.closed = True
        self._listener.close()

    def _serve(self, connection):
        file = connection.makefile("rb")
        try:
            while not self.closed:
                request = read_request(file)
                if request is None:
                    return
                if not self.on_request(request, connection):
                    return
        except OSError:
            pass
        finally:
            connection.close()

    def on_request(self, request, connection):
        """Handles a request; returns whether the connection is kept."""
        attempt = request.header("figford-attempt-id")
        expected = request.header("figford-expect-instance")
        if request.path == "/health":
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nFigford-Instance-Id: "
                + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        if expected not in (None, self.id):
            connection.sendall(
                b"HTTP/1.1 421 Misdirected\r\nFigford-Attempt-Id: "
                + (attempt or "").encode()
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        self.ran.append((self.record.now(), attempt))
        self.record.line(f"{self.id} runs {attempt} {request.path}")
        return self.run(request, attempt, connection)

    def run(self, request, attempt, connection):
        """Runs a request; returns whether the connection is kept."""
        time.sleep(0.02)
        connection.sendall(ok(attempt, b"done by " + self.id.encode()))
        return True


def ok(attempt, body, extra=b""):
    """Returns a complete successful answer."""
    return (
        b"HTTP/1.1 200 OK\r\nFigford-Attempt-Id: " + attempt.encode()
        + b"\r\nFigford-Response-Signature: 3e1b.07\r\n" + extra
        + b"Content-Length: " + str(len(body)).encode() + b"\r\n\r\n" + body
    )


class Request:
    """A request as a worker received it."""

    def __init__(self, method, path, headers, body):
        self.method, self.path = method, path
        self.headers, self.body = headers, body

    def header(self, name):
        """Returns the value of a header, or None."""
        for found, value in self.headers:
            if found.lower() == name:
                return value
        return None


def read_request(file):
    """Reads one request; returns None at the end of the connection."""
    line = file.readline()
    if not line.strip():
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = []
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name, value.strip()))
    request = Request(method, path, headers, b"")
    length = request.header("content-length")
    if length:
        request.body = file.read(int(length))
    return request


class Caller:
    """A caller of one entry; opens a new connection for each request."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self._count = 0
        self._lock = threading.Lock()

    def new_attempt(self):
        """Returns a new attempt id."""
        with self._lock:
            self._count += 1
            return f"9c41d07b{self._count:08x}"

    def call(self, entry, path, timeout_ms=4000, attempt=None, **headers):
        """Returns attempt, status and body; the status is 0 without one."""
        attempt = attempt or self.new_attempt()
        connection = http.client.HTTPConnection(
            entry, self.deployment.front_port, timeout=timeout_ms / 1000 + 3
        )
        sent = {
            "Host": "ficu95.example",
            "Figford-Attempt-Id": attempt,
            "Figford-Deadline-Remaining": str(timeout_ms),
            "X-Api-Key": KEY,
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        status, body = 0, b""
        try:
            connection.request("POST", path, b"{}", sent)
            answer = connection.getresponse()
            status = answer.status
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            body = type(error).__name__.encode()
            status = 0 if status == 0 else -status
        finally:
            connection.close()
        self.record.line(
            f"sent {attempt} {path} to {entry}: {status} {body[:60]!r}"
        )
        return attempt, status, body


def main(case, folder, description):
    """Runs a case and exits with 0, 1 or 2 as issue 50 says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.line(f"case: {description}; disruption: {trouble}")
    deployments = []

    def deploy(entries=2):
        deployments.append(Deployment(record, entries))
        return deployments[-1]

    def on_alarm(number, frame):
        raise CannotRun(f"ended by signal {number}")

    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_alarm)
    signal.alarm(LONGEST_SECONDS)
    status = 2
    try:
        broken = case(deploy, record, trouble)
        status = 1 if broken else 0
        verdict = f"rule broken: {broken}" if broken else "rule held"
        record.line(verdict)
        print(verdict)
    except (Exception, KeyboardInterrupt) as error:
        # CannotRun, or a fault of the case itself: neither breaks the rule.
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for deployment in deployments:
            deployment.close(keep_logs="KEEP" in os.environ)
    sys.stdout.flush()
    os._exit(status)
