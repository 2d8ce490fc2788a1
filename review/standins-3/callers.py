"""Stand-ins of clients: one request each, and what became of it."""

import dataclasses
import http.client
import threading
import time


@dataclasses.dataclass
class Outcome:
    """What a client saw of one attempt."""

    attempt: str
    sent_at: float
    status: int | None = None
    body: bytes = b""
    headers: dict = dataclasses.field(default_factory=dict)
    complete: bool = False
    error: str = ""
    ended_at: float = 0.0

    def __str__(self) -> str:
        seconds = self.ended_at - self.sent_at
        how = "complete" if self.complete else f"broken off: {self.error}"
        return (
            f"client: {self.attempt} status {self.status}, {how},"
            f" {len(self.body)} bytes, after {seconds:.3f} s"
        )


def ask(
    address: str, path: str, attempt: str, method: str = "POST",
    body: bytes = b"{}", key: str | None = None, remaining_ms: int = 1500,
    host: str = "ficu95.example", more: dict | None = None,
    connection: http.client.HTTPConnection | None = None,
) -> Outcome:
    """Sends one request to an entry and reads the answer to its end."""
    own = connection is None
    if connection is None:
        ip, _, port = address.partition(":")
        connection = http.client.HTTPConnection(
            ip, int(port), timeout=remaining_ms / 1000 + 1
        )
    headers = {
        "Host": host,
        "Figford-Attempt-Id": attempt,
        "Figford-Deadline-Remaining": str(remaining_ms),
    } | (more or {})
    if key is not None:
        headers["X-Api-Key"] = key
    outcome = Outcome(attempt, time.monotonic())
    try:
        connection.request(method, path, body or None, headers)
        found = connection.getresponse()
        outcome.status = found.status
        outcome.headers = {k.lower(): v for k, v in found.getheaders()}
        while part := found.read1(65536):
            outcome.body += part
        found.close()
        length = outcome.headers.get("content-length")
        if length is not None and len(outcome.body) < int(length):
            outcome.error = "the body is short"
        else:
            outcome.complete = True
    except http.client.IncompleteRead as error:
        outcome.body += error.partial
        outcome.error = "IncompleteRead"
    except (OSError, http.client.HTTPException) as error:
        outcome.error = type(error).__name__
    finally:
        outcome.ended_at = time.monotonic()
        if own:
            connection.close()
    return outcome


def ask_all(calls: list) -> list[Outcome]:
    """Runs calls at the same time, each in its own thread."""
    outcomes: list[Outcome] = []

    def run(call) -> None:
        outcomes.append(call())

    threads = [threading.Thread(target=run, args=(c,)) for c in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes
