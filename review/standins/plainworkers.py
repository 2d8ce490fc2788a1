"""Stand-in of plain workers, as the pages describe them.

Arguments: first port, control port, service, number of workers, and the
addresses of the controllers. Worker N listens on the first port plus N. It
reports every 1.2 s to one controller and moves on to the next one after a
failure or a second without an answer. A line on standard input changes it:

    cut N          its calls to the controllers get no answer
    heal N         they do again
    leave N S      it deregisters without reporting `draining` first, serves
                   for S seconds after the acknowledgement and exits

Standard output names every request that arrives, and each acknowledged leave.
"""

import asyncio
import json
import sys
import time

HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
ANSWER_SECONDS = 1.0
WORK_SECONDS = 0.045
SLOTS = 6


def say(*words):
    """Prints a line with the time."""
    print(f"{time.monotonic():.4f}", *words, flush=True)


class Worker:
    """One worker."""

    def __init__(self, number, port, service, controllers):
        self.id = f"w{number}"
        self.number, self.port, self.service = number, port, service
        self.controllers = controllers
        self.index = number
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.cut = False
        self.leaves = False
        self.running = 0
        self.writers = set()
        self.server = None

    async def run(self):
        """Listens and reports."""
        self.server = await asyncio.start_server(
            self._connected, HOST, self.port
        )
        while not self.leaves:
            await self._heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    # ---- Calls to the controllers ---------------------------------------

    async def _call(self, path, item):
        """Returns the status of a call, or None without an answer."""
        if self.cut:
            await asyncio.sleep(ANSWER_SECONDS)
            return None
        host, _, port = self.controllers[
            self.index % len(self.controllers)
        ].rpartition(":")
        body = b"" if item is None else json.dumps(item).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer = None
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(head.encode() + body)
                line = await reader.readline()
                return int(line.split(b" ")[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def _heartbeat(self):
        self.sequence += 1
        item = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        path = f"/figford/instances/{self.id}/heartbeat"
        if await self._call(path, item) != 200:
            self.index += 1

    async def leave(self, seconds):
        """Deregisters, serves on for a while and exits."""
        self.leaves = True
        path = f"/figford/instances/{self.id}/deregister"
        while await self._call(path, None) != 200:
            self.index += 1
            await asyncio.sleep(0.1)
        say(
            "acknowledged",
            self.id,
            self.controllers[self.index % len(self.controllers)],
        )
        await asyncio.sleep(seconds)
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        say("exited", self.id, "running", self.running)

    # ---- Requests -------------------------------------------------------

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def _request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = dict(
            (name.strip().lower(), value.strip())
            for name, _, value in (line.partition(":") for line in lines)
            if name
        )
        await reader.readexactly(int(fields.get("content-length", 0)))
        attempt = fields.get("figford-attempt-id", "")
        say("request", self.id, attempt, first.split(" ")[1])
        if fields.get("figford-expect-instance", self.id) != self.id:
            status, more = "421 Misdirected", "Figford-Not-Executed: 1\r\n"
        else:
            self.running += 1
            await asyncio.sleep(WORK_SECONDS)
            self.running -= 1
            status = "200 OK"
            more = f"Figford-Response-Signature: sig-{attempt}\r\n"
        body = json.dumps({"by": self.id}).encode()
        writer.write(
            (
                f"HTTP/1.1 {status}\r\nFigford-Attempt-Id: {attempt}\r\n"
                f"{more}Figford-Server-Load: {self.running},0,{SLOTS}\r\n"
                f"Keep-Alive: timeout=15\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        await writer.drain()
        return True


async def main(arguments):
    """Runs the workers and obeys standard input."""
    first_port, control_port, service, count, *ips = arguments
    controllers = [f"{ip}:{control_port}" for ip in ips]
    workers = [
        Worker(number, int(first_port) + number, service, controllers)
        for number in range(int(count))
    ]
    tasks = [asyncio.create_task(worker.run()) for worker in workers]
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    say("started")
    while line := (await reader.readline()).decode().split():
        worker = workers[int(line[1])]
        say(*line)
        match line[0]:
            case "cut":
                worker.cut = True
            case "heal":
                worker.cut = False
            case "leave":
                tasks.append(asyncio.create_task(worker.leave(float(line[2]))))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
