"""A worker runs a booking and then fails it with a 503 of its own."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world  # noqa: E402

BOOKINGS = 240
CALLERS = 4
WORKERS = 8
# Of its requests a worker fails this share (srv_grey: x of 0.4 to 0.45).
FAILING_SHARE = 0.4
# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


class BookingWorker(world.Worker):
    """Books, and may fail afterwards; it rejects nothing."""

    failing = False
    booked = 0

    def run(self, request, attempt, connection):
        """Stores the booking, then answers 200 or 503."""
        booking = request.header("x-booking")
        self.bookings.append((booking, attempt))
        time.sleep(0.02)
        self.booked += 1
        # Spread evenly: 2 of 5 fail.
        if self.failing and (self.booked * FAILING_SHARE) % 1 < FAILING_SHARE:
            self.record.line(f"{self.id} ran {attempt} and answers 503")
            body = b"storing the confirmation failed"
            connection.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nFigford-Attempt-Id: "
                + attempt.encode()
                + b"\r\nFigford-Response-Signature: 3e1b.07\r\n"
                b"Content-Length: " + str(len(body)).encode() + b"\r\n\r\n"
                + body
            )
            return True
        connection.sendall(world.ok(attempt, b"booked"))
        return True


def case(deploy, record, trouble):
    """Returns what broke the rule REFUSED, or an empty text."""
    deployment = deploy()
    deployment.start_all()
    bookings = BookingWorker.bookings = []
    workers = [
        BookingWorker(
            deployment, record, f"i-{n}", "wuno96b",
            deployment.first_port + 20 + n,
        )
        for n in range(WORKERS)
    ]
    deployment.submit(
        world.manifest(
            3,
            [
                world.route(
                    "r-1", "/puxa403/", "non_idempotent", "wuno96b",
                    timeout_ms=1500, target_latency_ms=200,
                )
            ],
            [world.service("wuno96b")],
        )
    )
    deployment.wait_ready()
    caller = world.Caller(deployment, record)
    end = time.monotonic() + 15
    while caller.call(deployment.entries[0], "/puxa403/2f", 1500)[1] != 200:
        if time.monotonic() > end:
            raise world.CannotRun("nothing is served")
    time.sleep(4.0)
    # One worker of eight: a share of 0.125.
    workers[0].failing = trouble

    statuses = {}

    def book(booking):
        # PROTOCOL.md: 503 promises that the request has not run, so the
        # client sends it again, once, as another client attempt.
        for entry in deployment.entries:
            attempt, status, _ = caller.call(
                entry, "/puxa403/2f", 1500, X_Booking=booking
            )
            statuses[attempt] = status
            if status not in PROMISES:
                break

    def book_all(first):
        for number in range(first, BOOKINGS, CALLERS):
            book(f"shelter-{number}")

    threads = [
        threading.Thread(target=book_all, args=(first,))
        for first in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ran = {attempt for _, attempt in bookings}
    refused = [
        attempt
        for attempt, status in statuses.items()
        if status in PROMISES and attempt in ran
    ]
    counts = {}
    for booking, _ in bookings:
        if booking:
            counts[booking] = counts.get(booking, 0) + 1
    doubled = [name for name, count in counts.items() if count > 1]
    record.line(f"answered 503 although run: {refused}")
    record.line(f"booked more than once: {doubled}")
    if len(statuses) < BOOKINGS or 200 not in statuses.values():
        raise world.CannotRun("too little was answered")
    if not refused:
        return ""
    return (
        f"{len(refused)} requests that are not idempotent were answered 503"
        f" and had run; {len(doubled)} bookings were made twice"
    )


world.main(case, HERE, "a worker fails with 503 what it ran")
