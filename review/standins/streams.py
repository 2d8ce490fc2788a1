"""A manifest for the project's stand-in, and callers on kept channels."""

import json
import random
import re
import socket
import time

import deployment as deployments

ENGINE_COUNT, PLAIN_COUNT = 6, 3
_NEXT_ATTEMPT = [0]


def manifest(version, timeout_ms=8000, resumable=True):
    """Returns a manifest with a route of streams and one of calls."""
    engine = {
        "slots": 13,
        "kv_capacity": 700000,
        "models": [
            {
                "name": "large",
                "size": 4,
                "share": 0.75,
                "pace": 1.0,
                "load_s": 0.3,
                "warm_s": 0.1,
            },
            {
                "name": "small",
                "size": 1,
                "share": 0.25,
                "pace": 1.0,
                "load_s": 0.3,
                "warm_s": 0.1,
            },
        ],
        "step_ms": 6.07,
        "per_seq_ms": 0.482,
        "read_per_s": 46000.0,
        "loads_per_s": 4.0,
        "loads_at_once": 6,
        "far_x": 2.5,
        "form_ms": 300.0,
    }
    stream = deployments.plain_route(
        "r1",
        "/ask/",
        "pool",
        "streaming",
        timeout_ms=timeout_ms,
        target_latency_ms=500,
        resumable=resumable,
        sticky=True,
        gap_target_ms=300,
    )
    call = deployments.plain_route("r2", "/book/", "app", "non_idempotent")
    read = deployments.plain_route("r3", "/status/", "app")
    return deployments.manifest(
        version,
        [stream, call, read],
        [
            deployments.plain_service("pool") | {"engine": engine},
            deployments.plain_service("app"),
        ],
    )


def free_port_block(count):
    """Returns the first of some consecutive free ports of 127.0.0.1."""
    for _ in range(200):
        first = random.randrange(10240, 32000)
        sockets = []
        try:
            for port in range(first, first + count):
                found = socket.socket()
                sockets.append(found)
                found.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for found in sockets:
                found.close()
    raise deployments.CannotRun("no free ports")


def start_upstreams(
    deployment, controllers, events, interval, engines=ENGINE_COUNT
):
    """Starts engines and three plain upstreams; returns the first port."""
    port = free_port_block(engines + PLAIN_COUNT)
    deployment.start_script(
        "upstreams",
        [
            str(deployments.ROOT / "review" / "standins" / "upstreams.py"),
            str(engines),
            str(events),
            str(interval),
            str(port),
            str(port),
            str(deployment.control_port),
            "0",
            *[deployment.ip(number) for number in controllers],
        ],
    )
    return port


def headers(path_model, deadline_ms):
    """Returns the head lines of a request, and its attempt id."""
    _NEXT_ATTEMPT[0] += 1
    attempt = f"attempt{_NEXT_ATTEMPT[0]:06d}"
    lines = [
        f"Host: {deployments.HOST}",
        f"Figford-Attempt-Id: {attempt}",
        f"Figford-Deadline-Remaining: {deadline_ms}",
        f"X-Api-Key: {deployments.KEY}",
    ]
    if path_model:
        lines += [
            f"Figford-Model: {path_model}",
            "Figford-Token-Usage: 700,135",
            f"Figford-Prompt-Prefix: 5c1e07a2:40,{attempt[-6:]}:660",
        ]
    return lines, attempt


class Channel:
    """One kept channel of a caller."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), timeout=15)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.keeps = True

    def send(self, path, model, deadline_ms, body=b"{}"):
        """Sends a request; returns its attempt id."""
        lines, attempt = headers(model, deadline_ms)
        head = "\r\n".join(
            [f"POST {path} HTTP/1.1", *lines, f"Content-Length: {len(body)}"]
        )
        self.socket.sendall(head.encode() + b"\r\n\r\n" + body)
        return attempt

    def receive(self):
        """Returns status, whether the answer is complete, and its bytes."""
        data = b""
        while True:
            complete, status = self._parse(data)
            if complete:
                return status, True, data
            try:
                more = self.socket.recv(65536)
            except OSError:
                more = b""
            if not more:
                self.keeps = False
                return status, False, data
            data += more

    def _parse(self, data):
        head, found, body = data.partition(b"\r\n\r\n")
        if not found:
            return False, None
        status = int(head.split(b" ", 2)[1])
        fields = head.lower()
        if b"\nconnection: close" in fields:
            self.keeps = False
        length = re.search(rb"\ncontent-length: *(\d+)", fields)
        if length:
            return len(body) >= int(length[1]), status
        return body.endswith(b"0\r\n\r\n"), status

    def close(self):
        """Closes the channel."""
        self.socket.close()


def wait_until_served(deployment, number, path, model, seconds=30):
    """Sends requests until one is answered with 200."""
    address = f"{deployment.ip(number)}:{deployment.front_port}"
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        lines, _ = headers(model, 8000)
        sent = dict(line.split(": ", 1) for line in lines)
        answer = deployment.call(address, "POST", path, b"{}", sent, 9)
        if answer and answer[0] == 200:
            return
        time.sleep(0.2)
    raise deployments.CannotRun(f"{path} is not served")


def runs(deployment, port):
    """Returns how often the plain upstreams ran each attempt."""
    total = {}
    for index in range(ENGINE_COUNT, ENGINE_COUNT + PLAIN_COUNT):
        answer = deployment.call(f"127.0.0.1:{port + index}", "GET", "/runs")
        for attempt, count in json.loads(answer[2]).items() if answer else ():
            total[attempt] = total.get(attempt, 0) + count
    return total
