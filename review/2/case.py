"""A caller reuses its channel while its entry stops."""

import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment as deployments  # noqa: E402
import streams  # noqa: E402

# TROUBLE=0 leaves out the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANNELS = 6
EVENTS, INTERVAL_SECONDS = 27, 0.2
STREAM_SECONDS = EVENTS * INTERVAL_SECONDS
# What a caller 3 ms away needs to see the end and to send the next request.
THINK_SECONDS = 0.006
TIMEOUT_MS = 8000
FIRST_BEFORE_STOP_SECONDS = 1.6


def caller(address, number, record, stop_at, found):
    """Sends two streams in a row on one kept channel."""
    # The ends of the streams fall at different times between two checks.
    time.sleep(0.2041 * number)
    channel = streams.Channel(address)
    model = ("large", "small")[number % 2]
    attempt = channel.send("/ask/x", model, TIMEOUT_MS)
    record.write(f"channel {number} sent {attempt}")
    status, complete, _ = channel.receive()
    record.write(
        f"channel {number}: {attempt} answered {status}, complete {complete},"
        f" channel stays open {channel.keeps}"
    )
    if not complete or not channel.keeps:
        channel.close()
        return
    time.sleep(THINK_SECONDS)
    sent_at = time.monotonic()
    try:
        attempt = channel.send("/ask/x", model, TIMEOUT_MS)
    except OSError:
        record.write(f"channel {number} was closed before the next request")
        return
    status, complete, data = channel.receive()
    ended_at = time.monotonic()
    events = data.count(b"data:")
    record.write(
        f"channel {number}: {attempt}, sent {sent_at - stop_at[0]:.2f} s after"
        f" the stop, ended after {ended_at - sent_at:.2f} s: status {status},"
        f" complete {complete}, {events} of {EVENTS} events"
    )
    timed_out = ended_at - sent_at > TIMEOUT_MS / 1000 - 0.2
    is_late = sent_at - stop_at[0] > 3.0
    # It was passed on, as events came; the stand-in breaks off no stream.
    if events and not complete and is_late and not timed_out:
        found.append(attempt)
    channel.close()


def case(deployment, record):
    """Returns what broke, or an empty string."""
    for number in (1, 2, 3):
        deployment.start("controller", number, (1, 2, 3), bootstrap=True)
    deployment.start("entry", 11, (1, 2, 3), bootstrap=True)
    streams.start_upstreams(deployment, (1, 2, 3), EVENTS, INTERVAL_SECONDS)
    first = streams.manifest(2, TIMEOUT_MS)
    if not deployment.submit_until_acknowledged(first, (1, 2, 3), 15):
        raise deployments.CannotRun("the first manifest is not acknowledged")
    for model in ("large", "small"):
        streams.wait_until_served(deployment, 11, "/ask/x", model)
    time.sleep(3.5)
    address = f"{deployment.ip(11)}:{deployment.front_port}"
    found = []
    stop_at = [time.monotonic() + FIRST_BEFORE_STOP_SECONDS]
    threads = [
        threading.Thread(
            target=caller,
            args=(address, number, record, stop_at, found),
            daemon=True,
        )
        for number in range(CHANNELS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(FIRST_BEFORE_STOP_SECONDS)
    stop_at[0] = time.monotonic()
    if HAS_TROUBLE:
        deployment.signal("entry-11", signal.SIGTERM)
    for thread in threads:
        thread.join(timeout=40)
    return (
        f"{len(found)} streams that the stopping entry took on kept channels"
        f" more than 3 s after SIGTERM were cut: {', '.join(found)}"
        if found
        else ""
    )


if __name__ == "__main__":
    sys.exit(deployments.run_case(FOLDER, case, HAS_TROUBLE))
