"""A worker that the controllers forgot says that it leaves."""

import concurrent.futures
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment as deployments  # noqa: E402
import streams  # noqa: E402

# TROUBLE=0 leaves out the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_SECONDS = 2.0
# A worker serves for drain_ms after the acknowledgement, "and a little longer
# (at times many seconds)".
SERVES_ON_SECONDS = 6.0
CUT_SECONDS = 8.0
CALL_EVERY_SECONDS = 0.015
WORKERS = 3


def table(version):
    """Returns a manifest with bookings at one plain service."""
    return deployments.manifest(
        version,
        [deployments.plain_route("r1", "/book/", "app", "non_idempotent")],
        [deployments.plain_service("app")],
    )


def call(deployment, outcomes):
    """Sends one booking on a channel of its own."""
    lines, _ = streams.headers(None, 1500)
    sent = dict(line.split(": ", 1) for line in lines)
    address = f"{deployment.ip(11)}:{deployment.front_port}"
    answer = deployment.call(address, "POST", "/book/x", b"{}", sent, 2)
    outcomes.append(answer[0] if answer else None)


def call_for(deployment, seconds, outcomes):
    """Sends bookings at a steady rate."""
    end = time.monotonic() + seconds
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        while time.monotonic() < end:
            pool.submit(call, deployment, outcomes)
            time.sleep(CALL_EVERY_SECONDS)


def case(deployment, record):
    """Returns what broke, or an empty string."""
    controllers = (1, 2, 3)
    for number in controllers:
        deployment.start("controller", number, controllers, bootstrap=True)
    deployment.start("entry", 11, controllers, bootstrap=True)
    port = streams.free_port_block(WORKERS)
    deployment.start_script(
        "workers",
        [
            str(deployments.ROOT / "review" / "standins" / "plainworkers.py"),
            str(port),
            str(deployment.control_port),
            "app",
            str(WORKERS),
            *[deployment.ip(number) for number in controllers],
        ],
    )
    if not deployment.submit_until_acknowledged(table(2), controllers, 15):
        raise deployments.CannotRun("the first manifest is not acknowledged")
    streams.wait_until_served(deployment, 11, "/book/x", None)
    time.sleep(5.0)
    outcomes = []
    if HAS_TROUBLE:
        # Worker 0 is cut off from the controllers, not from the entry.
        deployment.tell("workers", "cut 0")
    call_for(deployment, 0.5, outcomes)
    if HAS_TROUBLE:
        for number in controllers:
            deployment.kill(f"controller-{number}")
        time.sleep(0.5)
        for number in controllers:
            deployment.start(
                "controller", number, controllers, bootstrap=False
            )
    call_for(deployment, CUT_SECONDS - 1.0, outcomes)
    deployment.tell("workers", f"leave 0 {SERVES_ON_SECONDS}")
    call_for(deployment, 0.5, outcomes)
    if HAS_TROUBLE:
        deployment.tell("workers", "heal 0")
    call_for(deployment, SERVES_ON_SECONDS + 3.0, outcomes)
    log = [line.split() for line in deployment.log_text("workers").split("\n")]
    acknowledged = [
        (float(line[0]), line[3])
        for line in log
        if line[1:3] == ["acknowledged", "w0"]
    ]
    if not acknowledged:
        raise deployments.CannotRun("the worker's leave is not acknowledged")
    at, by = acknowledged[0]
    record.write(f"the leave of w0 is acknowledged by {by}")
    counts = {status: outcomes.count(status) for status in set(outcomes)}
    record.write(f"answers to the caller: {counts}")
    ages = [
        float(line[0]) - at
        for line in log
        if line[1:3] == ["request", "w0"] and float(line[0]) > at
    ]
    late = [age for age in ages if age > DRAIN_SECONDS]
    record.write(
        f"{len(ages)} requests reached w0 after that, {len(late)} of them more"
        f" than {DRAIN_SECONDS} s after, the last one"
        f" {max(ages, default=0):.2f} s after"
    )
    exited = [line for line in log if line[1:3] == ["exited", "w0"]]
    if exited:
        record.write(f"w0 exited with {exited[0][4]} bookings running")
    for age in late[:40]:
        record.write(f"request at w0 {age:.3f} s after the acknowledgement")
    return f"{len(late)} requests reached a worker that left" if late else ""


if __name__ == "__main__":
    sys.exit(deployments.run_case(FOLDER, case, HAS_TROUBLE))
