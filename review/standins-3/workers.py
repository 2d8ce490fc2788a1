"""Stand-ins of workers that follow PROTOCOL.md: plain ones and engines.

All workers of a case run in one thread, on one event loop. Engines know each
other, as the members of a group do through their fabric.
"""

import asyncio
import http.client
import json
import threading
import time
import typing


class Worker:
    """One life of a worker: answers requests and sends heartbeats."""

    def __init__(
        self, floor: "Floor", name: str, service: str, ip: str, port: int,
        zone: str, slots: int,
    ) -> None:
        self.floor = floor
        self.name = name
        self.service = service
        self.ip, self.port = ip, port
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.beat_sequence = 0
        self.acked: list[tuple[float, str, str]] = []
        self.alive = True
        self.beats = True
        self.writers: set[asyncio.StreamWriter] = set()
        self.work_s = 0.02
        self.server: asyncio.base_events.Server | None = None

    @property
    def address(self) -> str:
        """Returns IP address and port."""
        return f"{self.ip}:{self.port}"

    # ---- Heartbeats -----------------------------------------------------

    def beat(self) -> dict[str, typing.Any]:
        """Returns the body of the next heartbeat."""
        self.beat_sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.beat_sequence,
            "born": self.born,
        }

    async def beat_loop(self) -> None:
        """Sends heartbeats; goes on to the next controller after a failure."""
        while self.alive and self.beats:
            await self.send_beat()
            await asyncio.sleep(self.floor.beat_s)

    async def send_beat(self) -> str | None:
        """Sends one heartbeat; returns the controller that acked it."""
        body = json.dumps(self.beat()).encode()
        path = f"/figford/instances/{self.name}/heartbeat"
        for _ in range(len(self.floor.controls)):
            control = self.floor.controls[self.floor.preferred(self)]
            status = await asyncio.to_thread(
                post, control, path, body, self.floor.record
            )
            if status is not None and 200 <= status < 300:
                self.acked.append((time.monotonic(), control, self.state))
                return control
            self.floor.move_on(self)
        return None

    # ---- Requests -------------------------------------------------------

    async def serve(self) -> None:
        """Listens for requests."""
        self.server = await asyncio.start_server(
            self._connected, self.ip, self.port
        )

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while self.alive:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer) -> bool:
        """Answers a request; returns whether the channel is kept."""
        attempt = request.headers.get("figford-attempt-id", "")
        expected = request.headers.get("figford-expect-instance")
        if expected is not None and expected != self.name:
            await self.reject(writer, 421, attempt)
            return True
        if request.path == "/health":
            await answer(writer, 200, {"Figford-Instance-Id": self.name}, b"")
            return True
        self.floor.ran(self, request)
        await asyncio.sleep(self.work_s)
        body = f"{self.name} ran {attempt}".encode()
        await answer(writer, 200, signed(attempt), body)
        return True

    async def reject(self, writer, status: int, attempt: str) -> None:
        """Says that a request was not run."""
        headers = {"Figford-Not-Executed": "1", "Figford-Attempt-Id": attempt}
        await answer(writer, status, headers, b"")

    def crash(self) -> None:
        """Ends the process: all of its channels are reset."""
        self.alive = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Engine(Worker):
    """A worker that forms groups."""

    def __init__(self, *args: typing.Any, domain: str, staged: list[str]):
        super().__init__(*args)
        self.domain = domain
        self.staged = staged
        self.fence = 0
        self.orders_begun = 0
        self.epoch_seen = 0
        self.seat: dict[str, typing.Any] | None = None
        self.last_model = ""
        self.events = 40
        self.event_s = 0.1

    def report(self) -> dict[str, typing.Any]:
        """Returns what heartbeats and reports tell of models and group."""
        item: dict[str, typing.Any] = {
            "stage": "both", "domain": self.domain, "staged": self.staged,
            "models": [], "group": None,
        }
        seat = self.seat
        if seat is not None:
            item["models"] = [
                {"name": seat["model"], "version": 1, "adapters": []}
            ]
            item["group"] = {
                "name": seat["group"], "epoch": seat["epoch"],
                "rank": seat["members"].index(self.name),
                "state": seat["state"],
            }
        return item

    def beat(self) -> dict[str, typing.Any]:
        """Returns the body of the next heartbeat."""
        return super().beat() | self.report()

    def _changed(self) -> None:
        """Reports a change of the group at once."""
        asyncio.get_running_loop().create_task(self.send_beat())

    async def handle(self, request, reader, writer) -> bool:
        """Answers orders, reports and streams."""
        if request.path == "/figford/report":
            item = self.report() | {
                "busy": False, "sequence": self.orders_begun, "waiting": 0,
                "running": 0, "kv_used": 0, "kv_total": 700000, "handles": 0,
                "pace": 1.0,
            }
            await answer(writer, 200, {}, json.dumps(item).encode())
            return True
        if request.path == "/figford/order":
            order = json.loads(request.body)
            status = self.order(order)
            self.floor.ordered(self, order, status)
            await answer(writer, status, {}, b"")
            return True
        attempt = request.headers.get("figford-attempt-id", "")
        expected = request.headers.get("figford-expect-instance")
        if expected is not None and expected != self.name:
            await self.reject(writer, 421, attempt)
            return True
        if self.seat is None or self.seat["state"] != "open":
            await self.reject(writer, 503, attempt)
            return True
        return await self.stream(request, writer, attempt)

    # ---- Orders ---------------------------------------------------------

    def order(self, order: dict) -> int:
        """Carries an order out; returns the status of its answer."""
        fence = order.get("fence", 0)
        if fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        expected = order.get("expected")
        seat = self.seat
        key = (order.get("group"), order.get("epoch"))
        holds = seat is not None and (seat["group"], seat["epoch"]) == key
        match order["op"]:
            case "join":
                return self._join(order, expected, holds)
            case "stage":
                if order["model"] in self.staged:
                    return 200
                self.staged = [order["model"]]
                return self._begun(expected)
            case "open":
                if holds and seat["state"] == "open":
                    return 200
                if not holds or seat["state"] != "ready":
                    return 409
                status = self._begun(expected)
                if status == 202:
                    self._later(0.3, seat, "open")
                return status
            case "close":
                if not holds or seat["state"] != "open":
                    return 200 if holds else 409
                status = self._begun(expected)
                if status == 202:
                    self._set(seat, "ready")
                return status
            case "leave":
                if not holds:
                    return 200
                status = self._begun(expected)
                if status == 202:
                    self.seat = None
                    self._changed()
                return status
        return 400

    def _join(self, order: dict, expected: int | None, holds: bool) -> int:
        if order["epoch"] < self.epoch_seen:
            return 412
        if holds:
            same = self.seat["members"] == order["members"]
            return 200 if same else 412
        status = self._begun(expected)
        if status != 202:
            return status
        self.epoch_seen = order["epoch"]
        if order["model"] not in self.staged:
            self.staged = [order["model"]]
        self.seat = {
            "group": order["group"], "epoch": order["epoch"],
            "model": order["model"], "members": order["members"],
            "state": "joining",
        }
        seconds = 0.2 if self.last_model == order["model"] else 0.5
        self.last_model = order["model"]
        self._later(seconds, self.seat, "ready")
        self._changed()
        return status

    def _begun(self, expected: int | None) -> int:
        if expected is not None and expected != self.orders_begun:
            return 409
        self.orders_begun += 1
        return 202

    def _later(self, seconds: float, seat: dict, state: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._set, seat, state)

    def _set(self, seat: dict, state: str) -> None:
        if self.seat is seat and self.alive:
            seat["state"] = state
            self._changed()

    # ---- Streams --------------------------------------------------------

    def is_whole(self) -> bool:
        """Returns whether all members are in this head's group."""
        seat = self.seat
        if seat is None:
            return False
        for name in seat["members"]:
            other = self.floor.worker_by_name.get(name)
            if other is None or not other.alive or other.seat is None:
                return False
            if (other.seat["group"], other.seat["epoch"]) != (
                seat["group"], seat["epoch"]
            ):
                return False
        return True

    async def stream(self, request, writer, attempt: str) -> bool:
        """Streams events; stands still while a member is missing."""
        self.floor.ran(self, request)
        seat = self.seat
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in signed(attempt).items():
            head += f"{name}: {value}\r\n"
        head += "Figford-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n"
        writer.write(head.encode() + b"\r\n")
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            still_since = None
            while not self.is_whole():
                still_since = still_since or time.monotonic()
                if time.monotonic() - still_since > self.floor.stall_s:
                    if seat["state"] == "open":
                        self._set(seat, "broken")
                    self.floor.record(f"{self.name}: cut off {attempt}")
                    writer.transport.abort()
                    return False
                await asyncio.sleep(0.05)
            event = f"id: {number}\ndata: {attempt} piece {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Request(typing.NamedTuple):
    """A request that a worker received in full."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def signed(attempt: str) -> dict[str, str]:
    """Returns the headers of a worker's own answer."""
    return {
        "Figford-Attempt-Id": attempt,
        "Figford-Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1",
    }


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request with a length; None at the end of the channel."""
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, path, headers, body)


async def answer(
    writer: asyncio.StreamWriter, status: int, headers: dict, body: bytes
) -> None:
    """Writes an answer with a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()


def post(control: str, path: str, body: bytes, record=None) -> int | None:
    """Sends a call to a controller; returns its status, None without one."""
    host, _, port = control.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
    try:
        headers = {"Content-Type": "application/json"}
        connection.request("POST", path, body, headers)
        found = connection.getresponse()
        found.read()
        return found.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Floor:
    """All workers of a case, on an event loop of their own thread."""

    def __init__(
        self, record, controls: list[str], beat_s: float = 1.2,
        stall_s: float = 4.0,
    ) -> None:
        self.record = record
        self.controls = controls
        self.beat_s = beat_s
        self.stall_s = stall_s
        self.worker_by_name: dict[str, Worker] = {}
        self.runs: list[tuple[float, str, str]] = []
        self.orders: list[tuple[float, str, dict, int]] = []
        self._preferred: dict[str, int] = {}
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def preferred(self, worker: Worker) -> int:
        """Returns the index of the controller that a worker calls."""
        known = len(self._preferred) % len(self.controls)
        return self._preferred.setdefault(worker.name, known)

    def prefer(self, worker: Worker, index: int) -> None:
        """Sets the controller that a worker calls next."""
        self._preferred[worker.name] = index

    def move_on(self, worker: Worker) -> None:
        """Lets a worker call the next controller."""
        index = self.preferred(worker) + 1
        self._preferred[worker.name] = index % len(self.controls)

    def add(self, worker: Worker, beats: bool = True) -> Worker:
        """Starts a worker."""
        self.worker_by_name[worker.name] = worker
        self.call(worker.serve())
        if beats:
            asyncio.run_coroutine_threadsafe(worker.beat_loop(), self.loop)
        self.record(f"worker {worker.name} started at {worker.address}")
        return worker

    def call(self, coroutine) -> typing.Any:
        """Runs a coroutine on the loop of the workers."""
        return asyncio.run_coroutine_threadsafe(
            coroutine, self.loop
        ).result(10)

    def ran(self, worker: Worker, request: Request) -> None:
        """Records that a worker began to run a request."""
        attempt = request.headers.get("figford-attempt-id", "")
        self.runs.append((time.monotonic(), worker.name, attempt))
        self.record(f"{worker.name}: runs {attempt} {request.path}")

    def ordered(self, worker: Worker, order: dict, status: int) -> None:
        """Records an order and the status of its answer."""
        self.orders.append((time.monotonic(), worker.name, order, status))
        self.record(
            f"{worker.name}: order {order['op']} {order.get('group', '')}"
            f" answered {status}"
        )
